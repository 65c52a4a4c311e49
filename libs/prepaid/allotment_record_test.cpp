#include "fennelladder/base/random.hpp"
#include "fennelladder/prepaid/allotment_record.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>
#include <optional>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

const team_id team("t");
const host_id one("one");
const host_id two("two");

/// The platform's object: takes a write only at the revision it was made for.
struct store
{
    allotment_record record;
    int revision = 1;

    bool write(const allotment_record& wanted, int expected)
    {
        if (expected != revision)
            return false;
        record = wanted;
        ++revision;
        return true;
    }
};

} // namespace

TEST_GROUP(allotment_record){};

TEST(allotment_record, hands_out_no_more_than_was_prepaid)
{
    const token_amounts prepaid{{team, tokens(100)}};
    auto draft = draft_allotment({}, prepaid, {{team, tokens(70)}}, one, "a.1");
    CHECK(draft.granted.at(team) == tokens(70));
    draft = draft_allotment(draft.record, prepaid, {{team, tokens(70)}}, two,
                            "b.1");
    CHECK(draft.granted.at(team) == tokens(30));
    draft =
        draft_allotment(draft.record, prepaid, {{team, tokens(1)}}, one, "a.2");
    CHECK(draft.granted.empty());
    CHECK(unallotted(draft.record, prepaid, team) == tokens(0));
}

TEST(allotment_record, a_team_that_is_not_prepaid_gets_none)
{
    const auto draft = draft_allotment({}, {}, {{team, tokens(5)}}, one, "a.1");
    CHECK(draft.granted.empty());
}

// Story: two nodes write to the record; replies are lost, and writes that got
// no reply take effect later, or never. Each node credits what the record
// proves, and nothing else. However it goes, what both hold together never
// exceeds what was prepaid, nor what the record says was handed out.
TEST(allotment_record, lost_replies_and_late_writes_make_no_tokens)
{
    struct pending
    {
        allotment_draft draft;
        write_id mark;
        int expected = 0;
    };
    struct node
    {
        host_id host;
        tokens held;
        std::optional<pending> doubt;
        int writes = 0;
    };
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        random_source random(seed);
        store platform;
        token_amounts prepaid{{team, tokens(10'000)}};
        std::vector<node> nodes{{.host = one}, {.host = two}};
        std::vector<pending> late;
        for (int step = 0; step < 400; ++step) {
            if (random.chance(0.02))
                prepaid[team] += tokens(500);
            if (!late.empty() && random.chance(0.3)) {
                platform.write(late.back().draft.record, late.back().expected);
                late.pop_back();
            }
            node& it = nodes[random.below(2)];
            if (it.doubt) {
                if (contains_write(platform.record, it.host, it.doubt->mark)) {
                    it.held += it.doubt->draft.granted.at(team);
                    it.doubt.reset();
                } else if (platform.revision != it.doubt->expected) {
                    it.doubt.reset();
                }
                continue;
            }
            pending wanted;
            wanted.mark = it.host.str() + "." + std::to_string(++it.writes);
            wanted.expected = platform.revision;
            wanted.draft = draft_allotment(
                platform.record, prepaid,
                {{team,
                  tokens(static_cast<std::int64_t>(1 + random.below(300)))}},
                it.host, wanted.mark);
            if (wanted.draft.granted.empty())
                continue;
            const std::uint64_t fate = random.below(4);
            if (fate == 0) {
                it.doubt = wanted; // never arrives
            } else if (fate == 1) {
                it.doubt = wanted;
                late.push_back(wanted);
            } else {
                platform.write(wanted.draft.record, wanted.expected);
                if (fate == 2)
                    it.doubt = wanted;
                else
                    it.held += wanted.draft.granted.at(team);
            }
            const tokens both = nodes[0].held + nodes[1].held;
            CHECK(both <= prepaid[team]);
            CHECK(both <= platform.record.allotted[team]);
        }
    }
}

TEST(allotment_record, survives_its_spelling)
{
    const auto draft = draft_allotment({}, {{team, tokens(100)}},
                                       {{team, tokens(70)}}, one, "a.1");
    const auto back = allotment_from_json(to_json(draft.record));
    CHECK(back && *back == draft.record);
    CHECK(
        !allotment_from_json(nlohmann::json::parse(R"({"teams":{"t":"x"}})")));
    CHECK(!allotment_from_json(nlohmann::json()));
}
