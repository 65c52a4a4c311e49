// A full listing is turned into changes against what was known, so that the
// log stays complete whichever way the news came. A change that a watch had
// missed may be older than the latest one known: it counts as of the listing,
// else nobody, this node's users of the list included, would see that there
// is something new.

#include "fennelladder/catalog/target_entry.hpp"

#include <algorithm>
#include <iterator>

namespace fennelladder::catalog {

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
            changes.push_back({id, change->entry, known_ ? as_of : change->at});
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
