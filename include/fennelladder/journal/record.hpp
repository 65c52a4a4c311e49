// Records of the journal: wishes with a mark, and what the fold made of them.
//
// A record asks for a change; it doesn't make one. The fold of a shard's
// records, in the order of the log, decides what takes effect, the same on
// every node. The mark tells a record from all others, so that one sent twice,
// over two ways, counts once.
//
//     record wish{{self, 1}, allot, payload};
//
// Caveats. Whoever gives out marks by hand must number its records from 1,
// never reuse a number with other content, and never have more than
// mark_window records without an outcome; group_committer sees to all three.

#ifndef FENNELLADDER_JOURNAL_RECORD_HPP
#define FENNELLADDER_JOURNAL_RECORD_HPP

#include "fennelladder/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace fennelladder::journal {

/// How many of a writer's latest records the fold can still tell apart. An
/// older one is taken for a repetition. Part of the stored format: all nodes
/// must fold alike.
constexpr std::uint64_t mark_window = 4096;

/// How many retired writers a shard remembers by name. Part of the format.
constexpr std::size_t retired_limit = 4096;

/// Largest payload of a record.
constexpr std::size_t max_payload_bytes = 65'536;

/// What tells a record from all others of its shard.
struct record_mark
{
    incarnation_id writer;
    std::uint64_t sequence = 0; ///< From 1, per writer and shard.

    /// The writer knows the outcome of all its records up to here and will
    /// never send them again; the fold forgets their verdicts.
    std::uint64_t acknowledged = 0;

    /// Position of the shard's checkpoint when the writer began to write to
    /// it (see fold.hpp on how marks stay bounded).
    std::uint64_t opened_at = 0;
};

/// A wish. The journal doesn't look at type and payload.
struct record
{
    record_mark mark;
    int type = 0;
    std::string payload;
};

/// What a state decides about a record.
struct verdict
{
    bool accepted = false;
    std::string reply; ///< A few bytes for the writer; kept by the fold.

    /// When not empty: this writer is over, and nothing it sends from now on
    /// counts. Only accepted records may retire a writer.
    incarnation_id retires = {};
};

/// How a record came out.
enum class record_outcome : std::uint8_t
{
    accepted, ///< The state took it.
    refused,  ///< The state decided against it.
    repeated, ///< Counted earlier; the verdict is no longer kept.
    retired   ///< Its writer is over; the record did not count.
};

/// A record's mark with its outcome.
struct applied_record
{
    record_mark mark;
    record_outcome outcome = record_outcome::refused;
    std::string reply;
    bool found = false; ///< It was in the log already.
};

} // namespace fennelladder::journal

#endif
