// A fleet of budget agents in virtual time, with fakes in place of the object
// API and the network.
//
//     fleet_rig rig({.nodes = 8, .data_centers = 3});
//     rig.top_up(0, tokens(1'000'000), "t1");
//     rig.run_for(seconds(1));
//     rig.request({.node = 0, .budget = 0, .worst = tokens(900)});
//     rig.partition({{0, 1}, {2}}, 0);       // data centers; side with store
//     rig.run_for(hours(1));
//     CHECK(rig.figures().overspent == tokens(0));
//
// The agents, the books and the journal's fold of repeated records are the
// product's own; what is faked: the store is a fold a shard that takes what is
// queued at every flush, the network is a delay, a loss and a partition, a
// target is a time to answer. An oracle sees all nodes at once, also dead ones:
// it knows what was really spent and whether a refused request would have
// found its tokens somewhere.
//
// Not thread safe; the same options and calls give the same run.

#ifndef FENNELLADDER_BUDGET_RIG_FLEET_RIG_HPP
#define FENNELLADDER_BUDGET_RIG_FLEET_RIG_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/budget/budget_agent.hpp"
#include "fennelladder/budget_rig/event_queue.hpp"
#include "fennelladder/budget_rig/fake_books.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelladder::budget_rig {

struct rig_options
{
    int nodes = 8;
    int data_centers = 3;
    int shards = 16;
    std::uint64_t seed = 1;
    budget::agent_options agent;

    duration flush_interval = milliseconds(500); ///< Of a shard's owner.
    duration store_time = milliseconds(5);       ///< A platform write.
    duration far = microseconds(1500); ///< One way between data centers.
    duration near = microseconds(200); ///< One way inside of one.
    duration rpc_timeout = milliseconds(200);
    duration tick = milliseconds(100);

    double message_loss = 0;   ///< Share of messages lost.
    double message_double = 0; ///< Share of messages that arrive twice.

    /// A node off the list for this long is fenced.
    duration fence_after = seconds(60);
};

/// One request as its caller sends it.
struct rig_request
{
    int node = 0;
    int budget = 0;
    tokens worst;
    tokens actual;
    duration time = seconds(1); ///< The target takes this long.
    std::string key;            ///< Empty: not keyed.
};

/// What the oracle counted.
struct rig_figures
{
    std::uint64_t requests = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t false_refused = 0; ///< Of these, tokens were left.
    std::uint64_t lost = 0;          ///< Their node died.
    std::uint64_t waited = 0;        ///< Admitted after a wait.
    double waited_seconds = 0;
    tokens overspent; ///< Worst seen: spent and running above prepaid.
    std::uint64_t double_billed = 0;
    std::uint64_t messages = 0;
    std::uint64_t message_bytes = 0;
};

class fleet_rig
{
public:
    explicit fleet_rig(const rig_options& options);
    ~fleet_rig();
    fleet_rig(const fleet_rig&) = delete;
    fleet_rig& operator=(const fleet_rig&) = delete;

    const rig_options& options() const { return options_; }
    event_queue& events() { return events_; }
    instant now() const { return events_.now(); }
    void run_for(duration length);

    // -- the world

    /// Prepays, through a host beside the store; the same id counts once.
    void top_up(int budget, tokens amount, const std::string& id);

    /// Sends a request to a node. Returns false if the node is dead.
    bool request(const rig_request& wish);

    /// Cuts the data centers into sides that don't reach each other; the
    /// store is with `store_side` (-1: with none).
    void partition(const std::vector<std::vector<int>>& sides, int store_side);

    /// All reach all again.
    void heal();

    void store_up(bool yes) { store_up_ = yes; }

    /// The replies to the next `count` flushes are lost after they took
    /// effect; the wishes are sent again.
    void lose_replies(int count) { lost_replies_ = count; }

    /// The node stops at once; its memory is lost. Another life starts after
    /// `back_after`.
    void kill(int node, duration back_after);

    /// The node does nothing for a while, then goes on as if nothing had
    /// happened.
    void pause(int node, duration length);

    /// Lets the node return all that it does not use.
    void drain(int node);

    /// Fences the node's incarnation, as if it were off the list.
    void fence(int node);

    /// Whether a node could write to the store now.
    bool reaches_store(int node) const;

    bool alive(int node) const
    {
        return nodes_[static_cast<std::size_t>(node)]->alive;
    }
    int data_center_of(int node) const { return node % options_.data_centers; }
    const incarnation_id& incarnation(int node) const
    {
        return nodes_[static_cast<std::size_t>(node)]->id;
    }
    budget::budget_agent& agent(int node)
    {
        return *nodes_[static_cast<std::size_t>(node)]->agent;
    }

    // -- what came of it

    const rig_figures& figures() const { return figures_; }
    const fake_books& books() const { return books_; }

    /// Prepaid, less what was really spent and what running requests may
    /// still spend: what the oracle says is left.
    tokens left(int budget) const;

    /// Highest number of bytes that one node has sent to peers.
    std::uint64_t node_bytes(int node) const
    {
        return nodes_[static_cast<std::size_t>(node)]->bytes;
    }

    static budget_id name_of(int budget);
    static team_id team_of(int budget);

private:
    struct waiting_request
    {
        rig_request wish;
        instant since;
        std::uint64_t number;
    };

    struct node
    {
        int index = 0;
        int life = 0;
        bool alive = true;
        instant paused_until;
        incarnation_id id;
        std::unique_ptr<budget::home_directory> homes;
        std::unique_ptr<budget::budget_agent> agent;
        std::unordered_map<budget_id, std::vector<waiting_request>> waiting;
        std::uint64_t bytes = 0;
    };

    struct truth
    {
        std::int64_t prepaid = 0;
        std::int64_t spent = 0;
        std::int64_t running = 0;
    };

    class directory;

    void start(int index);
    std::vector<incarnation_id> witnesses_of(int index) const;
    void tick(int index, int life);
    bool reaches(int from, int to) const;
    duration delay(int from, int to) const;
    void send(int from, const incarnation_id& to, std::size_t bytes,
              const std::function<void(node&)>& deliver);
    node* find(const incarnation_id& id);
    void carry_out(node& self, budget::agent_output& out);
    void ask_peer(node& self, const budget::transfer_ask& ask);
    void ask_witness(node& self, const budget::ceiling_ask& ask);
    void send_copies(node& self, const budget::copy_message& message);
    void count_bill(const fake_reply& reply);
    void on_flushed(const fake_reply& reply);
    void flush(int shard);
    void try_waiting(node& self, const budget_id& budget);
    bool try_admit(node& self, const rig_request& wish,
                   budget::agent_output& out, bool& wait);
    void run(node& self, const rig_request& wish, budget::reservation held);
    void refuse(const rig_request& wish);
    void note_spend(int budget);
    void announce(int budget);
    void finish(const rig_request& wish, const incarnation_id& id,
                const std::shared_ptr<budget::reservation>& kept);
    void fence_incarnation(const incarnation_id& id);
    shard_id shard_of(int budget) const;
    void sync_prepaid(int budget);
    int budget_of(const budget_id& id) const;

    rig_options options_;
    event_queue events_;
    random_source random_;
    fake_books books_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::unordered_map<incarnation_id, int> index_;
    std::vector<int> side_of_; // per data center
    int store_side_ = 0;
    bool store_up_ = true;
    int lost_replies_ = 0;
    std::uint64_t numbers_ = 0;
    std::vector<truth> truth_;
    std::unordered_map<std::string, int> billed_keys_;
    rig_figures figures_;
};

} // namespace fennelladder::budget_rig

#endif
