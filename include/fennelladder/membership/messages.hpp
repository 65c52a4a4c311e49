// Messages between nodes for membership, and their encoding.
//
// A heartbeat is a request, answered at once by a heartbeat_reply. Both carry
// gossip: the sender itself, a few updates and load samples of others, the
// highest configuration generation it has seen, and a digest of its table.
// Sizes are bounded, whatever the size of the fleet.
//
//     std::string bytes = encode(message);
//     result<heartbeat> message = decode_heartbeat(bytes);
//
// The bytes are Thrift's compact protocol (libs/membership/
// membership.thrift); who carries them doesn't matter.

#ifndef FENNELLADDER_MEMBERSHIP_MESSAGES_HPP
#define FENNELLADDER_MEMBERSHIP_MESSAGES_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/membership/member.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::membership {

/// Messages above this size are refused by decode_*.
constexpr std::size_t max_message_bytes = 16'384;

/// Part of both messages.
struct gossip
{
    member_update sender;
    member_sample sample;
    generation highest_generation; ///< Highest seen, not only in force.
    std::uint64_t digest = 0;      ///< Of who is believed up, and its version.
    std::vector<member_update> updates;
    std::vector<member_sample> samples;
    std::string extension; ///< Small opaque bytes of other libraries.
};

/// Asks "are you there?", and passes on news.
struct heartbeat
{
    struct gossip gossip;
    bool describe = false;               ///< Send your description.
    std::optional<host_id> relay_target; ///< Probe it for me, please.
    std::vector<host_id> heard;          ///< Answered probes made for you.
    std::optional<host_id> page_after;   ///< Send members after this one.
    std::uint32_t page_limit = 0;
};

struct heartbeat_reply
{
    struct gossip gossip;
    bool describe = false;             ///< Send your description next time.
    std::vector<member_update> page;   ///< In order of host.
    std::optional<host_id> page_after; ///< Echo of what was asked.
    bool page_last = false;            ///< No member comes after the page.
};

std::string encode(const heartbeat& message);
std::string encode(const heartbeat_reply& message);

/// Fails with `corrupt` or `too_large`. Thread safe, as the others.
result<heartbeat> decode_heartbeat(std::string_view bytes);
result<heartbeat_reply> decode_heartbeat_reply(std::string_view bytes);

} // namespace fennelladder::membership

#endif
