// The prepaid tokens that one node holds, by team. They were taken out of the
// platform's record before (see allotment_record.hpp), so spending them needs
// nobody's consent, and what all nodes spend never exceeds what was prepaid.
//
//     if (!purse.reserve(team, worst))
//         ... ask a peer, or refuse ...
//     purse.settle(team, worst, used);
//
// Invariant: free + reserved + spent of a team equals what was credited minus
// what was debited; none of them is negative. What a node holds when it dies
// is lost to the team: a holder that looks dead may still spend.
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

/// What a node holds of one team.
struct holding
{
    tokens free;
    tokens reserved;
    tokens spent;
    /// Short enough to follow a team that begins to send several times as
    /// much.
    decaying_rate spending{seconds(4)};
};

class token_balances
{
public:
    using holding_map = std::map<team_id, holding>;

    /// Sets aside the most that a request can cost. False, and nothing set
    /// aside, if there is less. Precondition: amount >= 0.
    bool reserve(const team_id& team, tokens amount, instant now);

    /// The request is over and cost `used`. Precondition: `reserved` was set
    /// aside; 0 <= used <= reserved.
    void settle(const team_id& team, tokens reserved, tokens used, instant now);

    /// Tokens came from the platform's record or from a peer.
    void credit(const team_id& team, tokens amount);

    /// Takes out up to `wanted` to give to a peer.
    tokens debit(const team_id& team, tokens wanted);

    /// Takes out all that is free.
    tokens debit_all(const team_id& team);

    tokens free_of(const team_id& team) const;

    /// Tokens a second spent here lately. What is set aside counts as spent
    /// until it is settled, so that a rise shows at once.
    double spending(const team_id& team, instant now) const;

    const holding_map& holdings() const { return holdings_; }

private:
    holding_map holdings_;
};

} // namespace fennelladder::prepaid

#endif
