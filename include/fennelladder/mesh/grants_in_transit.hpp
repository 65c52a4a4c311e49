// The grants that a node gave to askers: kept until the asker acknowledges
// them, and repeated meanwhile under their numbers.
//
//     grants_in_transit given;
//     if (const token_grant* known = given.find(incarnation, number))
//         ... the request is a copy: send `known` again ...
//     given.add(grant, address, now);          // its tokens are debited
//     given.acknowledge(ack, now);
//     for (const addressed_grant& it : given.take_due(now))
//         ... send it again ...
//     for (const addressed_grant& it : given.end_lost(peers, now))
//         ... tell of the stranded tokens ...
//
// Tokens in transit may be credited already, as long as the acknowledgement is
// on its way. So they are never taken back: a grant whose asker ended before
// it acknowledged is stranded. An asker credits each number once, however often
// it arrives.
//
// A grant ends as
// - delivered, when it is acknowledged, or after transfer_retention if its
//   asker acknowledges nothing, as nodes of earlier releases do;
// - stranded, when a later incarnation is heard at the asker's address, when
//   the asker is silent at the end of transfer_retention, or when it was out of
//   reach for unreachable_retention.
//
// Cost: take_due(), end_lost() and in_transit() are linear in the grants in
// transit. Not thread safe.

#ifndef FENNELLADDER_MESH_GRANTS_IN_TRANSIT_HPP
#define FENNELLADDER_MESH_GRANTS_IN_TRANSIT_HPP

#include "fennelladder/mesh/messages.hpp"
#include "fennelladder/mesh/peer_view.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fennelladder::mesh {

/// How long transfer numbers are kept: longer than any datagram can be delayed.
inline constexpr duration transfer_retention = seconds(30);

/// How long a grant is repeated to an asker that others hear and that doesn't
/// acknowledge it: longer than networks are cut.
inline constexpr duration unreachable_retention = minutes(5);

/// Time from sending a grant to its first repetition, and the longest between
/// two; it is doubled each time.
inline constexpr duration first_grant_pause = milliseconds(30);
inline constexpr duration max_grant_pause = seconds(4);

struct addressed_grant
{
    std::string to; ///< The asker's address.
    token_grant grant;
};

class grants_in_transit
{
public:
    /// Adds a grant that is sent now. One of no tokens is never in transit: it
    /// is kept for copies of its request only.
    void add(const token_grant& grant, const std::string& to, instant now);

    /// The grant that answered this request; null if it is none of those kept.
    const token_grant* find(node_incarnation asker,
                            transfer_number number) const;

    /// The asker has credited the grant.
    void acknowledge(const token_grant_ack& ack, instant now);

    /// The grants to send again now; each is due again after a longer pause.
    std::vector<addressed_grant> take_due(instant now);

    /// Makes all grants in transit due now, with the shortest pause.
    void hasten(instant now);

    /// Ends the grants that can't be delivered any more. Returns those that are
    /// stranded.
    std::vector<addressed_grant> end_lost(const peer_view& peers, instant now);

    /// Forgets grants that ended, once no copy of their request can arrive.
    void forget_old(instant now);

    /// The grants in transit.
    std::vector<addressed_grant> open() const;
    bool none_open() const { return open_.empty(); }

    /// Tokens in transit. Some may be credited at the asker already.
    tokens in_transit() const;

private:
    using key = std::pair<node_incarnation, transfer_number>;

    struct row
    {
        addressed_grant what;
        instant given;
        instant due;
        duration pause;
    };

    enum class fate
    {
        open,
        delivered,
        stranded
    };

    fate fate_of(const row& it, const peer_view& peers, instant now) const;

    std::map<key, row> rows_;
    std::set<key> open_; ///< Those in transit.
    /// Askers that acknowledge grants, and when each did last.
    std::map<node_incarnation, instant> acknowledged_;
};

} // namespace fennelladder::mesh

#endif
