// Per budget a demand rate and what is under way; every event looks at one
// budget and costs the number of its homes.
//
// The rate is an exponentially weighted average over irregular polls: over a
// gap dt the old rate keeps the weight exp(-dt / window). At most one wish to
// the books and one to each peer is under way per budget, so that a burst of
// short requests makes one round of asks, not one each.

#include "fennelladder/budget/refill_planner.hpp"

#include <algorithm>
#include <cmath>

namespace fennelladder::budget {

namespace {

// Takers that may be asked back for what they did not use.
constexpr std::size_t max_takers = 16;

// A slice given to a node of the own data center takes at most one part in
// this many of what a home has.
constexpr std::int64_t slice_share = 4;

// A node counts as short for this long after a request of its own lacked
// tokens; those that wait are tried again more often than that.
constexpr duration short_for = milliseconds(250);

// Wait before asking a peer anew that said more would come soon.
constexpr duration more_soon_wait = milliseconds(20);

tokens from_rate(double rate, duration length)
{
    const double n = rate * to_seconds(length);
    const auto limit = static_cast<double>(max_amount.count());
    return tokens(static_cast<std::int64_t>(std::min(n, limit)));
}

} // namespace

refill_policy policy_for(preference weight)
{
    refill_policy made;
    if (weight == preference::false_refusal)
        return made;
    made.lead = seconds(5);
    made.stock = minutes(10);
    made.idle_stock = 0;
    made.grant_spread = 8;
    made.ceiling_ahead = seconds(5);
    made.least_ceiling = tokens(4096);
    made.patience = milliseconds(500);
    made.wait_when_empty = false;
    made.idle_after = minutes(1);
    return made;
}

refill_planner::refill_planner(const incarnation_id& self,
                               const home_directory& homes,
                               const refill_policy& policy)
    : self_(self), homes_(homes), policy_(policy)
{}

refill_planner::plan& refill_planner::plan_of(const budget_id& budget,
                                              instant now)
{
    const auto [it, fresh] = plans_.try_emplace(budget);
    plan& made = it->second;
    if (fresh) {
        made.level.budget = budget;
        made.rated = now;
        const auto homes = homes_.homes_of(budget);
        made.home = !homes.empty() && homes.front() == self_;
    }
    made.seen = now;
    return made;
}

void refill_planner::take_level(plan& it, const allotment_level& level,
                                instant now)
{
    const double dt = to_seconds(now - it.rated);
    const double window = to_seconds(policy_.demand_window);
    const double keep = std::exp(-std::max(dt, 0.0) / window);
    it.rate *= keep;
    it.rate += static_cast<double>(level.demand.count()) / window;
    it.rated = now;
    it.level = level;
    it.level.demand = tokens(0);
}

tokens refill_planner::target(const plan& it) const
{
    return from_rate(it.rate, it.home ? policy_.stock : policy_.lead);
}

tokens refill_planner::ceiling_ahead(const plan& it) const
{
    const tokens ahead = from_rate(it.rate, policy_.ceiling_ahead);
    return std::max({ahead, policy_.least_ceiling, it.level.largest});
}

// Has the ceiling raised when less than half of what lies ahead, or less than
// `least`, is left below it.
void refill_planner::want_ceiling(plan& it, tokens least, refill_actions& out)
{
    const allotment_level& level = it.level;
    const tokens ahead = std::max(ceiling_ahead(it), least);
    const tokens left = level.limit() - level.engaged();
    const bool enough = left >= level.available();
    const bool half = left.count() >= ahead.count() / 2 && left >= least;
    if (it.raising || enough || half)
        return;
    it.raising = true;
    const tokens ceiling = level.engaged() + ahead - level.taken;
    out.push_back(record_ceiling{{level.budget, ceiling}, !store_ok_});
}

void refill_planner::ask_from_books(plan& it, tokens wish, tokens need,
                                    int spread, refill_actions& out)
{
    it.asking_books = true;
    it.minimum = std::max(need, tokens(1));
    if (it.free > tokens(0))
        it.minimum = std::min(it.minimum, it.free);
    const tokens ceiling =
        it.level.engaged() + ceiling_ahead(it) - it.level.taken;
    out.push_back(ask_books{{.budget = it.level.budget,
                             .wish = std::max(wish, it.minimum),
                             .minimum = it.minimum,
                             .spread = std::max(1, spread),
                             .ceiling = std::max(ceiling, tokens(0))}});
}

bool refill_planner::may_ask(const plan& it, const incarnation_id& peer,
                             instant now) const
{
    const auto quiet = silent_.find(peer);
    if (peer == self_ || (quiet != silent_.end() && now < quiet->second.until))
        return false;
    for (const auto& [blocked, until] : it.peers_again) {
        if (blocked == peer)
            return now >= until;
    }
    return true;
}

bool refill_planner::ask_next_peer(plan& it,
                                   const std::vector<incarnation_id>& peers,
                                   tokens wish, tokens need, instant now,
                                   refill_actions& out)
{
    for (const incarnation_id& peer : peers) {
        if (!may_ask(it, peer, now))
            continue;
        ++it.asking_peers;
        out.push_back(
            ask_peer{it.level.budget, peer, std::max(wish, need), need});
        return true;
    }
    return false;
}

void refill_planner::refill(plan& it, instant now, refill_actions& out)
{
    const tokens wanted = target(it);
    const tokens left = it.level.available();
    // A node that expects less than one request within its lead holds
    // nothing for it; the request will draw what it needs.
    const bool warm = it.home || wanted > it.level.largest;
    if (!warm || left.count() >= wanted.count() / 2 || it.asking_books ||
        it.asking_peers > 0 || it.returning)
        return;
    const tokens wish = wanted - left;
    const auto homes = homes_.homes_of(it.level.budget);
    const bool has_home = !it.home && !homes.empty();
    if (has_home &&
        ask_next_peer(it, {homes.front()}, wish, tokens(0), now, out))
        return;
    if (!store_ok_ || now < it.books_again)
        return;
    const int spread =
        it.home ? policy_.grant_spread : policy_.grant_spread * 8;
    ask_from_books(it, wish, tokens(1), spread, out);
}

void refill_planner::observe(const allotment_level& level, instant now,
                             refill_actions& out)
{
    plan& it = plan_of(level.budget, now);
    take_level(it, level, now);
    refill(it, now, out);
    want_ceiling(it, tokens(0), out);
    check_later(it, level.last_used +
                        (it.low ? policy_.idle_low : policy_.idle_after));
}

void refill_planner::check_later(plan& it, instant at)
{
    if (it.checking)
        return;
    it.checking = true;
    checks_.emplace(at, it.level.budget);
}

void refill_planner::tick(instant now, refill_actions& out)
{
    while (!checks_.empty() && checks_.begin()->first <= now) {
        const budget_id budget = checks_.begin()->second;
        checks_.erase(checks_.begin());
        const auto found = plans_.find(budget);
        if (found == plans_.end())
            continue;
        plan& it = found->second;
        it.checking = false;
        const auto homes = homes_.homes_of(budget);
        it.home = !homes.empty() && homes.front() == self_;
        give_idle_back(it, now, out);
        const duration wait = it.low ? policy_.idle_low : policy_.idle_after;
        check_later(it, std::max(it.level.last_used, now) + wait);
    }
}

void refill_planner::give_idle_back(plan& it, instant now, refill_actions& out)
{
    const duration wait = it.low ? policy_.idle_low : policy_.idle_after;
    const bool idle = now - it.level.last_used >= wait;
    const bool busy = it.asking_books || it.asking_peers > 0 || it.returning;
    if (it.home || !idle || busy || !store_ok_)
        return;
    if (it.level.reserved > tokens(0) && it.level.available() <= tokens(0))
        return;
    it.returning = true;
    out.push_back(return_tokens{it.level.budget, it.level.available(),
                                it.level.reserved == tokens(0)});
}

void refill_planner::on_topup(const budget_id& budget, instant now,
                              refill_actions& out)
{
    const bool known = plans_.contains(budget);
    const auto homes = homes_.homes_of(budget);
    const bool home = !homes.empty() && homes.front() == self_;
    if (!known && !home)
        return;
    plan& it = plan_of(budget, now);
    it.low = false;
    it.free = tokens(0);
    it.books_again = now;
    it.peers_again.clear();
    if (!home || policy_.idle_stock == 0 || it.asking_books || !store_ok_)
        return;
    ask_from_books(it, max_amount, tokens(1), policy_.idle_stock, out);
}

bool refill_planner::on_short(const allotment_level& level, tokens worst,
                              const shortfall& gap, instant now,
                              refill_actions& out)
{
    plan& it = plan_of(level.budget, now);
    const tokens demand = it.level.demand;
    it.level = level;
    it.level.demand = demand;
    it.short_at = now;
    if (gap.short_by == tokens(0)) {
        want_ceiling(it, worst, out);
        return it.raising;
    }
    return short_of_capital(it, gap.short_by, now, out);
}

bool refill_planner::short_of_capital(plan& it, tokens need, instant now,
                                      refill_actions& out)
{
    // A wish to books that can't be reached may stay open for an hour.
    if ((it.asking_books && store_ok_) || it.asking_peers > 0)
        return true;
    const tokens wish = it.low ? need : std::max(need, target(it));
    auto peers = homes_.homes_of(it.level.budget);
    const bool own_home_first = !it.home && !peers.empty();
    if (own_home_first &&
        ask_next_peer(it, {peers.front()}, wish, need, now, out))
        return true;
    if (store_ok_ && now >= it.books_again && !it.asking_books) {
        ask_from_books(it, wish, need, policy_.grant_spread * 4, out);
        return true;
    }
    peers.insert(peers.end(), it.takers.begin(), it.takers.end());
    return ask_next_peer(it, peers, need, need, now, out) ||
           policy_.wait_when_empty;
}

void refill_planner::granted(const budget_id& budget, const outcome* made,
                             instant now)
{
    plan& it = plan_of(budget, now);
    it.asking_books = false;
    if (made == nullptr) {
        it.books_again = now + policy_.ask_again;
        return;
    }
    it.low = made->free < target(it) || made->what != verdict::applied;
    if (made->what == verdict::applied) {
        it.free = tokens(0);
        if (made->free <= tokens(0))
            it.books_again = now + policy_.ask_again;
        return;
    }
    // Less is free than was the least of use: the next wish may be for that.
    const bool some = made->free > tokens(0) && it.minimum > made->free;
    it.free = made->free;
    if (!some)
        it.books_again = now + policy_.ask_again;
}

void refill_planner::store_reachable(bool yes)
{
    const bool lost = store_ok_ && !yes;
    store_ok_ = yes;
    if (!lost)
        return;
    for (auto& [budget, it] : plans_)
        it.raising = false;
}

void refill_planner::raised(const budget_id& budget)
{
    const auto it = plans_.find(budget);
    if (it != plans_.end())
        it->second.raising = false;
}

void refill_planner::returned(const budget_id& budget)
{
    const auto it = plans_.find(budget);
    if (it != plans_.end())
        it->second.returning = false;
}

void refill_planner::not_asked(const budget_id& budget)
{
    plan& it = plans_[budget];
    it.asking_peers = std::max(0, it.asking_peers - 1);
}

void refill_planner::transferred(const transfer_ask& ask,
                                 const transfer_reply* reply, instant now)
{
    plan& it = plan_of(ask.budget, now);
    it.asking_peers = std::max(0, it.asking_peers - 1);
    note_answer(ask.giver, reply != nullptr, now);
    std::erase_if(it.peers_again, [&](const auto& known) {
        return known.first == ask.giver || now >= known.second;
    });
    const bool some = reply != nullptr && reply->amount > tokens(0);
    it.low = it.low || (some && reply->amount < ask.wish);
    if (some && reply->amount >= ask.need)
        return;
    const bool soon = some || (reply != nullptr && reply->more_soon);
    it.low = it.low || !soon;
    it.peers_again.emplace_back(
        ask.giver, now + (soon ? more_soon_wait : policy_.ask_again));
}

// A partition makes every ask to the other side time out, for every budget; a
// few probes are enough to see when it has healed.
void refill_planner::note_answer(const incarnation_id& peer, bool answered,
                                 instant now)
{
    if (answered) {
        silent_.erase(peer);
        return;
    }
    silence& it = silent_[peer];
    // Asks that were under way together count as one.
    if (now < it.until)
        return;
    it.wait =
        std::clamp(it.wait * 2, policy_.silent_first, policy_.silent_limit);
    it.until = now + it.wait;
}

tokens refill_planner::most_to_give(const transfer_ask& ask,
                                    const allotment_level& level, instant now,
                                    refill_actions& out, bool& more_soon)
{
    plan& it = plan_of(ask.budget, now);
    it.level = level;
    const auto homes = homes_.homes_of(ask.budget);
    const bool from_home =
        std::find(homes.begin(), homes.end(), ask.taker) != homes.end();
    std::erase(it.takers, ask.taker);
    if (!from_home) {
        it.takers.insert(it.takers.begin(), ask.taker);
        it.takers.resize(std::min(it.takers.size(), max_takers));
    }
    const std::int64_t left =
        std::max<std::int64_t>(0, level.available().count());
    // Two that are short would hand each other what they gather for ever.
    const bool short_here =
        it.short_at > instant() && now - it.short_at < short_for;
    if (short_here && left < std::max<std::int64_t>(1, ask.need.count()))
        return tokens(0);
    const std::int64_t need = std::min(ask.need.count(), left);
    std::int64_t most = std::min(ask.wish.count(), left / slice_share);
    if (!it.home) {
        const std::int64_t own = target(it).count() / 2;
        most = std::min(need, std::max(left - own, left / 2));
    } else {
        most = std::max(need, most);
    }
    const std::int64_t below_ceiling =
        std::max<std::int64_t>(0, (level.limit() - level.engaged()).count());
    if (most > below_ceiling) {
        want_ceiling(it, tokens(most), out);
        more_soon = it.raising && below_ceiling < need;
        return tokens(below_ceiling < need ? 0 : below_ceiling);
    }
    if (ask.need.count() > left && it.home) {
        // Gathers for the taker. Another home asks books and homes itself.
        std::erase(it.takers, ask.taker);
        const tokens gap = ask.need - tokens(left);
        more_soon = from_home ? ask_next_peer(it, it.takers, gap, gap, now, out)
                              : short_of_capital(it, gap, now, out);
    }
    return tokens(most);
}

void refill_planner::forget(const budget_id& budget)
{
    plans_.erase(budget);
}

} // namespace fennelladder::budget
