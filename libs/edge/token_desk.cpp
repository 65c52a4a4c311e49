// A transfer is credited once for its number; its giver deducts once for the
// number and repeats the answer as often as it is asked. So whatever is lost,
// repeated or late, no tokens come into being.

#include "fennelladder/edge/token_desk.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

/// Between two looks at the stock.
constexpr duration stock_period = milliseconds(250);

/// Retry after a failed call, doubled up to the longest.
constexpr duration first_pause = milliseconds(200);
constexpr duration longest_pause = seconds(2);

/// Failures in a row that still lengthen the pause.
constexpr int most_failures = 8;

/// A record without anything left is read again after this long: others may
/// have been more modest than was thought, and a top-up shows by itself.
constexpr duration empty_record_age = seconds(5);

/// A peer in the fleet answers in a few milliseconds; then the next is asked.
constexpr duration peer_patience = milliseconds(15);

/// A write to the record takes some ten milliseconds.
constexpr duration record_patience = milliseconds(30);

/// Numbers of transfers are remembered for longer than any datagram lives.
constexpr duration transfer_memory = seconds(30);

/// What a peer said of its stock counts for this many periods of beacons.
constexpr int stock_periods = 5;

constexpr duration gift_repeat = milliseconds(60);

} // namespace

token_desk::token_desk(node_tables& tables, platform_client& client,
                       sender send)
    : tables_(tables), send_(std::move(send)),
      writer_(tables, client,
              [this](const prepaid::token_amounts& granted) { take(granted); }),
      wake_refill_(tables.io)
{}

void token_desk::start()
{
    spawn(tables_.io, keep_stock());
}

void token_desk::changed()
{
    for (const auto& it : waiting_)
        if (const auto timer = it.lock())
            timer->cancel();
    waiting_.clear();
}

awaitable<void> token_desk::wait_for_change(instant until)
{
    const duration left = until - tables_.now();
    if (left <= duration(0))
        co_return;
    auto timer = std::make_shared<asio::steady_timer>(tables_.io);
    waiting_.push_back(timer);
    co_await sleep_on(*timer, left);
}

// Spending.

awaitable<shortage> token_desk::obtain(const team_id& team, tokens amount,
                                       instant until)
{
    const auto* payer = tables_.config->find_team(team);
    if (payer == nullptr || !payer->prepaid || *payer->prepaid < amount)
        co_return shortage::never_covered;
    std::set<host_id> tried;
    bool waited = false;
    while (!tables_.purse.reserve(team, amount, tables_.now())) {
        if (tables_.now() >= until)
            co_return shortage_of(team);
        const tokens missing = amount - tables_.purse.free_of(team);
        const auto peer = best_peer(team, tried);
        duration pause = peer_patience;
        if (peer) {
            tried.insert(*peer);
            ask(*peer, team, missing);
        } else if (waited) {
            co_return shortage_of(team);
        } else {
            // Everybody was asked once. The stockists take more out of the
            // record now, if there is any; then they are asked once more.
            waited = true;
            tried.clear();
            pause = record_patience;
            if (takes_out(team, writers()))
                want(team, missing);
        }
        co_await wait_for_change(std::min(tables_.now() + pause, until));
    }
    co_return shortage::none;
}

shortage token_desk::shortage_of(const team_id& team) const
{
    const auto& record = writer_.record();
    const bool coming =
        tables_.contact.reached && record &&
        prepaid::left_of(*record, writer_.prepaid_totals(), team) > tokens(0);
    return coming ? shortage::short_for_a_moment : shortage::short_for_long;
}

/// Has the record asked for what a waiting request misses.
void token_desk::want(const team_id& team, tokens missing)
{
    tokens& wanted = wanted_[team];
    wanted = std::max(wanted, missing);
    wake_refill_.cancel();
}

std::vector<host_id> token_desk::writers() const
{
    return prepaid::writers_of(tables_.nodes.members(tables_.now()),
                               tables_.options.stock);
}

std::vector<host_id>
token_desk::stockists(const team_id& team,
                      const std::vector<host_id>& writers) const
{
    return prepaid::stockists_of(team, writers, tables_.options.stock);
}

/// Whether this node takes the team's tokens out of the record: as one of its
/// stockists, which it is too when it hears nobody else.
bool token_desk::takes_out(const team_id& team,
                           const std::vector<host_id>& writers) const
{
    const auto few = stockists(team, writers);
    return std::ranges::find(few, tables_.settings.host) != few.end();
}

void token_desk::settle(const team_id& team, tokens reserved, tokens used)
{
    tables_.purse.settle(team, reserved, used, tables_.now());
    if (used < reserved)
        changed();
}

// Transfers between nodes.

bool token_desk::is_fresh(const peer_stock& peer) const
{
    return tables_.now() - peer.heard < tables_.nodes.period() * stock_periods;
}

std::optional<host_id>
token_desk::best_peer(const team_id& team, const std::set<host_id>& tried) const
{
    if (!tables_.options.lends_tokens)
        return std::nullopt;
    std::optional<host_id> best;
    tokens most(0);
    for (const auto& [host, peer] : peers_) {
        const auto it = peer.stock.find(team);
        if (it == peer.stock.end() || tried.contains(host) || !is_fresh(peer))
            continue;
        if (it->second.free > most) {
            best = host;
            most = it->second.free;
        }
    }
    if (best)
        return best;
    // Nobody is known to have any: a stockist may have got some since.
    for (const host_id& it : stockists(team, writers()))
        if (!tried.contains(it) && peers_.contains(it))
            return it;
    return std::nullopt;
}

void token_desk::ask(const host_id& peer, const team_id& team, tokens amount)
{
    last_number_ = last_number_.next();
    asked_[last_number_] = {team, peer, tables_.now()};
    auto& known = peers_[peer];
    mesh::datagram message;
    message.ask = {tables_.life, last_number_, team, amount};
    // Until its next word, what was asked for counts as gone.
    tokens& free = known.stock[team].free;
    free = std::max(free - amount, tokens(0));
    send_(known.address, message);
}

void token_desk::on_ask(const mesh::token_ask& ask, const std::string& from)
{
    const auto key = std::make_pair(ask.life, ask.number);
    const auto known = answered_.find(key);
    if (known != answered_.end()) {
        mesh::datagram again;
        again.give = known->second.first;
        send_(from, again);
        return;
    }
    const tokens given = tables_.purse.debit(ask.team, ask.wanted);
    if (given < ask.wanted && takes_out(ask.team, writers()))
        want(ask.team, ask.wanted - given);
    give(ask, from, given);
}

void token_desk::give(const mesh::token_ask& ask, const std::string& from,
                      tokens amount)
{
    mesh::datagram message;
    message.give = {ask.life, ask.number, ask.team, amount};
    answered_[{ask.life, ask.number}] = {*message.give, tables_.now()};
    send_(from, message);
    if (amount > tokens(0))
        log_event(event::tokens_moved,
                  {{"team", ask.team.str()},
                   {"amount", std::to_string(amount.count())},
                   {"to", from},
                   {"left",
                    std::to_string(tables_.purse.free_of(ask.team).count())}});
}

void token_desk::on_give(const mesh::token_give& give)
{
    const auto it = asked_.find(give.number);
    const bool ours = give.life == tables_.life && it != asked_.end() &&
                      it->second.team == give.team;
    if (!ours)
        return;
    asked_.erase(it);
    tables_.purse.credit(give.team, give.amount);
    changed();
}

void token_desk::on_gift(const mesh::token_gift& gift, const std::string& from)
{
    const auto key = std::make_pair(gift.life, gift.number);
    if (gifts_taken_.emplace(key, tables_.now()).second) {
        tables_.purse.credit(gift.team, gift.amount);
        log_event(event::tokens_moved,
                  {{"team", gift.team.str()},
                   {"amount", std::to_string(gift.amount.count())},
                   {"from", from}});
        changed();
    }
    mesh::datagram message;
    message.gift_taken = {gift.life, gift.number};
    send_(from, message);
}

void token_desk::on_gift_taken(const mesh::token_gift_taken& taken)
{
    if (taken.life == tables_.life)
        gifts_.erase(taken.number);
}

void token_desk::on_stock(const mesh::beacon& from)
{
    peer_stock& it = peers_[from.host];
    it.address = from.peer_address;
    it.heard = tables_.now();
    it.stock.clear();
    if (from.state == mesh::node_state::leaving)
        return;
    for (const mesh::token_stock& stock : from.stock)
        it.stock[stock.team] = stock;
}

std::vector<mesh::token_stock> token_desk::own_stock() const
{
    std::vector<mesh::token_stock> out;
    const instant now = tables_.now();
    for (const auto& [team, it] : tables_.purse.holdings()) {
        const tokens spending(
            static_cast<std::int64_t>(tables_.purse.spending(team, now)));
        if (it.free > tokens(0) || spending > tokens(0))
            out.push_back({team, it.free, spending});
    }
    return out;
}

awaitable<void> token_desk::hand_over(duration limit)
{
    const instant until = tables_.now() + limit;
    const auto all = writers();
    for (const mesh::token_stock& it : own_stock()) {
        if (it.free == tokens(0))
            continue;
        std::vector<std::string> takers;
        for (const host_id& host : stockists(it.team, all))
            if (host != tables_.settings.host && peers_.contains(host))
                takers.push_back(peers_[host].address);
        if (takers.empty())
            continue;
        last_number_ = last_number_.next();
        mesh::token_gift gift{tables_.life, last_number_, it.team,
                              tables_.purse.debit_all(it.team)};
        gifts_[last_number_] = gift;
        // One taker a gift: two could both credit it.
        spawn(tables_.io,
              [](token_desk& desk, mesh::token_gift what, std::string to,
                 instant end) -> awaitable<void> {
                  asio::steady_timer timer(desk.tables_.io);
                  while (desk.gifts_.contains(what.number) &&
                         desk.tables_.now() < end) {
                      mesh::datagram message;
                      message.gift = what;
                      desk.send_(to, message);
                      co_await sleep_on(timer, gift_repeat);
                  }
              }(*this, gift, takers.front(), until));
    }
    asio::steady_timer timer(tables_.io);
    while (!gifts_.empty() && tables_.now() < until)
        co_await sleep_on(timer, gift_repeat / 3);
    for (const auto& [number, gift] : gifts_)
        log_event(event::tokens_stranded,
                  {{"team", gift.team.str()},
                   {"amount", std::to_string(gift.amount.count())}});
}

void token_desk::forget_old()
{
    const instant now = tables_.now();
    std::erase_if(asked_, [&](const auto& it) {
        return now - it.second.at > transfer_memory;
    });
    std::erase_if(answered_, [&](const auto& it) {
        return now - it.second.second > transfer_memory;
    });
    std::erase_if(gifts_taken_, [&](const auto& it) {
        return now - it.second > transfer_memory;
    });
}

// The platform's record.

prepaid::stock_state
token_desk::state_of(const team_id& team, tokens total,
                     const std::vector<host_id>& writers) const
{
    prepaid::stock_state out;
    out.prepaid = total;
    const auto few = stockists(team, writers);
    out.stockists = few.size();
    out.stockist = std::ranges::find(few, tables_.settings.host) != few.end();
    out.fleet_free = tables_.purse.free_of(team);
    if (out.stockist)
        out.stocked = out.fleet_free;
    out.fleet_spending = tables_.purse.spending(team, tables_.now());
    for (const auto& [host, peer] : peers_) {
        const auto it = peer.stock.find(team);
        if (it == peer.stock.end() || !is_fresh(peer))
            continue;
        out.fleet_free += it->second.free;
        if (std::ranges::find(few, host) != few.end())
            out.stocked += it->second.free;
        out.fleet_spending +=
            static_cast<double>(it->second.spent_per_second.count());
    }
    const auto wanted = wanted_.find(team);
    if (wanted != wanted_.end())
        out.waited_for = wanted->second;
    return out;
}

prepaid::token_amounts token_desk::wishes() const
{
    prepaid::token_amounts out;
    const auto totals = writer_.prepaid_totals();
    const auto all = writers();
    for (const auto& [team, total] : totals) {
        prepaid::stock_state state = state_of(team, total, all);
        state.left = prepaid::left_of(*writer_.record(), totals, team);
        const tokens wish = prepaid::stock_wish(state, tables_.options.stock);
        if (wish > tokens(0))
            out[team] = wish;
    }
    return out;
}

void token_desk::take(const prepaid::token_amounts& granted)
{
    for (const auto& [team, amount] : granted) {
        tables_.purse.credit(team, amount);
        wanted_.erase(team);
    }
    changed();
}

/// One look at the stock. False when a call to the platform failed.
awaitable<bool> token_desk::tend_stock()
{
    const auto all = writers();
    const bool writer = std::ranges::any_of(
        tables_.config->parts().teams,
        [&](const catalog::team& it) { return takes_out(it.id, all); });
    if (!writer && !writer_.in_doubt())
        co_return true;
    // A record without anything left may have become better than it looks.
    const duration most_age =
        wanted_.empty() ? duration::max() : empty_record_age;
    const bool known = co_await writer_.renew(most_age);
    if (!known)
        co_return false;
    const bool urgent = !wanted_.empty();
    const prepaid::stock_options& options = tables_.options.stock;
    const duration rested = tables_.now() - last_write_;
    if (!urgent && rested < options.write_pause)
        co_return true;
    if (rested < options.urgent_pause) {
        // What others come to want meanwhile goes into the same write.
        asio::steady_timer timer(tables_.io);
        co_await sleep_on(timer, options.urgent_pause - rested);
    }
    const auto amounts = wishes();
    wanted_.clear();
    if (amounts.empty())
        co_return true;
    const bool written = co_await writer_.take_out(amounts);
    last_write_ = tables_.now();
    co_return written;
}

awaitable<void> token_desk::keep_stock()
{
    instant not_before;
    for (;;) {
        co_await sleep_on(wake_refill_, stock_period);
        forget_old();
        const bool idle = tables_.config == nullptr || tables_.leaving ||
                          tables_.now() < not_before;
        if (idle)
            continue;
        const bool fine = co_await tend_stock();
        failures_ = fine ? 0 : std::min(failures_ + 1, most_failures);
        if (!fine)
            not_before = tables_.now() + backoff(tables_.random, failures_,
                                                 first_pause, longest_pause);
    }
}

} // namespace fennelladder::edge
