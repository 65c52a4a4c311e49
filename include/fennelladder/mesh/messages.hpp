// What nodes tell each other.
//
// Beacons and transfers of tokens travel as single datagrams: there is no
// connection that could fall silent, and each message makes sense alone. What
// doesn't fit a datagram (a configuration, many targets) is fetched over a
// connection from a node whose beacon shows that it knows more.
//
//     std::string bytes = encode(datagram{.beacon = mine});
//     result<datagram> got = decode_datagram(bytes);
//
// Thrift's compact protocol on the wire; decoding never trusts a length. A part
// of a message that can't be (a target without an address, a negative load) is
// left out and counted, the rest holds: a peer may run another release, and
// may have believed what another writer put on the platform. All functions are
// thread safe.

#ifndef FENNELLADDER_MESH_MESSAGES_HPP
#define FENNELLADDER_MESH_MESSAGES_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"
#include "fennelladder/catalog/configuration.hpp"
#include "fennelladder/catalog/evacuation_list.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/dispatch/poison_list.hpp"
#include "fennelladder/dispatch/target_registry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::mesh {

/// One life of a node's process: drawn at random when it starts.
using node_incarnation = number_id<struct node_incarnation_tag>;

/// Number of a transfer of tokens, unique within the life that began it.
using transfer_number = number_id<struct transfer_number_tag>;

enum class node_state : std::uint8_t
{
    starting, ///< Knows no configuration yet.
    ready,    ///< Takes callers.
    leaving,  ///< Finishes what it has.
    late      ///< Hears of changes too late to take callers.
};

/// What a node holds of a team's tokens, and how fast it spends them.
struct token_stock
{
    team_id team;
    tokens free;
    tokens spent_per_second; ///< Lately.
};

/// That another node was alive a while ago.
struct recent_peer
{
    node_incarnation life;
    duration ago;
};

/// What a node says of itself, a few times a second.
struct node_heartbeat
{
    host_id host;
    node_incarnation life;
    std::uint64_t sequence = 0; ///< Grows with each beacon of a life.
    /// By the sender's clock; not said by nodes of earlier releases.
    std::optional<instant> sent;
    node_state state = node_state::starting;
    data_center_id data_center;
    std::string caller_address; ///< Empty if it takes none.
    std::string peer_address;
    catalog::configuration_version configuration; ///< In force there.
    catalog::revision targets_changed; ///< Latest change it knows; 0: none.
    bool platform_reached = false;     ///< Lately, and it answered.
    double requests_per_second = 0;    ///< Taken from callers lately.
    double capacity = 0;               ///< Requests a second that it can carry.
    /// Time since what it has was known to be the newest; unset: never.
    std::optional<duration> configuration_age;
    std::optional<duration> targets_age;
    catalog::revision targets_as_of; ///< Of its list; 0: none.
    /// All data centres that it knows to be evacuated; unset: it doesn't know,
    /// or is of an earlier release.
    std::optional<catalog::evacuation_state> evacuations;
    std::optional<duration> evacuations_age;
    /// Since its process started; not said by nodes of earlier releases.
    std::optional<duration> uptime;
    /// Whole fleets lost lately, see prepaid/loss_tracker.hpp; unset: unknown.
    std::optional<double> fleets_lost;
    /// Sent for news between two regular ones: without load and stock, of which
    /// the last said holds.
    bool is_brief = false;
    /// Latest changes, for those that may not know them.
    std::optional<catalog::target_update> target_update;
    std::vector<dispatch::target_load> load;
    std::vector<token_stock> stock;
    /// What targets told it lately of the requests that they take.
    std::vector<dispatch::limit_signal> limits;
    /// Targets that told it lately that they leave.
    std::vector<catalog::target_process> leaving;
    std::vector<dispatch::poison_record> poison;
    std::vector<std::string> introduced; ///< Addresses of further nodes.
    std::vector<recent_peer> heard;      ///< Those heard last, directly.
};

/// Asks a peer for tokens. Asking again with the same number gets the same
/// answer, whatever was lost in between.
struct token_request
{
    node_incarnation life;
    transfer_number number;
    team_id team;
    tokens wanted; ///< The answer may be less.
    /// Of the request that waits, 0 being the most urgent; also what a node of
    /// an earlier release means. Part of a team's last tokens is for these.
    int urgency = 0;
    /// For stock: no request waits, and a node that writes the record may
    /// answer with its next regular write.
    bool patient = false;
};

/// The answer; the giver has already taken the amount out of its purse.
struct token_grant
{
    node_incarnation life; ///< Of the one that asked.
    transfer_number number;
    team_id team;
    tokens amount;
    /// What the record has handed out of the team's tokens, as the giver knows;
    /// unset if it knows nothing, or is of an earlier release.
    std::optional<tokens> allotted;
};

/// Tokens that a node hands on unasked, since it leaves. Repeated until it is
/// confirmed; the receiver credits each number once.
struct token_push
{
    node_incarnation life;
    transfer_number number;
    team_id team;
    tokens amount;
};

struct token_push_ack
{
    node_incarnation life; ///< Of the giver.
    transfer_number number;
};

/// One of these.
struct datagram
{
    std::optional<node_heartbeat> heartbeat;
    std::optional<token_request> request;
    std::optional<token_grant> grant;
    std::optional<token_push> push;
    std::optional<token_push_ack> push_ack;
    std::size_t invalid_parts = 0; ///< Parts that couldn't be, as decoded.
};

/// What is asked for. Targets and a configuration travel apart: one may be a
/// thousand times as large as the other and take a second over a small link.
enum class sync_part : std::uint8_t
{
    both, ///< What a node of an earlier release asks for.
    targets,
    configuration
};

/// Asks a node for what it knows beyond this.
struct sync_request
{
    catalog::configuration_version configuration;
    catalog::revision targets_as_of;
    sync_part part = sync_part::both;
    std::string peer_address; ///< Of the asker, to be named to others.
};

struct sync_reply
{
    /// The operator's configuration as the platform spells it, for a node of
    /// an earlier release; empty if the asker's is as new.
    std::string configuration;
    catalog::revision targets_as_of;
    bool targets_full = false; ///< `targets` is the whole list.
    std::vector<catalog::target_change> targets;
    /// The same configuration by compress_text(), see
    /// mesh/text_compression.hpp.
    std::string packed_configuration;
    /// There is a newer configuration, but no slot to send it: ask another, for
    /// instance one of `served`, which got `served_configuration` from here.
    bool busy = false;
    std::vector<std::string> served;
    catalog::configuration_version served_configuration;
    std::size_t invalid_parts = 0; ///< Parts that couldn't be, as decoded.
};

/// Limits of what is decoded. Wider than any fleet needs; beyond them sums
/// overflow, or what one peer says costs the others memory without end.
inline constexpr std::int32_t max_list_elements = 16'384; ///< Of a list.
inline constexpr std::size_t max_id_bytes = 256;          ///< Of ids, in bytes.
inline constexpr std::size_t max_heartbeat_rows =
    256; ///< Of a list in a beacon.
inline constexpr tokens max_token_amount(1'000'000'000'000'000);
inline constexpr double max_request_rate = 1e9; ///< A second.
inline constexpr double max_fleets_lost = 1000;

/// Datagrams up to this size fit in one packet on every network we know of
/// (IPv4 and UDP headers within an Ethernet frame); larger ones go out in
/// fragments and are lost more often.
inline constexpr std::size_t max_packet_bytes = 1472;

std::string encode(const datagram& message);
std::string encode(const sync_request& message);
std::string encode(const sync_reply& message);

/// Fail with `corrupt` on bytes that are no such message, or one whose sender,
/// numbers of configurations and revisions, or amounts can't be. Of what comes
/// out, entries of targets pass catalog::check_target(); a target whose entry
/// doesn't is told as gone.
result<datagram> decode_datagram(std::string_view bytes);
result<sync_request> decode_sync_request(std::string_view bytes);
result<sync_reply> decode_sync_reply(std::string_view bytes);

} // namespace fennelladder::mesh

#endif
