#include "fennelladder/base/hash.hpp"

#include <xxhash.h>

namespace fennelladder {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string digest128(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return to_hex(hash.high64) + to_hex(hash.low64);
}

std::string to_hex(std::uint64_t value)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto it = text.rbegin(); it != text.rend(); ++it) {
        *it = digits[value & 15U];
        value >>= 4U;
    }
    return text;
}

} // namespace fennelladder
