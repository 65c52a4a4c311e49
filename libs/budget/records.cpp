// Records to and from their stored form.
//
// A record is one field of the Thrift union `body`; which one says its kind.
// Each kind has a pair of functions, to_wire and from_wire, picked by overload.

#include "fennelladder/budget/records.hpp"

#include "budget_types.h"
#include "fennelladder/base/thrift_codec.hpp"

#include <utility>

namespace fennelladder::budget {

namespace {

void to_wire(const topup& it, wire::body& out)
{
    wire::topup made;
    made.team = it.team.str();
    made.budget = it.budget.str();
    made.id = it.id.str();
    made.amount = it.amount.count();
    out.__set_topup_(made);
}

topup from_wire(const wire::topup& it)
{
    return {.team = team_id(it.team),
            .budget = budget_id(it.budget),
            .id = topup_id(it.id),
            .amount = tokens(it.amount)};
}

void to_wire(const allot& it, wire::body& out)
{
    wire::allot made;
    made.budget = it.budget.str();
    made.wish = it.wish.count();
    made.minimum = it.minimum.count();
    made.spread = it.spread;
    made.ceiling = it.ceiling.count();
    out.__set_allot_(made);
}

allot from_wire(const wire::allot& it)
{
    return {.budget = budget_id(it.budget),
            .wish = tokens(it.wish),
            .minimum = tokens(it.minimum),
            .spread = it.spread,
            .ceiling = tokens(it.ceiling)};
}

void to_wire(const give_back& it, wire::body& out)
{
    wire::give_back made;
    made.budget = it.budget.str();
    made.amount = it.amount.count();
    made.closing = it.closing;
    out.__set_give_back_(made);
}

give_back from_wire(const wire::give_back& it)
{
    return {.budget = budget_id(it.budget),
            .amount = tokens(it.amount),
            .closing = it.closing};
}

void to_wire(const raise& it, wire::body& out)
{
    wire::raise_ceiling made;
    made.budget = it.budget.str();
    made.ceiling = it.ceiling.count();
    out.__set_raise_(made);
}

raise from_wire(const wire::raise_ceiling& it)
{
    return {.budget = budget_id(it.budget), .ceiling = tokens(it.ceiling)};
}

void to_wire(const bill& it, wire::body& out)
{
    wire::bill made;
    made.team = it.team.str();
    made.key = it.key.str();
    made.keyed = it.keyed;
    made.budget = it.budget.str();
    made.amount = it.amount.count();
    made.outcome = static_cast<std::int32_t>(it.outcome);
    made.at = to_nanoseconds(it.at);
    made.number = static_cast<std::int64_t>(it.number);
    if (!it.answer.empty())
        made.__set_answer(it.answer);
    if (!it.biller.empty())
        made.__set_biller(it.biller.str());
    out.__set_bill_(made);
}

bill from_wire(const wire::bill& it)
{
    return {.biller = incarnation_id(it.biller),
            .number = static_cast<std::uint64_t>(it.number),
            .team = team_id(it.team),
            .key = request_key(it.key),
            .keyed = it.keyed,
            .budget = budget_id(it.budget),
            .amount = tokens(it.amount),
            .outcome = static_cast<bill_outcome>(it.outcome),
            .at = from_nanoseconds(it.at),
            .answer = it.answer};
}

void to_wire(const claim& it, wire::body& out)
{
    wire::claim made;
    made.team = it.team.str();
    made.key = it.key.str();
    made.at = to_nanoseconds(it.at);
    out.__set_claim_(made);
}

claim from_wire(const wire::claim& it)
{
    return {.team = team_id(it.team),
            .key = request_key(it.key),
            .at = from_nanoseconds(it.at)};
}

void to_wire(const transfer& it, wire::body& out)
{
    wire::transfer made;
    made.budget = it.budget.str();
    made.taker = it.taker.str();
    made.amount = it.amount.count();
    made.giver = it.id.giver.str();
    made.number = static_cast<std::int64_t>(it.id.number);
    out.__set_transfer_(made);
}

transfer from_wire(const wire::transfer& it)
{
    return {
        .id = {incarnation_id(it.giver), static_cast<std::uint64_t>(it.number)},
        .budget = budget_id(it.budget),
        .taker = incarnation_id(it.taker),
        .amount = tokens(it.amount)};
}

void to_wire(const join& it, wire::body& out)
{
    wire::join made;
    for (const incarnation_id& witness : it.witnesses)
        made.witnesses.push_back(witness.str());
    made.at = to_nanoseconds(it.at);
    out.__set_join_(made);
}

join from_wire(const wire::join& it)
{
    join made;
    for (const std::string& witness : it.witnesses)
        made.witnesses.emplace_back(witness);
    made.at = from_nanoseconds(it.at);
    return made;
}

void to_wire(const fence& it, wire::body& out)
{
    wire::fence made;
    made.holder = it.holder.str();
    made.reason = it.reason;
    out.__set_fence_(made);
}

fence from_wire(const wire::fence& it)
{
    return {.holder = incarnation_id(it.holder), .reason = it.reason};
}

void to_wire(const fence_ack& it, wire::body& out)
{
    wire::fence_ack made;
    made.holder = it.holder.str();
    made.last = it.last;
    for (const witnessed_ceiling& vouched : it.ceilings) {
        wire::witnessed one;
        one.budget = vouched.budget.str();
        one.ceiling = vouched.ceiling.count();
        made.ceilings.push_back(std::move(one));
    }
    out.__set_fence_ack_(made);
}

fence_ack from_wire(const wire::fence_ack& it)
{
    fence_ack made{
        .holder = incarnation_id(it.holder), .ceilings = {}, .last = it.last};
    for (const wire::witnessed& vouched : it.ceilings) {
        made.ceilings.push_back(
            {budget_id(vouched.budget), tokens(vouched.ceiling)});
    }
    return made;
}

void to_wire(const release& it, wire::body& out)
{
    wire::release made;
    made.holder = it.holder.str();
    made.person = it.person;
    made.reason = it.reason;
    out.__set_release_(made);
}

release from_wire(const wire::release& it)
{
    return {.holder = incarnation_id(it.holder),
            .person = it.person,
            .reason = it.reason};
}

void to_wire(const leave&, wire::body& out)
{
    out.__set_leave_({});
}

} // namespace

std::string encode_record(const record_body& body)
{
    wire::body made;
    std::visit([&made](const auto& it) { to_wire(it, made); }, body);
    return to_bytes(made);
}

result<record_body> decode_record(std::string_view payload)
{
    const auto read = from_bytes<wire::body>(payload);
    if (!read)
        return tl::unexpected<error>(read.error());
    const wire::body& it = *read;
    if (it.__isset.topup_)
        return from_wire(it.topup_);
    if (it.__isset.allot_)
        return from_wire(it.allot_);
    if (it.__isset.give_back_)
        return from_wire(it.give_back_);
    if (it.__isset.raise_)
        return from_wire(it.raise_);
    if (it.__isset.bill_)
        return from_wire(it.bill_);
    if (it.__isset.claim_)
        return from_wire(it.claim_);
    if (it.__isset.transfer_)
        return from_wire(it.transfer_);
    if (it.__isset.join_)
        return from_wire(it.join_);
    if (it.__isset.fence_)
        return from_wire(it.fence_);
    if (it.__isset.fence_ack_)
        return from_wire(it.fence_ack_);
    if (it.__isset.release_)
        return from_wire(it.release_);
    if (it.__isset.leave_)
        return leave{};
    return fail(error_code::corrupt, "record of no known kind");
}

} // namespace fennelladder::budget
