#include "fennelladder/dispatch/stream_origins.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace fennelladder::dispatch {

stream_key stream_key_of(std::string_view request, const team_id& team)
{
    return stream_key(hash64(request, hash64(team.str())));
}

stream_key stream_key_of(request_fingerprint content,
                         std::span<const std::uint64_t> prompt)
{
    std::uint64_t out = content.value();
    for (const std::uint64_t it : prompt)
        out = hash64(to_hex(it), out);
    return stream_key(out);
}

stream_origin_table::stream_origin_table(stream_origin_options options)
    : options_(options)
{}

void stream_origin_table::note(const stream_origin& origin, instant now,
                               duration age)
{
    const instant made = now - age;
    const auto [it, added] =
        records_.try_emplace(origin.key, record{origin, made});
    if (added)
        by_age_.emplace_back(origin.key, now);
    else if (std::pair(it->second.origin.attempt, it->second.made) <=
             std::pair(origin.attempt, made))
        it->second = {origin, made};
    evict(now);
}

void stream_origin_table::evict(instant now)
{
    while (!by_age_.empty() &&
           (by_age_.size() > options_.max_records ||
            now - by_age_.front().second > options_.retention)) {
        records_.erase(by_age_.front().first);
        by_age_.pop_front();
    }
}

std::optional<aged_origin> stream_origin_table::find(stream_key key,
                                                     instant now) const
{
    const auto it = records_.find(key);
    if (it == records_.end())
        return std::nullopt;
    return aged_origin{it->second.origin, now - it->second.made};
}

std::vector<aged_origin> stream_origin_table::recent(duration span,
                                                     instant now) const
{
    std::vector<aged_origin> out;
    for (const auto& [key, added] : by_age_) {
        const record& it = records_.at(key);
        if (now - it.made <= span)
            out.push_back({it.origin, now - it.made});
    }
    return out;
}

void version_history::sync(const catalog::target_list::entry_map& listed,
                           instant now)
{
    if (!known_since_)
        known_since_ = now;
    std::map<service_id, std::set<catalog::software_version>> present;
    for (const auto& [id, entry] : listed)
        present[entry.service].insert(entry.software);
    for (auto& [service, versions] : versions_) {
        const auto& still = present[service];
        for (auto& [version, gone] : versions)
            if (!gone && !still.contains(version))
                gone = now;
        std::erase_if(versions, [&](const auto& it) {
            return it.second && now - *it.second > span_;
        });
    }
    for (const auto& [service, versions] : present)
        for (const auto& version : versions)
            versions_[service][version] = std::nullopt;
}

void version_history::note_changes(
    std::span<const catalog::target_change> changes, instant now)
{
    for (const catalog::target_change& it : changes)
        if (it.entry)
            versions_[it.entry->service].try_emplace(it.entry->software, now);
}

void version_history::confirm(instant at, bool follows_all)
{
    if (confirmed_at_ && at <= *confirmed_at_)
        return;
    const bool has_gap =
        confirmed_at_ && !follows_all && at - *confirmed_at_ > max_gap_;
    if (has_gap && known_since_)
        known_since_ = std::max(*known_since_, at);
    confirmed_at_ = at;
}

recent_versions version_history::of(const service_id& service,
                                    instant now) const
{
    recent_versions out;
    out.complete = covers_span(now);
    const auto found = versions_.find(service);
    if (found != versions_.end())
        for (const auto& [version, gone] : found->second)
            if (!gone || now - *gone <= span_)
                out.versions.insert(version);
    const auto recorded = recorded_.find(service);
    if (out.complete || recorded == recorded_.end())
        return out;
    out.versions.insert(recorded->second.begin(), recorded->second.end());
    out.complete = is_followed(now) && has_recorded();
    return out;
}

void version_history::add_recorded(const version_map& recorded, instant now)
{
    recorded_ = recorded;
    recorded_at_ = now;
}

version_history::version_map version_history::all(instant now) const
{
    version_map out;
    for (const auto& [service, versions] : versions_)
        out[service] = of(service, now).versions;
    return out;
}

void recent_versions::merge(const recent_versions& other)
{
    versions.insert(other.versions.begin(), other.versions.end());
    complete |= other.complete;
}

std::optional<catalog::software_version> recent_versions::only_known() const
{
    if (versions.size() != 1)
        return std::nullopt;
    return *versions.begin();
}

std::optional<catalog::software_version> recent_versions::only() const
{
    return complete ? only_known() : std::nullopt;
}

std::vector<host_id>
stream_record_holders(stream_key key, const std::vector<record_holder>& hosts,
                      std::size_t most)
{
    using ranked_host = std::pair<std::uint64_t, const record_holder*>;
    std::vector<ranked_host> ranked;
    ranked.reserve(hosts.size());
    for (const record_holder& it : hosts)
        ranked.emplace_back(hash64(it.host.str(), key.value()), &it);
    std::ranges::sort(ranked, std::greater<>(), &ranked_host::first);
    // The first host of each data centre, by rank, before the others.
    std::set<data_center_id> seen;
    std::stable_partition(ranked.begin(), ranked.end(),
                          [&](const ranked_host& it) {
                              return seen.insert(it.second->data_center).second;
                          });
    ranked.resize(std::min(ranked.size(), most));
    std::vector<host_id> out;
    out.reserve(ranked.size());
    for (const ranked_host& it : ranked)
        out.push_back(it.second->host);
    return out;
}

resumption decide_resumption(const resumption_evidence& evidence)
{
    if (evidence.origin && evidence.origin->service != evidence.service)
        return resumption::other_service;
    if (evidence.origin)
        return resumption::at_origin;
    if (!evidence.has_one_service)
        return resumption::unknown;
    if (!evidence.versions.only())
        return resumption::unknown;
    return evidence.list_confirmed ? resumption::at_only
                                   : resumption::wait_for_list;
}

std::string_view to_string(resumption value)
{
    switch (value) {
    case resumption::at_origin:
        return "at_origin";
    case resumption::at_only:
        return "at_only";
    case resumption::wait_for_list:
        return "wait_for_list";
    case resumption::other_service:
        return "other_service";
    case resumption::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace fennelladder::dispatch
