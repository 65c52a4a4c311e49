// What a node knows of the tokens that were drawn from the allotment record,
// by epoch.
//
//     ledger.raise({epoch, team, amount}, now);   // from a write or a peer
//     ledger.merge(other, now);
//     if (prepaid - ledger.total(team) >= wanted) ...
//
// An epoch is one uninterrupted run of the record. It begins when a node
// creates the record, or repairs it because the store was restored from an
// older copy, and it ends when the store loses writes. Within an epoch each
// write builds on the one before, so the amount drawn by then only grows, and
// of two known amounts the larger one is right. Amounts of different epochs
// were drawn independently and add up.
//
// A ledger is therefore a grow-only counter that is merged by the maximum of
// each epoch: in any order and any number of times, and knowledge that comes
// late is neither lost nor counted twice. It never shows more than was drawn.
//
// Only the latest epochs are kept apart. Older ones are summed; what a node
// learns of them later is ignored.
//
// Not thread safe.

#ifndef FENNELLADDER_PREPAID_ALLOTMENT_LEDGER_HPP
#define FENNELLADDER_PREPAID_ALLOTMENT_LEDGER_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"
#include "fennelladder/catalog/revision.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace fennelladder::prepaid {

using token_amounts = std::map<team_id, tokens>;

/// The team's amount; 0 if there is none. Thread safe.
tokens amount_of(const token_amounts& from, const team_id& team);

/// Identifies an epoch. The default is that of a record without epochs, which
/// stores without eras keep and nodes of earlier releases write.
struct allotment_epoch
{
    /// One more than the latest one known to the node that began it.
    std::uint64_t sequence = 0;
    std::uint64_t nonce = 0; ///< Tells epochs begun by two nodes apart.
    catalog::store_era era;  ///< Of the store when the epoch began.

    friend auto operator<=>(const allotment_epoch&,
                            const allotment_epoch&) = default;
};

/// At least `amount` tokens of the team were drawn in the epoch.
struct known_draw
{
    allotment_epoch epoch;
    team_id team;
    tokens amount;

    friend bool operator==(const known_draw&, const known_draw&) = default;
};

class allotment_ledger
{
public:
    /// Epochs kept apart, counted from the latest.
    static constexpr std::uint64_t kept_epochs = 4;

    allotment_ledger() = default;

    /// A ledger whose latest epoch is `latest`, with the sum of the epochs that
    /// are no longer kept apart by then.
    allotment_ledger(const allotment_epoch& latest, token_amounts settled)
        : settled_(std::move(settled)), latest_(latest)
    {}

    /// Takes over what is more than known. Returns whether anything was.
    bool raise(const known_draw& draw, instant now);
    bool merge(const allotment_ledger& other, instant now);

    /// Takes over totals that were recorded without epochs: what they have more
    /// than this ledger was drawn in the epoch of such records.
    void raise_total(const token_amounts& totals, instant now);

    tokens total(const team_id& team) const;
    token_amounts totals() const;

    /// Drawn in one epoch, as far as known.
    tokens drawn(const allotment_epoch& epoch, const team_id& team) const;

    /// The amounts of each epoch that is kept apart.
    std::map<allotment_epoch, token_amounts> epochs() const;
    const token_amounts& settled() const { return settled_; }

    /// The latest known epoch.
    allotment_epoch latest() const { return latest_; }

    /// Whether this ledger knows more than `other` of any team.
    bool exceeds(const allotment_ledger& other) const;

    /// What was learnt since `since`.
    std::vector<known_draw> learnt_since(instant since) const;

private:
    struct entry
    {
        tokens amount;
        instant learnt;
    };

    bool is_settled(const allotment_epoch& epoch) const;
    void advance_to(const allotment_epoch& epoch);

    std::map<allotment_epoch, std::map<team_id, entry>> drawn_;
    token_amounts settled_;
    allotment_epoch latest_;
};

} // namespace fennelladder::prepaid

#endif
