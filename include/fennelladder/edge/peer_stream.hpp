// Messages over a connection between two nodes: four bytes of length (network
// order), then the message.
//
//     peer_stream stream(io);
//     const bool connected = co_await stream.connect(endpoint, limit);
//     const bool sent = co_await stream.write(framed(question));
//     const bool read = co_await stream.read(answer, largest);
//
// A connection lives as long as bytes come or go, and at most
// `longest_transfer`. Failure it guards against: a limit on the whole of an
// exchange ends each transfer that is slow but under way, and what it had
// carried is sent again. One that has fallen silent ends soon, and one that a
// peer feeds a byte now and then ends as well.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_PEER_STREAM_HPP
#define FENNELLADDER_EDGE_PEER_STREAM_HPP

#include "fennelladder/edge/socket_deadline.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace fennelladder::edge {

/// The bytes of one message. Precondition: its size fits 32 bits.
std::string framed(std::string_view message);

class peer_stream
{
public:
    /// One that isn't connected yet.
    explicit peer_stream(asio::io_context& io);

    /// One that was accepted.
    explicit peer_stream(std::shared_ptr<tcp::socket> socket);

    ~peer_stream() { close(); }
    peer_stream(const peer_stream&) = delete;
    peer_stream& operator=(const peer_stream&) = delete;

    awaitable<bool> connect(tcp::endpoint to, duration limit);

    /// Reads one message; false when the connection ended, fell silent, or
    /// the peer announced more than `largest` bytes. Takes memory as the bytes
    /// come, not as they are announced.
    awaitable<bool> read(std::string& out, std::size_t largest);

    /// Sends bytes of framed().
    awaitable<bool> write(std::string_view bytes);

    /// Waits until the peer, having all it asked for, closes; false when it
    /// does not.
    awaitable<bool> wait_for_close();

    void close();

    /// Of messages, without their lengths.
    std::size_t bytes_read() const { return bytes_read_; }

private:
    void limit_silence();

    std::shared_ptr<tcp::socket> socket_;
    socket_deadline limit_;
    socket_deadline::time_point end_;
    std::size_t bytes_read_ = 0;
};

} // namespace fennelladder::edge

#endif
