// Estimates how much of its host's link a node uses, and how long traffic
// queues there.
//
//     link_load load(bits_per_second);
//     load.note_sent(bytes, now);           // bytes since the last call
//     load.note_received(bytes, now);
//     load.note_dial({took, timed_out, destination}, now);
//     if (load.is_full(now)) ...            // slow dials are no evidence
//
// There are two measures. The share of each direction is the number of bytes in
// the last half second, divided by what the link carries in that time. The
// delay of dials is the least time that connecting took lately, beyond the
// usual: packets of a new connection wait behind all others, in both
// directions. Datagrams don't show this on every network: a full link may lose
// them instead of delaying them.
//
// A dial may also be slow because its destination is. Dials count only if
// those to several destinations were slow, no other one was fast, and enough
// bytes pass for a queue to be possible. So a node that is cut off, and
// therefore carries little, doesn't take that for a full link.
//
// Size: some 300 bytes. Pure computation. Not thread safe.

#ifndef FENNELLADDER_DISPATCH_LINK_LOAD_HPP
#define FENNELLADDER_DISPATCH_LINK_LOAD_HPP

#include "fennelladder/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace fennelladder::dispatch {

/// One attempt to connect that was established or timed out.
struct dial_result
{
    duration took{0};
    bool timed_out = false;
    std::uint64_t destination = 0; ///< Equal for dials to the same address.
};

struct link_load_options
{
    /// Share of a direction from which the link counts as full.
    double full_share = 0.95;
    /// Delay of dials from which the link counts as full.
    duration full_delay = milliseconds(100);
    /// With less than this share in both directions, slow dials have another
    /// cause than the link. The sum over sockets omits what the kernel sends
    /// again, so that it stays below the real share of a full link.
    double min_queueing_share = 0.5;
    /// The least of the dials of this long, at most of twice as long, counts.
    duration dial_window = milliseconds(500);
    /// Upper bound of the delay of dials. The kernel sends the first packet
    /// again after a second, so a longer dial shows a loss.
    duration max_dial_delay = seconds(1);
    /// Weight of the newest window in the usual time of a dial.
    double usual_weight = 0.125;
};

/// Bytes of one direction within the last half second. Not thread safe.
class byte_window
{
public:
    static constexpr duration length = milliseconds(500);

    /// Adds bytes that passed evenly between `from` and `to`. Precondition:
    /// `to` never decreases.
    void add(double bytes, instant from, instant to);

    double bytes_at(instant now) const;

private:
    static constexpr int steps = 10;
    static constexpr duration step = length / steps;

    double& bytes_of(std::int64_t number);

    /// The step that is under way, and those that `length` may cover before.
    std::array<double, steps + 1> bytes_{};
    std::int64_t newest_ = 0; ///< Number of the newest step since the epoch.
};

/// Not thread safe.
class link_load
{
public:
    /// `bits_per_second` is the capacity of each direction; less than 100,000
    /// counts as that.
    explicit link_load(double bits_per_second, link_load_options options = {});

    /// Records bytes that passed since the last call for the same direction.
    /// Precondition of these and note_dial(): `now` never decreases.
    void note_sent(std::size_t bytes, instant now);
    void note_received(std::size_t bytes, instant now);

    /// Records a dial that ended now.
    void note_dial(const dial_result& dial, instant now);

    /// Bytes of the last half second as a share of the link's capacity. Above 1
    /// if more was written to sockets than the link carries.
    double sent_share(instant now) const;
    double received_share(instant now) const;

    /// The larger of both shares.
    double busiest_share(instant now) const;

    /// Estimated time until the link has sent what was written.
    duration send_queue(instant now) const;

    /// How much longer than usual connecting takes at present because of the
    /// link: the time that packets queue in both directions together. 0 if
    /// unknown.
    duration dial_delay(instant now) const;

    bool is_full(instant now) const;

private:
    struct direction
    {
        byte_window window;
        std::optional<instant> noted; ///< End of the last bytes.
    };

    struct dial_window
    {
        instant start;
        std::optional<duration> least;
        std::uint64_t destination = 0; ///< Of the first dial.
        bool has_others = false;       ///< Dials to other destinations.
        bool has_timeouts = false;
    };

    void note(direction& which, std::size_t bytes, instant now) const;
    double share_of(const direction& which, instant now) const;
    void roll(instant now);
    void learn_usual(const dial_window& ended, instant now);

    const double bytes_per_second_;
    const link_load_options options_;
    direction sent_;
    direction received_;
    duration queue_{0}; ///< Send queue when bytes were noted last.
    dial_window current_;
    dial_window previous_;
    std::optional<duration> usual_; ///< Of dials while the link is idle.
};

} // namespace fennelladder::dispatch

#endif
