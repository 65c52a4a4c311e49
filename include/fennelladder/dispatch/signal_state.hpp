// What one process of a target has said of itself that still holds.
//
//     signal_state signals;
//     signal_changes news = said.apply(signals_of_answer, now);
//     if (said.leaving() || said.backoff_left(now) > duration(0)) ...
//
// The signals, whom each binds, and what ends it:
//
// - leaving, from answers and peers: binds all nodes, and ends with the
//   process.
// - rest, from rejections: binds this node, and ends when its time is over.
// - cold, from answers, entries and the end of an evacuation: binds all nodes
//   together, and ends when its time is over.
// - limit, from answers and peers: binds all nodes together, and ends with a
//   later answer that names none, or when no node had a word for long.
//
// Nothing else ends one. The platform's list may be older than an answer, so no
// entry takes one back, nor does the lack of one: the state is kept for as long
// as it is_active(). Answers may come in any order, so a shorter rest doesn't
// end a longer one. A new process begins with a new state.
//
// Not thread safe.

#ifndef FENNELLADDER_DISPATCH_SIGNAL_STATE_HPP
#define FENNELLADDER_DISPATCH_SIGNAL_STATE_HPP

#include "fennelladder/catalog/target_signals.hpp"

#include <optional>

namespace fennelladder::dispatch {

/// Which signals said something new.
struct signal_changes
{
    bool leaving = false;
    bool rest = false;
    bool rate_limit = false;

    bool any() const { return leaving || rest || rate_limit; }
};

/// The limit of requests that a target named, or that it names none.
struct rate_signal
{
    std::optional<double> rate; ///< A second, from all nodes; unset: no limit.
    duration ago{0};
};

class signal_state
{
public:
    /// Takes what an answer to this node says.
    signal_changes apply(const catalog::target_signals& said, instant now);

    /// Another node was told that the process leaves. Whether that is news.
    bool apply_peer_leaving(instant now);

    /// Another node was told of a limit as `at` says; older words than the
    /// last are passed over. Whether that is news.
    bool apply_peer_limit(std::optional<double> rate, instant at);

    /// The process is cold until `until`, by its entry or an evacuation's end.
    void extend_cold_until(instant until);

    bool leaving() const { return leaving_; }
    duration backoff_left(instant now) const;
    bool is_cold(instant now) const { return now < cold_until_; }

    /// Unset: none is known.
    std::optional<double> rate_limit(instant now) const;

    /// Since any node had a word on the limit.
    duration limit_signal_age(instant now) const { return now - limit_time_; }

    /// What this node has to tell its peers of the limit.
    std::optional<rate_signal> limit_for_peers(instant now) const;

    /// How long ago an answer first told this node that the process leaves;
    /// unset: never, or too long for peers to be told.
    std::optional<duration> leaving_for_peers(instant now) const;

    /// Whether anything was said that still counts, so that the state must
    /// outlive the target's entry.
    bool is_active(instant now) const;

private:
    bool leaving_ = false;
    instant leaving_heard_;     ///< Last, in whichever way.
    instant own_leaving_heard_; ///< First, by an answer to this node.
    instant backoff_until_;
    instant cold_until_;
    std::optional<double> rate_limit_; ///< By the last word any node got.
    instant limit_time_;
    std::optional<double> own_rate_; ///< By the last that this node got.
    instant own_limit_time_;
    instant own_limit_named_; ///< The last that this node got of a limit.
};

} // namespace fennelladder::dispatch

#endif
