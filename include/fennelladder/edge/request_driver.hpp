// Drives one request from its caller through targets and back.
//
//     co_await driver.serve(request, reply, cancellation);
//
// In order: find the route and the team, find the software version that began
// a stream to be resumed, reserve the tokens that the request may cost, choose
// a target, check that the request isn't known to crash it, run an attempt,
// decide the next step, and send the caller its final response. Each decision
// is made by one of the pure libraries; the driver combines them and logs why a
// request ended as it did.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_REQUEST_DRIVER_HPP
#define FENNELLADDER_EDGE_REQUEST_DRIVER_HPP

#include "fennelladder/edge/attempt.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/quarantine_exchange.hpp"
#include "fennelladder/edge/stream_origin_exchange.hpp"
#include "fennelladder/edge/target_prober.hpp"
#include "fennelladder/edge/token_allocator.hpp"

#include <cstdint>
#include <optional>

namespace fennelladder::edge {

/// A response that refuses a request before any attempt.
struct refusal
{
    unsigned status = 503;
    std::optional<duration> retry_after;
    const char* reason = "";
};

/// What was decided when a request's head had been read.
struct head_decision
{
    std::uint64_t bytes = 0;        ///< Of head and body, as stated.
    std::optional<refusal> refused; ///< Unset: it is served.
};

class request_driver
{
public:
    request_driver(node_tables& tables, token_allocator& allocator,
                   stream_origin_exchange& origins,
                   quarantine_exchange& quarantine);

    /// Decides whether the host has the capacity for a request of so many bytes
    /// of which only the head has been read. While load is limited, also finds
    /// the definite answers that follow from the head. Counts as the one
    /// decision about this request; precondition: tuning option admission.limit
    /// is set.
    std::optional<refusal> check_head(const caller_request& head,
                                      response_writer& reply,
                                      std::uint64_t bytes);

    /// Serves the request, or refuses it as decided unless it has a definite
    /// answer. Afterwards the reply is finished, or the caller's connection
    /// must be closed. Precondition: `cancellation` is unused.
    awaitable<void> serve(const caller_request& request, response_writer& reply,
                          request_cancellation_ptr cancellation,
                          head_decision decided);

    /// Answers a request that was refused on its head.
    awaitable<void> refuse(const caller_request& head, response_writer& reply,
                           const refusal& why);

private:
    friend class request_run;

    node_tables& tables_;
    token_allocator& allocator_;
    stream_origin_exchange& origins_;
    quarantine_exchange& quarantine_;
    target_prober prober_;
};

} // namespace fennelladder::edge

#endif
