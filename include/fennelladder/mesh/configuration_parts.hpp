// Splits a compressed configuration into parts that fit a datagram each, and
// assembles one from parts that arrive in any order, repeatedly or not at all.
//
//     for (const configuration_part& it : answer_to(question, own))
//         ... send ...
//
//     configuration_assembly assembly;
//     if (assembly.add(part, now) && assembly.is_complete())
//         if (auto packed = assembly.take()) ... put it into force ...
//
// Failure it guards against: packets of TCP connections wait in the queue of a
// full link for so long that no connection is established, while datagrams are
// delivered at once or lost. The host learns that there is a newer
// configuration, can't fetch it, and refuses its callers for seconds.
//
// Only parts of the same version, count and text are joined. An assembly holds
// parts of one text, so its memory is bounded by their count and size.
//
// Not thread safe.

#ifndef FENNELLADDER_MESH_CONFIGURATION_PARTS_HPP
#define FENNELLADDER_MESH_CONFIGURATION_PARTS_HPP

#include "fennelladder/mesh/messages.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fennelladder::mesh {

/// A larger compressed configuration is only sent over connections.
inline constexpr std::size_t max_datagram_configuration = 65'536;

/// Most parts sent in answer to one question: 20 ms on a link of 10 Mbit/s.
inline constexpr std::size_t max_parts_per_answer = 16;

/// An assembly without a new part for this long gives way to any other text:
/// the nodes that have its version may be gone. Several questions are sent in
/// this time.
inline constexpr duration assembly_stall_time = seconds(1);

/// A configuration that can be sent by datagrams.
struct packed_configuration
{
    packed_configuration() = default;
    packed_configuration(catalog::configuration_version of, std::string text);

    catalog::configuration_version version;
    std::string bytes; ///< Compressed.
    std::uint64_t text_hash = 0;
};

/// The parts to answer a question with. None if the configuration is older than
/// the one wanted, or too large to be sent by datagrams.
std::vector<configuration_part>
answer_to(const configuration_question& question,
          const packed_configuration& own);

class configuration_assembly
{
public:
    /// Stores a part. Returns false if it has no new bytes or doesn't belong to
    /// this text. A part of a later version replaces what was assembled; a part
    /// of another text does so if the assembly is stalled.
    bool add(const configuration_part& from, instant now);

    /// Whether it has no part, or hasn't got a new one for some time.
    bool is_stalled(instant now) const;

    /// Version of the parts that it has; 0: none.
    catalog::configuration_version version() const { return version_; }

    /// The parts that it lacks: all that are possible if it has none.
    part_set missing() const;

    /// Hash of the text that the parts are of; 0 if it has none.
    std::uint64_t text_hash() const { return text_hash_; }

    bool is_complete() const;

    /// Returns the whole compressed text, and begins anew. Unset if the text
    /// isn't the one that its hash is of. Precondition: is_complete().
    std::optional<std::string> take();

    /// Drops all parts.
    void clear();

private:
    bool is_of_this_text(const configuration_part& from) const;

    catalog::configuration_version version_;
    std::uint64_t text_hash_ = 0;
    std::uint32_t parts_ = 0; ///< 0: none has come.
    std::array<std::string, max_configuration_parts> bytes_; ///< Empty: missing
    instant last_new_;
};

} // namespace fennelladder::mesh

#endif
