// How much of each team's prepaid tokens was handed out to nodes so far: the
// one durable record behind all purses.
//
//     allotment_draft draft = draft_allotment(record, config, wishes, mark);
//     ... conditional write of draft.record ...
//     on success: purse.credit(each of draft.granted)
//     no answer:  read back; contains_write(read, mark) decides
//
// Invariant: the amount allotted of a team never exceeds what was prepaid in
// the configuration that the writer knows. Each writer raises amounts under
// the condition that the record hasn't changed since it was read, so two
// writers can't hand out the same tokens.
//
// A lost reply doesn't say whether a write took effect. Each write leaves its
// writer's mark; a reader that finds the mark knows that it did, one that
// finds another revision without the mark knows that it never will.
//
// All functions are pure and thread safe.

#ifndef FENNELLADDER_PREPAID_ALLOTMENT_RECORD_HPP
#define FENNELLADDER_PREPAID_ALLOTMENT_RECORD_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/tokens.hpp"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fennelladder::prepaid {

/// Names one write: the writer's incarnation and a number.
using write_id = std::string;

struct allotment_record
{
    std::map<team_id, tokens> allotted;
    std::map<host_id, write_id> last_write; ///< Of each node.

    friend bool operator==(const allotment_record&,
                           const allotment_record&) = default;
};

using token_amounts = std::map<team_id, tokens>;

struct allotment_draft
{
    allotment_record record;
    token_amounts granted; ///< Only teams that get some.
};

/// Raises `record` by as much of each wish as is left of what was prepaid.
allotment_draft draft_allotment(const allotment_record& record,
                                const token_amounts& prepaid,
                                const token_amounts& wishes,
                                const host_id& writer, const write_id& mark);

/// Whether the write named by `mark` is in the record.
bool contains_write(const allotment_record& record, const host_id& writer,
                    const write_id& mark);

/// What is left to hand out; 0 for a team that isn't prepaid.
tokens unallotted(const allotment_record& record, const token_amounts& prepaid,
                  const team_id& team);

/// Whether `later` can have come after `earlier`: no team's amount is less.
bool may_follow(const allotment_record& earlier, const allotment_record& later);

/// More than any team prepays; below it sums don't overflow.
inline constexpr tokens max_allotted(1'000'000'000'000'000);

nlohmann::json to_json(const allotment_record& record);

/// Fails with `corrupt` on anything but what to_json() makes, with amounts
/// from 0 to max_allotted: then nothing may be handed out. A record in which
/// something is missing must not count as one in which nothing was allotted.
result<allotment_record> allotment_from_json(const nlohmann::json& content);

} // namespace fennelladder::prepaid

#endif
