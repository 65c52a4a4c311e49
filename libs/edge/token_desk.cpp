// A transfer is credited once for its number; its giver deducts once for the
// number and repeats the answer as often as it is asked. So whatever is lost,
// repeated or late, no tokens come into being.

#include "fennelladder/edge/token_desk.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

/// A peer in the fleet answers in a few milliseconds; then the next is asked.
constexpr duration peer_patience = milliseconds(15);

/// A write to the record takes some ten milliseconds.
constexpr duration record_patience = milliseconds(30);

/// What a request asks of the record in all: by its first question it may get
/// less than it needs, since others wait as well. A limit, because each end of
/// a round of writes wakes those that wait, and a question begins a round.
constexpr int most_questions = 3;

/// Numbers of transfers are remembered for longer than any datagram lives.
constexpr duration transfer_memory = seconds(30);

/// The writer answers a request's question within two writes, and one for
/// stock after its next regular write, unless it is dead or cut off.
constexpr duration writer_patience = milliseconds(500);
constexpr duration writer_stock_patience = milliseconds(2500);

constexpr duration gift_repeat = milliseconds(60);

} // namespace

/// Counts a request as waiting for as long as it lives. It shares the counts:
/// requests that still wait as a node ends are destroyed with the io_context
/// that holds their coroutines, after the desk. Counts of the desk's own would
/// be gone by then, and taking a request out of them frees them twice.
class token_desk::waiting_request
{
public:
    waiting_request(std::shared_ptr<waiting_counts> counts, const team_id& team)
        : counts_(std::move(counts)), team_(team)
    {
        ++(*counts_)[team_];
    }

    waiting_request(const waiting_request&) = delete;
    waiting_request& operator=(const waiting_request&) = delete;

    ~waiting_request()
    {
        const auto it = counts_->find(team_);
        if (--it->second == 0)
            counts_->erase(it);
    }

private:
    std::shared_ptr<waiting_counts> counts_;
    team_id team_;
};

token_desk::token_desk(node_tables& tables, platform_client& client,
                       sender send)
    : tables_(tables), send_(std::move(send)), shares_(tables.options.ration),
      keeper_(tables, client, peers_,
              {.credited = [this] { answer_pending(instant()); },
               .round_over =
                   [this](instant begun) {
                       answer_pending(begun);
                       note_silent_writer();
                       forget_old();
                   },
               .ask =
                   [this](const host_id& writer, const team_id& team,
                          tokens amount) {
                       ask(writer,
                           {.team = team, .wanted = amount, .patient = true});
                   }})
{}

void token_desk::start()
{
    keeper_.start();
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
                                       int urgency, instant until)
{
    const auto* payer = tables_.config->find_team(team);
    if (payer == nullptr || !payer->prepaid || *payer->prepaid < amount)
        co_return shortage::never_covered;
    shares_.note(team, urgency, amount, tables_.now());
    const waiting_request here(waiting_by_team_, team);
    std::set<host_id> tried;
    std::optional<record_question> asked;
    int questions = 0;
    while (!reserve(team, amount, urgency)) {
        if (tables_.now() >= until)
            co_return shortage_of(team);
        const auto peer = best_peer(team, tried);
        const tokens missing = missing_of(team, amount, urgency);
        const tokens wanted = missing + wanted_beyond(team);
        duration pause = peer_patience;
        if (peer) {
            tried.insert(*peer);
            ask(*peer, {.team = team, .wanted = wanted, .urgency = urgency});
        } else if (asked && !is_over(*asked)) {
            pause = until - tables_.now();
        } else if (questions == 0 || (questions < most_questions &&
                                      !is_hopeless(team, missing))) {
            // What others have by then is asked for once more.
            ++questions;
            tried.clear();
            asked = ask_for_more(team, wanted, urgency);
            pause = record_patience;
        } else {
            co_return shortage_of(team);
        }
        co_await wait_for_change(std::min(tables_.now() + pause, until));
    }
    co_return shortage::none;
}

/// While no tokens come, what is left has to last. The platform is away, or
/// has nothing left of the team's.
tokens token_desk::kept_back(const team_id& team, int urgency) const
{
    return keeper_.is_scarce(team)
               ? shares_.kept_back(team, urgency, tables_.now())
               : tokens(0);
}

bool token_desk::reserve(const team_id& team, tokens amount, int urgency)
{
    if (tables_.purse.free_of(team) - amount < kept_back(team, urgency))
        return false;
    return tables_.purse.reserve(team, amount, tables_.now());
}

/// Takes out of the purse what a peer may have of what it asks for.
tokens token_desk::debit(const mesh::token_ask& ask)
{
    const tokens free = tables_.purse.free_of(ask.team);
    const tokens spare = free - kept_back(ask.team, ask.urgency);
    return tables_.purse.debit(ask.team,
                               std::clamp(spare, tokens(0), ask.wanted));
}

/// What to ask others for. Where several requests of the team wait, each would
/// count the same free tokens as its own, and together they would ask for too
/// little.
tokens token_desk::missing_of(const team_id& team, tokens amount,
                              int urgency) const
{
    const auto waiting = waiting_by_team_->find(team);
    const bool alone =
        waiting == waiting_by_team_->end() || waiting->second <= 1;
    const tokens spare = tables_.purse.free_of(team) - kept_back(team, urgency);
    return alone ? amount - std::max(spare, tokens(0)) : amount;
}

tokens token_desk::wanted_beyond(const team_id& team) const
{
    const tokens left =
        keeper_.is_scarce(team) ? tokens(0) : keeper_.left_of(team);
    return prepaid::ask_beyond(tables_.purse.spending(team, tables_.now()),
                               left, tables_.options.stock);
}

/// Has tokens taken out of the record, here or where it is written.
token_desk::record_question
token_desk::ask_for_more(const team_id& team, tokens missing, int urgency)
{
    const mesh::node_row* writer = keeper_.writer_elsewhere();
    if (writer == nullptr)
        return {.round = keeper_.want(team, missing, false)};
    if (!tables_.options.requests_peer_tokens)
        return {};
    return {.number =
                ask(writer->last.host,
                    {.team = team, .wanted = missing, .urgency = urgency})};
}

bool token_desk::is_over(const record_question& question) const
{
    if (question.number)
        return !asked_.contains(*question.number);
    return !question.round || keeper_.is_over(*question.round);
}

/// Whether the record can't be what brings them.
bool token_desk::is_hopeless(const team_id& team, tokens missing) const
{
    return !keeper_.reaches_platform() || keeper_.left_of(team) < missing;
}

shortage token_desk::shortage_of(const team_id& team) const
{
    return keeper_.is_scarce(team) ? shortage::short_for_long
                                   : shortage::short_for_a_moment;
}

void token_desk::settle(const team_id& team, tokens reserved, tokens used)
{
    tables_.purse.settle(team, reserved, used, tables_.now());
    if (used < reserved)
        changed();
}

// Transfers between nodes.

std::optional<host_id>
token_desk::best_peer(const team_id& team, const std::set<host_id>& tried) const
{
    if (!tables_.options.requests_peer_tokens)
        return std::nullopt;
    const instant since = tables_.now() - tables_.stock_update_lifetime();
    if (auto best = peers_.richest(team, tried, since))
        return best;
    // Nobody is known to have any: a stockist may have got some since.
    for (const host_id& it : keeper_.stockists(team))
        if (!tried.contains(it) && tables_.peers.rows().contains(it))
            return it;
    return std::nullopt;
}

std::string token_desk::address_of(const host_id& host) const
{
    const auto it = tables_.peers.rows().find(host);
    return it == tables_.peers.rows().end() ? std::string()
                                            : it->second.last.peer_address;
}

/// Asks with the next number; `what` says the rest.
mesh::transfer_number token_desk::ask(const host_id& peer, mesh::token_ask what)
{
    last_number_ = last_number_.next();
    what.life = tables_.life;
    what.number = last_number_;
    asked_[last_number_] = {what.team, peer, tables_.now(), what.patient};
    peers_.deduct(peer, what.team, what.wanted);
    mesh::datagram message;
    message.ask = std::move(what);
    send_(address_of(peer), message);
    return last_number_;
}

void token_desk::on_ask(const mesh::token_ask& ask, const std::string& from)
{
    const transfer_key key{ask.life, ask.number};
    const auto known = answered_.find(key);
    if (known != answered_.end()) {
        mesh::datagram again;
        again.give = known->second.first;
        send_(from, again);
        return;
    }
    const bool waits =
        std::ranges::any_of(pending_, [&](const pending_ask& it) {
            return it.ask.life == ask.life && it.ask.number == ask.number;
        });
    if (waits)
        return;
    if (!ask.patient)
        shares_.note(ask.team, ask.urgency, ask.wanted, tables_.now());
    const tokens free = tables_.purse.free_of(ask.team);
    if (free < ask.wanted && keeper_.may_take_out(ask.team)) {
        pending_.push_back({ask, from, tables_.now()});
        keeper_.want(ask.team, ask.wanted - free, ask.patient);
        return;
    }
    // Two nodes that are short would hand the same tokens to and fro.
    const bool none_to_spare = waiting_by_team_->contains(ask.team) &&
                               keeper_.writer_elsewhere() != nullptr;
    give(ask, from, none_to_spare ? tokens(0) : debit(ask));
}

/// Answers those that wait and can have all they want now, and those that wait
/// since before `begun` with what there is.
void token_desk::answer_pending(instant begun)
{
    std::vector<pending_ask> left;
    for (pending_ask& it : std::exchange(pending_, {})) {
        const tokens free = tables_.purse.free_of(it.ask.team);
        if (free >= it.ask.wanted || it.at <= begun)
            give(it.ask, it.from, debit(it.ask));
        else
            left.push_back(std::move(it));
    }
    pending_ = std::move(left);
    changed();
}

/// A writer that doesn't answer is dead, or cut off from here, and others may
/// need longer to notice.
void token_desk::note_silent_writer()
{
    const mesh::node_row* writer = keeper_.writer_elsewhere();
    if (writer == nullptr)
        return;
    const instant now = tables_.now();
    const instant heard = answered_by_[writer->last.host];
    const bool silent = std::ranges::any_of(asked_, [&](const auto& it) {
        const asked& what = it.second;
        const duration patience =
            what.patient ? writer_stock_patience : writer_patience;
        return what.peer == writer->last.host && what.at > heard &&
               now - what.at > patience;
    });
    if (silent)
        keeper_.writer_is_silent();
}

void token_desk::give(const mesh::token_ask& ask, const std::string& from,
                      tokens amount)
{
    mesh::datagram message;
    message.give = {ask.life, ask.number, ask.team, amount,
                    keeper_.allotted_of(ask.team)};
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
    answered_by_[it->second.peer] = tables_.now();
    asked_.erase(it);
    if (give.allotted)
        keeper_.learn_allotted(give.team, *give.allotted);
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
    peers_.hear(from, tables_.now());
}

void token_desk::on_death(const host_id& host)
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

/// One taker a gift: two could both credit it.
awaitable<void> token_desk::repeat_gift(mesh::token_gift gift, std::string to,
                                        instant until)
{
    asio::steady_timer timer(tables_.io);
    while (gifts_.contains(gift.number) && tables_.now() < until) {
        mesh::datagram message;
        message.gift = gift;
        send_(to, message);
        co_await sleep_on(timer, gift_repeat);
    }
}

awaitable<void> token_desk::hand_over(duration limit)
{
    const instant until = tables_.now() + limit;
    for (const mesh::token_stock& it : own_stock()) {
        if (it.free == tokens(0))
            continue;
        std::string taker;
        for (const host_id& host : keeper_.stockists(it.team))
            if (taker.empty() && host != tables_.settings.host)
                taker = address_of(host);
        if (taker.empty())
            continue;
        last_number_ = last_number_.next();
        const mesh::token_gift gift{tables_.life, last_number_, it.team,
                                    tables_.purse.debit_all(it.team)};
        gifts_[last_number_] = gift;
        spawn(tables_.io, repeat_gift(gift, taker, until));
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

} // namespace fennelladder::edge
