// The books and the fold's answers to and from their stored form.
//
// Equal books have to encode equally on every machine: budgets come in order
// of their ids, holders and holdings in the order in which the fold made them,
// and keys in the order in which they expire, never in that of a hash table.

#include "fennelladder/budget/budget_books.hpp"

#include "budget_types.h"
#include "fennelladder/base/thrift_codec.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::budget {

namespace {

std::vector<std::int64_t> to_list(const std::set<std::uint64_t>& numbers)
{
    return {numbers.begin(), numbers.end()};
}

number_window to_window(std::int64_t low,
                        const std::vector<std::int64_t>& above)
{
    number_window made;
    made.restore(static_cast<std::uint64_t>(low), {above.begin(), above.end()});
    return made;
}

} // namespace

std::string budget_books::encode() const
{
    wire::books_state out;
    out.head = head_;
    for (const holder_entry& it : holders_) {
        wire::holder_state one;
        one.id = it.id.str();
        one.bill_low = static_cast<std::int64_t>(it.bills.low());
        one.bills = to_list(it.bills.above());
        one.transfer_low = static_cast<std::int64_t>(it.transfers.low());
        one.transfers = to_list(it.transfers.above());
        for (const incarnation_id& witness : it.witnesses)
            one.witnesses.push_back(witness.str());
        one.standing = static_cast<std::int32_t>(it.state);
        for (const incarnation_id& witness : it.waiting)
            one.waiting.push_back(witness.str());
        one.last_at = it.last_at;
        one.reason = it.reason;
        out.holders.push_back(std::move(one));
    }
    for (const auto& [id, entry] : budgets_) {
        wire::budget_state one;
        one.id = id.str();
        one.team = entry.team.str();
        one.topped_up = entry.topped_up;
        one.spent = entry.spent;
        one.uncollected = entry.uncollected;
        one.released = entry.released;
        for (const topup_id& known : entry.topup_ids)
            one.topup_ids.push_back(known.str());
        for (const holding_entry& it : entry.holdings) {
            wire::holding_state part;
            part.holder = static_cast<std::int32_t>(it.holder);
            part.granted = it.granted;
            part.taken = it.taken;
            part.returned = it.returned;
            part.given = it.given;
            part.billed = it.billed;
            part.ceiling = it.ceiling;
            part.closing = it.closing;
            one.holdings.push_back(part);
        }
        out.budgets.push_back(std::move(one));
    }
    for (const auto& [expires, key] : expiry_) {
        const auto it = keys_.find(key);
        if (it == keys_.end() || it->second.expires != expires)
            continue;
        wire::key_state one;
        one.key = key;
        one.phase = it->second.billed ? 1 : 0;
        one.holder = static_cast<std::int32_t>(it->second.holder);
        one.amount = it->second.amount;
        one.outcome = static_cast<std::int32_t>(it->second.outcome);
        one.expires = expires;
        one.answer = it->second.answer;
        out.keys.push_back(std::move(one));
    }
    return to_bytes(out);
}

status budget_books::decode(std::string_view bytes)
{
    const auto read = from_bytes<wire::books_state>(bytes);
    if (!read)
        return tl::unexpected<error>(read.error());
    budget_books made(options_);
    made.head_ = read->head;
    for (const wire::holder_state& it : read->holders) {
        const std::uint32_t index = made.intern(incarnation_id(it.id));
        holder_entry& one = made.holders_[index];
        one.bills = to_window(it.bill_low, it.bills);
        one.transfers = to_window(it.transfer_low, it.transfers);
        for (const std::string& witness : it.witnesses)
            one.witnesses.emplace_back(witness);
        one.state = static_cast<standing>(it.standing);
        for (const std::string& witness : it.waiting)
            one.waiting.emplace(witness);
        one.last_at = it.last_at;
        one.reason = it.reason;
        const bool newer = made.newest_ == no_holder ||
                           one.last_at > made.holders_[made.newest_].last_at;
        if (one.last_at > 0 && newer)
            made.newest_ = index;
    }
    const auto known = [&made](std::int32_t holder) {
        return holder >= 0 &&
               static_cast<std::size_t>(holder) < made.holders_.size();
    };
    for (const wire::budget_state& it : read->budgets) {
        budget_entry& one = made.budgets_[budget_id(it.id)];
        one.team = team_id(it.team);
        one.topped_up = it.topped_up;
        one.spent = it.spent;
        one.uncollected = it.uncollected;
        one.released = it.released;
        for (const std::string& id : it.topup_ids)
            one.topup_ids.emplace_back(id);
        for (const wire::holding_state& part : it.holdings) {
            if (!known(part.holder))
                return fail(error_code::corrupt, "holding of no holder");
            one.holdings.push_back(
                {.holder = static_cast<std::uint32_t>(part.holder),
                 .granted = part.granted,
                 .taken = part.taken,
                 .returned = part.returned,
                 .given = part.given,
                 .billed = part.billed,
                 .ceiling = part.ceiling,
                 .closing = part.closing});
        }
        if (!made.fits(one))
            return fail(error_code::corrupt, "budget " + it.id);
        made.recommit(one);
    }
    for (const wire::key_state& it : read->keys) {
        if (!known(it.holder))
            return fail(error_code::corrupt, "key of no holder");
        made.expiry_.emplace_back(it.expires, it.key);
        made.keys_[it.key] = {.billed = it.phase == 1,
                              .holder = static_cast<std::uint32_t>(it.holder),
                              .amount = it.amount,
                              .outcome = static_cast<bill_outcome>(it.outcome),
                              .expires = it.expires,
                              .answer = it.answer};
    }
    *this = std::move(made);
    return {};
}

std::string encode_outcome(const outcome& made)
{
    wire::reply out;
    out.what = static_cast<std::int32_t>(made.what);
    out.granted_total = made.granted_total.count();
    out.free = made.free.count();
    out.holders = static_cast<std::int32_t>(made.holders);
    out.closed = made.closed;
    out.sender = static_cast<std::int32_t>(made.sender);
    if (!made.key_owner.empty())
        out.__set_key_owner(made.key_owner.str());
    if (!made.gone.empty())
        out.__set_gone(made.gone.str());
    return to_bytes(out);
}

result<outcome> decode_outcome(std::string_view bytes)
{
    const auto read = from_bytes<wire::reply>(bytes);
    if (!read)
        return tl::unexpected<error>(read.error());
    if (read->what < 0 ||
        read->what > static_cast<std::int32_t>(verdict::invalid) ||
        read->sender < 0 ||
        read->sender > static_cast<std::int32_t>(standing::unknown))
        return fail(error_code::corrupt, "verdict of no known kind");
    outcome made;
    made.what = static_cast<verdict>(read->what);
    made.granted_total = tokens(read->granted_total);
    made.free = tokens(read->free);
    made.holders = static_cast<std::uint32_t>(read->holders);
    made.closed = read->closed;
    made.sender = static_cast<standing>(read->sender);
    made.key_owner = incarnation_id(read->key_owner);
    made.gone = incarnation_id(read->gone);
    return made;
}

} // namespace fennelladder::budget
