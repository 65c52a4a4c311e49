// The node's hands on budgets: carries out what the budget agent decides, over
// the journal and to peers, and offers requests what they need of it.

#ifndef FENNELLADDER_LIBS_NODE_LEDGER_SERVICE_HPP
#define FENNELLADDER_LIBS_NODE_LEDGER_SERVICE_HPP

#include "background.hpp"
#include "configuration_service.hpp"
#include "fennelladder/budget/books_state.hpp"
#include "fennelladder/budget/budget_agent.hpp"
#include "fennelladder/journal/group_committer.hpp"
#include "member_service.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <vector>

namespace fennelladder::node {

/// Hands records to the owner of a shard over the peers' network.
class peer_forwarder final : public journal::forwarder
{
public:
    peer_forwarder(peer::peer_network& peers, member_service& members)
        : peers_(peers), members_(members)
    {}

    result<std::vector<journal::applied_record>>
    forward(const incarnation_id& owner, shard_id shard,
            const std::vector<journal::record>& records) override;

private:
    peer::peer_network& peers_;
    member_service& members_;
};

/// What a request learns of its claim.
struct claim_answer
{
    enum class kind : std::uint8_t
    {
        claimed,
        lost,   ///< Another node has the key.
        failed, ///< The journal can't be asked.
    };

    kind what = kind::failed;
    incarnation_id owner;                       ///< When lost.
    std::optional<budget::key_record> recorded; ///< When lost and known.
};

/// A budget's figures for `GET /v1/budgets/ID`.
struct balance
{
    std::optional<budget::budget_view> books; ///< Nothing: unknown there.
    std::optional<budget::allotment_level> here;
};

/// Thread safe. Locks: wait_mutex_ and homes_mutex_, each a leaf; the agent's
/// own lock is taken with neither held.
class ledger_service final : public budget::home_directory
{
public:
    /// All references must outlive the service.
    ledger_service(const node_options& options, const incarnation_id& self,
                   platform::object_store& store, peer::peer_network& peers,
                   member_service& members, configuration_service& config,
                   const clock& time, call_queue& calls);
    ~ledger_service() override;

    /// Reads or makes the journal's layout and opens the shards. While the
    /// store can't be reached, peers that are open are asked for the layout.
    /// Fails with the store's errors; call again.
    status open();

    bool is_open() const { return open_.load(); }

    // -- for requests

    /// Sets the worst case aside; waits for tokens on their way, at most as
    /// long as the deployment's weight allows. Nothing: refused.
    std::optional<budget::reservation> reserve(const budget_id& budget,
                                               tokens worst);

    void cancel(budget::reservation held);
    void hold(budget::reservation held);

    /// `told` hears of each key whose bill the books have, on any thread. Call
    /// before open().
    void on_billed(std::function<void(const team_id&, const request_key&)> told)
    {
        billed_ = std::move(told);
    }

    /// Settles and bills. Returns what was charged.
    tokens finish(budget::reservation held, budget::bill charge);

    /// Claims a key in the journal before a dispatch.
    claim_answer claim(const team_id& team, const request_key& key);

    /// What the journal knows of a key. Error: the store's.
    result<std::optional<budget::key_record>> find_key(const team_id& team,
                                                       const request_key& key);

    result<balance> find_balance(const team_id& team, const budget_id& budget);

    // -- for time and surroundings

    /// Refills, copies, reports. Call every 100 ms.
    void tick();

    /// Reclaims, fences, top-ups of shards tended here. Call every second.
    void tend();

    /// A new configuration is in force: its top-ups are brought at the next
    /// tick instead of within a second.
    void on_configuration(instant now);

    // -- for peers

    result<std::string> on_append(std::string_view bytes);
    result<std::string> on_transfer(std::string_view bytes);
    result<std::string> on_witness(std::string_view bytes);
    result<std::string> on_copies(std::string_view bytes);
    result<std::string> on_layout() const;

    /// Gives everything back; true once nothing is out and no bill waits.
    bool drain();

    /// What drain() still waits for, for people.
    std::string what_is_out() const;

    std::vector<incarnation_id>
    homes_of(const budget_id& budget) const override;

private:
    struct waiter;

    std::optional<budget::outcome>
    claim_once(shard_id shard, const budget::claim& wish, duration limit);
    shard_id shard_of_budget(const budget_id& budget) const;
    shard_id shard_of_team(const team_id& team) const;
    journal::group_committer& committer(shard_id shard) const;
    std::vector<incarnation_id> ranking(shard_id shard) const;

    void carry_out(const budget::agent_output& out);
    void send_wish(const budget::book_wish& wish);
    void on_applied(const budget::book_wish& wish,
                    const journal::applied_record& made);
    void record_bill(const budget::book_wish& wish,
                     const budget::outcome& made);
    void send_ask(const budget::transfer_ask& ask);
    void send_word(const budget::transfer_confirm& word);
    void send_ceiling(const budget::ceiling_ask& ask);
    void send_copies(const budget::copy_message& copies);
    void wake();
    result<journal::journal_layout> find_layout();

    void choose_witnesses();
    bool only_held_is_left() const;
    bool tokens_may_come(const budget_id& budget, instant now) const;
    void bring_topups(shard_id shard);
    void tend_fences(shard_id shard);
    void tend_gone();

    const node_options& options_;
    const incarnation_id self_;
    platform::object_store& store_;
    peer::peer_network& peers_;
    member_service& members_;
    configuration_service& config_;
    const clock& clock_;
    call_queue& calls_;
    peer_forwarder forwarder_;
    std::function<void(const team_id&, const request_key&)> billed_;
    std::atomic<bool> open_{false};

    // Set by open(), constant afterwards.
    journal::journal_layout layout_;
    std::vector<std::unique_ptr<journal::group_committer>> committers_;
    std::unique_ptr<budget::budget_agent> agent_;
    std::unique_ptr<journal::commit_runner> runner_;

    // Requests that wait for tokens look again when this grows.
    std::mutex wait_mutex_;
    std::condition_variable woken_;
    std::uint64_t wakes_ = 0; // guarded by wait_mutex_

    mutable std::mutex witness_mutex_; // guards witnesses_
    std::vector<incarnation_id> witnesses_;

    std::atomic<instant> configured_at_{instant()};
    std::atomic<bool> topups_due_{true};

    std::mutex tend_mutex_; // guards the four below

    // Top-ups this life has brought to the journal, and incarnations whose
    // end it has told.
    std::unordered_set<std::string> topups_brought_;
    std::unordered_set<std::string> gone_told_;
    generation topups_of_;
    std::size_t tended_ = 0;
};

} // namespace fennelladder::node

#endif
