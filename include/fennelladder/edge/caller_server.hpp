// Serves callers: accepts connections, reads the requests of each one after the
// other, passes them to the request driver, and notices when a caller
// disconnects.
//
//     caller_server server(tables, driver, limits);
//     server.start(address);
//     server.start_draining();          // when the node shuts down
//     server.stop_accepting();
//     server.reject_new_requests();
//
// Limits on connections, requests in flight and buffered body bytes keep a
// flood from exhausting the process. Connections beyond the limit are closed;
// requests beyond it are answered 503 at once ("not run").
//
// With tuning option admission.limit, requests are decided about when their
// heads have been read. A refused request's short body is read, and its
// connection stays open: a new one costs more. A long body isn't read: the
// refusal closes the connection, and what arrives is discarded for a short
// time. A connection that is closed with unread bytes is reset, and the caller
// may lose the answer. New connections are bounded as well.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_CALLER_SERVER_HPP
#define FENNELLADDER_EDGE_CALLER_SERVER_HPP

#include "fennelladder/edge/connection_acceptor.hpp"
#include "fennelladder/edge/host_shares.hpp"
#include "fennelladder/edge/request_driver.hpp"

#include <cstddef>
#include <memory>
#include <set>

namespace fennelladder::edge {

class caller_session;

class caller_server
{
public:
    caller_server(node_tables& tables, request_driver& driver,
                  caller_server_limits limits);
    ~caller_server();

    /// Listens on `address`, an IP:port, and serves. Fails if it cannot be
    /// bound.
    status start(const std::string& address);

    /// Accepts no new connections from now on.
    void stop_accepting();

    /// From now on, each response closes its connection.
    void start_draining();

    /// Rejects new requests, and closes the connections on which none has
    /// arrived.
    void reject_new_requests();

    /// Number of open connections of callers.
    std::size_t sessions() const { return sessions_->size(); }

    /// Number of requests that are being read, processed or answered.
    std::size_t requests_in_flight() const;

private:
    friend class caller_session;
    using session_set = std::set<caller_session*>;

    void take(tcp::socket socket);
    bool close_longest_idle();
    void log_not_accepted(const std::string& reason) const;
    const char* rejection_reason(std::size_t body_bytes) const;
    accept_limit new_connection_limit();

    node_tables& tables_;
    request_driver& driver_;
    const caller_server_limits limits_;
    tcp::acceptor acceptor_;
    std::shared_ptr<session_set> sessions_ = std::make_shared<session_set>();
    std::size_t active_requests_ = 0;
    std::size_t body_bytes_ = 0;
    bool draining_ = false;
    bool rejecting_ = false;
};

} // namespace fennelladder::edge

#endif
