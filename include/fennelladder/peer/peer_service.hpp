// What one node asks of another: bytes on a topic, answered by bytes.
//
// The library that decides about a topic encodes and decodes its messages;
// peers only carry them. Every message must be harmless when it arrives twice
// or late, since a lost answer can't be told from a lost question.
//
//     result<std::string> answer = peers.send_request(address,
//     topic::heartbeat,
//                                            encode(message), seconds(1));
//
// Errors of send_request(): `unavailable` (it never left this node),
// `ambiguous` (it may have been acted on), and whatever the other node's
// handler failed with.

#ifndef FENNELLADDER_PEER_PEER_SERVICE_HPP
#define FENNELLADDER_PEER_PEER_SERVICE_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace fennelladder::peer {

/// What a message is about. Numbers are those on the wire; never reused.
enum class topic : std::int32_t
{
    heartbeat = 1,     ///< membership::heartbeat
    append = 2,        ///< records for the journal, see messages.hpp
    transfer = 3,      ///< a node asks for tokens of an allotment
    witness = 4,       ///< a node tells a raised ceiling
    keep_bills = 5,    ///< copies of bills that wait for the journal
    suspects = 6,      ///< requests that targets died of
    configuration = 7, ///< root or part of the configuration
    outcome = 8,       ///< what became of a request key
    layout = 9         ///< how the journal is cut, see journal/layout.hpp
};

/// The stable name of a topic, or "unknown".
std::string_view to_string(topic what);

/// Largest message or answer, in bytes. A part of the configuration, the
/// largest there is, stays under a megabyte.
constexpr std::size_t max_message_bytes = 2'000'000;

/// An "IP:port" of a node's peer service.
using peer_address = std::string;

/// Answers other nodes' questions. Implementations are thread safe.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /// Answers one question, within the time that the asker waits.
    virtual result<std::string> handle_request(topic what,
                                               std::string_view message) = 0;
};

/// Asks other nodes. Implementations are thread safe.
class peer_network
{
public:
    virtual ~peer_network() = default;

    /// Asks the node at `to` and waits up to `timeout` for its answer.
    virtual result<std::string> send_request(const peer_address& to, topic what,
                                             std::string_view message,
                                             duration timeout) = 0;
};

} // namespace fennelladder::peer

#endif
