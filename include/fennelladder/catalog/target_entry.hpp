// A target as the platform's list names it, and the list as a node follows
// it.
//
//     target_list list;
//     list.replace_all(entries, as_of);       // a full listing
//     list.apply(changes, as_of);             // what changed since
//     list.changes_since(revision)            // for a node that follows us
//
// A node needs to ask another only if the other's latest_change() is after
// its own as_of().
//
// The list mirrors one linear history: what it holds is what the platform had
// at `as_of()`, and as_of() never goes back. One thing goes before that: of an
// id, the process that started last is the one that lives. An entry that names
// an earlier start is passed over at any revision; a later start is taken from
// a peer also when its news are old.

#ifndef FENNELLADDER_CATALOG_TARGET_ENTRY_HPP
#define FENNELLADDER_CATALOG_TARGET_ENTRY_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelladder::catalog {

/// Revision of the platform's history; one counter for all objects.
using revision = number_id<struct revision_tag>;

/// When a target's process started: milliseconds since the Unix epoch by its
/// own clock; 0: not said. Only starts of one id are compared.
using target_start = number_id<struct target_start_tag>;

constexpr bool is_known(target_start start)
{
    return start != target_start();
}

/// One process of a target. A target may start again under its id; what was
/// learned of one process says nothing of the next.
struct target_process
{
    target_id id;
    target_start start;

    friend auto operator<=>(const target_process&,
                            const target_process&) = default;
};

/// What one process of a target says of itself.
struct target_entry
{
    target_id id;
    target_start start;
    service_id service;
    std::string address; ///< IP:port.
    data_center_id data_center;
    std::uint32_t slots = 1;
    bool leaving = false;
    duration remaining_warm_up{0}; ///< How much longer it stays slow.

    target_process process() const { return {id, start}; }

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

/// Limits of what an entry may say. Whatever is beyond them was written by
/// something else than a target.
inline constexpr std::size_t max_target_id_bytes = 256; ///< Bytes of an id.
inline constexpr std::uint32_t max_target_slots = 65'536;
inline constexpr duration max_warm_up = hours(24);

/// Fails with `corrupt` and the field when an entry can't be used: no id, no
/// service, an address that isn't IP:port, or a number out of its limits.
/// Thread safe.
status check_target(const target_entry& entry);

/// A target appeared or changed, or (without an entry) is gone.
struct target_change
{
    target_id id;
    std::optional<target_entry> entry;
    /// When it changed; for one that is gone, a revision not before that.
    revision at;
};

/// The latest changes of a list, complete after `since`: whoever has all up
/// to there, or more, has all up to `as_of` with them.
struct target_update
{
    revision since;
    revision as_of;
    std::vector<target_change> changes;
};

/// Not thread safe.
class target_list
{
public:
    using entry_map = std::map<target_id, target_entry>;

    /// Takes a full listing as of `as_of`. Of a listing older than the list
    /// only later starts are taken (false).
    bool replace_all(const std::vector<target_change>& entries, revision as_of);

    /// Takes the changes between this list's as_of() and `as_of`. Of changes
    /// older than the list only later starts are taken (false).
    /// Precondition: `changes` is complete for that span.
    bool apply(const std::vector<target_change>& changes, revision as_of);

    /// Takes news if they follow on what is known; of others only later
    /// starts. True if something was taken.
    bool apply_update(const target_update& news);

    /// The latest `most` changes. Precondition: known().
    target_update latest_update(std::size_t most) const;

    /// The changes after `since`, or nothing when that is too long ago and
    /// only a full listing helps.
    std::optional<std::vector<target_change>>
    changes_since(revision since) const;

    const entry_map& entries() const { return entries_; }
    revision as_of() const { return as_of_; }

    /// Of the newest change in the list.
    revision latest_change() const { return latest_change_; }

    /// Grows with each change taken, whatever its revision.
    std::uint64_t change_count() const { return changes_taken_; }

    /// Whether a first listing was taken.
    bool known() const { return known_; }

private:
    /// What is kept of an id, also when its entry is gone.
    struct latest_start
    {
        target_start start;
        revision at; ///< Of the last change noted.
    };

    void note(target_change change);
    void log(target_change change);
    void settle_start(target_change& change) const;
    bool is_of_earlier_process(const target_change& change) const;
    bool keeps_later_start(const target_change& change);
    void remember_start(const target_change& change);
    bool take_later_starts(const std::vector<target_change>& changes);

    static constexpr std::size_t log_limit = 1024; ///< Changes kept.
    /// Ids whose start is remembered, when others than those listed are.
    static constexpr std::size_t start_limit = 4096;

    entry_map entries_;
    std::map<target_id, latest_start> starts_;
    std::uint64_t changes_taken_ = 0;
    revision as_of_;
    revision log_from_; ///< log_ is complete after this revision.
    revision latest_change_;
    std::deque<target_change> log_;
    bool known_ = false;
};

} // namespace fennelladder::catalog

#endif
