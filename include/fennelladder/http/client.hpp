// A blocking HTTP/1.1 client that says what became of a request.
//
// One call carries one request; the calling thread waits. Connections are
// kept and used again.
//
//     http::client client({});
//     http::request ask{.method = "POST",
//                       .url = "http://10.0.0.7:8080/v1/completions",
//                       .body = text};
//     http::transfer end = client.stream(
//         ask, deadlines, [&](std::string_view bytes) { return relay(bytes);
//         });
//     if (!end.complete() && !end.sent)
//         ...; // proved: the other side can't have seen it
//
// What `sent` means. It is false only if not one byte of the request was
// handed to the operating system on any connection. Then nobody can have run
// it. Once it is true, the request may have run, whatever failed afterwards.
// A request is written to at most one connection: the client never sends it
// again by itself, not even when a kept connection turns out to be closed.
//
// Caveats. A kept connection may be closed by the other side in the moment it
// is used; that is reported as sent and broken, although nobody read it. Ask
// for `fresh_connection` where such a false "may have run" costs more than a
// handshake. Addresses are IP numbers; names are refused, so no call ever
// waits for a resolver. Proxy variables of the environment are ignored.
// Redirects are not followed.

#ifndef FENNELLADDER_HTTP_CLIENT_HPP
#define FENNELLADDER_HTTP_CLIENT_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::http {

/// One header field. Names compare without regard to case.
struct header
{
    std::string name;
    std::string value;
};

/// What to ask. Names and values hold no line breaks.
struct request
{
    std::string method = "GET";
    std::string url = {}; ///< "http://IP[:PORT]/path?query"; IPv6 in brackets.
    std::vector<header> headers = {};
    std::string body = {};
    /// Dial anew instead of using a kept connection, and close it after.
    bool fresh_connection = false;
};

/// How long to wait for what; zero means no limit. On expiry the connection
/// is closed and never used again, which is what frees the caller from a
/// connection that went silent for good.
struct transfer_timeouts
{
    /// From the start until the connection stands.
    duration connect = milliseconds(500);
    /// From then until the first byte of the answer.
    duration first_byte = seconds(10);
    /// Between any two arrivals of bytes of the answer.
    duration between_bytes = seconds(5);
    /// From the start until the end of the answer.
    duration total = duration(0);
};

/// How a transfer ended.
enum class transfer_outcome : std::uint8_t
{
    complete,      ///< The answer came whole.
    stopped,       ///< The receiver of the bytes returned false.
    canceled,      ///< The cancel check returned true.
    not_connected, ///< No connection: refused, unreachable, or too slow.
    silent,        ///< A deadline passed on a standing connection.
    broken,        ///< The connection broke or spoke no HTTP.
    invalid        ///< The request can't be put on the wire.
};

/// The stable name of an ending, such as "silent".
std::string_view to_string(transfer_outcome outcome);

/// What became of a request.
struct transfer
{
    transfer_outcome outcome = transfer_outcome::invalid;
    bool sent = false;   ///< See the head of this file.
    bool reused = false; ///< A kept connection carried it.
    int status = 0;      ///< 0 until the head of the answer came.
    std::vector<header> headers;
    std::uint64_t body_bytes = 0; ///< Of the answer, as far as it came.
    std::string message;          ///< For people; empty when complete.

    bool complete() const { return outcome == transfer_outcome::complete; }

    /// Value of the first field of that name, or an empty string.
    std::string_view field(std::string_view name) const;

    /// The failure as an error: `unavailable` if it was never sent,
    /// `ambiguous` if it was, `canceled` if canceled before it was sent,
    /// `invalid` if it can't be sent. Precondition: !complete().
    error to_error() const;
};

/// A whole answer.
struct response
{
    int status = 0;
    std::vector<header> headers;
    std::string body;

    /// Value of the first field of that name, or an empty string.
    std::string_view field(std::string_view name) const;
};

/// Receives bytes of the answer's body as they come; false stops.
using body_callback = std::function<bool(std::string_view bytes)>;

/// Receives the head of the answer before its body; false stops.
using head_callback = std::function<bool(const transfer& so_far)>;

/// Asked from time to time while waiting; true ends the transfer.
using cancel_check = std::function<bool()>;

/// Limits of a client.
struct client_options
{
    /// Kept connections per IP and port; more are closed after use.
    std::size_t max_idle_per_address = 256;
    /// A connection idle for longer is closed instead of used. Keep it below
    /// the other side's keep-alive time.
    duration max_idle_time = seconds(3);
    /// How often the cancel check is asked while no bytes come.
    duration cancel_interval = milliseconds(20);
    /// Largest answer that fetch() takes in, bytes.
    std::size_t max_body_bytes = 16'000'000;
};

/// Thread safe: any number of threads may call at once; each call has its
/// connection for itself. Calls must have ended before destruction.
class client
{
public:
    explicit client(client_options options = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends the request and takes in the whole answer, whatever its status.
    /// Errors: those of transfer::to_error(), and `too_large`, also
    /// ambiguous in its effect.
    result<response> fetch(const request& what,
                           const transfer_timeouts& limits);

    /// Sends the request and passes on the answer's body as it comes.
    /// Callbacks run on the calling thread.
    transfer stream(const request& what, const transfer_timeouts& limits,
                    const body_callback& on_body,
                    const head_callback& on_head = {},
                    const cancel_check& canceled = {});

    /// Closes all connections that are kept idle.
    void close_idle_connections();

private:
    class connection_pool;

    client_options options_;
    std::unique_ptr<connection_pool> pool_;
};

/// Percent-encodes all but unreserved characters and '/'.
std::string encode_path(std::string_view text);

/// Percent-encodes all but unreserved characters.
std::string encode_query(std::string_view text);

/// Undoes either encoding; '+' stays as it is.
std::string decode_path(std::string_view text);

} // namespace fennelladder::http

#endif
