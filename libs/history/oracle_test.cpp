// Random histories, judged by the checker and by a slow restatement of the
// rules that compares every event with every other.

#include "fennelladder/history/checker.hpp"
#include "fennelladder/history/event.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::history;

namespace {

// Events in order of time; equal times in order of their lines.
using event_list = std::vector<event>;

template <class Kind>
std::vector<std::pair<const event*, const Kind*>>
all_of(const event_list& events)
{
    std::vector<std::pair<const event*, const Kind*>> found;
    for (const event& it : events) {
        if (const Kind* body = std::get_if<Kind>(&it.body))
            found.emplace_back(&it, body);
    }
    return found;
}

template <class Kind>
const event* find(const event_list& events, const request_id& request)
{
    for (const auto& [it, body] : all_of<Kind>(events)) {
        if (body->request == request)
            return it;
    }
    return nullptr;
}

bool told(const event_list& events, const request_id& it)
{
    return find<not_run>(events, it) || find<refused>(events, it);
}

template <class Kind>
bool has_at(const event_list& events, const node_id& node, instant from,
            instant to)
{
    return std::ranges::any_of(events, [&](const event& it) {
        return std::holds_alternative<Kind>(it.body) && it.node == node &&
               it.at >= from && it.at <= to;
    });
}

bool overspends(const event_list& events)
{
    std::int64_t left = 0;
    std::set<std::string> seen;
    for (const event& it : events) {
        if (const auto* in = std::get_if<prepaid>(&it.body)) {
            if (seen.insert("+" + in->topup.str()).second)
                left += in->amount.count();
        } else if (const auto* out = std::get_if<billed>(&it.body)) {
            if (seen.insert("-" + out->bill.str()).second)
                left -= out->amount.count();
        }
        if (left < 0)
            return true;
    }
    return false;
}

bool bills_wrongly(const event_list& events)
{
    for (const auto& [a, one] : all_of<billed>(events)) {
        bool ran = false;
        for (const auto& [b, it] : all_of<executed>(events))
            ran = ran || it->key == one->key;
        if (!ran)
            return true;
        for (const auto& [b, other] : all_of<billed>(events)) {
            const bool same_bill = one->bill == other->bill;
            if (same_bill != (one->key == other->key) ||
                (same_bill && one->amount != other->amount))
                return true;
        }
    }
    return false;
}

bool answers_are_broken(const event_list& events)
{
    for (const auto& [s, request] : all_of<sent>(events)) {
        std::uint64_t end = 0;
        std::string digest;
        for (const auto& [c, it] : all_of<chunk>(events)) {
            if (it->request != request->request)
                continue;
            if (it->offset != end)
                return true;
            end += it->bytes;
            digest = it->digest;
        }
        int answers = 0;
        for (const auto& [a, it] : all_of<answered>(events)) {
            if (it->request != request->request)
                continue;
            if (++answers > 1 || it->length != end ||
                (!digest.empty() && it->digest != digest))
                return true;
        }
        int runs = 0;
        for (const auto& [x, it] : all_of<executed>(events))
            runs += it->key == request->key ? 1 : 0;
        for (const auto& [s2, twin] : all_of<sent>(events)) {
            const event* a = find<answered>(events, request->request);
            const event* b = find<answered>(events, twin->request);
            if (runs != 1 || twin->key != request->key || !a || !b)
                continue;
            const auto& one = std::get<answered>(a->body);
            const auto& two = std::get<answered>(b->body);
            if (one.length != two.length || one.digest != two.digest)
                return true;
        }
    }
    return false;
}

bool goes_to_strangers(const event_list& events)
{
    for (const auto& [s, request] : all_of<sent>(events)) {
        for (const auto& [c, it] : all_of<chunk>(events)) {
            if (it->request == request->request &&
                it->caller != request->caller)
                return true;
        }
        for (const auto& [a, it] : all_of<answered>(events)) {
            if (it->request == request->request &&
                it->caller != request->caller)
                return true;
        }
    }
    return false;
}

/// Tries every way to account for the executions of one tuple.
bool accountable(const std::vector<instant>& executions,
                 std::vector<instant> dispatches,
                 const std::function<bool(instant)>& excused, std::size_t n = 0)
{
    if (n == executions.size())
        return true;
    if (excused(executions[n]) &&
        accountable(executions, dispatches, excused, n + 1))
        return true;
    for (std::size_t k = 0; k < dispatches.size(); ++k) {
        if (dispatches[k] > executions[n])
            continue;
        auto rest = dispatches;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(k));
        if (accountable(executions, rest, excused, n + 1))
            return true;
    }
    return false;
}

bool same_run(const executed& a, const executed& b)
{
    return a.key == b.key && a.target == b.target && a.attempt == b.attempt;
}

bool lies_about_not_run(const event_list& events)
{
    bool lied = false;
    std::set<std::string> told_keys;
    for (const auto& [s, it] : all_of<sent>(events)) {
        if (!told(events, it->request))
            continue;
        told_keys.insert(it->key.str());
        lied = lied || find<answered>(events, it->request);
    }
    for (const auto& [x, one] : all_of<executed>(events)) {
        if (!told_keys.contains(one->key.str()))
            continue;
        std::vector<instant> executions;
        std::vector<instant> dispatches;
        bool told_one_dispatched = false;
        for (const auto& [y, it] : all_of<executed>(events)) {
            if (same_run(*one, *it))
                executions.push_back(y->at);
        }
        for (const auto& [d, it] : all_of<dispatched>(events)) {
            if (!same_run(*one, {it->key, it->target, it->attempt}))
                continue;
            if (told(events, it->request))
                told_one_dispatched = true;
            else
                dispatches.push_back(d->at);
        }
        const auto excused = [&, key = one->key](instant at) {
            for (const auto& [s, it] : all_of<sent>(events)) {
                if (!told_one_dispatched && it->key == key && s->at <= at &&
                    !told(events, it->request) &&
                    !find<dispatched>(events, it->request))
                    return true;
            }
            return false;
        };
        lied = lied || !accountable(executions, dispatches, excused);
    }
    return lied;
}

bool runs_twice(const event_list& events)
{
    std::set<std::string> ran;
    std::set<std::string> repeatable;
    for (const auto& [s, it] : all_of<sent>(events)) {
        if (it->idempotent)
            repeatable.insert(it->key.str());
    }
    return std::ranges::any_of(all_of<executed>(events), [&](const auto& it) {
        const std::string& key = it.second->key.str();
        return !repeatable.contains(key) && !ran.insert(key).second;
    });
}

bool works_after_leaving(const event_list& events)
{
    for (const auto& [d, it] : all_of<dispatched>(events)) {
        for (const auto& [l, leaving] : all_of<target_leaving>(events)) {
            if (leaving->target == it->target && d->at - l->at > seconds(5))
                return true;
        }
    }
    return false;
}

/// Calls visit(node, since) for each node that had the request in hand.
template <class Visit>
bool any_handler(const event_list& events, const request_id& request,
                 Visit visit)
{
    for (const event& it : events) {
        const auto* s = std::get_if<sent>(&it.body);
        const auto* d = std::get_if<dispatched>(&it.body);
        if (((s && s->request == request) || (d && d->request == request)) &&
            visit(it.node, it.at))
            return true;
    }
    return false;
}

bool loses(const event_list& events)
{
    const instant end = events.back().at;
    for (const auto& [s, it] : all_of<sent>(events)) {
        const bool over = told(events, it->request) ||
                          find<answered>(events, it->request) ||
                          find<unknown>(events, it->request);
        const auto dead = [&, from = s->at](const node_id& node, instant) {
            return has_at<died>(events, node, from, end);
        };
        if (!over && !any_handler(events, it->request, dead))
            return true;
    }
    return false;
}

bool cuts(const event_list& events)
{
    const instant end = events.back().at;
    for (const auto& [s, it] : all_of<sent>(events)) {
        const request_id request = it->request;
        const event* lost = find<unknown>(events, request);
        if (told(events, request) || find<answered>(events, request))
            continue;
        bool target_died = false;
        for (const auto& [d, order] : all_of<dispatched>(events)) {
            if (order->request == request)
                target_died = has_at<died>(events, node_id(order->target.str()),
                                           d->at, lost ? lost->at : end);
        }
        const auto cut = [&](const node_id& node, instant since) {
            for (const auto& [b, begin] : all_of<shutdown_begin>(events)) {
                const event* stop = nullptr;
                for (const auto& [e, body] : all_of<shutdown_end>(events)) {
                    if (!stop && e->node == node && e > b)
                        stop = e;
                }
                if (b->node != node || (!stop && !lost) ||
                    (stop && stop->at < since) || (lost && lost < b))
                    continue;
                if (!has_at<died>(events, node, b->at, stop ? stop->at : end))
                    return true;
            }
            return false;
        };
        if (!target_died && any_handler(events, request, cut))
            return true;
    }
    return false;
}

bool is_late(const event_list& events)
{
    const instant end = events.back().at;
    std::set<std::string> nodes;
    for (const event& it : events) {
        if (std::holds_alternative<config_in_force>(it.body) ||
            std::holds_alternative<dispatched>(it.body) ||
            std::holds_alternative<shutdown_begin>(it.body) ||
            std::holds_alternative<shutdown_end>(it.body))
            nodes.insert(it.node.str());
    }
    for (const auto& [a, accepted] : all_of<config_accepted>(events)) {
        for (const std::string& node : nodes) {
            const node_id id(node);
            const auto first = std::ranges::find(events, id, &event::node);
            const instant due = std::max(a->at, first->at) + seconds(13);
            bool reached = due > end || has_at<died>(events, id, {}, due) ||
                           has_at<shutdown_begin>(events, id, {}, due);
            for (const auto& [f, it] : all_of<config_in_force>(events))
                reached = reached || (f->node == id && f->at <= due &&
                                      it->generation >= accepted->generation);
            if (!reached)
                return true;
        }
    }
    return false;
}

bool reverts(const event_list& events)
{
    const auto falls = [](const auto& list, auto same_writer) {
        for (std::size_t n = 0; n < list.size(); ++n) {
            for (std::size_t k = n + 1; k < list.size(); ++k) {
                if (!same_writer(*list[n].first, *list[k].first))
                    continue;
                if (list[k].second->generation < list[n].second->generation)
                    return true;
            }
        }
        return false;
    };
    return falls(all_of<config_accepted>(events),
                 [](auto&, auto&) { return true; }) ||
           falls(all_of<config_in_force>(events),
                 [](auto& a, auto& b) { return a.node == b.node; });
}

std::set<std::string> judge(const event_list& events)
{
    const std::vector<std::pair<rule, bool (*)(const event_list&)>> oracles{
        {rule::overspend, overspends},
        {rule::billed_once, bills_wrongly},
        {rule::whole_answer, answers_are_broken},
        {rule::own_answer, goes_to_strangers},
        {rule::not_run_is_true, lies_about_not_run},
        {rule::at_most_once, runs_twice},
        {rule::no_work_after_leaving, works_after_leaving},
        {rule::no_cut_on_shutdown, cuts},
        {rule::config_in_force, is_late},
        {rule::config_never_reverts, reverts},
        {rule::no_loss, loses}};
    CHECK_EQUAL(rule_count, oracles.size());
    std::set<std::string> broken;
    for (const auto& [which, is_broken] : oracles) {
        if (is_broken(events))
            broken.emplace(to_string(which));
    }
    return broken;
}

int draw(int limit)
{
    return *rc::gen::inRange(0, limit);
}

template <class Id>
Id name(const char* prefix, int limit)
{
    return Id(prefix + std::to_string(draw(limit)));
}

// Requests 0 and 1 share a key that is idempotent, 2 and 3 one that is not.
constexpr int request_count = 4;

request_key key_of(int request)
{
    return request_key("k" + std::to_string(request / 2));
}

event_body random_body()
{
    const int request = draw(request_count);
    const request_id id("r" + std::to_string(request));
    const caller_id caller(draw(12) == 0 ? "stranger"
                                         : "c" + std::to_string(request));
    const auto target = name<target_id>("g", 2);
    switch (draw(22)) {
    case 0:
        return prepaid{budget_id("b"), tokens(3), name<topup_id>("p", 2)};
    case 1:
    case 2:
    case 3:
        return dispatched{id, key_of(request), target, 1};
    case 4:
    case 5:
        return executed{key_of(request), target, 1};
    case 6:
    case 7:
        return chunk{id, caller, static_cast<std::uint64_t>(draw(2)), 1,
                     draw(4) == 0 ? "run:2" : "run:1"};
    case 8:
    case 9:
        return answered{id, caller, static_cast<std::uint64_t>(draw(3)),
                        draw(4) == 0 ? "run:2" : "run:1"};
    case 10:
        return not_run{id};
    case 11:
        return unknown{id};
    case 12:
        return billed{
            key_of(request), budget_id("b"), tokens(1 + draw(2)),
            bill_id("x" + key_of(request).str() + std::to_string(draw(2)))};
    case 13:
        return refused{id, budget_id("b")};
    case 14:
        return target_leaving{target};
    case 15:
    case 19:
        return config_accepted{generation(1 + draw(2)), "h"};
    case 16:
    case 20:
        return config_in_force{generation(1 + draw(3)), "h"};
    case 17:
        return shutdown_begin{};
    case 18:
        return shutdown_end{};
    default:
        return died{};
    }
}

event random_event(const char* who, int limit, event_body body)
{
    return {instant(seconds(draw(limit))), name<node_id>(who, 2),
            std::move(body)};
}

event_list random_run()
{
    event_list events;
    for (int n = 0; n < request_count; ++n) {
        const std::string number = std::to_string(n);
        const request_id id("r" + number);
        const caller_id caller("c" + number);
        events.push_back(
            random_event("n", 20,
                         sent{id, team_id("t"), budget_id("b"), key_of(n),
                              caller_kind("x"), n < 2, caller}));
        const std::vector<event_body> ends{answered{id, caller, 0, "run:0"},
                                           unknown{id}, not_run{id}};
        const int end = draw(8);
        if (end < 7)
            events.push_back(random_event("n", 40, ends[end * 3 / 7]));
    }
    const int more = draw(12);
    for (int n = 0; n < more; ++n)
        events.push_back(
            random_event(draw(10) == 0 ? "g" : "n", 40, random_body()));
    std::ranges::stable_sort(events, {}, &event::at);
    return events;
}

} // namespace

TEST_GROUP(history_oracle){};

TEST(history_oracle, checker_and_slow_restatement_agree)
{
    std::map<std::string, int> seen;
    const testing::property_options options{
        .name = "checker agrees with the oracle",
        .seed = 2100,
        .cases = 15'000};
    testing::check_property(options, [&seen] {
        const event_list events = random_run();
        checker check({});
        for (const event& it : events)
            check.add_line(to_json_line(it));
        const history_report report = check.finish();
        RC_ASSERT(report.bad.to_text() == "");
        std::set<std::string> broken;
        for (const violation& it : report.violations)
            broken.emplace(to_string(it.broken));
        for (const std::string& it : broken)
            ++seen[it];
        ++seen[broken.empty() ? "none" : "some"];
        if (broken != judge(events)) {
            for (const event& it : events)
                RC_LOG() << to_json_line(it) << '\n';
        }
        RC_ASSERT(broken == judge(events));
    });
    // The histories must be varied enough to mean something.
    for (std::size_t n = 0; n < rule_count; ++n)
        CHECK(seen[std::string(to_string(static_cast<rule>(n)))] >= 50);
    CHECK(seen["none"] >= 50);
}
