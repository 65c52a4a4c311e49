// Peers over TCP by Thrift's compact protocol.
//
//     auto server = thrift_peer_server::start("127.0.0.1:0", handler, {});
//     thrift_peer_network peers({});
//     peers.send_request(server.value()->address(), topic::heartbeat, bytes,
//     limit);
//
// Connections are kept and used again. One that goes silent is dropped at the
// question's timeout together with all idle ones to the same node, since
// whatever lost track of one has mostly lost the others too; the next question
// dials anew.

#ifndef FENNELLADDER_PEER_THRIFT_PEERS_HPP
#define FENNELLADDER_PEER_THRIFT_PEERS_HPP

#include "fennelladder/peer/peer_service.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace fennelladder::peer {

/// Limits of the serving side.
struct peer_server_options
{
    int threads = 8; ///< Questions answered at once; more wait.
};

/// Serves a handler. One thread watches all connections, so that hundreds of
/// idle ones cost memory only.
class thrift_peer_server
{
public:
    /// Fails with `unavailable` when `listen` ("IP:port", port 0 for any)
    /// can't be listened on, `invalid` when it can't be read. `handler` must
    /// outlive the server.
    static result<std::unique_ptr<thrift_peer_server>>
    start(const std::string& listen, peer_handler& handler,
          const peer_server_options& options);

    /// Stops; waits for answers under way.
    ~thrift_peer_server();
    thrift_peer_server(const thrift_peer_server&) = delete;
    thrift_peer_server& operator=(const thrift_peer_server&) = delete;

    /// "IP:port" as other nodes reach it.
    const peer_address& address() const { return address_; }

private:
    struct state;
    explicit thrift_peer_server(std::unique_ptr<state> made);

    std::unique_ptr<state> state_;
    peer_address address_;
};

/// Limits of the asking side.
struct peer_network_options
{
    duration connect_timeout = milliseconds(300);
    std::size_t max_idle_per_peer = 4;
    duration max_idle_time = seconds(20);
};

/// Bytes and questions carried since the start.
struct peer_traffic
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// Thread safe.
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
