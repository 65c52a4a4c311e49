// A full listing is turned into changes against what was known, so that the
// log stays complete whichever way the news came.

#include "fennelladder/catalog/target_entry.hpp"

#include "fennelladder/base/address.hpp"

#include <algorithm>
#include <iterator>

namespace fennelladder::catalog {

namespace {

bool is_id(const std::string& text)
{
    return !text.empty() && text.size() <= longest_target_text;
}

} // namespace

status check_target(const target_entry& entry)
{
    if (!is_id(entry.id.str()))
        return fail(error_code::corrupt, "target's id");
    if (!is_id(entry.service.str()))
        return fail(error_code::corrupt, "target's service");
    if (!is_ip_and_port(entry.address))
        return fail(error_code::corrupt, "target's address");
    // An unknown data centre costs a detour and no more.
    if (entry.data_center.str().size() > longest_target_text)
        return fail(error_code::corrupt, "target's data centre");
    if (entry.slots == 0 || entry.slots > most_target_slots)
        return fail(error_code::corrupt, "target's slots");
    if (entry.warm_up_left < duration(0) ||
        entry.warm_up_left > longest_warm_up)
        return fail(error_code::corrupt, "target's warm-up");
    return {};
}

bool target_list::replace_all(const std::vector<target_change>& entries,
                              revision as_of)
{
    if (known_ && as_of < as_of_)
        return false;
    if (!known_)
        log_from_ = as_of;
    std::map<target_id, const target_change*> listed;
    for (const target_change& it : entries)
        listed.emplace(it.id, &it);
    std::vector<target_change> changes;
    for (const auto& [id, entry] : entries_)
        if (!listed.contains(id))
            changes.push_back({id, std::nullopt, as_of});
    for (const auto& [id, change] : listed) {
        const auto old = entries_.find(id);
        if (old == entries_.end() || old->second != change->entry)
            changes.push_back(*change);
    }
    known_ = true;
    return apply(changes, as_of);
}

bool target_list::apply(const std::vector<target_change>& changes,
                        revision as_of)
{
    if (!known_ || as_of < as_of_)
        return false;
    for (const target_change& it : changes)
        note(it);
    as_of_ = as_of;
    return true;
}

bool target_list::take_news(const target_news& news)
{
    if (!known_ || as_of_ < news.since || news.as_of <= as_of_)
        return false;
    std::vector<target_change> unknown;
    std::ranges::copy_if(
        news.changes, std::back_inserter(unknown),
        [&](const target_change& it) { return it.at > as_of_; });
    return apply(unknown, news.as_of);
}

target_news target_list::latest_news(std::size_t most) const
{
    target_news out;
    out.as_of = as_of_;
    const std::size_t skipped = log_.size() - std::min(most, log_.size());
    out.since = skipped == 0 ? log_from_ : log_[skipped - 1].at;
    out.changes.assign(log_.begin() + static_cast<std::ptrdiff_t>(skipped),
                       log_.end());
    return out;
}

/// The log never goes back. A removal is known only to have happened before
/// the answer that told it; if the target is back in the same answer, its
/// entry has an earlier revision. Filtered by revision, a peer that knows the
/// entry would get the removal alone and lose a target that serves.
void target_list::note(target_change change)
{
    if (!log_.empty())
        change.at = std::max(change.at, log_.back().at);
    if (change.entry)
        entries_[change.id] = *change.entry;
    else
        entries_.erase(change.id);
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
    if (!known_ || since < log_from_)
        return std::nullopt;
    std::vector<target_change> out;
    for (const target_change& it : log_)
        if (it.at > since)
            out.push_back(it);
    return out;
}

} // namespace fennelladder::catalog
