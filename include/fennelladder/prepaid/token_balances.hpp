// The prepaid tokens that one node holds, by team. They were allotted in the
// platform's record (see allotment_record.hpp), so the node may spend them
// without asking, and all nodes together never spend more than was prepaid.
//
//     if (!balances.reserve(team, worst, now))
//         ... request tokens from a peer, or refuse ...
//     balances.settle(team, worst, used, now);
//
// Invariant: free + reserved + spent of a team equals what was credited minus
// what was debited; none of them is negative. What a node holds when it dies
// is lost to the team and not allotted again, since a holder that looks dead
// may still spend it.
//
// Not thread safe.

#ifndef FENNELLADDER_PREPAID_TOKEN_BALANCES_HPP
#define FENNELLADDER_PREPAID_TOKEN_BALANCES_HPP

#include "fennelladder/base/decaying_rate.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"

#include <map>

namespace fennelladder::prepaid {

/// What this node holds of one team.
struct holding
{
    tokens free;
    tokens reserved;
    tokens spent;
    /// Adapts quickly enough to a team whose traffic grows several times.
    decaying_rate spending{seconds(4)};
};

class token_balances
{
public:
    using holding_map = std::map<team_id, holding>;

    /// Reserves the most that a request can cost. Returns false and reserves
    /// nothing if less is free. Precondition: amount >= 0.
    bool reserve(const team_id& team, tokens amount, instant now);

    /// The request has ended and cost `used`. Precondition: `reserved` was
    /// reserved for it; 0 <= used <= reserved.
    void settle(const team_id& team, tokens reserved, tokens used, instant now);

    /// Adds tokens from the platform's record or from a peer.
    void credit(const team_id& team, tokens amount);

    /// Removes up to `wanted` free tokens for a peer. Returns the amount.
    tokens debit(const team_id& team, tokens wanted);

    /// Removes all free tokens. Returns the amount.
    tokens debit_all(const team_id& team);

    tokens free_of(const team_id& team) const;

    /// Tokens a second spent here recently. Reserved tokens count as spent
    /// until they are settled, so that a rise shows at once.
    double spending(const team_id& team, instant now) const;

    const holding_map& holdings() const { return holdings_; }

private:
    holding_map holdings_;
};

} // namespace fennelladder::prepaid

#endif
