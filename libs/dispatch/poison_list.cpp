#include "fennelladder/dispatch/poison_list.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <string>

namespace fennelladder::dispatch {

poison_list::poison_list(poison_list_options options) : options_(options)
{}

bool poison_list::is_poison(request_fingerprint fingerprint, instant now) const
{
    const auto it = entries_.find(fingerprint);
    return it != entries_.end() &&
           it->second.deaths.size() >= options_.deaths &&
           now - it->second.last < options_.retention;
}

bool poison_list::note_death(request_fingerprint fingerprint,
                             const catalog::target_process& target, instant now)
{
    entry& it = entries_[fingerprint];
    const auto of_id =
        std::ranges::find(it.deaths, target.id, &catalog::target_process::id);
    const bool known_id = of_id != it.deaths.end();
    if (known_id && !catalog::is_known(target.start))
        return false;
    if (known_id && !catalog::is_known(of_id->start)) {
        of_id->start = target.start;
        return false;
    }
    const auto place = std::ranges::lower_bound(it.deaths, target);
    if (place != it.deaths.end() && *place == target)
        return false;
    it.deaths.insert(place, target);
    it.last = now;
    evict(now);
    return true;
}

bool poison_list::merge(const poison_record& record, instant now)
{
    bool changed = false;
    for (const catalog::target_process& it : record.deaths)
        changed |= note_death(record.mark, it, now);
    return changed;
}

void poison_list::evict(instant now)
{
    if (entries_.size() <= options_.max_records)
        return;
    std::erase_if(entries_, [&](const auto& it) {
        return now - it.second.last >= options_.retention;
    });
    // Still full: drop records below the threshold, the least valuable ones.
    if (entries_.size() > options_.max_records)
        std::erase_if(entries_, [&](const auto& it) {
            return it.second.deaths.size() < options_.deaths;
        });
}

std::vector<poison_record> poison_list::recent(duration span, std::size_t limit,
                                               instant now) const
{
    std::vector<std::pair<instant, poison_record>> found;
    for (const auto& [fingerprint, it] : entries_)
        if (now - it.last < span)
            found.push_back({it.last, {fingerprint, it.deaths}});
    std::ranges::sort(found, std::greater<>(),
                      [](const auto& it) { return it.first; });
    std::vector<poison_record> out;
    for (auto& it : found)
        if (out.size() < limit)
            out.push_back(std::move(it.second));
    return out;
}

} // namespace fennelladder::dispatch
