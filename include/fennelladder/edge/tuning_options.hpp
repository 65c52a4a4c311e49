// Parameters of the policies by which a node chooses targets, retries and
// obtains tokens.
//
//     tuning_options options;
//     if (auto ok = set_tuning_option(options, "stock.horizon=12000"); !ok) ...
//
// The defaults are meant to be kept. Change a parameter only to measure what a
// mechanism contributes on a given fleet, or to disable it.

#ifndef FENNELLADDER_EDGE_TUNING_OPTIONS_HPP
#define FENNELLADDER_EDGE_TUNING_OPTIONS_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/dispatch/admission_control.hpp"
#include "fennelladder/dispatch/attempt_policy.hpp"
#include "fennelladder/dispatch/retry_budget.hpp"
#include "fennelladder/dispatch/target_registry.hpp"
#include "fennelladder/edge/entry_planner.hpp"
#include "fennelladder/edge/target_connection.hpp"
#include "fennelladder/prepaid/stock_plan.hpp"
#include "fennelladder/prepaid/urgency_reserve.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::edge {

/// Timeouts of a request, relative to its route's objective or deadline.
struct request_options
{
    /// Longest wait for tokens, as a fraction of the route's objective: enough
    /// to ask a few peers and the platform once. A caller that is refused
    /// earlier can retry earlier.
    double token_wait_share = 0.125;
    /// During a lasting token shortage, callers are told to retry after this
    /// fraction of their remaining time: the platform may be reachable by then.
    double retry_after_share = 1.0 / 3;
    /// Timeout for the first byte, as a multiple of the route's objective. Only
    /// applies if the request may be sent to another target.
    double first_byte_timeout_factor = 2;
    /// The same for a gap between two parts of a stream.
    double stream_idle_timeout_factor = 2;
};

struct tuning_options
{
    prepaid::stock_options stock;
    prepaid::urgency_reserve_options urgency_reserve;
    dispatch::target_registry_options registry;
    dispatch::attempt_policy_options attempts;
    dispatch::retry_budget_options retries;
    entry_options entry;
    request_options requests;
    connection_pool_options pool;
    /// Asks other nodes for tokens before a request is refused.
    bool requests_peer_tokens = true;
    /// Refuses callers while updates arrive late, see mesh/update_lateness.hpp.
    bool refuses_when_late = true;
    /// Gets a configuration by datagrams when connections to peers fail, and
    /// answers peers that do, see edge/configuration_datagrams.hpp.
    bool fetches_by_datagram = false;
    /// Refuses requests beyond what the host can do, on their heads, and bounds
    /// new connections.
    bool refuses_beyond_capacity = false;
    dispatch::admission_options admission; ///< Of that.
    /// Measures the load of the host's link and the delay of dials, see
    /// dispatch/link_load.hpp; while the link is full, what fails is no
    /// evidence against targets, and no peer is asked for a relay.
    bool measures_link = false;
};

/// Sets one option from a text of the form name=value. Durations are in
/// milliseconds, switches are 0 or 1. Fails with `invalid` if the name is
/// unknown or the value isn't a number or is out of range.
status set_tuning_option(tuning_options& options, std::string_view text);

/// All options with their values, in the form that set_tuning_option() takes.
std::vector<std::string> list_tuning_options(const tuning_options& options);

} // namespace fennelladder::edge

#endif
