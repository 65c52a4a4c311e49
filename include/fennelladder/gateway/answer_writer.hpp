// Writes one answer to a caller: streamed, whole, or an error.
//
//     answer_writer out(exchange, {.stream = true, .model = model});
//     out.text("Loosen the axle nut");       // false: the caller has gone
//     out.end(reply, {.prompt = 12, .output = 5});
//
// A streamed answer begins with the first text; a request that ends without
// any is answered by a status code and a JSON body. Every answer carries the
// outcome, the code, the key and the origin, in headers where they are known
// before the body, and in the last event of a stream. A stream whose outcome
// is not `answered` ends with an event that says so and without "[DONE]", so
// that a caller can't take a part for the whole.
//
// Used by one thread.

#ifndef FENNELLADDER_GATEWAY_ANSWER_WRITER_HPP
#define FENNELLADDER_GATEWAY_ANSWER_WRITER_HPP

#include "fennelladder/http/server.hpp"
#include "fennelladder/request/outcome.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fennelladder::gateway {

/// How an answer is written.
struct answer_options
{
    bool stream = false;
    std::string model;  ///< Named in a completion's answer.
    request_key key;    ///< Told in the head of a stream.
    std::string origin; ///< Likewise; empty: not told.
};

/// Tokens of a completion, as counted by the engine; 0: not known.
struct token_usage
{
    std::int64_t prompt = 0;
    std::int64_t output = 0;
};

/// Status code of a reply. Stable; docs/API.md lists them.
int status_of(const request::outcome_reply& reply);

/// The JSON of a reply without an answer: {"error": ..., "outcome": ...}.
std::string error_body(const request::outcome_reply& reply,
                       std::string_view origin);

class answer_writer
{
public:
    answer_writer(http::exchange& to, answer_options form);

    /// The next piece of the answer. False if the caller has gone.
    bool text(std::string_view piece);

    /// Keeps a silent stream alive with a comment. False if the caller has
    /// gone. Does nothing before the first text.
    bool keep_alive();

    /// Ends the answer. Call once, last.
    void end(const request::outcome_reply& reply, const token_usage& usage);

    /// Ends the answer with the body of a plain service, as it is.
    void end_service_call(const request::outcome_reply& reply, int status,
                          const std::string& content_type,
                          const std::string& body);

    bool caller_disconnected() const { return gone_; }

private:
    void end_stream(const request::outcome_reply& reply,
                    const token_usage& usage);
    std::vector<http::response_header>
    headers(const request::outcome_reply& reply) const;

    http::exchange& to_;
    answer_options form_;
    std::string whole_; // of an answer that isn't streamed
    bool begun_ = false;
    bool gone_ = false;
};

} // namespace fennelladder::gateway

#endif
