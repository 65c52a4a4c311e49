// What a node knows about the nodes of the fleet.
//
// A member is a node, named by its host. What it says of itself (state,
// addresses, life) and what others think of its health travel together under
// one version, which only the member itself raises: the higher version wins,
// and under the same version the worse health does. So a member that is
// thought dead needs only raise its version to be believed alive again.
//
// Everything here is a hint. It decides whom to ask first and whom callers
// are sent to; no budget, request or configuration is safe *because of* it.

#ifndef FENNELLADDER_MEMBERSHIP_MEMBER_HPP
#define FENNELLADDER_MEMBERSHIP_MEMBER_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fennelladder::membership {

/// What a member says of itself.
enum class member_state : std::uint8_t
{
    joining,  ///< Runs, but takes no requests yet.
    serving,  ///< Takes requests.
    draining, ///< Finishes what it has; takes no new callers.
    gone      ///< Left in order; final for this life.
};

/// What the fleet thinks of a member.
enum class member_health : std::uint8_t
{
    alive,
    suspect, ///< Didn't answer; has some seconds to object.
    dead     ///< Didn't object.
};

std::string_view to_string(member_state state);
std::string_view to_string(member_health health);

/// What doesn't change during a life.
struct member_description
{
    incarnation_id life;
    data_center_id data_center;
    region_id region;
    std::string caller_address; ///< "IP:port" for callers.
    std::string peer_address;   ///< "IP:port" for other nodes.
    std::uint32_t capacity = 1; ///< Relative to other nodes; at least 1.

    friend bool operator==(const member_description&,
                           const member_description&) = default;
};

/// One version of a member, as it travels. Without a description the
/// receiver keeps the one it has, provided that life_tag fits.
struct member_update
{
    host_id host;
    std::uint64_t version = 0;
    member_state state = member_state::joining;
    member_health health = member_health::alive;
    std::uint32_t life_tag = 0; ///< Hash of the description's life.
    std::optional<member_description> description;
};

/// Load and configuration of a member at one moment of its life.
struct member_sample
{
    host_id host;
    std::uint64_t sequence = 0; ///< Grows during a life; the highest holds.
    std::uint32_t load = 0;     ///< In thousandths of capacity.
    generation in_force;        ///< Configuration it works by.
};

/// A row of the table.
struct member
{
    host_id host;
    std::uint64_t version = 0; ///< 0: only the host list knows it.
    member_state state = member_state::joining;
    member_health health = member_health::dead;
    std::uint32_t life_tag = 0;
    bool described = false; ///< The description is that of life_tag.
    member_description description;
    member_sample sample;
    instant sampled_at;         ///< When the sample came in.
    instant changed_at;         ///< When version or health last changed.
    bool listed = false;        ///< On the host list.
    bool leaving = false;       ///< Leaving, says the host list.
    std::string listed_address; ///< Its peer address by the host list.
    bool reachable = true;      ///< Our own last probe of it was answered.
    instant heard_at;           ///< Last message from itself.
    std::uint32_t flaps = 0;    ///< Recent returns from suspect or dead.
    std::string extension; ///< Last small bytes from itself (see messages).

    // Bookkeeping of the table.
    bool knows_us = false; ///< It has our description.
    instant suspected_until;
    instant flapped_at;

    /// Believed to run.
    bool up() const
    {
        return version > 0 && health != member_health::dead &&
               state != member_state::gone;
    }
};

/// A row of the host list, or a seed from the settings.
struct listed_host
{
    host_id host;
    std::string peer_address;
    data_center_id data_center;
    region_id region;
    bool leaving = false;
};

/// Tag of a life for member_update::life_tag.
std::uint32_t life_tag(const incarnation_id& life);

} // namespace fennelladder::membership

#endif
