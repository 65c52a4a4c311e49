// The durable records of prepaid budgets, and their stored form.
//
// A record is a wish of one incarnation. The fold of a shard
// (budget_books.hpp) decides what it does. The journal sees to it that one
// that was sent again under the same mark counts once.
//
//     record_body wish = allot{.budget = budget_id("b"),
//                              .wish = tokens(50'000),
//                              .minimum = tokens(4'000)};
//     std::string payload = encode_record(wish);
//
// The holder of an allotment is the sender, so the record doesn't name it.
// Bills and transfers may be sent by others too (a peer flushes the bills of a
// node that died, giver or taker reports a transfer), so these carry the one
// whose word they are and a number of its own, and the fold takes each such
// number once, whoever sends it under whatever mark.

#ifndef FENNELLADDER_BUDGET_RECORDS_HPP
#define FENNELLADDER_BUDGET_RECORDS_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fennelladder::budget {

/// Longest id or key that a record may carry, in bytes.
constexpr std::size_t max_name_bytes = 256;

/// Longest answer stored with the bill of a call that may not be repeated.
constexpr std::size_t max_answer_bytes = 2048;

/// Largest amount in a record. Sums of many of them stay far from overflow.
constexpr tokens max_amount = tokens(std::int64_t(1) << 50);

/// How a request ended, as far as its bill is concerned.
enum class bill_outcome : std::uint8_t
{
    answered = 0, ///< Whole answer sent.
    failed = 1,   ///< It ran and failed, or its caller left.
    unknown = 2,  ///< It may have run; a later bill may settle it.
    not_run = 3   ///< Proved not to have run; frees the key again.
};

/// Prepays tokens. Folded once per id.
struct topup
{
    team_id team;
    budget_id budget;
    topup_id id;
    tokens amount;
};

/// Asks for tokens: the fold grants min(wish, free / spread), but not less
/// than `minimum`, or nothing at all when less than `minimum` is free.
/// `ceiling` also raises the holder's ceiling (see raise).
struct allot
{
    budget_id budget;
    tokens wish;
    tokens minimum;
    std::int32_t spread = 1; ///< How many others may want a slice.
    tokens ceiling;
};

/// Returns tokens that the holder has deducted already. `closing` says that
/// it keeps nothing, so its entry may be dropped once all bills are in.
struct give_back
{
    budget_id budget;
    tokens amount;
    bool closing = false;
};

/// The holder's promise: what it has spent, reserved and given away of this
/// budget, summed over the life of its entry, less what was transferred to it,
/// stays at or below `ceiling` until a higher one was recorded. Only grows.
struct raise
{
    budget_id budget;
    tokens ceiling;
};

/// The charge of one request.
struct bill
{
    incarnation_id biller;    ///< Empty in a stored record: the sender.
    std::uint64_t number = 0; ///< From 1, without gaps, of the biller in
                              ///< the shard.
    team_id team;
    request_key key;
    bool keyed = false; ///< The caller chose the key, so it may come again.
    budget_id budget;
    tokens amount;
    bill_outcome outcome = bill_outcome::answered;
    instant at;
    std::string answer; ///< Of calls that may not be repeated; may be empty.
};

/// Takes a request key before the request is dispatched; the first wins.
struct claim
{
    team_id team;
    request_key key;
    instant at;
};

/// Names a transfer in a shard: the giver, and a number that it gives to no
/// other one there.
struct transfer_id
{
    incarnation_id giver;
    std::uint64_t number = 0;

    friend auto operator<=>(const transfer_id&, const transfer_id&) = default;
};

/// Reports that tokens moved between two allotments. Sent by the taker, or by
/// the giver once the taker has confirmed.
struct transfer
{
    transfer_id id;
    budget_id budget;
    incarnation_id taker;
    tokens amount;
};

/// First record of an incarnation in a shard. The witnesses are the peers
/// that it may tell a raised ceiling instead of the journal. A later join
/// replaces them: an incarnation that changes witnesses first joins with old
/// and new ones, then records all its ceilings, and joins with the new ones
/// alone only when those records were applied.
struct join
{
    std::vector<incarnation_id> witnesses;
    instant at;
};

/// Asks that a holder that seems to be gone gets nothing more. Harmless when
/// wrong: the holder keeps what is below its ceiling.
struct fence
{
    incarnation_id holder;
    std::string reason;
};

/// A ceiling that a witness has vouched for.
struct witnessed_ceiling
{
    budget_id budget;
    tokens ceiling;
};

/// A witness's word on a fenced holder: all ceilings it has vouched for, and
/// that it will vouch for none from now on. Long lists take several records,
/// the last of which says so.
struct fence_ack
{
    incarnation_id holder;
    std::vector<witnessed_ceiling> ceilings;
    bool last = true;
};

/// An operator's word that a fenced holder has spent no more than it billed.
struct release
{
    incarnation_id holder;
    std::string person;
    std::string reason;
};

/// Last record of an incarnation that returned all and billed all.
struct leave
{};

using record_body =
    std::variant<topup, allot, give_back, raise, bill, claim, transfer, join,
                 fence, fence_ack, release, leave>;

/// Stored form of a record. Thread safe.
std::string encode_record(const record_body& body);

/// Reads a stored record. Fails with `corrupt`. Thread safe.
result<record_body> decode_record(std::string_view payload);

} // namespace fennelladder::budget

#endif
