// An HTTP/1.1 server: CivetWeb behind a small interface.
//
//     server_options options{.listen = "127.0.0.1:0", .threads = 64};
//     auto made = server::start(options, [](exchange& it) {
//         if (it.path() == "/ping")
//             return it.reply({.status = 200, .body = "pong"});
//         it.reply({.status = 404});
//     });
//     int port = made.value()->port();
//
// A worker thread carries one connection at a time, kept ones included, so
// `threads` bounds the number of callers served at once; more wait in the
// listen queue. Handlers may block.
//
// Caveats. That a caller has gone shows only in a write that fails. A caller
// that reads slower than `write_timeout` allows is treated as gone.

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

/// How a server listens and what it bounds.
struct server_options
{
    /// IP number and port; port 0 lets the system pick one.
    std::string listen = "127.0.0.1:0";
    int threads = 64;
    /// Largest body taken, bytes; a larger one is an error of read_body().
    std::size_t max_body_bytes = 1'000'000;
    /// Largest request line and headers together, bytes; CivetWeb answers
    /// what is larger with an error by itself.
    std::size_t max_head_bytes = 16'384;
    /// How long a read or write of one block may stall.
    duration write_timeout = seconds(10);
    /// How long a kept connection may idle.
    duration idle_timeout = seconds(5);
};

/// A header of an answer.
struct response_header
{
    std::string name;
    std::string value;
};

/// A whole answer.
struct server_response
{
    int status = 200;
    std::string content_type = "application/json";
    std::vector<response_header> headers = {};
    std::string body = {};
};

/// One request and the way to answer it. Used by the handler's thread only,
/// and only until the handler returns.
class exchange
{
public:
    exchange(mg_connection* connection, const server_options& options);

    std::string_view method() const;
    /// Decoded and normalized ("//" and ".." are resolved).
    std::string_view path() const;

    /// Decoded, but otherwise as it was sent.
    std::string raw_path() const;

    /// Value of a header, or empty. Names compare without regard to case.
    std::string_view header(const char* name) const;

    /// Decoded value of a query parameter, or empty.
    std::string query(const char* name) const;

    /// The whole body. Errors: `too_large`; `invalid` if it ended early.
    result<std::string> read_body();

    /// Answers at once. Precondition: nothing was answered yet.
    void reply(const server_response& what);

    /// Starts an answer in chunks. False if the caller has gone.
    bool begin_stream(const server_response& head);

    /// Writes one chunk. False if the caller has gone.
    bool write(std::string_view bytes);

    /// Ends the answer in chunks. An answer that is not ended is cut off
    /// when the handler returns, which callers see as an error.
    bool end_stream();

    /// Breaks the connection when the handler returns; nothing more is sent.
    void drop();

    bool answered() const { return answered_; }

    /// Number of the connection: grows by one with each that is accepted.
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
/// there. CivetWeb doesn't hand out its sockets, so they are found among the
/// process's own descriptors. Thread safe.
void shut_down_port(int port);

/// A running server. Thread safe.
class server
{
public:
    /// Fails with `unavailable` when the address can't be listened on.
    static result<std::unique_ptr<server>> start(server_options options,
                                                 handler serve);

    /// Turns new requests away (503, not run), waits for the handlers that
    /// run, and stops when their answers are out.
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Breaks off every connection and listens no more, as the end of a
    /// process does; handlers see their callers gone. Doesn't wait for them:
    /// the destructor does.
    void abort();

    /// True from the call of abort() on.
    bool aborting() const { return aborting_; }

    /// Serial number of the last connection accepted; 0 if there was none.
    std::uint64_t last_connection_serial() const { return last_serial_; }

    int port() const { return port_; }

    /// "IP:PORT" as callers reach it.
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
    std::size_t running_ = 0; // Handlers.
    bool draining_ = false;
    std::thread stopper_; // After abort().
};

} // namespace fennelladder::http

#endif
