// Messages that nodes exchange, and their encoding.
//
// Heartbeats and token transfers travel as single datagrams: there is no
// connection that could stall, and each message is complete in itself. What
// doesn't fit a datagram (a configuration, many targets) is fetched over a
// connection from a node whose heartbeat shows a newer version. While none can
// be established, a small configuration comes in parts, one a datagram.
//
//     std::string bytes = encode(datagram{.heartbeat = own});
//     result<datagram> got = decode_datagram(bytes);
//
// Encoded with Thrift's compact protocol. Decoding validates every length. An
// invalid part of a message (a target without an address, a negative load) is
// dropped and counted, and the rest is used: a peer may run another release,
// and may have accepted what another writer stored on the platform. Revisions
// in messages of earlier releases, which state no era, are of the lowest. All
// functions are thread safe.

#ifndef FENNELLADDER_MESH_MESSAGES_HPP
#define FENNELLADDER_MESH_MESSAGES_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"
#include "fennelladder/catalog/configuration.hpp"
#include "fennelladder/catalog/evacuation_list.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/dispatch/crash_record.hpp"
#include "fennelladder/dispatch/stream_origins.hpp"
#include "fennelladder/dispatch/target_registry.hpp"
#include "fennelladder/prepaid/allotment_ledger.hpp"

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::mesh {

/// Identifies one run of a node's process; drawn at random when it starts.
using node_incarnation = number_id<struct node_incarnation_tag>;

/// Number of a token transfer, unique within the incarnation that began it.
using transfer_number = number_id<struct transfer_number_tag>;

enum class node_state : std::uint8_t
{
    starting, ///< Has no configuration yet.
    ready,    ///< Accepts callers.
    leaving,  ///< Draining: finishes the requests it has.
    late      ///< Receives updates too late to accept callers.
};

/// A node's token balance of a team, and how fast it spends it.
struct token_stock
{
    team_id team;
    tokens free;
    tokens spent_per_second; ///< Recent average.
};

/// A node from which the sender received a heartbeat `ago` before sending.
struct recent_peer
{
    node_incarnation incarnation;
    duration ago;
};

/// A node's state, sent to all other nodes a few times a second.
struct node_heartbeat
{
    host_id host;
    node_incarnation incarnation;
    /// Increases with each heartbeat of an incarnation.
    std::uint64_t sequence = 0;
    /// By the sender's clock; unset from nodes of earlier releases.
    std::optional<instant> sent;
    node_state state = node_state::starting;
    data_center_id data_center;
    std::string caller_address; ///< Empty if it accepts no callers.
    std::string peer_address;
    catalog::configuration_version configuration; ///< In force at the sender.
    catalog::revision targets_changed; ///< Latest change in its list; 0: none.
    bool platform_reached = false;     ///< The platform recently answered.
    /// Highest era of the store that it knows; unset: the store states none, or
    /// the node is of an earlier release.
    std::optional<catalog::store_era> store_era;
    double requests_per_second = 0; ///< Recently accepted from callers.
    double capacity = 0;            ///< Requests per second that it can handle.
    /// Time since its copy was last confirmed as current; unset: never.
    std::optional<duration> configuration_age;
    std::optional<duration> targets_age;
    catalog::revision targets_as_of; ///< Revision of its target list; 0: none.
    /// All data centres that it knows to be evacuated; unset: it has no
    /// evacuation list, or runs an earlier release.
    std::optional<catalog::evacuation_state> evacuations;
    std::optional<duration> evacuations_age;
    /// Since its process started; unset from nodes of earlier releases.
    std::optional<duration> uptime;
    /// Number of whole fleets lost recently, see prepaid/loss_tracker.hpp;
    /// unset: unknown.
    std::optional<double> fleets_lost;
    /// Sent between two regular heartbeats to carry an update. Omits load and
    /// stock; the values of the last regular heartbeat remain valid.
    bool is_brief = false;
    /// Latest target changes, for nodes that may lack them.
    std::optional<catalog::target_update> target_update;
    std::vector<dispatch::target_load> load;
    std::vector<token_stock> stock;
    /// Rate limits that targets recently signalled to it.
    std::vector<dispatch::limit_signal> limits;
    /// Targets that recently signalled to it that they are brittle; the rate is
    /// that of the rejections that they survive.
    std::vector<dispatch::limit_signal> brittle;
    /// Targets that recently signalled to it that they are leaving.
    std::vector<catalog::target_process> leaving;
    /// Targets it recently heard from over connections of its own.
    std::vector<dispatch::reached_target> reached;
    /// It is cut off from a service, and sends its requests through peers.
    bool cut_off = false;
    std::vector<dispatch::crash_record> crash_records;
    std::vector<std::string> introduced; ///< Addresses of other nodes.
    /// Nodes whose own heartbeats it received last.
    std::vector<recent_peer> heard;
};

/// Requests tokens from a peer. Idempotent: a copy with the same number gets
/// the same grant.
struct token_request
{
    node_incarnation incarnation;
    transfer_number number;
    team_id team;
    tokens wanted; ///< The grant may be smaller.
    /// Urgency of the waiting request; 0 is the most urgent, and the default
    /// for nodes of earlier releases. Part of a team's last tokens is reserved
    /// for urgent requests.
    int urgency = 0;
    /// Requested for stock: no request is waiting, and the node that writes the
    /// allotment record may answer with its next regular write.
    bool background = false;
};

/// The answer to a token_request; the granting node has already debited the
/// amount from its balance. Resent under its number until acknowledged; the
/// requesting node credits each number once.
struct token_grant
{
    node_incarnation incarnation; ///< Of the requesting node.
    transfer_number number;
    team_id team;
    tokens amount;
    /// Total of the team's tokens handed out by the allotment record, as known
    /// to the granting node; unset if unknown, or from an earlier release.
    std::optional<tokens> allotted;
};

/// A grant of some tokens was credited, now or before. Nodes of earlier
/// releases don't send it.
struct token_grant_ack
{
    node_incarnation incarnation; ///< Of the requesting node.
    transfer_number number;
};

/// Tokens that a leaving node sends unasked. Resent until acknowledged; the
/// receiver credits each number once.
struct token_push
{
    node_incarnation incarnation;
    transfer_number number;
    team_id team;
    tokens amount;
};

struct token_push_ack
{
    node_incarnation incarnation; ///< Of the sender of the push.
    transfer_number number;
};

/// Tells of draws from the allotment record. Sent until acknowledged: a node
/// spends what it drew once others know of it (prepaid/draw_policy.hpp).
struct draw_report
{
    node_incarnation incarnation; ///< Of the sender.
    std::uint64_t number = 0;     ///< Unique within it.
    catalog::store_era era;       ///< Highest that the sender knows.
    std::vector<prepaid::known_draw> draws;
};

struct draw_ack
{
    node_incarnation incarnation; ///< Of the sender of the report.
    std::uint64_t number = 0;
    catalog::store_era era;   ///< Highest that the acknowledging node knows.
    node_incarnation witness; ///< The acknowledging node.
};

/// Asks for the draws that a node learnt of recently.
struct draw_question
{
    node_incarnation incarnation; ///< Of the asking node.
    std::uint64_t number = 0;     ///< Unique within it.
    catalog::store_era era;
};

/// One of several datagrams that answer a draw_question.
struct draw_answer
{
    node_incarnation incarnation; ///< Of the asking node.
    std::uint64_t number = 0;
    catalog::store_era era;
    std::vector<prepaid::known_draw> draws;
    node_incarnation reporter; ///< The answering node.
    std::uint32_t part = 0;    ///< From 0.
    std::uint32_t parts = 1;
};

/// Asks a node where a stream began.
struct origin_question
{
    node_incarnation incarnation; ///< Of the asking node.
    std::uint64_t number = 0;     ///< Unique within it.
    dispatch::stream_key key;
    service_id service; ///< Whose recent versions are asked for as well.
};

struct origin_answer
{
    node_incarnation incarnation; ///< Of the asking node.
    std::uint64_t number = 0;
    host_id host;                                ///< Of the answering node.
    std::optional<dispatch::aged_origin> origin; ///< Unset: it doesn't know.
    dispatch::recent_versions versions;
};

/// Asks the node that decides for a service for leave to run a request, see
/// dispatch/run_leases.hpp.
struct run_question
{
    node_incarnation incarnation; ///< Of the asking node.
    std::uint64_t number = 0;     ///< Unique within it.
    dispatch::run_place place;
    std::vector<dispatch::crash_mark> marks;
};

struct run_answer
{
    node_incarnation incarnation; ///< Of the asking node.
    std::uint64_t number = 0;
    bool granted = false;
    duration retry_after{0}; ///< If it isn't granted.
    /// What the answering node knows of the marks.
    std::vector<dispatch::crash_record> records;
};

/// The run is over.
struct run_end
{
    node_incarnation incarnation; ///< Of the node that asked.
    std::uint64_t number = 0;
    duration hold{0}; ///< The marks are free again after this time.
};

/// Most parts of a configuration that is sent by datagrams.
inline constexpr std::size_t max_configuration_parts = 48;

/// Largest part. With the other fields it fits one packet.
inline constexpr std::size_t max_part_bytes = 1'400;

/// Numbers of parts, from 0.
using part_set = std::bitset<max_configuration_parts>;

/// Asks a node for parts of its configuration, see
/// mesh/configuration_parts.hpp. Nodes of earlier releases don't answer.
struct configuration_question
{
    node_incarnation incarnation; ///< Of the asking node.
    std::uint64_t number = 0;     ///< Unique within it.
    /// The answer may be of a later one.
    catalog::configuration_version version;
    part_set missing;
    /// Hash of the compressed text that `missing` refers to; of any other one
    /// all parts are missing.
    std::uint64_t text_hash = 0;
};

/// One of the datagrams that answer a configuration_question.
struct configuration_part
{
    node_incarnation incarnation; ///< Of the asking node.
    std::uint64_t number = 0;
    catalog::configuration_version version;
    /// Hash of the whole compressed text. Nodes may compress the same version
    /// differently, and parts of different texts don't fit together.
    std::uint64_t text_hash = 0;
    std::uint32_t part = 0; ///< From 0.
    std::uint32_t parts = 1;
    std::string bytes;
};

/// A datagram holds one of these messages.
struct datagram
{
    std::optional<node_heartbeat> heartbeat;
    std::optional<token_request> request;
    std::optional<token_grant> grant;
    std::optional<token_push> push;
    std::optional<token_push_ack> push_ack;
    std::optional<token_grant_ack> grant_ack;
    /// Where streams began, for a node that keeps the record of it.
    std::vector<dispatch::aged_origin> origins;
    std::optional<origin_question> stream_question;
    std::optional<origin_answer> stream_answer;
    std::vector<dispatch::crash_record> crash_records;
    std::optional<mesh::run_question> run_question;
    std::optional<mesh::run_answer> run_answer;
    std::optional<mesh::run_end> run_end;
    std::optional<mesh::draw_report> draw_report;
    std::optional<mesh::draw_ack> draw_ack;
    std::optional<mesh::draw_question> draw_question;
    std::optional<mesh::draw_answer> draw_answer;
    std::optional<mesh::configuration_question> configuration_question;
    std::optional<mesh::configuration_part> configuration_part;
    std::size_t invalid_parts = 0; ///< Invalid parts dropped by decoding.
};

/// Which data a sync_request asks for. Targets and a configuration are fetched
/// separately: one may be a thousand times as large as the other and take a
/// second over a slow link.
enum class sync_part : std::uint8_t
{
    both, ///< Requested by nodes of earlier releases.
    targets,
    configuration
};

/// Asks a node to connect the sender to a target. If it does, the connection
/// carries the target's bytes from then on, in both directions.
struct relay_request
{
    /// Of the node asked. Known only to nodes that get its heartbeats, so that
    /// nobody else can use it as a relay.
    node_incarnation incarnation;
    catalog::target_process target;
    std::string request; ///< Id of the caller's request, for the log.
    host_id host;        ///< Of the sender, for the log.
};

enum class relay_result : std::uint8_t
{
    connected,
    unreachable, ///< It can't connect to the target.
    refused,     ///< The target takes nothing, by what it knows.
    busy         ///< It can't relay now: no room, or it is shutting down.
};

std::string_view to_string(relay_result value);

/// How the target's side of a relayed connection ended.
enum class relay_end : std::uint8_t
{
    orderly, ///< The target closed it, and all its bytes were passed on.
    broken   ///< It was reset, or the relay ended it.
};

std::string_view to_string(relay_end value);

/// Asks a node for everything newer than the given versions, for a relay, or
/// how one ended.
struct sync_request
{
    catalog::configuration_version configuration;
    catalog::revision targets_as_of;
    sync_part part = sync_part::both;
    /// Of the requesting node, to be named to others as a source.
    std::string peer_address;
    std::optional<relay_request> relay;
    std::optional<relay_request> relay_end; ///< Asked with `relay` before.
};

struct sync_reply
{
    /// The operator's configuration in the platform's format, for a node of an
    /// earlier release; empty if the requester's is as new.
    std::string configuration;
    catalog::revision targets_as_of;
    bool targets_full = false; ///< `targets` is the whole list.
    std::vector<catalog::target_change> targets;
    /// The same configuration by compress_text(), see
    /// mesh/text_compression.hpp.
    std::string packed_configuration;
    /// There is a newer configuration but no free transfer slot. The requester
    /// should try another node, for instance one of `served`, which received
    /// `served_configuration` from this node.
    bool busy = false;
    std::vector<std::string> served;
    catalog::configuration_version served_configuration;
    /// The answer to a relay_request. Unset from nodes of earlier releases.
    std::optional<relay_result> relay;
    /// The answer to a question for a relay's end; unset if it isn't known.
    std::optional<mesh::relay_end> relay_end;
    std::size_t invalid_parts = 0; ///< Invalid parts dropped by decoding.
};

/// Limits on decoded values. Wider than any fleet needs; beyond them sums
/// overflow, or one peer's message costs the others unbounded memory.
inline constexpr std::int32_t max_list_elements = 16'384; ///< Of a list.
inline constexpr std::size_t max_id_bytes = 256;          ///< Of ids.
/// Of a list in a heartbeat.
inline constexpr std::size_t max_heartbeat_rows = 256;
inline constexpr tokens max_token_amount(1'000'000'000'000'000);
inline constexpr double max_request_rate = 1e9; ///< Per second.
inline constexpr double max_fleets_lost = 1000;

/// Payload bytes that fit in one packet (an Ethernet frame less IPv4 and UDP
/// headers); larger datagrams are fragmented and lost more often.
inline constexpr std::size_t max_packet_bytes = 1472;

std::string encode(const datagram& message);
std::string encode(const sync_request& message);
std::string encode(const sync_reply& message);

/// Fail with `corrupt` on malformed bytes and on a message with an invalid
/// sender, configuration version, revision or amount. Target entries in the
/// result pass catalog::check_target(); a target whose entry doesn't is
/// reported as removed.
result<datagram> decode_datagram(std::string_view bytes);
result<sync_request> decode_sync_request(std::string_view bytes);
result<sync_reply> decode_sync_reply(std::string_view bytes);

} // namespace fennelladder::mesh

#endif
