// Requests between nodes: bytes on a topic, answered by bytes.
//
// The library that handles a topic encodes and decodes its messages; this one
// only transports them. Every message must be idempotent and harmless when it
// arrives late, since a lost response can't be told from a lost request.
//
//     result<std::string> response = peers.send_request(
//         address, topic::heartbeat, encode(message), seconds(1));
//
// Errors of send_request(): `unavailable` (the request wasn't sent),
// `ambiguous` (the other node may have handled it), and any error that the
// other node's handler returned.

#ifndef FENNELLADDER_PEER_PEER_SERVICE_HPP
#define FENNELLADDER_PEER_PEER_SERVICE_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace fennelladder::peer {

/// The subject of a message. The numbers are used on the wire and are never
/// reused.
enum class topic : std::int32_t
{
    heartbeat = 1,     ///< membership::heartbeat
    append = 2,        ///< records for the journal, see messages.hpp
    transfer = 3,      ///< token request to another node
    witness = 4,       ///< report of a raised ceiling to a witness
    keep_bills = 5,    ///< copies of bills not yet in the journal
    suspects = 6,      ///< requests that may have killed targets
    configuration = 7, ///< root or part of the configuration
    outcome = 8,       ///< outcome of a request key
    layout = 9         ///< shard layout of the journal, see journal/layout.hpp
};

/// Returns the stable name of a topic, or "unknown".
std::string_view to_string(topic what);

/// Maximum size of a request or response, in bytes. The largest message, a
/// part of the configuration, is smaller than 1 MB.
constexpr std::size_t max_message_bytes = 2'000'000;

/// The "IP:port" of a node's peer service.
using peer_address = std::string;

/// Handles requests of other nodes. Implementations are thread safe.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /// Handles one request and returns the response. Must finish within the
    /// requester's timeout.
    virtual result<std::string> handle_request(topic what,
                                               std::string_view message) = 0;
};

/// Sends requests to other nodes. Implementations are thread safe.
class peer_network
{
public:
    virtual ~peer_network() = default;

    /// Sends a request to the node at `to` and waits up to `timeout` for the
    /// response. The errors are listed at the top of this file.
    virtual result<std::string> send_request(const peer_address& to, topic what,
                                             std::string_view message,
                                             duration timeout) = 0;
};

} // namespace fennelladder::peer

#endif
