// Serves callers: accepts connections, reads the requests of each one after the
// other, passes them to the request driver, and notices when a caller
// disconnects.
//
//     caller_server server(tables, driver, limits);
//     server.start(address);
//     server.start_draining();          // when the node shuts down
//     server.answer_all_by(at);
//     server.stop_accepting();
//     server.reject_new_requests();
//
// Limits on connections, requests in flight and buffered bytes keep callers
// from exhausting the process, whatever they send or leave unread. Who gives
// way when the bytes are spent says dispatch/buffer_budget.hpp; requests that
// give way are answered 408 or 503 ("not run"). Connections beyond the limit
// wait to be accepted until one that is idle is closed, or one whose request or
// response is behind its pace.
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

#include "fennelladder/dispatch/buffer_budget.hpp"
#include "fennelladder/edge/connection_acceptor.hpp"
#include "fennelladder/edge/host_shares.hpp"
#include "fennelladder/edge/request_driver.hpp"

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelladder::edge {

/// Reason of a refusal for want of memory, or of places for requests.
inline constexpr const char* too_much_at_once = "too much at once";

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

    /// Requests that are still under way at `at` are answered then. New ones
    /// that usually take longer than that are refused.
    void answer_all_by(instant at);

    /// Rejects new requests, and closes the connections on which none has
    /// arrived.
    void reject_new_requests();

    /// Applies other limits. What is over them gives way, except for requests
    /// that are being served.
    void set_limits(caller_server_limits limits);

    /// Closes connections over the limit that may make a place for others.
    /// Call regularly.
    void shed_connections();

    const caller_server_limits& limits() const { return limits_; }

    /// What the requests and responses of callers hold.
    const dispatch::buffer_budget& buffers() const
    {
        return exchanges_->budget;
    }

    /// Number of open connections of callers.
    std::size_t sessions() const { return sessions_->size(); }

    /// Number of requests that are being read, processed or answered.
    std::size_t requests_in_flight() const;

private:
    friend class caller_session;
    using session_set = std::set<caller_session*>;

    struct exchange_table
    {
        explicit exchange_table(dispatch::buffer_limits limits) : budget(limits)
        {}

        dispatch::buffer_budget budget;
        std::unordered_map<dispatch::exchange_id, caller_session*> sessions;
    };

    void take(tcp::socket socket);
    bool make_place();
    bool close_longest_idle();
    void log_not_accepted(const std::string& reason) const;
    accept_limit new_connection_limit();

    /// Why no request is served now; null if some are.
    const char* rejection_reason() const;

    /// Why a request with a body of this size isn't served now; null if it is.
    const char* rejection_reason(std::size_t body_bytes) const;

    const dispatch::buffer_limits& buffer_limits() const
    {
        return exchanges_->budget.limits();
    }

    /// Ends these exchanges, which the budget has taken out.
    void displace(const std::vector<dispatch::displaced>& all,
                  bool place_is_needed);
    void log_displaced(const std::string& id, dispatch::displacement why,
                       std::size_t bytes, bool is_response);
    void count_rejection(const char* reason);
    void count_refusal(const char* reason);

    node_tables& tables_;
    request_driver& driver_;
    caller_server_limits limits_;
    tcp::acceptor acceptor_;
    std::shared_ptr<session_set> sessions_ = std::make_shared<session_set>();
    std::shared_ptr<exchange_table> exchanges_;
    instant last_full_log_;
    bool draining_ = false;
    bool rejecting_ = false;
};

} // namespace fennelladder::edge

#endif
