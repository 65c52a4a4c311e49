// The HTTP server of the stand-ins: http::server with faults of connections.
//
//     web_server server({}, [](const web_request& ask, web_reply& reply) {
//         reply.whole(200, "text/plain", "hello");
//     });
//     server.url();
//
// mute_open_connections() makes every connection that is open now silent for
// good: requests on it never reach the handler, bytes written to it never
// leave. New connections work. That is what callers see when something
// between the two ends has lost track of a connection.
//
// abort() ends the server as a crash does: streams break off, and nobody
// listens until start() is called.

#ifndef FENNELLADDER_STANDIN_WEB_SERVER_HPP
#define FENNELLADDER_STANDIN_WEB_SERVER_HPP

#include "fennelladder/http/server.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::standin {

/// A request as received. Valid while its handler runs.
class web_request
{
public:
    web_request(const http::exchange& from, std::string body)
        : method(from.method()), path(from.raw_path()), body(std::move(body)),
          from_(from)
    {}

    const std::string method;
    const std::string path; ///< Percent-decoded, without the query.
    const std::string body;

    /// A header field or query parameter, or an empty string.
    std::string header(const char* name) const;
    std::string parameter(const char* name) const;

    /// A header field or query parameter that is a number; 0 if it is not.
    std::uint32_t header_number(const char* name) const;
    std::uint64_t parameter_number(const char* name) const;

    /// A header field whose value is percent-encoded.
    std::string decoded_header(const char* name) const;

private:
    const http::exchange& from_;
};

class web_server;

/// The answer to one request. Use it on the handler's thread.
class web_reply
{
public:
    /// Sends a whole answer.
    void whole(int status, std::string_view content_type, std::string_view body,
               const std::vector<http::response_header>& fields = {});

    /// Begins an answer of unknown length. False: the caller is gone.
    bool begin(int status, std::string_view content_type,
               const std::vector<http::response_header>& fields = {});

    /// Sends bytes. Precondition: begin(). False: the caller is gone, or the
    /// server was aborted.
    bool chunk(std::string_view bytes);

    /// Ends the answer; without it, the caller sees it cut.
    void finish();

    /// Breaks the connection without an answer.
    void drop() { to_.drop(); }

private:
    friend class web_server;
    web_reply(web_server& server, http::exchange& to) : server_(server), to_(to)
    {}

    bool muted() const;

    web_server& server_;
    http::exchange& to_;
};

/// Where and how to listen.
struct web_server_options
{
    std::string ip = "127.0.0.1";
    int port = 0;      ///< 0 picks one, and keeps it over restarts.
    int threads = 128; ///< Connections served at once; others wait.
};

/// Thread safe. Handlers run on many threads at once.
class web_server
{
public:
    using handler = std::function<void(const web_request&, web_reply&)>;

    /// Listens at once; `started()` tells whether that worked.
    web_server(web_server_options options, handler serve);
    ~web_server();
    web_server(const web_server&) = delete;
    web_server& operator=(const web_server&) = delete;

    bool started() const;
    int port() const { return options_.port; }
    std::string url() const;

    /// Listens again on the same port.
    void start();

    /// Ends the server; handlers see write failures and return. Must not be
    /// called from a handler.
    void abort();

    /// See the head of this file.
    void mute_open_connections();

    /// True while abort() is under way, for handlers that wait.
    bool aborting() const { return aborting_; }

private:
    friend class web_reply;

    void serve(http::exchange& from);
    bool muted(std::uint64_t serial) const { return serial <= muted_up_to_; }
    void hold_silent();

    web_server_options options_;
    handler serve_;
    mutable std::mutex control_mutex_; // Serializes start() and abort().
    std::unique_ptr<http::server> server_;
    std::atomic<bool> aborting_ = false;
    // Serial numbers begin anew with each start(), and none is muted then.
    std::atomic<std::uint64_t> muted_up_to_ = 0;
    std::mutex hold_mutex_; // With hold_, for threads of muted connections.
    std::condition_variable hold_;
};

} // namespace fennelladder::standin

#endif
