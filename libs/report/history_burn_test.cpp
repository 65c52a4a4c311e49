#include "fennelladder/report/history_burn.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace fennelladder;
using namespace fennelladder::history;
using fennelladder::report::history_burn;
using telemetry::burn_cause;
using telemetry::burn_window;

namespace {

event at(int milliseconds_after, event_body body)
{
    return {from_nanoseconds(0) + hours(9) + milliseconds(milliseconds_after),
            node_id("n"), std::move(body)};
}

event sent_at(int when, const char* request, const char* key,
              bool idempotent = false)
{
    return at(when, sent{request_id(request), team_id("t"), budget_id("b"),
                         request_key(key), caller_kind("dispatcher"),
                         idempotent, caller_id("c")});
}

event answered_at(int when, const char* request)
{
    return at(when, answered{request_id(request), caller_id("c"), 1, "d"});
}

event chunk_at(int when, const char* request)
{
    return at(when, chunk{request_id(request), caller_id("c"), 0, 1, "d"});
}

event executed_at(int when, const char* key, const char* target)
{
    return at(when, executed{request_key(key), target_id(target), 1});
}

} // namespace

TEST_GROUP(history_burn){};

// Each case lists the events of one request; it must count exactly once, under
// the cause that affected the caller.
TEST(history_burn, each_request_counts_once_under_its_cause)
{
    const struct
    {
        const char* scenario;
        std::vector<event> events;
        burn_cause cause;
    } cases[] = {
        {"answered in time",
         {sent_at(0, "r", "k"), chunk_at(100, "r"), answered_at(200, "r")},
         burn_cause::good},
        {"answered late",
         {sent_at(0, "r", "k"), chunk_at(400, "r"), answered_at(500, "r")},
         burn_cause::slow},
        {"the retry was fast, but latency counts from the first attempt",
         {sent_at(0, "r", "k"), at(350, unknown{request_id("r")}),
          sent_at(360, "s", "k"), chunk_at(380, "s"), answered_at(400, "s")},
         burn_cause::slow},
        {"not run at one node, then answered at another",
         {sent_at(0, "r", "k"), at(10, not_run{request_id("r")}),
          sent_at(20, "s", "k"), chunk_at(90, "s"), answered_at(99, "s")},
         burn_cause::good},
        {"refused for lack of budget",
         {sent_at(0, "r", "k"),
          at(10, refused{request_id("r"), budget_id("b")})},
         burn_cause::refused},
        {"sent, then no further event",
         {sent_at(0, "r", "k")},
         burn_cause::missing},
        {"unknown, then refused: it may have run",
         {sent_at(0, "r", "k"), at(5, unknown{request_id("r")}),
          sent_at(9, "s", "k"), at(10, not_run{request_id("s")})},
         burn_cause::missing},
        {"a non-idempotent request executed twice",
         {sent_at(0, "r", "k"), executed_at(1, "k", "a"),
          executed_at(2, "k", "b"), chunk_at(10, "r"), answered_at(20, "r")},
         burn_cause::doubled},
        {"an idempotent request may execute twice",
         {sent_at(0, "r", "k", true), executed_at(1, "k", "a"),
          executed_at(2, "k", "b"), chunk_at(10, "r"), answered_at(20, "r")},
         burn_cause::good},
        {"billed twice",
         {sent_at(0, "r", "k"),
          at(1,
             billed{request_key("k"), budget_id("b"), tokens(1), bill_id("x")}),
          at(2,
             billed{request_key("k"), budget_id("b"), tokens(1), bill_id("y")}),
          chunk_at(10, "r"), answered_at(20, "r")},
         burn_cause::doubled},
    };
    telemetry::service_level_objective objective;
    objective.name = "o";
    objective.kind = caller_kind("dispatcher");
    objective.measure = telemetry::latency_measure::first_byte;
    objective.latency = milliseconds(300);
    for (const auto& it : cases) {
        for (const bool backwards : {false, true}) {
            auto events = it.events;
            if (backwards)
                std::ranges::reverse(events);
            history_burn burn;
            for (const event& one : events)
                burn.add(one);
            const auto counts =
                burn.finish({objective}).of("o", "", burn_window::minutes_5);
            CHECK_EQUAL_TEXT(1, int(counts.total()), it.scenario);
            CHECK_EQUAL_TEXT(1, int(counts.of(it.cause)), it.scenario);
        }
    }
}
