// The deadline is set anew before each step, so that a step without a byte ends
// the connection.

#include "fennelladder/edge/peer_stream.hpp"

#include "fennelladder/mesh/transfer_slots.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>

namespace fennelladder::edge {

namespace {

/// Read at a time; also what memory grows by.
constexpr std::size_t read_step = 65'536;

/// Bytes that the system holds for a connection. What it holds looks sent,
/// although it may wait for seconds before a full link.
constexpr int send_buffer_bytes = 32'768;

using head_bytes = std::array<unsigned char, 4>;

std::size_t length_of(const head_bytes& head)
{
    return std::size_t(head[0]) << 24 | std::size_t(head[1]) << 16 |
           std::size_t(head[2]) << 8 | std::size_t(head[3]);
}

} // namespace

std::string framed(std::string_view message)
{
    const auto n = static_cast<std::uint32_t>(message.size());
    std::string out;
    out.reserve(sizeof(head_bytes) + message.size());
    for (const int shift : {24, 16, 8, 0})
        out.push_back(static_cast<char>(n >> shift));
    out += message;
    return out;
}

peer_stream::peer_stream(asio::io_context& io)
    : peer_stream(std::make_shared<tcp::socket>(io))
{}

peer_stream::peer_stream(std::shared_ptr<tcp::socket> socket)
    : socket_(std::move(socket)), limit_(socket_),
      end_(asio::steady_timer::clock_type::now() + mesh::longest_transfer)
{
    net_error ec;
    if (!socket_->is_open())
        return;
    // A system that refuses leaves its own sizes; progress is then seen late.
    socket_->set_option(tcp::socket::send_buffer_size(send_buffer_bytes), ec);
    socket_->set_option(tcp::no_delay(true), ec);
}

void peer_stream::limit_silence()
{
    const auto now = asio::steady_timer::clock_type::now();
    limit_.close_at(std::min(now + mesh::longest_silence, end_));
}

awaitable<bool> peer_stream::connect(tcp::endpoint to, duration limit)
{
    limit_.close_after(limit);
    net_error ec;
    co_await socket_->async_connect(to, into(ec));
    limit_.clear();
    co_return !ec && socket_->is_open();
}

awaitable<bool> peer_stream::read(std::string& out, std::size_t largest)
{
    out.clear();
    head_bytes head{};
    net_error ec;
    limit_silence();
    co_await asio::async_read(*socket_, asio::buffer(head), into(ec));
    const std::size_t length = length_of(head);
    if (ec || length > largest)
        co_return false;
    while (out.size() < length && !ec) {
        const std::size_t before = out.size();
        const std::size_t step = std::min(length - before, read_step);
        out.resize(before + step);
        limit_silence();
        const std::size_t got = co_await socket_->async_read_some(
            asio::buffer(out.data() + before, step), into(ec));
        out.resize(before + got);
        bytes_read_ += got;
    }
    limit_.clear();
    co_return !ec;
}

awaitable<bool> peer_stream::write(std::string_view bytes)
{
    net_error ec;
    while (!bytes.empty() && !ec) {
        limit_silence();
        const std::size_t sent = co_await socket_->async_write_some(
            asio::buffer(bytes.data(), bytes.size()), into(ec));
        bytes.remove_prefix(sent);
    }
    limit_.clear();
    co_return !ec;
}

awaitable<bool> peer_stream::wait_for_close()
{
    char any = 0;
    net_error ec;
    limit_silence();
    co_await socket_->async_read_some(asio::buffer(&any, 1), into(ec));
    limit_.clear();
    co_return ec == asio::error::eof;
}

void peer_stream::close()
{
    limit_.clear();
    net_error ec;
    socket_->close(ec);
}

} // namespace fennelladder::edge
