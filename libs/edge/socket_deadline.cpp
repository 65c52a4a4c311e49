#include "fennelladder/edge/socket_deadline.hpp"

#include <optional>
#include <utility>

namespace fennelladder::edge {

class socket_deadline::state : public std::enable_shared_from_this<state>
{
public:
    state(const std::shared_ptr<tcp::socket>& socket,
          std::function<void()> close)
        : socket_(socket), close_(std::move(close)),
          timer_(socket->get_executor())
    {}

    void set(time_point at, bool closes);
    void clear();
    bool has_closed() const { return has_closed_; }
    bool has_expired() const { return has_expired_; }

private:
    void wait_until(time_point at);
    void on_timer();
    bool has_unread() const;
    void expire();

    std::weak_ptr<tcp::socket> socket_;
    const std::function<void()> close_;
    asio::steady_timer timer_;
    std::optional<time_point> deadline_;
    std::optional<time_point> armed_for_;
    expiry_check<time_point> check_;
    bool extended_for_unread_ = false;
    bool closes_ = true;
    bool has_closed_ = false;
    bool has_expired_ = false;
};

void socket_deadline::state::set(time_point at, bool closes)
{
    deadline_ = at;
    closes_ = closes;
    has_expired_ = false;
    check_.reset();
    extended_for_unread_ = false;
    // A timer that fires before the new deadline waits for the remaining time.
    if (!armed_for_ || at < *armed_for_)
        wait_until(at);
}

void socket_deadline::state::clear()
{
    deadline_.reset();
    armed_for_.reset();
    timer_.cancel();
}

void socket_deadline::state::wait_until(time_point at)
{
    armed_for_ = at;
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this()](net_error ec) {
        if (!ec)
            self->on_timer();
    });
}

/// May also run once for a wait that was replaced or cancelled after its
/// handler had been queued.
void socket_deadline::state::on_timer()
{
    armed_for_.reset();
    if (!deadline_)
        return;
    const auto now = asio::steady_timer::clock_type::now();
    if (!check_.has_expired(*deadline_, now))
        return wait_until(check_.next_check(*deadline_));
    // A second check that was queued before a stall may run before the handlers
    // of bytes that arrived during it. Wait for these once only: bytes that
    // nobody reads must not keep the connection open.
    if (!extended_for_unread_ && has_unread()) {
        extended_for_unread_ = true;
        return wait_until(now + expiry_grace);
    }
    expire();
}

bool socket_deadline::state::has_unread() const
{
    net_error ec;
    const auto socket = socket_.lock();
    return socket && socket->available(ec) > 0;
}

void socket_deadline::state::expire()
{
    deadline_.reset();
    has_expired_ = true;
    has_closed_ = has_closed_ || closes_;
    net_error ec;
    const auto socket = socket_.lock();
    if (socket && closes_ && close_)
        close_();
    else if (socket && closes_)
        socket->close(ec);
    else if (socket)
        socket->cancel(ec);
}

socket_deadline::socket_deadline(const std::shared_ptr<tcp::socket>& socket,
                                 std::function<void()> close)
    : state_(std::make_shared<state>(socket, std::move(close)))
{}

void socket_deadline::close_at(time_point at)
{
    state_->set(at, true);
}

void socket_deadline::close_after(duration length)
{
    state_->set(asio::steady_timer::clock_type::now() + length, true);
}

void socket_deadline::cancel_after(duration length)
{
    state_->set(asio::steady_timer::clock_type::now() + length, false);
}

void socket_deadline::clear()
{
    state_->clear();
}

bool socket_deadline::has_closed() const
{
    return state_->has_closed();
}

bool socket_deadline::has_expired() const
{
    return state_->has_expired();
}

} // namespace fennelladder::edge
