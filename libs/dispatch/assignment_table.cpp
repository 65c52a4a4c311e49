#include "fennelladder/dispatch/assignment_table.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fennelladder::dispatch {

namespace {

using place = std::pair<std::uint64_t, const host_id*>;

bool precedes(const place& a, const place& b)
{
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
}

/// Bounds the cache of ranks, since targets come and go.
constexpr std::size_t max_ranks = 4096;

bool contains(const std::vector<host_id>& hosts, const host_id& host)
{
    return std::ranges::find(hosts, host) != hosts.end();
}

} // namespace

assignment_table::assignment_table(host_id self, assignment_options options)
    : self_(std::move(self)), options_(options)
{}

void assignment_table::set_hosts(std::vector<host_id> first,
                                 std::vector<host_id> rest)
{
    if (first == first_ && rest == rest_)
        return;
    ranks_.clear();
    first_ = std::move(first);
    rest_ = std::move(rest);
    is_first_ = contains(first_, self_);
    is_rest_ = contains(rest_, self_);
}

/// How many hosts rank before this one for the target. Precondition: this host
/// is in one of the two lists.
std::size_t assignment_table::rank(const target_id& target) const
{
    assert(is_first_ || is_rest_);
    if (ranks_.size() >= max_ranks)
        ranks_.clear();
    const auto [it, is_new] = ranks_.try_emplace(target);
    if (is_new)
        it->second = count_higher_ranked(target);
    return it->second;
}

std::size_t assignment_table::count_higher_ranked(const target_id& target) const
{
    const std::uint64_t seed = hash64(target.str());
    const auto place_of = [&](const host_id& host) {
        return place(hash64(host.str(), seed), &host);
    };
    const place own = place_of(self_);
    const auto& peers = is_first_ ? first_ : rest_;
    const auto ahead = std::ranges::count_if(
        peers, [&](const host_id& it) { return precedes(place_of(it), own); });
    return static_cast<std::size_t>(ahead) + (is_first_ ? 0 : first_.size());
}

std::uint32_t assignment_table::cold_quota(const target_id& target,
                                           std::uint32_t limit) const
{
    const auto planned =
        static_cast<std::size_t>(limit * options_.planned_share);
    if (!is_first_ || planned == 0)
        return 0;
    const std::size_t assigned =
        std::min({options_.assigned_nodes, first_.size(), planned});
    if (rank(target) >= assigned)
        return 0;
    return static_cast<std::uint32_t>(planned / assigned);
}

std::uint32_t assignment_table::limited_quota(const target_id& target,
                                              double rate,
                                              duration silence) const
{
    if (!is_first_ && !is_rest_)
        return 0;
    // At least one request per window, to detect the end of the limit.
    const double each_span = std::max(rate * to_seconds(limit_window), 1.0);
    const auto planned = static_cast<std::size_t>(each_span);
    const std::size_t assigned =
        std::min(std::max(std::min(options_.assigned_nodes, planned),
                          planned / options_.min_requests_per_node),
                 first_.size() + rest_.size());
    const std::size_t ahead = rank(target);
    if (ahead < assigned)
        return static_cast<std::uint32_t>(planned / assigned +
                                          (ahead < planned % assigned ? 1 : 0));
    const double spans =
        std::max(to_seconds(silence) / to_seconds(limit_window), 0.0);
    const auto more = static_cast<std::size_t>(each_span * spans / 4);
    return ahead < assigned + more ? 1 : 0;
}

std::uint32_t assignment_table::place_share(const target_id& target,
                                            std::uint32_t slots) const
{
    if (!is_first_ && !is_rest_)
        return 1;
    const std::size_t hosts = first_.size() + rest_.size();
    return static_cast<std::uint32_t>(slots / hosts +
                                      (rank(target) < slots % hosts ? 1 : 0));
}

void recent_sends::note(instant now)
{
    while (!sends_.empty() && now - sends_.front() > limit_window)
        sends_.pop_front();
    sends_.push_back(now);
}

std::size_t recent_sends::count(instant now, duration span) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        sends_, [&](instant it) { return now - it <= span; }));
}

} // namespace fennelladder::dispatch
