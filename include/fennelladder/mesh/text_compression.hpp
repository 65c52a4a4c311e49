// Compression of text sent between nodes (zlib format).
//
//     result<std::string> compressed = compress_text(text);
//     result<std::string> text = decompress_text(*compressed, limit);
//
// A configuration of a megabyte repeats the same few field names; compressed
// it takes about an eighth. Thread safe.

#ifndef FENNELLADDER_MESH_TEXT_COMPRESSION_HPP
#define FENNELLADDER_MESH_TEXT_COMPRESSION_HPP

#include "fennelladder/base/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace fennelladder::mesh {

/// Fails with `exhausted` when memory runs out.
result<std::string> compress_text(std::string_view text);

/// Fails with `corrupt` on bytes that compress_text() didn't produce, and with
/// `too_large` as soon as the text exceeds `limit` bytes: a few compressed
/// bytes can expand to gigabytes, and the host has megabytes.
result<std::string> decompress_text(std::string_view compressed,
                                    std::size_t limit);

} // namespace fennelladder::mesh

#endif
