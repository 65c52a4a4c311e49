// An in-process peer network for tests. Nodes call each other directly, and can
// be made unreachable and reachable again.

#ifndef FENNELLADDER_PEER_LOCAL_PEERS_HPP
#define FENNELLADDER_PEER_LOCAL_PEERS_HPP

#include "fennelladder/peer/peer_service.hpp"

#include <map>
#include <mutex>

namespace fennelladder::peer {

/// Delivers requests by direct calls of the handlers. Thread safe; no lock is
/// held while a handler runs. Timeouts are ignored.
class local_peer_network final : public peer_network
{
public:
    /// Makes `handler` reachable at `address`; nullptr makes the address
    /// unreachable. `handler` must outlive its registration.
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
