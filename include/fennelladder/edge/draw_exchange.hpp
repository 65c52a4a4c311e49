// Tells other nodes what this one drew from the allotment record, and asks them
// what they know. The store may lose writes that it acknowledged; a node then
// repairs the record from what it and the others know
// (prepaid/record_keeper.hpp).
//
//     draw_exchange draws(tables, send);
//     draws.attach(keeper);
//     if (co_await draws.confirm(claim)) ... the tokens may be spent ...
//     draws.ask();                      // before a repair
//     if (prepaid::may_repair(draws.view(missing))) ...
//
// Nodes that state no era of the store keep no such knowledge and aren't asked.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_DRAW_EXCHANGE_HPP
#define FENNELLADDER_EDGE_DRAW_EXCHANGE_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/mesh/messages.hpp"
#include "fennelladder/prepaid/draw_policy.hpp"
#include "fennelladder/prepaid/record_keeper.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fennelladder::edge {

class draw_exchange
{
public:
    /// Sends a datagram to the node at an address.
    using sender =
        std::function<void(const std::string& address, const mesh::datagram&)>;

    draw_exchange(node_tables& tables, sender send);

    /// Sets what keeps the draws. Call before all others; `keeper` must outlive
    /// this object.
    void attach(prepaid::record_keeper& keeper);

    /// Tells other nodes of a claim. Returns true once enough of them know of
    /// it and the store's era hasn't changed; false if that takes too long.
    /// Call again then: acknowledgements that come meanwhile count.
    /// Precondition: `claim` lives until the call has ended.
    awaitable<bool> confirm(prepaid::token_claim& claim);

    /// Asks the live nodes that haven't answered in this era what they know.
    /// Call again until they have.
    void ask();

    /// Asks some of the live nodes what they know, in the first seconds of this
    /// process: it may be the only one left that can know. Call regularly.
    void learn_at_start();

    /// What is known of the answers to ask().
    prepaid::repair_view view(bool record_missing) const;

    /// Sends what this node knows of recent draws to a peer: to the one that
    /// writes the record, after the store was restored.
    void tell(const mesh::peer_record& peer);

    /// Handles messages of other nodes. `from` is the sender's address.
    void on_message(const mesh::datagram& message, const std::string& from);

private:
    /// The nodes that acknowledged a report.
    using witness_set = std::set<mesh::node_incarnation>;

    struct peer_answer
    {
        std::set<std::uint32_t> parts;
        bool complete = false;
    };

    std::vector<const mesh::peer_record*> witnesses() const;
    std::optional<duration> isolated_for() const;
    std::vector<const mesh::peer_record*>
    sample(std::vector<const mesh::peer_record*> from) const;
    void send_questions(const std::vector<const mesh::peer_record*>& to);
    void send_report(const mesh::draw_report& report,
                     const witness_set& except);
    void on_report(const mesh::draw_report& report, const std::string& from);
    void on_ack(const mesh::draw_ack& ack);
    void on_question(const mesh::draw_question& question,
                     const std::string& from);
    void on_answer(const mesh::draw_answer& answer);
    void learn(const std::vector<prepaid::known_draw>& draws);
    void begin_era();

    node_tables& tables_;
    sender send_;
    prepaid::record_keeper* keeper_ = nullptr;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, witness_set> pending_; ///< By report.
    asio::steady_timer
        changed_; ///< Cancelled when pending_ or the era changes.
    /// Number of the question of this era; 0: not asked.
    std::uint64_t question_ = 0;
    std::optional<instant> asked_all_; ///< First time in this era.
    instant last_asked_;
    std::map<mesh::node_incarnation, peer_answer> answers_;
    /// Those that learn_at_start() asks.
    std::set<mesh::node_incarnation> asked_at_start_;
};

} // namespace fennelladder::edge

#endif
