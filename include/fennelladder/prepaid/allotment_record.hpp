// How much of each team's prepaid tokens has been allotted to nodes: the single
// durable record behind the token balances of all nodes.
//
//     allotment_draft draft =
//         draft_allotment(record, prepaid, requested, writer, id);
//     ... conditional write of draft.record ...
//     on success: balances.credit(each of draft.granted)
//     no answer:  read back; contains_write(read, writer, id) decides
//
// Invariant: the amount allotted to a team never exceeds what was prepaid in
// the configuration that the writer knows. Each writer raises amounts on the
// condition that the record hasn't changed since it was read, so two writers
// can't allot the same tokens.
//
// A lost reply leaves it unknown whether a write took effect. Each write leaves
// its id in the record: a reader that finds the id knows that the write took
// effect; one that finds a later revision of the same era without the id knows
// that it never will.
//
// The record carries the epoch in which it is written and what was drawn in
// each epoch before (see allotment_ledger.hpp). A record of an epoch that began
// in an earlier era of the store may lack writes; record_keeper.hpp decides how
// it is repaired. Nodes of earlier releases read and write the totals only.
//
// All functions are pure and thread safe.

#ifndef FENNELLADDER_PREPAID_ALLOTMENT_RECORD_HPP
#define FENNELLADDER_PREPAID_ALLOTMENT_RECORD_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/tokens.hpp"
#include "fennelladder/prepaid/allotment_ledger.hpp"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fennelladder::prepaid {

/// Identifies one write: the writer's incarnation and a number.
using write_id = std::string;

struct allotment_record
{
    token_amounts allotted;                 ///< In all epochs.
    std::map<host_id, write_id> last_write; ///< Of each node.
    allotment_epoch epoch;                  ///< In which it was written.
    /// The parts of `allotted` that were drawn in earlier epochs; those of the
    /// oldest are summed.
    std::map<allotment_epoch, token_amounts> earlier;
    token_amounts settled;

    friend bool operator==(const allotment_record&,
                           const allotment_record&) = default;
};

struct allotment_draft
{
    allotment_record record;
    token_amounts granted; ///< Only teams that get some.
};

/// Raises `record` by each requested amount, as far as prepaid tokens are left.
allotment_draft draft_allotment(const allotment_record& record,
                                const token_amounts& prepaid,
                                const token_amounts& requested,
                                const host_id& writer, const write_id& id);

/// What the record shows of the draws in each epoch.
allotment_ledger ledger_of(const allotment_record& record, instant now);

/// A record of `epoch` with all that the ledger knows. `epoch` may be a new one
/// or the ledger's latest.
allotment_record record_of(const allotment_ledger& ledger,
                           const allotment_epoch& epoch);

/// What the record shows of the draws of a team in one epoch.
tokens drawn_in(const allotment_record& record, const allotment_epoch& epoch,
                const team_id& team);

/// Whether the record contains the write `id` of `writer`.
bool contains_write(const allotment_record& record, const host_id& writer,
                    const write_id& id);

/// Prepaid tokens not allotted yet; 0 for a team that isn't prepaid.
tokens unallotted(const allotment_record& record, const token_amounts& prepaid,
                  const team_id& team);

/// Whether `later` may be a successor of `earlier`: no team's amount is less.
bool may_follow(const allotment_record& earlier, const allotment_record& later);

/// More than any team prepays; sums of amounts below it don't overflow.
inline constexpr tokens max_allotted(1'000'000'000'000'000);

nlohmann::json to_json(const allotment_record& record);

/// Fails with `corrupt` on anything but the output of to_json() with amounts
/// from 0 to max_allotted, or of that of an earlier release, which has no
/// epochs; nothing may be allotted then. A record with a missing part must not
/// be taken for one in which nothing was allotted.
result<allotment_record> allotment_from_json(const nlohmann::json& content);

} // namespace fennelladder::prepaid

#endif
