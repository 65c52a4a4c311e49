// One shard of the journal: append, read, checkpoint, recover.
//
//     shard_log log(store, layout, shard, make_state, seed);
//     auto applied = log.append({wish}); // opens the log when it must
//     if (applied && applied->front().outcome == record_outcome::accepted)
//         ...
//     if (log.wants_checkpoint())
//         log.checkpoint();
//
// Any number of nodes may append to one shard at any time. To append segment
// n is to write its slot on condition that the slot still holds segment
// n - slots (or nothing, in the first round). Whoever's condition holds has
// its records in; the others read on and write the next. A node that slept
// through any number of segments and checkpoints has an old condition, so its
// write fails, and it finds out that it was overtaken when it reads.
//
// Caveats. An append that fails with `ambiguous` may be in the log; append the
// same records again (same marks) to learn their outcome. An append of many
// records may be cut into several segments; on failure the first ones may be
// in. state() is as of position(), which another node may have passed.

#ifndef FENNELLADDER_JOURNAL_SHARD_LOG_HPP
#define FENNELLADDER_JOURNAL_SHARD_LOG_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/journal/fold.hpp"
#include "fennelladder/journal/layout.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fennelladder::journal {

/// Platform calls made by a log, by what they were for, and bytes moved.
struct journal_calls
{
    std::uint64_t append = 0;     ///< Writes of segments.
    std::uint64_t conflict = 0;   ///< Those of them that lost a race.
    std::uint64_t read = 0;       ///< Lists of slots.
    std::uint64_t root_read = 0;  ///< Reads of a checkpoint's root.
    std::uint64_t chunk_read = 0; ///< Reads of a checkpoint's chunks.
    std::uint64_t root = 0;       ///< Writes of a checkpoint's root.
    std::uint64_t chunk = 0;      ///< Writes of a checkpoint's chunks.
    std::uint64_t erase = 0;      ///< Removals of old chunks.
    std::uint64_t sweep = 0;      ///< Lists of chunks nobody refers to.
    std::uint64_t watch = 0;
    std::uint64_t bytes_written = 0;
    std::uint64_t bytes_read = 0;

    /// All calls; `conflict` is a part of `append`.
    std::uint64_t total() const;
    /// Calls that write.
    std::uint64_t writes() const;
    journal_calls& operator+=(const journal_calls& other);
};

/// Limits and strategies of a log.
struct shard_log_options
{
    /// A segment is closed when it has grown to this (and has a record).
    /// At most 800,000.
    std::size_t max_segment_bytes = 500'000;

    /// Slots read with one call: by one who is about up to date, and by one
    /// who has much to read. Reading past the tail is not in vain: an append
    /// must know what its slot held a round ago.
    std::size_t read_ahead = 16;
    std::size_t recover_ahead = 256;

    /// Tries of a call that fails with `unavailable` or `ambiguous`.
    int tries = 3;

    /// Lost races in one append before it fails with `conflict`.
    int max_conflicts = 200;

    /// Waits between tries; the first lost race is retried at once.
    duration first_backoff = milliseconds(5);
    duration backoff_limit = milliseconds(500);

    /// How to wait; empty: sleep. Tests pass something that doesn't.
    std::function<void(duration)> wait;

    /// wants_checkpoint() after so many segments (half the ring at most
    /// counts), or after so many bytes of them that are also twice the last
    /// checkpoint's: writing checkpoints then costs at most half of what
    /// writing segments does, unless the state outgrows the ring.
    std::uint64_t checkpoint_segments = 2048;
    std::size_t checkpoint_bytes = 4'000'000;

    /// States up to this size are kept in the root itself.
    std::size_t inline_state_bytes = 64'000;

    /// Size of a chunk of larger ones. At most 900,000.
    std::size_t chunk_bytes = 750'000;

    /// Chunks left behind by checkpoints that died are looked for with every
    /// so manieth checkpoint.
    int sweep_every = 16;
};

/// Not thread safe. Memory: the folded state, and 24 bytes per slot.
class shard_log
{
public:
    /// Makes no call. `store` must outlive the log.
    shard_log(platform::object_store& store, const journal_layout& layout,
              shard_id shard, state_factory factory, std::uint64_t seed,
              shard_log_options options = {});

    /// Reads checkpoint and segments, whatever was known before. Errors:
    /// `unavailable`, `corrupt` (names the object).
    status recover();

    /// True after a recover() or append() that succeeded.
    bool is_open() const { return fold_.has_value(); }

    /// Adds records and returns their outcomes in the same order. Records
    /// that are in the log already are not written again. Errors:
    /// `unavailable` (none of those not yet known is in), `ambiguous` (some
    /// may be in), `conflict` (lost too many races), `too_large` (a payload
    /// over max_payload_bytes; nothing was written), `exhausted` (the ring is
    /// full and no checkpoint could be made), `corrupt`.
    result<std::vector<applied_record>> append(std::vector<record> records);

    /// Reads what others appended; returns how many segments. One call when
    /// there is less than a page of them. Errors as recover().
    result<std::uint64_t> refresh();

    /// Like refresh(), but waits up to `wait` for something new. A watch can
    /// go silent for good: call refresh() from time to time. Precondition:
    /// is_open().
    result<std::uint64_t> follow(duration wait);

    /// True when segments since the last known checkpoint are many.
    bool wants_checkpoint() const;

    /// Writes the state as of position() and makes room in the ring. Succeeds
    /// when another node's later checkpoint is there already. Errors:
    /// `unavailable`, `ambiguous`, `corrupt`, and `too_large` for a state of
    /// more than about 10,000 chunks. Precondition: is_open().
    status checkpoint();

    /// Position of the newest checkpoint, read now and without opening the
    /// log: what a new writer puts into record_mark::opened_at. One call.
    result<std::uint64_t> read_checkpoint_position();

    /// Forgets everything read and gives back its memory.
    void close();

    /// Precondition: is_open().
    const fold& folded() const { return *fold_; }
    const folded_state& state() const { return fold_->state(); }

    /// Number of the last segment applied; 0 before the first.
    std::uint64_t position() const { return fold_ ? fold_->position() : 0; }

    /// Position of the last checkpoint known.
    std::uint64_t checkpoint_position() const { return root_.position; }

    /// Share of the ring in use since the last checkpoint known, 0 to 1.
    double ring_use() const;

    const journal_calls& calls() const { return calls_; }

private:
    // What a slot held when last read or written; number 0 is "not known".
    struct slot_content
    {
        std::uint64_t number = 0;
        object_version version;
    };

    // The checkpoint last read or written.
    struct root_content
    {
        std::uint64_t position = 0;
        std::optional<object_version> version; // empty: there is none
        std::vector<std::string> chunks;
        std::size_t bytes = 0;
    };

    struct loaded_root
    {
        root_content root;
        std::string state;
    };

    enum class page_end : std::uint8_t
    {
        more,     // there may be further segments
        tail,     // all segments were applied
        overtaken // the next segment was written over
    };

    std::uint32_t slot_of(std::uint64_t number) const;
    std::optional<platform::write_condition>
    append_condition(std::uint64_t number) const;
    void pause(int attempt);
    status retry(const std::function<status()>& call);

    result<std::optional<loaded_root>> load_root();
    result<std::string> load_chunks(const std::vector<std::string>& chunks,
                                    bool& gone);
    status load_checkpoint();
    status read_forward();
    result<page_end> read_page();
    result<page_end> take_page(const platform::object_page& page,
                               std::uint32_t first);
    status apply_segment(std::uint64_t number, std::string_view value);
    status write_segment(const std::vector<record>& batch);
    status put_segment(std::uint64_t number, const std::string& value);
    status make_room();

    status put_chunks(const std::string& state,
                      std::vector<std::string>& names);
    status put_root(const root_content& next, const std::string& value,
                    std::vector<std::string>& unused);
    void erase_chunks(const std::vector<std::string>& names);
    void sweep_chunks();

    platform::object_store& store_;
    journal_layout layout_;
    shard_keys keys_;
    state_factory factory_;
    random_source random_;
    shard_log_options options_;

    std::optional<fold> fold_;
    std::vector<slot_content> slots_;
    root_content root_;
    std::size_t bytes_since_checkpoint_ = 0;
    bool far_behind_ = false; // there was more to read than a page
    std::uint64_t revision_ = 0;
    int checkpoints_ = 0;
    journal_calls calls_;
};

} // namespace fennelladder::journal

#endif
