// Whether a node may begin to send one more configuration to another node, how
// fast, and whom to name to those that have to go elsewhere.
//
//     transfer_slots slots(link_bits_per_second);
//     if (const auto slot = slots.begin(now)) {
//         ... for each piece: while slots.pacing_delay(*slot, bytes, now)
//             isn't 0, wait so long; send ...
//         slots.end(*slot);
//         slots.note_served(version, peer_address);
//     } else {
//         ... "busy", slots.served(version) ...
//     }
//
// Failure it guards against: sixty nodes fetch a large configuration from one
// small host at the same time. Each gets a sixtieth of the link, none is done
// in time, and the host's callers wait for seconds behind the bytes. Here a
// transfer that begins also ends, since few share the link; all transfers
// together are paced to a part of it, so that callers keep the rest; and each
// node that was served is named to the next, so that the sources multiply.
//
// Failure it guards against too: the older transfer has half a megabyte left,
// and the younger one gets no byte for longer than a silent connection is kept;
// it fails and begins anew, behind the next one. Here each sends a piece now
// and then, however many go before it.
//
// Cost: some words a slot. Not thread safe.

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

/// A transfer that has begun, until it ends.
using transfer_id = number_id<struct transfer_id_tag>;

/// A transfer takes no longer, whatever trickles in.
inline constexpr duration transfer_timeout = seconds(10);

/// Without a byte, a transfer has failed: a host of an eighth of a core may not
/// run for some 100 ms, and a lost packet costs 200 to 400 ms.
inline constexpr duration transfer_idle_timeout = milliseconds(700);

/// Nodes named to an asker that has to go elsewhere.
inline constexpr std::size_t max_referrals = 8;

class transfer_slots
{
public:
    explicit transfer_slots(double link_bits_per_second);

    /// Transfers at the same time: two over a link of 10 Mbit/s, eight over
    /// one of 200.
    std::size_t size() const { return size_; }

    /// Takes a slot; none if all are taken. One that isn't given back is free
    /// again after `transfer_timeout`.
    std::optional<transfer_id> begin(instant now);

    void end(transfer_id id);

    /// 0: the transfer sends `bytes` now, and they are counted. Otherwise how
    /// long to wait before asking again. The transfer that began first goes
    /// first: of two that take turns, both end as late as the second would. One
    /// that has to wait for it sends a piece each 300 ms all the same.
    duration pacing_delay(transfer_id id, std::size_t bytes, instant now);

    /// `address` has got `version` from here.
    void note_served(catalog::configuration_version version,
                     const std::string& address);

    /// Nodes that got `version` from here, the latest first.
    std::vector<std::string>
    served(catalog::configuration_version version) const;

private:
    struct transfer
    {
        instant begun;
        instant sent;       ///< The last piece; when it began, if none.
        bool waits = false; ///< Was told to wait the last time.
    };

    bool yields_now(transfer_id id, instant now) const;
    static bool is_due(const transfer& it, instant now);

    std::size_t size_;
    double bytes_per_second_;               ///< Of all transfers together.
    std::map<transfer_id, transfer> begun_; ///< Oldest first.
    transfer_id last_id_;
    instant next_send_;
    catalog::configuration_version served_version_;
    std::deque<std::string> served_; ///< Latest first.
};

} // namespace fennelladder::mesh

#endif
