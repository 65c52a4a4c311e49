// Text made small for the way between nodes (zlib's format).
//
//     result<std::string> packed = compress_text(text);
//     result<std::string> text = decompress_text(*packed, largest);
//
// A configuration of a megabyte is the same few field names over and over;
// packed it takes about an eighth. Thread safe.

#ifndef FENNELLADDER_MESH_TEXT_COMPRESSION_HPP
#define FENNELLADDER_MESH_TEXT_COMPRESSION_HPP

#include "fennelladder/base/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace fennelladder::mesh {

/// Fails with `exhausted` when there is no memory for it.
result<std::string> compress_text(std::string_view text);

/// Fails with `corrupt` on bytes that compress_text() didn't make, and with
/// `too_large` as soon as the text exceeds `limit` bytes: a few packed bytes
/// can stand for gigabytes, and the host has megabytes.
result<std::string> decompress_text(std::string_view packed, std::size_t limit);

} // namespace fennelladder::mesh

#endif
