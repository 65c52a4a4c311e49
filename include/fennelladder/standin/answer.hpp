// The answers of the stand-in targets, computed from the request alone, so
// that whoever receives one can tell whether it is whole and his own.
//
//     bool mine = text == answer_text(key, prompt, max_tokens);
//
// A token is four bytes: a space and three letters. All functions are pure.

#ifndef FENNELLADDER_STANDIN_ANSWER_HPP
#define FENNELLADDER_STANDIN_ANSWER_HPP

#include "fennelladder/base/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::standin {

/// Tokens in a text: one per four bytes begun.
std::uint32_t count_tokens(std::string_view text);

/// The answer to one prompt, token by token.
class answer
{
public:
    answer(const request_key& key, std::string_view prompt,
           std::uint32_t max_tokens);

    /// Number of tokens: between half of the maximum and all of it, at least
    /// one unless the maximum is zero.
    std::uint32_t length() const { return length_; }

    /// Tokens [from, to). Precondition: from <= to <= length().
    std::string text(std::uint32_t from, std::uint32_t to) const;

private:
    std::uint64_t seed_;
    std::uint32_t length_;
};

/// The whole answer.
std::string answer_text(const request_key& key, std::string_view prompt,
                        std::uint32_t max_tokens);

/// Names of a prompt's whole blocks, as the engines publish them: the hash
/// (XXH3, 64 bits) of each block's bytes, seeded with the name of the block
/// before it, 0 for the first.
std::vector<std::uint64_t> prompt_blocks(std::string_view prompt,
                                         std::uint32_t block_tokens);

/// A plain service's answer to a call, JSON.
std::string service_answer(const request_key& key, std::string_view call,
                           std::string_view body);

} // namespace fennelladder::standin

#endif
