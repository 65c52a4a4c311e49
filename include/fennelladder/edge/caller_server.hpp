// Serves callers: accepts connections, reads their requests one after the
// other, hands each to the driver, and notices when a caller leaves.
//
//     caller_server server(tables, driver, limits);
//     server.start(address);
//     server.start_draining();          // when the node leaves
//     server.stop_accepting();
//     server.reject_new_requests();
//
// Bounds that keep a flood from ending the process: connections, requests
// under way, and bytes of bodies held; what exceeds them is answered 503 at
// once ("not run").
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_CALLER_SERVER_HPP
#define FENNELLADDER_EDGE_CALLER_SERVER_HPP

#include "fennelladder/edge/request_driver.hpp"

#include <cstddef>
#include <memory>
#include <set>

namespace fennelladder::edge {

struct caller_server_limits
{
    std::size_t connections = 2000;
    std::size_t requests = 600;          ///< Under way at once.
    std::size_t body_bytes = 16'000'000; ///< Held at once, over all requests.
};

/// Limits that fit a host.
caller_server_limits limits_for(const adapter::host_settings& settings);

class caller_session;

class caller_server
{
public:
    caller_server(node_tables& tables, request_driver& driver,
                  caller_server_limits limits);
    ~caller_server();

    status start(const std::string& address);

    /// No new connections from now on.
    void stop_accepting();

    /// From now on each answer ends its connection.
    void start_draining();

    /// Refuses new requests; connections on which none has come are closed.
    void reject_new_requests();

    /// Connections of callers.
    std::size_t sessions() const { return sessions_->size(); }

    /// Requests that are being read, served or answered.
    std::size_t requests_in_flight() const;

private:
    friend class caller_session;
    using session_set = std::set<caller_session*>;

    awaitable<void> accept();
    void note_not_taken(const std::string& reason) const;
    const char* reason_to_refuse(const caller_request& request) const;

    node_tables& tables_;
    request_driver& driver_;
    const caller_server_limits limits_;
    tcp::acceptor acceptor_;
    std::shared_ptr<session_set> sessions_ = std::make_shared<session_set>();
    std::size_t served_now_ = 0;
    std::size_t body_bytes_ = 0;
    bool leaving_ = false;
    bool refusing_ = false;
};

} // namespace fennelladder::edge

#endif
