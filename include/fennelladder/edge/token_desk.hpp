// Gets a node the prepaid tokens that its requests need: from its purse, from
// other nodes, and from the platform's record.
//
//     if (!co_await desk.obtain(team, worst, until))
//         ... refuse: not run, come back ...
//     desk.settle(team, worst, used);
//
// The purse is tried first, without a message. Then the node with the largest
// stock that is known is asked, and the next; meanwhile, if this node is one
// of the team's stockists, more is taken out of the record.
//
// What is credited was deducted elsewhere before: by a conditional write that
// is proved to have taken effect, or by a peer that answers each number once.
// A lost message strands tokens and never makes any.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_TOKEN_DESK_HPP
#define FENNELLADDER_EDGE_TOKEN_DESK_HPP

#include "fennelladder/edge/allotment_writer.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/prepaid/stock_plan.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace fennelladder::edge {

/// Why tokens were not to be had.
enum class shortage : std::uint8_t
{
    none,
    /// The team's whole prepaid amount doesn't cover the request.
    never_covered,
    /// Not here, but the record has some and the platform answers: soon.
    short_for_a_moment,
    /// Not here, and nobody knows when.
    short_for_long
};

class token_desk
{
public:
    /// Sends a datagram to the peer at an address.
    using sender =
        std::function<void(const std::string& address, const mesh::datagram&)>;

    token_desk(node_tables& tables, platform_client& client, sender send);

    /// Starts taking tokens out of the record as needed.
    void start();

    /// Sets aside the most a request can cost, waiting until `until` at most.
    awaitable<shortage> obtain(const team_id& team, tokens amount,
                               instant until);

    /// The request is over and cost `used`.
    void settle(const team_id& team, tokens reserved, tokens used);

    /// Messages of other nodes.
    void on_ask(const mesh::token_ask& ask, const std::string& from);
    void on_give(const mesh::token_give& give);
    void on_gift(const mesh::token_gift& gift, const std::string& from);
    void on_gift_taken(const mesh::token_gift_taken& taken);

    /// What another node says it holds.
    void on_stock(const mesh::beacon& from);

    /// What to say of this node's stock.
    std::vector<mesh::token_stock> own_stock() const;

    /// Hands all free tokens to other nodes; done when confirmed, or after
    /// `limit`.
    awaitable<void> hand_over(duration limit);

private:
    struct peer_stock
    {
        std::string address;
        std::map<team_id, mesh::token_stock> stock;
        instant heard;
    };

    struct asked
    {
        team_id team;
        host_id peer;
        instant at;
    };

    awaitable<void> keep_stock();
    awaitable<bool> tend_stock();
    awaitable<void> wait_for_change(instant until);
    void give(const mesh::token_ask& ask, const std::string& from,
              tokens amount);
    void take(const prepaid::token_amounts& granted);
    prepaid::token_amounts wishes() const;
    std::optional<host_id> best_peer(const team_id& team,
                                     const std::set<host_id>& tried) const;
    shortage shortage_of(const team_id& team) const;
    void want(const team_id& team, tokens missing);
    /// Nodes that take tokens out now; the same for all teams, so a look over
    /// the teams ranks the fleet once.
    std::vector<host_id> writers() const;
    bool takes_out(const team_id& team,
                   const std::vector<host_id>& writers) const;
    std::vector<host_id> stockists(const team_id& team,
                                   const std::vector<host_id>& writers) const;
    bool is_fresh(const peer_stock& peer) const;
    prepaid::stock_state state_of(const team_id& team, tokens total,
                                  const std::vector<host_id>& writers) const;
    void ask(const host_id& peer, const team_id& team, tokens amount);
    void forget_old();
    void changed();

    node_tables& tables_;
    sender send_;
    allotment_writer writer_;
    asio::steady_timer wake_refill_;
    std::vector<std::weak_ptr<asio::steady_timer>> waiting_;
    std::map<host_id, peer_stock> peers_;
    std::map<mesh::transfer_number, asked> asked_;
    std::map<std::pair<mesh::node_life, mesh::transfer_number>,
             std::pair<mesh::token_give, instant>>
        answered_;
    std::map<std::pair<mesh::node_life, mesh::transfer_number>, instant>
        gifts_taken_;
    std::map<mesh::transfer_number, mesh::token_gift> gifts_;
    mesh::transfer_number last_number_;
    instant last_write_;
    int failures_ = 0;                 ///< Failed calls in a row.
    std::map<team_id, tokens> wanted_; ///< Missing for requests that wait.
};

} // namespace fennelladder::edge

#endif
