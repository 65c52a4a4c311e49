// Gets a node the prepaid tokens that its requests need: from its purse, from
// other nodes, and from the platform's record.
//
//     if (!co_await desk.acquire(team, worst, urgency, until))
//         ... refuse: not run, come back ...
//     desk.settle(team, worst, used);
//
// The purse is tried first, without a message. Then the node with the largest
// stock that is known is asked, and the next, and at last the one that writes
// the record (edge/stock_refiller.hpp), which answers when it has taken out
// what is missing.
//
// What is credited was deducted elsewhere before: by a conditional write that
// is proved to have taken effect, or by a peer that answers each number once.
// A lost message strands tokens and never makes any.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_TOKEN_ALLOCATOR_HPP
#define FENNELLADDER_EDGE_TOKEN_ALLOCATOR_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/stock_refiller.hpp"
#include "fennelladder/mesh/stock_book.hpp"
#include "fennelladder/prepaid/ration.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fennelladder::edge {

/// Why tokens were not to be had.
enum class shortage : std::uint8_t
{
    none,
    /// The team's whole prepaid amount doesn't cover the request.
    exceeds_prepaid,
    /// Not here, but the record has some and the platform answers: soon.
    temporary,
    /// Not here, and nobody knows when.
    indefinite
};

class token_allocator
{
public:
    /// Sends a datagram to the peer at an address.
    using sender =
        std::function<void(const std::string& address, const mesh::datagram&)>;

    token_allocator(node_tables& tables, platform_client& client, sender send);

    /// Starts taking tokens out of the record as needed.
    void start();

    /// Sets aside the most a request can cost, waiting until `until` at most.
    /// `urgency`: 0 is the most urgent; while no tokens come, those that more
    /// urgent requests will want are kept back.
    awaitable<shortage> acquire(const team_id& team, tokens amount, int urgency,
                                instant until);

    /// The request is over and cost `used`.
    void settle(const team_id& team, tokens reserved, tokens used);

    /// Messages of other nodes.
    void on_token_request(const mesh::token_ask& ask, const std::string& from);
    void on_token_grant(const mesh::token_give& give);
    void on_token_push(const mesh::token_gift& gift, const std::string& from);
    void on_push_acknowledged(const mesh::token_gift_taken& taken);

    /// What another node says it holds.
    void on_heartbeat(const mesh::beacon& from);

    /// The host's process ended without handing its tokens on.
    void on_node_death(const host_id& host);

    /// What to say of this node's stock.
    std::vector<mesh::token_stock> local_stock() const;

    /// Hands all free tokens to other nodes; done when confirmed, or after
    /// `limit`.
    awaitable<void> push_all(duration limit);

private:
    struct asked
    {
        team_id team;
        host_id peer;
        instant at;
        bool patient = false;
    };

    /// A question that is answered when tokens have been taken out for it.
    struct pending_ask
    {
        mesh::token_ask ask;
        std::string from;
        instant at;
    };

    /// A question for tokens out of the record: the number of one that went to
    /// another node, or the round of writes that takes it up here.
    struct record_question
    {
        std::optional<mesh::transfer_number> number;
        std::optional<std::uint64_t> round;
    };

    class waiting_request;

    using waiting_counts = std::map<team_id, int>;
    using transfer_key = std::pair<mesh::node_life, mesh::transfer_number>;

    awaitable<void> wait_for_change(instant until);
    awaitable<void> repeat_gift(mesh::token_gift gift, std::string to,
                                instant until);
    record_question ask_for_more(const team_id& team, tokens missing,
                                 int urgency);
    bool is_over(const record_question& question) const;
    bool is_hopeless(const team_id& team, tokens missing) const;
    tokens missing_of(const team_id& team, tokens amount, int urgency) const;
    tokens wanted_beyond(const team_id& team) const;
    mesh::transfer_number ask(const host_id& peer, mesh::token_ask what);
    bool reserve(const team_id& team, tokens amount, int urgency);
    tokens kept_back(const team_id& team, int urgency) const;
    tokens debit(const mesh::token_ask& ask);
    void give(const mesh::token_ask& ask, const std::string& from,
              tokens amount);
    void answer_pending(instant begun);
    std::optional<host_id> best_peer(const team_id& team,
                                     const std::set<host_id>& tried) const;
    shortage shortage_of(const team_id& team) const;
    std::string address_of(const host_id& host) const;
    void note_silent_writer();
    void forget_old();
    void changed();

    node_tables& tables_;
    sender send_;
    mesh::stock_book peers_;
    prepaid::ration shares_;
    stock_refiller keeper_;
    std::vector<std::weak_ptr<asio::steady_timer>> waiting_;
    /// Shared with the requests that wait, which may outlive the desk.
    std::shared_ptr<waiting_counts> waiting_by_team_ =
        std::make_shared<waiting_counts>();
    std::map<mesh::transfer_number, asked> asked_;
    std::map<host_id, instant> answered_by_; ///< When a node last answered.
    std::vector<pending_ask> pending_;
    std::map<transfer_key, std::pair<mesh::token_give, instant>> answered_;
    std::map<transfer_key, instant> gifts_taken_;
    std::map<mesh::transfer_number, mesh::token_gift> gifts_;
    mesh::transfer_number last_number_;
};

} // namespace fennelladder::edge

#endif
