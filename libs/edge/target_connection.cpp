#include "fennelladder/edge/target_connection.hpp"

#include "fennelladder/edge/socket_deadline.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace fennelladder::edge {

target_connection::target_connection(asio::io_context& io,
                                     target_endpoint target)
    : to(std::move(target)), socket(io)
{}

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
    enable_keepalive(made->socket, options_.keepalive_timeout);
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
