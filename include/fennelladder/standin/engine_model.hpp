// A model engine in virtual time: what a stand-in answers, and when.
//
//     engine_model engine(options, seed);
//     engine.submit({.id = 7, .prompt_tokens = 300, .output_tokens = 50}, now);
//     while (auto at = engine.next_step())
//         for (const engine_output& it : engine.advance(*at))
//             relay(it);
//
// The model batches continuously: in each step every running sequence makes a
// token, and a chunk of prompt tokens is prefilled beside them. Sequences and
// the prefix cache share the KV memory in blocks; a block that no sequence
// uses stays cached until it is the one unused longest and room is needed.
// More urgent requests are admitted first and take the slot or memory of less
// urgent ones, which start again later from what they had produced.
//
// It tells of itself as engines do: cache events come late and some are lost,
// which shows as a jump in their numbers; the load report is a sample taken
// now and then that arrives later still.
//
// No token has a text: the one who wraps the model makes it up. Not thread
// safe. Time must not run backwards between calls.

#ifndef FENNELLADDER_STANDIN_ENGINE_MODEL_HPP
#define FENNELLADDER_STANDIN_ENGINE_MODEL_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelladder::standin {

/// Speed, sizes and lags of an engine_model.
struct engine_options
{
    duration step = milliseconds(2);
    duration step_per_sequence = microseconds(20);
    duration prefill_per_token = microseconds(10);
    std::uint32_t prefill_chunk = 256; ///< Prompt tokens in one step.
    std::uint32_t slots = 32;          ///< Sequences that run at once.
    std::uint32_t block_tokens = 64;
    std::uint32_t memory_blocks = 2'048;

    duration report_interval = milliseconds(200);
    duration report_lag = milliseconds(100);
    duration event_lag = milliseconds(150);
    double event_loss = 0.02; ///< Share of the cache events.
    bool every_token = true;  ///< Else only first tokens and ends.
};

/// A request to an engine.
struct engine_request
{
    std::uint64_t id = 0;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 1;
    std::uint32_t resume_at = 0;       ///< Output tokens that the caller has.
    std::vector<std::uint64_t> prefix; ///< Hashes of the prompt's blocks.
};

/// Something that an engine puts out for a request.
struct engine_output
{
    enum class kind : std::uint8_t
    {
        first_token,
        token,
        finished
    };

    kind what = kind::token;
    std::uint64_t id = 0;
    instant at;
    std::uint32_t produced = 0;      ///< Of the whole answer, with resume_at.
    std::uint32_t cached_tokens = 0; ///< Of the prompt, at its last start.
};

/// A change of the prefix cache.
struct engine_cache_event
{
    enum class kind : std::uint8_t
    {
        stored,
        evicted,
        cleared
    };

    std::uint64_t sequence = 0;
    kind what = kind::stored;
    std::vector<std::uint64_t> blocks;
};

/// A sample of an engine's load.
struct engine_load
{
    instant taken_at;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t waiting_prefill_tokens = 0;
    double memory_used = 0; ///< Share held by sequences.
};

/// Work done since the start.
struct engine_work
{
    std::uint64_t prefilled_tokens = 0;
    std::uint64_t generated_tokens = 0;
    std::uint64_t cached_tokens = 0; ///< Prompt tokens not prefilled.
    std::uint64_t steps = 0;
    std::uint64_t preemptions = 0;
    duration busy{};
};

class engine_model
{
public:
    engine_model(const engine_options& options, std::uint64_t seed);

    /// Takes a request. False, and nothing happens, if its id is in use or it
    /// could never fit the memory.
    bool submit(const engine_request& request, instant now);

    /// Stops a request. The number of output tokens that the caller may have,
    /// or nothing if the engine doesn't know it.
    std::optional<std::uint32_t> cancel(std::uint64_t id, instant now);

    /// The end of the step under way; nothing if the engine is idle.
    std::optional<instant> next_step() const;

    /// Ends the steps that end by `now`, and returns what they put out, in
    /// order of time.
    std::vector<engine_output> advance(instant now);

    /// Load samples that have arrived by `now`.
    std::vector<engine_load> take_reports(instant now);

    /// Cache events that have arrived by `now`.
    std::vector<engine_cache_event> take_cache_events(instant now);

    /// Leading blocks of a prompt that are cached: what an export gives.
    std::uint32_t cached_blocks(std::span<const std::uint64_t> prefix) const;

    /// Puts exported blocks into the cache, as far as memory goes that no
    /// sequence holds.
    void import_blocks(std::span<const std::uint64_t> prefix, instant now);

    /// The engine dies and starts anew: all requests and the cache are gone.
    void restart(instant now);

    /// The load as it is; reports give it late.
    engine_load load(instant now) const;

    const engine_work& work() const { return work_; }

private:
    struct sequence
    {
        engine_request request;
        std::uint64_t arrival = 0;
        std::uint32_t produced = 0;
        std::uint32_t prefill_left = 0;
        std::uint32_t cached_tokens = 0;
        std::uint32_t own_blocks = 0;
        std::vector<std::uint64_t> shared; ///< Blocks it holds a count of.
        bool decoding = false;             ///< In the step under way.
        bool seen_first = false;
        bool published = false; ///< Its prompt's blocks, since its start.
    };

    // Order of service: priority, then arrival.
    using turn = std::pair<std::uint32_t, std::uint64_t>;

    // Invariant: users == 0 exactly for blocks in unused_.
    struct block
    {
        std::uint32_t users = 0;
        std::list<std::uint64_t>::iterator unused;
    };

    static turn turn_of(const sequence& it);
    std::uint32_t blocks_for(std::uint32_t tokens) const;
    std::uint32_t sequence_blocks() const;
    bool make_room(std::uint32_t blocks);
    void evict_oldest();
    void use_block(std::uint64_t hash);
    void release_block(std::uint64_t hash);
    bool start(std::uint64_t id);
    void publish(sequence& it);
    void free_memory(sequence& it);
    void preempt(std::uint64_t id);
    std::optional<std::uint64_t> last_running(turn after) const;
    void admit();
    void begin_step(instant now);
    void end_step(std::vector<engine_output>& out);
    bool grow(sequence& it);
    void put_out(std::vector<engine_output>& out, sequence& it);
    void note(engine_cache_event::kind what, std::uint64_t hash);
    void flush_events();
    void sample(instant now);

    engine_options options_;
    random_source random_;
    std::unordered_map<std::uint64_t, sequence> sequences_;
    std::map<turn, std::uint64_t> waiting_;
    std::map<turn, std::uint64_t> running_;
    std::uint64_t arrivals_ = 0;

    // Invariant: own_blocks_ + blocks_.size() <= options_.memory_blocks.
    std::unordered_map<std::uint64_t, block> blocks_;
    std::list<std::uint64_t> unused_; ///< Least recently used first.
    std::uint32_t own_blocks_ = 0;

    instant now_; ///< Of the last call, or of the step that is ending.
    std::optional<instant> step_ends_;
    std::uint64_t next_event_ = 1;
    engine_cache_event pending_;
    std::deque<std::pair<instant, engine_cache_event>> events_;
    std::deque<std::pair<instant, engine_load>> reports_;
    instant next_sample_;
    engine_work work_;
};

} // namespace fennelladder::standin

#endif
