#include "fennelladder/edge/target_connection.hpp"

#include "fennelladder/edge/socket_deadline.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace fennelladder::edge {

namespace {

/// Checks of a connection within the limit on its silence.
constexpr int checks_per_limit = 4;

} // namespace

target_connection::target_connection(asio::io_context& io,
                                     target_endpoint target)
    : to(std::move(target)), socket(io), watch_(io)
{}

void target_connection::close()
{
    if (!socket.is_open())
        return;
    const bool delivered =
        !awaiting_response && unacknowledged_bytes(socket) == 0U;
    set_reset_on_close(socket, !delivered);
    net_error ec;
    socket.close(ec);
}

void target_connection::arm(std::weak_ptr<target_connection> self,
                            duration length)
{
    is_watched_ = true;
    watch_.expires_after(length);
    watch_.async_wait([self = std::move(self)](net_error ec) {
        const auto it = self.lock();
        if (!ec && it)
            it->check_sending(self);
    });
}

void target_connection::check_sending(
    const std::weak_ptr<target_connection>& self)
{
    is_watched_ = false;
    const auto left = socket.is_open() ? unacknowledged_bytes(socket)
                                       : std::optional<std::size_t>();
    if (!left || *left == 0)
        return;
    const auto now = asio::steady_timer::clock_type::now();
    if (*left != last_unacknowledged_ || received != last_received_) {
        last_unacknowledged_ = *left;
        last_received_ = received;
        stalled_since_ = now;
    }
    if (now - stalled_since_ < limit_)
        return arm(self, std::min<duration>(limit_ / checks_per_limit,
                                            stalled_since_ + limit_ - now));
    timed_out = true;
    close();
}

void watch_sending(const connection_ptr& it, std::size_t bytes, duration limit)
{
    it->limit_ = limit;
    it->last_unacknowledged_ = bytes;
    it->last_received_ = it->received;
    it->stalled_since_ = asio::steady_timer::clock_type::now();
    // A timer that fires sooner waits for the rest.
    if (!it->is_watched_)
        it->arm(it, limit / 2);
}

bool is_stale(tcp::socket& socket)
{
    char byte = 0;
    const ssize_t n =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const net_error ec(n < 0 ? errno : 0, boost::system::system_category());
    return !is_transient(ec);
}

connection_pool::connection_pool(asio::io_context& io,
                                 connection_pool_options options,
                                 link_meter* link)
    : io_(io), options_(options), link_(link)
{}

connection_ptr connection_pool::take_idle(const target_endpoint& to,
                                          duration max_idle_time, instant now)
{
    const auto found = idle_.find(to);
    if (found == idle_.end())
        return nullptr;
    auto& idle = found->second;
    while (!idle.empty()) {
        connection_ptr it = idle.back();
        const duration idle_time = now - it->idle_since;
        // The others have been idle for longer still.
        if (idle_time > max_idle_time && idle_time < it->idle_timeout)
            return nullptr;
        idle.pop_back();
        if (idle_time < it->idle_timeout && !is_stale(it->socket))
            return it;
    }
    return nullptr;
}

connection_ptr connection_pool::make(const target_endpoint& to)
{
    ++opened_;
    return std::make_shared<target_connection>(io_, to);
}

connection_ptr connection_pool::make_relayed(const target_endpoint& to)
{
    return std::make_shared<target_connection>(io_, to);
}

awaitable<status> connection_pool::open(connection_ptr made, duration limit)
{
    const auto endpoint = parse_endpoint(made->to.address);
    if (!endpoint)
        co_return fail(error_code::invalid,
                       "not an address: " + made->to.address);
    socket_deadline until(socket_of(made));
    until.close_after(limit);
    const instant began = link_ != nullptr ? link_->begin_dial() : instant();
    net_error ec;
    co_await made->socket.async_connect(*endpoint, into(ec));
    until.clear();
    if (link_ != nullptr && until.has_closed())
        link_->note_timed_out(began, *endpoint);
    else if (link_ != nullptr && !ec)
        link_->note_connected(began, *endpoint);
    if (!made->socket.is_open())
        co_return fail(until.has_closed() ? error_code::timeout
                                          : error_code::unavailable,
                       "no connection in time");
    if (ec)
        co_return fail(error_code::unavailable, "connect: " + ec.message());
    enable_probes(made->socket, options_.keepalive_timeout);
    set_reset_on_close(made->socket, true);
    co_return status();
}

void connection_pool::release(connection_ptr used,
                              std::optional<duration> keep_alive, instant now)
{
    auto& idle = idle_[used->to];
    if (idle.size() >= options_.max_idle_per_target)
        return;
    used->used = true;
    used->idle_since = now;
    used->idle_timeout =
        keep_alive ? *keep_alive * 4 / 5 : options_.idle_timeout;
    idle.push_back(std::move(used));
}

void connection_pool::close_idle(const target_endpoint& to)
{
    idle_.erase(to);
}

void connection_pool::close_expired(instant now)
{
    for (auto& [target, idle] : idle_)
        std::erase_if(idle, [now](const connection_ptr& it) {
            return now - it->idle_since >= it->idle_timeout ||
                   is_stale(it->socket);
        });
    std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
}

} // namespace fennelladder::edge
