// Targets that are excluded or limited for a request: those in evacuated data
// centres, cold ones, and those outside the regions that the request allows.

#include "sample_targets.hpp"

#include "fennelladder/dispatch/target_registry.hpp"

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

/// Targets distributed over `places` data centres.
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

routing_request small_prompt(std::uint64_t part)
{
    routing_request out;
    out.service = service_id("llm");
    out.on_engine = true;
    out.prompt = {{part, 200}, {part * 1000 + 7, 600}};
    out.prompt_size = 800;
    out.objective = milliseconds(400);
    return out;
}

target_registry_options options_of(const char* self)
{
    target_registry_options out;
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
    target_registry registry{options_of("a")};
    random_source random{1};
    routing_request request = small_prompt(5);
    std::uint64_t last_part = 100; ///< Of the prompts sent.

    void setup() override
    {
        registry.sync(targets(9, 3), false, start);
    }

    void set_profile()
    {
        registry.set_cold_start_profiles(
            {{service_id("llm"), {cold_for, limit}}});
    }

    data_center_id chosen_place(instant now = start)
    {
        const auto made = registry.choose(request, now, random);
        return made ? made->data_center : data_center_id();
    }

    /// Sends `n` requests through `by` within a second. Returns how many each
    /// target got.
    std::map<target_id, int> send(target_registry & by, int n, instant from)
    {
        std::map<target_id, int> out;
        for (int i = 0; i < n; ++i) {
            const instant now = from + i * seconds(1) / n;
            const routing_request one = small_prompt(++last_part);
            const auto made = by.choose(one, now, random);
            if (!made)
                continue;
            by.finished(by.started(*made, one, now), target_evidence::answered,
                        now);
            ++out[made->target];
        }
        return out;
    }

    /// Target number `i` is unreachable and then answers.
    void recover(int i, instant now)
    {
        const catalog::target_process process{
            target_id("i-" + std::to_string(i)), {}};
        registry.note_evidence(process, target_evidence::unreachable, now);
        registry.note_evidence(process, target_evidence::answered,
                               now + seconds(1));
    }
};

TEST(restricted_targets, evacuated_data_centre_gets_nothing)
{
    registry.set_evacuated({place(0), place(2)}, start);
    for (int i = 0; i < 50; ++i) {
        request = small_prompt(static_cast<std::uint64_t>(i));
        CHECK(chosen_place() == place(1));
    }
    CHECK(!registry.may_use(target_id("i-0"), start));
    CHECK(registry.may_use(target_id("i-1"), start));
}

TEST(restricted_targets, reports_evacuation_if_no_data_centre_is_left)
{
    registry.set_evacuated({place(0), place(1), place(2)}, start);
    CHECK(!registry.choose(request, start, random).has_value());
    CHECK(registry.why_no_target(request, start) ==
          no_target_reason::evacuated);
    registry.set_evacuated({}, start);
    CHECK(registry.choose(request, start, random).has_value());
}

// Guards against a refusal that blames an evacuation although the targets'
// entries expired while the platform was degraded.
TEST(restricted_targets, expired_entries_are_not_reported_as_evacuated)
{
    registry.sync({}, true, start);
    const instant later = start + seconds(10);
    CHECK(!registry.choose(request, later, random).has_value());
    CHECK(registry.why_no_target(request, later) ==
          no_target_reason::none_usable);
}

TEST(restricted_targets, evacuation_of_an_unknown_data_centre_changes_nothing)
{
    UNSIGNED_LONGS_EQUAL(0,
                         registry.set_evacuated({data_center_id("x")}, start));
    CHECK(registry.choose(request, start, random).has_value());
}

// Guards against requests to targets that are added to a data centre during its
// evacuation.
TEST(restricted_targets, new_targets_of_an_evacuated_data_centre_get_nothing)
{
    registry.set_evacuated({place(0), place(1)}, start);
    registry.sync(targets(30, 3), false, start);
    for (int i = 0; i < 50; ++i)
        CHECK(chosen_place() == place(2));
}

TEST(restricted_targets, only_allowed_regions_are_used)
{
    request.regions = std::vector{region_id("q")};
    CHECK(chosen_place() == place(2));
    request.regions = std::vector<region_id>();
    CHECK(chosen_place() == data_center_id());
    CHECK(registry.why_no_target(request, start) ==
          no_target_reason::outside_regions);
}

// Guards against requests to a target whose region is unknown.
TEST(restricted_targets, unknown_data_centre_is_in_no_region)
{
    auto listed = targets(3, 1);
    for (auto& [id, entry] : listed)
        entry.data_center = data_center_id("unknown");
    registry.sync(listed, false, start);
    request.regions = std::vector{region_id("r"), region_id("q")};
    CHECK(!registry.choose(request, start, random).has_value());
}

// Guards against a thundering herd at a restarted target, which looks idle.
TEST(restricted_targets, cold_target_gets_at_most_its_quota_a_second)
{
    set_profile();
    registry.set_assignable_hosts({host_id("a")});
    auto listed = targets(2, 1);
    listed.at(target_id("i-0")).remaining_warm_up = cold_for;
    registry.sync(listed, false, start);
    const auto got = send(registry, 500, start);
    CHECK(got.at(target_id("i-0")) > 0);
    CHECK(got.at(target_id("i-0")) <= 12);
    // The warm-up of its entry is over.
    const auto later = send(registry, 500, start + cold_for + seconds(1));
    CHECK(later.at(target_id("i-0")) > 100);
}

TEST(restricted_targets, unassigned_nodes_send_a_cold_target_nothing)
{
    set_profile();
    registry.set_assignable_hosts({});
    auto listed = targets(2, 1);
    for (auto& [id, entry] : listed)
        entry.remaining_warm_up = cold_for;
    registry.sync(listed, false, start);
    CHECK(!registry.choose(request, start, random).has_value());
    CHECK(registry.why_no_target(request, start) == no_target_reason::cold);
    CHECK(registry.choose(request, start + cold_for, random).has_value());
}

TEST(restricted_targets, services_without_a_profile_have_no_cold_targets)
{
    auto listed = targets(2, 1);
    for (auto& [id, entry] : listed)
        entry.remaining_warm_up = cold_for;
    registry.sync(listed, false, start);
    CHECK(registry.choose(request, start, random).has_value());
}

// An entry that is listed repeatedly with the same remaining warm-up must not
// restart it: the target would never be warm.
TEST(restricted_targets, repeated_entry_does_not_restart_the_warm_up)
{
    set_profile();
    auto listed = targets(2, 1);
    for (auto& [id, entry] : listed)
        entry.remaining_warm_up = cold_for;
    registry.sync(listed, false, start);
    registry.sync(listed, false, start + seconds(2));
    CHECK(registry.choose(request, start + cold_for, random).has_value());
}

TEST(restricted_targets, target_may_signal_that_it_is_cold)
{
    set_profile();
    registry.note_signals({target_id("i-0"), {}}, {.remaining_cold = cold_for},
                          start);
    const auto got = send(registry, 100, start);
    CHECK(!got.contains(target_id("i-0")));
}

// A target crashed and answers again before its entry says that it restarted.
TEST(restricted_targets, recovered_target_gets_one_request_a_second)
{
    set_profile();
    registry.set_assignable_hosts({host_id("a")});
    registry.sync(targets(1, 1), false, start);
    recover(0, start);
    const auto got = send(registry, 500, start + seconds(1));
    CHECK_EQUAL(1, got.at(target_id("i-0")));
    const auto later = send(registry, 500, start + seconds(1) + cold_for);
    CHECK_EQUAL(500, later.at(target_id("i-0")));
}

// One request a second from each node of a fleet would add up to more than a
// cold target can serve.
TEST(restricted_targets, fleet_sends_a_recovered_target_at_most_its_limit)
{
    std::vector<host_id> hosts;
    for (int i = 0; i < 77; ++i)
        hosts.emplace_back("host-" + std::to_string(i));
    const catalog::target_process back{target_id("i-0"), {}};
    int got = 0;
    for (const host_id& it : hosts) {
        target_registry one(options_of(it.str().c_str()));
        one.set_cold_start_profiles({{service_id("llm"), {cold_for, limit}}});
        one.set_assignable_hosts(hosts);
        one.sync(targets(1, 1), false, start);
        one.note_evidence(back, target_evidence::unreachable, start);
        one.note_evidence(back, target_evidence::answered, start + seconds(1));
        for (const auto& [target, n] : send(one, 10, start + seconds(1)))
            got += n;
    }
    CHECK(got > 0);
    CHECK(got <= static_cast<int>(limit));
}

// Six nodes of a fleet of 77 have all callers, at 800 requests a second. A
// third of the 140 targets come back after an evacuation.
TEST(restricted_targets, no_herd_when_a_third_of_all_targets_come_back)
{
    std::vector<host_id> large;
    for (int i = 0; i < 6; ++i)
        large.emplace_back("large-" + std::to_string(i));
    const auto listed = targets(140, 3);
    std::map<target_id, int> got;
    int sent = 0;
    for (const host_id& it : large) {
        target_registry_options options = options_of(it.str().c_str());
        options.regions.clear();
        target_registry one(options);
        one.set_cold_start_profiles({{service_id("llm"), {cold_for, limit}}});
        one.set_assignable_hosts(large);
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
