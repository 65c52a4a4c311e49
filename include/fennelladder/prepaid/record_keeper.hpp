// What a node may do with the allotment record that the store holds: whether it
// may draw from it, and how it repairs it after the store was restored from an
// older copy.
//
//     record_keeper keeper(host, "17.");
//     keeper.accept(read, at, now);
//     if (keeper.needs_repair() && may_repair(...))
//         ... write keeper.draft_repair(nonce) ...
//     if (const auto draft = keeper.draft_withdrawal(prepaid, requested))
//         ... write it; keeper.end_write(...) ...
//     for (claims that other nodes know of) ... credit ...
//
// Three things hold whatever the store loses:
//   - Tokens are drawn only from a record whose epoch began in the store's
//     present era. The node that begins it writes all that is known of earlier
//     draws (see allotment_ledger.hpp).
//   - A write that was sent in an earlier era is never credited by its mark:
//     the revision that it expects may have been assigned again to another
//     content, and it may overwrite that. The record then shows an earlier
//     epoch, and is repaired.
//   - A draw of an earlier era that wasn't credited in time is credited once
//     the record of the present era counts it, and stays within the prepaid
//     tokens.
//
// Pure: the caller makes the calls and passes the present time. Not thread
// safe.

#ifndef FENNELLADDER_PREPAID_RECORD_KEEPER_HPP
#define FENNELLADDER_PREPAID_RECORD_KEEPER_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/prepaid/allotment_ledger.hpp"
#include "fennelladder/prepaid/allotment_record.hpp"

#include <optional>
#include <string>
#include <vector>

namespace fennelladder::prepaid {

/// A write of the record on the condition that it is as of `expected`.
struct record_write
{
    allotment_record record;
    token_amounts granted;
    write_id mark;
    /// Of the record that it replaces; count 0: creates the record.
    catalog::revision expected;
};

/// Most draws of a claim, so that they fit a message.
inline constexpr std::size_t max_claim_draws = 32;

/// Tokens drawn by a write that took effect, not credited yet.
struct token_claim
{
    token_amounts granted;
    std::vector<known_draw> draws; ///< What other nodes have to know.
    catalog::store_era era;
    /// Number of the report to other nodes; 0: none yet.
    std::uint64_t report = 0;
};

/// The record as an answer of the store shows it.
struct shown_record
{
    allotment_record record;
    catalog::revision at;
};

class record_keeper
{
public:
    /// `mark_prefix` makes the marks of this process differ from those of
    /// others on its host.
    record_keeper(host_id self, std::string mark_prefix);

    /// Notes the store's era. In a later one than before, the record has to be
    /// read again. Earlier eras are ignored.
    void enter_era(const catalog::store_era& era, instant now);

    const catalog::store_era& era() const { return era_; }

    /// Takes a record that was read. Fails, and changes nothing, if it is of an
    /// earlier era, or can't have followed on the known one in the same epoch:
    /// accepting it would allot tokens again that teams have already spent.
    status accept(const shown_record& read, instant now);

    /// Notes that the store has no record. Fails if it had one in this era.
    status accept_missing(const catalog::store_era& era, instant now);

    /// Whether the record may be drawn from.
    bool is_usable() const { return state_ == state::usable; }

    /// Whether the record was read in this era and has to be written with all
    /// that is known before anybody draws.
    bool needs_repair() const { return state_ == state::to_repair; }

    /// Whether the store had no record when it was last read.
    bool is_missing() const { return needs_repair() && at_.value() == 0; }

    /// The last record that was usable; unset if there was none.
    const std::optional<allotment_record>& record() const { return record_; }

    /// Revision of the record as last accepted.
    const catalog::revision& record_at() const { return at_; }

    /// All draws that this node knows of.
    const allotment_ledger& ledger() const { return ledger_; }

    /// Adds draws that another node knows of. Returns whether any was news.
    bool learn(const std::vector<known_draw>& draws, instant now);

    /// Whether the usable record lacks draws that are known.
    bool is_behind() const { return is_usable() && behind_; }

    /// Precondition: needs_repair().
    record_write draft_repair(std::uint64_t nonce) const;

    /// A write that draws as much of `requested` as remains, and adds what the
    /// record lacks; unset if there is nothing to write. Precondition:
    /// is_usable().
    std::optional<record_write>
    draft_withdrawal(const token_amounts& prepaid,
                     const token_amounts& requested);

    /// The write's outcome is unknown.
    void note_in_doubt(const record_write& write);

    const std::optional<record_write>& in_doubt() const { return in_doubt_; }

    /// The store answered the write with the record. Returns whether the write
    /// took effect; its claim is added then. If the record can't be accepted,
    /// the write is in doubt.
    bool end_write(const record_write& write,
                   const std::optional<shown_record>& shown, instant now);

    /// Checks the write in doubt against the record as last accepted. Returns
    /// true if its outcome is known now. Precondition: in_doubt().
    bool resolve_in_doubt();

    /// Removes the first claim of this era that may be credited, and returns
    /// it. None is while more is known to be drawn than was prepaid: the record
    /// was repaired without that knowledge.
    std::optional<token_claim> take_claim(const token_amounts& prepaid);

    /// Gives back a claim that other nodes couldn't be told of.
    void return_claim(token_claim claim);

    /// Removes the claims of earlier eras that the usable record counts, and
    /// returns their tokens.
    token_amounts take_covered_claims(const token_amounts& prepaid);

    bool has_claims() const { return !claims_.empty(); }

private:
    enum class state : std::uint8_t
    {
        unread, ///< In this era.
        usable,
        to_repair
    };

    bool is_current(const shown_record& read) const;
    void learn_from(const shown_record& read, instant now);
    void add_claim(const record_write& write);
    bool is_within(const token_claim& claim,
                   const token_amounts& prepaid) const;
    bool covers(const token_claim& claim) const;

    host_id self_;
    std::string mark_prefix_;
    std::uint64_t writes_ = 0;
    catalog::store_era era_;
    state state_ = state::unread;
    std::optional<allotment_record> record_; ///< As last usable.
    catalog::store_era record_era_;          ///< In which it was.
    catalog::revision at_;
    allotment_ledger ledger_;
    bool behind_ = false; ///< The ledger may exceed the record.
    std::optional<record_write> in_doubt_;
    std::vector<token_claim> claims_;
};

} // namespace fennelladder::prepaid

#endif
