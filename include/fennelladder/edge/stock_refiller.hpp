// Refills the fleet's stock of prepaid tokens from the allotment record that
// the platform stores.
//
//     stock_refiller refiller(tables, client, peers, hooks);
//     refiller.start();
//     if (const auto* writer = refiller.remote_writer())
//         ... send it a token request, as to any peer ...
//     else
//         refiller.request_tokens(team, missing, background);
//
// One node of the fleet writes the record: the first by rank among those that
// reach the platform. In one write for all teams it withdraws what the stock
// holders of each team request and what requests anywhere are waiting for. When
// every stock holder wrote for itself, seven writes in ten failed on a
// conflict.
//
// Each periodic check decides again whether this node writes, from its current
// membership view. Two nodes that both act as the writer conflict with each
// other but do no harm, since writes are conditional on the record's revision.
// A stock holder that gets no answer from the writer writes for itself for a
// while.
//
// After the store was restored from an older copy, the writing node repairs the
// record at once, whether or not tokens are requested, and the others tell it
// what they know.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_STOCK_REFILLER_HPP
#define FENNELLADDER_EDGE_STOCK_REFILLER_HPP

#include "fennelladder/edge/allotment_writer.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/mesh/stock_table.hpp"
#include "fennelladder/prepaid/outage_tracker.hpp"
#include "fennelladder/prepaid/stock_plan.hpp"

#include <functional>
#include <map>
#include <vector>

namespace fennelladder::edge {

/// Withdraws tokens for the stock, or requests them from the writing node.
class stock_refiller
{
public:
    /// Callbacks into the owner.
    struct hooks
    {
        /// Tokens were credited to the balance.
        std::function<void()> on_credited;
        /// A round of writes ended: what was requested up to `begun` has been
        /// withdrawn as far as possible for now.
        std::function<void(instant begun)> on_round_done;
        /// Sends a token request for stock to the writer.
        std::function<void(const host_id& writer, const team_id& team,
                           tokens amount)>
            request_tokens;
    };

    stock_refiller(node_tables& tables, platform_client& client,
                   const mesh::stock_table& peers, draw_exchange& draws,
                   hooks hooks);

    /// Starts the periodic checks of the stock.
    void start();

    /// The node that withdraws tokens for this one; nullptr if this node writes
    /// the record itself.
    const mesh::peer_record* remote_writer() const;

    /// Requests `missing` tokens from the record. Unless `background`, a
    /// request is waiting for them and the withdrawal starts soon. Returns the
    /// number of the round that withdraws them. Precondition: this node writes.
    std::uint64_t request_tokens(const team_id& team, tokens missing,
                                 bool background);

    /// Whether that round has ended, or this node no longer writes.
    bool is_round_done(std::uint64_t round) const;

    /// Whether a write by this node could withdraw tokens of the team.
    bool can_withdraw(const team_id& team) const;

    /// Call when the writer does not answer: for a while this node writes for
    /// itself, if it is a stock holder.
    void on_writer_timeout();

    /// Tokens allotted to the team so far, as far as known; unset if unknown.
    std::optional<tokens> allotted_of(const team_id& team) const;

    /// Raises the known allotted amount to a value from another node. Smaller
    /// values are ignored, since the amount only grows.
    void raise_allotted(const team_id& team, tokens allotted);

    /// Tokens of the team that remain in the record, as far as known.
    tokens left_of(const team_id& team) const;

    /// Whether the writing node could reach the platform at the last check.
    bool reaches_platform() const { return platform_reached_; }

    /// Whether no more tokens of the team can be withdrawn: the platform is
    /// unreachable, or its record has none left.
    bool is_scarce(const team_id& team) const
    {
        return !platform_reached_ || left_of(team) <= tokens(0);
    }

    /// The team's stock holders, in rank order.
    std::vector<host_id> stock_holders(const team_id& team) const;

private:
    struct requested_tokens
    {
        tokens amount;
        bool urgent = false;
    };

    /// Checks the stock now instead of at the next period.
    void wake() { wake_.cancel(); }

    awaitable<void> run();
    awaitable<bool> run_once();
    awaitable<bool> write_round();
    void end_round(instant begun);
    void abandon_round();
    void request_refill(const host_id& writer);
    void tell_writer(const mesh::peer_record& writer);
    void credit(const prepaid::token_amounts& granted);
    prepaid::token_amounts withdrawals() const;
    prepaid::stock_state state_of(const team_id& team, tokens total,
                                  const std::vector<host_id>& holders) const;
    std::vector<host_id> holders() const;
    bool is_stock_holder() const;
    bool has_urgent_request() const;
    void update_reachability();

    node_tables& tables_;
    const mesh::stock_table& peers_;
    draw_exchange& draws_;
    hooks hooks_;
    allotment_writer writer_;
    asio::steady_timer wake_;
    std::map<team_id, requested_tokens> requested_;
    std::uint64_t rounds_begun_ = 0; ///< Rounds of writes.
    std::uint64_t rounds_done_ = 0;
    std::map<team_id, tokens> allotted_;
    std::map<team_id, instant> requested_at_; ///< Last refill request.
    instant last_write_;
    instant self_write_until_;
    bool platform_reached_ = true;
    prepaid::outage_tracker outages_;
    int failures_ = 0; ///< Consecutive failed calls.
    /// How often the writer was told of draws in the present era of the store.
    int times_told_ = 0;
    mesh::node_incarnation told_;
    catalog::store_era told_in_;
};

} // namespace fennelladder::edge

#endif
