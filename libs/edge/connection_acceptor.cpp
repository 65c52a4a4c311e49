#include "fennelladder/edge/connection_acceptor.hpp"

#include "fennelladder/dispatch/accept_bound.hpp"

#include <algorithm>
#include <poll.h>

namespace fennelladder::edge {

namespace {

constexpr duration pause_after_failure = milliseconds(50);

/// Bounds of the time after which a bounded acceptor looks again: the bound may
/// have changed.
constexpr duration min_pause = milliseconds(2);
constexpr duration max_pause = milliseconds(100);

/// While connections are bounded, or there's no place for them, they are looked
/// for so often. A pending
/// accept would leave the queue short until the next connection, also after the
/// bound has ended.
constexpr duration look_period = milliseconds(10);

/// Accepts connections as a bound allows.
class bounded_acceptor
{
public:
    bounded_acceptor(tcp::acceptor& acceptor, accept_limit limit)
        : acceptor_(acceptor), limit_(std::move(limit)),
          queue_(limit_.longest_queue)
    {}

    /// Takes leave to accept one connection.
    bool may_accept()
    {
        const instant now = limit_.now();
        bound_.set_rate(limit_.rate(), now);
        set_queue(bound_.queue_length(limit_.longest_queue));
        return bound_.take(now);
    }

    /// Whether there is a place for one connection, if one waits.
    bool has_place()
    {
        return !limit_.is_full() || (has_waiting() && limit_.make_room());
    }

    bool is_bounded() const { return bound_.is_bounded(); }

    void give_back() { bound_.give_back(); }

    duration pause() const
    {
        return std::clamp(bound_.time_to_next(limit_.now()), min_pause,
                          max_pause);
    }

    /// Tells the owner of the bound if connections wait for it.
    void report_waiting()
    {
        if (has_waiting())
            limit_.on_wait();
    }

private:
    bool has_waiting()
    {
        pollfd it{acceptor_.native_handle(), POLLIN, 0};
        return ::poll(&it, 1, 0) > 0 && (it.revents & POLLIN) != 0;
    }

    /// Listening again on a socket that listens changes the length of its
    /// queue.
    void set_queue(int length)
    {
        if (length == queue_)
            return;
        net_error ec;
        acceptor_.listen(length, ec);
        if (!ec)
            queue_ = length;
    }

    tcp::acceptor& acceptor_;
    accept_limit limit_;
    dispatch::accept_bound bound_;
    int queue_;
};

/// Waits for one connection, then takes all others that wait too. Returns why
/// it ended, which is no error if there are none left. Precondition: `bounded`
/// gave leave for one.
awaitable<net_error> accept_waiting(tcp::acceptor& acceptor, const auto& take,
                                    bounded_acceptor& bounded)
{
    tcp::socket socket(acceptor.get_executor());
    net_error ec;
    if (bounded.is_bounded())
        acceptor.accept(socket, ec);
    else
        co_await acceptor.async_accept(socket, into(ec));
    for (int taken = 0; !ec; ++taken) {
        take(std::move(socket));
        if (taken + 1 == max_accepts_per_turn || !acceptor.is_open() ||
            !bounded.has_place() || !bounded.may_accept())
            co_return net_error();
        socket = tcp::socket(acceptor.get_executor());
        acceptor.accept(socket, ec);
    }
    bounded.give_back();
    co_return is_transient(ec) ? net_error() : ec;
}

} // namespace

awaitable<void> accept_connections(
    tcp::acceptor& acceptor, std::function<void(tcp::socket)> take,
    std::function<void(const net_error&)> on_failure, accept_limit limit)
{
    asio::steady_timer timer(acceptor.get_executor());
    bounded_acceptor bounded(acceptor, std::move(limit));
    net_error ec;
    acceptor.non_blocking(true, ec);
    while (acceptor.is_open()) {
        if (!bounded.has_place()) {
            co_await sleep_on(timer, look_period);
            continue;
        }
        if (!bounded.may_accept()) {
            bounded.report_waiting();
            co_await sleep_on(timer, bounded.pause());
            continue;
        }
        ec = co_await accept_waiting(acceptor, take, bounded);
        if (ec) {
            on_failure(ec);
            co_await sleep_on(timer, pause_after_failure);
        } else if (bounded.is_bounded()) {
            co_await sleep_on(timer, look_period);
        }
    }
}

} // namespace fennelladder::edge
