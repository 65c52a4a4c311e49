// A blocking HTTP/1.1 client that reports how far each request got.
//
// One call sends one request and blocks the calling thread. Connections are
// kept alive and reused.
//
//     http::client client({});
//     http::request request{.method = "POST",
//                           .url = "http://10.0.0.7:8080/v1/completions",
//                           .body = text};
//     http::transfer done = client.stream(
//         request, timeouts,
//         [&](std::string_view bytes) { return relay(bytes); });
//     if (!done.complete() && !done.sent)
//         ...; // the server can't have received the request
//
// Meaning of `sent`: it is false only if no byte of the request was handed to
// the operating system on any connection, so that no server can have run it.
// Once it is true, the request may have run, whatever failed afterwards. A
// request is written to at most one connection: the client never retries it,
// not even when a reused connection turns out to be closed.
//
// Caveats: the server may close a reused connection at the moment it is used.
// That is reported as sent and broken although the server never read the
// request. Set `fresh_connection` where such a false "may have run" costs more
// than a handshake. Hosts must be IP addresses; names are rejected, so that no
// call waits for a resolver. Proxy environment variables are ignored.
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

/// A header field. Names are case-insensitive.
struct header
{
    std::string name;
    std::string value;
};

/// A request to send. Header names and values must not contain line breaks.
struct request
{
    std::string method = "GET";
    std::string url = {}; ///< "http://IP[:PORT]/path?query"; IPv6 in brackets.
    std::vector<header> headers = {};
    std::string body = {};
    /// Open a new connection instead of reusing one, and close it afterwards.
    bool fresh_connection = false;
};

/// Timeouts of a transfer; zero means no limit. On expiry the connection is
/// closed and never reused, so that a connection that no longer delivers
/// anything can't block further requests.
struct transfer_timeouts
{
    /// From the start until the connection is established.
    duration connect = milliseconds(500);
    /// From then until the first byte of the response.
    duration first_byte = seconds(10);
    /// Between two consecutive arrivals of response bytes.
    duration between_bytes = seconds(5);
    /// From the start until the end of the response.
    duration total = duration(0);
};

/// How a transfer ended.
enum class transfer_outcome : std::uint8_t
{
    complete,      ///< The complete response was received.
    stopped,       ///< A body or head callback returned false.
    canceled,      ///< The cancel check returned true.
    not_connected, ///< Connection refused, unreachable or timed out.
    silent,        ///< A timeout expired on an open connection.
    broken,        ///< The connection failed or sent invalid HTTP.
    invalid        ///< The request can't be encoded or addressed.
};

/// The stable name of an outcome, such as "silent".
std::string_view to_string(transfer_outcome outcome);

/// The result of a request, complete or not.
struct transfer
{
    transfer_outcome outcome = transfer_outcome::invalid;
    bool sent = false;   ///< See the comment at the top of this file.
    bool reused = false; ///< It was sent on a reused connection.
    int status = 0;      ///< 0 until the response header was received.
    std::vector<header> headers;
    std::uint64_t body_bytes = 0; ///< Body bytes received so far.
    std::string message;          ///< Human-readable; empty when complete.

    bool complete() const { return outcome == transfer_outcome::complete; }

    /// Value of the first field of that name, or an empty string.
    std::string_view field(std::string_view name) const;

    /// The failure as an error: `unavailable` if it was never sent,
    /// `ambiguous` if it was, `canceled` if canceled before it was sent,
    /// `invalid` if it can't be sent. Precondition: !complete().
    error to_error() const;
};

/// A complete response.
struct response
{
    int status = 0;
    std::vector<header> headers;
    std::string body;

    /// Value of the first field of that name, or an empty string.
    std::string_view field(std::string_view name) const;
};

/// Receives body bytes as they arrive; returning false stops the transfer.
using body_callback = std::function<bool(std::string_view bytes)>;

/// Receives status and headers before the body; returning false stops the
/// transfer.
using head_callback = std::function<bool(const transfer& so_far)>;

/// Polled while waiting; returning true cancels the transfer.
using cancel_check = std::function<bool()>;

/// Limits of a client.
struct client_options
{
    /// Idle connections kept per IP and port; further ones are closed after
    /// use.
    std::size_t max_idle_per_address = 256;
    /// A connection idle for longer is closed instead of reused. Must be less
    /// than the server's keep-alive timeout.
    duration max_idle_time = seconds(3);
    /// Interval at which the cancel check is polled while no bytes arrive.
    duration cancel_interval = milliseconds(20);
    /// Largest response body that fetch() accepts, in bytes.
    std::size_t max_body_bytes = 16'000'000;
};

/// Thread safe: any number of threads may call concurrently; each call uses a
/// connection of its own. Calls must have returned before destruction.
class client
{
public:
    explicit client(client_options options = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends the request and buffers the complete response, whatever its
    /// status. Errors: those of transfer::to_error(), and `too_large`, after
    /// which the request may have run as well.
    result<response> fetch(const request& what,
                           const transfer_timeouts& timeouts);

    /// Sends the request and passes body bytes on as they arrive.
    /// Callbacks run on the calling thread.
    transfer stream(const request& what, const transfer_timeouts& timeouts,
                    const body_callback& on_body,
                    const head_callback& on_head = {},
                    const cancel_check& canceled = {});

    /// Closes all idle connections.
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

/// Decodes either encoding; '+' is left unchanged.
std::string decode_path(std::string_view text);

} // namespace fennelladder::http

#endif
