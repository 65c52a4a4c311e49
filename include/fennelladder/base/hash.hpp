// Hashes of bytes, by xxHash: stable across machines and releases, so that
// they may be stored. Not cryptographic, so unsuitable for secrets.
//
//     shard = hash64(team.str()) % shards;

#ifndef FENNELLADDER_BASE_HASH_HPP
#define FENNELLADDER_BASE_HASH_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace fennelladder {

/// 64-bit hash of `bytes`. Thread safe.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// 128-bit hash of `bytes` as 32 hexadecimal digits; used in the names of
/// content-addressed objects. Thread safe.
std::string digest128(std::string_view bytes);

/// `value` as 16 hexadecimal digits, padded with zeros.
std::string to_hex(std::uint64_t value);

} // namespace fennelladder

#endif
