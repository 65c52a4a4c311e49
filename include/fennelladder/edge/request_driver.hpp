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

namespace fennelladder::edge {

class request_driver
{
public:
    request_driver(node_tables& tables, token_allocator& allocator,
                   stream_origin_exchange& origins,
                   quarantine_exchange& quarantine);

    /// Serves the request. Afterwards the reply is finished, or the caller's
    /// connection must be closed. Precondition: `cancellation` is unused.
    awaitable<void> serve(const caller_request& request, response_writer& reply,
                          request_cancellation_ptr cancellation);

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
