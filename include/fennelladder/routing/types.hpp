// What routing is told of requests and targets.
//
// Everything here is plain data. Token counts are plain integers: they are
// estimates of work, not amounts of money, for which there is `tokens`.

#ifndef FENNELLADDER_ROUTING_TYPES_HPP
#define FENNELLADDER_ROUTING_TYPES_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fennelladder::routing {

/// What a request needs and a target has loaded: a model with version and
/// adapter, or a plain service. A request that leaves `version` empty takes
/// any version; an empty `adapter` means the bare model.
struct capability
{
    service_id service;
    model_id model;
    model_version version;
    adapter_id adapter;

    friend auto operator<=>(const capability&, const capability&) = default;
};

/// True if a target that has `loaded` can serve `needed`.
bool serves(const capability& loaded, const capability& needed);

/// Hash of one block of a prompt and of all blocks before it: equal hashes
/// mean equal prompts up to and including the block.
using block_hash = std::uint64_t;

/// Place of a target in this node's tables: dense, and used anew after the
/// target was removed. Meaningful in one node only.
using target_slot = std::uint32_t;

/// Requests for the same capability wait in one pool and share its targets.
using pool_id = number_id<struct pool_tag>;

/// One request's stay in the scheduler, from submit to finished.
using ticket_id = number_id<struct ticket_tag>;

/// Rank among kinds of caller: 0 is served first.
using priority = std::uint32_t;

/// Number of ranks; a higher rank is treated as the last one.
constexpr priority priority_levels = 8;

/// A request as routing sees it.
struct route_request
{
    capability needs;
    team_id team;
    priority rank = 0;
    std::vector<block_hash> prefix; ///< Chain of the prompt's whole blocks.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; ///< Expected, not the caller's maximum.
    instant deadline;                ///< The whole answer is due.
    bool resumable = false;          ///< May be preempted and resumed.
    std::vector<target_id> avoid;    ///< Targets where it has failed.
};

/// How fast a target works when it is idle; what isn't known stays default.
struct target_speed
{
    duration step = milliseconds(3);               ///< One decoding step.
    duration step_per_sequence = microseconds(20); ///< Added per sequence.
    duration prefill_per_token = microseconds(10); ///< Uncached tokens.
    std::uint32_t prefill_chunk = 512;             ///< Prompt tokens per step.
    std::uint32_t slots = 32; ///< Sequences that it runs at once.
};

/// What the configuration and the target's status say of it.
struct target_info
{
    target_id id;
    data_center_id data_center;
    std::vector<capability> loaded;
    target_speed speed;

    /// Ranks after this one get the target only when no other has room, and
    /// then a small share of it, so that it stays quick for the ones it is
    /// set aside for.
    priority reserved_up_to = priority_levels;
};

/// A target's own account of its load; it comes late.
struct load_report
{
    instant taken_at; ///< On this node's time line.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t waiting_prefill_tokens = 0;
    double memory_used = 0; ///< Share of KV memory that sequences hold.
};

/// How one request went on a target.
enum class attempt_outcome : std::uint8_t
{
    answered,
    failed,   ///< The target broke, refused or went silent.
    canceled, ///< The caller left or it was preempted; says nothing of it.
};

/// What was seen of one request on a target.
struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::answered;
    duration first_token = duration(0); ///< From dispatch; 0: none seen.
    std::uint32_t output_tokens = 0;    ///< Received.
    std::uint32_t cached_tokens = 0;    ///< As the engine reported.
    bool cached_known = false;          ///< cached_tokens was reported.
};

} // namespace fennelladder::routing

#endif
