#include "fennelladder/dispatch/carrier_table.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::dispatch {

namespace {

constexpr duration counted_span = seconds(1);

using place = std::pair<std::uint64_t, const host_id*>;

bool precedes(const place& a, const place& b)
{
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
}

} // namespace

carrier_table::carrier_table(host_id self, carrier_options options)
    : self_(std::move(self)), options_(options)
{}

void carrier_table::set_hosts(std::vector<host_id> hosts)
{
    hosts_ = std::move(hosts);
    may_carry_ = std::ranges::find(hosts_, self_) != hosts_.end();
}

std::uint32_t carrier_table::share(const target_id& target,
                                   std::uint32_t limit) const
{
    const auto planned = static_cast<std::size_t>(limit * options_.planned);
    if (!may_carry_ || planned == 0)
        return 0;
    const std::size_t carriers =
        std::min({options_.carriers, hosts_.size(), planned});
    const std::uint64_t seed = hash64(target.str());
    const auto place_of = [&](const host_id& host) {
        return place(hash64(host.str(), seed), &host);
    };
    const place own = place_of(self_);
    const auto ahead = std::ranges::count_if(
        hosts_, [&](const host_id& it) { return precedes(place_of(it), own); });
    if (static_cast<std::size_t>(ahead) >= carriers)
        return 0;
    return static_cast<std::uint32_t>(planned / carriers);
}

void recent_sends::note(instant now)
{
    while (!sends_.empty() && now - sends_.front() > counted_span)
        sends_.pop_front();
    sends_.push_back(now);
}

std::size_t recent_sends::count(instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        sends_, [&](instant it) { return now - it <= counted_span; }));
}

} // namespace fennelladder::dispatch
