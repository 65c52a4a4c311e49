// A target as listed by the platform, and a node's replica of the list.
//
//     target_list list;
//     list.replace_all(entries, as_of);       // a full listing
//     list.apply(changes, as_of);             // incremental changes
//     list.changes_since(revision)            // for a node that syncs from us
//
// A node needs to sync from another only if the other's latest_change() is
// after its own as_of().
//
// The list mirrors one linear history: it holds what the platform had at
// `as_of()`, and as_of() never goes back. One rule takes precedence: of the
// processes with one id, the one that started last is the live one. An entry
// with an earlier start is ignored at any revision; a later start is accepted
// from a peer even if the peer's update is old.
//
// In a later era (see revision.hpp) the history begins anew, with an older
// state. The first listing of an era replaces the list, and only full listings
// lead from one era to the next. What a process can't undo is kept: one that
// was leaving still leaves. A process that was removed before and is listed
// again is held back, since the copy may be older than its end: until its entry
// changes, or until admit_held(), by when the platform has removed what is
// gone.

#ifndef FENNELLADDER_CATALOG_TARGET_ENTRY_HPP
#define FENNELLADDER_CATALOG_TARGET_ENTRY_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/catalog/revision.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelladder::catalog {

/// Start time of a target's process: milliseconds since the Unix epoch by its
/// own clock; 0: unknown. Only starts of the same id are compared.
using target_start = number_id<struct target_start_tag>;

/// Version of the software that a target runs; versions have no order. Targets
/// that state none share the empty one.
using software_version = text_id<struct software_version_tag>;

constexpr bool is_known(target_start start)
{
    return start != target_start();
}

/// One process of a target. A target may restart under its id; what was learned
/// of one process doesn't apply to the next.
struct target_process
{
    target_id id;
    target_start start;

    friend auto operator<=>(const target_process&,
                            const target_process&) = default;
};

/// What one process of a target reports of itself.
struct target_entry
{
    target_id id;
    target_start start;
    service_id service;
    std::string address; ///< IP:port.
    data_center_id data_center;
    std::uint32_t slots = 1;
    bool leaving = false;
    duration remaining_warm_up{0}; ///< Remaining time for which it is slow.
    software_version software;

    target_process process() const { return {id, start}; }

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

/// Limits on the values of an entry. An entry beyond them wasn't written by a
/// target.
inline constexpr std::size_t max_target_id_bytes = 256;
inline constexpr std::uint32_t max_target_slots = 65'536;
inline constexpr duration max_warm_up = hours(24);

/// Fails with `corrupt`, naming the field, if an entry is unusable: no id, no
/// service, an address that isn't IP:port, or a number out of its limits.
/// Thread safe.
status check_target(const target_entry& entry);

/// A target was added or changed, or (without an entry) removed.
struct target_change
{
    target_id id;
    std::optional<target_entry> entry;
    /// Revision of the change; for a removal, a revision not before it.
    revision at;
};

/// The latest changes of a list, complete after `since`: together with a list
/// as of `since` or later they give the list as of `as_of`.
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

    /// Replaces the list by a full listing as of `as_of`. If the listing is
    /// older than the list, applies only the entries whose process started
    /// later than the one in the list, and returns false.
    bool replace_all(const std::vector<target_change>& entries, revision as_of);

    /// Applies the changes between this list's as_of() and `as_of`. If they are
    /// older than the list or of another era, applies only the entries whose
    /// process started later than the one in the list, and returns false.
    /// Precondition: `changes` is complete for that span.
    bool apply(const std::vector<target_change>& changes, revision as_of);

    /// Applies an update that follows on the list without a gap. Of any other,
    /// applies only the entries whose process started later than the one in the
    /// list. Returns true if anything was applied.
    bool apply_update(const target_update& update);

    /// The latest `most` changes. Precondition: known().
    target_update latest_update(std::size_t most) const;

    /// The changes after `since`; unset if the log doesn't reach back that far
    /// and a full listing is needed.
    std::optional<std::vector<target_change>>
    changes_since(revision since) const;

    const entry_map& entries() const { return entries_; }
    revision as_of() const { return as_of_; }

    /// Revision of the newest change in the list.
    revision latest_change() const { return latest_change_; }

    /// Number of changes applied, whatever their revisions.
    std::uint64_t change_count() const { return change_count_; }

    /// Whether a first listing has been received.
    bool known() const { return has_listing_; }

    /// Whether entries are held back.
    bool holds_back() const { return !held_.empty(); }

    /// Adds the entries that were held back to the list.
    void admit_held();

private:
    /// The latest known process of an id, kept after its entry is removed.
    struct latest_process
    {
        target_start start;
        revision at; ///< Revision of the last change noted.
        /// It was leaving in an earlier era.
        bool leaving = false;
    };

    void apply_change(target_change change);
    void log(target_change change);
    void fill_in(target_change& change) const;
    void begin_era(const std::vector<target_change>& listed, revision as_of);
    bool is_of_earlier_process(const target_change& change) const;
    bool keep_later_start(const target_change& change);
    void remember_start(const target_change& change);
    bool apply_later_starts(const std::vector<target_change>& changes);

    static constexpr std::size_t log_limit = 1024; ///< Changes kept.
    /// Most ids whose start is kept, before those without an entry are dropped.
    static constexpr std::size_t start_limit = 4096;

    entry_map entries_;
    std::map<target_id, latest_process> starts_;
    /// Entries of this era that are held back.
    std::map<target_id, target_change> held_;
    std::uint64_t change_count_ = 0;
    revision as_of_;
    revision log_from_; ///< log_ is complete after this revision.
    revision latest_change_;
    std::deque<target_change> log_;
    bool has_listing_ = false;
};

} // namespace fennelladder::catalog

#endif
