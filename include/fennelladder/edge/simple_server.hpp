// Serves short questions over HTTP: readiness, entry, metrics.
//
//     simple_server server(io, address, [](const simple_request& asked) {
//         return simple_response{200, "text/plain", "fine\n"};
//     });
//     if (auto ok = server.start(); !ok) ...
//
// The handler is called on the node's thread and must not block.

#ifndef FENNELLADDER_EDGE_SIMPLE_SERVER_HPP
#define FENNELLADDER_EDGE_SIMPLE_SERVER_HPP

#include "fennelladder/base/error.hpp"
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

    simple_server(asio::io_context& io, std::string address, handler answer);

    status start();

    /// Takes no more connections.
    void stop();

private:
    awaitable<void> accept();
    awaitable<void> serve(std::shared_ptr<tcp::socket> socket);

    asio::io_context& io_;
    std::string address_;
    handler answer_;
    tcp::acceptor acceptor_;
};

/// Opens a listening socket. Fails with the reason.
status listen_on(tcp::acceptor& acceptor, const std::string& address);

} // namespace fennelladder::edge

#endif
