// The receiver of a transfer credits each transfer number once, and
// acknowledges it each time. The sender deducts once per number and repeats the
// transfer until it is acknowledged. So no tokens are created or lost by
// messages that are lost, duplicated or delayed.

#include "fennelladder/edge/token_allocator.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

/// Peers in the fleet answer in a few milliseconds. After this time the request
/// goes to the next one.
constexpr duration peer_timeout = milliseconds(15);

/// Wait for tokens from the record. A write to it takes about ten milliseconds.
constexpr duration record_timeout = milliseconds(30);

/// Maximum requests to the record for one acquire(). The first may yield less
/// than needed, since others are waiting as well. The number is limited because
/// the end of each round of writes wakes all waiters, and each request starts a
/// round.
constexpr int max_record_requests = 3;

/// How long a grant is credited after its request: longer than any peer
/// repeats it.
constexpr duration answer_retention = 2 * mesh::unreachable_retention;

/// The writer answers a token request for a waiting request within two writes,
/// and one for stock after its next regular write, unless it is dead or
/// unreachable.
constexpr duration writer_timeout = milliseconds(500);
constexpr duration writer_stock_timeout = milliseconds(2500);

/// A request that had to wait for longer isn't given tokens: its node has
/// refused it by now.
constexpr duration deferral_limit = milliseconds(500);

constexpr duration push_repeat_interval = milliseconds(60);

/// Interval at which grants in transit are looked through.
constexpr duration grant_check_period = mesh::first_grant_pause;

constexpr const char* in_transit_metric = "fennelladder_tokens_in_transit";

void log_stranded(const mesh::addressed_grant& given)
{
    log_event(event::tokens_stranded,
              {{"team", given.grant.team.str()},
               {"amount", std::to_string(given.grant.amount.count())},
               {"to", given.to}});
}

/// The host of a peer's incarnation; null if it isn't known.
const host_id* host_of(mesh::node_incarnation incarnation,
                       const mesh::peer_view& peers)
{
    const auto it = std::ranges::find_if(peers.rows(), [&](const auto& row) {
        return row.second.last.incarnation == incarnation;
    });
    return it == peers.rows().end() ? nullptr : &it->first;
}

} // namespace

/// Counts a request as waiting during its lifetime. It shares ownership of the
/// counts: requests that are still waiting when a node ends are destroyed with
/// the io_context that holds their coroutines, after the allocator. Counts
/// owned by the allocator would be gone by then, and the access would free them
/// twice.
class token_allocator::waiting_request
{
public:
    waiting_request(std::shared_ptr<waiting_counts> counts, const team_id& team,
                    int urgency)
        : counts_(std::move(counts)), team_(team), urgency_(urgency)
    {
        ++(*counts_)[team_][urgency_];
    }

    waiting_request(const waiting_request&) = delete;
    waiting_request& operator=(const waiting_request&) = delete;

    ~waiting_request()
    {
        const auto it = counts_->find(team_);
        if (--it->second[urgency_] == 0)
            it->second.erase(urgency_);
        if (it->second.empty())
            counts_->erase(it);
    }

private:
    std::shared_ptr<waiting_counts> counts_;
    team_id team_;
    int urgency_;
};

token_allocator::token_allocator(node_tables& tables, platform_client& client,
                                 sender send)
    : tables_(tables), send_(std::move(send)),
      urgency_reserve_(tables.options.urgency_reserve),
      draws_(tables,
             [this](const std::string& to, const mesh::datagram& message) {
                 send_(to, message);
             }),
      refiller_(tables, client, peers_, draws_,
                {.on_credited = [this] { answer_pending(instant()); },
                 .on_round_done =
                     [this](instant begun) {
                         answer_pending(begun);
                         check_writer_timeout();
                         forget_expired();
                     },
                 .request_tokens =
                     [this](const host_id& writer, const team_id& team,
                            tokens amount) {
                         send_request(writer, {.team = team,
                                               .wanted = amount,
                                               .background = true});
                     }}),
      in_transit_gauge_(tables.metrics.gauge_of(in_transit_metric))
{}

void token_allocator::start()
{
    refiller_.start();
}

void token_allocator::wake_waiters()
{
    for (const auto& it : waiters_)
        if (const auto timer = it.lock())
            timer->cancel();
    waiters_.clear();
}

awaitable<void> token_allocator::wait_for_change(instant until)
{
    const duration left = until - tables_.now();
    if (left <= duration(0))
        co_return;
    auto timer = std::make_shared<asio::steady_timer>(tables_.io);
    waiters_.push_back(timer);
    co_await sleep_on(*timer, left);
}

// Reservations.

awaitable<shortage> token_allocator::acquire(const team_id& team, tokens amount,
                                             int urgency, instant until)
{
    const auto* payer = tables_.config->find_team(team);
    if (payer == nullptr || !payer->prepaid || *payer->prepaid < amount)
        co_return shortage::exceeds_prepaid;
    urgency_reserve_.note(team, urgency, amount, tables_.now());
    if (reserve(team, amount, urgency))
        co_return shortage::none;
    const shortage out = co_await collect(team, amount, urgency, until);
    answer_deferred(team);
    co_return out;
}

/// Waits for tokens from others until those of the request are reserved.
awaitable<shortage> token_allocator::collect(const team_id& team, tokens amount,
                                             int urgency, instant until)
{
    const waiting_request here(waiting_by_team_, team, urgency);
    requested_peers peers;
    std::optional<record_request> asked;
    int record_requests = 0;
    while (!reserve(team, amount, urgency)) {
        if (tables_.now() >= until)
            co_return shortage_of(team);
        const tokens missing = missing_of(team, amount, urgency);
        const tokens wanted = missing + extra_request(team);
        const bool waits_for_record = asked && !is_done(*asked);
        const bool may_ask_record =
            !waits_for_record &&
            (record_requests == 0 || (record_requests < max_record_requests &&
                                      !cannot_be_withdrawn(team, missing)));
        duration pause = until - tables_.now();
        if (ask_peers(team, wanted, urgency, peers) ||
            expected(peers) > tokens(0)) {
            pause = peer_timeout;
        } else if (may_ask_record) {
            // Peers may have received tokens meanwhile: ask them again.
            ++record_requests;
            peers.tried = unanswered(peers);
            asked = request_from_record(team, wanted, urgency);
            pause = record_timeout;
        } else if (!waits_for_record && unanswered(peers).empty()) {
            // A peer that goes first answers once its own request has ended.
            co_return shortage_of(team);
        }
        co_await wait_for_change(std::min(tables_.now() + pause, until));
    }
    co_return shortage::none;
}

/// Asks as many peers as are known to hold what is wanted beyond the answers
/// that are expected. Returns whether it asked any.
bool token_allocator::ask_peers(const team_id& team, tokens wanted, int urgency,
                                requested_peers& from)
{
    tokens missing = wanted - expected(from);
    bool asked = false;
    while (missing > tokens(0)) {
        const auto peer = choose_peer(team, from.tried);
        if (!peer)
            break;
        const tokens part = std::min(missing, peer->balance.value_or(missing));
        from.tried.insert(peer->host);
        from.numbers.insert(send_request(
            peer->host, {.team = team, .wanted = part, .urgency = urgency}));
        missing -= part;
        asked = true;
    }
    return asked;
}

/// Tokens that peers were asked for so lately that they may still answer soon.
tokens token_allocator::expected(const requested_peers& from) const
{
    tokens out;
    for (const mesh::transfer_number number : from.numbers) {
        const auto it = outstanding_.find(number);
        if (it != outstanding_.end() &&
            tables_.now() - it->second.at < peer_timeout)
            out += it->second.wanted;
    }
    return out;
}

/// The peers that haven't answered some request yet.
std::set<host_id> token_allocator::unanswered(const requested_peers& from) const
{
    std::set<host_id> out;
    for (const mesh::transfer_number number : from.numbers)
        if (const auto it = outstanding_.find(number); it != outstanding_.end())
            out.insert(it->second.peer);
    return out;
}

/// Tokens kept back for more urgent requests, while the platform is unreachable
/// or has none left for the team, so that the remaining ones last.
tokens token_allocator::reserved_for_urgent(const team_id& team,
                                            int urgency) const
{
    return refiller_.is_scarce(team) ? urgency_reserve_.reserved_for_urgent(
                                           team, urgency, tables_.now())
                                     : tokens(0);
}

bool token_allocator::reserve(const team_id& team, tokens amount, int urgency)
{
    if (tables_.token_balances.free_of(team) - amount <
        reserved_for_urgent(team, urgency))
        return false;
    return tables_.token_balances.reserve(team, amount, tables_.now());
}

/// Deducts from the balance what a peer may be granted of its request.
tokens token_allocator::debit(const mesh::token_request& request)
{
    const tokens free = tables_.token_balances.free_of(request.team);
    const tokens spare =
        free - reserved_for_urgent(request.team, request.urgency);
    return tables_.token_balances.debit(
        request.team, std::clamp(spare, tokens(0), request.wanted));
}

/// Tokens to request from others. The free tokens are subtracted only if no
/// other request of the team is waiting: several requests would each count the
/// same free tokens as their own, and together request too little.
tokens token_allocator::missing_of(const team_id& team, tokens amount,
                                   int urgency) const
{
    const auto waiting = waiting_by_team_->find(team);
    const bool alone =
        waiting == waiting_by_team_->end() ||
        (waiting->second.size() == 1 && waiting->second.begin()->second == 1);
    const tokens spare = tables_.token_balances.free_of(team) -
                         reserved_for_urgent(team, urgency);
    return alone ? amount - std::max(spare, tokens(0)) : amount;
}

tokens token_allocator::extra_request(const team_id& team) const
{
    const tokens left =
        refiller_.is_scarce(team) ? tokens(0) : refiller_.left_of(team);
    return prepaid::extra_to_request(
        tables_.token_balances.spending(team, tables_.now()), left,
        tables_.options.stock);
}

/// Requests tokens from the record, on this node or from the node that writes
/// it.
token_allocator::record_request
token_allocator::request_from_record(const team_id& team, tokens missing,
                                     int urgency)
{
    const mesh::peer_record* writer = refiller_.remote_writer();
    if (writer == nullptr)
        return {.round = refiller_.request_tokens(team, missing, false)};
    if (!tables_.options.requests_peer_tokens)
        return {};
    return {.number = send_request(
                writer->last.host,
                {.team = team, .wanted = missing, .urgency = urgency})};
}

bool token_allocator::is_done(const record_request& pending) const
{
    if (pending.number)
        return !outstanding_.contains(*pending.number);
    return !pending.round || refiller_.is_round_done(*pending.round);
}

/// Whether the record cannot provide the missing tokens.
bool token_allocator::cannot_be_withdrawn(const team_id& team,
                                          tokens missing) const
{
    return !refiller_.reaches_platform() || refiller_.left_of(team) < missing;
}

shortage token_allocator::shortage_of(const team_id& team) const
{
    return refiller_.is_scarce(team) ? shortage::indefinite
                                     : shortage::temporary;
}

void token_allocator::settle(const team_id& team, tokens reserved, tokens used)
{
    tables_.token_balances.settle(team, reserved, used, tables_.now());
    if (used < reserved)
        wake_waiters();
}

// Transfers between nodes.

std::optional<token_allocator::chosen_peer>
token_allocator::choose_peer(const team_id& team,
                             const std::set<host_id>& tried)
{
    if (!tables_.options.requests_peer_tokens)
        return std::nullopt;
    if (refiller_.is_scarce(team)) {
        if (auto holder = choose_last_holder(team, tried))
            return holder;
    } else {
        const instant since = tables_.now() - tables_.stock_update_lifetime();
        if (auto best = peers_.largest_holder(team, tried, since))
            return chosen_peer{*best, std::nullopt};
    }
    // No peer is known to have any; a stock holder may have received some
    // since.
    for (const host_id& it : refiller_.stock_holders(team))
        if (!tried.contains(it) && tables_.peers.rows().contains(it))
            return chosen_peer{it, std::nullopt};
    return std::nullopt;
}

/// Chooses among the holders of a team's last tokens. Those that go after this
/// node come first: they give also while they wait themselves. At random, by
/// balance: if all nodes asked the largest holder first, they would follow each
/// other through the whole fleet.
std::optional<token_allocator::chosen_peer>
token_allocator::choose_last_holder(const team_id& team,
                                    const std::set<host_id>& tried)
{
    const instant since = tables_.now() - tables_.stock_update_lifetime();
    auto all = peers_.holders(team, tried, since);
    const auto own = prepaid::rank_of(team, 0, tables_.settings.host);
    const auto before = [&](const auto& it) {
        return prepaid::goes_first(prepaid::rank_of(team, 0, it.first), own);
    };
    if (!std::ranges::all_of(all, before))
        std::erase_if(all, before);
    tokens total;
    for (const auto& [host, free] : all)
        total += free;
    if (total == tokens(0))
        return std::nullopt;
    tokens left(static_cast<std::int64_t>(
        tables_.random.below(static_cast<std::uint64_t>(total.count()))));
    for (const auto& [host, free] : all) {
        if (left < free)
            return chosen_peer{host, free};
        left -= free;
    }
    return std::nullopt;
}

/// Sends `what` to a peer under the next transfer number.
mesh::transfer_number token_allocator::send_request(const host_id& peer,
                                                    mesh::token_request what)
{
    last_number_ = last_number_.next();
    what.incarnation = tables_.incarnation;
    what.number = last_number_;
    outstanding_[last_number_] = {what.team, peer, tables_.now(),
                                  what.background, what.wanted};
    peers_.deduct(peer, what.team, what.wanted);
    mesh::datagram message;
    message.request = std::move(what);
    send_(tables_.peers.address_of(peer), message);
    return last_number_;
}

void token_allocator::on_token_request(const mesh::token_request& request,
                                       const std::string& from)
{
    const mesh::token_grant* known =
        grants_.find(request.incarnation, request.number);
    if (known != nullptr) {
        mesh::datagram again;
        again.grant = *known;
        send_(from, again);
        return;
    }
    if (is_known(request))
        return;
    if (!request.background)
        urgency_reserve_.note(request.team, request.urgency, request.wanted,
                              tables_.now());
    const tokens free = tables_.token_balances.free_of(request.team);
    if (free < request.wanted && refiller_.can_withdraw(request.team)) {
        pending_.push_back({request, from, tables_.now()});
        refiller_.request_tokens(request.team, request.wanted - free,
                                 request.background);
        return;
    }
    const bool gives = !waiting_by_team_->contains(request.team) ||
                       refiller_.can_withdraw(request.team) ||
                       goes_first(request);
    // Unless the tokens here are the last ones, the asker gets some sooner from
    // the record.
    if (!gives && !request.background && refiller_.is_scarce(request.team))
        deferred_.push_back({request, from, tables_.now()});
    else
        send_grant(request, from, gives ? debit(request) : tokens(0));
}

/// Whether the request waits for its answer already.
bool token_allocator::is_known(const mesh::token_request& request) const
{
    const auto same = [&](const pending_request& it) {
        return it.request.incarnation == request.incarnation &&
               it.request.number == request.number;
    };
    return std::ranges::any_of(pending_, same) ||
           std::ranges::any_of(deferred_, same);
}

/// Whether a peer's request goes before all of the team that wait here.
bool token_allocator::goes_first(const mesh::token_request& request) const
{
    const auto waiting = waiting_by_team_->find(request.team);
    if (waiting == waiting_by_team_->end())
        return true;
    return !request.background &&
           prepaid::goes_first(rank_of(request),
                               prepaid::rank_of(request.team,
                                                waiting->second.begin()->first,
                                                tables_.settings.host));
}

/// Answers those of the team's deferred requests that no request here goes
/// before any more.
void token_allocator::answer_deferred(const team_id& team)
{
    std::vector<pending_request> left;
    std::vector<pending_request> first;
    for (pending_request& it : std::exchange(deferred_, {})) {
        const bool answered = it.request.team == team && goes_first(it.request);
        (answered ? first : left).push_back(std::move(it));
    }
    deferred_ = std::move(left);
    std::ranges::stable_sort(first, [&](const auto& one, const auto& other) {
        return prepaid::goes_first(rank_of(one.request),
                                   rank_of(other.request));
    });
    for (const pending_request& it : first) {
        const bool waits = tables_.now() - it.at <= deferral_limit;
        send_grant(it.request, it.from, waits ? debit(it.request) : tokens(0));
    }
}

/// The rank of a peer's request; the last one if the peer isn't known.
prepaid::collector_rank
token_allocator::rank_of(const mesh::token_request& request) const
{
    const host_id* asker = host_of(request.incarnation, tables_.peers);
    return asker == nullptr
               ? prepaid::collector_rank{request.urgency, 0}
               : prepaid::rank_of(request.team, request.urgency, *asker);
}

/// Answers pending requests that can be granted in full now, and those made
/// before `begun` with what is available.
void token_allocator::answer_pending(instant begun)
{
    std::vector<pending_request> left;
    for (pending_request& it : std::exchange(pending_, {})) {
        const tokens free = tables_.token_balances.free_of(it.request.team);
        if (free >= it.request.wanted || it.at <= begun)
            send_grant(it.request, it.from, debit(it.request));
        else
            left.push_back(std::move(it));
    }
    pending_ = std::move(left);
    wake_waiters();
}

/// Reports a writer that does not answer. It is dead, or unreachable from this
/// node, which other nodes may notice later.
void token_allocator::check_writer_timeout()
{
    const mesh::peer_record* writer = refiller_.remote_writer();
    if (writer == nullptr)
        return;
    const instant now = tables_.now();
    const instant heard = last_grant_from_[writer->last.host];
    const bool silent = std::ranges::any_of(outstanding_, [&](const auto& it) {
        const outstanding_request& what = it.second;
        const duration timeout =
            what.background ? writer_stock_timeout : writer_timeout;
        return what.peer == writer->last.host && what.at > heard &&
               now - what.at > timeout &&
               now - what.at <= mesh::transfer_retention;
    });
    if (silent)
        refiller_.on_writer_timeout();
}

void token_allocator::send_grant(const mesh::token_request& request,
                                 const std::string& from, tokens amount)
{
    mesh::datagram message;
    message.grant = {request.incarnation, request.number, request.team, amount,
                     refiller_.allotted_of(request.team)};
    grants_.add(*message.grant, from, tables_.now());
    send_(from, message);
    if (amount == tokens(0))
        return;
    log_event(
        event::tokens_moved,
        {{"team", request.team.str()},
         {"amount", std::to_string(amount.count())},
         {"to", from},
         {"left", std::to_string(
                      tables_.token_balances.free_of(request.team).count())}});
    update_gauge();
    if (!std::exchange(repeats_grants_, true))
        spawn_lasting(
            tables_.io, [this] { return repeat_grants(); }, "grants");
}

/// Repeats grants until none is in transit.
awaitable<void> token_allocator::repeat_grants()
{
    asio::steady_timer timer(tables_.io);
    while (!grants_.none_open()) {
        co_await sleep_on(timer, grant_check_period);
        const instant now = tables_.now();
        for (const mesh::addressed_grant& it :
             grants_.end_lost(tables_.peers, now))
            log_stranded(it);
        for (const mesh::addressed_grant& it : grants_.take_due(now)) {
            mesh::datagram message;
            message.grant = it.grant;
            send_(it.to, message);
        }
        update_gauge();
    }
    repeats_grants_ = false;
}

void token_allocator::update_gauge()
{
    in_transit_gauge_.set(grants_.in_transit().count());
}

void token_allocator::on_grant_acknowledged(const mesh::token_grant_ack& ack)
{
    grants_.acknowledge(ack, tables_.now());
    update_gauge();
}

void token_allocator::on_token_grant(const mesh::token_grant& grant,
                                     const std::string& from)
{
    const bool asked = grant.incarnation == tables_.incarnation &&
                       grant.number <= last_number_;
    if (!asked)
        return;
    const auto it = outstanding_.find(grant.number);
    if (it != outstanding_.end() && it->second.team != grant.team)
        return;
    if (grant.amount > tokens(0)) {
        mesh::datagram message;
        message.grant_ack = {grant.incarnation, grant.number};
        send_(from, message);
    }
    if (it == outstanding_.end())
        return;
    last_grant_from_[it->second.peer] = tables_.now();
    outstanding_.erase(it);
    if (grant.allotted)
        refiller_.raise_allotted(grant.team, *grant.allotted);
    tables_.token_balances.credit(grant.team, grant.amount);
    wake_waiters();
}

void token_allocator::on_token_push(const mesh::token_push& push,
                                    const std::string& from)
{
    const auto key = std::make_pair(push.incarnation, push.number);
    if (pushes_received_.emplace(key, tables_.now()).second) {
        tables_.token_balances.credit(push.team, push.amount);
        log_event(event::tokens_moved,
                  {{"team", push.team.str()},
                   {"amount", std::to_string(push.amount.count())},
                   {"from", from}});
        wake_waiters();
    }
    mesh::datagram message;
    message.push_ack = {push.incarnation, push.number};
    send_(from, message);
}

void token_allocator::on_push_acknowledged(const mesh::token_push_ack& ack)
{
    if (ack.incarnation == tables_.incarnation)
        pushes_.erase(ack.number);
}

void token_allocator::on_draws(const mesh::datagram& message,
                               const std::string& from)
{
    draws_.on_message(message, from);
}

void token_allocator::on_heartbeat(const mesh::node_heartbeat& from)
{
    peers_.on_heartbeat(from, tables_.now());
}

void token_allocator::on_node_death(const host_id& host)
{
    const auto lost = peers_.forget(host);
    if (lost.empty())
        return;
    tokens total;
    for (const mesh::token_stock& it : lost)
        total += it.free;
    log_event(event::tokens_lost, {{"node", host.str()},
                                   {"teams", std::to_string(lost.size())},
                                   {"amount", std::to_string(total.count())}});
}

std::vector<mesh::token_stock> token_allocator::local_stock() const
{
    std::vector<mesh::token_stock> out;
    const instant now = tables_.now();
    for (const auto& [team, it] : tables_.token_balances.holdings()) {
        const tokens spending(static_cast<std::int64_t>(
            tables_.token_balances.spending(team, now)));
        if (it.free > tokens(0) || spending > tokens(0))
            out.push_back({team, it.free, spending});
    }
    return out;
}

/// Repeats a push until it is acknowledged, always to the same node: two nodes
/// could both credit it.
awaitable<void> token_allocator::repeat_push(mesh::token_push push,
                                             std::string to, instant until)
{
    asio::steady_timer timer(tables_.io);
    while (pushes_.contains(push.number) && tables_.now() < until) {
        mesh::datagram message;
        message.push = push;
        send_(to, message);
        co_await sleep_on(timer, push_repeat_interval);
    }
}

/// Begins to push the tokens that are free now.
void token_allocator::push_free_tokens(instant until)
{
    for (const mesh::token_stock& it : local_stock()) {
        if (it.free == tokens(0))
            continue;
        std::string taker;
        for (const host_id& host : refiller_.stock_holders(it.team))
            if (taker.empty() && host != tables_.settings.host)
                taker = tables_.peers.address_of(host);
        if (taker.empty())
            continue;
        last_number_ = last_number_.next();
        const mesh::token_push push{tables_.incarnation, last_number_, it.team,
                                    tables_.token_balances.debit_all(it.team)};
        pushes_[last_number_] = push;
        spawn(tables_.io, repeat_push(push, taker, until), "push");
    }
}

awaitable<void> token_allocator::push_all(duration limit)
{
    const instant until = tables_.now() + limit;
    push_free_tokens(until);
    grants_.hasten(tables_.now());
    asio::steady_timer timer(tables_.io);
    while (!(pushes_.empty() && grants_.none_open()) && tables_.now() < until) {
        co_await sleep_on(timer, push_repeat_interval / 3);
        push_free_tokens(until);
    }
    for (const auto& [number, push] : pushes_)
        log_event(event::tokens_stranded,
                  {{"team", push.team.str()},
                   {"amount", std::to_string(push.amount.count())}});
    for (const mesh::addressed_grant& it : grants_.open())
        log_stranded(it);
}

void token_allocator::forget_expired()
{
    const instant now = tables_.now();
    std::erase_if(outstanding_, [&](const auto& it) {
        return now - it.second.at > answer_retention;
    });
    grants_.forget_old(now);
    std::erase_if(pushes_received_, [&](const auto& it) {
        return now - it.second > mesh::transfer_retention;
    });
}

} // namespace fennelladder::edge
