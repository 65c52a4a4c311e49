// Keeps the fleet's stock of prepaid tokens filled up from the platform's
// record of allotments.
//
//     stock_refiller keeper(tables, client, peers, hooks);
//     keeper.start();
//     if (const auto* writer = keeper.remote_writer())
//         ... ask it, as any peer ...
//     else
//         keeper.request_tokens(team, missing, urgency);
//
// One node of the fleet writes the record: the first by rank among those that
// reach the platform. It takes out what the stockists of each team ask it for,
// and what requests wait for anywhere, in one write for all teams. When every
// stockist wrote for itself, seven writes in ten lost against another.
//
// Where this node writes is decided anew at each look, from what it has heard:
// two nodes that both take themselves for the writer disturb each other and
// do no harm, since the record's condition decides. A stockist that gets no
// answer from the writer writes for itself for a while.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_STOCK_REFILLER_HPP
#define FENNELLADDER_EDGE_STOCK_REFILLER_HPP

#include "fennelladder/edge/allotment_writer.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/mesh/stock_book.hpp"
#include "fennelladder/prepaid/outage_memory.hpp"
#include "fennelladder/prepaid/stock_plan.hpp"

#include <functional>
#include <map>
#include <vector>

namespace fennelladder::edge {

class stock_refiller
{
public:
    /// What the keeper has its owner do.
    struct hooks
    {
        /// Tokens were credited to the purse.
        std::function<void()> credited;
        /// What was wanted up to `begun` has been taken out as far as it can
        /// be for now.
        std::function<void(instant begun)> round_over;
        /// Ask another node for stock.
        std::function<void(const host_id& writer, const team_id& team,
                           tokens amount)>
            ask;
    };

    stock_refiller(node_tables& tables, platform_client& client,
                   const mesh::stock_book& peers, hooks hooks);

    /// Begins to look after the stock.
    void start();

    /// The node that takes tokens out for this one; nullptr if this one does
    /// it itself.
    const mesh::node_row* remote_writer() const;

    /// Asks for `missing` tokens out of the record. Unless `patient`, a request
    /// waits for them. The number of the round that takes them out.
    /// Precondition: this node writes.
    std::uint64_t request_tokens(const team_id& team, tokens missing,
                                 bool patient);

    /// Whether that round is over, or this node doesn't write any more.
    bool is_round_done(std::uint64_t round) const;

    /// Whether a write by this node could bring tokens of the team.
    bool can_withdraw(const team_id& team) const;

    /// The writer doesn't answer: for a while this node writes for itself, if
    /// it is a stockist at all.
    void on_writer_timeout();

    /// What the record has handed out of the team, as far as it is known.
    std::optional<tokens> allotted_of(const team_id& team) const;

    /// The same, learned from another node. It only grows.
    void raise_allotted(const team_id& team, tokens allotted);

    /// What the record has left of the team, as far as it is known.
    tokens left_of(const team_id& team) const;

    /// Whether the platform was reached at the last look by the node that
    /// writes.
    bool reaches_platform() const { return reached_; }

    /// Whether no tokens of the team come: the platform is away, or its record
    /// has nothing left.
    bool is_scarce(const team_id& team) const
    {
        return !reached_ || left_of(team) <= tokens(0);
    }

    /// The team's stockists, the first by rank first.
    std::vector<host_id> stock_holders(const team_id& team) const;

private:
    struct wanted_tokens
    {
        tokens amount;
        bool urgent = false;
    };

    /// Looks at the stock now, in place of at the next period.
    void look_soon() { wake_.cancel(); }

    awaitable<void> keep();
    awaitable<bool> tend();
    awaitable<bool> write_round();
    void end_round(instant begun);
    void give_up_round();
    void ask_writer(const host_id& writer);
    void take(const prepaid::token_amounts& granted);
    prepaid::token_amounts wishes() const;
    prepaid::stock_state state_of(const team_id& team, tokens total,
                                  const std::vector<host_id>& holders) const;
    std::vector<host_id> holders() const;
    bool is_stock_holder() const;
    bool has_urgent() const;
    void note_reach();

    node_tables& tables_;
    const mesh::stock_book& peers_;
    hooks hooks_;
    allotment_writer writer_;
    asio::steady_timer wake_;
    std::map<team_id, wanted_tokens> wanted_;
    std::uint64_t rounds_begun_ = 0; ///< Rounds of writes.
    std::uint64_t rounds_over_ = 0;
    std::map<team_id, tokens> allotted_;
    std::map<team_id, instant> asked_at_; ///< The writer, for stock.
    instant last_write_;
    instant alone_until_;
    bool reached_ = true;
    prepaid::outage_memory outages_;
    int failures_ = 0; ///< Failed calls in a row.
};

} // namespace fennelladder::edge

#endif
