// One timer serves both limits. Moving the silence limit on, as each event of
// a stream does, costs nothing: the timer looks when it fires whether the
// limit has moved, and waits for the rest.

#include "fennelladder/edge/request_cancellation.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

/// A target notices within a round trip that its caller is gone, and ends the
/// connection itself, or answers if it was about to. One that doesn't is cut
/// off after this long, well before the half second after which its work counts
/// as wasted.
constexpr duration farewell = milliseconds(100);

/// A silent attempt that had to go on is asked about again after this long:
/// retries come back, and targets, within tenths of a second.
constexpr duration silence_pause = milliseconds(100);

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

void request_cancellation::set_idle_deadline(std::optional<instant> at)
{
    silence_limit_ = at;
    arm();
}

std::optional<instant> request_cancellation::next_look() const
{
    std::optional<instant> next;
    if (deadline_)
        next = deadline_look_.next_check(*deadline_);
    if (!silence_limit_)
        return next;
    const instant at = silence_look_.next_check(*silence_limit_);
    return next ? std::min(*next, at) : at;
}

void request_cancellation::arm()
{
    const std::optional<instant> next = next_look();
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
    // Each limit has its own second look: an answer's head and body are worked
    // off in handlers of their own, and after a stall this one may run between
    // them, with the body there and the answer as good as whole.
    const bool late = deadline_ && deadline_look_.has_expired(*deadline_, now);
    const bool silent =
        silence_limit_ && silence_look_.has_expired(*silence_limit_, now);
    if (late)
        stop(stop_reason::deadline_exceeded);
    else if (!silent)
        arm();
    else if (!may_stop_silent_ || may_stop_silent_())
        stop_silent();
    else
        set_idle_deadline(now + silence_pause);
}

void request_cancellation::attach(connection_ptr held)
{
    held_ = std::move(held);
}

void request_cancellation::detach()
{
    held_.reset();
}

void request_cancellation::on_stop(std::function<void(stop_reason)> then)
{
    then_ = std::move(then);
}

void request_cancellation::on_idle_timeout(std::function<bool()> may_stop)
{
    may_stop_silent_ = std::move(may_stop);
}

void request_cancellation::on_caller_check(std::function<void()> look)
{
    look_ = std::move(look);
}

void request_cancellation::check_caller()
{
    if (look_ && !ended_ && stopped_ == stop_reason::none)
        look_();
}

/// A silent attempt is over, its request isn't: the deadline holds on.
void request_cancellation::stop_silent()
{
    silence_limit_.reset();
    stop(stop_reason::idle_timeout);
    arm();
}

void request_cancellation::stop(stop_reason why)
{
    const bool over = stopped_ == stop_reason::caller_left ||
                      stopped_ == stop_reason::deadline_exceeded;
    if (ended_ || over || stopped_ == why)
        return;
    stopped_ = why;
    net_error ec;
    if (held_ && held_->awaiting_response && why == stop_reason::caller_left)
        close_in_order();
    else if (held_)
        held_->socket.close(ec);
    if (then_)
        then_(why);
}

void request_cancellation::stop_caller_left(net_error how)
{
    if (!ended_ && !caller_end_)
        caller_end_ = how;
    stop(stop_reason::caller_left);
}

void request_cancellation::close_in_order()
{
    net_error ec;
    held_->socket.shutdown(tcp::socket::shutdown_send, ec);
    // Its limits are of no use to a course that is stopped.
    armed_for_.reset();
    timer_.cancel();
    farewell_.emplace(socket_of(held_));
    farewell_->close_after(farewell);
}

void request_cancellation::clear_idle_timeout()
{
    if (stopped_ == stop_reason::idle_timeout)
        stopped_ = stop_reason::none;
    silence_limit_.reset();
    arm();
}

void request_cancellation::end()
{
    ended_ = true;
    then_ = nullptr;
    may_stop_silent_ = nullptr;
    look_ = nullptr;
    held_.reset();
    timer_.cancel();
    farewell_.reset();
}

} // namespace fennelladder::edge
