#include "fennelladder/edge/io.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <exception>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace fennelladder::edge {

namespace {

void set_option(tcp::socket& socket, int level, int name, int value)
{
    // Best effort: a kernel that lacks the option leaves the connection as it
    // is.
    (void)::setsockopt(socket.native_handle(), level, name, &value,
                       sizeof value);
}

/// Time after which a task that failed is started again.
constexpr duration restart_pause = milliseconds(100);

void log_failure(const std::string& task, const std::exception_ptr& failure)
{
    std::string error = "of an unknown type";
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& known) {
        error = known.what();
    } catch (...) {
    }
    telemetry::log_event(telemetry::event::task_failed,
                         {{"task", task}, {"error", error}});
}

awaitable<void> run_lasting(asio::io_context& io,
                            std::function<awaitable<void>()> start,
                            std::string task)
{
    asio::steady_timer timer(io);
    for (;;) {
        try {
            co_await start();
            co_return;
        } catch (...) {
            log_failure(task, std::current_exception());
        }
        co_await sleep_on(timer, restart_pause);
    }
}

} // namespace

std::optional<tcp::endpoint> parse_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    net_error ec;
    const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto read = std::from_chars(address.data() + colon + 1, end, port);
    if (ec || read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return tcp::endpoint(ip, port);
}

bool is_transient(const net_error& ec)
{
    return ec == asio::error::would_block || ec == asio::error::try_again ||
           ec == asio::error::interrupted;
}

std::string disconnect_reason(const net_error& ec)
{
    if (!ec)
        return {};
    if (ec == asio::error::eof)
        return "closed";
    if (ec == asio::error::connection_reset)
        return "reset";
    return ec.message();
}

net_error end_of_input(const net_error& read, const net_error& write)
{
    const bool is_hidden =
        read == asio::error::eof && write && write != asio::error::broken_pipe;
    return is_hidden ? write : read;
}

awaitable<void> run_ready_handlers(asio::any_io_executor executor)
{
    co_await asio::post(executor, asio::use_awaitable);
}

std::string with_port(const std::string& address, std::uint16_t port)
{
    return address.substr(0, address.rfind(':')) + ":" + std::to_string(port);
}

void enable_keepalive(tcp::socket& socket, duration limit)
{
    enable_probes(socket, limit);
    const auto ms = std::chrono::duration_cast<milliseconds>(limit).count();
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms));
}

void enable_probes(tcp::socket& socket, duration limit)
{
    net_error ec;
    socket.set_option(tcp::no_delay(true), ec);
    const auto ms = std::chrono::duration_cast<milliseconds>(limit).count();
    const int idle_seconds =
        static_cast<int>(std::max<std::int64_t>(ms / 2000, 1));
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

std::optional<std::size_t> unacknowledged_bytes(tcp::socket& socket)
{
    int out = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &out) != 0 || out < 0)
        return std::nullopt;
    return static_cast<std::size_t>(out);
}

void set_reset_on_close(tcp::socket& socket, bool resets)
{
    net_error ec;
    socket.set_option(asio::socket_base::linger(resets, 0), ec);
}

awaitable<void> sleep_on(asio::steady_timer& timer, duration length)
{
    timer.expires_after(length);
    net_error ec;
    co_await timer.async_wait(into(ec));
}

void spawn(asio::io_context& io, awaitable<void> work, std::string_view task)
{
    asio::co_spawn(
        io, std::move(work),
        [name = std::string(task)](const std::exception_ptr& failure) {
            if (failure)
                log_failure(name, failure);
        });
}

awaitable<void> undo_on_failure(awaitable<void> work,
                                std::function<void()> undo)
{
    try {
        co_await std::move(work);
    } catch (...) {
        undo();
        throw;
    }
}

void spawn_lasting(asio::io_context& io, std::function<awaitable<void>()> start,
                   std::string_view task)
{
    spawn(io, run_lasting(io, std::move(start), std::string(task)), task);
}

void run_contained(asio::io_context& io, const std::function<void()>& run)
{
    while (!io.stopped()) {
        try {
            run();
        } catch (...) {
            log_failure("handler", std::current_exception());
        }
    }
}

} // namespace fennelladder::edge
