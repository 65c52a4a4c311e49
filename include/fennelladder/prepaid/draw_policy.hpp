// When tokens drawn from the allotment record may be spent, and when a node may
// repair the record after the store was restored from an older copy.
//
//     if (acknowledged >= witnesses_needed(view)) ... spend
//     if (may_repair(view)) ... write the record with all that is known
//
// The store may lose a write that it acknowledged. Other nodes are therefore
// told of each draw before it is spent: the record can be repaired as long as
// one node lives that knows of it. A node repairs it when all nodes that it
// knows to live have said what they know. Others may live, cut off or not heard
// of yet, so a process that has just started waits until it must have been
// found; the time is bounded, since service is out meanwhile.
//
// Pure; thread safe.

#ifndef FENNELLADDER_PREPAID_DRAW_POLICY_HPP
#define FENNELLADDER_PREPAID_DRAW_POLICY_HPP

#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <optional>

namespace fennelladder::prepaid {

/// Nodes that have to know of a draw besides the one that made it, if as many
/// live.
inline constexpr std::size_t least_witnesses = 2;

/// Nodes that are told of a draw; the others may die with the first ones.
inline constexpr std::size_t most_witnesses = 8;

/// A node that has heard no other for this long counts itself the only one
/// left. One that is cut off from others that live must not spend what they
/// can't know of, nor take a copy for true that they know better.
inline constexpr duration isolation_limit = seconds(10);

/// Whether a node may be cut off from others that live. `isolated_for`: how
/// long it hasn't heard any other, or since its start; unset if it hears some,
/// or if it is the only node by its settings.
bool may_be_cut_off(std::optional<duration> isolated_for);

struct witness_view
{
    /// Nodes that seem to live and state the store's era: others keep nothing
    /// of what they hear of draws.
    std::size_t live = 0;
    std::optional<duration> isolated_for; ///< See may_be_cut_off().
};

/// Acknowledgements without which a draw isn't spent.
std::size_t witnesses_needed(const witness_view& view);

/// How long nodes that seem to live may take to say what they know.
inline constexpr duration answer_patience = milliseconds(1200);

/// A process that has run for longer was told of draws that a copy lacks.
inline constexpr duration oldest_copy = seconds(40);

/// By then a process that started has heard from the others.
inline constexpr duration discovery_time = seconds(3);

struct repair_view
{
    /// Whether the store has no record at all.
    bool record_missing = false;
    /// Whether no process of the system ran before this one.
    bool first_start = false;
    duration uptime{0};
    /// Since this node began to ask the others.
    duration asked_for{0};
    std::size_t asked = 0; ///< Nodes that seem to live.
    std::size_t answered = 0;
    std::optional<duration> isolated_for; ///< See may_be_cut_off().
    /// How long the eldest process runs of this one and those that answered.
    duration eldest_answered{0};
    /// The same of those that haven't answered and were heard within
    /// isolation_limit.
    duration eldest_silent{0};
};

/// The eldest process knows most. While it is silent, and no other has run for
/// as long as a copy may be old, it is waited for: others may all have started
/// since.
bool may_repair(const repair_view& view);

} // namespace fennelladder::prepaid

#endif
