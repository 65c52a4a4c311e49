// Carries one request from its caller to targets and back.
//
//     co_await driver.serve(request, reply, course);
//
// In order: find the route and the team, set aside the tokens it may cost,
// choose a target, attempt, decide what follows, and give the caller its
// final answer. Each decision is one of the pure libraries'; this is the one
// place that puts them together, and that logs why a request ended as it did.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_REQUEST_DRIVER_HPP
#define FENNELLADDER_EDGE_REQUEST_DRIVER_HPP

#include "fennelladder/edge/attempt.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/target_prober.hpp"
#include "fennelladder/edge/token_allocator.hpp"

namespace fennelladder::edge {

class request_driver
{
public:
    request_driver(node_tables& tables, token_allocator& desk);

    /// Answers the request. Afterwards the reply is either finished or the
    /// connection must be closed. Precondition: `course` is fresh.
    awaitable<void> serve(const caller_request& request, response_writer& reply,
                          request_cancellation_ptr course);

private:
    friend class request_run;

    node_tables& tables_;
    token_allocator& desk_;
    target_prober prober_;
};

} // namespace fennelladder::edge

#endif
