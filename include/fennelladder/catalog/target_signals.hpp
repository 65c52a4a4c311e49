// What an answer of a target says of the target itself, beside the answer: its
// backpressure and where it is in its life. Decoded by the adapter, kept for
// each process by dispatch/signal_state.hpp, which says what each signal means.

#ifndef FENNELLADDER_CATALOG_TARGET_SIGNALS_HPP
#define FENNELLADDER_CATALOG_TARGET_SIGNALS_HPP

#include "fennelladder/base/time.hpp"

#include <optional>

namespace fennelladder::catalog {

struct target_signals
{
    bool leaving = false;
    /// It turned this request away and wants nothing more from this node for
    /// so long; above 0, at most max_requested_rest.
    std::optional<duration> rest;
    std::optional<duration> remaining_cold; ///< How long it stays cold.
    /// Requests a second that it takes from all nodes together; from 0 to
    /// max_rate_limit.
    std::optional<double> rate_limit;
    /// Whether the answer is certain to be the target's latest: a limit that
    /// it doesn't name has ended.
    bool is_latest = false;
};

/// A limit above it is none that a node could reach.
inline constexpr double max_rate_limit = 1e6;

/// A longer rest would outlast what made the target ask for it.
inline constexpr duration max_requested_rest = minutes(10);

} // namespace fennelladder::catalog

#endif
