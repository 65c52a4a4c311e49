#include "fennelladder/routing/router.hpp"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <future>
#include <thread>

using namespace fennelladder;
using namespace fennelladder::routing;

namespace {

target_info worker(const char* id, std::uint32_t slots)
{
    target_info it;
    it.id = target_id(id);
    it.loaded.resize(1);
    it.loaded[0].model = model_id("m");
    it.speed.slots = slots;
    return it;
}

route_request call(priority rank, instant now, bool resumable = false)
{
    route_request it;
    it.needs.model = model_id("m");
    it.team = team_id("team");
    it.rank = rank;
    it.prompt_tokens = 10;
    it.output_tokens = 1;
    it.deadline = now + minutes(1);
    it.resumable = resumable;
    return it;
}

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

TEST_GROUP(router){};

// A request waits until the one before it is over; another that waits is
// canceled when its caller leaves, and the rest when the node stops.
TEST(router, a_waiting_thread_is_woken_for_each_end)
{
    const system_clock time;
    router routes(plain(), time, 1);
    routes.upsert_target(worker("w", 1));
    const admission first = routes.admit(call(1, time.now()));
    CHECK(first.state == admission_state::granted);
    std::promise<ticket_id> known;
    auto canceled = std::async(std::launch::async, [&] {
        return routes.admit(call(1, time.now()),
                            [&](ticket_id it) { known.set_value(it); });
    });
    routes.cancel(known.get_future().get());
    CHECK(canceled.get().state == admission_state::canceled);
    std::promise<void> waits;
    auto next = std::async(std::launch::async, [&] {
        return routes.admit(call(1, time.now()),
                            [&](ticket_id) { waits.set_value(); });
    });
    waits.get_future().get();
    routes.finished(first.ticket, {});
    const admission second = next.get();
    CHECK(second.state == admission_state::granted);
    std::promise<void> last_waits;
    auto last = std::async(std::launch::async, [&] {
        return routes.admit(call(1, time.now()),
                            [&](ticket_id) { last_waits.set_value(); });
    });
    last_waits.get_future().get();
    routes.close();
    CHECK(last.get().state == admission_state::canceled);
    CHECK(routes.admit(call(1, time.now())).state == admission_state::canceled);
    routes.finished(second.ticket, {});
}

// Story: a request's deadline passes while nothing else happens at the node.
// Its thread must wake up by itself and tell the caller, not sleep on.
TEST(router, a_deadline_passes_without_any_event)
{
    const system_clock time;
    router routes(plain(), time, 1);
    routes.upsert_target(worker("w", 1));
    routes.target_leaving(target_id("w"));
    route_request brief = call(1, time.now());
    brief.deadline = time.now() + milliseconds(60);
    const admission got = routes.admit(brief);
    CHECK(got.state == admission_state::shed);
    CHECK(got.reason == shed_reason::deadline);
}

// Many threads, few slots, urgent ones that preempt: every admission ends, no
// target is over its slots with the lower rank, and nothing is left behind.
TEST(router, many_threads_are_all_served)
{
    const system_clock time;
    std::atomic<int> stops = 0;
    std::atomic<int> running = 0;
    std::atomic<int> answered = 0;
    std::atomic<bool> over = false;
    router routes(plain(), time, 1, [&](ticket_id) { ++stops; });
    routes.upsert_target(worker("a", 2));
    routes.upsert_target(worker("b", 2));
    const auto work = [&](int n) {
        for (int round = 0; round < 50; ++round) {
            const priority rank = n % 4 == 0 ? 0 : 1;
            admission got = routes.admit(call(rank, time.now(), rank == 1));
            while (got.state == admission_state::granted) {
                over = over || (rank == 1 && ++running > 4);
                std::this_thread::yield();
                if (rank == 1)
                    --running;
                if (!routes.preempt_requested(got.ticket))
                    break;
                got = routes.preempted(got.ticket, 0);
            }
            if (got.state == admission_state::granted) {
                ++answered;
                routes.finished(got.ticket, {});
            }
        }
    };
    std::vector<std::thread> threads;
    for (int n = 0; n < 16; ++n)
        threads.emplace_back(work, n);
    for (std::thread& it : threads)
        it.join();
    LONGS_EQUAL(16 * 50, answered);
    CHECK_FALSE(over);
    LONGS_EQUAL(0, routes.target(target_id("a"))->own_in_flight);
    LONGS_EQUAL(0, routes.target(target_id("b"))->own_in_flight);
}
