// Whether the platform is well, slow or out, as this node's calls show it.
//
//     if (auto changed = health.on_call(answered, latency, now))
//         log(*changed);
//
// A hint for operators and for pacing; nothing may be unsafe because of it.

#ifndef FENNELLADDER_PLATFORM_PLATFORM_HEALTH_HPP
#define FENNELLADDER_PLATFORM_PLATFORM_HEALTH_HPP

#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fennelladder::platform {

enum class platform_state : std::uint8_t
{
    well,
    slow, ///< It answers, but late.
    out   ///< It doesn't answer, or turns calls away.
};

/// The stable name of a state, such as "slow".
std::string_view to_string(platform_state state);

struct platform_health_options
{
    int failures_to_out = 3; ///< In a row.
    /// Smoothed latency above which it counts as slow; it counts as well
    /// again below half of it.
    duration slow_latency = milliseconds(250);
    double smoothing = 0.2; ///< Weight of the newest call.
};

/// Not thread safe.
class platform_health
{
public:
    explicit platform_health(platform_health_options options = {})
        : options_(options)
    {}

    /// Tells of a call that ended. An answer that says no, such as a
    /// conflict, is an answer. Returns the new state if it changed.
    std::optional<platform_state> on_call(bool answered, duration latency,
                                          instant now);

    platform_state state() const { return state_; }

    /// Since when; the epoch if it never changed.
    instant since() const { return since_; }

    /// Smoothed latency of answered calls.
    duration latency() const { return from_seconds(latency_); }

private:
    platform_state judge() const;

    platform_health_options options_;
    platform_state state_ = platform_state::well;
    instant since_;
    int failures_ = 0;   // In a row.
    double latency_ = 0; // Seconds.
};

} // namespace fennelladder::platform

#endif
