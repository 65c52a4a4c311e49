// Admission and pacing of configuration transfers to other nodes, and
// referrals for the requesters that are turned away.
//
//     transfer_slots slots(link_bits_per_second);
//     if (const auto slot = slots.begin(now)) {
//         ... for each chunk: while slots.pacing_delay(*slot, bytes, now)
//             isn't 0, wait that long; send ...
//         slots.end(*slot);
//         slots.note_served(version, peer_address);
//     } else {
//         ... "busy", slots.served(version) ...
//     }
//
// Failure it guards against: sixty nodes fetch a large configuration from one
// small host at the same time. Each gets a sixtieth of the link, none finishes
// in time, and the host's callers wait for seconds behind the bytes. Here a
// transfer that is admitted also completes, since few share the link; all
// transfers together are paced to a part of it, which leaves the rest to
// callers; and each node that was served is named to later requesters, so that
// the number of sources grows.
//
// Second failure it guards against: the older transfer has half a megabyte
// left, and the younger one gets no byte for longer than an idle connection is
// kept. It fails and restarts, behind the next one. Here each transfer sends a
// chunk now and then, however many have precedence.
//
// Cost: some words per slot. Not thread safe.

#ifndef FENNELLADDER_MESH_TRANSFER_SLOTS_HPP
#define FENNELLADDER_MESH_TRANSFER_SLOTS_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/catalog/configuration.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelladder::mesh {

/// Identifies a transfer in progress.
using transfer_id = number_id<struct transfer_id_tag>;

/// Total time limit of a transfer, even while bytes still arrive.
inline constexpr duration transfer_timeout = seconds(10);

/// A transfer without a byte for this long has failed. A host with an eighth of
/// a core may not be scheduled for some 100 ms, and a lost packet costs 200 to
/// 400 ms.
inline constexpr duration transfer_idle_timeout = milliseconds(700);

/// Most nodes named to a requester that is turned away.
inline constexpr std::size_t max_referrals = 8;

class transfer_slots
{
public:
    explicit transfer_slots(double link_bits_per_second);

    /// Number of slots: two over a link of 10 Mbit/s, eight over one of 200.
    std::size_t size() const { return size_; }

    /// Takes a slot; unset if all are taken. A slot that isn't released expires
    /// after `transfer_timeout`.
    std::optional<transfer_id> begin(instant now);

    void end(transfer_id id);

    /// Returns 0 if the transfer may send `bytes` now, and counts them;
    /// otherwise how long to wait before the next call. The transfer that began
    /// first has precedence: if two took turns, both would end as late as the
    /// second does now. One that has to wait still sends a chunk every 300 ms.
    duration pacing_delay(transfer_id id, std::size_t bytes, instant now);

    /// Records that `address` received `version` from this node.
    void note_served(catalog::configuration_version version,
                     const std::string& address);

    /// Nodes that received `version` from this node, latest first.
    std::vector<std::string>
    served(catalog::configuration_version version) const;

private:
    struct transfer
    {
        instant started;
        /// Time of the last chunk, or of the start if none was sent.
        instant last_sent;
        bool was_paced = false; ///< The last pacing_delay() wasn't 0.
    };

    bool must_yield(transfer_id id, instant now) const;
    static bool is_starved(const transfer& it, instant now);

    std::size_t size_;
    double bytes_per_second_;                   ///< Shared by all transfers.
    std::map<transfer_id, transfer> transfers_; ///< Oldest first.
    transfer_id last_id_;
    instant next_send_;
    catalog::configuration_version served_version_;
    std::deque<std::string> served_; ///< Latest first.
};

} // namespace fennelladder::mesh

#endif
