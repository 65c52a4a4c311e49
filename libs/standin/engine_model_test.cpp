#include "fennelladder/standin/engine_model.hpp"

#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <map>
#include <rapidcheck.h>

using namespace fennelladder;
using namespace fennelladder::standin;

namespace {

// Steps of 2 ms, 1 us a prompt token, 10 tokens a block; times are exact.
engine_options exact()
{
    engine_options it;
    it.step_per_sequence = duration(0);
    it.prefill_per_token = microseconds(1);
    it.prefill_chunk = 100;
    it.slots = 2;
    it.block_tokens = 10;
    it.memory_blocks = 40;
    it.event_loss = 0;
    return it;
}

std::vector<engine_output> run_out(engine_model& engine)
{
    std::vector<engine_output> all;
    while (const auto at = engine.next_step()) {
        const auto out = engine.advance(*at);
        all.insert(all.end(), out.begin(), out.end());
    }
    return all;
}

constexpr instant start = instant(seconds(1));

} // namespace

TEST_GROUP(engine_model){};

TEST(engine_model, prefills_in_chunks_then_makes_a_token_a_step)
{
    engine_model engine(exact(), 1);
    CHECK(engine.submit({.id = 1, .prompt_tokens = 150, .output_tokens = 3},
                        start));
    CHECK_FALSE(engine.submit({.id = 1}, start));
    CHECK_FALSE(engine.submit({.id = 2, .prompt_tokens = 401}, start));
    const auto out = run_out(engine);
    LONGS_EQUAL(4, out.size());
    CHECK(out[0].what == engine_output::kind::first_token);
    CHECK(out[0].at == start + microseconds(2 * 2000 + 150));
    CHECK(out[3].what == engine_output::kind::finished);
    CHECK(out[3].at == out[0].at + milliseconds(4));
    LONGS_EQUAL(3, out[3].produced);
}

TEST(engine_model, a_cached_prefix_is_not_prefilled_again)
{
    engine_model engine(exact(), 1);
    const std::vector<std::uint64_t> prefix = {1, 2, 3, 4, 5, 6};
    engine.submit({.id = 1, .prompt_tokens = 65, .prefix = prefix}, start);
    run_out(engine);
    LONGS_EQUAL(6, engine.cached_blocks(prefix));
    engine.submit({.id = 2, .prompt_tokens = 65, .prefix = prefix},
                  start + seconds(1));
    const auto out = run_out(engine);
    LONGS_EQUAL(60, out[0].cached_tokens);
    CHECK(out[0].at == start + seconds(1) + microseconds(2005));
    const auto events = engine.take_cache_events(start + seconds(9));
    LONGS_EQUAL(1, events.size());
    CHECK(events[0].blocks == prefix);
    engine.restart(start + seconds(9));
    LONGS_EQUAL(0, engine.cached_blocks(prefix));
    engine_model other(exact(), 2);
    other.import_blocks(prefix, start);
    LONGS_EQUAL(6, other.cached_blocks(prefix));
}

// Story: dispatch asks about a vessel while an engine writes two long drafts.
// The readiness answer takes a slot at the next step; the later draft goes on
// afterwards from what it had produced, and its caller sees no token twice.
TEST(engine_model, an_urgent_request_takes_a_slot_and_the_draft_resumes)
{
    engine_model engine(exact(), 1);
    for (std::uint64_t id : {1, 2})
        engine.submit({.id = id, .priority = 2, .output_tokens = 20}, start);
    auto out = engine.advance(start + milliseconds(9));
    engine.submit({.id = 3, .priority = 0, .output_tokens = 2},
                  start + milliseconds(9));
    const auto rest = run_out(engine);
    out.insert(out.end(), rest.begin(), rest.end());
    std::map<std::uint64_t, std::uint32_t> last;
    for (const engine_output& it : out) {
        if (it.what != engine_output::kind::finished)
            LONGS_EQUAL(++last[it.id], it.produced);
        if (it.id == 3 && it.produced == 1)
            CHECK(it.at <= start + milliseconds(13));
    }
    LONGS_EQUAL(20, last[1]);
    LONGS_EQUAL(20, last[2]);
    LONGS_EQUAL(1, engine.work().preemptions);
}

TEST(engine_model, reports_and_events_come_late_and_losses_leave_gaps)
{
    engine_options lossy = exact();
    lossy.event_loss = 0.5;
    engine_model engine(lossy, 3);
    for (std::uint64_t n = 1; n <= 40; ++n) {
        engine.submit({.id = n, .prompt_tokens = 10, .prefix = {n}},
                      start + seconds(static_cast<int>(n)));
        run_out(engine);
    }
    const auto events = engine.take_cache_events(start + seconds(99));
    CHECK(events.size() > 5 && events.size() < 40);
    CHECK(events.back().sequence > events.size());
    engine_model quiet(exact(), 1);
    CHECK(quiet.take_reports(start).empty());
    CHECK(quiet.take_reports(start + milliseconds(99)).empty());
    const auto seen = quiet.take_reports(start + milliseconds(100));
    LONGS_EQUAL(1, seen.size());
    CHECK(seen[0].taken_at == start);
}

// Whatever is sent, canceled and resumed: each request that isn't canceled
// gets each of its tokens once and in order, and memory holds.
TEST(engine_model, every_token_once_under_random_use)
{
    testing::check_property({.name = "engine model", .seed = 11}, [] {
        engine_model engine(exact(), 5);
        instant now = start;
        std::map<std::uint64_t, std::uint32_t> want;
        std::map<std::uint64_t, std::uint32_t> got;
        const auto take = [&](const std::vector<engine_output>& out) {
            for (const engine_output& it : out) {
                if (it.what == engine_output::kind::finished)
                    RC_ASSERT(it.produced == want.at(it.id));
                else
                    RC_ASSERT(it.produced == ++got[it.id]);
            }
        };
        const auto steps = *rc::gen::inRange(1, 30);
        for (std::uint64_t id = 1; id <= static_cast<std::uint64_t>(steps);
             ++id) {
            const auto output = *rc::gen::inRange<std::uint32_t>(1, 40);
            const auto at = *rc::gen::inRange<std::uint32_t>(0, output);
            const auto doc = *rc::gen::inRange<std::uint64_t>(1, 5);
            const auto prompt = *rc::gen::inRange<std::uint32_t>(0, 120);
            const auto rank = *rc::gen::inRange<std::uint32_t>(0, 3);
            RC_ASSERT(engine.submit(
                {id, rank, prompt, output, at, {doc, doc + 10, doc + 20}},
                now));
            want[id] = output;
            got[id] = at;
            now += milliseconds(*rc::gen::inRange(0, 30));
            take(engine.advance(now));
            const auto victim = *rc::gen::inRange<std::uint64_t>(1, id + 1);
            if (*rc::gen::inRange(0, 4) == 0 && engine.cancel(victim, now))
                want.erase(victim);
            RC_ASSERT(engine.load(now).memory_used <= 1.0);
            RC_ASSERT(engine.load(now).running <= 2);
        }
        take(run_out(engine));
        for (const auto& [id, output] : want)
            RC_ASSERT(got.at(id) == output);
        RC_ASSERT(engine.load(now).memory_used == 0.0);
    });
}
