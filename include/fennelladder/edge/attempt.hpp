// One attempt to serve a request at one target: connect, send the request, read
// the response and relay it to the caller.
//
//     attempt_outcome got = co_await run_attempt(input);
//
// Event streams are relayed event by event as they arrive, and a body that is
// too large to buffer is relayed while it is read. All other responses are
// buffered until they are complete, so that the request can be retried at
// another target if the response breaks off.
//
// A request to a target that only peers reach goes through one of them
// (edge/relay.hpp). This node keeps all that belongs to the request: tokens,
// deadline, retries and what the target signals.
//
// A response is accepted only if it names this request. One that names another
// request (such as a late duplicate response to the previous request on a
// reused connection) is read to its end and discarded.

#ifndef FENNELLADDER_EDGE_ATTEMPT_HPP
#define FENNELLADDER_EDGE_ATTEMPT_HPP

#include "fennelladder/dispatch/attempt_policy.hpp"
#include "fennelladder/dispatch/target_registry.hpp"
#include "fennelladder/edge/event_splitter.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/request_cancellation.hpp"
#include "fennelladder/edge/response_writer.hpp"
#include "platform/request_headers.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace fennelladder::edge {

/// A caller's request, fully read.
struct caller_request
{
    std::string method;
    std::string path; ///< Including the query, as the caller sent it.
    adapter::header_fields fields;
    std::vector<adapter::long_field> long_fields;
    /// Shared with a write to a target, which may outlive the request. Null if
    /// it has none.
    std::shared_ptr<const std::string> body;
    bool has_body = false;
    adapter::request_header_values header_values;
    instant arrived; ///< When the head had been read.
    bool first_on_connection = false;

    std::string_view body_text() const
    {
        return body ? std::string_view(*body) : std::string_view();
    }
};

/// How a target's response says where its body ends.
enum class body_framing : std::uint8_t
{
    unknown, ///< There was no response, or it has no body.
    length,
    chunks,
    connection_end ///< With the connection: it states no end.
};

std::string_view to_string(body_framing value);

struct attempt_input
{
    node_tables& tables;
    request_cancellation& cancellation;
    const caller_request& request;
    const catalog::route& route;
    const dispatch::choice& target;
    dispatch::target_use& use; ///< Of `target`, by this attempt.
    adapter::forwarding_headers forwarding;
    response_writer& reply;
    event_splitter& events;
    /// Longest time for which a reused connection may have been idle.
    duration max_idle_time{0};
    /// Time without a byte after which the attempt is abandoned, before the
    /// response and between its parts; unset: no limit.
    std::optional<duration> first_byte_timeout;
    std::optional<duration> progress_timeout;
    /// Of the request. It isn't sent if one of them came under suspicion since
    /// it was checked, unless it has a lease.
    std::span<const dispatch::crash_mark> marks{};
    dispatch::run_place place{}; ///< Of the target.
    bool leased = false;
};

struct attempt_outcome
{
    dispatch::attempt_end ended = dispatch::attempt_end::broken;
    dispatch::target_evidence evidence = dispatch::target_evidence::nothing;
    std::optional<instant> sent_at; ///< When sending the request began.
    bool first_byte = false;        ///< A response to it began.
    bool reused_connection = false; ///< Taken from the idle ones.
    /// A reused connection ended before any response, most likely before the
    /// request reached the target.
    bool stale_connection = false;
    /// The caller left, and the target closed the connection without sending
    /// anything: it generated no token.
    bool produced_nothing = false;
    /// Part of a response that is no event stream was relayed, so no other
    /// attempt can continue the response.
    bool partial_body_sent = false;
    response_head head; ///< Of a failure response that may be relayed.
    std::string body;   ///< Body that belongs to `head`.
    body_framing framing = body_framing::unknown;
    host_id relay;      ///< The peer that relayed it; empty if none.
    std::string detail; ///< For the log.
};

/// Runs one attempt. `in` must stay valid until it is over.
awaitable<attempt_outcome> run_attempt(attempt_input& in);

} // namespace fennelladder::edge

#endif
