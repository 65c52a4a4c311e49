#include "fennelladder/routing/scheduler.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace fennelladder;
using namespace fennelladder::routing;

namespace {

const instant now(seconds(1));

struct scheduler_fixture : Utest
{
    scheduler queue{scheduler_options()};
    random_source random{1};
    scheduler_actions todo;

    void add_target(const char* id)
    {
        target_info info;
        info.id = target_id(id);
        info.loaded = {capability{{}, model_id("m"), {}, {}}};
        info.speed.slots = 2;
        queue.upsert_target(info, now);
    }

    ticket_id submit(priority rank = 3)
    {
        route_request request;
        request.needs.model = model_id("m");
        request.team = team_id("team");
        request.rank = rank;
        request.prompt_tokens = 10;
        request.output_tokens = 10;
        request.deadline = now + hours(1);
        return queue.submit(request, now, random, todo);
    }

    int granted_at(const char* id) const
    {
        return static_cast<int>(
            std::ranges::count(todo.granted, target_id(id), &grant::target));
    }
};

} // namespace

TEST_GROUP_BASE(leaving_and_order, scheduler_fixture){};

// An inspector's draft is cut because it was sent to a host that is going
// away. The host is announced as leaving, then requests of every rank come
// in; the cause would be a choice among all targets of the pool.
TEST(leaving_and_order, a_leaving_target_gets_no_new_work)
{
    add_target("stays");
    add_target("leaves");
    queue.target_leaving(target_id("leaves"), now);
    for (priority rank = 0; rank < priority_levels; ++rank)
        submit(rank);
    LONGS_EQUAL(0, granted_at("leaves"));
    CHECK(granted_at("stays") > 0);
    // It stays after all: work goes there again.
    queue.target_staying(target_id("leaves"), now);
    queue.poll(now, random, todo);
    CHECK(granted_at("leaves") > 0);
}

// A volunteer who came first is served last: the only target is full and one
// request waits; a second target comes up; before anyone polls, a later
// request of the same rank comes in and finds room there.
TEST(leaving_and_order, a_later_request_does_not_overtake)
{
    add_target("first");
    submit();
    const ticket_id waits = submit();
    LONGS_EQUAL(1, todo.granted.size());
    add_target("second");
    const ticket_id later = submit();
    queue.poll(now, random, todo);
    LONGS_EQUAL(2, todo.granted.size());
    CHECK(todo.granted[1].ticket == waits);
    CHECK(todo.granted[1].ticket != later);
}
