// Mostly translation: planner's actions into messages, answers into events.
//
// Order in the journal matters in one place: a shard has to see this node's
// join before anything else of it, so submit() puts the join first. All wishes
// of one node to one shard go through one committer, which keeps their order.
//
// Nothing is ever kept for sending: what has no answer is found again by
// tick() in the ledger, the keeper or the planner, so that a lost message
// costs one more and no state.

#include "fennelladder/budget/budget_agent.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fennelladder::budget {

namespace {

// How often the peer that keeps copies is told which are done with.
constexpr duration copy_note_interval = seconds(1);

} // namespace

budget_agent::budget_agent(const incarnation_id& self,
                           const home_directory& homes, shard_function shard_of,
                           const agent_options& options)
    : self_(self), shard_of_(std::move(shard_of)), options_(options),
      planner_(self, homes, options.refill),
      transfers_(self, table_, options.transfers),
      witnessed_(options.witnesses), bills_(self, options.bills)
{}

// ---- requests

admission budget_agent::admit(const budget_id& budget, tokens worst,
                              instant now, agent_output& out)
{
    admission made;
    auto held = table_.reserve(budget, worst, now);
    if (held) {
        made.held = std::move(*held);
        return made;
    }
    const std::lock_guard lock(mutex_);
    const auto level = table_.level(budget);
    if (!level)
        return made;
    refill_actions actions;
    made.wait = planner_.on_short(*level, worst, held.error(), now, actions);
    carry(actions, now, out);
    return made;
}

settlement budget_agent::finish(reservation held, bill charge, instant now)
{
    const settlement made = table_.settle(std::move(held), charge.amount);
    charge.amount = made.charged;
    charge.at = now;
    const shard_id shard = shard_of_(charge.budget);
    const std::lock_guard lock(mutex_);
    bills_.add(shard, std::move(charge), now);
    return made;
}

void budget_agent::cancel(reservation held)
{
    table_.settle(std::move(held), tokens(0));
}

bool budget_agent::overfull() const
{
    const std::lock_guard lock(mutex_);
    return bills_.full();
}

// ---- time and surroundings

void budget_agent::tick(instant now, agent_output& out)
{
    const std::lock_guard lock(mutex_);
    now_ = now;
    refill_actions actions;
    for (const allotment_level& it : table_.poll())
        planner_.observe(it, now, actions);
    planner_.tick(now, actions);
    carry(actions, now, out);
    for (transfer_ask& it : transfers_.repeats(now))
        out.asks.push_back(std::move(it));
    for (transfer_confirm& it : transfers_.confirms(now))
        out.words.push_back(std::move(it));
    if (store_ok_) {
        report_transfers(out);
        send_bills(out);
    }
    send_copies(now, out);
}

void budget_agent::set_store_reachable(bool yes)
{
    const std::lock_guard lock(mutex_);
    store_ok_ = yes;
    planner_.store_reachable(yes);
}

void budget_agent::set_witnesses(std::vector<incarnation_id> witnesses,
                                 instant now)
{
    const std::lock_guard lock(mutex_);
    witnesses_ = std::move(witnesses);
    now_ = now;
}

void budget_agent::on_topup(const budget_id& budget, instant now,
                            agent_output& out)
{
    const std::lock_guard lock(mutex_);
    refill_actions actions;
    planner_.on_topup(budget, now, actions);
    carry(actions, now, out);
    out.woken.push_back(budget);
}

void budget_agent::drain(instant now, agent_output& out)
{
    const std::lock_guard lock(mutex_);
    now_ = now;
    for (const allotment_level& it : table_.all()) {
        if (it.available() > tokens(0) || it.reserved == tokens(0))
            start_return({it.budget, it.available(), true}, out);
    }
    report_transfers(out);
    send_bills(out);
    if (!all_in() || left_)
        return;
    left_ = true;
    for (const auto& [shard, state] : shards_)
        out.wishes.push_back({shard, leave{}});
}

// A report that is still out counts: without it the giver's own tokens are in
// the books as if it had them, and it can't leave in order either.
bool budget_agent::all_in() const
{
    return bills_.size() == 0 && table_.size() == 0 &&
           transfers_.unreported() == 0;
}

bool budget_agent::done() const
{
    const std::lock_guard lock(mutex_);
    return all_in();
}

// ---- messages out

// The shard's state, with a join sent before anything else, and again when
// the witnesses have changed.
budget_agent::shard_state& budget_agent::joined(shard_id shard,
                                                agent_output& out)
{
    shard_state& state = shards_[shard];
    if (state.join != join_state::none)
        return state;
    state.join = join_state::sent;
    state.sent = witnesses_;
    out.wishes.push_back({shard, join{.witnesses = witnesses_, .at = now_}});
    return state;
}

void budget_agent::submit(const budget_id& budget, record_body body,
                          agent_output& out)
{
    const shard_id shard = shard_of_(budget);
    joined(shard, out);
    out.wishes.push_back({shard, std::move(body)});
}

void budget_agent::carry(refill_actions& actions, instant now,
                         agent_output& out)
{
    now_ = now;
    for (refill_action& it : actions) {
        if (auto* books = std::get_if<ask_books>(&it)) {
            submit(books->record.budget, books->record, out);
        } else if (const auto* ceiling = std::get_if<record_ceiling>(&it)) {
            start_raise(*ceiling, out);
        } else if (const auto* back = std::get_if<return_tokens>(&it)) {
            start_return(*back, out);
        } else if (const auto* peer = std::get_if<ask_peer>(&it)) {
            transfer_ask ask = transfers_.ask(peer->peer, peer->budget,
                                              peer->wish, peer->need, now);
            if (ask.number == 0) {
                planner_.not_asked(peer->budget);
                continue;
            }
            awaited_.insert({ask.giver, ask.number});
            out.asks.push_back(std::move(ask));
        }
    }
    actions.clear();
}

void budget_agent::start_raise(const record_ceiling& action, agent_output& out)
{
    const budget_id& budget = action.record.budget;
    if (!action.by_witness) {
        submit(budget, action.record, out);
        return;
    }
    const auto found = shards_.find(shard_of_(budget));
    const bool none = found == shards_.end() || found->second.recorded.empty();
    if (none) {
        planner_.raised(budget);
        return;
    }
    // Only a witness that the books know of will be asked for its word.
    const auto& known = found->second.recorded;
    const incarnation_id& witness = known[witness_turn_ % known.size()];
    out.ceilings.push_back({self_, witness, budget, action.record.ceiling});
}

void budget_agent::start_return(const return_tokens& action, agent_output& out)
{
    if (!returning_.insert(action.budget).second)
        return;
    const tokens amount = table_.debit_return(action.budget, action.amount);
    submit(action.budget, give_back{action.budget, amount, action.closing},
           out);
}

void budget_agent::report_transfers(agent_output& out)
{
    for (const transfer& it : transfers_.reports())
        submit(it.budget, it, out);
}

void budget_agent::send_bills(agent_output& out)
{
    const std::size_t most = options_.bills_in_flight;
    for (const shard_id shard : bills_.shards()) {
        shard_state& state = joined(shard, out);
        const std::size_t room =
            most - std::min(most, state.bills_in_flight.size());
        if (std::exchange(state.again, false))
            state.next_bill = 1;
        for (bill& it : bills_.pending(shard, room, state.next_bill - 1)) {
            state.next_bill = it.number + 1;
            if (state.bills_in_flight.insert(it.number).second)
                out.wishes.push_back({shard, std::move(it)});
        }
    }
}

void budget_agent::send_copies(instant now, agent_output& out)
{
    copy_message made{
        self_, bills_.uncopied(now, options_.copies_per_message), {}};
    for (const shard_bill& it : made.bills)
        copied_up_to_[it.shard] = it.charge.number;
    const bool due = now - copies_noted_ >= copy_note_interval;
    if (made.bills.empty() && (copied_up_to_.empty() || !due))
        return;
    copies_noted_ = now;
    // The peer may drop what is durable; once that is all, it is told no more.
    for (auto it = copied_up_to_.begin(); it != copied_up_to_.end();) {
        const std::uint64_t done = bills_.done_up_to(it->first);
        made.done_up_to[it->first] = done;
        it = done >= it->second ? copied_up_to_.erase(it) : std::next(it);
    }
    out.copies.push_back(std::move(made));
}

// ---- answers

void budget_agent::on_bill(const book_wish& wish, const bill& sent,
                           const outcome* made)
{
    if (!sent.biller.empty() && sent.biller != self_) {
        if (made != nullptr)
            bills_.flushed(sent.biller, wish.shard, sent.number);
        return;
    }
    shard_state& state = shards_[wish.shard];
    state.bills_in_flight.erase(sent.number);
    state.again = state.again || made == nullptr;
    if (made == nullptr)
        return;
    const bill_result end = bills_.resolve(wish.shard, sent.number, *made);
    if (end.uncharge > tokens(0))
        table_.uncharge(end.budget, end.uncharge);
    if (made->closed && end.known)
        drop_closed(end.budget);
}

// Guards against a gift or a bill that comes back to an entry that was dropped
// and made anew, which would then hold less than nothing. The books' entry can
// be closed, or not be there yet, while transfers are under way; without any,
// closed and nothing available here means that all bills are in.
void budget_agent::drop_closed(const budget_id& budget)
{
    if (!transfers_.moving(budget) && table_.drop(budget))
        planner_.forget(budget);
}

void budget_agent::on_outcome(const book_wish& wish, const outcome* made,
                              instant now, agent_output& out)
{
    const std::lock_guard lock(mutex_);
    now_ = now;
    const bool applied = made != nullptr && made->what == verdict::applied;
    if (made != nullptr && !left_ && made->sender != standing::good &&
        made->sender != standing::unknown)
        out.fenced = true;
    if (const auto* sent = std::get_if<bill>(&wish.body)) {
        on_bill(wish, *sent, made);
    } else if (const auto* asked = std::get_if<allot>(&wish.body)) {
        if (applied) {
            table_.credit_grant(asked->budget, made->granted_total, now);
            table_.raise_ceiling(asked->budget, asked->ceiling);
        }
        planner_.granted(asked->budget, made, now);
        out.woken.push_back(asked->budget);
    } else if (const auto* higher = std::get_if<raise>(&wish.body)) {
        if (applied)
            table_.raise_ceiling(higher->budget, higher->ceiling);
        planner_.raised(higher->budget);
        out.woken.push_back(higher->budget);
    } else if (const auto* back = std::get_if<give_back>(&wish.body)) {
        // Guards against spending what was given back: of a record that the
        // journal counted earlier it may not keep the verdict (`replayed`).
        // Left out, the tokens are stranded here at worst.
        const bool refused = made == nullptr ||
                             made->what == verdict::refused ||
                             made->what == verdict::invalid;
        if (refused)
            table_.refund_return(back->budget, back->amount);
        // Refused for want of an entry it is closed all the same: a request
        // that found no tokens has made an entry here and none in the books.
        if (made != nullptr && made->closed)
            drop_closed(back->budget);
        returning_.erase(back->budget);
        planner_.returned(back->budget);
    } else if (const auto* moved = std::get_if<transfer>(&wish.body)) {
        // A refused report is sent again: tokens that were passed on twice may
        // be reported in the wrong order, and a report that is given up leaves
        // its tokens out for good.
        const bool taken = made != nullptr && made->what != verdict::refused;
        transfers_.reported(*moved, taken);
    } else if (std::holds_alternative<join>(wish.body)) {
        shard_state& state = shards_[wish.shard];
        state.join = applied ? join_state::joined : join_state::none;
        if (applied)
            state.recorded = state.sent;
    }
}

void budget_agent::on_reply(const transfer_ask& ask,
                            const transfer_reply* reply, instant now,
                            agent_output& out)
{
    const std::lock_guard lock(mutex_);
    if (reply != nullptr)
        transfers_.accept(*reply, now);
    // A late answer brings its tokens, but the planner has gone on already.
    if (awaited_.erase({ask.giver, ask.number}) > 0)
        planner_.transferred(ask, reply, now);
    out.woken.push_back(ask.budget);
}

void budget_agent::on_word_taken(const transfer_confirm& word)
{
    const std::lock_guard lock(mutex_);
    transfers_.confirmed(word);
}

void budget_agent::on_ceiling(const ceiling_ask& ask, bool agreed,
                              instant /*now*/, agent_output& out)
{
    const std::lock_guard lock(mutex_);
    planner_.raised(ask.budget);
    if (agreed)
        table_.raise_ceiling(ask.budget, ask.ceiling);
    else
        ++witness_turn_;
    out.woken.push_back(ask.budget);
}

void budget_agent::on_copied(const copy_message& sent, bool kept)
{
    const std::lock_guard lock(mutex_);
    if (!kept)
        return;
    for (const shard_bill& it : sent.bills)
        bills_.copied(it.shard, it.charge.number);
}

// ---- requests of peers

transfer_reply budget_agent::give(const transfer_ask& ask, instant now,
                                  agent_output& out)
{
    const std::lock_guard lock(mutex_);
    allotment_level level;
    level.budget = ask.budget;
    if (const auto known = table_.level(ask.budget))
        level = *known;
    refill_actions actions;
    bool more_soon = false;
    const tokens most =
        planner_.most_to_give(ask, level, now, actions, more_soon);
    carry(actions, now, out);
    transfer_reply made = transfers_.give(ask, most, shard_of_(ask.budget));
    made.more_soon = more_soon;
    return made;
}

void budget_agent::take_word(const transfer_confirm& word)
{
    const std::lock_guard lock(mutex_);
    transfers_.confirm(word);
}

bool budget_agent::vouch(const ceiling_ask& ask)
{
    const std::lock_guard lock(mutex_);
    return ask.witness == self_ &&
           witnessed_.vouch(ask.holder, ask.budget, ask.ceiling);
}

bool budget_agent::keep_copies(const copy_message& message)
{
    const std::lock_guard lock(mutex_);
    for (const auto& [shard, number] : message.done_up_to)
        bills_.drop_copies(message.biller, shard, number);
    bool kept = true;
    for (const shard_bill& it : message.bills)
        kept = bills_.keep_copy(message.biller, it) && kept;
    return kept;
}

void budget_agent::on_fence_awaited(shard_id shard,
                                    const incarnation_id& holder,
                                    agent_output& out)
{
    const std::lock_guard lock(mutex_);
    const auto ours = [this, shard](const budget_id& it) {
        return shard_of_(it) == shard;
    };
    joined(shard, out);
    for (fence_ack& it : witnessed_.fence(holder, ours))
        out.wishes.push_back({shard, std::move(it)});
}

void budget_agent::on_gone(const incarnation_id& node, agent_output& out)
{
    const std::lock_guard lock(mutex_);
    // Transfers first, so that the bills find what was transferred.
    for (const transfer& it : transfers_.take_over(node))
        submit(it.budget, it, out);
    for (shard_bill& it : bills_.copies_of(node)) {
        joined(it.shard, out);
        out.wishes.push_back({it.shard, std::move(it.charge)});
    }
}

void budget_agent::on_settled(const incarnation_id& holder)
{
    const std::lock_guard lock(mutex_);
    witnessed_.settled(holder);
}

} // namespace fennelladder::budget
