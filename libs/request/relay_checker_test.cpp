#include "fennelladder/base/hash.hpp"
#include "fennelladder/request/relay_checker.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::request;

namespace {

using verdict = relay_verdict;

struct chunk_case
{
    const char* story;
    const char* attempt;
    std::uint64_t offset;
    const char* text;
    int end; // -1: no end marker
    verdict expected;
    const char* relayed;
};

// After "0123" of request "r" was relayed in attempt 2.
constexpr chunk_case chunk_cases[] = {
    {"the next bytes", "r2", 4, "45", -1, verdict::relayed, "45"},
    {"the rest and the end", "r2", 4, "45", 6, verdict::relayed, "45"},
    {"an end without text", "r2", 4, "", 4, verdict::relayed, ""},
    {"a resume that starts too early", "r2", 2, "2345", -1, verdict::trimmed,
     "45"},
    {"a chunk sent twice", "r2", 0, "0123", -1, verdict::repeated, ""},
    {"a chunk sent twice, with the end", "r2", 2, "23", 4, verdict::repeated,
     ""},
    {"the answer of another caller", "s2", 4, "45", -1, verdict::crossed, ""},
    {"a chunk of the attempt given up", "r1", 4, "xx", -1, verdict::late, ""},
    {"a chunk was lost", "r2", 5, "5", -1, verdict::gap, ""},
    {"a chunk was lost before the end", "r2", 5, "5", 6, verdict::gap, ""},
    {"an end beyond the text", "r2", 4, "45", 9, verdict::bad_length, ""},
    {"an end before what was relayed", "r2", 0, "01", 2, verdict::bad_length,
     ""},
    {"an offset that wraps around", "r2", ~std::uint64_t(0), "45", -1,
     verdict::gap, ""},
};

answer_chunk chunk_of(const char* attempt, std::uint64_t offset,
                      std::string_view text,
                      std::optional<std::uint64_t> end = std::nullopt)
{
    return {request_id(attempt), offset, text.size(), text, end};
}

relay_checker after_four_bytes()
{
    relay_checker checker;
    checker.begin_attempt(request_id("r1"));
    checker.check(chunk_of("r1", 0, "01"));
    checker.begin_attempt(request_id("r2"));
    checker.check(chunk_of("r2", 2, "23"));
    return checker;
}

} // namespace

TEST_GROUP(relay_checker){};

// A mechanic reads the steps of another bench's guide, or a guide with a step
// missing or twice: a proxy or an engine crossed two answers, or an answer
// that was given up arrives when its resumption is already under way.
TEST(relay_checker, places_every_chunk)
{
    for (const chunk_case& it : chunk_cases) {
        relay_checker checker = after_four_bytes();
        std::optional<std::uint64_t> end;
        if (it.end >= 0)
            end = static_cast<std::uint64_t>(it.end);
        const auto got =
            checker.check(chunk_of(it.attempt, it.offset, it.text, end));
        CHECK_TEXT(got.verdict == it.expected, it.story);
        CHECK_TEXT(got.text == it.relayed, it.story);
        const bool counts =
            it.expected == verdict::relayed || it.expected == verdict::repeated;
        CHECK_TEXT(checker.whole() == (end && counts), it.story);
    }
}

TEST(relay_checker, takes_nothing_after_the_end)
{
    relay_checker checker = after_four_bytes();
    checker.check(chunk_of("r2", 4, "", 4));
    CHECK(checker.check(chunk_of("r2", 4, "4")).verdict == verdict::bad_length);
    CHECK(checker.check(chunk_of("r2", 4, "4", 5)).verdict ==
          verdict::bad_length);
    CHECK(checker.whole());
    CHECK_EQUAL(4U, checker.offset());
}

// Whatever chunks arrive in whatever order, what is relayed is a prefix of
// the answer, and `whole` is said of the whole answer only.
TEST(relay_checker, relays_a_prefix_whatever_arrives)
{
    testing::check_property({.name = "prefix", .seed = 11}, [] {
        const auto answer =
            *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'f'));
        const auto size = answer.size();
        relay_checker checker;
        checker.begin_attempt(request_id("r"));
        std::string relayed;
        const int chunks = *rc::gen::inRange(0, 40);
        for (int n = 0; n < chunks; ++n) {
            const auto from = *rc::gen::inRange<std::size_t>(0, size + 1);
            const auto to = *rc::gen::inRange<std::size_t>(from, size + 1);
            const bool ours = *rc::gen::inRange(0, 5) != 0;
            const std::string text = ours ? answer.substr(from, to - from)
                                          : std::string(to - from, 'z');
            std::optional<std::uint64_t> end;
            if (to == size)
                end = size;
            relayed +=
                checker
                    .check({request_id(ours ? "r" : "s"), 1, from, text, end})
                    .text;
        }
        RC_ASSERT(answer.compare(0, relayed.size(), relayed) == 0);
        RC_ASSERT(checker.offset() == relayed.size());
        RC_ASSERT(!checker.whole() || relayed == answer);
        RC_ASSERT(checker.digest() == digest128(relayed));
    });
}

// Two tokens come again as one chunk that starts within what was relayed. The
// bytes of its second token can't be told, so it's dropped and resumed.
TEST(relay_checker, trims_no_tokens_that_it_cannot_tell_apart)
{
    relay_checker checker;
    checker.begin_attempt(request_id("r"));
    checker.check({request_id("r"), 0, 2, "repack", std::nullopt});
    CHECK_EQUAL(2U, checker.offset());
    const auto got =
        checker.check({request_id("r"), 1, 2, "ack the", std::nullopt});
    CHECK(got.verdict == relay_verdict::overlap);
    CHECK(got.text.empty());
    CHECK(checker.check({request_id("r"), 2, 1, " the", 3}).text == " the");
    CHECK(checker.whole());
    CHECK(checker.digest() == digest128("repack the"));
}
