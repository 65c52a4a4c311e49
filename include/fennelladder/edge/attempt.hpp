// One attempt of a request at one target: connect, send, read the answer and
// pass it on.
//
//     attempt_outcome got = co_await run_attempt(input);
//
// What is passed on while the attempt lasts: a stream's whole events, each as
// it comes, and the body of an answer that is too large to hold. All other
// answers are held until they are complete, so that a broken one can be asked
// for again elsewhere.
//
// An answer counts only if it names this request. One that names another (a
// late second answer to the request before, on a kept connection) is read to
// its end and thrown away.

#ifndef FENNELLADDER_EDGE_ATTEMPT_HPP
#define FENNELLADDER_EDGE_ATTEMPT_HPP

#include "fennelladder/dispatch/attempt_policy.hpp"
#include "fennelladder/dispatch/target_book.hpp"
#include "fennelladder/edge/caller_reply.hpp"
#include "fennelladder/edge/event_splitter.hpp"
#include "fennelladder/edge/exchange.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "platform/request_headers.hpp"

#include <string>

namespace fennelladder::edge {

/// A caller's request, read to its end.
struct caller_request
{
    std::string method;
    std::string path; ///< With its query, as the caller wrote it.
    adapter::header_fields fields;
    std::string body;
    bool has_body = false;
    adapter::request_header_values facts;
    instant arrived;     ///< When its head was read.
    bool dialed = false; ///< It is the first on its connection.
};

struct attempt_input
{
    node_tables& tables;
    exchange& course;
    const caller_request& request;
    const catalog::route& way;
    const dispatch::choice& target;
    adapter::forwarding_headers order;
    caller_reply& reply;
    event_splitter& events;
    /// Rest that a kept connection may have had at most.
    duration longest_rest{0};
    /// Silence after which the attempt is given up; unset: none.
    std::optional<duration> first_byte_limit;
    std::optional<duration> gap_limit;
};

struct attempt_outcome
{
    dispatch::attempt_end ended = dispatch::attempt_end::broken;
    dispatch::target_evidence evidence = dispatch::target_evidence::nothing;
    std::optional<instant> sent_at; ///< When bytes of the request went out.
    bool first_byte = false;        ///< An answer to it began.
    bool kept_connection = false;   ///< Not dialled for this attempt.
    /// A kept connection ended before any answer: most likely before the
    /// request came.
    bool idle_race = false;
    /// The target was told that the caller is gone, and ended the connection
    /// without having sent anything: it made no token.
    bool nothing_made = false;
    /// A part of an answer that is no stream was passed on: nothing else can
    /// follow it.
    bool part_stands_alone = false;
    answer_head head; ///< Of a failure that may be passed on.
    std::string body;
    std::string detail; ///< For the log.
};

awaitable<attempt_outcome> run_attempt(attempt_input& in);

} // namespace fennelladder::edge

#endif
