// Writes HTTP responses to one caller's connection.
//
//     co_await reply.send_local({503, id, retry_after, "no target"});
//     co_await reply.send_complete(head, body);
//     co_await reply.begin(head);  reply.send_chunk(...);  reply.finish();
//
// Every function that writes returns false once the caller has disconnected. A
// response that was begun but not finished must not look complete: code that
// abandons one closes the connection.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_RESPONSE_WRITER_HPP
#define FENNELLADDER_EDGE_RESPONSE_WRITER_HPP

#include "fennelladder/edge/io.hpp"
#include "fennelladder/edge/link_meter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fennelladder::edge {

/// Status line and headers of a target's response.
struct response_head
{
    unsigned status = 0;
    std::string reason;
    /// Header lines for the caller, see adapter::encode_response_headers().
    std::string headers;
    /// Content-Length as the target sent it, or empty. Used only if no body is
    /// sent; otherwise the body's size determines it.
    std::string content_length;
};

/// Retry-After for refused callers: long enough for a target's backoff or a
/// token transfer, short compared with any deadline.
inline constexpr duration default_retry_after = milliseconds(300);

/// A response that the node itself generates.
struct local_response
{
    unsigned status = 0;
    std::string request;                 ///< Request id.
    std::optional<duration> retry_after; ///< Unset: no Retry-After.
    std::string message;                 ///< Error text of the JSON body.
};

/// What the memory that responses occupy is counted on. Not thread safe.
class response_account
{
public:
    virtual ~response_account() = default;

    /// The response waits for its caller to read, or no longer does.
    virtual void set_unread(bool waits) = 0;

    /// The caller's kernel, or this host's, has taken so many bytes.
    virtual void note_progress(std::size_t bytes) = 0;

    /// Whether so many bytes of the response may be held in memory from now
    /// on. Less than before is always allowed.
    virtual bool may_hold(std::size_t bytes) = 0;
};

/// Writes the responses of one connection, one after the other. Not thread
/// safe.
class response_writer
{
public:
    /// `socket` must outlive the writer.
    explicit response_writer(tcp::socket& socket);

    /// Counts the bytes that are written from now on. `link` must outlive the
    /// writer.
    void count_on(link_meter& link) { link_ = &link; }

    /// Counts the memory of responses from now on. `account` must outlive the
    /// writer.
    void set_account(response_account* account) { account_ = account; }

    /// Whether so many bytes of the response may be held in memory until they
    /// are written.
    bool may_hold(std::size_t bytes)
    {
        return account_ == nullptr || account_->may_hold(bytes);
    }

    /// Sends a response of the node itself, with a JSON body.
    awaitable<bool> send_local(const local_response& answer);

    /// Sends a whole response with a Content-Length.
    awaitable<bool> send_complete(const response_head& head,
                                  const std::string& body);

    /// Sends the head of a response whose length isn't known yet. send_chunk()
    /// and finish() follow.
    awaitable<bool> begin(const response_head& head);
    awaitable<bool> send_chunk(const std::string& bytes);
    awaitable<bool> finish();

    /// Sends no body until reset(), for a HEAD request: its response is a head
    /// that states the length of the body that GET would return.
    /// Precondition: nothing has been sent for this request, and begin() is not
    /// used for it.
    void omit_body() { omits_body_ = true; }

    /// Sends no chunks until reset(), to a caller that doesn't know them: its
    /// response ends with its connection. Precondition: as for omit_body().
    void omit_chunk_sizes();

    /// Whether the response would look complete if its connection were closed
    /// now: it was begun, isn't finished, and states no end.
    bool must_be_reset() const
    {
        return begun_ && !finished_ && omits_chunk_sizes_;
    }

    /// Adds `Connection: close` to every later response head.
    void close_when_done() { closes_connection_ = true; }
    bool closes_connection() const { return closes_connection_; }

    bool begun() const { return begun_; }
    bool finished() const { return finished_; }
    bool is_writing() const { return writing_; }

    /// Bytes of the present response that were sent.
    std::uint64_t bytes_sent() const { return bytes_sent_; }

    /// Error of the last write; no error if it succeeded.
    const net_error& write_error() const { return write_error_; }

    /// Clears the state of the last response before the connection's next
    /// request.
    void reset();

private:
    awaitable<bool> write(std::string head, std::string_view body = {});
    awaitable<void> write_slowly(std::string_view head, std::string_view body);
    std::string encode_head(const response_head& head) const;
    std::string length_line(const response_head& head,
                            const std::string& body) const;

    tcp::socket& socket_;
    link_meter* link_ = nullptr;          ///< Null: nothing is counted.
    response_account* account_ = nullptr; ///< The same.
    bool closes_connection_ = false;
    bool omits_body_ = false;
    bool omits_chunk_sizes_ = false;
    bool begun_ = false;
    bool finished_ = false;
    bool writing_ = false;
    std::uint64_t bytes_sent_ = 0;
    net_error write_error_;
};

} // namespace fennelladder::edge

#endif
