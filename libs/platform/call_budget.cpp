#include "fennelladder/platform/call_budget.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder::platform {

std::string_view to_string(call_class which)
{
    switch (which) {
    case call_class::safety:
        return "safety";
    case call_class::refill:
        return "refill";
    case call_class::telemetry:
        break;
    }
    return "telemetry";
}

call_budget::call_budget(call_budget_options options, instant now)
    : options_(options), at_(now), level_(options.burst)
{
    assert(options.rate > 0 && options.burst >= 1);
}

double call_budget::reserve(call_class which) const
{
    switch (which) {
    case call_class::safety:
        return 0;
    case call_class::refill:
        return std::min(options_.refill_reserve * options_.burst,
                        options_.burst - 1);
    case call_class::telemetry:
        break;
    }
    return std::min(options_.telemetry_reserve * options_.burst,
                    options_.burst - 1);
}

double call_budget::share(instant now) const
{
    const double grown = to_seconds(now - at_) / to_seconds(options_.recovery);
    return std::min(1.0, share_ + grown);
}

double call_budget::level(instant now) const
{
    const double grown = to_seconds(now - at_) * options_.rate * share_;
    return std::min(options_.burst, level_ + grown);
}

double call_budget::rate(instant now) const
{
    return options_.rate * share(now);
}

bool call_budget::try_take(call_class which, instant now)
{
    assert(now >= at_);
    level_ = level(now);
    share_ = share(now);
    at_ = now;
    if (level_ < reserve(which) + 1)
        return false;
    level_ -= 1;
    return true;
}

instant call_budget::ready_at(call_class which, instant now) const
{
    const double missing = reserve(which) + 1 - level(now);
    if (missing <= 0)
        return now;
    const double wait = missing / (options_.rate * share(now));
    // Rounded up, so that the call is there when the time has come.
    return now + duration(static_cast<std::int64_t>(std::ceil(wait * 1e9)));
}

void call_budget::on_refused(instant now)
{
    if (halved_ && now - halved_at_ < options_.halving_interval)
        return;
    level_ = level(now);
    share_ = std::max(options_.least_share, share(now) / 2);
    at_ = now;
    halved_ = true;
    halved_at_ = now;
}

double rate_of_node(double fleet_rate, std::uint32_t nodes, double headroom)
{
    assert(nodes > 0);
    return fleet_rate * (1 - headroom) / nodes;
}

} // namespace fennelladder::platform
