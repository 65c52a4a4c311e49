#include "fennelladder/edge/link_meter.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <string_view>

namespace fennelladder::edge {

namespace {

/// SYN and the last acknowledgement of the handshake; the answer to SYN.
constexpr std::size_t dial_sent_bytes = 112;
constexpr std::size_t dial_received_bytes = 60;

std::uint64_t hash_of(const tcp::endpoint& it)
{
    return hash64(
        {static_cast<const char*>(static_cast<const void*>(it.data())),
         it.size()});
}

} // namespace

link_meter::link_meter(const clock& time, const loop_lag& lag,
                       double bits_per_second, bool enabled)
    : time_(time), lag_(lag), enabled_(enabled), load_(bits_per_second)
{}

instant link_meter::begin_dial()
{
    sent_ += dial_sent_bytes;
    received_ += dial_received_bytes;
    return time_.now();
}

/// A stalled event loop notices the end of a dial late.
void link_meter::note_dial(instant began, const tcp::endpoint& to,
                           bool timed_out)
{
    if (!enabled_)
        return;
    const instant now = time_.now();
    const duration took = std::max(now - began - lag_.at(now), duration(0));
    load_.note_dial({took, timed_out, hash_of(to)}, now);
}

void link_meter::note_connected(instant began, const tcp::endpoint& to)
{
    note_dial(began, to, false);
}

void link_meter::note_timed_out(instant began, const tcp::endpoint& to)
{
    note_dial(began, to, true);
}

void link_meter::tick(instant now)
{
    if (!enabled_)
        return;
    load_.note_sent(sent_, now);
    load_.note_received(received_, now);
    sent_ = 0;
    received_ = 0;
    if (load_.is_full(now))
        last_full_ = now;
}

bool link_meter::is_full(instant now) const
{
    return was_full_since(now - full_retention, now);
}

bool link_meter::was_full_since(instant began, instant now) const
{
    return (last_full_ && *last_full_ > began) || load_.is_full(now);
}

} // namespace fennelladder::edge
