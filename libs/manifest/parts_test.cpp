#include "fennelladder/manifest/active_manifest.hpp"
#include "fennelladder/manifest/node_status.hpp"
#include "fennelladder/manifest/parse.hpp"
#include "fennelladder/manifest/rollout.hpp"
#include "fennelladder/manifest/synthetic.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace fennelladder;
using namespace fennelladder::manifest;

namespace {

part_map to_map(const split_manifest& pieces)
{
    part_map parts;
    for (const auto& [name, bytes] : pieces.parts)
        parts.emplace(name, std::make_shared<const std::string>(bytes));
    return parts;
}

root make_root(std::uint64_t number, const split_manifest& pieces)
{
    root made;
    made.change = {generation(number), apply_id("a" + std::to_string(number)),
                   "op", instant()};
    made.directory = pieces.directory_hash;
    return made;
}

std::size_t new_parts(const split_manifest& before, const split_manifest& after)
{
    return std::size_t(std::ranges::count_if(after.parts, [&](const auto& it) {
        return !before.parts.contains(it.first);
    }));
}

std::shared_ptr<const active_manifest>
activate(std::uint64_t number, const split_manifest& pieces,
         const active_manifest* previous = nullptr)
{
    auto made = active_manifest::assemble(make_root(number, pieces),
                                          to_map(pieces), previous);
    CHECK_TEXT(made.has_value(), made ? "" : made.error().message.c_str());
    return *made;
}

} // namespace

TEST_GROUP(manifest_parts){};

TEST(manifest_parts, every_row_is_found_again_and_no_other)
{
    for (const std::size_t count : {1U, 2U, 3U, 7U, 100U, 5'000U}) {
        const document manifest = make_synthetic(
            {.teams = count, .budgets = 2 * count, .targets = count});
        CHECK(parse(encode(manifest), "synthetic").ok());
        const auto config = activate(1, *split(manifest, nullptr));
        for (const team& it : manifest.teams)
            CHECK(*config->find_team(it.id) == it);
        for (const budget& it : manifest.budgets)
            CHECK(*config->find_budget(it.id) == it);
        for (const target& it : manifest.targets)
            CHECK(*config->find_target(it.id) == it);
        CHECK(config->targets().size() == manifest.targets.size());
        std::size_t teams = 0;
        config->for_each_team([&](const team& it) {
            ++teams;
            CHECK(*config->find_team(it.id) == it);
        });
        CHECK_EQUAL(manifest.teams.size(), teams);
        for (const char* id : {"", "a", "budget-", "budget-00", "zz", "~"}) {
            CHECK(!config->find_budget(budget_id(id)));
            CHECK(config->find_team(team_id(id)) == nullptr);
        }
        CHECK(!config->find_call(service_id("desk"), call_name("x")));
        CHECK(config->find_call(service_id("desk"), call_name("lookup"))
                  ->idempotent);
        std::size_t visited = 0;
        config->for_each_budget([&](const budget&) { ++visited; });
        CHECK_EQUAL(manifest.budgets.size(), visited);
    }
}

// An operator tops up one budget out of many. If that sent every part again,
// 320 changes a day would cost the fleet gigabytes.
TEST(manifest_parts, a_change_sends_its_bucket_and_the_directory)
{
    document manifest = make_synthetic({.teams = 500, .budgets = 20'000});
    const auto before = split(manifest, nullptr);
    CHECK(before->directory.budgets.size() > 8);
    manifest.budgets[77].topups.push_back({topup_id("more"), tokens(5)});
    const auto after = split(manifest, &before->directory);
    CHECK_EQUAL(2, int(new_parts(*before, *after)));

    std::ranges::reverse(manifest.budgets);
    CHECK(split(manifest, &before->directory)->directory_hash ==
          after->directory_hash);

    const auto first = activate(1, *before);
    const auto second = activate(2, *after, first.get());
    CHECK(second->find_budget(budget_id("budget-77"))->prepaid() ==
          tokens(1'000'005));
    POINTERS_EQUAL(first->find_team(team_id("team-3")).get(),
                   second->find_team(team_id("team-3")).get());
}

// Growth keeps the buckets' number until they are twice their goal; then all
// rows move once. The number must not swing to and fro at the boundary.
TEST(manifest_parts, bucket_count_has_slack_both_ways)
{
    const auto large =
        split(make_synthetic({.teams = 10, .budgets = 20'000}), nullptr);
    const std::size_t count = large->directory.budgets.size();
    for (const std::size_t budgets : {12'000U, 19'000U, 21'000U, 30'000U}) {
        const auto next =
            split(make_synthetic({.teams = 10, .budgets = budgets}),
                  &large->directory);
        CHECK_EQUAL(count, next->directory.budgets.size());
    }
    const auto small =
        split(make_synthetic({.teams = 10, .budgets = 100}), &large->directory);
    CHECK_EQUAL(1, int(small->directory.budgets.size()));
}

// One team with thousands of models makes a row near the platform's megabyte.
// It has to be stored whole or refused before anything is written; a part
// that is too large would block every later change.
TEST(manifest_parts, a_row_near_a_megabyte_is_stored_or_refused)
{
    document manifest = make_synthetic({});
    auto& versions = manifest.teams[0].models[0].versions;
    const std::string filler(55, 'v');
    while (versions.size() < 13'000)
        versions.emplace_back(std::to_string(versions.size()) + filler);
    const auto fits = split(manifest, nullptr);
    CHECK(fits.has_value());
    for (const auto& [name, bytes] : fits->parts)
        CHECK(bytes.size() <= max_part_bytes);
    CHECK(activate(1, *fits)
              ->find_team(manifest.teams[0].id)
              ->models[0]
              .versions.size() == 13'000);
    while (versions.size() < 14'600)
        versions.emplace_back(std::to_string(versions.size()) + filler);
    CHECK(split(manifest, nullptr).error().code == error_code::too_large);
}

TEST(manifest_parts, corrupt_bytes_are_told)
{
    const auto pieces = split(make_synthetic({}), nullptr);
    root value = make_root(7, *pieces);
    value.history.push_back({generation(6), apply_id("b"), "x", instant()});
    const std::string bytes = encode(value);
    CHECK(*decode_root(bytes) == value);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        std::string bad = bytes;
        bad[n] = char(bad[n] ^ 1);
        CHECK(!decode_root(bad));
        CHECK(!decode_root(bytes.substr(0, n)));
    }
    for (const auto& [name, part] : pieces->parts) {
        CHECK(matches(name, part));
        CHECK(!matches(name, part + " "));
        part_map missing = to_map(*pieces);
        missing.erase(name);
        CHECK(!active_manifest::assemble(value, missing, nullptr));
        part_map damaged = to_map(*pieces);
        damaged[name] = std::make_shared<const std::string>("[\"x\",1]\n");
        CHECK(!active_manifest::assemble(value, damaged, nullptr));
    }
}

TEST(manifest_parts, rollout_waits_for_the_nodes_that_report)
{
    const instant now = from_nanoseconds(0) + hours(1);
    const auto node = [&](const char* host, std::uint64_t number,
                          duration age) {
        return node_status{host_id(host),      incarnation_id(host),
                           generation(number), {},
                           generation(number), true,
                           now - age};
    };
    CHECK(*decode_node_status(encode(node("a", 3, seconds(1)))) ==
          node("a", 3, seconds(1)));
    const auto late = node("b", 6, seconds(5));
    const auto gone = node("c", 2, hours(1));
    CHECK(!rollout_of({}, generation(7), now).complete());
    CHECK(
        !rollout_of({node("a", 7, seconds(1)), late, gone}, generation(7), now)
             .complete());
    CHECK(rollout_of({node("a", 8, seconds(1)), late, gone}, generation(6), now)
              .complete());
}
