// One node's part in the prepaid budgets: puts table, planner, transfers,
// witnesses and bills together. Events in, messages out.
//
//     agent_output out;
//     admission made = agent.admit(budget, worst, now, out);
//     if (made.held)
//         ... run it; agent.finish(std::move(*made.held), bill, now) ...
//     else if (made.wait)
//         ... until out.woken of a later event names the budget, or patience
//         runs out; then admit again, or answer "not run" ...
//     carry_out(out);
//
// The node carries out what is in `out`: puts records in the journal and calls
// on_outcome(), sends asks, words, copies and ceilings to peers and calls the
// event of each answer. Every message may be lost, doubled or late; the node
// repeats nothing by itself, since tick() does.
//
// Thread safety: admit(), finish() and table() may be called from any thread
// at any time and take only the table's own locks on the way that succeeds;
// everything else is behind one mutex, taken before the table's locks and
// never while a call goes out.

#ifndef FENNELLADDER_BUDGET_BUDGET_AGENT_HPP
#define FENNELLADDER_BUDGET_BUDGET_AGENT_HPP

#include "fennelladder/budget/allotment_table.hpp"
#include "fennelladder/budget/bill_keeper.hpp"
#include "fennelladder/budget/refill_planner.hpp"
#include "fennelladder/budget/transfer_ledger.hpp"
#include "fennelladder/budget/witness_ledger.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelladder::budget {

/// Limits of an agent, and the weights of its deployment.
struct agent_options
{
    refill_policy refill;
    transfer_options transfers;
    bill_options bills;
    witness_options witnesses;

    /// Bills of one shard under way to the journal at a time.
    std::size_t bills_in_flight = 1000;

    /// Copies in one message to the peer that keeps them.
    std::size_t copies_per_message = 200;
};

/// A record for the journal of a shard.
struct book_wish
{
    shard_id shard;
    record_body body;
};

/// Asks a witness to agree to a ceiling.
struct ceiling_ask
{
    incarnation_id holder;
    incarnation_id witness;
    budget_id budget;
    tokens ceiling;
};

/// Copies of bills for a peer, and which older ones are done with.
struct copy_message
{
    incarnation_id biller;
    std::vector<shard_bill> bills;
    std::map<shard_id, std::uint64_t> done_up_to;
};

/// What the node has to carry out. Events add to it.
struct agent_output
{
    std::vector<book_wish> wishes;
    std::vector<transfer_ask> asks;
    std::vector<transfer_confirm> words;
    std::vector<ceiling_ask> ceilings;
    std::vector<copy_message> copies; ///< To the peer that keeps copies.
    std::vector<budget_id> woken;     ///< Requests short of these: try again.
    bool fenced = false; ///< The books get nothing more from this incarnation:
                         ///< finish what runs and start anew.
};

/// May a request run?
struct admission
{
    std::optional<reservation> held; ///< Yes.
    bool wait = false;               ///< Not yet. Otherwise: no.
};

class budget_agent
{
public:
    using shard_function = std::function<shard_id(const budget_id&)>;

    /// `homes` must outlive the agent and may be called from any thread.
    budget_agent(const incarnation_id& self, const home_directory& homes,
                 shard_function shard_of, const agent_options& options = {});

    const incarnation_id& self() const { return self_; }

    allotment_table& table() { return table_; }

    duration patience() const { return options_.refill.patience; }

    // -- requests

    /// Sets the worst case aside, or says whether waiting may help.
    admission admit(const budget_id& budget, tokens worst, instant now,
                    agent_output& out);

    /// Settles at bill.amount and keeps the bill. Returns what was charged;
    /// the bill carries that. Precondition: held.active().
    settlement finish(reservation held, bill charge, instant now);

    /// Frees a reservation of a request that was proved not to have run.
    void cancel(reservation held);

    /// The outcome is unknown; keep the reservation until finish().
    void hold(reservation& held) { table_.hold(held); }

    /// Bills fill the memory set aside for them: admit nothing more.
    bool overfull() const;

    // -- time and surroundings

    /// Polls the table and repeats what has had no answer. Call about every
    /// 100 ms.
    void tick(instant now, agent_output& out);

    /// Whether the journal takes records.
    void set_store_reachable(bool yes);

    /// Peers that may vouch for ceilings, best in another data center. A
    /// change is recorded before it is relied on.
    void set_witnesses(std::vector<incarnation_id> witnesses, instant now);

    /// A budget exists or was topped up.
    void on_topup(const budget_id& budget, instant now, agent_output& out);

    /// Puts everything back that is not in use; for a graceful shutdown. Call
    /// until done().
    void drain(instant now, agent_output& out);

    /// Nothing is out, no bill or report waits.
    bool done() const;

    // -- answers

    /// A wish came out as `made`. Null: it is provably not in the journal, or
    /// it was one that is safe to send again. `replayed` for a give_back: the
    /// journal has it and doesn't keep how it came out.
    void on_outcome(const book_wish& wish, const outcome* made, instant now,
                    agent_output& out);

    /// An ask was answered; null: no answer came in time (it is repeated with
    /// the same number until the ledger gives up).
    void on_reply(const transfer_ask& ask, const transfer_reply* reply,
                  instant now, agent_output& out);

    /// The giver has our word.
    void on_word_taken(const transfer_confirm& word);

    void on_ceiling(const ceiling_ask& ask, bool agreed, instant now,
                    agent_output& out);

    /// The peer has (or has no room for) the copies.
    void on_copied(const copy_message& sent, bool kept);

    // -- requests of peers

    transfer_reply give(const transfer_ask& ask, instant now,
                        agent_output& out);
    void take_word(const transfer_confirm& word);
    bool vouch(const ceiling_ask& ask);
    bool keep_copies(const copy_message& message);

    /// The books of `shard` wait for this node's word on a fenced holder.
    void on_fence_awaited(shard_id shard, const incarnation_id& holder,
                          agent_output& out);

    /// A node is gone for good: brings its bills and transfers to the books.
    void on_gone(const incarnation_id& node, agent_output& out);

    /// The books have settled a fenced holder in all shards.
    void on_settled(const incarnation_id& holder);

private:
    enum class join_state : std::uint8_t
    {
        none,
        sent,
        joined
    };

    struct shard_state
    {
        join_state join = join_state::none;
        // Witnesses that the books know of, and those in the join under way.
        std::vector<incarnation_id> recorded;
        std::vector<incarnation_id> sent;
        // Bills before `next_bill` were sent; those in the set have no
        // answer, `again`: some came back and are to be sent anew.
        std::uint64_t next_bill = 1;
        std::set<std::uint64_t> bills_in_flight;
        bool again = false;
    };

    void submit(const budget_id& budget, record_body body, agent_output& out);
    shard_state& joined(shard_id shard, agent_output& out);
    void carry(refill_actions& actions, instant now, agent_output& out);
    void start_raise(const record_ceiling& action, agent_output& out);
    void start_return(const return_tokens& action, agent_output& out);
    void report_transfers(agent_output& out);
    bool all_in() const;
    void drop_closed(const budget_id& budget);
    void send_bills(agent_output& out);
    void send_copies(instant now, agent_output& out);
    void on_bill(const book_wish& wish, const bill& sent, const outcome* made);

    incarnation_id self_;
    shard_function shard_of_;
    agent_options options_;
    allotment_table table_;

    mutable std::mutex mutex_; // guards all below
    refill_planner planner_;
    transfer_ledger transfers_;
    witness_ledger witnessed_;
    bill_keeper bills_;
    bool store_ok_ = true;
    instant now_; // of the last event, for new joins
    std::vector<incarnation_id> witnesses_;
    std::unordered_map<shard_id, shard_state> shards_;
    // Asks whose first answer the planner waits for.
    std::set<std::pair<incarnation_id, std::uint64_t>> awaited_;
    std::size_t witness_turn_ = 0;
    // Of each shard with copies at the peer, the highest number copied.
    std::map<shard_id, std::uint64_t> copied_up_to_;
    instant copies_noted_;
    std::set<budget_id> returning_;
    bool left_ = false;
};

} // namespace fennelladder::budget

#endif
