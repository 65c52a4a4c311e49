// Peers within one process, by direct call: the fake for tests, with cuts
// between nodes that can be made and mended.

#ifndef FENNELLADDER_PEER_LOCAL_PEERS_HPP
#define FENNELLADDER_PEER_LOCAL_PEERS_HPP

#include "fennelladder/peer/peer_service.hpp"

#include <map>
#include <mutex>

namespace fennelladder::peer {

/// Nodes that reach each other by direct call. Thread safe; no lock is held
/// while a handler runs.
class local_peer_network final : public peer_network
{
public:
    /// Makes `handler` reachable at `address`; nullptr makes it unreachable.
    void serve(const peer_address& address, peer_handler* handler);

    result<std::string> send_request(const peer_address& to, topic what,
                                     std::string_view message,
                                     duration timeout) override;

private:
    std::mutex mutex_;
    std::map<peer_address, peer_handler*> handlers_; // guarded by mutex_
};

} // namespace fennelladder::peer

#endif
