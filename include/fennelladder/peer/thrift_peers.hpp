// The peer network over TCP, using Thrift's compact protocol.
//
//     auto server = thrift_peer_server::start("127.0.0.1:0", handler, {});
//     thrift_peer_network peers({});
//     peers.send_request(server.value()->address(), topic::heartbeat, bytes,
//                        timeout);
//
// Connections are pooled and reused. When a request times out, its connection
// is closed together with all idle ones to the same node: whatever lost the
// state of one connection, such as a device between the nodes, has usually lost
// that of the others as well. The next request opens a new connection.

#ifndef FENNELLADDER_PEER_THRIFT_PEERS_HPP
#define FENNELLADDER_PEER_THRIFT_PEERS_HPP

#include "fennelladder/peer/peer_service.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace fennelladder::peer {

/// Limits of a server.
struct peer_server_options
{
    int threads = 8; ///< Requests handled concurrently; others wait.
};

/// Serves requests with a handler. A single I/O thread monitors all
/// connections, so that hundreds of idle ones cost only memory.
class thrift_peer_server
{
public:
    /// Starts a server at `listen` ("IP:port"; port 0 picks a free one). Fails
    /// with `unavailable` if it can't listen there, and with `invalid` if
    /// `listen` can't be parsed. `handler` must outlive the server.
    static result<std::unique_ptr<thrift_peer_server>>
    start(const std::string& listen, peer_handler& handler,
          const peer_server_options& options);

    /// Stops the server and waits for running handlers.
    ~thrift_peer_server();
    thrift_peer_server(const thrift_peer_server&) = delete;
    thrift_peer_server& operator=(const thrift_peer_server&) = delete;

    /// The "IP:port" at which other nodes reach the server.
    const peer_address& address() const { return address_; }

private:
    struct state;
    explicit thrift_peer_server(std::unique_ptr<state> made);

    std::unique_ptr<state> state_;
    peer_address address_;
};

/// Limits of a client.
struct peer_network_options
{
    duration connect_timeout = milliseconds(300);
    std::size_t max_idle_per_peer = 4;
    duration max_idle_time = seconds(20);
};

/// Requests and payload bytes since the start.
struct peer_traffic
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// Sends requests over pooled TCP connections. Thread safe.
class thrift_peer_network final : public peer_network
{
public:
    explicit thrift_peer_network(const peer_network_options& options);
    ~thrift_peer_network() override;

    result<std::string> send_request(const peer_address& to, topic what,
                                     std::string_view message,
                                     duration timeout) override;

    peer_traffic traffic() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace fennelladder::peer

#endif
