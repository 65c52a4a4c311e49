#include "fennelladder/base/hash.hpp"
#include "fennelladder/request/request_table.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <thread>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::request;

namespace {

constexpr instant start = from_nanoseconds(3'600'000'000'000);
const team_id team("team");

arrival arrival_of(const std::string& key, bool idempotent = true,
                   key_binding binding = key_binding::bound_here,
                   instant issued = start)
{
    return {team, request_key(key), "body", idempotent, binding, issued};
}

conclusion end_with(outcome result, reply_code code, std::int64_t billed = 0)
{
    conclusion end;
    end.reply.result = result;
    end.reply.code = code;
    end.reply.billed = tokens(billed);
    end.may_have_run = result != outcome::not_run;
    end.charge.kind =
        result == outcome::not_run ? bill_kind::release : bill_kind::settle;
    return end;
}

const conclusion answered = end_with(outcome::answered, reply_code::ok, 14);
const conclusion not_run = end_with(outcome::not_run, reply_code::overloaded);
const conclusion unknown =
    end_with(outcome::unknown, reply_code::target_lost, 12);
const conclusion poison =
    end_with(outcome::unknown, reply_code::ran_and_failed);

using verdict = admit_verdict;

struct repeat_case
{
    const char* story;
    bool idempotent;
    key_binding binding;
    const conclusion* first;
    std::size_t answer_size;
    verdict expected;
    reply_code code; // of replay and reply
    bool first_arrival;
    bool claim_first;
};

constexpr std::size_t small = 10;
constexpr std::size_t large = 100;

const repeat_case repeat_cases[] = {
    {"a retry whose first answer was lost on the way", true,
     key_binding::bound_here, &answered, small, verdict::replay, reply_code::ok,
     false, false},
    {"the same for a clearance", false, key_binding::bound_here, &answered,
     small, verdict::replay, reply_code::ok, false, false},
    {"a long guide, no longer kept: it may run again", true,
     key_binding::bound_here, &answered, large, verdict::run, reply_code::ok,
     false, false},
    {"a long answer of what may not: told by its digest", false,
     key_binding::bound_here, &answered, large, verdict::reply,
     reply_code::answered_before, false, false},
    {"told not run: the retry starts as if it were the first", false,
     key_binding::bound_here, &not_run, 0, verdict::run, reply_code::ok, true,
     false},
    {"the same without an origin: another node may have claimed it since",
     false, key_binding::unbound, &not_run, 0, verdict::run, reply_code::ok,
     false, true},
    {"a look-up whose target died", true, key_binding::bound_here, &unknown, 0,
     verdict::run, reply_code::ok, false, false},
    {"a loaner return whose target died: never again", false,
     key_binding::bound_here, &unknown, 0, verdict::reply,
     reply_code::target_lost, false, false},
    {"an idempotent one without an origin, told not run", true,
     key_binding::unbound, &not_run, 0, verdict::run, reply_code::ok, true,
     false},
    {"one whose origin can't be asked: it may have run there", true,
     key_binding::bound_elsewhere, &not_run, 0, verdict::run, reply_code::ok,
     false, false},
    {"a quarantined request, sent again", true, key_binding::bound_here,
     &poison, 0, verdict::reply, reply_code::ran_and_failed, false, false},
};

} // namespace

TEST_GROUP(request_table){};

// A caller sends a key again after its end; what it gets depends on how the
// first run ended and on what is left of it.
TEST(request_table, answers_a_repeated_key_from_memory)
{
    for (const repeat_case& it : repeat_cases) {
        request_table table({.small_answer = 50});
        const arrival first = arrival_of("k", it.idempotent, it.binding);
        const auto run = table.admit(first, start);
        CHECK_TEXT(run.verdict == verdict::run, it.story);
        run.stream->append(std::string(it.answer_size, 'x'));
        table.finish(team, first.key, *it.first, start);
        const auto again = table.admit(first, start + seconds(1));
        CHECK_TEXT(again.verdict == it.expected, it.story);
        if (again.verdict == verdict::run) {
            CHECK_TEXT(again.first_arrival == it.first_arrival, it.story);
            CHECK_TEXT(again.claim_first == it.claim_first, it.story);
            CHECK_TEXT(again.billed_before == it.first->reply.billed, it.story);
            continue;
        }
        CHECK_TEXT(again.reply.code == it.code, it.story);
        CHECK_TEXT(again.reply.key == first.key, it.story);
        CHECK_EQUAL(it.expected == verdict::replay ? it.answer_size : 0,
                    again.text.size());
    }
}

// Answers of a busy day don't fill the node's memory: the oldest texts go
// first, their outcomes stay; and what is forgotten frees its text.
TEST(request_table, keeps_texts_within_their_memory)
{
    request_table table({.shards = 1, .text_memory = 100});
    for (int n = 0; n < 50; ++n) {
        const arrival it = arrival_of(std::to_string(n), false);
        table.admit(it, start).stream->append(std::string(30, 'x'));
        table.finish(team, it.key, answered, start);
        table.mark_durable(team, it.key);
        CHECK(table.counts().text_bytes <= 100);
        CHECK(table.admit(it, start).verdict == verdict::replay);
    }
    CHECK(table.admit(arrival_of("46", false), start).reply.code ==
          reply_code::answered_before);
    CHECK(table.admit(arrival_of("47", false), start).verdict ==
          verdict::replay);
    table.expire(start + hours(1));
    CHECK_EQUAL(0U, table.counts().text_bytes);
    CHECK_EQUAL(0U, table.counts().remembered);
    CHECK_EQUAL(0U, table.counts().queued);
}

// A bug in an app makes it send another ticket under a used key. Answering
// with the first ticket's answer would lose the second.
TEST(request_table, refuses_a_key_with_another_body)
{
    request_table table({});
    arrival it = arrival_of("k");
    table.admit(it, start);
    it.body_digest = "other";
    CHECK(table.admit(it, start).reply.code == reply_code::key_reused);
    table.finish(team, it.key, answered, start);
    CHECK(table.admit(it, start).reply.code == reply_code::key_reused);
    it.team = team_id("another");
    CHECK(table.admit(it, start).verdict == verdict::run);
}

// A retry comes while the first try runs: it gets the same text from the
// start. The first caller leaves, and the run goes on for the second; when
// that leaves too, the run is given up, and a third waits for its end.
TEST(request_table, joins_a_running_key_until_it_is_given_up)
{
    request_table table({});
    const arrival it = arrival_of("k");
    const auto run = table.admit(it, start);
    run.stream->append("ab");
    CHECK(table.knows(team, it.key));
    CHECK_FALSE(table.knows(team_id("another"), it.key));
    const auto joined = table.admit(it, start);
    CHECK(joined.verdict == verdict::join);
    CHECK(joined.stream->read(0, duration(0)).text == "ab");
    run.stream->append("cd");
    CHECK(joined.stream->read(2, duration(0)).text == "cd");
    run.stream->leave();
    CHECK_FALSE(run.stream->close_if_abandoned());
    joined.stream->leave();
    CHECK(run.stream->close_if_abandoned());
    const auto late = table.admit(it, start);
    CHECK(late.verdict == verdict::await);
    table.finish(team, it.key, unknown, start);
    CHECK(late.stream->read(4, duration(0)).reply.has_value());
    CHECK(table.knows(team, it.key));
    CHECK(table.admit(it, start).verdict == verdict::run);
}

TEST(request_table, an_answer_past_the_limit_is_not_kept)
{
    request_table table({.stream_limit = 8});
    const arrival it = arrival_of("k");
    const auto run = table.admit(it, start);
    run.stream->append("12345");
    run.stream->append("6789");
    const auto part = run.stream->read(0, duration(0));
    CHECK(part.overflowed);
    CHECK(part.text.empty());
    table.finish(team, it.key, answered, start);
    CHECK(table.admit(it, start).verdict == verdict::run);
}

// The node forgets outcomes after a while. A key that comes back later may
// have run, so that it isn't a first arrival any more and a ticket needs a
// claim; what the journal doesn't hold yet isn't forgotten at all.
TEST(request_table, forgets_only_what_is_old_and_durable)
{
    const request_table_options options{.retention = minutes(10)};
    request_table table(options);
    const arrival it = arrival_of("k", false);
    const auto run = table.admit(it, start);
    CHECK(run.first_arrival);
    CHECK_FALSE(run.claim_first);
    table.finish(team, it.key, unknown, start);
    const instant later = start + options.retention + seconds(1);
    table.expire(later);
    CHECK_EQUAL(1U, table.counts().remembered);
    table.mark_durable(team, it.key);
    table.expire(start + options.retention);
    CHECK_EQUAL(1U, table.counts().remembered);
    table.expire(later);
    CHECK_EQUAL(0U, table.counts().remembered);
    const auto again = table.admit(it, later);
    CHECK(again.verdict == verdict::run);
    CHECK_FALSE(again.first_arrival);
    CHECK(again.claim_first);
}

// Keys pile up, for instance in a long outage of the store. None that may be
// retried is forgotten to make room; new ones are turned away.
TEST(request_table, turns_new_keys_away_when_full)
{
    request_table table({.shards = 1, .max_keys = 3});
    for (int n = 0; n < 4; ++n)
        CHECK(table.admit(arrival_of(std::to_string(n)), start).verdict ==
              verdict::run);
    const auto full = table.admit(arrival_of("x"), start);
    CHECK(full.reply.code == reply_code::too_many_keys);
    CHECK(full.reply.result == outcome::not_run);
    const auto loose =
        table.admit(arrival_of("x", true, key_binding::unbound), start);
    CHECK(loose.reply.result == outcome::unknown);
    const auto made =
        table.admit(arrival_of("y", true, key_binding::made_here), start);
    CHECK(made.reply.result == outcome::not_run);
    CHECK(table.admit(arrival_of("0"), start).verdict == verdict::join);
}

// The store is down, so a clearance can't be claimed and isn't run; its
// caller is told `unknown`. Its retry must not be given that for an answer.
// Of a request that did run before, a refused retry changes nothing.
TEST(request_table, a_key_of_which_nothing_ran_starts_anew)
{
    request_table table({.small_answer = 50});
    const arrival it = arrival_of("k", false, key_binding::unbound);
    conclusion refused =
        end_with(outcome::unknown, reply_code::store_unavailable);
    refused.may_have_run = false;
    table.admit(it, start);
    table.finish(team, it.key, refused, start);
    CHECK_EQUAL(0U, table.counts().remembered);
    CHECK(table.admit(it, start).verdict == verdict::run);
    table.finish(team, it.key, unknown, start);
    CHECK(table.admit(it, start).reply.code == reply_code::target_lost);

    const arrival other = arrival_of("l");
    for (const conclusion& end : {unknown, refused, answered, unknown}) {
        const auto run = table.admit(other, start);
        CHECK(run.verdict == verdict::run);
        run.stream->append(std::string(large, 'x'));
        table.finish(team, other.key, end, start);
    }
    CHECK(table.look_up(team, other.key)->result == outcome::answered);
    CHECK_EQUAL(14, table.look_up(team, other.key)->billed.count());
}

TEST(request_table, late_evidence_only_refines)
{
    request_table table({});
    const arrival it = arrival_of("k", false);
    CHECK_FALSE(table.resolve(team, it.key, answered.reply));
    table.admit(it, start);
    CHECK_FALSE(table.resolve(team, it.key, answered.reply));
    table.finish(team, it.key, unknown, start);
    CHECK(table.resolve(team, it.key, answered.reply));
    CHECK_FALSE(table.resolve(team, it.key, not_run.reply));
    CHECK_FALSE(table.resolve(team, it.key, unknown.reply));
    CHECK(table.look_up(team, it.key)->result == outcome::answered);
}

// Random arrivals, ends and time against a table without any cleverness:
// never two runs of one key at a time, never a second run of what may not.
TEST(request_table, agrees_with_an_obvious_table)
{
    testing::check_property({.name = "table", .seed = 31, .cases = 300}, [] {
        struct known
        {
            bool running = false;
            bool ended = false;
            outcome result = outcome::unknown;
            bool kept = false;
        };
        request_table table({.shards = 2, .small_answer = 50});
        std::map<int, known> keys;
        instant now = start;
        const int steps = *rc::gen::inRange(0, 200);
        for (int n = 0; n < steps; ++n) {
            const int key = *rc::gen::inRange(0, 6);
            const bool idempotent = key % 2 == 0;
            known& it = keys[key];
            const arrival one = arrival_of(std::to_string(key), idempotent);
            now += seconds(*rc::gen::inRange(0, 5));
            if (it.running && *rc::gen::inRange(0, 2) == 0) {
                const conclusion* ends[] = {&answered, &not_run, &unknown};
                const auto& end = *ends[*rc::gen::inRange(0, 3)];
                const outcome result = end.reply.result;
                const bool worse = result == outcome::not_run ||
                                   (it.ended && result != it.result &&
                                    it.result == outcome::answered);
                it.running = false;
                it.kept = it.kept && !worse;
                it.result = worse ? it.result : result;
                it.ended = it.ended || result != outcome::not_run;
                table.finish(team, one.key, end, now);
                continue;
            }
            const auto got = table.admit(one, now);
            const bool first = !it.ended;
            const bool replays = it.result == outcome::answered && it.kept;
            const bool again = it.ended && idempotent && !replays;
            if (it.running) {
                RC_ASSERT(got.verdict == verdict::join);
            } else if (first || again) {
                RC_ASSERT(got.verdict == verdict::run);
                RC_ASSERT(got.first_arrival == first);
                it.running = true;
                it.kept = *rc::gen::inRange(0, 2) == 0;
                got.stream->append(std::string(it.kept ? small : large, 'x'));
            } else if (replays) {
                RC_ASSERT(got.verdict == verdict::replay);
            } else {
                RC_ASSERT(got.verdict == verdict::reply);
            }
        }
    });
}

// Eight callers send the same keys at the same time, as after a restart of
// an app. Each key runs once, and all get the same whole text.
TEST(request_table, threads_get_one_run_per_key_and_the_whole_answer)
{
    constexpr int threads = 8;
    constexpr int keys = 200;
    request_table table({});
    std::atomic<int> runs = 0;
    std::atomic<int> wrong = 0;
    const auto call = [&](int number) {
        const std::string key = std::to_string(number);
        const arrival it = arrival_of(key, false);
        const auto got = table.admit(it, start);
        std::string text = got.text;
        if (got.verdict == verdict::run) {
            ++runs;
            for (int n = 0; n < 5; ++n)
                got.stream->append(key);
            table.finish(team, it.key, answered, start);
        }
        if (got.verdict == verdict::run || got.verdict == verdict::join) {
            for (bool over = false; !over;) {
                const auto part = got.stream->read(text.size(), seconds(1));
                text += part.text;
                over = part.reply.has_value();
            }
        }
        std::string whole;
        for (int n = 0; n < 5; ++n)
            whole += key;
        wrong += text == whole ? 0 : 1;
    };
    std::vector<std::thread> callers;
    callers.reserve(threads);
    for (int n = 0; n < threads; ++n)
        callers.emplace_back([&call] {
            for (int key = 0; key < keys; ++key)
                call(key);
        });
    for (std::thread& it : callers)
        it.join();
    CHECK_EQUAL(keys, runs.load());
    CHECK_EQUAL(0, wrong.load());
    CHECK_EQUAL(static_cast<std::size_t>(keys), table.counts().remembered);
}
