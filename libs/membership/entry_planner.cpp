// Weighted rendezvous hashing: member i scores -w_i / ln(u_i), where u_i in
// (0, 1) is the hash of (caller, member); the highest scores win. A member
// wins a share of callers in proportion to its weight, and changing one weight
// moves callers only from or to that member. Weights are rounded to eighths
// so that a load that wobbles moves nobody.
//
// The order is by tier, then by distance, then by score. With three or more
// addresses the last one is from another data center where there is one, so
// that a caller whose whole data center went still has somewhere to go.

#include "fennelladder/membership/entry_planner.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fennelladder::membership {

namespace {

constexpr double weight_steps = 8;
constexpr std::uint32_t average_load = 500;
constexpr std::uint32_t full_load = 1000;
constexpr int largest_doubling = 10;

// Uniform in (0, 1), never an end.
double unit_from(std::uint64_t hash)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2 to the 53rd
    return (static_cast<double>(hash >> 11U) + 0.5) * scale;
}

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b * 0x9E3779B97F4A7C15ULL);
    x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27U)) * 0x94D049BB133111EBULL;
    return x ^ (x >> 31U);
}

} // namespace

void entry_planner::update(const member_table& table, instant now)
{
    candidates_.clear();
    add(table.self(), now);
    for (const auto& [host, row] : table.members())
        add(row, now);
}

void entry_planner::add(const member& row, instant now)
{
    const bool usable = row.up() && row.described &&
                        row.state != member_state::joining &&
                        !row.description.caller_address.empty();
    if (!usable)
        return;
    candidate it;
    it.fitness = fitness_of(row, now);
    it.weight = weight_of(row, now);
    it.hash = hash64(row.host.str());
    it.region = row.description.region;
    it.address = {row.host, row.description.caller_address,
                  row.description.life, row.description.data_center};
    candidates_.push_back(std::move(it));
}

entry_planner::tier entry_planner::fitness_of(const member& row,
                                              instant now) const
{
    if (row.state == member_state::draining)
        return tier::draining;
    if (row.health == member_health::suspect)
        return tier::suspect;
    if (row.leaving)
        return tier::leaving;
    if (row.flaps == 0)
        return tier::fit;
    // A member that keeps coming and going would be given out in each of its
    // good moments and fail its callers in the next; it has to stay for
    // longer each time.
    const int doublings =
        std::min<int>(static_cast<int>(row.flaps) - 1, largest_doubling);
    const duration wait =
        std::min(options_.settle * (1 << doublings), options_.longest_settle);
    return now - row.changed_at < wait ? tier::unsettled : tier::fit;
}

double entry_planner::weight_of(const member& row, instant now) const
{
    const bool fresh = now - row.sampled_at <= options_.load_memory;
    const std::uint32_t load =
        fresh ? std::min(row.sample.load, full_load) : average_load;
    const double free = static_cast<double>(full_load - load) / full_load;
    const double rounded = std::round(free * weight_steps);
    return std::max(rounded, 1.0) * row.description.capacity;
}

std::vector<entry_planner::ranked>
entry_planner::rank(const entry_request& request) const
{
    const std::uint64_t caller = hash64(request.caller.str());
    std::vector<ranked> out;
    out.reserve(candidates_.size());
    for (const candidate& it : candidates_) {
        const double u = unit_from(mix(caller, it.hash));
        int distance = it.region == request.region ? 1 : 2;
        if (it.address.data_center == request.data_center)
            distance = 0;
        out.push_back({&it, distance, -it.weight / std::log(u)});
    }
    std::ranges::sort(out, [](const ranked& a, const ranked& b) {
        return std::tie(a.who->fitness, a.distance, b.score) <
               std::tie(b.who->fitness, b.distance, a.score);
    });
    return out;
}

entry_answer entry_planner::answer(const entry_request& request) const
{
    const std::vector<ranked> order = rank(request);
    entry_answer out;
    const std::size_t n = std::min(options_.addresses, order.size());
    for (std::size_t i = 0; i < n; ++i)
        out.addresses.push_back(order[i].who->address);
    if (n >= 3) {
        const data_center_id& home = out.addresses.front().data_center;
        const auto other = std::ranges::find_if(order, [&](const ranked& it) {
            return it.who->address.data_center != home &&
                   it.who->fitness == order.front().who->fitness;
        });
        const bool all_home =
            std::ranges::all_of(out.addresses, [&](const entry_address& it) {
                return it.data_center == home;
            });
        if (all_home && other != order.end())
            out.addresses.back() = other->who->address;
    }
    // Spread, so that callers who came together don't come back together.
    const double u = unit_from(mix(hash64(request.caller.str(), 1), 1));
    out.valid_for =
        from_seconds(to_seconds(options_.valid_for) * (0.75 + 0.25 * u));
    return out;
}

} // namespace fennelladder::membership
