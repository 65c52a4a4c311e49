#include "fennelladder/base/findings.hpp"
#include "fennelladder/base/hash.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/random.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;

TEST_GROUP(base){};

TEST(base, random_values_depend_only_on_the_seed)
{
    random_source a(7);
    random_source b(7);
    for (int n = 0; n < 1000; ++n)
        CHECK(a.below(97) == b.below(97));
}

TEST(base, below_returns_every_value_under_the_limit_and_no_other)
{
    random_source random(3);
    bool seen[5] = {};
    for (int n = 0; n < 1000; ++n) {
        const auto value = random.below(5);
        CHECK(value < 5);
        seen[value] = true;
    }
    for (const bool it : seen)
        CHECK(it);
}

TEST(base, backoff_stays_within_its_limit)
{
    random_source random(5);
    for (int attempt = 0; attempt < 200; ++attempt) {
        const auto wait =
            backoff(random, attempt, milliseconds(10), seconds(2));
        CHECK(wait >= duration(0));
        CHECK(wait <= seconds(2));
    }
}

TEST(base, hashes_match_stored_data)
{
    // Stored objects refer to their parts by these hashes, so the algorithm
    // must not change.
    STRCMP_EQUAL("99aa06d3014798d86001c324468d497f", digest128("").c_str());
    STRCMP_EQUAL("00000000000000ff", to_hex(255).c_str());
    CHECK(hash64("a") != hash64("b"));
}

TEST(base, findings_print_their_location)
{
    findings found;
    found.add({"m.json", "/teams/0"}, 102, "no name");
    STRCMP_EQUAL("m.json /teams/0: no name [event 102]\n",
                 found.to_text().c_str());
}
