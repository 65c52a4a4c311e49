// Counts the bytes that pass the node's sockets, for dispatch/link_load.
//
//     tables.link.add_sent(written);            // beside each write
//     tables.link.add_received(read);           // beside each read
//     const instant began = tables.link.begin_dial();
//     ... connect ...
//     tables.link.note_connected(began, endpoint);    // or note_timed_out()
//     tables.link.tick(now);                    // every tick_period
//
// Counting is an addition; the counts are handed on once a tick. Headers of TCP
// and IP are estimated. Acknowledgements without data and what the kernel sends
// again aren't seen. Connections that others open aren't counted, but their
// bytes are.
//
// Without `enabled`, bytes are counted but nothing is measured.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_LINK_METER_HPP
#define FENNELLADDER_EDGE_LINK_METER_HPP

#include "fennelladder/dispatch/link_load.hpp"
#include "fennelladder/edge/io.hpp"
#include "fennelladder/edge/loop_lag.hpp"

#include <cstddef>
#include <optional>

namespace fennelladder::edge {

/// Bytes of the IPv4 and UDP headers, which count as traffic of the link.
inline constexpr std::size_t datagram_header_bytes = 28;

/// Bytes on the link of `payload` bytes of a TCP connection that are written at
/// once.
constexpr std::size_t tcp_bytes(std::size_t payload)
{
    constexpr std::size_t segment_bytes = 1448;
    constexpr std::size_t header_bytes = 52; // With timestamps.
    const std::size_t segments = (payload + segment_bytes - 1) / segment_bytes;
    return payload + segments * header_bytes;
}

class link_meter
{
public:
    /// How long the link counts as full after it was: what was begun on a full
    /// link ends later.
    static constexpr duration full_retention = seconds(1);

    /// `time` and `lag` must outlive the meter.
    link_meter(const clock& time, const loop_lag& lag, double bits_per_second,
               bool enabled);

    /// Payload of a TCP connection.
    void add_sent(std::size_t bytes) { sent_ += tcp_bytes(bytes); }
    void add_received(std::size_t bytes) { received_ += tcp_bytes(bytes); }

    /// Payload of one datagram.
    void add_datagram_sent(std::size_t bytes)
    {
        sent_ += bytes + datagram_header_bytes;
    }
    void add_datagram_received(std::size_t bytes)
    {
        received_ += bytes + datagram_header_bytes;
    }

    /// Counts the packets of a new connection. Returns the present time.
    instant begin_dial();

    /// Records how a dial ended that began at `began`. One that was refused, or
    /// given up before its timeout, isn't recorded.
    void note_connected(instant began, const tcp::endpoint& to);
    void note_timed_out(instant began, const tcp::endpoint& to);

    /// Hands the counts on.
    void tick(instant now);

    const dispatch::link_load& load() const { return load_; }

    /// Whether the link is full, or was a short time ago.
    bool is_full(instant now) const;

    /// Whether the link was full at any time between `began` and `now`.
    bool was_full_since(instant began, instant now) const;

private:
    void note_dial(instant began, const tcp::endpoint& to, bool timed_out);

    const clock& time_;
    const loop_lag& lag_;
    const bool enabled_;
    dispatch::link_load load_;
    std::size_t sent_ = 0; ///< Since the last tick.
    std::size_t received_ = 0;
    std::optional<instant> last_full_;
};

} // namespace fennelladder::edge

#endif
