// An HTTP/1.1 server built on CivetWeb.
//
//     server_options options{.listen = "127.0.0.1:0", .threads = 64};
//     auto made = server::start(options, [](exchange& it) {
//         if (it.path() == "/ping")
//             return it.reply({.status = 200, .body = "pong"});
//         it.reply({.status = 404});
//     });
//     int port = made.value()->port();
//
// Each worker thread serves one connection at a time, idle keep-alive ones
// included, so `threads` bounds the number of concurrent callers; others wait
// in the listen queue. Handlers may block.
//
// Caveats: a disconnected caller is detected only by a failing write. A caller
// that reads slower than `write_timeout` allows is treated as disconnected.

#ifndef FENNELLADDER_HTTP_SERVER_HPP
#define FENNELLADDER_HTTP_SERVER_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/time.hpp"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

struct mg_connection;
struct mg_context;

namespace fennelladder::http {

/// Listen address and limits of a server.
struct server_options
{
    /// IP address and port; port 0 lets the system pick one.
    std::string listen = "127.0.0.1:0";
    int threads = 64;
    /// Largest request body, in bytes; read_body() fails on a larger one.
    std::size_t max_body_bytes = 1'000'000;
    /// Largest request line and headers together, in bytes; CivetWeb itself
    /// rejects larger ones with an error response.
    std::size_t max_head_bytes = 16'384;
    /// How long a read or write of one block may block.
    duration write_timeout = seconds(10);
    /// How long a keep-alive connection may be idle.
    duration idle_timeout = seconds(5);
};

/// A header field of a response.
struct response_header
{
    std::string name;
    std::string value;
};

/// A complete response; for a streamed one, its status and headers.
struct server_response
{
    int status = 200;
    std::string content_type = "application/json";
    std::vector<response_header> headers = {};
    std::string body = {};
};

/// One request and its response. Used by the handler's thread only, and only
/// until the handler returns.
class exchange
{
public:
    exchange(mg_connection* connection, const server_options& options);

    std::string_view method() const;
    /// Decoded and normalized ("//" and ".." are resolved).
    std::string_view path() const;

    /// Decoded, but not normalized.
    std::string raw_path() const;

    /// Value of a header, or empty. Names are case-insensitive.
    std::string_view header(const char* name) const;

    /// Decoded value of a query parameter, or empty.
    std::string query(const char* name) const;

    /// Reads the complete body. Errors: `too_large`; `invalid` if it can't be
    /// read or is shorter than announced.
    result<std::string> read_body();

    /// Sends a complete response. Precondition: !answered().
    void reply(const server_response& what);

    /// Starts a chunked response. Returns false if the caller disconnected.
    /// Precondition: !answered().
    bool begin_stream(const server_response& head);

    /// Writes one chunk. Returns false if the caller disconnected.
    bool write(std::string_view bytes);

    /// Ends the chunked response. A response that is not ended is truncated
    /// when the handler returns, which callers see as an error.
    bool end_stream();

    /// Closes the connection when the handler returns, without sending
    /// anything more.
    void drop();

    bool answered() const { return answered_; }

    /// Serial number of the connection; each accepted connection gets the
    /// next one.
    std::uint64_t connection_serial() const;

private:
    friend class server;

    mg_connection* connection_;
    const server_options& options_;
    bool answered_ = false;
    bool streaming_ = false;
    bool dropped_ = false;
};

using handler = std::function<void(exchange&)>;

/// Shuts down the listening socket of `port` and every connection accepted
/// there. CivetWeb doesn't expose its sockets, so they are found among the
/// file descriptors of the process. Thread safe.
void shut_down_port(int port);

/// A running server. Thread safe.
class server
{
public:
    /// Fails with `unavailable` if the server can't listen on the address.
    static result<std::unique_ptr<server>> start(server_options options,
                                                 handler serve);

    /// Drains the server: rejects new requests (503, not run), waits for
    /// running handlers and stops once their responses are sent.
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Closes every connection and stops listening, as the end of a process
    /// would; handlers see their callers disconnect. Doesn't wait for the
    /// handlers; the destructor does.
    void abort();

    /// True once abort() was called.
    bool aborting() const { return aborting_; }

    /// Serial number of the last accepted connection; 0 if there is none.
    std::uint64_t last_connection_serial() const { return last_serial_; }

    int port() const { return port_; }

    /// "IP:PORT" at which callers reach the server.
    std::string address() const;

private:
    server(server_options options, handler serve);

    static int on_request(mg_connection* connection, void* self);
    static int on_connection(const mg_connection* connection, void** data);
    void serve(mg_connection* connection);
    void drain();
    void stop();

    server_options options_;
    handler serve_;
    mg_context* context_ = nullptr;
    int port_ = 0;
    std::atomic<std::uint64_t> last_serial_ = 0;
    std::atomic<bool> aborting_ = false;

    std::mutex mutex_; // Guards the fields below.
    std::condition_variable idle_;
    std::size_t running_ = 0; // Number of running handlers.
    bool draining_ = false;
    std::thread stopper_; // Runs stop() after abort().
};

} // namespace fennelladder::http

#endif
