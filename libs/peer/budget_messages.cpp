// Messages about budgets. A bill is sent in its stored encoding, so that a copy
// is identical to the record that the journal would have got from the biller.

#include "fennelladder/peer/messages.hpp"

#include "fennelladder/base/thrift_codec.hpp"
#include "peer_types.h"

namespace fennelladder::peer {

namespace {

constexpr std::string_view true_bytes = "y";
constexpr std::string_view false_bytes = "n";

std::uint64_t to_unsigned(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

std::int64_t to_signed(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

wire::transfer_question to_wire(const budget::transfer_ask& ask)
{
    wire::transfer_question out;
    out.taker = ask.taker.str();
    out.giver = ask.giver.str();
    out.number = to_signed(ask.number);
    out.budget = ask.budget.str();
    out.wish = ask.wish.count();
    out.need = ask.need.count();
    out.word = false;
    return out;
}

wire::transfer_question to_wire(const budget::transfer_confirm& confirmation)
{
    wire::transfer_question out;
    out.taker = confirmation.taker.str();
    out.giver = confirmation.giver.str();
    out.number = to_signed(confirmation.ask);
    out.word = true;
    out.credited = confirmation.credited;
    return out;
}

} // namespace

std::string encode(const transfer_request& message)
{
    return std::visit([](const auto& it) { return to_bytes(to_wire(it)); },
                      message);
}

result<transfer_request> decode_transfer_request(std::string_view bytes)
{
    wire::transfer_question in;
    if (auto ok = from_bytes(bytes, in); !ok)
        return tl::unexpected(ok.error());
    if (in.word)
        return transfer_request(
            budget::transfer_confirm{.taker = incarnation_id(in.taker),
                                     .giver = incarnation_id(in.giver),
                                     .ask = to_unsigned(in.number),
                                     .credited = in.credited});
    return transfer_request(
        budget::transfer_ask{.taker = incarnation_id(in.taker),
                             .giver = incarnation_id(in.giver),
                             .number = to_unsigned(in.number),
                             .budget = budget_id(in.budget),
                             .wish = tokens(in.wish),
                             .need = tokens(in.need)});
}

std::string encode(const budget::transfer_reply& answer)
{
    wire::transfer_answer out;
    out.ask = to_signed(answer.ask);
    out.giver = answer.id.giver.str();
    out.number = to_signed(answer.id.number);
    out.amount = answer.amount.count();
    out.more_soon = answer.more_soon;
    return to_bytes(out);
}

result<budget::transfer_reply> decode_transfer_response(std::string_view bytes)
{
    wire::transfer_answer in;
    if (auto ok = from_bytes(bytes, in); !ok)
        return tl::unexpected(ok.error());
    if (in.amount < 0)
        return fail(error_code::corrupt, "negative amount in a token transfer");
    budget::transfer_reply answer;
    answer.ask = to_unsigned(in.ask);
    answer.id.giver = incarnation_id(in.giver);
    answer.id.number = to_unsigned(in.number);
    answer.amount = tokens(in.amount);
    answer.more_soon = in.more_soon;
    return answer;
}

std::string encode(const budget::ceiling_ask& message)
{
    wire::witness_question out;
    out.holder = message.holder.str();
    out.witness = message.witness.str();
    out.budget = message.budget.str();
    out.ceiling = message.ceiling.count();
    return to_bytes(out);
}

result<budget::ceiling_ask> decode_witness_request(std::string_view bytes)
{
    wire::witness_question in;
    if (auto ok = from_bytes(bytes, in); !ok)
        return tl::unexpected(ok.error());
    return budget::ceiling_ask{.holder = incarnation_id(in.holder),
                               .witness = incarnation_id(in.witness),
                               .budget = budget_id(in.budget),
                               .ceiling = tokens(in.ceiling)};
}

std::string encode(const budget::copy_message& message)
{
    wire::copies_question out;
    out.biller = message.biller.str();
    for (const budget::shard_bill& it : message.bills) {
        wire::bill_copy one;
        one.shard = to_signed(it.shard.value());
        one.bill = budget::encode_record(it.charge);
        out.bills.push_back(std::move(one));
    }
    for (const auto& [shard, number] : message.done_up_to)
        out.done_up_to[to_signed(shard.value())] = to_signed(number);
    return to_bytes(out);
}

result<budget::copy_message> decode_copies_request(std::string_view bytes)
{
    wire::copies_question in;
    if (auto ok = from_bytes(bytes, in); !ok)
        return tl::unexpected(ok.error());
    budget::copy_message message;
    message.biller = incarnation_id(in.biller);
    for (const wire::bill_copy& it : in.bills) {
        auto body = budget::decode_record(it.bill);
        if (!body)
            return tl::unexpected(body.error());
        const auto* charge = std::get_if<budget::bill>(&*body);
        if (charge == nullptr)
            return fail(error_code::corrupt, "copied record is not a bill");
        message.bills.push_back({shard_id(to_unsigned(it.shard)), *charge});
    }
    for (const auto& [shard, number] : in.done_up_to)
        message.done_up_to[shard_id(to_unsigned(shard))] = to_unsigned(number);
    return message;
}

std::string encode_bool(bool value)
{
    return std::string(value ? true_bytes : false_bytes);
}

result<bool> decode_bool(std::string_view bytes)
{
    if (bytes != true_bytes && bytes != false_bytes)
        return fail(error_code::corrupt,
                    "boolean message is neither \"y\" nor \"n\"");
    return bytes == true_bytes;
}

} // namespace fennelladder::peer
