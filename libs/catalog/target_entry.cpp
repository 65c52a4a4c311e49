// A full listing is converted to changes against the current list, so that the
// log stays complete whichever way updates arrive. A change that a watch missed
// may be older than the latest known one. It is recorded as of the listing;
// otherwise neither peers nor this node's own users of the list would see that
// there is something new.

#include "fennelladder/catalog/target_entry.hpp"

#include "fennelladder/base/address.hpp"
#include "fennelladder/base/text.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fennelladder::catalog {

namespace {

/// Ids are sent in headers, where a control byte would end the line.
bool is_id(const std::string& text)
{
    return !text.empty() && text.size() <= max_target_id_bytes &&
           !has_control_byte(text);
}

} // namespace

status check_target(const target_entry& entry)
{
    if (!is_id(entry.id.str()))
        return fail(error_code::corrupt, "target's id");
    if (!is_id(entry.service.str()))
        return fail(error_code::corrupt,
                    "target's service is missing or too long");
    if (!is_ip_and_port(entry.address))
        return fail(error_code::corrupt, "target's address is not IP:port");
    // Any data centre is accepted: an unknown one only costs a longer route.
    if (entry.data_center.str().size() > max_target_id_bytes)
        return fail(error_code::corrupt, "target's data centre is too long");
    if (entry.software.str().size() > max_target_id_bytes)
        return fail(error_code::corrupt, "target's version is too long");
    if (entry.slots == 0 || entry.slots > max_target_slots)
        return fail(error_code::corrupt, "target's slots are out of range");
    if (entry.remaining_warm_up < duration(0) ||
        entry.remaining_warm_up > max_warm_up)
        return fail(error_code::corrupt, "target's warm-up is out of range");
    return {};
}

bool target_list::replace_all(const std::vector<target_change>& entries,
                              revision as_of)
{
    if (has_listing_ && as_of < as_of_) {
        apply_later_starts(entries);
        return false;
    }
    if (!has_listing_)
        as_of_ = log_from_ = as_of;
    else if (as_of.era() > as_of_.era())
        begin_era(entries, as_of);
    std::map<target_id, const target_change*> listed;
    for (const target_change& it : entries)
        listed.emplace(it.id, &it);
    std::erase_if(held_,
                  [&](const auto& it) { return !listed.contains(it.first); });
    for (const auto& [id, held] : held_)
        if (listed.at(id)->at == held.at)
            listed.erase(id);
    std::vector<target_change> changes;
    for (const auto& [id, entry] : entries_)
        if (!listed.contains(id))
            changes.push_back({id, std::nullopt, as_of});
    for (const auto& [id, listed_change] : listed) {
        target_change change = *listed_change;
        fill_in(change);
        const auto old = entries_.find(id);
        if (has_listing_ && !is_of_earlier_process(change))
            change.at = as_of;
        if (old == entries_.end() || old->second != change.entry)
            changes.push_back(std::move(change));
    }
    has_listing_ = true;
    return apply(changes, as_of);
}

bool target_list::apply(const std::vector<target_change>& changes,
                        revision as_of)
{
    if (!has_listing_)
        return false;
    if (as_of < as_of_ || as_of.era() != as_of_.era()) {
        apply_later_starts(changes);
        return false;
    }
    for (const target_change& it : changes)
        apply_change(it);
    as_of_ = as_of;
    return true;
}

/// Forgets the positions of earlier eras, from which no node of this one can
/// be synced, and notes what no process can undo.
void target_list::begin_era(const std::vector<target_change>& listed,
                            revision as_of)
{
    log_.clear();
    log_from_ = as_of;
    // All nodes that have a list of an earlier era lack something.
    latest_change_ = as_of;
    as_of_ = as_of;
    ++change_count_;
    held_.clear();
    for (const auto& [id, entry] : entries_)
        if (entry.leaving)
            starts_[id].leaving = true;
    for (auto& [id, it] : starts_)
        it.at = as_of;
    for (const target_change& it : listed) {
        const auto known = starts_.find(it.id);
        const bool was_removed = it.entry && known != starts_.end() &&
                                 !entries_.contains(it.id) &&
                                 it.entry->start <= known->second.start;
        if (was_removed)
            held_.emplace(it.id, it);
    }
}

void target_list::admit_held()
{
    for (auto& [id, change] : std::exchange(held_, {})) {
        change.at = as_of_;
        apply_change(std::move(change));
    }
}

bool target_list::apply_update(const target_update& update)
{
    if (!has_listing_)
        return false;
    const bool later_start = apply_later_starts(update.changes);
    if (as_of_ < update.since || update.as_of <= as_of_)
        return later_start;
    std::vector<target_change> unknown;
    std::ranges::copy_if(
        update.changes, std::back_inserter(unknown),
        [&](const target_change& it) { return it.at > as_of_; });
    return apply(unknown, update.as_of);
}

target_update target_list::latest_update(std::size_t most) const
{
    target_update out;
    out.as_of = as_of_;
    const std::size_t skipped = log_.size() - std::min(most, log_.size());
    out.since = skipped == 0 ? log_from_ : log_[skipped - 1].at;
    out.changes.assign(log_.begin() + static_cast<std::ptrdiff_t>(skipped),
                       log_.end());
    return out;
}

void target_list::apply_change(target_change change)
{
    fill_in(change);
    held_.erase(change.id);
    if (keep_later_start(change))
        return;
    if (change.entry)
        entries_[change.id] = *change.entry;
    else
        entries_.erase(change.id);
    remember_start(change);
    log(std::move(change));
}

/// Nodes of earlier releases pass on entries without a start time, which are
/// taken as of the known process, and without a software version, which a
/// process doesn't change. A process that was leaving in an earlier era still
/// leaves, though its entry was restored from before.
void target_list::fill_in(target_change& change) const
{
    if (!change.entry)
        return;
    const auto start = starts_.find(change.id);
    if (!is_known(change.entry->start) && start != starts_.end())
        change.entry->start = start->second.start;
    if (start != starts_.end() && start->second.leaving &&
        change.entry->start == start->second.start)
        change.entry->leaving = true;
    const auto listed = entries_.find(change.id);
    if (change.entry->software.empty() && listed != entries_.end() &&
        listed->second.process() == change.entry->process())
        change.entry->software = listed->second.software;
}

bool target_list::is_of_earlier_process(const target_change& change) const
{
    const auto known = starts_.find(change.id);
    return change.entry && known != starts_.end() &&
           change.entry->start < known->second.start;
}

/// Returns whether the change names an earlier process than the known one, and
/// is therefore ignored. If the platform lists it in place of the later
/// process, nodes that never saw the later one send requests to a process that
/// has ended. The kept entry is therefore logged as changed, once, so that they
/// learn of it.
bool target_list::keep_later_start(const target_change& change)
{
    if (!is_of_earlier_process(change))
        return false;
    const auto known = starts_.find(change.id);
    const auto kept = entries_.find(change.id);
    if (kept == entries_.end() || change.at <= known->second.at)
        return true;
    known->second.at = change.at;
    log({change.id, kept->second, change.at});
    return true;
}

/// Starts are kept longer than their entries: an entry of an earlier process
/// may arrive after the later one was removed.
void target_list::remember_start(const target_change& change)
{
    latest_process& it = starts_[change.id];
    it.at = std::max(it.at, change.at);
    if (change.entry && change.entry->start != it.start)
        it = {change.entry->start, it.at, false};
    if (starts_.size() > std::max(start_limit, 2 * entries_.size()))
        std::erase_if(starts_, [&](const auto& known) {
            return !entries_.contains(known.first);
        });
}

/// Applies entries with a later start than the listed ones, at any revision: of
/// two nodes that know different starts, the one with the earlier start may
/// have the later revision. They are logged at as_of() at the latest: changes
/// in between may be missing, and a later latest_change() would make the list
/// appear complete.
bool target_list::apply_later_starts(const std::vector<target_change>& changes)
{
    if (!has_listing_)
        return false;
    const std::uint64_t before = change_count_;
    for (target_change it : changes) {
        const auto listed = entries_.find(it.id);
        it.at = std::min(it.at, as_of_);
        if (it.entry && listed != entries_.end() &&
            it.entry->start > listed->second.start)
            apply_change(std::move(it));
    }
    return change_count_ != before;
}

/// Appends to the log, whose revisions never decrease. The revision of a
/// removal is only known to precede the answer that reported it; if the target
/// is back in the same answer, its entry has an earlier revision. Filtered by
/// revision, a peer that has the entry would get only the removal and lose a
/// live target.
void target_list::log(target_change change)
{
    ++change_count_;
    if (!log_.empty())
        change.at = std::max(change.at, log_.back().at);
    latest_change_ = std::max(latest_change_, change.at);
    log_.push_back(std::move(change));
    if (log_.size() > log_limit) {
        log_from_ = std::max(log_from_, log_.front().at);
        log_.pop_front();
    }
}

std::optional<std::vector<target_change>>
target_list::changes_since(revision since) const
{
    if (!has_listing_ || since < log_from_)
        return std::nullopt;
    std::vector<target_change> out;
    for (const target_change& it : log_)
        if (it.at > since)
            out.push_back(it);
    return out;
}

} // namespace fennelladder::catalog
