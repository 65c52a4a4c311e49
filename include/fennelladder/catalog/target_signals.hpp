// Signals about a target in the headers of its answer: backpressure and the
// state of its lifecycle. Decoded by the adapter and kept per process by
// dispatch/signal_state.hpp, which documents the meaning of each signal.

#ifndef FENNELLADDER_CATALOG_TARGET_SIGNALS_HPP
#define FENNELLADDER_CATALOG_TARGET_SIGNALS_HPP

#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <optional>

namespace fennelladder::catalog {

struct target_signals
{
    bool leaving = false;
    /// The target rejected this request and asks this node to send none for
    /// this long; above 0, at most max_requested_backoff.
    std::optional<duration> backoff;
    std::optional<duration>
        remaining_cold; ///< Remaining time for which it is cold.
    /// Requests per second that it takes from all nodes together; from 0 to
    /// max_rate_limit.
    std::optional<double> rate_limit;
    /// Rejections a second, of requests from all nodes, above which the target
    /// fails: it is brittle. Unset: it isn't.
    std::optional<std::uint32_t> max_rejections;
    /// Whether the answer is certain to be the target's latest, so that a limit
    /// or a brittleness it doesn't name has ended.
    bool is_latest = false;
};

/// No node can reach a higher rate.
inline constexpr double max_rate_limit = 1e6;

/// A longer backoff would outlast the condition that the target asked for it
/// for.
inline constexpr duration max_requested_backoff = minutes(10);

} // namespace fennelladder::catalog

#endif
