#include "fennelladder/base/hash.hpp"
#include "fennelladder/request/origin.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::request;

namespace {

enum class bound
{
    nowhere,
    here,
    elsewhere
};

origin_facts facts_of(bound to, bool from_caller, bool idempotent,
                      bool reachable)
{
    origin_facts facts;
    facts.self = incarnation_id("a-1.1");
    if (to == bound::here)
        facts.origin = origin_token{facts.self, instant()};
    if (to == bound::elsewhere)
        facts.origin = origin_token{incarnation_id("b-1.1"), instant()};
    facts.key_from_caller = from_caller;
    facts.idempotent = idempotent;
    facts.origin_reachable = reachable;
    return facts;
}

} // namespace

TEST_GROUP(origin){};

// A clearance is sent to node A, A's answer is lost, and the caller asks B
// with the same key and origin. If any node but A could let it run without a
// claim, two rafts would be booked. So all 24 combinations are gone through.
TEST(origin, what_is_not_idempotent_runs_at_its_origin_or_on_a_claim)
{
    for (const bound to : {bound::nowhere, bound::here, bound::elsewhere}) {
        for (int bits = 0; bits < 8; ++bits) {
            const bool idempotent = (bits & 2) != 0;
            const bool reachable = (bits & 4) != 0;
            const auto facts =
                facts_of(to, (bits & 1) != 0, idempotent, reachable);
            const auto verdict = origin_rule(facts);
            const bool sole = !facts.key_from_caller || to == bound::here;
            CHECK_EQUAL(
                sole || (idempotent && !(to == bound::elsewhere && reachable)),
                verdict == origin_verdict::run_here);
            CHECK_EQUAL(!sole && to == bound::nowhere && !idempotent,
                        verdict == origin_verdict::claim_then_run);
            CHECK_EQUAL(!sole && to == bound::elsewhere && reachable,
                        verdict == origin_verdict::forward);
            CHECK_EQUAL(!sole && to == bound::elsewhere && !reachable &&
                            !idempotent,
                        verdict == origin_verdict::look_up);
        }
    }
}

// The origin died and the caller asks another node what became of a loaner
// return. Without a record nobody can tell; saying `not_run` would have it
// entered twice.
TEST(origin, a_lost_origin_is_answered_from_the_record_alone)
{
    const request_key key("k");
    const incarnation_id origin("b-1.1");
    const auto none = journal_reply(key, origin, std::nullopt, seconds(2));
    CHECK(none.result == outcome::unknown);
    CHECK(none.code == reply_code::origin_lost);
    CHECK(none.retry_after == seconds(2));

    outcome_reply recorded;
    recorded.result = outcome::answered;
    recorded.digest = digest128("text");
    const auto known = journal_reply(key, origin, recorded, seconds(2));
    CHECK(known.result == outcome::answered);
    CHECK(known.code == reply_code::answered_before);
    CHECK(known.key == key);
    CHECK(known.origin == origin);
}

TEST(origin, tokens_are_read_back_and_others_refused)
{
    const origin_token token{incarnation_id("a@b-1.18c2"),
                             from_nanoseconds(1234567)};
    CHECK(parse_origin(to_string(token)).value() == token);
    for (const char* text :
         {"", "@", "@5", "a", "a@", "a@x", "a@5x", "a@99999999999999999999"})
        CHECK(!parse_origin(text));
}
