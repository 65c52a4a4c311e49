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

/// The platform's object: accepts a write only at the revision it expects.
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

TEST(allotment_record, allots_at_most_the_prepaid_tokens)
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

TEST(allotment_record, allots_nothing_to_a_team_without_prepaid_tokens)
{
    const auto draft = draft_allotment({}, {}, {{team, tokens(5)}}, one, "a.1");
    CHECK(draft.granted.empty());
}

// Two nodes write to the record. Replies are lost, and writes without a reply
// take effect later or never. Each node credits only what the record proves;
// together they must never hold more than was prepaid, nor more than the record
// says was allotted.
TEST(allotment_record, lost_replies_and_late_writes_create_no_tokens)
{
    struct pending
    {
        allotment_draft draft;
        write_id id;
        int expected = 0;
    };
    struct node
    {
        host_id host;
        tokens held;
        std::optional<pending> in_doubt;
        int writes = 0;
    };
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        random_source random(seed);
        store platform;
        token_amounts prepaid{{team, tokens(10'000)}};
        std::vector<node> nodes{{.host = one}, {.host = two}};
        std::vector<pending> delayed;
        for (int step = 0; step < 400; ++step) {
            if (random.chance(0.02))
                prepaid[team] += tokens(500);
            if (!delayed.empty() && random.chance(0.3)) {
                platform.write(delayed.back().draft.record,
                               delayed.back().expected);
                delayed.pop_back();
            }
            node& it = nodes[random.below(2)];
            if (it.in_doubt) {
                if (contains_write(platform.record, it.host, it.in_doubt->id)) {
                    it.held += it.in_doubt->draft.granted.at(team);
                    it.in_doubt.reset();
                } else if (platform.revision != it.in_doubt->expected) {
                    it.in_doubt.reset();
                }
                continue;
            }
            pending wanted;
            wanted.id = it.host.str() + "." + std::to_string(++it.writes);
            wanted.expected = platform.revision;
            wanted.draft = draft_allotment(
                platform.record, prepaid,
                {{team,
                  tokens(static_cast<std::int64_t>(1 + random.below(300)))}},
                it.host, wanted.id);
            if (wanted.draft.granted.empty())
                continue;
            const std::uint64_t outcome = random.below(4);
            if (outcome == 0) {
                it.in_doubt = wanted; // never arrives
            } else if (outcome == 1) {
                it.in_doubt = wanted;
                delayed.push_back(wanted);
            } else {
                platform.write(wanted.draft.record, wanted.expected);
                if (outcome == 2)
                    it.in_doubt = wanted;
                else
                    it.held += wanted.draft.granted.at(team);
            }
            const tokens both = nodes[0].held + nodes[1].held;
            CHECK(both <= prepaid[team]);
            CHECK(both <= platform.record.allotted[team]);
        }
    }
}

TEST(allotment_record, json_round_trip_and_rejection_of_invalid_json)
{
    const auto draft = draft_allotment({}, {{team, tokens(100)}},
                                       {{team, tokens(70)}}, one, "a.1");
    const auto back = allotment_from_json(to_json(draft.record));
    CHECK(back && *back == draft.record);
    CHECK(
        !allotment_from_json(nlohmann::json::parse(R"({"teams":{"t":"x"}})")));
    CHECK(!allotment_from_json(nlohmann::json()));
}
