// Outputs of the agent go out as they come: wishes to the committer of their
// shard, questions through the call queue. Whatever gets lost on the way the
// agent repeats at its tick, so nothing here retries.

#include "ledger_service.hpp"

#include "fennelladder/base/hash.hpp"
#include "fennelladder/peer/messages.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <functional>
#include <future>
#include <thread>

namespace fennelladder::node {

namespace {

constexpr duration forward_timeout = seconds(1);
constexpr duration ask_timeout = milliseconds(400);
constexpr duration claim_timeout = seconds(3);
constexpr duration claim_pause = milliseconds(50);
constexpr std::size_t committer_threads = 4;
constexpr std::size_t owner_candidates = 2;
constexpr std::size_t witness_count = 2;
constexpr std::size_t layout_peers = 3;
constexpr duration gone_patience = seconds(10);
constexpr duration topup_travel = seconds(5);

std::uint64_t score(std::string_view what, const incarnation_id& who)
{
    return hash64(who.str(), hash64(what));
}

} // namespace

result<std::vector<journal::applied_record>>
peer_forwarder::forward(const incarnation_id& owner, shard_id shard,
                        const std::vector<journal::record>& records)
{
    const auto peer = members_.find(owner);
    if (!peer)
        return fail(error_code::unavailable, "owner is away");
    const auto answer = peers_.send_request(
        peer->address, peer::topic::append,
        peer::encode(peer::append_request{shard, records}), forward_timeout);
    if (!answer)
        return tl::unexpected(answer.error());
    return peer::decode_append_response(*answer);
}

ledger_service::ledger_service(const node_options& options,
                               const incarnation_id& self,
                               platform::object_store& store,
                               peer::peer_network& peers,
                               member_service& members,
                               configuration_service& config, const clock& time,
                               call_queue& calls)
    : options_(options), self_(self), store_(store), peers_(peers),
      members_(members), config_(config), clock_(time), calls_(calls),
      forwarder_(peers, members)
{}

ledger_service::~ledger_service() = default;

// Guards against a node that starts during an outage of the platform and stays
// out of work until its end, though its peers have all else that it needs. A
// peer's word is as good as the store's, since the layout never changes.
result<journal::journal_layout> ledger_service::find_layout()
{
    findings found;
    const journal::journal_layout wanted{.shards = options_.shards};
    auto layout = journal::establish_layout(store_, wanted, found);
    const bool silent =
        !layout && (layout.error().code == error_code::unavailable ||
                    layout.error().code == error_code::ambiguous);
    std::size_t asked = 0;
    const auto view = members_.peers();
    for (const peer_info& it : *view) {
        if (!silent || layout || asked == layout_peers)
            break;
        if (!it.serving)
            continue;
        ++asked;
        const auto bytes = peers_.send_request(it.address, peer::topic::layout,
                                               {}, ask_timeout);
        if (!bytes)
            continue;
        if (auto read = journal::adopt_layout(*bytes, wanted, found))
            layout = std::move(read);
    }
    for (const finding& it : found.all())
        telemetry::log_event(
            it.event, {{"host", options_.host.str()}, {"message", it.message}});
    return layout;
}

status ledger_service::open()
{
    const auto layout = find_layout();
    if (!layout)
        return tl::unexpected(layout.error());
    layout_ = *layout;
    const auto config = config_.in_force();
    const bool careful =
        config->deployment().weighs == manifest::weight::overspend;
    budget::agent_options agent;
    agent.refill =
        budget::policy_for(careful ? budget::preference::overspend
                                   : budget::preference::false_refusal);
    agent_ = std::make_unique<budget::budget_agent>(
        self_, *this,
        [this](const budget_id& it) { return shard_of_budget(it); }, agent);
    journal::committer_options commit;
    commit.flush_interval = options_.flush_interval;
    commit.gate = std::make_shared<journal::outage_gate>(
        options_.seed + 2, milliseconds(100), seconds(2));
    std::vector<journal::group_committer*> all;
    for (std::uint32_t n = 0; n < layout_.shards; ++n) {
        const shard_id shard(n);
        committers_.push_back(std::make_unique<journal::group_committer>(
            store_, layout_, shard, self_, budget::books_factory(),
            [this, shard] { return ranking(shard); }, &forwarder_,
            options_.seed + 3 + n, commit));
        all.push_back(committers_.back().get());
    }
    runner_ = std::make_unique<journal::commit_runner>(all, clock_,
                                                       committer_threads);
    open_ = true;
    return {};
}

shard_id ledger_service::shard_of_team(const team_id& team) const
{
    return journal::shard_of(team, layout_.shards);
}

shard_id ledger_service::shard_of_budget(const budget_id& budget) const
{
    const auto found = config_.in_force()->find_budget(budget);
    return shard_of_team(found ? found->team : team_id());
}

journal::group_committer& ledger_service::committer(shard_id shard) const
{
    return *committers_[shard.value() % committers_.size()];
}

std::vector<incarnation_id> ledger_service::ranking(shard_id shard) const
{
    std::vector<incarnation_id> members{self_};
    const auto view = members_.peers();
    for (const peer_info& it : *view) {
        if (it.serving)
            members.push_back(it.life);
    }
    return journal::rank_owners(shard, members, owner_candidates);
}

std::vector<incarnation_id>
ledger_service::homes_of(const budget_id& budget) const
{
    struct home
    {
        data_center_id where;
        incarnation_id who;
        std::uint64_t points;
    };
    std::vector<home> best{
        {options_.data_center, self_, score(budget.str(), self_)}};
    const auto view = members_.peers();
    for (const peer_info& it : *view) {
        if (!it.serving)
            continue;
        const home one{it.data_center, it.life, score(budget.str(), it.life)};
        const auto at = std::ranges::find(best, one.where, &home::where);
        if (at == best.end())
            best.push_back(one);
        else if (at->points < one.points)
            *at = one;
    }
    std::sort(best.begin() + 1, best.end(),
              [](const home& a, const home& b) { return a.where < b.where; });
    std::vector<incarnation_id> homes;
    homes.reserve(best.size());
    for (const home& it : best)
        homes.push_back(it.who);
    return homes;
}

// -- carrying out

void ledger_service::carry_out(const budget::agent_output& out)
{
    for (const budget::book_wish& it : out.wishes)
        send_wish(it);
    for (const auto& it : out.asks)
        calls_.post([this, it] { send_ask(it); });
    for (const auto& it : out.words)
        calls_.post([this, it] { send_word(it); });
    for (const auto& it : out.ceilings)
        calls_.post([this, it] { send_ceiling(it); });
    for (const auto& it : out.copies)
        calls_.post([this, it] { send_copies(it); });
    if (!out.woken.empty())
        wake();
}

void ledger_service::wake()
{
    {
        const std::lock_guard lock(wait_mutex_);
        ++wakes_;
    }
    woken_.notify_all();
}

void ledger_service::send_wish(const budget::book_wish& wish)
{
    const auto taken =
        committer(wish.shard)
            .submit(
                budget::record_type(wish.body),
                budget::encode_record(wish.body),
                [this, wish](const auto& made) { on_applied(wish, made); },
                clock_.now());
    if (taken)
        return;
    budget::agent_output out;
    agent_->on_outcome(wish, nullptr, clock_.now(), out);
    carry_out(out);
}

void ledger_service::on_applied(const budget::book_wish& wish,
                                const journal::applied_record& made)
{
    auto outcome = budget::decode_outcome(made.reply);
    budget::agent_output out;
    if (outcome)
        record_bill(wish, *outcome);
    if (!outcome || outcome->what != budget::verdict::applied)
        telemetry::log_event(
            telemetry::event::wish_not_applied,
            {{"host", options_.host.str()},
             {"shard", std::to_string(wish.shard.value())},
             {"record", std::to_string(budget::record_type(wish.body))},
             {"verdict",
              std::string(outcome ? to_string(outcome->what) : "unreadable")}});
    // Without a verdict it may have been applied: for a give-back that must
    // not be taken for a record that never got there.
    if (!outcome && std::holds_alternative<budget::give_back>(wish.body)) {
        outcome.emplace();
        outcome->what = budget::verdict::replayed;
    }
    agent_->on_outcome(wish, outcome ? &*outcome : nullptr, clock_.now(), out);
    carry_out(out);
    wake();
}

void ledger_service::record_bill(const budget::book_wish& wish,
                                 const budget::outcome& made)
{
    const auto* charge = std::get_if<budget::bill>(&wish.body);
    if (charge != nullptr && made.what != budget::verdict::refused && billed_)
        billed_(charge->team, charge->key);
    if (charge == nullptr || made.what != budget::verdict::applied ||
        charge->outcome == budget::bill_outcome::not_run)
        return;
    const auto biller = charge->biller.empty() ? self_ : charge->biller;
    history::record(
        options_.history, clock_.now(), history::node_id(self_.str()),
        history::billed{history::global_key(charge->team, charge->key),
                        charge->budget, charge->amount,
                        history::bill_id(biller.str() + "/" +
                                         std::to_string(wish.shard.value()) +
                                         "/" +
                                         std::to_string(charge->number))});
}

void ledger_service::send_ask(const budget::transfer_ask& ask)
{
    std::optional<budget::transfer_reply> reply;
    if (const auto peer = members_.find(ask.giver)) {
        const auto bytes = peers_.send_request(
            peer->address, peer::topic::transfer,
            peer::encode(peer::transfer_request(ask)), ask_timeout);
        if (bytes) {
            if (auto read = peer::decode_transfer_response(*bytes))
                reply = *read;
        }
    }
    budget::agent_output out;
    agent_->on_reply(ask, reply ? &*reply : nullptr, clock_.now(), out);
    carry_out(out);
    wake();
}

void ledger_service::send_word(const budget::transfer_confirm& word)
{
    const auto peer = members_.find(word.giver);
    if (!peer)
        return;
    if (peers_.send_request(peer->address, peer::topic::transfer,
                            peer::encode(peer::transfer_request(word)),
                            ask_timeout))
        agent_->on_word_taken(word);
}

void ledger_service::send_ceiling(const budget::ceiling_ask& ask)
{
    bool agreed = false;
    if (const auto peer = members_.find(ask.witness)) {
        const auto bytes =
            peers_.send_request(peer->address, peer::topic::witness,
                                peer::encode(ask), ask_timeout);
        if (bytes)
            agreed = peer::decode_bool(*bytes).value_or(false);
    }
    budget::agent_output out;
    agent_->on_ceiling(ask, agreed, clock_.now(), out);
    carry_out(out);
}

void ledger_service::send_copies(const budget::copy_message& copies)
{
    incarnation_id keeper;
    {
        const std::lock_guard lock(witness_mutex_);
        if (!witnesses_.empty())
            keeper = witnesses_.front();
    }
    bool kept = false;
    if (const auto peer = members_.find(keeper)) {
        const auto bytes =
            peers_.send_request(peer->address, peer::topic::keep_bills,
                                peer::encode(copies), ask_timeout);
        if (bytes)
            kept = peer::decode_bool(*bytes).value_or(false);
    }
    agent_->on_copied(copies, kept);
}

// -- requests

std::optional<budget::reservation>
ledger_service::reserve(const budget_id& budget, tokens worst)
{
    const instant until = clock_.now() + agent_->patience();
    while (true) {
        std::uint64_t seen = 0;
        {
            const std::lock_guard lock(wait_mutex_);
            seen = wakes_;
        }
        budget::agent_output out;
        auto made = agent_->admit(budget, worst, clock_.now(), out);
        carry_out(out);
        if (made.held)
            return std::move(made.held);
        const instant now = clock_.now();
        const bool wait = made.wait || tokens_may_come(budget, now);
        if (!wait || now >= until)
            return {};
        std::unique_lock lock(wait_mutex_);
        woken_.wait_for(lock, std::min(until - now, duration(milliseconds(50))),
                        [&] { return wakes_ != seen; });
    }
}

// Guards against refusing a budget that was just accepted: its first top-up is
// on its way to the journal, where this node finds none yet.
bool ledger_service::tokens_may_come(const budget_id& budget, instant now) const
{
    if (now - configured_at_.load() > topup_travel)
        return false;
    const auto level = agent_->table().level(budget);
    return !level || level->capital == tokens();
}

void ledger_service::on_configuration(instant now)
{
    configured_at_ = now;
    topups_due_ = true;
}

void ledger_service::cancel(budget::reservation held)
{
    agent_->cancel(std::move(held));
}

void ledger_service::hold(budget::reservation held)
{
    agent_->hold(held);
}

tokens ledger_service::finish(budget::reservation held, budget::bill charge)
{
    const auto done =
        agent_->finish(std::move(held), std::move(charge), clock_.now());
    return done.charged;
}

std::optional<budget::outcome>
ledger_service::claim_once(shard_id shard, const budget::claim& wish,
                           duration limit)
{
    const budget::record_body body = wish;
    auto promise = std::make_shared<std::promise<budget::outcome>>();
    auto made = promise->get_future();
    const auto taken = committer(shard).submit(
        budget::record_type(body), budget::encode_record(body),
        [promise](const journal::applied_record& it) {
            auto outcome = budget::decode_outcome(it.reply);
            promise->set_value(outcome.value_or(budget::outcome{}));
        },
        clock_.now());
    if (!taken || made.wait_for(limit) != std::future_status::ready)
        return {};
    return made.get();
}

claim_answer ledger_service::claim(const team_id& team, const request_key& key)
{
    const shard_id shard = shard_of_team(team);
    const instant until = clock_.now() + claim_timeout;
    claim_answer answer;
    std::optional<budget::outcome> made;
    // The books refuse the claims of a node whose join they don't hold yet: a
    // node that has just started, and got its first tokens from a peer. The
    // join is on its way.
    while (clock_.now() < until) {
        made = claim_once(shard, {.team = team, .key = key, .at = clock_.now()},
                          until - clock_.now());
        if (!made || made->what != budget::verdict::refused)
            break;
        std::this_thread::sleep_for(claim_pause);
    }
    if (!made)
        return answer;
    if (made->what == budget::verdict::applied) {
        answer.what = claim_answer::kind::claimed;
    } else if (made->what == budget::verdict::duplicate) {
        answer.what = claim_answer::kind::lost;
        answer.owner = made->key_owner;
        if (auto recorded = find_key(team, key))
            answer.recorded = *recorded;
    }
    return answer;
}

result<std::optional<budget::key_record>>
ledger_service::find_key(const team_id& team, const request_key& key)
{
    std::optional<budget::key_record> found;
    const auto ok =
        committer(shard_of_team(team)).read([&](const journal::fold& it) {
            found = budget::books_of(it.state()).find_key(team, key);
        });
    if (!ok)
        return tl::unexpected(ok.error());
    return found;
}

result<balance> ledger_service::find_balance(const team_id& team,
                                             const budget_id& budget)
{
    balance found;
    found.here = agent_->table().level(budget);
    const auto ok =
        committer(shard_of_team(team)).read([&](const journal::fold& it) {
            found.books = budget::books_of(it.state()).find_budget(budget);
        });
    if (!ok)
        return tl::unexpected(ok.error());
    return found;
}

// -- peers

result<std::string> ledger_service::on_append(std::string_view bytes)
{
    if (!open_)
        return fail(error_code::unavailable, "not open yet");
    auto asked = peer::decode_append_request(bytes);
    if (!asked)
        return tl::unexpected(asked.error());
    using answer = result<std::vector<journal::applied_record>>;
    auto promise = std::make_shared<std::promise<answer>>();
    auto made = promise->get_future();
    const auto taken =
        committer(asked->shard)
            .gather(
                std::move(asked->records),
                [promise](answer it) { promise->set_value(std::move(it)); },
                clock_.now());
    if (!taken)
        return tl::unexpected(taken.error());
    if (made.wait_for(forward_timeout) != std::future_status::ready)
        return fail(error_code::ambiguous, "the journal takes long");
    const answer it = made.get();
    if (!it)
        return tl::unexpected(it.error());
    return peer::encode(*it);
}

result<std::string> ledger_service::on_transfer(std::string_view bytes)
{
    if (!open_)
        return fail(error_code::unavailable, "not open yet");
    const auto asked = peer::decode_transfer_request(bytes);
    if (!asked)
        return tl::unexpected(asked.error());
    if (const auto* word = std::get_if<budget::transfer_confirm>(&*asked)) {
        agent_->take_word(*word);
        return std::string();
    }
    budget::agent_output out;
    const auto reply =
        agent_->give(std::get<budget::transfer_ask>(*asked), clock_.now(), out);
    carry_out(out);
    return peer::encode(reply);
}

result<std::string> ledger_service::on_witness(std::string_view bytes)
{
    if (!open_)
        return fail(error_code::unavailable, "not open yet");
    const auto asked = peer::decode_witness_request(bytes);
    if (!asked)
        return tl::unexpected(asked.error());
    return peer::encode_bool(agent_->vouch(*asked));
}

result<std::string> ledger_service::on_copies(std::string_view bytes)
{
    if (!open_)
        return fail(error_code::unavailable, "not open yet");
    const auto asked = peer::decode_copies_request(bytes);
    if (!asked)
        return tl::unexpected(asked.error());
    return peer::encode_bool(agent_->keep_copies(*asked));
}

result<std::string> ledger_service::on_layout() const
{
    if (!open_)
        return fail(error_code::unavailable, "not open yet");
    return journal::encode_layout(layout_);
}

// -- time

void ledger_service::tick()
{
    if (!open_)
        return;
    bool reachable = true;
    for (const auto& it : committers_) {
        const auto figures = it->figures();
        if (figures.pending > 0 && figures.last_failure >= 0)
            reachable = false;
    }
    agent_->set_store_reachable(reachable);
    choose_witnesses();
    if (topups_due_.exchange(false))
        tend();
    budget::agent_output out;
    agent_->tick(clock_.now(), out);
    if (out.fenced)
        telemetry::log_event(telemetry::event::node_fenced,
                             {{"host", options_.host.str()}});
    carry_out(out);
}

// One witness elsewhere, which also keeps copies of bills, and one in this
// data center: whichever side of a cut the node is on, it reaches one. Without
// other nodes here the second is elsewhere as well.
void ledger_service::choose_witnesses()
{
    struct candidate
    {
        bool here = false;
        std::uint64_t points = 0;
        incarnation_id who;
    };
    std::vector<candidate> all;
    const auto view = members_.peers();
    for (const peer_info& it : *view) {
        if (it.serving)
            all.push_back({it.data_center == options_.data_center,
                           score(self_.str(), it.life), it.life});
    }
    std::ranges::sort(all, std::greater(), &candidate::points);
    std::stable_partition(all.begin(), all.end(),
                          [](const candidate& it) { return !it.here; });
    const auto near = std::ranges::find(all, true, &candidate::here);
    if (all.size() > 2 && near != all.end())
        std::iter_swap(all.begin() + 1, near);
    std::vector<incarnation_id> chosen;
    for (std::size_t n = 0; n < std::min(all.size(), witness_count); ++n)
        chosen.push_back(all[n].who);
    {
        const std::lock_guard lock(witness_mutex_);
        if (chosen == witnesses_)
            return;
        witnesses_ = chosen;
    }
    agent_->set_witnesses(std::move(chosen), clock_.now());
}

void ledger_service::tend()
{
    if (!open_)
        return;
    const std::lock_guard lock(tend_mutex_);
    tend_gone();
    for (std::uint32_t n = 0; n < layout_.shards; ++n) {
        const shard_id shard(n);
        const auto owners = ranking(shard);
        if (owners.empty() || owners.front() != self_)
            continue;
        bring_topups(shard);
        // One shard's books a call, so that the platform sees one read a
        // second from a node, however many shards it tends.
        if (tended_ % layout_.shards == n)
            tend_fences(shard);
    }
    ++tended_;
}

void ledger_service::bring_topups(shard_id shard)
{
    const auto config = config_.in_force();
    const instant now = clock_.now();
    config->for_each_budget([&](const manifest::budget& it) {
        if (shard_of_team(it.team) != shard)
            return;
        for (const manifest::topup& paid : it.topups) {
            const std::string name = it.id.str() + "/" + paid.id.str();
            if (!topups_brought_.insert(name).second)
                continue;
            const budget::topup wish{it.team, it.id, paid.id, paid.amount};
            const budget::record_body body = wish;
            const auto taken = committer(shard).submit(
                budget::record_type(body), budget::encode_record(body),
                [this, wish](const journal::applied_record& made) {
                    const auto outcome = budget::decode_outcome(made.reply);
                    if (!outcome || outcome->what != budget::verdict::applied)
                        return;
                    history::record(
                        options_.history, clock_.now(),
                        history::node_id(self_.str()),
                        history::prepaid{wish.budget, wish.amount, wish.id});
                    budget::agent_output out;
                    agent_->on_topup(wish.budget, clock_.now(), out);
                    carry_out(out);
                },
                now);
            if (!taken)
                topups_brought_.erase(name);
        }
    });
}

// Fencing is harmless when it's wrong (see budget_books.hpp), so the word of
// the membership, which may be wrong, is enough for it.
void ledger_service::tend_fences(shard_id shard)
{
    std::vector<incarnation_id> awaited;
    const auto ok = committer(shard).read([&](const journal::fold& it) {
        awaited = budget::books_of(it.state()).awaiting(self_);
    });
    if (!ok)
        return;
    budget::agent_output out;
    for (const incarnation_id& it : awaited)
        agent_->on_fence_awaited(shard, it, out);
    carry_out(out);
}

void ledger_service::tend_gone()
{
    const auto view = members_.peers();
    const auto config = config_.in_force();
    const instant now = clock_.now();
    for (const peer_info& it : *view) {
        if (it.life.empty() || it.up || it.listed)
            continue;
        const duration gone = now - it.changed_at;
        if (gone >= gone_patience && gone_told_.insert(it.life.str()).second) {
            budget::agent_output out;
            agent_->on_gone(it.life, out);
            carry_out(out);
        }
        if (gone < config->limits().reclaim_grace ||
            !gone_told_.insert("fence/" + it.life.str()).second)
            continue;
        for (std::uint32_t n = 0; n < layout_.shards; ++n) {
            const auto owners = ranking(shard_id(n));
            if (!owners.empty() && owners.front() == self_)
                send_wish(
                    {shard_id(n), budget::fence{it.life, "off the host list"}});
        }
    }
}

std::string ledger_service::what_is_out() const
{
    if (!open_)
        return "nothing";
    std::string text;
    for (const budget::allotment_level& it : agent_->table().all())
        text += it.budget.str() + " available " +
                std::to_string(it.available().count()) + " reserved " +
                std::to_string(it.reserved.count()) + "; ";
    std::size_t pending = 0;
    std::size_t failures = 0;
    std::string_view why = "none";
    for (const auto& it : committers_) {
        const auto figures = it->figures();
        pending += figures.pending;
        failures += figures.failures;
        if (figures.pending > 0 && figures.last_failure >= 0)
            why = to_string(static_cast<error_code>(figures.last_failure));
    }
    return text + std::to_string(pending) +
           " records wait for the journal; failed flushes " +
           std::to_string(failures) + ", last failure " + std::string(why);
}

// Tokens of requests whose outcome is unknown stay reserved until evidence
// comes, which a node that leaves won't live to see: they remain out, for the
// report on budgets to show, and don't hold up the leaving.
bool ledger_service::only_held_is_left() const
{
    tokens reserved;
    for (const budget::allotment_level& it : agent_->table().all()) {
        if (it.available() > tokens())
            return false;
        reserved += it.reserved;
    }
    for (const auto& it : committers_) {
        if (it->figures().pending > 0)
            return false;
    }
    return reserved > tokens() && reserved == agent_->table().held();
}

bool ledger_service::drain()
{
    if (!open_)
        return true;
    budget::agent_output out;
    agent_->drain(clock_.now(), out);
    carry_out(out);
    return agent_->done() || only_held_is_left();
}

} // namespace fennelladder::node
