// Gets the prepaid tokens that a node's requests need: from its own balance,
// from other nodes, and from the platform's allotment record.
//
//     if (co_await allocator.acquire(team, max_cost, urgency, until) !=
//         shortage::none)
//         ... refuse: not run, retry later ...
//     allocator.settle(team, max_cost, used);
//
// The node's own balance is tried first, without a message. Then token requests
// go to the node with the largest known balance, to the next one, and at last
// to the node that writes the record (edge/stock_refiller.hpp), which answers
// once it has withdrawn what is missing. A node whose own requests wait gives
// to those that go first (prepaid/collector_rank.hpp), and answers the others
// once its own are served or refused.
//
// Tokens are credited only after they were deducted elsewhere: by a conditional
// write that is proven to have taken effect, or by a peer that deducts once per
// transfer number. What is lost on the way is sent again until it is
// acknowledged (mesh/grants_in_transit.hpp); tokens are stranded only with a
// node that ends, and never created.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_TOKEN_ALLOCATOR_HPP
#define FENNELLADDER_EDGE_TOKEN_ALLOCATOR_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/stock_refiller.hpp"
#include "fennelladder/mesh/grants_in_transit.hpp"
#include "fennelladder/mesh/stock_table.hpp"
#include "fennelladder/prepaid/collector_rank.hpp"
#include "fennelladder/prepaid/urgency_reserve.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fennelladder::edge {

/// Why tokens could not be acquired.
enum class shortage : std::uint8_t
{
    none,
    /// The request may cost more than the team's whole prepaid amount.
    exceeds_prepaid,
    /// None available now, but soon: the record has some left and the platform
    /// is reachable.
    temporary,
    /// None available, and none expected for an unknown time.
    indefinite
};

/// Reserves tokens for requests, and moves tokens between nodes.
class token_allocator
{
public:
    /// Sends a datagram to the peer at an address.
    using sender =
        std::function<void(const std::string& address, const mesh::datagram&)>;

    token_allocator(node_tables& tables, platform_client& client, sender send);

    /// Starts withdrawing tokens from the record as needed.
    void start();

    /// Reserves `amount`, the largest cost of a request; waits until `until` at
    /// most. `urgency` 0 is the most urgent: while no more tokens can be
    /// withdrawn, those that more urgent requests will need are kept back.
    awaitable<shortage> acquire(const team_id& team, tokens amount, int urgency,
                                instant until);

    /// Ends a reservation of which the request used `used` tokens.
    void settle(const team_id& team, tokens reserved, tokens used);

    /// Handles messages of other nodes. `from` is the sender's address.
    void on_token_request(const mesh::token_request& request,
                          const std::string& from);
    void on_token_grant(const mesh::token_grant& grant,
                        const std::string& from);
    void on_grant_acknowledged(const mesh::token_grant_ack& ack);
    void on_token_push(const mesh::token_push& push, const std::string& from);
    void on_push_acknowledged(const mesh::token_push_ack& ack);
    void on_draws(const mesh::datagram& message, const std::string& from);

    /// Records the balances that another node reports.
    void on_heartbeat(const mesh::node_heartbeat& from);

    /// The host's process died without transferring its tokens.
    void on_node_death(const host_id& host);

    /// The balances that this node reports to others.
    std::vector<mesh::token_stock> local_stock() const;

    /// Tokens that this node gave and whose arrival isn't acknowledged yet.
    /// Some may be credited at their askers already.
    tokens in_transit() const { return grants_.in_transit(); }

    /// Pushes all free tokens to other nodes. Completes when every push and
    /// every grant is acknowledged, or after `limit`.
    awaitable<void> push_all(duration limit);

private:
    /// A token request that was sent and not answered yet.
    struct outstanding_request
    {
        team_id team;
        host_id peer;
        instant at;
        bool background = false;
        tokens wanted;
    };

    /// A peer's token request that is answered after tokens were withdrawn for
    /// it.
    struct pending_request
    {
        mesh::token_request request;
        std::string from;
        instant at;
    };

    /// A request for tokens from the record: its transfer number if it was sent
    /// to another node, or the round of writes that serves it on this node.
    struct record_request
    {
        std::optional<mesh::transfer_number> number;
        std::optional<std::uint64_t> round;
    };

    class waiting_request;

    /// Whom one acquire() has asked, and under which numbers.
    struct requested_peers
    {
        std::set<host_id> tried; ///< Not to be asked again for now.
        std::set<mesh::transfer_number> numbers;
    };

    /// Number of waiting requests, by team and urgency.
    using waiting_counts = std::map<team_id, std::map<int, int>>;
    using transfer_key =
        std::pair<mesh::node_incarnation, mesh::transfer_number>;

    awaitable<shortage> collect(const team_id& team, tokens amount, int urgency,
                                instant until);
    awaitable<void> wait_for_change(instant until);
    awaitable<void> repeat_push(mesh::token_push push, std::string to,
                                instant until);
    awaitable<void> repeat_grants();
    void push_free_tokens(instant until);
    void update_gauge();
    record_request request_from_record(const team_id& team, tokens missing,
                                       int urgency);
    bool is_done(const record_request& pending) const;
    bool ask_peers(const team_id& team, tokens wanted, int urgency,
                   requested_peers& from);
    tokens expected(const requested_peers& from) const;
    std::set<host_id> unanswered(const requested_peers& from) const;
    bool goes_first(const mesh::token_request& request) const;
    prepaid::collector_rank rank_of(const mesh::token_request& request) const;
    bool is_known(const mesh::token_request& request) const;
    void answer_deferred(const team_id& team);
    bool cannot_be_withdrawn(const team_id& team, tokens missing) const;
    tokens missing_of(const team_id& team, tokens amount, int urgency) const;
    tokens extra_request(const team_id& team) const;
    mesh::transfer_number send_request(const host_id& peer,
                                       mesh::token_request what);
    bool reserve(const team_id& team, tokens amount, int urgency);
    tokens reserved_for_urgent(const team_id& team, int urgency) const;
    tokens debit(const mesh::token_request& request);
    void send_grant(const mesh::token_request& request, const std::string& from,
                    tokens amount);
    void answer_pending(instant begun);
    /// A peer to ask, and its balance as far as known.
    struct chosen_peer
    {
        host_id host;
        std::optional<tokens> balance;
    };

    std::optional<chosen_peer> choose_peer(const team_id& team,
                                           const std::set<host_id>& tried);
    std::optional<chosen_peer>
    choose_last_holder(const team_id& team, const std::set<host_id>& tried);
    shortage shortage_of(const team_id& team) const;
    void check_writer_timeout();
    void forget_expired();
    void wake_waiters();

    node_tables& tables_;
    sender send_;
    mesh::stock_table peers_;
    prepaid::urgency_reserve urgency_reserve_;
    draw_exchange draws_;
    stock_refiller refiller_;
    std::vector<std::weak_ptr<asio::steady_timer>> waiters_;
    /// Shared with waiting requests, which may outlive the allocator.
    std::shared_ptr<waiting_counts> waiting_by_team_ =
        std::make_shared<waiting_counts>();
    std::map<mesh::transfer_number, outstanding_request> outstanding_;
    std::map<host_id, instant>
        last_grant_from_; ///< Time of each peer's last grant.
    std::vector<pending_request> pending_;
    /// Requests that go after some that wait here.
    std::vector<pending_request> deferred_;
    mesh::grants_in_transit grants_;
    bool repeats_grants_ = false; ///< Whether repeat_grants() runs.
    telemetry::gauge& in_transit_gauge_;
    std::map<transfer_key, instant> pushes_received_;
    std::map<mesh::transfer_number, mesh::token_push> pushes_;
    mesh::transfer_number last_number_;
};

} // namespace fennelladder::edge

#endif
