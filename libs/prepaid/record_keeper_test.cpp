// Tests of the record of allotments and of what nodes know of draws, when the
// store is restored from an older copy.

#include "fennelladder/prepaid/draw_policy.hpp"
#include "fennelladder/prepaid/record_keeper.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

const team_id team("t");
const token_amounts prepaid_total{{team, tokens(1000)}};
const instant now = instant(hours(1));
const catalog::store_era first(1);
const catalog::store_era second(2);

allotment_epoch epoch(std::uint64_t sequence, catalog::store_era era = first)
{
    return {sequence, sequence * 10, era};
}

/// A store with one record.
struct store
{
    std::optional<allotment_record> record;
    std::uint64_t changed = 0;
    std::uint64_t revision = 100;
    catalog::store_era era = first;
    std::uint64_t nonces = 0; ///< Drawn so far.

    std::optional<shown_record> show() const
    {
        if (!record)
            return std::nullopt;
        return shown_record{*record, catalog::revision(changed, era)};
    }

    std::optional<shown_record> write(const record_write& wanted)
    {
        const bool holds = wanted.expected.value() == 0
                               ? !record
                               : changed == wanted.expected.value();
        if (holds) {
            record = wanted.record;
            changed = ++revision;
        }
        return show();
    }
};

/// Reads the record and repairs it if necessary.
void take_over(record_keeper& keeper, store& from)
{
    if (const auto shown = from.show())
        CHECK(keeper.accept(*shown, now).has_value());
    else
        CHECK(keeper.accept_missing(from.era, now).has_value());
    if (keeper.needs_repair())
        CHECK(
            keeper.accept(*from.write(keeper.draft_repair(++from.nonces)), now)
                .has_value());
    CHECK(keeper.is_usable());
}

/// Draws and credits; returns how much.
tokens draw(record_keeper& keeper, store& from, std::int64_t amount)
{
    const auto made =
        keeper.draft_withdrawal(prepaid_total, {{team, tokens(amount)}});
    if (!made || !keeper.end_write(*made, from.write(*made), now))
        return tokens(0);
    const auto claim = keeper.take_claim(prepaid_total);
    return claim ? claim->granted.at(team) : tokens(0);
}

void tell(const record_keeper& from, record_keeper& to)
{
    (void)to.learn(from.ledger().learnt_since(instant()), now);
}

} // namespace

TEST_GROUP(allotment_ledger){};

// Guards against draws that are lost or counted twice in whatever order and
// number nodes tell each other of them.
TEST(allotment_ledger, merges_in_any_order)
{
    allotment_ledger one;
    one.raise({epoch(1), team, tokens(100)}, now);
    one.raise({epoch(2), team, tokens(5)}, now);
    allotment_ledger other;
    other.raise({epoch(1), team, tokens(70)}, now);
    other.raise({epoch(3), team, tokens(9)}, now);
    allotment_ledger merged = one;
    CHECK(merged.merge(other, now));
    CHECK(!merged.merge(other, now));
    CHECK(other.merge(one, now));
    CHECK(merged.total(team) == tokens(114));
    CHECK(other.total(team) == tokens(114));
    CHECK(!merged.exceeds(other));
    CHECK(merged.exceeds(one));
}

// Guards against a record that grows with each restore.
TEST(allotment_ledger, sums_old_epochs)
{
    allotment_ledger it;
    for (std::uint64_t i = 1; i <= 10; ++i)
        it.raise({epoch(i), team, tokens(1)}, now);
    CHECK(it.total(team) == tokens(10));
    UNSIGNED_LONGS_EQUAL(allotment_ledger::kept_epochs, it.epochs().size());
    CHECK(!it.raise({epoch(1), team, tokens(50)}, now));
    CHECK(it.total(team) == tokens(10));
    allotment_ledger late;
    late.raise({epoch(1), team, tokens(1)}, now);
    CHECK(late.merge(it, now));
    CHECK(late.total(team) == tokens(10));
}

// Guards against a total of an earlier release that is added to the epochs that
// it contains.
TEST(allotment_ledger, takes_totals_without_epochs_as_totals)
{
    allotment_ledger it;
    it.raise({epoch(1), team, tokens(30)}, now);
    it.raise_total({{team, tokens(20)}}, now);
    CHECK(it.total(team) == tokens(30));
    it.raise_total({{team, tokens(45)}}, now);
    CHECK(it.total(team) == tokens(45));
}

TEST_GROUP(record_keeper)
{
    store at;
    record_keeper one{host_id("one"), "1."};
    record_keeper two{host_id("two"), "2."};
};

// A store that states no era keeps the record as earlier releases wrote it.
TEST(record_keeper, writes_no_epoch_without_an_era)
{
    at.era = catalog::store_era();
    take_over(one, at);
    CHECK(draw(one, at, 300) == tokens(300));
    const nlohmann::json written = to_json(*at.record);
    CHECK(!written.contains("epoch"));
    CHECK(allotment_from_json(written)->allotted.at(team) == tokens(300));
}

TEST(record_keeper, epochs_survive_encoding)
{
    take_over(one, at);
    draw(one, at, 300);
    at.era = second;
    take_over(one, at);
    draw(one, at, 20);
    const auto back = allotment_from_json(to_json(*at.record));
    CHECK(back.has_value());
    CHECK(*back == *at.record);
    CHECK(back->epoch.era == second);
    CHECK(drawn_in(*back, back->earlier.begin()->first, team) == tokens(300));
}

// Guards against a record whose parts don't fit together.
TEST(record_keeper, a_record_with_invalid_epochs_is_not_read)
{
    take_over(one, at);
    draw(one, at, 300);
    at.era = second;
    take_over(one, at);
    const nlohmann::json good = to_json(*at.record);
    for (const char* field : {"settled", "earlier"}) {
        nlohmann::json bad = good;
        bad.erase(field);
        CHECK(!allotment_from_json(bad).has_value());
    }
    nlohmann::json more = good;
    more["teams"]["t"] = 299;
    CHECK(!allotment_from_json(more).has_value());
    nlohmann::json odd = good;
    odd["epoch"]["sequence"] = -1;
    CHECK(!allotment_from_json(odd).has_value());
}

// Guards against a fleet that draws again what the copy of the store doesn't
// know to be drawn, whoever repairs the record.
TEST(record_keeper, a_restored_record_is_repaired_by_what_nodes_know)
{
    take_over(one, at);
    const store copy = at;
    CHECK(draw(one, at, 900) == tokens(900));
    tell(one, two);
    at = copy;
    at.era = second;
    take_over(two, at);
    CHECK(draw(two, at, 900) == tokens(100));
    take_over(one, at);
    CHECK(draw(one, at, 900) == tokens(0));
}

// Guards against a copy that is refused as showing less than the record of
// before, while the node waits for others.
TEST(record_keeper, a_restored_record_may_be_read_again_before_its_repair)
{
    take_over(one, at);
    const store copy = at;
    draw(one, at, 900);
    at = copy;
    at.era = second;
    for (int i = 0; i < 3; ++i)
        CHECK(one.accept(*at.show(), now).has_value());
    CHECK(one.needs_repair());
    take_over(one, at);
    CHECK(draw(one, at, 900) == tokens(100));
}

// Guards against a record that is created anew if the copy is older than it.
TEST(record_keeper, a_missing_record_is_created_with_what_is_known)
{
    take_over(one, at);
    draw(one, at, 900);
    at = {.era = second};
    take_over(one, at);
    CHECK(draw(one, at, 900) == tokens(100));
}

// Guards against draws of two eras that are taken for the same, though the
// repair didn't know of the first: their sum counts.
TEST(record_keeper, what_is_known_late_is_added)
{
    take_over(one, at);
    const store copy = at;
    draw(one, at, 300);
    at = copy;
    at.era = second;
    take_over(two, at);
    CHECK(draw(two, at, 400) == tokens(400));
    tell(one, two);
    CHECK(two.is_behind());
    CHECK(draw(two, at, 1000) == tokens(300));
    CHECK(at.record->allotted.at(team) == tokens(1000));
}

// Guards against a late write of an earlier era that meets a revision that was
// assigned again, and overwrites the record.
TEST(record_keeper, a_record_that_was_overwritten_is_repaired)
{
    take_over(one, at);
    const store copy = at;
    const auto late =
        one.draft_withdrawal(prepaid_total, {{team, tokens(100)}});
    one.note_in_doubt(*late);
    at = copy;
    at.era = second;
    take_over(two, at);
    CHECK(draw(two, at, 500) == tokens(500));
    at.nonces = 50;
    at.changed = late->expected.value();
    const auto shown = at.write(*late);
    CHECK(shown->record.epoch.era == first);
    // The writer doesn't take it for a success.
    take_over(one, at);
    CHECK(!one.in_doubt().has_value());
    CHECK(!one.take_claim(prepaid_total).has_value());
    CHECK(two.accept(*at.show(), now).has_value());
    tell(two, one);
    take_over(two, at);
    CHECK(draw(two, at, 1000) + tokens(500) <= tokens(1000));
}

// Guards against tokens that are spent although the store has lost their draw
// and another node allotted them again.
TEST(record_keeper, a_claim_of_an_earlier_era_waits_for_the_record)
{
    take_over(one, at);
    const store copy = at;
    const auto made =
        one.draft_withdrawal(prepaid_total, {{team, tokens(600)}});
    CHECK(one.end_write(*made, at.write(*made), now));
    at = copy;
    at.era = second;
    one.enter_era(second, now);
    CHECK(!one.take_claim(prepaid_total).has_value());
    take_over(two, at);
    CHECK(draw(two, at, 700) == tokens(700));
    // 1,300 of 1,000 would be spent.
    tell(one, two);
    draw(two, at, 1);
    CHECK(one.accept(*at.show(), now).has_value());
    CHECK(one.take_covered_claims(prepaid_total).empty());
    CHECK(one.has_claims());
}

// Guards against tokens that are spent after another node has told of draws
// that leave nothing of them.
TEST(record_keeper, a_claim_beyond_what_was_prepaid_is_not_credited)
{
    take_over(one, at);
    const auto made =
        one.draft_withdrawal(prepaid_total, {{team, tokens(600)}});
    CHECK(one.end_write(*made, at.write(*made), now));
    CHECK(one.learn({{epoch(9), team, tokens(500)}}, now));
    CHECK(!one.take_claim(prepaid_total).has_value());
    const token_amounts topped_up{{team, tokens(1100)}};
    CHECK(one.take_claim(topped_up).has_value());
}

TEST(record_keeper, a_claim_that_the_repaired_record_counts_is_credited)
{
    take_over(one, at);
    const store copy = at;
    const auto made =
        one.draft_withdrawal(prepaid_total, {{team, tokens(600)}});
    CHECK(one.end_write(*made, at.write(*made), now));
    tell(one, two);
    at = copy;
    at.era = second;
    one.enter_era(second, now);
    take_over(two, at);
    CHECK(one.accept(*at.show(), now).has_value());
    CHECK(one.take_covered_claims(prepaid_total).at(team) == tokens(600));
    CHECK(!one.has_claims());
}

// Guards against an answer of the store that comes after it was restored.
TEST(record_keeper, a_record_of_an_earlier_era_changes_nothing)
{
    take_over(one, at);
    const auto old = at.show();
    at.era = second;
    take_over(one, at);
    CHECK(!one.accept(*old, now).has_value());
    CHECK(!one.accept_missing(first, now).has_value());
    CHECK(one.is_usable());
}

// Guards against a record that another program lowers in the same era.
TEST(record_keeper, a_lower_record_of_the_same_era_is_not_accepted)
{
    take_over(one, at);
    const allotment_record empty = *at.record;
    draw(one, at, 300);
    at.record = empty;
    at.changed = ++at.revision;
    CHECK(!one.accept(*at.show(), now).has_value());
    CHECK(!one.accept_missing(first, now).has_value());
}

// A node of an earlier release writes totals without epochs.
TEST(record_keeper, a_record_of_an_earlier_release_is_taken_over)
{
    take_over(one, at);
    draw(one, at, 300);
    allotment_record theirs;
    theirs.allotted = {{team, tokens(450)}};
    at.record = theirs;
    at.changed = ++at.revision;
    take_over(one, at);
    CHECK(at.record->allotted.at(team) == tokens(450));
    CHECK(draw(one, at, 1000) == tokens(550));
}

TEST_GROUP(draw_policy){};

TEST(draw_policy, two_witnesses_if_as_many_live)
{
    const struct
    {
        witness_view view;
        std::size_t needed;
    } rows[] = {
        {{0, std::nullopt}, 0},    {{0, seconds(1)}, 1},
        {{0, isolation_limit}, 0}, {{1, std::nullopt}, 1},
        {{2, std::nullopt}, 2},    {{300, std::nullopt}, 2},
    };
    for (const auto& it : rows)
        UNSIGNED_LONGS_EQUAL(it.needed, witnesses_needed(it.view));
}

// Guards against a process that starts and takes the copy for true, and against
// a fleet that waits for a node that died.
TEST(draw_policy, repairs_when_all_have_answered_or_time_is_up)
{
    const struct
    {
        const char* name;
        repair_view view;
        bool may;
    } rows[] = {
        {"all answered", {false, false, minutes(1), seconds(0), 3, 3}, true},
        {"one is silent", {false, false, minutes(1), seconds(1), 3, 2}, false},
        {"for long", {false, false, minutes(1), answer_patience, 3, 2}, true},
        {"just started", {false, false, seconds(1), seconds(1), 3, 3}, false},
        {"started first", {true, true, seconds(0), seconds(0), 0, 0}, true},
        {"started first, long ago, and may be cut off",
         {true, true, minutes(1), seconds(0), 0, 0, seconds(5)},
         false},
        {"an elder process is silent",
         {false, false, seconds(20), seconds(2), 3, 3, std::nullopt,
          seconds(20), seconds(21)},
         false},
        {"but one of before the copy has answered",
         {false, false, minutes(1), seconds(2), 3, 3, std::nullopt, oldest_copy,
          hours(1)},
         true},
        {"but there is a record",
         {false, true, seconds(0), seconds(0), 0, 0},
         false},
        {"may be cut off",
         {false, false, minutes(1), seconds(0), 0, 0, seconds(5)},
         false},
        {"hears nobody for long",
         {false, false, minutes(1), seconds(0), 0, 0, isolation_limit},
         true},
        {"first, not all answered",
         {true, true, seconds(0), seconds(0), 2, 1},
         false},
    };
    for (const auto& it : rows)
        CHECK_EQUAL_TEXT(it.may, may_repair(it.view), it.name);
}
