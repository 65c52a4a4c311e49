// Stored bytes of the journal's objects. Private to the library.

#ifndef FENNELLADDER_JOURNAL_CODEC_HPP
#define FENNELLADDER_JOURNAL_CODEC_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/journal/record.hpp"

#include <cstdint>
#include <journal_types.h>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::journal {

/// Newest version of every stored struct that this build can read.
constexpr int stored_version = 1;

/// What an object is; goes into its checksum, so that no object is taken for
/// one of another kind.
enum class object_kind : std::uint8_t
{
    segment = 1,
    state,
    root,
    layout
};

/// A frame's number and struct bytes (a view into the frame).
struct frame
{
    std::uint64_t number = 0;
    std::string_view body;
};

/// Takes a frame apart. Fails with `corrupt`.
result<frame> open_frame(object_kind kind, std::string_view bytes);

/// Frames of each stored struct. Reading fails with `corrupt`.
std::string pack(std::uint64_t number, const wire::segment& value);
std::string pack(std::uint64_t number, const wire::fold_state& value);
std::string pack(std::uint64_t number, const wire::checkpoint_root& value);
std::string pack(std::uint64_t number, const wire::layout& value);
status unpack(std::string_view bytes, wire::segment& value);
status unpack(std::string_view bytes, wire::fold_state& value);
status unpack(std::string_view bytes, wire::checkpoint_root& value);
status unpack(std::string_view bytes, wire::layout& value);

/// Upper bound of what a record adds to a segment, in bytes.
std::size_t encoded_size(const record& wish);

std::string encode_segment(std::uint64_t number,
                           const std::vector<record>& records);
result<std::vector<record>> decode_segment(std::string_view bytes);

} // namespace fennelladder::journal

#endif
