// What can end a request's course from outside, while a coroutine works on it.
//
//     exchange course(io, now);
//     course.set_deadline(at);
//     course.hold(connection);         // closed when the course is stopped
//     ... read from the connection; on failure look at course.stopped() ...
//
// The coroutine waits for the target; the caller's leaving, the deadline and
// a silence that lasted too long come from elsewhere. Each of them notes its
// reason and closes the connection to the target, which ends the wait and
// stops the target's work.
//
// A limit that passed while the node's loop stood still stops nothing that came
// meanwhile: see expiry_check.hpp. A target that says nothing is given up
// `expiry_grace` later than its limit.
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

enum class stop_reason : std::uint8_t
{
    none,
    caller_left,
    deadline_exceeded,
    idle_timeout ///< Of one attempt: the next begins with a clean slate.
};

class request_cancellation
    : public std::enable_shared_from_this<request_cancellation>
{
public:
    request_cancellation(asio::io_context& io, const clock& time);

    /// Stops the course at `at`, unless it has ended by `expiry_grace` after.
    void set_deadline(instant at);

    /// Stops the attempt at `at` unless it's moved on before `expiry_grace`
    /// after.
    void set_idle_deadline(std::optional<instant> at);

    /// The connection to close when the course is stopped. If the caller left
    /// before the target answered anything, only this node's side is closed
    /// at first: what the target still sent, or that it sent nothing, tells
    /// whether the team owes for its prompt, and an answer that comes whole in
    /// that time is passed on to a caller that only ended its sending side.
    void attach(connection_ptr held);
    void detach();

    /// Called when the course is stopped, besides closing what is held: to
    /// cut the caller off when it doesn't take its answer.
    void on_stop(std::function<void(stop_reason)> then);

    /// Asked when an attempt has been silent for as long as it may. `false`
    /// lets it go on; it is asked again while the silence lasts. Not asked
    /// without one: the attempt is stopped.
    void on_idle_timeout(std::function<bool()> may_stop);

    /// How to find out whether the caller has left: on a busy node its end
    /// may have arrived without having been read.
    void on_caller_check(std::function<void()> look);

    /// Looks now. Stops the course if the caller has left.
    void check_caller();

    /// Once for good; only a silence may be followed by another reason.
    void stop(stop_reason why);
    stop_reason stopped() const { return stopped_; }

    /// Stops the course since the caller's connection ended: `how` is what
    /// reading from it gave.
    void stop_caller_left(net_error how);

    /// What stop_caller_left() was told; no error before it.
    const net_error& caller_disconnect() const { return caller_end_; }

    /// After a silent attempt.
    void clear_idle_timeout();

    /// Nothing may stop it any more.
    void end();

private:
    std::optional<instant> next_look() const;
    void arm();
    void on_timer();
    void stop_silent();
    void close_in_order();

    const clock& time_;
    asio::steady_timer timer_;
    std::optional<instant> armed_for_;
    std::optional<instant> deadline_;
    std::optional<instant> silence_limit_;
    expiry_check<instant> deadline_look_;
    expiry_check<instant> silence_look_;
    connection_ptr held_;
    std::optional<socket_deadline> farewell_; ///< After close_in_order().
    std::function<void(stop_reason)> then_;
    std::function<bool()> may_stop_silent_;
    std::function<void()> look_;
    stop_reason stopped_ = stop_reason::none;
    net_error caller_end_;
    bool ended_ = false;
};

using request_cancellation_ptr = std::shared_ptr<request_cancellation>;

} // namespace fennelladder::edge

#endif
