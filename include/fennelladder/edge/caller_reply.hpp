// Writes answers to one caller's connection.
//
//     co_await reply.send_own({503, id, retry_after, "no target"});
//     co_await reply.send_whole(head, body);
//     co_await reply.begin(head);  reply.send_piece(...);  reply.finish();
//
// Every function is false when the caller is gone. An answer that was begun
// and not finished must not look complete: whoever gives it up closes the
// connection.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_CALLER_REPLY_HPP
#define FENNELLADDER_EDGE_CALLER_REPLY_HPP

#include "fennelladder/edge/io.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fennelladder::edge {

/// Head of a target's answer.
struct answer_head
{
    unsigned status = 0;
    std::string reason;
    std::string headers; ///< Lines for the caller, see encode_response_headers.
    /// Content-Length as the target wrote it; empty: not stated. Counts only
    /// where no body is sent, since else the body's size is known.
    std::string stated_length;
};

/// A refused caller is asked to come back after this: long enough for a rest
/// of a target or a transfer of tokens, short against any deadline.
inline constexpr duration come_back = milliseconds(300);

/// An answer of the node's own.
struct own_answer
{
    unsigned status = 0;
    std::string request;                 ///< Its id.
    std::optional<duration> retry_after; ///< When to come back.
    std::string message;                 ///< One sentence.
};

class caller_reply
{
public:
    explicit caller_reply(tcp::socket& socket);

    awaitable<bool> send_own(const own_answer& answer);
    awaitable<bool> send_whole(const answer_head& head,
                               const std::string& body);

    awaitable<bool> begin(const answer_head& head);
    awaitable<bool> send_piece(const std::string& bytes);
    awaitable<bool> finish();

    /// The request's method is HEAD: its answer is a head alone, which states
    /// the length of the body that another method would give. Holds until
    /// reset(). Precondition: nothing was sent for this request, and begin()
    /// isn't used for it.
    void send_no_body() { no_body_ = true; }

    /// Says in every later head that the connection ends with the answer.
    void close_after() { closes_ = true; }
    bool closes() const { return closes_; }

    bool begun() const { return begun_; }
    bool finished() const { return finished_; }
    bool is_writing() const { return writing_; }

    /// Why the last write failed; no error if it didn't.
    const net_error& failure() const { return failure_; }

    /// For the next request of the connection.
    void reset();

private:
    awaitable<bool> write(std::string bytes);
    std::string head_text(const answer_head& head) const;
    std::string length_line(const answer_head& head,
                            const std::string& body) const;

    tcp::socket& socket_;
    bool closes_ = false;
    bool no_body_ = false;
    bool begun_ = false;
    bool finished_ = false;
    bool writing_ = false;
    net_error failure_;
};

} // namespace fennelladder::edge

#endif
