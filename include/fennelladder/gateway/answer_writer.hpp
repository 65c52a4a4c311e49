// Writes one response to a caller: streamed, buffered, or an error.
//
//     answer_writer out(exchange, {.stream = true, .model = model});
//     out.text("Loosen the axle nut");       // false: the caller disconnected
//     out.end(reply, {.prompt = 12, .output = 5});
//
// A streamed response starts with the first text; a request that ends without
// any text gets a status code and a JSON body. Every response states the
// outcome, the code, the key and the origin: in headers where they are known
// before the body, and in the last event of a stream. A stream whose outcome
// is not `answered` ends with an event that states this and without "[DONE]",
// so that a caller can't mistake a partial response for a complete one.
//
// Not thread safe: each writer is used by one thread.

#ifndef FENNELLADDER_GATEWAY_ANSWER_WRITER_HPP
#define FENNELLADDER_GATEWAY_ANSWER_WRITER_HPP

#include "fennelladder/http/server.hpp"
#include "fennelladder/request/outcome.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fennelladder::gateway {

/// Format and fixed fields of a response.
struct answer_options
{
    bool stream = false;
    std::string model;  ///< Included in the response to a completion.
    request_key key;    ///< Sent as a header of a stream.
    std::string origin; ///< Likewise; if empty, omitted.
};

/// Tokens of a completion, as counted by the engine; 0 if unknown.
struct token_usage
{
    std::int64_t prompt = 0;
    std::int64_t output = 0;
};

/// HTTP status code of a reply. Stable; docs/API.md lists the codes.
int status_of(const request::outcome_reply& reply);

/// JSON body of a reply without a result:
/// {"error": ..., "outcome": ...}.
std::string error_body(const request::outcome_reply& reply,
                       std::string_view origin);

/// Writes the response to one request.
class answer_writer
{
public:
    answer_writer(http::exchange& exchange, answer_options options);

    /// Writes the next piece of text; buffers it unless the response is
    /// streamed. Returns false if the caller disconnected.
    bool text(std::string_view piece);

    /// Writes a comment, to keep an idle stream alive. Returns false if the
    /// caller disconnected. Does nothing before the first text.
    bool keep_alive();

    /// Ends the response. Must be called once, as the last call.
    void end(const request::outcome_reply& reply, const token_usage& usage);

    /// Ends the response with the unmodified body of a plain service. Must be
    /// called once, as the last call.
    void end_service_call(const request::outcome_reply& reply, int status,
                          const std::string& content_type,
                          const std::string& body);

    bool caller_disconnected() const { return disconnected_; }

private:
    void end_stream(const request::outcome_reply& reply,
                    const token_usage& usage);
    std::vector<http::response_header>
    headers(const request::outcome_reply& reply) const;

    http::exchange& exchange_;
    answer_options options_;
    std::string buffer_; // Text of a response that isn't streamed.
    bool stream_started_ = false;
    bool disconnected_ = false;
};

} // namespace fennelladder::gateway

#endif
