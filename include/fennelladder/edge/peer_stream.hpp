// Length-prefixed messages over a TCP connection between two nodes: four bytes
// of length in network byte order, then the message.
//
//     peer_stream stream(io);
//     const bool connected = co_await stream.connect(endpoint, limit);
//     const bool sent = co_await stream.write(framed(question));
//     const bool read = co_await stream.read(answer, max_size);
//
// A connection may last as long as it makes progress, but no longer than
// mesh::transfer_timeout. Failure it guards against: one timeout over a whole
// request and reply ends transfers that are slow but making progress, and the
// bytes already carried are sent again. The idle timeout ends a stalled
// connection soon, and the total limit ends one whose peer sends a byte now and
// then.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_PEER_STREAM_HPP
#define FENNELLADDER_EDGE_PEER_STREAM_HPP

#include "fennelladder/edge/link_meter.hpp"
#include "fennelladder/edge/socket_deadline.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace fennelladder::edge {

/// Encodes one message with its length. Precondition: its size fits 32 bits.
std::string framed(std::string_view message);

class peer_stream
{
public:
    /// Creates a stream that is not connected yet.
    explicit peer_stream(asio::io_context& io);

    /// Takes over an accepted connection.
    explicit peer_stream(std::shared_ptr<tcp::socket> socket);

    ~peer_stream() { close(); }
    peer_stream(const peer_stream&) = delete;
    peer_stream& operator=(const peer_stream&) = delete;

    /// Counts the stream's bytes and its dial from now on. `link` must outlive
    /// the stream.
    void count_on(link_meter& link) { link_ = &link; }

    /// Connects. Returns false on an error or after `limit`.
    awaitable<bool> connect(tcp::endpoint to, duration limit);

    /// Reads one message. Returns false if the connection ended or became idle,
    /// or if the peer announced more than `max_size` bytes. Allocates memory as
    /// bytes arrive, not as they are announced.
    awaitable<bool> read(std::string& out, std::size_t max_size);

    /// Sends bytes that framed() returned. Returns false if the connection
    /// ended or made no progress.
    awaitable<bool> write(std::string_view bytes);

    /// Sends one message and reads the answer, as write() and read() do.
    awaitable<bool> ask(std::string question, std::string& answer,
                        std::size_t max_size);

    /// Waits until the peer, which has received all it requested, closes the
    /// connection. Returns false if it does not.
    awaitable<bool> wait_for_close();

    void close();

    /// Gives up the connection without closing it.
    void release();

    /// Message bytes read so far, without the length prefixes.
    std::size_t bytes_read() const { return bytes_read_; }

private:
    void extend_deadline();

    std::shared_ptr<tcp::socket> socket_;
    socket_deadline deadline_;
    socket_deadline::time_point transfer_end_;
    std::size_t bytes_read_ = 0;
    link_meter* link_ = nullptr; ///< Null: nothing is counted.
};

} // namespace fennelladder::edge

#endif
