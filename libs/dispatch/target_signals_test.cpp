// What targets say of themselves, against lists, restarts and late answers in
// any order.

#include "sample_targets.hpp"

#include "fennelladder/base/random.hpp"
#include "fennelladder/dispatch/target_book.hpp"

#include <CppUTest/TestHarness.h>
#include <map>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr instant start = instant(seconds(100));

using entry_map = catalog::target_list::entry_map;

catalog::target_entry engine(int n, std::uint64_t process)
{
    catalog::target_entry out = sample_engine(n, 24);
    out.start = catalog::target_start(process);
    return out;
}

work_wish wish_for(bool on_engine = false)
{
    work_wish out;
    out.service = service_id("llm");
    out.on_engine = on_engine;
    return out;
}

} // namespace

TEST_GROUP(target_signals)
{
    random_source random{1};
    target_book book{target_book_options{}};
    instant now = start;

    void list(const entry_map& entries, bool in_doubt = false)
    {
        book.sync(entries, in_doubt, now);
    }

    bool is_choice()
    {
        return book.choose(wish_for(), now, random).has_value();
    }
};

// Guards against an entry that lapsed while the platform was away, and brings a
// target back that has said that it leaves.
TEST(target_signals, leaving_outlives_the_entry)
{
    const auto only = engine(1, 5);
    list({{only.id, only}});
    CHECK(book.note_signals(only.process(), {.leaving = true}, now).leaving);
    CHECK(!book.note_signals(only.process(), {.leaving = true}, now).leaving);
    CHECK(!is_choice());
    CHECK(!book.may_use(only.id, now));
    for (const bool in_doubt : {true, false}) {
        now += seconds(5);
        list({}, in_doubt);
        CHECK_EQUAL(in_doubt ? 1 : 0, book.count(only.service));
        list({{only.id, only}});
        CHECK(!is_choice());
    }
    const auto next = engine(1, 6);
    list({{next.id, next}});
    CHECK(is_choice());
}

// Guards against an id without starts that is shunned once another process has
// it.
TEST(target_signals, without_a_start_a_move_ends_what_was_said)
{
    auto only = sample_engine(1, 24);
    list({{only.id, only}});
    book.note_signals(only.process(), {.leaving = true}, now);
    ++only.slots;
    list({{only.id, only}});
    CHECK(!is_choice());
    only.address = "10.0.0.9:80";
    list({{only.id, only}});
    CHECK(is_choice());
}

// Guards against a word of the process before that is taken for the next one's.
TEST(target_signals, a_late_answer_of_the_process_before_says_nothing)
{
    const auto only = engine(1, 6);
    list({{only.id, only}});
    CHECK(!book.note_signals(engine(1, 5).process(), {.leaving = true}, now)
               .any());
    CHECK(is_choice());
}
