// How a node of the fleet decides, as settings.
//
//     tuning_options options;
//     if (auto ok = set_tuning_option(options, "stock.horizon=12000"); !ok) ...
//
// The defaults are what was measured best and are meant to be left alone; an
// operator changes one to learn what a mechanism is worth on a fleet of his
// own, or to switch it off.

#ifndef FENNELLADDER_EDGE_TUNING_OPTIONS_HPP
#define FENNELLADDER_EDGE_TUNING_OPTIONS_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/dispatch/attempt_policy.hpp"
#include "fennelladder/dispatch/retry_allowance.hpp"
#include "fennelladder/dispatch/target_book.hpp"
#include "fennelladder/edge/entry_planner.hpp"
#include "fennelladder/edge/target_connection.hpp"
#include "fennelladder/prepaid/ration.hpp"
#include "fennelladder/prepaid/stock_plan.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::edge {

/// How long a request is waited with and for.
struct request_options
{
    /// Waiting for tokens, as a part of the route's objective: enough to ask a
    /// few peers and the platform once. A caller that is refused sooner can
    /// come back sooner.
    double token_wait_share = 0.125;
    /// When tokens are short for long, callers are asked to come back after
    /// this part of the time they have: by then the platform may be back.
    double retry_after_share = 1.0 / 3;
    /// Waiting for the first byte is given up after this many objectives, if
    /// the request may go elsewhere.
    double first_byte_timeout_factor = 2;
    /// The same for a pause in a stream.
    double stream_idle_timeout_factor = 2;
};

struct tuning_options
{
    prepaid::stock_options stock;
    prepaid::ration_options ration;
    dispatch::target_book_options registry;
    dispatch::attempt_policy_options attempts;
    dispatch::retry_allowance_options retries;
    entry_options entry;
    request_options requests;
    target_pool_options pool;
    /// Asks other nodes for tokens before a request is refused.
    bool requests_peer_tokens = true;
    /// Refuses callers while news are late, see mesh/news_lateness.hpp.
    bool refuses_when_late = true;
};

/// Takes a text of the form name=value; durations are whole milliseconds,
/// switches 0 or 1. Fails with `invalid` on an unknown name, and on a value
/// that isn't a number or is out of range. Pure.
status set_tuning_option(tuning_options& options, std::string_view text);

/// All names with their values, in the form that set_tuning_option() takes.
std::vector<std::string> list_tuning_options(const tuning_options& options);

} // namespace fennelladder::edge

#endif
