#include "fennelladder/request/suspect_list.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::request;

namespace {

using verdict = run_verdict;

constexpr instant start = from_nanoseconds(3'600'000'000'000);

incarnation_id node_name(std::size_t n)
{
    return incarnation_id("n" + std::to_string(n));
}

run_marks marks(int body, int key = 0)
{
    const auto b = static_cast<std::uint64_t>(body);
    const auto k = static_cast<std::uint64_t>(key);
    return {suspect_mark(1'000 + 100 * b + k), suspect_mark(b)};
}

// Nodes with their lists, targets with what runs there, and messages under
// way. Body 0 kills every target it runs on, whenever kill() says so; all
// others are innocent. Each send uses a new key.
class fleet
{
public:
    explicit fleet(std::size_t nodes, suspect_list_options options = {})
    {
        for (std::size_t n = 0; n < nodes; ++n)
            lists.push_back(
                std::make_unique<suspect_list>(node_name(n), options));
        for (const auto& it : lists) {
            std::set<incarnation_id> all;
            for (std::size_t n = 0; n < nodes; ++n)
                all.insert(node_name(n));
            it->set_peers(all);
        }
        free_copies.resize(nodes);
    }

    struct run
    {
        std::size_t node;
        run_number number;
        int body;
        std::size_t target;
        bool alone;
    };

    // The caller sends `body` to `node`; `spot` picks a target.
    verdict send(std::size_t node, int body, std::size_t spot)
    {
        now += milliseconds(1);
        const auto permit = lists[node]->begin(marks(body, ++keys_), now);
        if (permit.verdict >= verdict::wait)
            return permit.verdict;
        std::size_t target = spot;
        if (permit.verdict == verdict::same_target)
            target = std::stoul(permit.target.str());
        else if (permit.verdict == verdict::alone || taken(spot))
            target = next_target_++;
        if (body == 0 && permit.verdict != verdict::alone)
            free_copies[node] = true;
        lists[node]->placed(permit.run, target_id(std::to_string(target)),
                            lives_[target]);
        runs.push_back(
            {node, permit.run, body, target, permit.verdict == verdict::alone});
        return permit.verdict;
    }

    // The oldest run of the poison kills its target.
    bool kill()
    {
        const auto it = std::ranges::find(runs, 0, &run::body);
        if (it == runs.end())
            return false;
        now += milliseconds(1);
        const std::size_t target = it->target;
        ++deaths;
        std::erase_if(runs,
                      [&](const run& one) { return one.target == target; });
        for (std::size_t n = 0; n < lists.size(); ++n) {
            if (lists[n]->target_died(target_id(std::to_string(target)),
                                      lives_[target], now))
                push(n);
        }
        lives_[target] = lives_[target].next(); // it's started anew
        return true;
    }

    // The n-th run of an innocent request is answered.
    bool answer(std::size_t n)
    {
        for (auto it = runs.begin(); it != runs.end(); ++it) {
            if (it->body == 0 || n-- > 0)
                continue;
            now += milliseconds(1);
            lists[it->node]->ended(it->number, run_end::answered, now);
            push(it->node);
            runs.erase(it);
            return true;
        }
        return false;
    }

    void push(std::size_t from)
    {
        for (std::size_t to = 0; to < lists.size(); ++to) {
            auto records = lists[from]->pending_for(node_name(to));
            if (to != from && !records.empty())
                messages.push_back({from, to, std::move(records), {}});
        }
    }

    // Delivers message `n`; it stays under way if it's repeated.
    bool deliver(std::size_t n, bool repeat = false)
    {
        if (n >= messages.size())
            return false;
        const message it = messages[n];
        if (!repeat)
            messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(n));
        if (it.records.empty()) {
            lists[it.to]->on_ack(node_name(it.from), it.acks);
            return true;
        }
        messages.push_back(
            {it.to, it.from, {}, lists[it.to]->merge(it.records, now)});
        return true;
    }

    // Pushes and delivers until there is nothing to tell, at most.
    void settle()
    {
        for (std::size_t round = 0; round < 4; ++round) {
            for (std::size_t n = 0; n < lists.size(); ++n)
                push(n);
            while (deliver(0)) {
            }
        }
    }

    int nodes_with_free_copies() const
    {
        return static_cast<int>(std::ranges::count(free_copies, true));
    }

    bool within_bound() const
    {
        return deaths <= std::max(2, nodes_with_free_copies());
    }

    bool quarantined_anywhere(int body) const
    {
        return std::ranges::any_of(lists, [&](const auto& list) {
            return std::ranges::any_of(
                list->quarantined(now), [&](const auto& it) {
                    return it.record.mark == marks(body).body;
                });
        });
    }

    struct message
    {
        std::size_t from;
        std::size_t to;
        std::vector<suspect_record> records;
        std::vector<suspect_ack> acks;
    };

    std::vector<std::unique_ptr<suspect_list>> lists;
    std::vector<run> runs;
    std::vector<message> messages;
    std::vector<bool> free_copies; // of the poison, by node
    int deaths = 0;
    instant now = start;

private:
    // Dead, or set aside for a run alone; numbers from next_target_ on are
    // given once.
    bool taken(std::size_t target) const
    {
        return std::ranges::any_of(runs, [&](const run& it) {
            return it.target == target && it.alone;
        });
    }

    std::vector<target_life> lives_ =
        std::vector<target_life>(1000, target_life(1));
    int keys_ = 0;
    std::size_t next_target_ = 100;
};

// Steps of a small fleet under the poison alone; false if nothing would
// happen.
bool step(fleet& it, int what)
{
    switch (what) {
    case 0:
    case 1:
        return it.send(static_cast<std::size_t>(what), 0,
                       10 + static_cast<std::size_t>(what)) < verdict::wait;
    case 2:
        return it.kill();
    case 3:
        return it.deliver(0);
    case 4:
        return it.messages.size() > 1 && it.deliver(it.messages.size() - 1);
    default:
        it.push(0);
        it.push(1);
        return !it.messages.empty();
    }
}

void explore(std::vector<int>& path, std::size_t depth, int& paths)
{
    for (int what = 0; what < 6; ++what) {
        path.push_back(what);
        fleet it(2);
        bool happened = false;
        for (const int one : path)
            happened = step(it, one);
        if (happened) {
            ++paths;
            CHECK_TRUE(it.within_bound());
            if (path.size() < depth)
                explore(path, depth, paths);
        }
        path.pop_back();
    }
}

suspect_record random_record()
{
    suspect_record record;
    record.mark = suspect_mark(1);
    record.answered = start + seconds(*rc::gen::inRange(0, 10));
    record.refused = start + seconds(*rc::gen::inRange(0, 10));
    const int n = *rc::gen::inRange(0, 8);
    for (int k = 0; k < n; ++k) {
        suspect_record one;
        one.mark = record.mark;
        one.deaths.push_back(
            {static_cast<std::uint64_t>(*rc::gen::inRange(0, 8)),
             start + seconds(*rc::gen::inRange(0, 20)),
             node_name(*rc::gen::inRange<std::size_t>(0, 3))});
        join(record, one);
    }
    return record;
}

suspect_record joined(suspect_record a, const suspect_record& b)
{
    join(a, b);
    return a;
}

} // namespace

TEST_GROUP(suspect_list){};

// One request crashes the engine; its caller sends it to one node after the
// other, each time it's told of the failure. News of the death went out
// before the caller was told, and so is there before the next try.
TEST(suspect_list, a_caller_that_waits_for_its_answer_kills_two_targets)
{
    testing::check_property({.name = "patient caller", .seed = 41}, [] {
        fleet it(3);
        for (int n = 0; n < 30; ++n) {
            it.send(*rc::gen::inRange<std::size_t>(0, 3), 0, 10);
            it.kill();
            it.settle();
        }
        RC_ASSERT(it.deaths <= 2);
        RC_ASSERT(it.nodes_with_free_copies() == 1);
    });
}

// As above, but the caller doesn't wait, and messages between the nodes are
// late, lost, repeated and reordered: every order of up to nine steps of two
// nodes. Two nodes may both have a copy before they hear of a death; then
// nobody may run it a third time.
TEST(suspect_list, two_targets_die_in_every_order_of_two_nodes)
{
    std::vector<int> path;
    int paths = 0;
    explore(path, 9, paths);
    CHECK(paths > 10'000);
}

// Many nodes, one poison among innocent requests that share its targets.
// Whatever happens to the messages, deaths stay within the bound; and when
// all is quiet again every innocent one is answered and under no suspicion.
TEST(suspect_list, innocent_requests_clear_themselves)
{
    testing::check_property(
        {.name = "bystanders", .seed = 42, .cases = 400, .max_size = 300}, [] {
            constexpr int innocents = 5;
            fleet it(4);
            std::vector<bool> begun(innocents + 1);
            const auto spot = [] {
                return *rc::gen::inRange<std::size_t>(0, 3);
            };
            const auto steps =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
            for (const int what : steps) {
                const auto node = *rc::gen::inRange<std::size_t>(0, 4);
                const int body = *rc::gen::inRange(0, innocents + 1);
                if (what <= 1)
                    it.send(node, 0, spot());
                else if (what <= 3 && body > 0 && !begun.at(body))
                    begun[body] = it.send(node, body, spot()) < verdict::wait;
                else if (what == 4)
                    it.kill();
                else if (what == 5)
                    it.answer(node);
                else if (what == 6)
                    it.deliver(node, body == 0);
                else if (what == 7 && node < it.messages.size())
                    it.messages.pop_back();
                else
                    it.push(node);
                RC_ASSERT(it.within_bound());
            }
            while (it.kill() || it.answer(0)) {
            }
            for (int body = 1; body <= innocents; ++body) {
                for (std::size_t node = 0; node < 4; ++node) {
                    it.settle();
                    it.send(node, body, spot());
                    it.answer(0);
                }
            }
            it.settle();
            for (int body = 1; body <= innocents; ++body)
                RC_ASSERT(!it.quarantined_anywhere(body));
            for (std::size_t node = 0; node < 4; ++node) {
                it.send(node, 0, spot());
                it.kill();
            }
            RC_ASSERT(it.within_bound());
        });
}

// Records of one request reach a node in any order and more than once, over
// other nodes; all must end up with the same.
TEST(suspect_list, records_join_in_any_order)
{
    testing::check_property({.name = "join", .seed = 43, .cases = 500}, [] {
        const auto a = random_record();
        const auto b = random_record();
        const auto c = random_record();
        RC_ASSERT(joined(a, b) == joined(b, a));
        RC_ASSERT(joined(joined(a, b), c) == joined(a, joined(b, c)));
        RC_ASSERT(joined(joined(a, b), b) == joined(a, b));
    });
}

// The engine is restarted so fast that a probe finds it alive: its life
// tells that it died. With the same life only the connection broke.
TEST(suspect_list, a_lost_run_is_in_doubt_until_the_target_is_probed)
{
    struct doubt_case
    {
        std::uint64_t life;
        verdict expected;
    };
    const doubt_case cases[] = {
        {1, verdict::free}, {2, verdict::alone}, {0, verdict::free}};
    for (const doubt_case& it : cases) {
        suspect_list list(node_name(0), {});
        const auto run = list.begin(marks(1), start).run;
        list.placed(run, target_id("t"), target_life(1));
        list.ended(run, run_end::lost, start);
        CHECK(list.begin(marks(1), start).verdict == verdict::wait);
        list.target_alive(target_id("t"), target_life(it.life), start);
        CHECK(list.begin(marks(1), start).verdict == it.expected);
    }
    suspect_list list(node_name(0), {});
    const auto run = list.begin(marks(1), start).run;
    list.placed(run, target_id("t"), target_life(1));
    list.ended(run, run_end::lost, start);
    CHECK_FALSE(list.expire(start + seconds(10)));
    CHECK(list.expire(start + seconds(11)));
    CHECK(list.begin(marks(1), start + seconds(11)).verdict == verdict::alone);
}

// The first target is full and refuses, so the request asks for another. Its
// own first attempt must not keep it at the full one.
TEST(suspect_list, a_refused_request_goes_to_another_target)
{
    suspect_list list(node_name(0), {});
    const auto first = list.begin(marks(1, 1), start);
    list.placed(first.run, target_id("full"), target_life(1));
    CHECK(list.begin(marks(1, 1), start).verdict == verdict::free);
    list.ended(first.run, run_end::stopped, start); // too late to matter
    CHECK(list.begin(marks(1, 2), start).verdict == verdict::wait);
    CHECK_FALSE(list.target_died(target_id("full"), target_life(1), start));
}

// A target that doesn't report its life dies twice of the same request under
// the same name. Taken for one death, it could go on for ever.
TEST(suspect_list, deaths_without_a_life_count_each)
{
    suspect_list list(node_name(0), {});
    instant now = start;
    for (const verdict expected : {verdict::free, verdict::alone}) {
        const auto permit = list.begin(marks(1), now);
        CHECK(permit.verdict == expected);
        list.placed(permit.run, target_id("t"), target_life());
        now += seconds(1);
        CHECK(list.target_died(target_id("t"), target_life(), now));
    }
    CHECK(list.begin(marks(1), now).verdict == verdict::refused);
}

// A question that many ask at once is in flight on every engine when one of
// them loses its power. It was answered before, so it isn't isolated; but a
// second death without an answer between them stops it.
TEST(suspect_list, a_body_that_was_answered_is_not_isolated_at_once)
{
    fleet it(2);
    it.send(0, 1, 5);
    it.answer(0);
    CHECK(it.send(0, 1, 6) == verdict::free);
    CHECK(it.send(0, 1, 7) == verdict::free);
    it.lists[0]->target_died(target_id("6"), target_life(1), it.now);
    it.settle();
    CHECK(it.send(0, 1, 8) == verdict::free);
    CHECK(it.send(1, 1, 8) == verdict::free);
    it.lists[0]->target_died(target_id("7"), target_life(1), it.now);
    it.settle();
    CHECK(it.send(0, 1, 8) == verdict::refused);
    CHECK(it.send(1, 1, 8) == verdict::refused);
    CHECK(it.lists[1]->forgive(marks(1).body, it.now));
    CHECK(it.send(1, 1, 8) == verdict::same_target);
    it.settle();
    CHECK(it.send(0, 1, 8) == verdict::free);
}

// The owner waits for a node that is cut off: it may run a copy. Only a
// deployment that says so goes on without its ack.
TEST(suspect_list, a_node_that_cannot_be_reached_is_waited_for)
{
    for (const bool patient : {true, false}) {
        suspect_list_options options;
        if (!patient)
            options.ack_patience = seconds(2);
        fleet it(3, options);
        it.send(0, 0, 10);
        it.kill();
        std::erase_if(it.messages, [](const auto& one) { return one.to == 2; });
        while (it.deliver(0)) {
        }
        CHECK(it.send(0, 0, 10) == verdict::wait);
        CHECK(it.send(1, 0, 10) == verdict::elsewhere);
        it.now += hours(1);
        CHECK((it.send(0, 0, 10) == verdict::alone) == !patient);
        it.lists[0]->set_peers({node_name(1)}); // n2 is gone for good
        CHECK((it.send(0, 0, 10) == verdict::alone) == patient);
    }
}

// A caller that sends a condemned request for days doesn't get it through
// when the record of its deaths would be old.
TEST(suspect_list, a_refused_request_stays_refused_while_it_is_sent)
{
    fleet it(1);
    it.send(0, 0, 10);
    it.kill();
    it.send(0, 0, 10);
    it.kill();
    for (int n = 0; n < 100; ++n) {
        it.now += hours(6);
        it.lists[0]->expire(it.now);
        CHECK(it.send(0, 0, 10) == verdict::refused);
    }
    it.now += hours(25);
    it.lists[0]->expire(it.now);
    CHECK(it.send(0, 0, 10) == verdict::free);
}

// A node that starts takes the records of another before it takes work.
TEST(suspect_list, a_new_node_learns_by_pages)
{
    suspect_list old(node_name(0), {});
    for (int body = 1; body <= 10; ++body) {
        const auto permit = old.begin(marks(body), start);
        old.placed(permit.run, target_id("t"), target_life(1));
    }
    old.target_died(target_id("t"), target_life(1), start);
    suspect_list fresh(node_name(1), {.max_records = 12});
    std::uint64_t cursor = 0;
    std::size_t seen = 0;
    for (bool more = true; more;) {
        const auto [records, next] = old.changes_since(cursor, 3);
        fresh.merge(records, start);
        more = !records.empty();
        seen += records.size();
        cursor = next;
    }
    CHECK_EQUAL(20U, seen);
    CHECK_EQUAL(12U, fresh.quarantined(start).size()); // its limit
}

TEST(suspect_list, marks_see_the_body_and_not_its_layout)
{
    const auto mark = [](const char* body, const char* key = "k") {
        return marks_of(team_id("t"), request_key(key), model_id("m"), body);
    };
    const auto it = mark(R"({"a": "x y\" z", "b": 1})");
    CHECK(it.body == mark("{\"a\":\n\t\"x y\\\" z\",\"b\":1}", "l").body);
    CHECK(it.body != mark(R"({"a": "xy\" z", "b": 1})").body);
    CHECK(it.key != mark("", "l").key);
    CHECK(it.key !=
          marks_of(team_id("u"), request_key("k"), model_id("m"), "").key);
}
