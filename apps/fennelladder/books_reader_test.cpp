#include "books_reader.hpp"

#include "fennelladder/budget/report.hpp"
#include "fennelladder/platform/fault_object_store.hpp"
#include "fennelladder/platform/memory_object_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::app;

namespace {

const team_id team("bikes");
const budget_id main_budget("bikes-main");

struct books_reader_fixture : Utest
{
    platform::memory_object_store memory;
    platform::fault_object_store store{memory, 7, [](duration) {}};
    journal::journal_layout layout;
    int writers = 0;

    books_reader_fixture()
    {
        findings found;
        layout = *journal::establish_layout(memory, {.shards = 4}, found);
    }

    result<budget::outcome> pay(const std::string& id, std::int64_t n,
                                const team_id& who = team)
    {
        const incarnation_id writer("topup." + std::to_string(++writers));
        return book_topup(
            store, layout, {who, main_budget, topup_id(id), tokens(n)}, writer,
            {.seed = 3, .max_attempts = 50, .wait = [](duration) {}});
    }

    std::int64_t prepaid()
    {
        budget::budget_report sums;
        CHECK(read_books(memory, layout, [&](const auto& it) {
                  sums.add(it);
              }).complete());
        return sums.total().prepaid.count();
    }
};

} // namespace

TEST_GROUP_BASE(books_reader, books_reader_fixture){};

TEST(books_reader, find_layout_never_creates_a_layout)
{
    platform::memory_object_store empty;
    const auto none = journal::find_layout(empty);
    CHECK(!none && none.error().code == error_code::not_found);
    CHECK(empty.list("", {}, 10)->objects.empty());
    LONGS_EQUAL(4, journal::find_layout(memory)->shards);
}

TEST(books_reader, topup_is_idempotent_by_id)
{
    using budget::verdict;
    struct row
    {
        const char* id;
        std::int64_t amount;
        team_id who;
        verdict expected;
        std::int64_t prepaid;
    };
    const row rows[] = {
        {"may", 500, team, verdict::applied, 500},
        {"may", 500, team, verdict::duplicate, 500},
        {"june", 70, team, verdict::applied, 570},
        {"july", -1, team, verdict::invalid, 570},
        {"may", 500, team, verdict::duplicate, 570},
    };
    for (const row& it : rows) {
        const auto made = pay(it.id, it.amount, it.who);
        CHECK(made.has_value());
        CHECK(made->what == it.expected);
        LONGS_EQUAL(it.prepaid, prepaid());
    }
}

// Guards against a top-up that is credited twice: the top-up is written, the
// platform's reply is lost and the tool appends it again. The second append
// would count if it had a different mark.
TEST(books_reader, lost_replies_neither_drop_nor_repeat_a_topup)
{
    for (int n = 1; n <= 40; ++n) {
        store.set({.lost_reply = 0.5, .lost_request = 0.2});
        const auto made = pay("pay-" + std::to_string(n), 10);
        CHECK(made.has_value());
        CHECK(made->what == budget::verdict::applied);
        LONGS_EQUAL(10 * n, prepaid());
    }
    CHECK(store.counts().lost_replies > 20);
}

TEST(books_reader, topup_during_an_outage_fails_as_unavailable)
{
    store.set({.outage = true});
    const auto made = pay("may", 10);
    CHECK(!made && made.error().code == error_code::unavailable);
    store.set({});
    LONGS_EQUAL(0, prepaid());
}

// Guards against a top-up that is booked but reported as not booked, so that
// the operator pays again under a new id: the top-up is written, its reply is
// lost, and the platform then stays unavailable. The last failure,
// `unavailable`, must not replace the earlier `ambiguous`.
TEST(books_reader, ambiguous_append_stays_ambiguous_after_a_later_outage)
{
    store.set({.lost_reply = 1});
    const auto made = book_topup(
        store, layout, {team, main_budget, topup_id("may"), tokens(10)},
        incarnation_id("topup.x"),
        {.seed = 3, .wait = [this](duration) { store.set({.outage = true}); }});
    CHECK(!made && made.error().code == error_code::ambiguous);
    store.set({});
    LONGS_EQUAL(10, prepaid());
    CHECK(pay("may", 10)->what == budget::verdict::duplicate);
    LONGS_EQUAL(10, prepaid());
}

TEST(books_reader, unreadable_shards_are_reported)
{
    store.set({.outage = true});
    const auto done = read_books(store, layout, [](const auto&) {});
    LONGS_EQUAL(0, done.read);
    LONGS_EQUAL(4, done.failures.size());
    CHECK(!done.complete());
}
