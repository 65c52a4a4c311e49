#include "fennelladder/platform/platform_health.hpp"

namespace fennelladder::platform {

std::string_view to_string(platform_state state)
{
    switch (state) {
    case platform_state::well:
        return "well";
    case platform_state::slow:
        return "slow";
    case platform_state::out:
        break;
    }
    return "out";
}

platform_state platform_health::judge() const
{
    if (failures_ >= options_.failures_to_out)
        return platform_state::out;
    // One failure tells nothing yet, and one answer doesn't end an outage of
    // which the failures go on.
    if (failures_ > 0)
        return state_;
    const double limit = to_seconds(options_.slow_latency);
    const bool was_slow = state_ == platform_state::slow;
    return latency_ > (was_slow ? limit / 2 : limit) ? platform_state::slow
                                                     : platform_state::well;
}

std::optional<platform_state>
platform_health::on_call(bool answered, duration latency, instant now)
{
    failures_ = answered ? 0 : failures_ + 1;
    if (answered)
        latency_ += options_.smoothing * (to_seconds(latency) - latency_);
    const platform_state next = judge();
    if (next == state_)
        return std::nullopt;
    state_ = next;
    since_ = now;
    return next;
}

} // namespace fennelladder::platform
