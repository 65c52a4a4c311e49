// Targets that a request may not go to, or not as often as it would: those of
// evacuated data centres, cold ones, and those outside of a request's regions.

#include "sample_targets.hpp"

#include "fennelladder/dispatch/target_book.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr instant start = instant(seconds(100));
constexpr duration cold_for = seconds(3);
constexpr std::uint32_t limit = 18;

using entry_map = catalog::target_list::entry_map;

data_center_id place(int n)
{
    return data_center_id("dc-" + std::to_string(n));
}

/// Targets by turns in `places` data centres.
entry_map targets(int n, int places)
{
    entry_map out;
    for (int i = 0; i < n; ++i) {
        auto it = sample_engine(i, 24);
        it.data_center = place(i % places);
        out.emplace(it.id, it);
    }
    return out;
}

work_wish small_prompt(std::uint64_t part)
{
    work_wish out;
    out.service = service_id("llm");
    out.on_engine = true;
    out.prompt = {{part, 200}, {part * 1000 + 7, 600}};
    out.prompt_size = 800;
    out.objective = milliseconds(400);
    return out;
}

target_book_options options_of(const char* self)
{
    target_book_options out;
    out.self = host_id(self);
    out.own_data_center = place(0);
    out.regions = {{place(0), region_id("r")},
                   {place(1), region_id("r")},
                   {place(2), region_id("q")}};
    return out;
}

} // namespace

TEST_GROUP(restricted_targets)
{
    target_book book{options_of("a")};
    random_source random{1};
    work_wish wish = small_prompt(5);
    std::uint64_t last_part = 100; ///< Of the prompts sent.

    void setup() override
    {
        book.sync(targets(9, 3), false, start);
    }

    void traits()
    {
        book.set_cold_traits({{service_id("llm"), {cold_for, limit}}});
    }

    data_center_id chosen_place(instant now = start)
    {
        const auto made = book.choose(wish, now, random);
        return made ? made->data_center : data_center_id();
    }

    /// Sends through `by` for a second; how many requests each target got.
    std::map<target_id, int> send(target_book & by, int n, instant from)
    {
        std::map<target_id, int> out;
        for (int i = 0; i < n; ++i) {
            const instant now = from + i * seconds(1) / n;
            const work_wish one = small_prompt(++last_part);
            const auto made = by.choose(one, now, random);
            if (!made)
                continue;
            by.started(*made, one, now);
            by.finished(*made, false, target_evidence::answered, now);
            ++out[made->target];
        }
        return out;
    }

    /// The target with number `i` can't be reached and then answers.
    void back_after_a_rest(int i, instant now)
    {
        const catalog::target_process process{
            target_id("i-" + std::to_string(i)), {}};
        book.learned(process, target_evidence::unreachable, now);
        book.learned(process, target_evidence::answered, now + seconds(1));
    }
};

TEST(restricted_targets, an_evacuated_data_centre_gets_nothing)
{
    book.set_evacuated({place(0), place(2)}, start);
    for (int i = 0; i < 50; ++i) {
        wish = small_prompt(static_cast<std::uint64_t>(i));
        CHECK(chosen_place() == place(1));
    }
    CHECK(!book.may_use(target_id("i-0"), start));
    CHECK(book.may_use(target_id("i-1"), start));
}

TEST(restricted_targets, of_no_data_centre_left_the_reason_is_known)
{
    book.set_evacuated({place(0), place(1), place(2)}, start);
    CHECK(!book.choose(wish, start, random).has_value());
    CHECK(book.why_none(wish, start) == absence::evacuated);
    book.set_evacuated({}, start);
    CHECK(book.choose(wish, start, random).has_value());
}

// Guards against a refusal that names an evacuation where targets' entries
// lapsed while the platform was unwell.
TEST(restricted_targets, a_target_whose_entry_lapsed_isnt_called_evacuated)
{
    book.sync({}, true, start);
    const instant later = start + seconds(10);
    CHECK(!book.choose(wish, later, random).has_value());
    CHECK(book.why_none(wish, later) == absence::none_usable);
}

TEST(restricted_targets, an_evacuation_of_an_unknown_place_changes_nothing)
{
    UNSIGNED_LONGS_EQUAL(0, book.set_evacuated({data_center_id("x")}, start));
    CHECK(book.choose(wish, start, random).has_value());
}

// Guards against targets of an evacuated data centre that come while it lasts.
TEST(restricted_targets, new_targets_of_an_evacuated_data_centre_get_nothing)
{
    book.set_evacuated({place(0), place(1)}, start);
    book.sync(targets(30, 3), false, start);
    for (int i = 0; i < 50; ++i)
        CHECK(chosen_place() == place(2));
}

TEST(restricted_targets, only_the_regions_allowed_are_used)
{
    wish.regions = std::vector{region_id("q")};
    CHECK(chosen_place() == place(2));
    wish.regions = std::vector<region_id>();
    CHECK(chosen_place() == data_center_id());
    CHECK(book.why_none(wish, start) == absence::outside);
}

// Guards against a target of which nobody knows the region.
TEST(restricted_targets, an_unknown_data_centre_is_in_no_region)
{
    auto listed = targets(3, 1);
    for (auto& [id, entry] : listed)
        entry.data_center = data_center_id("unknown");
    book.sync(listed, false, start);
    wish.regions = std::vector{region_id("r"), region_id("q")};
    CHECK(!book.choose(wish, start, random).has_value());
}

// Guards against a herd at a target that is back and looks idle.
TEST(restricted_targets, a_cold_target_gets_its_share_in_any_second)
{
    traits();
    book.set_carrier_hosts({host_id("a")});
    auto listed = targets(2, 1);
    listed.at(target_id("i-0")).remaining_warm_up = cold_for;
    book.sync(listed, false, start);
    const auto got = send(book, 500, start);
    CHECK(got.at(target_id("i-0")) > 0);
    CHECK(got.at(target_id("i-0")) <= 12);
    // Warm by its own word.
    const auto later = send(book, 500, start + cold_for + seconds(1));
    CHECK(later.at(target_id("i-0")) > 100);
}

TEST(restricted_targets, nodes_that_dont_carry_it_send_a_cold_target_nothing)
{
    traits();
    book.set_carrier_hosts({});
    auto listed = targets(2, 1);
    for (auto& [id, entry] : listed)
        entry.remaining_warm_up = cold_for;
    book.sync(listed, false, start);
    CHECK(!book.choose(wish, start, random).has_value());
    CHECK(book.why_none(wish, start) == absence::cold);
    CHECK(book.choose(wish, start + cold_for, random).has_value());
}

TEST(restricted_targets, services_without_a_rate_know_no_cold_targets)
{
    auto listed = targets(2, 1);
    for (auto& [id, entry] : listed)
        entry.remaining_warm_up = cold_for;
    book.sync(listed, false, start);
    CHECK(book.choose(wish, start, random).has_value());
}

// Guards against an entry that is listed again and again with the same words:
// its target would never be warm.
TEST(restricted_targets, an_entry_that_comes_again_doesnt_begin_anew)
{
    traits();
    auto listed = targets(2, 1);
    for (auto& [id, entry] : listed)
        entry.remaining_warm_up = cold_for;
    book.sync(listed, false, start);
    book.sync(listed, false, start + seconds(2));
    CHECK(book.choose(wish, start + cold_for, random).has_value());
}

TEST(restricted_targets, a_target_may_say_that_it_is_cold)
{
    traits();
    book.note_signals({target_id("i-0"), {}}, {.remaining_cold = cold_for},
                      start);
    const auto got = send(book, 100, start);
    CHECK(!got.contains(target_id("i-0")));
}

// Guards against a target that crashed and answers again before its entry says
// that it started anew.
TEST(restricted_targets, a_target_that_is_back_gets_one_request_a_second)
{
    traits();
    book.set_carrier_hosts({host_id("a")});
    book.sync(targets(1, 1), false, start);
    back_after_a_rest(0, start);
    const auto got = send(book, 500, start + seconds(1));
    CHECK_EQUAL(1, got.at(target_id("i-0")));
    const auto later = send(book, 500, start + seconds(1) + cold_for);
    CHECK_EQUAL(500, later.at(target_id("i-0")));
}

// Guards against one request a second from each node of a fleet, where any of
// them may be the herd that a cold target doesn't bear.
TEST(restricted_targets, a_fleet_sends_a_target_that_is_back_what_it_bears)
{
    std::vector<host_id> hosts;
    for (int i = 0; i < 77; ++i)
        hosts.emplace_back("host-" + std::to_string(i));
    const catalog::target_process back{target_id("i-0"), {}};
    int got = 0;
    for (const host_id& it : hosts) {
        target_book one(options_of(it.str().c_str()));
        one.set_cold_traits({{service_id("llm"), {cold_for, limit}}});
        one.set_carrier_hosts(hosts);
        one.sync(targets(1, 1), false, start);
        one.learned(back, target_evidence::unreachable, start);
        one.learned(back, target_evidence::answered, start + seconds(1));
        for (const auto& [target, n] : send(one, 10, start + seconds(1)))
            got += n;
    }
    CHECK(got > 0);
    CHECK(got <= static_cast<int>(limit));
}

/// Six nodes at which all callers are, of a fleet of 77, and 140 targets, of
/// which a third is back after an evacuation; 800 requests in a second.
TEST(restricted_targets, a_third_of_all_targets_back_at_once_meets_no_herd)
{
    std::vector<host_id> large;
    for (int i = 0; i < 6; ++i)
        large.emplace_back("large-" + std::to_string(i));
    const auto listed = targets(140, 3);
    std::map<target_id, int> got;
    int sent = 0;
    for (const host_id& it : large) {
        target_book_options options = options_of(it.str().c_str());
        options.regions.clear();
        target_book one(options);
        one.set_cold_traits({{service_id("llm"), {cold_for, limit}}});
        one.set_carrier_hosts(large);
        one.sync(listed, false, start);
        one.set_evacuated({place(0)}, start);
        one.set_evacuated({}, start + seconds(1));
        for (const auto& [target, n] : send(one, 800 / 6, start + seconds(1))) {
            got[target] += n;
            sent += n;
        }
    }
    CHECK(sent >= 790);
    int warming = 0;
    for (const auto& [id, entry] : listed) {
        if (entry.data_center != place(0))
            continue;
        CHECK(got[id] <= static_cast<int>(limit));
        warming += got[id] > 0;
    }
    CHECK(warming > 20);
}
