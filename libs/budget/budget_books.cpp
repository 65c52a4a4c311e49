// How the fold keeps its promises.
//
// Of each holder's entry in a budget the fold keeps sums that only grow:
// granted, taken (transfers in), returned, given (transfers out), billed, and
// the highest ceiling recorded. From them and the holder's standing follows
// effective(), the most it can ever use, and `committed` is the sum of that
// over the holders plus what entries that were dropped had spent. A record
// that would make `committed` exceed `topped_up` is refused; one that lowers
// effective() frees tokens by that alone. Every apply_one changes sums of one
// entry and then calls recommit(), so that the cost of a record is the number
// of holders of its budget (at most the fleet).
//
// Transfers: taker and giver may both report one, or the taker's bills and
// gifts may come in before the report. Until it is in, the tokens count at the
// giver, whose ceiling covers them, so nothing is counted less than it is; the
// taker's own effective() may be below what it billed, or below zero.
//
// An unknown sender can only top up, fence, release and join: what it would
// hold or charge has no entry to go to.

#include "fennelladder/budget/budget_books.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace fennelladder::budget {

namespace {

constexpr std::size_t max_topup_ids = 256;

// From this many holders on, those are forgotten that are over for good.
constexpr std::size_t many_holders = 1024;

constexpr std::array<std::string_view, 6> verdict_names = {
    "applied", "replayed", "duplicate", "refused", "uncollected", "invalid"};

// The team goes first and no id contains a zero byte, so that no team can
// name another team's keys.
std::string full_key(const team_id& team, const request_key& key)
{
    std::string made = team.str();
    made += '\0';
    made += key.str();
    return made;
}

bool good_name(const std::string& name)
{
    return !name.empty() && name.size() <= max_name_bytes &&
           name.find('\0') == std::string::npos;
}

bool good_amount(tokens amount)
{
    return amount >= tokens(0) && amount <= max_amount;
}

outcome only(verdict what)
{
    outcome made;
    made.what = what;
    return made;
}

} // namespace

std::string_view to_string(verdict what)
{
    return verdict_names[static_cast<std::size_t>(what)];
}

bool number_window::insert(std::uint64_t number)
{
    if (number <= low_ || !above_.insert(number).second)
        return false;
    const bool overfull = above_.size() > limit;
    if (overfull)
        low_ = *above_.begin();
    while (!above_.empty() && *above_.begin() <= low_ + 1) {
        low_ = std::max(low_, *above_.begin());
        above_.erase(above_.begin());
    }
    return true;
}

void number_window::restore(std::uint64_t low, std::set<std::uint64_t> above)
{
    low_ = low;
    above_ = std::move(above);
}

budget_books::budget_books(const books_options& options) : options_(options)
{}

outcome budget_books::apply(const incarnation_id& sender,
                            const record_body& body)
{
    if (!good_name(sender.str()))
        return only(verdict::invalid);
    const auto holder = find_holder(sender);
    const bool open_to_all = std::holds_alternative<topup>(body) ||
                             std::holds_alternative<fence>(body) ||
                             std::holds_alternative<release>(body);
    if (!holder && std::holds_alternative<join>(body))
        return apply_one(intern(sender), std::get<join>(body));
    if (!holder && !open_to_all) {
        // A bill is the word of its biller, whoever brings it.
        const auto* brought = std::get_if<bill>(&body);
        const auto* moved = std::get_if<transfer>(&body);
        const bool by_other = brought != nullptr && !brought->biller.empty();
        if (!by_other && moved == nullptr)
            return only(verdict::refused);
    }
    const std::uint32_t index = holder.value_or(no_holder);
    outcome made = std::visit(
        [this, index](const auto& wish) { return apply_one(index, wish); },
        body);
    made.sender = standing_of(sender);
    return made;
}

// ---- sums

std::int64_t budget_books::effective(const holding_entry& it) const
{
    const std::int64_t capital = it.granted + it.taken - it.returned;
    const std::int64_t used = it.billed + it.given;
    switch (holders_[it.holder].state) {
    case standing::settled:
        return std::min(capital, std::max(it.ceiling + it.taken, used)) -
               it.given;
    case standing::released:
        return std::min(capital, used) - it.given;
    default:
        return capital - it.given;
    }
}

std::int64_t budget_books::stranded(const holding_entry& it) const
{
    if (holders_[it.holder].state == standing::good)
        return 0;
    return std::max<std::int64_t>(0, effective(it) - it.billed);
}

std::int64_t budget_books::committed(const budget_entry& entry) const
{
    std::int64_t live_spent = 0;
    std::int64_t sum = 0;
    for (const holding_entry& it : entry.holdings) {
        sum += effective(it);
        live_spent += it.billed;
    }
    // What entries that were dropped had spent stays committed.
    return sum + (entry.spent - live_spent);
}

bool budget_books::fits(const budget_entry& entry) const
{
    return committed(entry) <= entry.topped_up &&
           entry.spent <= entry.topped_up;
}

void budget_books::recommit(budget_entry& entry) const
{
    entry.committed = committed(entry);
    assert(fits(entry));
}

outcome budget_books::answer(const budget_entry& entry, std::uint32_t holder,
                             verdict what) const
{
    outcome made;
    made.what = what;
    made.free = tokens(entry.free());
    made.holders = static_cast<std::uint32_t>(entry.holdings.size());
    made.closed = true;
    for (const holding_entry& it : entry.holdings) {
        if (it.holder != holder)
            continue;
        made.granted_total = tokens(it.granted);
        made.closed = false;
    }
    return made;
}

namespace {

template <class Holdings>
auto find_holding(Holdings& all, std::uint32_t holder)
{
    return std::find_if(all.begin(), all.end(), [holder](const auto& it) {
        return it.holder == holder;
    });
}

} // namespace

bool budget_books::drop_if_done(budget_entry& entry, std::uint32_t holder)
{
    const auto it = find_holding(entry.holdings, holder);
    if (it == entry.holdings.end())
        return true;
    const standing state = holders_[holder].state;
    const bool open = state == standing::good && !it->closing;
    const bool may_bill = state == standing::fenced;
    if (open || may_bill || effective(*it) != it->billed)
        return false;
    entry.holdings.erase(it);
    return true;
}

// ---- records

outcome budget_books::apply_one(std::uint32_t holder, const topup& wish)
{
    if (!good_name(wish.team.str()) || !good_name(wish.budget.str()) ||
        !good_name(wish.id.str()) || !good_amount(wish.amount))
        return only(verdict::invalid);
    budget_entry& entry = budgets_[wish.budget];
    if (entry.team.empty())
        entry.team = wish.team;
    if (entry.team != wish.team)
        return answer(entry, holder, verdict::refused);
    const auto& known = entry.topup_ids;
    if (std::find(known.begin(), known.end(), wish.id) != known.end())
        return answer(entry, holder, verdict::duplicate);
    if (entry.topped_up + wish.amount.count() > max_amount.count())
        return answer(entry, holder, verdict::refused);
    entry.topup_ids.push_back(wish.id);
    if (entry.topup_ids.size() > max_topup_ids)
        entry.topup_ids.pop_front();
    entry.topped_up += wish.amount.count();
    return answer(entry, holder, verdict::applied);
}

outcome budget_books::apply_one(std::uint32_t holder, const allot& wish)
{
    if (!good_amount(wish.wish) || !good_amount(wish.minimum) ||
        !good_amount(wish.ceiling) || wish.minimum <= tokens(0) ||
        wish.spread < 1)
        return only(verdict::invalid);
    const auto found = budgets_.find(wish.budget);
    if (found == budgets_.end())
        return only(verdict::refused);
    budget_entry& entry = found->second;
    const std::int64_t minimum = wish.minimum.count();
    const bool fits = entry.free() >= minimum;
    if (!fits || holders_[holder].state != standing::good)
        return answer(entry, holder, verdict::refused);
    const std::int64_t share = entry.free() / wish.spread;
    const std::int64_t most = std::max(minimum, share);
    const std::int64_t grant =
        std::min(std::max(wish.wish.count(), minimum), most);
    auto it = find_holding(entry.holdings, holder);
    if (it == entry.holdings.end())
        it = entry.holdings.insert(it, holding_entry{.holder = holder});
    it->granted += grant;
    it->ceiling = std::max(it->ceiling, wish.ceiling.count());
    it->closing = false;
    recommit(entry);
    return answer(entry, holder, verdict::applied);
}

outcome budget_books::apply_one(std::uint32_t holder, const give_back& wish)
{
    if (!good_amount(wish.amount))
        return only(verdict::invalid);
    const auto found = budgets_.find(wish.budget);
    if (found == budgets_.end())
        return only(verdict::refused);
    budget_entry& entry = found->second;
    const auto it = find_holding(entry.holdings, holder);
    if (it == entry.holdings.end())
        return answer(entry, holder, verdict::refused);
    const std::int64_t left = it->granted + it->taken - it->returned;
    const std::int64_t n = wish.amount.count();
    // More than it has can only be a fault of the sender, or tokens taken by
    // a transfer that is not reported yet: it has to report that first.
    if (n > left - it->given - it->billed)
        return answer(entry, holder, verdict::refused);
    it->returned += n;
    it->closing = wish.closing;
    recommit(entry);
    drop_if_done(entry, holder);
    return answer(entry, holder, verdict::applied);
}

outcome budget_books::apply_one(std::uint32_t holder, const raise& wish)
{
    if (!good_amount(wish.ceiling))
        return only(verdict::invalid);
    const auto found = budgets_.find(wish.budget);
    if (found == budgets_.end())
        return only(verdict::refused);
    budget_entry& entry = found->second;
    const auto it = find_holding(entry.holdings, holder);
    const bool good = holders_[holder].state == standing::good;
    if (it == entry.holdings.end() || !good)
        return answer(entry, holder, verdict::refused);
    it->ceiling = std::max(it->ceiling, wish.ceiling.count());
    return answer(entry, holder, verdict::applied);
}

// Adds `n` to what the holder has billed. False if that can't be charged:
// after an operator's release the pool may not have it any more.
bool budget_books::charge(budget_entry& entry, std::uint32_t holder,
                          std::int64_t n)
{
    if (entry.spent + n > entry.topped_up)
        return false;
    auto it = find_holding(entry.holdings, holder);
    const bool fresh = it == entry.holdings.end();
    if (fresh)
        it = entry.holdings.insert(it, holding_entry{.holder = holder});
    const holding_entry before = *it;
    it->billed += n;
    const std::int64_t capital = it->granted + it->taken - it->returned;
    const std::int64_t missing =
        std::max<std::int64_t>(0, it->billed + it->given - capital);
    // A holder in good standing that bills more than it has was given the
    // rest by a transfer that is not reported yet; it is counted at the giver.
    // From one whose tokens were reclaimed we can't expect a report any more,
    // so that the free pool has to pay.
    const standing state = holders_[holder].state;
    if (state == standing::settled || state == standing::released)
        it->granted += missing;
    if (effective(*it) - effective(before) > entry.free()) {
        *it = before;
        if (fresh)
            entry.holdings.erase(it);
        return false;
    }
    entry.spent += n;
    recommit(entry);
    return true;
}

outcome budget_books::apply_one(std::uint32_t sender, const bill& wish)
{
    if (!good_name(wish.team.str()) || !good_name(wish.key.str()) ||
        !good_name(wish.budget.str()) || !good_amount(wish.amount) ||
        wish.answer.size() > max_answer_bytes || wish.number == 0 ||
        wish.outcome > bill_outcome::not_run)
        return only(verdict::invalid);
    const auto biller =
        wish.biller.empty() ? std::optional(sender) : find_holder(wish.biller);
    const auto found = budgets_.find(wish.budget);
    if (!biller || found == budgets_.end() || found->second.team != wish.team)
        return only(verdict::refused);
    budget_entry& entry = found->second;
    if (!holders_[*biller].bills.insert(wish.number))
        return answer(entry, *biller, verdict::replayed);
    observe_time(*biller, wish.at);
    const std::int64_t n = wish.amount.count();
    const std::string key = full_key(wish.team, wish.key);
    const auto known = wish.keyed ? keys_.find(key) : keys_.end();
    const auto keep = std::chrono::nanoseconds(options_.key_retention).count();
    if (known != keys_.end() && known->second.billed)
        return answer(entry, *biller, verdict::duplicate);
    const bool too_late = wish.keyed && known == keys_.end() &&
                          to_nanoseconds(wish.at) < head_ - keep;
    if (too_late || !charge(entry, *biller, n)) {
        entry.uncollected += n;
        return answer(entry, *biller, verdict::uncollected);
    }
    if (wish.keyed && wish.outcome == bill_outcome::not_run) {
        if (known != keys_.end())
            keys_.erase(known);
    } else if (wish.keyed) {
        const bool final_word = wish.outcome != bill_outcome::unknown || n > 0;
        remember_key(key, {.billed = final_word,
                           .holder = *biller,
                           .amount = n,
                           .outcome = wish.outcome,
                           .expires = 0,
                           .answer = wish.answer});
    }
    drop_if_done(entry, *biller);
    return answer(entry, *biller, verdict::applied);
}

outcome budget_books::apply_one(std::uint32_t holder, const claim& wish)
{
    if (!good_name(wish.team.str()) || !good_name(wish.key.str()))
        return only(verdict::invalid);
    observe_time(holder, wish.at);
    const std::string key = full_key(wish.team, wish.key);
    const auto known = keys_.find(key);
    outcome made;
    if (known == keys_.end()) {
        if (holders_[holder].state != standing::good)
            return only(verdict::refused);
        remember_key(key, {.holder = holder, .answer = {}});
        made.what = verdict::applied;
        made.key_owner = holders_[holder].id;
        return made;
    }
    const key_entry& it = known->second;
    const bool own = it.holder == holder && !it.billed;
    made.what = own ? verdict::applied : verdict::duplicate;
    made.key_owner = holders_[it.holder].id;
    return made;
}

outcome budget_books::apply_one(std::uint32_t sender, const transfer& wish)
{
    if (!good_amount(wish.amount) || wish.id.number == 0)
        return only(verdict::invalid);
    const auto giver = find_holder(wish.id.giver);
    const auto taker = find_holder(wish.taker);
    const auto found = budgets_.find(wish.budget);
    if (!giver || !taker || *giver == *taker || found == budgets_.end())
        return only(verdict::refused);
    budget_entry& entry = found->second;
    auto from = find_holding(entry.holdings, *giver);
    const std::int64_t n = wish.amount.count();
    if (holders_[*giver].transfers.contains(wish.id.number))
        return answer(entry, sender, verdict::replayed);
    // Guards against reports that wait for each other for ever: a gave to b, b
    // gave some back, and a returned or billed that before either report came.
    // Seen as tokens that can't be returned after an outage. A giver whose sum
    // can't shrink may go below zero, as may one that bills early (charge):
    // what it gets is then still counted at the node that gave it that, so the
    // sum over all holders is right in any order of the reports.
    const standing state = holders_[*giver].state;
    const bool whole = state == standing::good || state == standing::fenced;
    if (whole && n <= entry.topped_up && from == entry.holdings.end())
        from = entry.holdings.insert(from, holding_entry{.holder = *giver});
    const bool covered =
        from != entry.holdings.end() &&
        (whole ? n <= entry.topped_up : effective(*from) - from->billed >= n);
    // The number isn't used up by a refusal, so that the report counts when it
    // is sent again.
    if (!covered)
        return answer(entry, sender, verdict::refused);
    holders_[*giver].transfers.insert(wish.id.number);
    from->given += n;
    auto to = find_holding(entry.holdings, *taker);
    if (to == entry.holdings.end())
        to = entry.holdings.insert(to, holding_entry{.holder = *taker});
    to->taken += n;
    to->closing = false;
    recommit(entry);
    drop_if_done(entry, *giver);
    return answer(entry, sender, verdict::applied);
}

outcome budget_books::apply_one(std::uint32_t holder, const join& wish)
{
    holder_entry& it = holders_[holder];
    if (it.state != standing::good)
        return only(verdict::refused);
    it.witnesses = wish.witnesses;
    observe_time(holder, wish.at);
    forget_holders();
    return only(verdict::applied);
}

outcome budget_books::apply_one(std::uint32_t, const fence& wish)
{
    const auto found = find_holder(wish.holder);
    if (!found)
        return only(verdict::refused);
    holder_entry& it = holders_[*found];
    if (it.state != standing::good)
        return only(verdict::duplicate);
    it.state = standing::fenced;
    it.reason = wish.reason.substr(0, max_name_bytes);
    it.waiting = {it.witnesses.begin(), it.witnesses.end()};
    if (it.waiting.empty())
        settle_holder(*found, standing::settled);
    return only(verdict::applied);
}

outcome budget_books::apply_one(std::uint32_t witness, const fence_ack& wish)
{
    const auto found = find_holder(wish.holder);
    if (!found || holders_[*found].state != standing::fenced)
        return only(verdict::refused);
    holder_entry& it = holders_[*found];
    for (const witnessed_ceiling& vouched : wish.ceilings) {
        const auto budget = budgets_.find(vouched.budget);
        if (budget == budgets_.end() || !good_amount(vouched.ceiling))
            continue;
        auto& holdings = budget->second.holdings;
        const auto part = find_holding(holdings, *found);
        if (part == holdings.end())
            continue;
        part->ceiling = std::max(part->ceiling, vouched.ceiling.count());
    }
    if (!wish.last)
        return only(verdict::applied);
    if (it.waiting.erase(holders_[witness].id) == 0)
        return only(verdict::duplicate);
    if (it.waiting.empty())
        settle_holder(*found, standing::settled);
    return only(verdict::applied);
}

outcome budget_books::apply_one(std::uint32_t, const release& wish)
{
    const auto found = find_holder(wish.holder);
    if (!found || !good_name(wish.person))
        return only(verdict::refused);
    const standing state = holders_[*found].state;
    // A holder in good standing has to be fenced first, so that nobody
    // releases by a slip what a live node is spending.
    if (state != standing::fenced && state != standing::settled)
        return only(verdict::refused);
    holders_[*found].reason =
        (wish.person + ": " + wish.reason).substr(0, 2 * max_name_bytes);
    settle_holder(*found, standing::released);
    return only(verdict::applied);
}

outcome budget_books::apply_one(std::uint32_t holder, const leave&)
{
    for (const auto& [id, entry] : budgets_) {
        const auto it = find_holding(entry.holdings, holder);
        if (it != entry.holdings.end() && effective(*it) != it->billed)
            return only(verdict::refused);
    }
    settle_holder(holder, standing::settled);
    outcome made = only(verdict::applied);
    made.gone = holders_[holder].id;
    return made;
}

void budget_books::settle_holder(std::uint32_t holder, standing state)
{
    holders_[holder].waiting.clear();
    for (auto& [id, entry] : budgets_) {
        const auto it = find_holding(entry.holdings, holder);
        if (it == entry.holdings.end())
            continue;
        if (state == standing::released) {
            entry.released +=
                std::max<std::int64_t>(0, effective(*it) - it->billed);
        }
    }
    holders_[holder].state = state;
    for (auto& [id, entry] : budgets_) {
        const auto it = find_holding(entry.holdings, holder);
        if (it == entry.holdings.end())
            continue;
        recommit(entry);
        drop_if_done(entry, holder);
    }
}

// ---- holders, keys and time

std::optional<std::uint32_t>
budget_books::find_holder(const incarnation_id& id) const
{
    const auto it = holder_index_.find(id);
    if (it == holder_index_.end())
        return std::nullopt;
    return it->second;
}

std::uint32_t budget_books::intern(const incarnation_id& id)
{
    const auto index = static_cast<std::uint32_t>(holders_.size());
    holders_.emplace_back().id = id;
    holder_index_.emplace(id, index);
    return index;
}

void budget_books::observe_time(std::uint32_t holder, instant at)
{
    std::int64_t& last = holders_[holder].last_at;
    last = std::max(last, to_nanoseconds(at));
    if (holder == newest_) {
        // Alone it can't move the head.
    } else if (newest_ == no_holder || last > holders_[newest_].last_at) {
        if (newest_ != no_holder)
            head_ = std::max(head_, holders_[newest_].last_at);
        newest_ = holder;
    } else {
        head_ = std::max(head_, last);
    }
    forget_old_keys();
}

void budget_books::remember_key(const std::string& key, key_entry entry)
{
    // Counted from the fold's time, not the bill's: a bill that waited out an
    // outage must still meet its twin that waits a little longer.
    const std::int64_t at = head_ > 0 ? head_ : holders_[entry.holder].last_at;
    entry.expires =
        at + std::chrono::nanoseconds(options_.key_retention).count();
    const auto known = keys_.find(key);
    if (known == keys_.end() || known->second.expires != entry.expires)
        expiry_.emplace_back(entry.expires, key);
    keys_[key] = std::move(entry);
    forget_old_keys();
}

void budget_books::forget_old_keys()
{
    while (!expiry_.empty()) {
        const auto& [expires, key] = expiry_.front();
        if (expires > head_ && keys_.size() <= options_.max_keys)
            return;
        const auto it = keys_.find(key);
        if (it != keys_.end() && it->second.expires == expires)
            keys_.erase(it);
        expiry_.pop_front();
    }
}

// A holder is forgotten when it is over, nothing refers to it, and the keys it
// billed have expired. Records of its that come later are refused as those of
// a stranger.
void budget_books::forget_holders()
{
    if (holders_.size() < many_holders)
        return;
    const auto keep = std::chrono::nanoseconds(options_.key_retention).count();
    std::vector<bool> needed(holders_.size(), false);
    for (std::size_t n = 0; n < holders_.size(); ++n) {
        const holder_entry& it = holders_[n];
        const bool over =
            it.state == standing::settled || it.state == standing::released;
        needed[n] = !over || it.last_at >= head_ - keep || n == newest_;
    }
    for (const auto& [id, entry] : budgets_) {
        for (const holding_entry& it : entry.holdings)
            needed[it.holder] = true;
    }
    for (const auto& [key, entry] : keys_)
        needed[entry.holder] = true;
    renumber_holders(needed);
}

void budget_books::renumber_holders(const std::vector<bool>& needed)
{
    std::vector<std::uint32_t> place(holders_.size(), no_holder);
    std::vector<holder_entry> kept;
    for (std::size_t n = 0; n < holders_.size(); ++n) {
        if (!needed[n]) {
            holder_index_.erase(holders_[n].id);
            continue;
        }
        place[n] = static_cast<std::uint32_t>(kept.size());
        holder_index_[holders_[n].id] = place[n];
        kept.push_back(std::move(holders_[n]));
    }
    holders_ = std::move(kept);
    if (newest_ != no_holder)
        newest_ = place[newest_];
    for (auto& [id, entry] : budgets_) {
        for (holding_entry& it : entry.holdings)
            it.holder = place[it.holder];
    }
    for (auto& [key, entry] : keys_)
        entry.holder = place[entry.holder];
}

// ---- look-ups

std::optional<key_record> budget_books::find_key(const team_id& team,
                                                 const request_key& key) const
{
    const auto it = keys_.find(full_key(team, key));
    if (it == keys_.end())
        return std::nullopt;
    const key_entry& entry = it->second;
    return key_record{.holder = holders_[entry.holder].id,
                      .billed = entry.billed,
                      .amount = tokens(entry.amount),
                      .outcome = entry.outcome,
                      .answer = entry.answer};
}

budget_view budget_books::view(const budget_id& id,
                               const budget_entry& entry) const
{
    budget_view made{.budget = id,
                     .team = entry.team,
                     .topped_up = tokens(entry.topped_up),
                     .spent = tokens(entry.spent),
                     .free = tokens(entry.free()),
                     .uncollected = tokens(entry.uncollected),
                     .released = tokens(entry.released),
                     .holdings = {}};
    for (const holding_entry& it : entry.holdings) {
        made.holdings.push_back({.holder = holders_[it.holder].id,
                                 .state = holders_[it.holder].state,
                                 .effective = tokens(effective(it)),
                                 .spent = tokens(it.billed),
                                 .stranded = tokens(stranded(it))});
    }
    return made;
}

std::optional<budget_view>
budget_books::find_budget(const budget_id& budget) const
{
    const auto it = budgets_.find(budget);
    if (it == budgets_.end())
        return std::nullopt;
    return view(it->first, it->second);
}

void budget_books::for_each(
    const std::function<void(const budget_view&)>& visit) const
{
    for (const auto& [id, entry] : budgets_)
        visit(view(id, entry));
}

standing budget_books::standing_of(const incarnation_id& holder) const
{
    const auto it = find_holder(holder);
    return it ? holders_[*it].state : standing::unknown;
}

std::vector<incarnation_id>
budget_books::awaited(const incarnation_id& holder) const
{
    const auto it = find_holder(holder);
    if (!it)
        return {};
    const auto& waiting = holders_[*it].waiting;
    return {waiting.begin(), waiting.end()};
}

std::vector<incarnation_id>
budget_books::awaiting(const incarnation_id& witness) const
{
    std::vector<incarnation_id> made;
    for (const holder_entry& it : holders_) {
        if (it.waiting.contains(witness))
            made.push_back(it.id);
    }
    return made;
}

bool budget_books::consistent() const
{
    for (const auto& [id, entry] : budgets_) {
        if (committed(entry) != entry.committed || !fits(entry))
            return false;
    }
    return true;
}

} // namespace fennelladder::budget
