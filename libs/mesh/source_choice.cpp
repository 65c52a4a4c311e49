#include "fennelladder/mesh/source_choice.hpp"

#include <algorithm>
#include <iterator>

namespace fennelladder::mesh {

namespace {

/// A source of the own data centre counts as so many others.
constexpr double near_weight = 8;

/// Bounds of what a beacon may claim. One request a second is what a node
/// counts for that was named but not heard.
constexpr double least_capacity = 1;
constexpr double most_capacity = 1e5;

/// A question that is turned away takes 0.03 ms of a core, both ends together.
/// With one every 2 ms, a host of an eighth of a core still has time to send.
constexpr duration ask_spacing = milliseconds(2);
constexpr duration shortest_pause = milliseconds(50);
constexpr duration longest_pause = milliseconds(250);
constexpr duration longest_head_start = milliseconds(150);

/// First rests. A transfer takes some 100 ms; a connection that failed once
/// may be a lost packet, and what is missing has to come within seconds.
constexpr duration short_rest = milliseconds(100);
constexpr duration failure_rest = milliseconds(500);
constexpr int most_doublings = 2;

/// After this long without a question, failures before don't count.
constexpr duration memory = seconds(10);

double weight_of(const update_source& source, const data_center_id& own)
{
    // Written so that a number that is none counts as the least.
    const double capacity = source.capacity > least_capacity
                                ? std::min(source.capacity, most_capacity)
                                : least_capacity;
    return source.data_center == own ? capacity * near_weight : capacity;
}

} // namespace

std::string choose_source(const std::vector<update_source>& sources,
                          const data_center_id& own, random_source& random)
{
    double total = 0;
    for (const update_source& it : sources)
        total += weight_of(it, own);
    double left = random.unit() * total;
    for (const update_source& it : sources) {
        left -= weight_of(it, own);
        if (left < 0)
            return it.address;
    }
    // The sum may be off by a rounding.
    return sources.empty() ? std::string() : sources.back().address;
}

duration request_interval(std::size_t nodes, std::size_t sources)
{
    const auto each =
        static_cast<std::int64_t>(nodes / std::max<std::size_t>(sources, 1));
    return std::clamp<duration>(ask_spacing * each, shortest_pause,
                                longest_pause);
}

duration initial_delay(bool is_large, double large_fraction, std::size_t nodes,
                       std::size_t sources, random_source& random)
{
    const duration longest =
        std::min(request_interval(nodes, sources), longest_head_start);
    const double from = is_large ? 0 : large_fraction;
    const double to = is_large ? large_fraction : 1;
    return from_seconds((from + random.unit() * (to - from)) *
                        to_seconds(longest));
}

int source_backoff::note(const std::string& address, fetch_result end,
                         instant now, random_source& random)
{
    std::erase_if(
        rests_, [&](const auto& it) { return now - it.second.until > memory; });
    if (end == fetch_result::done) {
        rests_.erase(address);
        return 0;
    }
    rest& it = rests_[address];
    const int doublings = std::min(it.times, most_doublings);
    const duration base =
        end == fetch_result::failed ? failure_rest : short_rest;
    it.until = now + jitter(random, base * (1 << doublings));
    return ++it.times;
}

std::vector<update_source>
source_backoff::available(const std::vector<update_source>& sources,
                          instant now) const
{
    std::vector<update_source> out;
    std::ranges::copy_if(
        sources, std::back_inserter(out), [&](const update_source& it) {
            const auto rest = rests_.find(it.address);
            return rest == rests_.end() || now >= rest->second.until;
        });
    return out;
}

} // namespace fennelladder::mesh
