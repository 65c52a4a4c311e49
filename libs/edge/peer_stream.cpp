// The idle deadline is extended before each read or write, so one that moves no
// byte ends the connection.

#include "fennelladder/edge/peer_stream.hpp"

#include "fennelladder/mesh/transfer_slots.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>

namespace fennelladder::edge {

namespace {

/// Bytes read at a time; also the step by which the buffer grows.
constexpr std::size_t read_chunk_bytes = 65'536;

/// Kernel send buffer of a connection. Bytes in it count as sent, although they
/// may wait for seconds on a saturated link.
constexpr int send_buffer_bytes = 32'768;

using head_bytes = std::array<unsigned char, 4>;

std::size_t decode_length(const head_bytes& head)
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
    : socket_(std::move(socket)), deadline_(socket_),
      transfer_end_(asio::steady_timer::clock_type::now() +
                    mesh::transfer_timeout)
{
    net_error ec;
    if (!socket_->is_open())
        return;
    // Best effort: with a larger default buffer, a lack of progress is noticed
    // later.
    socket_->set_option(tcp::socket::send_buffer_size(send_buffer_bytes), ec);
    socket_->set_option(tcp::no_delay(true), ec);
}

void peer_stream::extend_deadline()
{
    const auto now = asio::steady_timer::clock_type::now();
    deadline_.close_at(
        std::min(now + mesh::transfer_idle_timeout, transfer_end_));
}

awaitable<bool> peer_stream::connect(tcp::endpoint to, duration limit)
{
    deadline_.close_after(limit);
    const instant began = link_ != nullptr ? link_->begin_dial() : instant();
    net_error ec;
    co_await socket_->async_connect(to, into(ec));
    deadline_.clear();
    if (link_ != nullptr && deadline_.has_closed())
        link_->note_timed_out(began, to);
    else if (link_ != nullptr && !ec)
        link_->note_connected(began, to);
    co_return !ec && socket_->is_open();
}

awaitable<bool> peer_stream::read(std::string& out, std::size_t max_size)
{
    out.clear();
    head_bytes head{};
    net_error ec;
    extend_deadline();
    co_await asio::async_read(*socket_, asio::buffer(head), into(ec));
    const std::size_t length = decode_length(head);
    if (ec || length > max_size)
        co_return false;
    while (out.size() < length && !ec) {
        const std::size_t before = out.size();
        const std::size_t step = std::min(length - before, read_chunk_bytes);
        out.resize(before + step);
        extend_deadline();
        const std::size_t got = co_await socket_->async_read_some(
            asio::buffer(out.data() + before, step), into(ec));
        out.resize(before + got);
        bytes_read_ += got;
        if (link_ != nullptr)
            link_->add_received(got);
    }
    deadline_.clear();
    co_return !ec;
}

awaitable<bool> peer_stream::write(std::string_view bytes)
{
    net_error ec;
    while (!bytes.empty() && !ec) {
        extend_deadline();
        const std::size_t sent = co_await socket_->async_write_some(
            asio::buffer(bytes.data(), bytes.size()), into(ec));
        bytes.remove_prefix(sent);
        if (link_ != nullptr)
            link_->add_sent(sent);
    }
    deadline_.clear();
    co_return !ec;
}

awaitable<bool> peer_stream::ask(std::string question, std::string& answer,
                                 std::size_t max_size)
{
    const std::string bytes = framed(question);
    const bool sent = co_await write(bytes);
    if (!sent)
        co_return false;
    const bool answered = co_await read(answer, max_size);
    co_return answered;
}

awaitable<bool> peer_stream::wait_for_close()
{
    char any = 0;
    net_error ec;
    extend_deadline();
    co_await socket_->async_read_some(asio::buffer(&any, 1), into(ec));
    deadline_.clear();
    co_return ec == asio::error::eof;
}

void peer_stream::close()
{
    deadline_.clear();
    net_error ec;
    if (socket_ != nullptr)
        socket_->close(ec);
}

void peer_stream::release()
{
    deadline_.clear();
    socket_.reset();
}

} // namespace fennelladder::edge
