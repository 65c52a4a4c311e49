// Encoding of the peer messages that the libraries which handle them don't
// encode themselves.

#ifndef FENNELLADDER_PEER_MESSAGES_HPP
#define FENNELLADDER_PEER_MESSAGES_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/budget/budget_agent.hpp"
#include "fennelladder/journal/record.hpp"
#include "fennelladder/request/suspect_list.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fennelladder::peer {

/// Records sent to the presumed owner of a shard.
struct append_request
{
    shard_id shard;
    std::vector<journal::record> records;
};

/// All functions of this file are thread safe. The decode functions fail with
/// `corrupt`.
std::string encode(const append_request& message);
result<append_request> decode_append_request(std::string_view bytes);

std::string encode(const std::vector<journal::applied_record>& applied);
result<std::vector<journal::applied_record>>
decode_append_response(std::string_view bytes);

/// A token request, or the requester's final confirmation of one.
using transfer_request =
    std::variant<budget::transfer_ask, budget::transfer_confirm>;

std::string encode(const transfer_request& message);
result<transfer_request> decode_transfer_request(std::string_view bytes);

std::string encode(const budget::transfer_reply& answer);
result<budget::transfer_reply> decode_transfer_response(std::string_view bytes);

/// The response is a boolean, see encode_bool().
std::string encode(const budget::ceiling_ask& message);
result<budget::ceiling_ask> decode_witness_request(std::string_view bytes);

/// The response is a boolean, see encode_bool().
std::string encode(const budget::copy_message& message);
result<budget::copy_message> decode_copies_request(std::string_view bytes);

std::string encode_bool(bool value);
result<bool> decode_bool(std::string_view bytes);

/// Suspect records that `sender` observed.
struct suspects_request
{
    incarnation_id sender;
    std::vector<request::suspect_record> records;
};

std::string encode(const suspects_request& message);
result<suspects_request> decode_suspects_request(std::string_view bytes);

std::string encode(const std::vector<request::suspect_ack>& acks);
result<std::vector<request::suspect_ack>>
decode_suspects_response(std::string_view bytes);

} // namespace fennelladder::peer

#endif
