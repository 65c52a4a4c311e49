// Stops a request from outside while a coroutine works on it.
//
//     request_cancellation cancellation(io, clock);
//     cancellation.set_deadline(at);
//     cancellation.attach(connection);  // closed when the request is stopped
//     ... read from the connection; on failure check cancellation.stopped() ...
//
// The coroutine waits for the target, while the caller's disconnect, the
// deadline and the idle timeout are noticed elsewhere. Each of them records its
// reason and closes the connection to the target, which ends the wait and stops
// the target's work.
//
// A limit that expired while the event loop was stalled does not stop a request
// whose data arrived meanwhile: see expiry_check.hpp. An unresponsive target is
// therefore abandoned `expiry_grace` after its limit.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_REQUEST_CANCELLATION_HPP
#define FENNELLADDER_EDGE_REQUEST_CANCELLATION_HPP

#include "fennelladder/edge/expiry_check.hpp"
#include "fennelladder/edge/socket_deadline.hpp"
#include "fennelladder/edge/target_connection.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fennelladder::edge {

/// Why a request was stopped.
enum class stop_reason : std::uint8_t
{
    none,
    caller_left,
    deadline_exceeded,
    idle_timeout, ///< Ends one attempt only; clear_idle_timeout() resets it.
    node_stops
};

/// Cancellation state of one request over all of its attempts. Must be owned by
/// a shared_ptr.
class request_cancellation
    : public std::enable_shared_from_this<request_cancellation>
{
public:
    request_cancellation(asio::io_context& io, const clock& time);

    /// Stops the request at `at`, unless it has ended `expiry_grace` later.
    void set_deadline(instant at);

    /// Stops the request at `at`, when this node has to have answered it.
    void stop_by(instant at);

    /// Stops the attempt at `at`, unless the deadline is extended within
    /// `expiry_grace` after it. Unset: no limit.
    void set_idle_deadline(std::optional<instant> at);

    /// Sets the connection to close when the request is stopped. If the caller
    /// left before the target sent any response, only the sending side is shut
    /// down at first: what the target still sends, or that it sends nothing,
    /// shows whether the team is charged for the prompt, and a response that
    /// completes in that time is relayed to a caller that only shut down its
    /// own sending side.
    void attach(connection_ptr connection);

    /// Closes no connection any more when the request is stopped.
    void detach();

    /// Called when the request is stopped, after the attached connection was
    /// closed. Used to disconnect a caller that does not read its response.
    void on_stop(std::function<void(stop_reason)> then);

    /// Called when an attempt reaches its idle deadline. If it returns false,
    /// the attempt continues, and it is called again while the attempt stays
    /// idle. Without a callback the attempt is stopped.
    void on_idle_timeout(std::function<bool()> may_stop);

    /// Sets the function that check_caller() calls. It tests whether the caller
    /// has disconnected: on a busy node the end of its connection may have
    /// arrived without having been read.
    void on_caller_check(std::function<void()> check);

    /// Stops the request if the caller has disconnected.
    void check_caller();

    /// Stops the request. Later calls have no effect, except that another
    /// reason may follow an idle timeout.
    void stop(stop_reason why);
    stop_reason stopped() const { return stopped_; }

    /// Stops the request because the caller's connection ended. `how` is the
    /// error that reading from it returned.
    void stop_caller_left(net_error how);

    /// The error passed to stop_caller_left(); no error before that.
    const net_error& caller_disconnect() const { return caller_disconnect_; }

    /// Clears the idle deadline, and the stop that it caused, between attempts.
    void clear_idle_timeout();

    /// Ends the request: nothing stops it any more.
    void end();

private:
    std::optional<instant> next_expiry() const;
    void arm();
    void on_timer();
    void stop_idle_attempt();
    void half_close();

    const clock& time_;
    asio::steady_timer timer_;
    std::optional<instant> armed_for_;
    std::optional<instant> deadline_;
    std::optional<instant> idle_deadline_;
    std::optional<instant> stop_by_;
    expiry_check<instant> deadline_check_;
    expiry_check<instant> idle_check_;
    connection_ptr connection_;
    std::optional<socket_deadline>
        half_close_deadline_; ///< After half_close().
    std::function<void(stop_reason)> on_stop_;
    std::function<bool()> may_stop_idle_;
    std::function<void()> check_caller_;
    stop_reason stopped_ = stop_reason::none;
    net_error caller_disconnect_;
    bool ended_ = false;
};

using request_cancellation_ptr = std::shared_ptr<request_cancellation>;

} // namespace fennelladder::edge

#endif
