#include "fennelladder/edge/connection_acceptor.hpp"

namespace fennelladder::edge {

namespace {

constexpr duration pause_after_failure = milliseconds(50);

/// Waits for one connection, then takes all others that wait too. Returns why
/// it ended, which is no error if there are none left.
awaitable<net_error> accept_waiting(tcp::acceptor& acceptor, const auto& take)
{
    tcp::socket socket(acceptor.get_executor());
    net_error ec;
    co_await acceptor.async_accept(socket, into(ec));
    for (int taken = 0; !ec; ++taken) {
        take(std::move(socket));
        if (taken + 1 == max_accepts_per_turn || !acceptor.is_open())
            break;
        socket = tcp::socket(acceptor.get_executor());
        acceptor.accept(socket, ec);
    }
    co_return is_transient(ec) ? net_error() : ec;
}

} // namespace

awaitable<void>
accept_connections(tcp::acceptor& acceptor,
                   std::function<void(tcp::socket)> take,
                   std::function<void(const net_error&)> on_failure)
{
    asio::steady_timer timer(acceptor.get_executor());
    net_error ec;
    acceptor.non_blocking(true, ec);
    while (acceptor.is_open()) {
        ec = co_await accept_waiting(acceptor, take);
        if (!ec)
            continue;
        on_failure(ec);
        co_await sleep_on(timer, pause_after_failure);
    }
}

} // namespace fennelladder::edge
