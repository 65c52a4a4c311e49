#include "fennelladder/mesh/source_choice.hpp"

#include <algorithm>
#include <iterator>

namespace fennelladder::mesh {

namespace {

/// Weight of a source in the own data centre relative to others.
constexpr double local_weight = 8;

/// Limits on the capacity from a heartbeat. A node that was named but not heard
/// counts with one request per second.
constexpr double min_capacity = 1;
constexpr double max_capacity = 1e5;

/// A request that is turned away takes 0.03 ms of a core, both ends together.
/// With one every 2 ms, a host with an eighth of a core still has time to send.
constexpr duration request_spacing = milliseconds(2);
constexpr duration min_request_interval = milliseconds(50);
constexpr duration max_request_interval = milliseconds(250);
constexpr duration max_initial_delay = milliseconds(150);

/// Initial backoffs. A transfer takes some 100 ms. A failed connection may be
/// due to one lost packet, and the missing data has to arrive within seconds.
constexpr duration initial_backoff = milliseconds(100);
constexpr duration initial_failure_backoff = milliseconds(500);
constexpr int max_doublings = 2;

/// Failures are forgotten this long after the backoff ended.
constexpr duration backoff_memory = seconds(10);

double weight_of(const update_source& source, const data_center_id& own)
{
    // Written so that NaN counts as the minimum.
    const double capacity = source.capacity > min_capacity
                                ? std::min(source.capacity, max_capacity)
                                : min_capacity;
    return source.data_center == own ? capacity * local_weight : capacity;
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
    // Reached without sources, or through a rounding error of the sum.
    return sources.empty() ? std::string() : sources.back().address;
}

duration request_interval(std::size_t nodes, std::size_t sources)
{
    const auto each =
        static_cast<std::int64_t>(nodes / std::max<std::size_t>(sources, 1));
    return std::clamp<duration>(request_spacing * each, min_request_interval,
                                max_request_interval);
}

duration initial_delay(bool is_large, double large_fraction, std::size_t nodes,
                       std::size_t sources, random_source& random)
{
    const duration longest =
        std::min(request_interval(nodes, sources), max_initial_delay);
    const double from = is_large ? 0 : large_fraction;
    const double to = is_large ? large_fraction : 1;
    return from_seconds((from + random.unit() * (to - from)) *
                        to_seconds(longest));
}

int source_backoff::note(const std::string& address, fetch_result end,
                         instant now, random_source& random)
{
    std::erase_if(entries_, [&](const auto& it) {
        return now - it.second.until > backoff_memory;
    });
    if (end == fetch_result::done) {
        entries_.erase(address);
        return 0;
    }
    entry& it = entries_[address];
    const int doublings = std::min(it.failures, max_doublings);
    const duration base =
        end == fetch_result::failed ? initial_failure_backoff : initial_backoff;
    it.until = now + jitter(random, base * (1 << doublings));
    return ++it.failures;
}

std::vector<update_source>
source_backoff::available(const std::vector<update_source>& sources,
                          instant now) const
{
    std::vector<update_source> out;
    std::ranges::copy_if(
        sources, std::back_inserter(out), [&](const update_source& it) {
            const auto entry = entries_.find(it.address);
            return entry == entries_.end() || now >= entry->second.until;
        });
    return out;
}

} // namespace fennelladder::mesh
