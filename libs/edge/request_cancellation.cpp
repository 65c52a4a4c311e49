// One timer serves both limits. Extending the idle deadline, as each event of a
// stream does, does not re-arm it: when it fires, its handler compares with the
// current limit and waits for the remaining time.

#include "fennelladder/edge/request_cancellation.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

/// A target notices within a round trip that the sending side was shut down,
/// and closes the connection, or responds if it was about to. One that does
/// neither is disconnected after this time, well before the half second after
/// which its work counts as wasted.
constexpr duration half_close_timeout = milliseconds(100);

/// Interval at which an idle attempt that had to continue is reconsidered.
/// Retry allowance and targets become available again within tenths of a
/// second.
constexpr duration idle_retry_interval = milliseconds(100);

} // namespace

request_cancellation::request_cancellation(asio::io_context& io,
                                           const clock& time)
    : time_(time), timer_(io)
{}

void request_cancellation::set_deadline(instant at)
{
    deadline_ = at;
    arm();
}

void request_cancellation::stop_by(instant at)
{
    stop_by_ = at;
    arm();
}

void request_cancellation::set_idle_deadline(std::optional<instant> at)
{
    idle_deadline_ = at;
    arm();
}

std::optional<instant> request_cancellation::next_expiry() const
{
    std::optional<instant> next = stop_by_;
    const auto add = [&next](instant at) {
        next = next ? std::min(*next, at) : at;
    };
    if (deadline_)
        add(deadline_check_.next_check(*deadline_));
    if (idle_deadline_)
        add(idle_check_.next_check(*idle_deadline_));
    return next;
}

void request_cancellation::arm()
{
    const std::optional<instant> next = next_expiry();
    if (ended_ || !next || (armed_for_ && *armed_for_ <= *next))
        return;
    armed_for_ = next;
    timer_.expires_after(std::max(*next - time_.now(), duration(0)));
    timer_.async_wait([weak = weak_from_this()](net_error ec) {
        const auto self = weak.lock();
        if (!ec && self)
            self->on_timer();
    });
}

void request_cancellation::on_timer()
{
    armed_for_.reset();
    if (ended_)
        return;
    const instant now = time_.now();
    // Each limit has its own second check: a response's head and body are read
    // by separate handlers, and after a stall this one may run between them,
    // when the body has arrived and the response is about to complete.
    const bool past_deadline =
        deadline_ && deadline_check_.has_expired(*deadline_, now);
    const bool idle =
        idle_deadline_ && idle_check_.has_expired(*idle_deadline_, now);
    if (stop_by_ && now >= *stop_by_)
        stop(stop_reason::node_stops);
    else if (past_deadline)
        stop(stop_reason::deadline_exceeded);
    else if (!idle)
        arm();
    else if (!may_stop_idle_ || may_stop_idle_())
        stop_idle_attempt();
    else
        set_idle_deadline(now + idle_retry_interval);
}

void request_cancellation::attach(connection_ptr connection)
{
    connection_ = std::move(connection);
}

void request_cancellation::detach()
{
    connection_.reset();
}

void request_cancellation::on_stop(std::function<void(stop_reason)> then)
{
    on_stop_ = std::move(then);
}

void request_cancellation::on_idle_timeout(std::function<bool()> may_stop)
{
    may_stop_idle_ = std::move(may_stop);
}

void request_cancellation::on_caller_check(std::function<void()> check)
{
    check_caller_ = std::move(check);
}

void request_cancellation::check_caller()
{
    if (check_caller_ && !ended_ && stopped_ == stop_reason::none)
        check_caller_();
}

/// Ends the attempt, not the request, so the deadline stays armed.
void request_cancellation::stop_idle_attempt()
{
    idle_deadline_.reset();
    stop(stop_reason::idle_timeout);
    arm();
}

void request_cancellation::stop(stop_reason why)
{
    const bool over = stopped_ == stop_reason::caller_left ||
                      stopped_ == stop_reason::deadline_exceeded ||
                      stopped_ == stop_reason::node_stops;
    if (ended_ || over || stopped_ == why)
        return;
    stopped_ = why;
    if (connection_ && connection_->awaiting_response &&
        why == stop_reason::caller_left)
        half_close();
    else if (connection_)
        connection_->close();
    if (on_stop_)
        on_stop_(why);
}

void request_cancellation::stop_caller_left(net_error how)
{
    if (!ended_ && !caller_disconnect_)
        caller_disconnect_ = how;
    stop(stop_reason::caller_left);
}

void request_cancellation::half_close()
{
    net_error ec;
    connection_->socket.shutdown(tcp::socket::shutdown_send, ec);
    // A stopped request needs no limits any more.
    armed_for_.reset();
    timer_.cancel();
    half_close_deadline_.emplace(
        socket_of(connection_),
        [weak = std::weak_ptr<target_connection>(connection_)] {
            if (const auto it = weak.lock())
                it->close();
        });
    half_close_deadline_->close_after(half_close_timeout);
}

void request_cancellation::clear_idle_timeout()
{
    if (stopped_ == stop_reason::idle_timeout)
        stopped_ = stop_reason::none;
    idle_deadline_.reset();
    arm();
}

void request_cancellation::end()
{
    ended_ = true;
    on_stop_ = nullptr;
    may_stop_idle_ = nullptr;
    check_caller_ = nullptr;
    connection_.reset();
    timer_.cancel();
    half_close_deadline_.reset();
}

} // namespace fennelladder::edge
