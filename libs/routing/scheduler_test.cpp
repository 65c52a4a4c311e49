#include "fennelladder/routing/scheduler.hpp"

#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <rapidcheck.h>

using namespace fennelladder;
using namespace fennelladder::routing;

namespace {

constexpr instant start = instant(seconds(100));

capability model(const char* name = "m")
{
    capability it;
    it.model = model_id(name);
    return it;
}

target_info worker(const std::string& id, std::uint32_t slots = 2)
{
    target_info it;
    it.id = target_id(id);
    it.loaded = {model()};
    it.speed.slots = slots;
    return it;
}

route_request call(priority rank, const char* team = "team",
                   duration allowed = seconds(10))
{
    route_request it;
    it.needs = model();
    it.team = team_id(team);
    it.rank = rank;
    it.prompt_tokens = 100;
    it.output_tokens = 10;
    it.deadline = start + allowed;
    return it;
}

// Limits that don't move: as many as a target has slots.
scheduler_options plain()
{
    scheduler_options it;
    it.table.headroom_share = 0;
    it.table.lowest_limit = 1;
    it.table.highest_limit_share = 1;
    it.table.most_others = 1;
    return it;
}

} // namespace

TEST_GROUP(scheduler)
{
    scheduler it{plain()};
    random_source random{1};
    scheduler_actions todo;

    ticket_id submit(const route_request& request, instant now = start)
    {
        return it.submit(request, now, random, todo);
    }

    bool granted(ticket_id ticket) const
    {
        return std::ranges::any_of(todo.granted, [&](const grant& made) {
            return made.ticket == ticket;
        });
    }

    const shed_notice* shed(ticket_id ticket) const
    {
        const auto made =
            std::ranges::find(todo.shed, ticket, &shed_notice::ticket);
        return made == todo.shed.end() ? nullptr : &*made;
    }

    void finish(ticket_id ticket, instant now = start)
    {
        it.finished(ticket, {}, now, random, todo);
    }
};

TEST(scheduler, grants_waits_and_grants_in_order_of_rank)
{
    it.upsert_target(worker("w", 1), start);
    const ticket_id first = submit(call(2));
    const ticket_id low = submit(call(2));
    const ticket_id high = submit(call(1));
    CHECK(granted(first));
    // Engines let a higher rank pass, so it has room of its own.
    CHECK(granted(high));
    CHECK_FALSE(granted(low));
    finish(high);
    CHECK_FALSE(granted(low));
    finish(first);
    CHECK(granted(low));
    CHECK(it.find(low) != nullptr);
    finish(low);
    CHECK(it.find(low) == nullptr);
    LONGS_EQUAL(3, it.counts().granted);
}

// Story: a service that nobody has loaded is asked for; the caller is told so
// at once, with a time to retry, and is not left waiting for its deadline.
TEST(scheduler, what_no_target_has_is_shed_at_once)
{
    const ticket_id ticket = submit(call(0));
    CHECK(shed(ticket) != nullptr);
    CHECK(shed(ticket)->reason == shed_reason::no_target);
    CHECK(shed(ticket)->retry_after > duration(0));
}

// Story: all workers of a model are draining. Requests wait for one that
// stays, and those that could not be answered in time are shed, not run late.
TEST(scheduler, requests_wait_while_all_targets_leave)
{
    it.upsert_target(worker("w"), start);
    it.target_leaving(target_id("w"), start);
    const ticket_id patient = submit(call(1, "team", seconds(60)));
    const ticket_id brief = submit(call(1, "team", seconds(2)));
    CHECK(todo.granted.empty());
    it.poll(start + seconds(3), random, todo);
    CHECK(shed(brief) != nullptr);
    CHECK(shed(brief)->reason == shed_reason::deadline);
    CHECK(shed(patient) == nullptr);
    CHECK(it.next_wake(start + seconds(3)).has_value());
    it.upsert_target(worker("new"), start + seconds(3));
    it.poll(start + seconds(3), random, todo);
    CHECK(granted(patient));
    STRCMP_EQUAL("new", todo.granted[0].target.str().c_str());
}

// Story: the fleet is overloaded, and a lookup arrives that would have to wait
// a minute with a deadline of seconds. It is refused at once so that its
// caller can do something else; a guide with a late deadline waits.
TEST(scheduler, a_hopeless_request_is_shed_on_arrival_and_others_wait)
{
    it.upsert_target(worker("w", 1), start);
    std::vector<ticket_id> tickets;
    for (int n = 0; n < 100; ++n)
        tickets.push_back(submit(call(1, "team", seconds(300))));
    // One a second: the rate at which the pool is seen to work.
    instant now = start;
    for (std::size_t n = 0; n < 20; ++n) {
        now += seconds(1);
        finish(tickets[n], now);
    }
    todo = scheduler_actions();
    const ticket_id hopeless = submit(call(1, "team", seconds(30)), now);
    const ticket_id fits = submit(call(1, "team", seconds(200)), now);
    const ticket_id other_team = submit(call(1, "small", seconds(30)), now);
    CHECK(shed(hopeless) != nullptr);
    CHECK(shed(hopeless)->retry_after >= seconds(10));
    CHECK(shed(fits) == nullptr);
    CHECK(shed(other_team) == nullptr); // its share comes first
    LONGS_EQUAL(1, it.counts().shed_deadline);
}

// Story: two drafts of an hour occupy the only worker when dispatch asks about
// a vessel. Room for it is made at once: the later draft is stopped, and goes
// on where it was when the readiness answer is done, before newer drafts.
TEST(scheduler, an_urgent_request_preempts_and_the_draft_resumes_first)
{
    it.upsert_target(worker("w", 2), start);
    route_request draft = call(2, "team", hours(1));
    draft.resumable = true;
    const ticket_id early = submit(draft);
    const ticket_id late = submit(draft, start + seconds(1));
    const ticket_id urgent1 = submit(call(0));
    const ticket_id urgent2 = submit(call(0));
    CHECK(granted(urgent1) && granted(urgent2));
    const ticket_id urgent3 = submit(call(0));
    LONGS_EQUAL(1, todo.preempted.size());
    CHECK(todo.preempted[0] == late);
    it.poll(start + seconds(1), random, todo);
    LONGS_EQUAL(1, todo.preempted.size()); // one is under way
    const ticket_id newer = submit(draft, start + seconds(2));
    it.preempted(late, 7, start + seconds(2), random, todo);
    LONGS_EQUAL(107, it.find(late)->prompt_tokens);
    LONGS_EQUAL(3, it.find(late)->output_tokens);
    for (const ticket_id ticket : {urgent1, urgent2})
        finish(ticket, start + seconds(3));
    CHECK(granted(urgent3));
    finish(urgent3, start + seconds(3));
    CHECK(granted(late));
    CHECK_FALSE(granted(newer));
    finish(early, start + seconds(4));
    CHECK(granted(newer));
    LONGS_EQUAL(1, it.counts().preempted);
}

// Two workers, one set aside for dispatch. Drafts fill the other one first,
// then a quarter of the one set aside, and the rest waits; one that failed on
// the open worker does not go back to it while the other is merely full.
TEST(scheduler, lower_ranks_get_a_quarter_of_a_target_set_aside)
{
    target_info desk = worker("desk", 8);
    desk.reserved_up_to = 0;
    it.upsert_target(desk, start);
    it.upsert_target(worker("open", 8), start);
    for (int n = 0; n < 12; ++n)
        submit(call(2));
    std::map<std::string, int> sent;
    for (const grant& made : todo.granted)
        ++sent[made.target.str()];
    LONGS_EQUAL(8, sent["open"]);
    LONGS_EQUAL(2, sent["desk"]);
    finish(todo.granted[0].ticket);
    todo = scheduler_actions();
    route_request again = call(2);
    again.avoid = {target_id("open")};
    CHECK_FALSE(granted(submit(again)));
    CHECK(granted(submit(call(0))));
    STRCMP_EQUAL("desk", todo.granted.back().target.str().c_str());
}

TEST(scheduler, a_full_queue_sheds_the_lowest_rank)
{
    scheduler_options options = plain();
    options.queue.max_waiting = 2;
    scheduler small(options);
    small.upsert_target(worker("w", 1), start);
    small.target_leaving(target_id("w"), start);
    const ticket_id low = small.submit(call(3), start, random, todo);
    small.submit(call(1), start, random, todo);
    small.submit(call(0), start, random, todo);
    LONGS_EQUAL(1, todo.shed.size());
    CHECK(todo.shed[0].ticket == low);
    CHECK(todo.shed[0].reason == shed_reason::queue_full);
    CHECK_FALSE(small.cancel(low));
    LONGS_EQUAL(2, small.counts().waiting[0] + small.counts().waiting[1]);
}

TEST(scheduler, a_failed_target_is_avoided_unless_it_is_the_last)
{
    it.upsert_target(worker("a", 8), start);
    it.upsert_target(worker("b", 8), start);
    route_request again = call(1);
    again.avoid = {target_id("a")};
    for (int n = 0; n < 4; ++n)
        submit(again);
    for (const grant& made : todo.granted)
        STRCMP_EQUAL("b", made.target.str().c_str());
    it.target_leaving(target_id("b"), start);
    todo = scheduler_actions();
    submit(again);
    STRCMP_EQUAL("a", todo.granted.at(0).target.str().c_str());
}

// Story: four nodes get the same report, in which one of eight workers is a
// little emptier, and 40 requests each. If all took the emptiest, it would be
// overrun until the next report.
TEST(scheduler, nodes_with_the_same_stale_report_do_not_herd)
{
    std::map<std::string, int> sent;
    for (std::uint64_t node = 0; node < 4; ++node) {
        scheduler_options options = plain();
        options.table.most_others = 4;
        scheduler own(options);
        random_source draws(node);
        for (int n = 0; n < 8; ++n) {
            const std::string id = "w" + std::to_string(n);
            own.upsert_target(worker(id, 64), start);
            own.load_reported(
                target_id(id),
                {.taken_at = start, .running = n == 0 ? 18U : 20U}, start);
        }
        todo = scheduler_actions();
        for (int n = 0; n < 40; ++n)
            own.submit(call(1), start + milliseconds(1), draws, todo);
        for (const grant& made : todo.granted)
            ++sent[made.target.str()];
    }
    for (const auto& [id, n] : sent)
        CHECK(n <= 2 * 160 / 8);
}

// Whatever happens, each ticket ends once: granted and finished, shed or
// canceled; no target is over its slots with one rank; and no request waits
// while a target of its pool has room for its rank.
TEST(scheduler, every_ticket_ends_once_under_random_use)
{
    testing::check_property({.name = "scheduler", .seed = 21}, [] {
        scheduler own(plain());
        random_source draws(3);
        std::map<target_id, int> running;
        for (const char* id : {"a", "b"}) {
            own.upsert_target(worker(id, 2), start);
            running[target_id(id)] = 0;
        }
        std::map<ticket_id, target_id> granted;
        std::size_t waiting = 0;
        instant now = start;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int n = 0; n < steps; ++n) {
            scheduler_actions made;
            now += milliseconds(*rc::gen::inRange(0, 400));
            const int what = *rc::gen::inRange(0, 4);
            if (what < 2) {
                route_request one = call(1, what == 0 ? "x" : "y");
                one.deadline = now + seconds(*rc::gen::inRange(1, 9));
                own.submit(one, now, draws, made);
                ++waiting;
            } else if (what == 2 && !granted.empty()) {
                const auto [ticket, target] = *granted.begin();
                granted.erase(ticket);
                --running[target];
                own.finished(ticket, {}, now, draws, made);
            } else {
                own.poll(now, draws, made);
            }
            for (const grant& it : made.granted) {
                RC_ASSERT(granted.emplace(it.ticket, it.target).second);
                RC_ASSERT(++running[it.target] <= 2);
                --waiting;
            }
            waiting -= made.shed.size();
            RC_ASSERT(own.counts().waiting[1] == waiting);
            const bool free = std::ranges::any_of(
                running, [](const auto& it) { return it.second < 2; });
            RC_ASSERT(waiting == 0 || !free);
        }
    });
}
