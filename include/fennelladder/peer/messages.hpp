// Encodings of the messages that no deciding library encodes by itself.

#ifndef FENNELLADDER_PEER_MESSAGES_HPP
#define FENNELLADDER_PEER_MESSAGES_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/journal/record.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::peer {

/// Records for the hinted owner of a shard.
struct append_question
{
    shard_id shard;
    std::vector<journal::record> records;
};

/// Thread safe, as the others. decode_* fail with `corrupt`.
std::string encode(const append_question& message);
result<append_question> decode_append_question(std::string_view bytes);

std::string encode(const std::vector<journal::applied_record>& applied);
result<std::vector<journal::applied_record>>
decode_append_answer(std::string_view bytes);

} // namespace fennelladder::peer

#endif
