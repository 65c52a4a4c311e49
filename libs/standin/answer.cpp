// Each token is drawn from the hash of its place, seeded with the hash of the
// request, so that any part of an answer costs its own length only.

#include "fennelladder/standin/answer.hpp"

#include "fennelladder/base/hash.hpp"

#include <cassert>
#include <nlohmann/json.hpp>

namespace fennelladder::standin {

namespace {

constexpr std::size_t bytes_per_token = 4;

std::uint32_t draw_length(std::uint64_t seed, std::uint32_t max_tokens)
{
    if (max_tokens == 0)
        return 0;
    const std::uint32_t least = (max_tokens + 1) / 2;
    return least + static_cast<std::uint32_t>(seed % (max_tokens - least + 1));
}

std::uint64_t hash_number(std::uint32_t value, std::uint64_t seed)
{
    char buf[sizeof(value)];
    for (std::size_t n = 0; n < sizeof(value); ++n)
        buf[n] = static_cast<char>(value >> (8 * n) & 0xff);
    return hash64({buf, sizeof(buf)}, seed);
}

} // namespace

std::uint32_t count_tokens(std::string_view text)
{
    return static_cast<std::uint32_t>((text.size() + bytes_per_token - 1) /
                                      bytes_per_token);
}

answer::answer(const request_key& key, std::string_view prompt,
               std::uint32_t max_tokens)
    : seed_(hash64(prompt, hash64(key.str()))),
      length_(draw_length(seed_, max_tokens))
{}

std::string answer::text(std::uint32_t from, std::uint32_t to) const
{
    assert(from <= to && to <= length_);
    std::string out;
    out.reserve((to - from) * bytes_per_token);
    for (std::uint32_t n = from; n < to; ++n) {
        std::uint64_t bits = hash_number(n, seed_);
        out += ' ';
        for (std::size_t letter = 1; letter < bytes_per_token; ++letter) {
            out += static_cast<char>('a' + bits % 26);
            bits /= 26;
        }
    }
    return out;
}

std::string answer_text(const request_key& key, std::string_view prompt,
                        std::uint32_t max_tokens)
{
    const answer whole(key, prompt, max_tokens);
    return whole.text(0, whole.length());
}

std::vector<std::uint64_t> prompt_blocks(std::string_view prompt,
                                         std::uint32_t block_tokens)
{
    const std::size_t length = block_tokens * bytes_per_token;
    std::vector<std::uint64_t> out;
    std::uint64_t last = 0;
    for (; prompt.size() >= length; prompt.remove_prefix(length)) {
        last = hash64(prompt.substr(0, length), last);
        out.push_back(last);
    }
    return out;
}

std::string service_answer(const request_key& key, std::string_view call,
                           std::string_view body)
{
    const nlohmann::json out{
        {"call", call},
        {"key", key.str()},
        {"receipt", to_hex(hash64(body, hash64(key.str())))}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace fennelladder::standin
