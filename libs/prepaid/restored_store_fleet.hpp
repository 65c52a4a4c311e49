// A model, in virtual time, of a fleet that draws tokens from a store that is
// restored from older copies: nodes die, start again, freeze and are cut off
// around it, messages are lost, and writes are carried out late.
//
//     restored_store_fleet it({.nodes = 8}, seed);
//     it.run();
//     CHECK(it.spent() <= it.prepaid() + it.forgotten());
//
// The nodes decide by record_keeper and draw_policy; the model has their calls
// and messages in place of edge/allotment_writer and edge/draw_exchange.

#ifndef FENNELLADDER_PREPAID_RESTORED_STORE_FLEET_HPP
#define FENNELLADDER_PREPAID_RESTORED_STORE_FLEET_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/prepaid/draw_policy.hpp"
#include "fennelladder/prepaid/record_keeper.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace fennelladder::prepaid {

struct restored_store_options
{
    std::size_t nodes = 8;
    int restores = 1;
    bool has_faults = true;
    duration length = seconds(25);
};

class restored_store_fleet
{
public:
    restored_store_fleet(const restored_store_options& options,
                         std::uint64_t seed)
        : options_(options), random_(seed)
    {
        for (std::size_t i = 0; i < options.nodes; ++i)
            start_node(i, seconds(10));
        for (int i = 0; i < options.restores; ++i)
            restores_.push_back(now_ + seconds(5) +
                                from_seconds(10 * random_.unit()));
        std::ranges::sort(restores_);
    }

    void run()
    {
        const instant end = now_ + options_.length;
        instant next_fault = now_ + seconds(2);
        for (; now_ < end; now_ += tick) {
            deliver_events();
            save_copy();
            while (!restores_.empty() && restores_.front() <= now_)
                restore();
            if (options_.has_faults && now_ >= next_fault) {
                next_fault = now_ + from_seconds(random_.unit());
                break_something();
            }
            spread_heartbeats();
            first_alive_ = 0;
            while (first_alive_ + 1 < nodes_.size() &&
                   !seems_alive(nodes_[first_alive_]))
                ++first_alive_;
            for (auto& it : nodes_)
                if (is_running(it))
                    act(it);
        }
    }

    tokens prepaid() const { return prepaid_.at(team_); }
    tokens spent() const { return spent_; }

    /// Drawn tokens that at some time no live process and no record knew of.
    tokens forgotten() const { return forgotten_; }

    /// Longest time after a restore until some node could draw again.
    duration longest_pause() const { return longest_pause_; }

private:
    static constexpr duration tick = milliseconds(10);
    static constexpr duration silence_limit = seconds(1);
    static constexpr duration heartbeat_interval = milliseconds(250);

    struct stored_record
    {
        std::optional<allotment_record> record;
        std::uint64_t changed = 0; ///< Revision count.
    };

    struct store_state
    {
        stored_record stored;
        std::uint64_t revision = 100;
    };

    struct node
    {
        std::size_t index = 0;
        std::uint64_t incarnation = 0;
        instant started;
        bool alive = true;
        instant frozen_until;
        instant cut_until;       ///< From the other nodes.
        instant store_cut_until; ///< From the store.
        instant reachable_at;    ///< When others could hear it last.
        instant heard_at;        ///< When it heard another last.
        instant restart_at;
        catalog::store_era era;
        std::unique_ptr<record_keeper> keeper;
        tokens free;
        bool is_calling = false;
        /// The claim that others are told of.
        std::optional<token_claim> told;
        std::set<std::uint64_t> witnesses;
        instant told_until;
        instant tell_next;
        std::set<std::uint64_t> answered; ///< In this era.
        std::optional<instant> asked;
        instant ask_next;
        std::vector<std::size_t> asked_at_start;
    };

    using event = std::function<void()>;

    // Time and messages.

    void at(duration in, event what) { events_.emplace(now_ + in, what); }

    void deliver_events()
    {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const event what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
        }
    }

    duration latency()
    {
        return milliseconds(1) + from_seconds(0.004 * random_.unit());
    }

    bool is_running(const node& it) const
    {
        return it.alive && it.frozen_until <= now_;
    }

    bool can_talk(const node& one, const node& other) const
    {
        return one.cut_until <= now_ && other.cut_until <= now_;
    }

    /// What arrives while the receiver is frozen waits for it.
    void send(const node& from, std::size_t to,
              const std::function<void(node&)>& what)
    {
        if (random_.chance(0.02) || !can_talk(from, nodes_[to]))
            return;
        const std::uint64_t receiver = nodes_[to].incarnation;
        at(latency(),
           [this, to, receiver, what] { arrive(to, receiver, what); });
    }

    void arrive(std::size_t to, std::uint64_t receiver,
                const std::function<void(node&)>& what)
    {
        node& it = nodes_[to];
        if (!it.alive || it.incarnation != receiver)
            return;
        if (!is_running(it))
            at(it.frozen_until - now_,
               [this, to, receiver, what] { arrive(to, receiver, what); });
        else
            what(it);
    }

    // Membership.

    void start_node(std::size_t index, duration up_for)
    {
        if (index == nodes_.size())
            nodes_.emplace_back();
        node fresh;
        fresh.index = index;
        fresh.incarnation = ++last_incarnation_;
        fresh.started = now_ - up_for;
        fresh.reachable_at = now_;
        fresh.keeper = std::make_unique<record_keeper>(
            host_id(std::to_string(index)),
            std::to_string(fresh.incarnation) + ".");
        nodes_[index] = std::move(fresh);
    }

    bool seems_alive(const node& it) const
    {
        return now_ - it.reachable_at < silence_limit;
    }

    void spread_heartbeats()
    {
        if (now_ < next_heartbeats_)
            return;
        next_heartbeats_ = now_ + heartbeat_interval;
        catalog::store_era highest;
        int heard = 0;
        for (node& it : nodes_)
            if (is_running(it) && it.cut_until <= now_) {
                it.reachable_at = now_;
                highest = std::max(highest, it.era);
                ++heard;
            }
        for (node& it : nodes_)
            if (is_running(it) && it.cut_until <= now_) {
                (void)enter_era(it, highest);
                if (heard > 1)
                    it.heard_at = now_;
            }
    }

    /// Returns whether `era` is the node's era then.
    bool enter_era(node& it, catalog::store_era era)
    {
        if (era > it.era) {
            it.era = era;
            it.keeper->enter_era(era, now_);
            it.answered.clear();
            it.asked.reset();
        }
        return era == it.era;
    }

    std::vector<std::size_t> live_peers(const node& of) const
    {
        std::vector<std::size_t> out;
        for (const node& it : nodes_)
            if (it.index != of.index && seems_alive(it) &&
                now_ - of.cut_until > heartbeat_interval)
                out.push_back(it.index);
        return out;
    }

    std::optional<duration> isolated_for(const node& of) const
    {
        if (nodes_.size() == 1 || !live_peers(of).empty())
            return std::nullopt;
        return now_ - std::max(of.started, of.heard_at);
    }

    // Faults.

    void break_something()
    {
        node& it = nodes_[random_.below(nodes_.size())];
        switch (random_.below(5)) {
        case 0:
            kill(it, from_seconds(0.2 + 2 * random_.unit()));
            break;
        case 1:
            if (options_.nodes > 1 && random_.chance(0.3))
                for (node& other : nodes_)
                    if (random_.chance(0.5))
                        kill(other, from_seconds(0.5 + random_.unit()));
            break;
        case 2:
            it.frozen_until = now_ + from_seconds(3 * random_.unit());
            break;
        case 3:
            if (!is_any_cut())
                it.cut_until = now_ + from_seconds(4 * random_.unit());
            break;
        default:
            it.store_cut_until = now_ + from_seconds(3 * random_.unit());
        }
    }

    bool is_any_cut() const
    {
        return std::ranges::any_of(
            nodes_, [this](const node& it) { return it.cut_until > now_; });
    }

    void kill(node& it, duration down)
    {
        if (!it.alive)
            return;
        it.alive = false;
        note_forgotten();
        at(down, [this, index = it.index] { start_node(index, duration(0)); });
    }

    /// Whoever lives, or the record, has to know of what was credited.
    void note_forgotten()
    {
        allotment_ledger known;
        for (const node& it : nodes_)
            if (it.alive)
                known.merge(it.keeper->ledger(), now_);
        if (store_.stored.record)
            known.merge(ledger_of(*store_.stored.record, now_), now_);
        forgotten_ = std::max(forgotten_, credited_ - known.total(team_));
    }

    // The store.

    void save_copy()
    {
        copies_.emplace_back(now_, store_);
        while (copies_.front().first < now_ - seconds(30))
            copies_.pop_front();
    }

    void restore()
    {
        restores_.erase(restores_.begin());
        // Copies are 0.1 to 30 s old; short ages are as likely as long ones.
        const double age = 0.1 * std::pow(300, random_.unit());
        const instant from = now_ - from_seconds(age);
        auto copy = copies_.begin();
        while (copy + 1 != copies_.end() && (copy + 1)->first <= from)
            ++copy;
        store_ = copy->second;
        copies_.assign(1, {now_, store_});
        store_era_ = store_era_.next();
        away_until_ = now_ + from_seconds(0.5 * random_.unit());
        restored_at_ = now_;
        can_draw_ = false;
        note_forgotten();
    }

    /// Carries out a write whose condition holds; shows the record.
    std::optional<shown_record> carry_out(const record_write& write)
    {
        ++store_.revision; // Others write too.
        stored_record& it = store_.stored;
        const bool holds =
            write.expected.value() == 0
                ? !it.record
                : it.record && it.changed == write.expected.value();
        if (holds)
            it = {write.record, ++store_.revision};
        if (!it.record)
            return std::nullopt;
        return shown_record{*it.record, revision_of(it)};
    }

    catalog::revision revision_of(const stored_record& it) const
    {
        return catalog::revision(it.changed, store_era_);
    }

    bool reaches_store(const node& it) const
    {
        return away_until_ <= now_ && it.store_cut_until <= now_;
    }

    // Nodes.

    void act(node& it)
    {
        spend(it);
        tell(it);
        learn_at_start(it);
        const bool writes = is_writer(it) || random_.chance(0.01);
        if (!writes || it.is_calling || !reaches_store(it))
            return;
        record_keeper& keeper = *it.keeper;
        if (keeper.is_usable()) {
            note_can_draw();
            draw(it);
        } else if (keeper.needs_repair()) {
            repair(it);
        } else {
            read(it);
        }
    }

    bool is_writer(const node& it) const
    {
        return it.cut_until > now_ || it.index <= first_alive_;
    }

    void note_can_draw()
    {
        if (!can_draw_ && restored_at_)
            longest_pause_ = std::max(longest_pause_, now_ - *restored_at_);
        can_draw_ = true;
    }

    void spend(node& it)
    {
        const tokens amount = std::min(it.free, tokens(40));
        it.free -= amount;
        spent_ += amount;
    }

    void read(node& it)
    {
        call(
            it, [this](node&) { return store_.stored; },
            [this](node& by, const std::optional<stored_record>& got,
                   catalog::store_era era) {
                if (!got || !enter_era(by, era))
                    return;
                if (got->record)
                    (void)by.keeper->accept(
                        {*got->record, catalog::revision(got->changed, era)},
                        now_);
                else
                    (void)by.keeper->accept_missing(era, now_);
            });
    }

    /// A call that takes effect after a while and is answered after another;
    /// the answer may be lost.
    template <class Effect, class Answer>
    void call(node& it, Effect effect, Answer answer)
    {
        it.is_calling = true;
        const std::size_t index = it.index;
        const std::uint64_t caller = it.incarnation;
        at(latency(), [=, this] {
            if (!reaches_store(nodes_[index])) {
                end_call(index, caller, [](node&) {});
                return;
            }
            auto got = effect(nodes_[index]);
            const catalog::store_era era = store_era_;
            // The caller waits for a reply that is lost.
            const bool lost = random_.chance(0.02);
            at(lost ? milliseconds(800) : latency(), [=, this] {
                end_call(index, caller, [=](node& by) {
                    std::optional<std::decay_t<decltype(got)>> shown;
                    if (!lost)
                        shown.emplace(got);
                    answer(by, shown, era);
                });
            });
        });
    }

    void end_call(std::size_t index, std::uint64_t caller,
                  const std::function<void(node&)>& what)
    {
        arrive(index, caller, [what](node& by) {
            by.is_calling = false;
            what(by);
        });
    }

    void draw(node& it)
    {
        record_keeper& keeper = *it.keeper;
        if (keeper.in_doubt()) {
            resolve(it);
            return;
        }
        if (it.free > tokens(400) && !keeper.is_behind())
            return;
        const token_amounts wanted{{team_, tokens(1'500)}};
        if (const auto made = keeper.draft_withdrawal(prepaid_, wanted))
            write(it, *made);
    }

    void write(node& it, const record_write& made)
    {
        // The store may carry out a write seconds later.
        if (random_.chance(0.03)) {
            it.keeper->note_in_doubt(made);
            at(from_seconds(4 * random_.unit()),
               [this, made] { (void)carry_out_late(made); });
            return;
        }
        call(
            it, [this, made](node&) { return carry_out(made); },
            [this, made](node& by, const auto& shown, catalog::store_era era) {
                if (shown && enter_era(by, era))
                    (void)by.keeper->end_write(made, *shown, now_);
                else
                    by.keeper->note_in_doubt(made);
            });
    }

    bool carry_out_late(const record_write& made)
    {
        if (!store_.stored.record || away_until_ > now_)
            return false;
        (void)carry_out(made);
        return true;
    }

    void resolve(node& it)
    {
        call(
            it, [this](node&) { return store_.stored; },
            [this](node& by, const std::optional<stored_record>& got,
                   catalog::store_era era) {
                if (!got || !enter_era(by, era) || !got->record)
                    return;
                const auto ok = by.keeper->accept(
                    {*got->record, catalog::revision(got->changed, era)}, now_);
                if (!ok || !by.keeper->in_doubt())
                    return;
                if (!by.keeper->resolve_in_doubt()) {
                    const record_write again = *by.keeper->in_doubt();
                    write(by, again);
                }
            });
    }

    void repair(node& it)
    {
        if (!it.asked) {
            it.asked = now_;
            it.ask_next = now_;
        }
        const auto peers = live_peers(it);
        if (now_ >= it.ask_next) {
            it.ask_next = now_ + milliseconds(50);
            for (const std::size_t peer : peers)
                if (!it.answered.contains(nodes_[peer].incarnation))
                    ask(it, peer);
        }
        repair_view view;
        view.record_missing = it.keeper->is_missing();
        view.first_start = it.incarnation <= options_.nodes;
        view.uptime = now_ - it.started;
        view.asked_for = now_ - *it.asked;
        view.isolated_for = isolated_for(it);
        view.asked = peers.size();
        for (const std::size_t peer : peers)
            view.answered += it.answered.contains(nodes_[peer].incarnation);
        view.eldest_answered = view.uptime;
        for (const node& other : nodes_) {
            const bool was_heard = other.index != it.index &&
                                   other.reachable_at >= it.started &&
                                   now_ - other.reachable_at < isolation_limit;
            duration& eldest = it.answered.contains(other.incarnation)
                                   ? view.eldest_answered
                                   : view.eldest_silent;
            if (was_heard)
                eldest = std::max(eldest, now_ - other.started);
        }
        if (!may_repair(view))
            return;
        const record_write made = it.keeper->draft_repair(random_.bits());
        call(
            it, [this, made](node&) { return carry_out(made); },
            [this](node& by, const auto& shown, catalog::store_era era) {
                if (shown && enter_era(by, era) && *shown)
                    (void)by.keeper->accept(**shown, now_);
            });
    }

    void learn_at_start(node& it)
    {
        const duration uptime = now_ - it.started;
        const bool asks = uptime >= seconds(1) && uptime < 2 * discovery_time;
        if (!asks || now_ < it.ask_next || it.keeper->needs_repair())
            return;
        it.ask_next = now_ + milliseconds(250);
        if (it.asked_at_start.empty())
            it.asked_at_start = sample(live_peers(it));
        for (const std::size_t peer : it.asked_at_start)
            if (!it.answered.contains(nodes_[peer].incarnation))
                ask(it, peer);
    }

    std::vector<std::size_t> sample(std::vector<std::size_t> from)
    {
        for (std::size_t i = from.size(); i > 1; --i)
            std::swap(from[i - 1], from[random_.below(i)]);
        from.resize(std::min(from.size(), most_witnesses));
        return from;
    }

    void ask(const node& it, std::size_t peer)
    {
        const std::size_t index = it.index;
        const catalog::store_era era = it.era;
        send(it, peer, [this, index, era](node& by) {
            (void)enter_era(by, era);
            const auto known =
                by.keeper->ledger().learnt_since(now_ - minutes(2));
            const std::uint64_t reporter = by.incarnation;
            send(by, index, [this, known, reporter, era](node& asker) {
                (void)asker.keeper->learn(known, now_);
                if (asker.era == era)
                    asker.answered.insert(reporter);
            });
        });
    }

    /// Tells others of a claim until enough know of it.
    void tell(node& it)
    {
        if (!it.told)
            it.told = it.keeper->take_claim(prepaid_);
        if (it.told && it.told->era < it.era) {
            it.keeper->return_claim(std::move(*it.told));
            it.told.reset();
            it.witnesses.clear();
        }
        const auto covered = it.keeper->take_covered_claims(prepaid_);
        credit(it, covered);
        if (!it.told)
            return;
        if (it.witnesses.size() >=
            witnesses_needed({live_peers(it).size(), isolated_for(it)})) {
            credit(it, it.told->granted);
            it.told.reset();
            it.witnesses.clear();
            return;
        }
        if (now_ < it.tell_next)
            return;
        it.tell_next = now_ + milliseconds(20);
        for (const std::size_t peer : sample(live_peers(it)))
            report(it, peer);
    }

    void report(const node& it, std::size_t peer)
    {
        const token_claim claim = *it.told;
        const std::size_t index = it.index;
        send(it, peer, [this, claim, index](node& by) {
            (void)enter_era(by, claim.era);
            (void)by.keeper->learn(claim.draws, now_);
            const catalog::store_era era = by.era;
            const std::uint64_t witness = by.incarnation;
            send(by, index, [this, claim, era, witness](node& teller) {
                (void)enter_era(teller, era);
                if (teller.told && teller.told->draws == claim.draws &&
                    era == claim.era && teller.era == era)
                    teller.witnesses.insert(witness);
            });
        });
    }

    void credit(node& it, const token_amounts& granted)
    {
        for (const auto& [team, amount] : granted) {
            it.free += amount;
            credited_ += amount;
        }
    }

    const restored_store_options options_;
    random_source random_;
    const team_id team_{"t"};
    const token_amounts prepaid_{{team_id("t"), tokens(60'000)}};
    instant now_ = instant(hours(1));
    std::multimap<instant, event> events_;
    std::vector<node> nodes_;
    std::size_t first_alive_ = 0; ///< Index of the first node that seems so.
    std::uint64_t last_incarnation_ = 0;
    instant next_heartbeats_;
    store_state store_;
    catalog::store_era store_era_{1};
    instant away_until_;
    std::deque<std::pair<instant, store_state>> copies_;
    std::vector<instant> restores_;
    std::optional<instant> restored_at_;
    bool can_draw_ = true;
    duration longest_pause_{0};
    tokens credited_;
    tokens spent_;
    tokens forgotten_;
};

} // namespace fennelladder::prepaid

#endif
