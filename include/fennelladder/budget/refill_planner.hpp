// Decides when a node asks for tokens, of whom, how many, and when it gives
// them back. Events in, actions out; no clock, no socket, no lock.
//
//     planner.observe(level, now, actions);       // each polled level
//     if (!planner.on_short(budget, need, gap, now, actions))
//         refuse();                               // nobody has any
//     for (const refill_action& it : actions) ... // the node carries them out
//
// Each budget has a home in every data center, the first of homes_of(). Homes
// stock tokens from the books, so that a partition finds tokens on each side;
// the other nodes draw slices from their own home, in a message, and go to
// the books, then to the homes of other data centers and to nodes that were
// given slices, when the home has none. The planner remembers for a while who
// had none, so that an empty budget costs no messages.
//
// Sizes. A home's target is the demand of its data center, as seen by what it
// spends and gives, times `stock`; another node's is its own demand times
// `lead`. Refills start below half the target. The books cut every grant to a
// share of what is free (allot::spread), and homes cut every slice to a share
// of what they have, so slices shrink as a budget runs low and its last tokens
// stay where they can be found. Nodes return what they have not used.
//
// What the deployment weighs changes these sizes and how long a request may
// wait; never the bound, which the books and the table hold whatever the
// planner does.
//
// Not thread safe. Memory: about 300 bytes a budget with an entry.

#ifndef FENNELLADDER_BUDGET_REFILL_PLANNER_HPP
#define FENNELLADDER_BUDGET_REFILL_PLANNER_HPP

#include "fennelladder/budget/allotment_table.hpp"
#include "fennelladder/budget/budget_books.hpp"
#include "fennelladder/budget/transfer_ledger.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace fennelladder::budget {

/// What a deployment weighs more.
enum class preference : std::uint8_t
{
    overspend,    ///< Few tokens out of the books at any time.
    false_refusal ///< Few refusals while tokens are left somewhere.
};

/// Sizes and waits. policy_for() gives those of a preference.
struct refill_policy
{
    /// A node that is no home keeps tokens for this much of its demand.
    duration lead = seconds(20);

    /// A home keeps tokens for this much of its data center's demand.
    duration stock = hours(2);

    /// A home of a budget nobody draws on keeps one part in this many of
    /// what is free; 0: none.
    int idle_stock = 8;

    /// A grant takes at most one part in this many of what is free.
    int grant_spread = 3;

    /// Ceilings are raised for this much demand, but at least for
    /// `least_ceiling`. This is what a death strands.
    duration ceiling_ahead = seconds(20);
    tokens least_ceiling = tokens(8192);

    /// How long a request that is short may wait for tokens.
    duration patience = milliseconds(1500);

    /// Let it wait also when nobody is known to have any: requests that end
    /// free what they did not use.
    bool wait_when_empty = true;

    /// Tokens of a node that is no home go back after this long unused; of a
    /// budget that runs low, after `idle_low`.
    duration idle_after = minutes(5);
    duration idle_low = milliseconds(500);

    /// Who had none isn't asked again for this long.
    duration ask_again = milliseconds(300);

    /// A peer that did not answer isn't asked for anything for this long,
    /// doubled with each further time up to `silent_limit`.
    duration silent_first = milliseconds(500);
    duration silent_limit = seconds(10);

    /// Time constant of the demand's moving average.
    duration demand_window = minutes(3);
};

/// The sizes for a preference.
refill_policy policy_for(preference weight);

/// Where to look for tokens of a budget.
class home_directory
{
public:
    virtual ~home_directory() = default;

    /// The budget's home in each data center, the own data center's first,
    /// then the nearest. A hint: it may be stale and differ between nodes.
    virtual std::vector<incarnation_id>
    homes_of(const budget_id& budget) const = 0;
};

/// Put an allot record in the journal, and call granted() with its outcome.
/// On `applied`, table.raise_ceiling(record.ceiling), then credit_grant().
struct ask_books
{
    allot record;
};

/// Record a ceiling, in the journal or, if `by_witness`, with a witness; then
/// table.raise_ceiling() and raised().
struct record_ceiling
{
    raise record;
    bool by_witness = false;
};

/// Send an ask (transfer_ledger::ask) and call transferred() with its end, or
/// not_asked() if the ledger had no room for it.
struct ask_peer
{
    budget_id budget;
    incarnation_id peer;
    tokens wish;
    tokens need;
};

/// table.debit_return(), then a give_back record with what was deducted; on
/// an outcome that says `closed`, table.drop() and forget().
struct return_tokens
{
    budget_id budget;
    tokens amount;
    bool closing = false;
};

using refill_action =
    std::variant<ask_books, record_ceiling, ask_peer, return_tokens>;
using refill_actions = std::vector<refill_action>;

class refill_planner
{
public:
    /// `homes` must outlive the planner.
    refill_planner(const incarnation_id& self, const home_directory& homes,
                   const refill_policy& policy);

    const refill_policy& policy() const { return policy_; }

    /// Takes in a polled level and refills, raises or returns as needed.
    void observe(const allotment_level& level, instant now,
                 refill_actions& out);

    /// Looks at budgets that were not observed lately: returns what idles.
    /// Call about once a second.
    void tick(instant now, refill_actions& out);

    /// The budget exists or was topped up: homes stock some of it, and whoever
    /// had none may be asked again.
    void on_topup(const budget_id& budget, instant now, refill_actions& out);

    /// A request lacks tokens. True: wait for the actions (also earlier ones)
    /// and try again. False: nobody is known to have any.
    bool on_short(const allotment_level& level, tokens worst,
                  const shortfall& gap, instant now, refill_actions& out);

    /// End of an ask_books; made is nothing if the books can't be reached.
    void granted(const budget_id& budget, const outcome* made, instant now);

    /// End of a record_ceiling.
    void raised(const budget_id& budget);

    /// End of a return_tokens.
    void returned(const budget_id& budget);

    /// End of an ask_peer: what came, or nothing on time-out.
    void transferred(const transfer_ask& ask, const transfer_reply* reply,
                     instant now);

    /// An ask_peer that was not carried out.
    void not_asked(const budget_id& budget);

    /// Most to give for an ask. Notes the taker as one who may be asked back.
    /// `more_soon` says that the ceiling is in the way and is being raised, or
    /// that this home is gathering tokens itself.
    tokens most_to_give(const transfer_ask& ask, const allotment_level& level,
                        instant now, refill_actions& out, bool& more_soon);

    /// Whether the books can be reached. A ceiling on its way to books that
    /// can't be reached is told to a witness instead.
    void store_reachable(bool yes);

    /// The books have closed the entry.
    void forget(const budget_id& budget);

    std::size_t size() const { return plans_.size(); }

private:
    // What the planner knows of one budget.
    struct plan
    {
        double rate = 0; // tokens a second
        instant rated;
        instant seen;
        allotment_level level;
        bool home = false;
        bool asking_books = false;
        bool raising = false;
        bool returning = false;
        bool checking = false; // has an entry in checks_
        bool low = false;      // books or home had less than was wished for
        tokens free;    // at the books when they last refused; 0: unknown
        tokens minimum; // of the last wish sent to the books
        instant books_again;
        int asking_peers = 0;
        instant short_at; // when a request here lacked tokens last
        std::vector<std::pair<incarnation_id, instant>> peers_again;
        std::vector<incarnation_id> takers; // the latest, for asking back
    };

    plan& plan_of(const budget_id& budget, instant now);
    void take_level(plan& it, const allotment_level& level, instant now);
    bool short_of_capital(plan& it, tokens need, instant now,
                          refill_actions& out);
    tokens target(const plan& it) const;
    tokens ceiling_ahead(const plan& it) const;
    void want_ceiling(plan& it, tokens least, refill_actions& out);
    void refill(plan& it, instant now, refill_actions& out);
    void ask_from_books(plan& it, tokens wish, tokens need, int spread,
                        refill_actions& out);
    bool ask_next_peer(plan& it, const std::vector<incarnation_id>& peers,
                       tokens wish, tokens need, instant now,
                       refill_actions& out);
    bool may_ask(const plan& it, const incarnation_id& peer, instant now) const;
    void check_later(plan& it, instant at);
    void give_idle_back(plan& it, instant now, refill_actions& out);

    // A peer that did not answer lately.
    struct silence
    {
        duration wait{};
        instant until;
    };

    void note_answer(const incarnation_id& peer, bool answered, instant now);

    incarnation_id self_;
    const home_directory& homes_;
    refill_policy policy_;
    bool store_ok_ = true;
    std::unordered_map<budget_id, plan> plans_;
    std::unordered_map<incarnation_id, silence> silent_;
    // When to look at a budget again; an entry may be stale.
    std::multimap<instant, budget_id> checks_;
};

} // namespace fennelladder::budget

#endif
