// A small HTTP server for short requests: readiness, entry and metrics.
//
//     simple_server server(io, address, [](const simple_request& request) {
//         return simple_response{200, "text/plain", "fine\n"};
//     });
//     if (auto ok = server.start(); !ok) ...
//
// Connections, and what each may send, are bounded. The handler is called on
// the node's thread and must not block. Not thread safe.

#ifndef FENNELLADDER_EDGE_SIMPLE_SERVER_HPP
#define FENNELLADDER_EDGE_SIMPLE_SERVER_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/edge/connection_slots.hpp"
#include "fennelladder/edge/io.hpp"

#include <functional>
#include <memory>
#include <string>

namespace fennelladder::edge {

struct simple_request
{
    std::string method;
    std::string path;
    std::string query; ///< Without the question mark.
};

struct simple_response
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

class simple_server
{
public:
    using handler = std::function<simple_response(const simple_request&)>;

    /// Keeps up to `connections` open; the one that has been inactive for
    /// longest makes room for a new one.
    simple_server(asio::io_context& io, std::string address,
                  connection_slots::limit_source connections, handler answer);

    /// Listens and serves. Fails if the address cannot be bound.
    status start();

    /// Accepts no more connections; those that are open are still served.
    void stop();

private:
    awaitable<void> serve(std::shared_ptr<tcp::socket> socket);

    asio::io_context& io_;
    std::string address_;
    handler handler_;
    connection_slots slots_;
    tcp::acceptor acceptor_;
};

/// Makes `acceptor` listen on `address`, an IP:port. `queue` is the number of
/// connections that may wait to be accepted. The kernel's buffers of accepted
/// connections are bounded. Fails if the address is invalid or cannot be bound.
status listen_on(tcp::acceptor& acceptor, const std::string& address,
                 int queue = asio::socket_base::max_listen_connections);

} // namespace fennelladder::edge

#endif
