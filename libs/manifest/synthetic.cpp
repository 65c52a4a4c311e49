// Everything is numbered, and references go round: budget n belongs to team
// n modulo teams, target n serves model n modulo models.

#include "fennelladder/manifest/synthetic.hpp"

#include <algorithm>
#include <string>

namespace fennelladder::manifest {

namespace {

template <class Id>
Id numbered(const char* prefix, std::size_t n)
{
    return Id(prefix + std::to_string(n));
}

team make_team(std::size_t n, const synthetic_size& size)
{
    team made{numbered<team_id>("team-", n),
              {caller_kind("urgent"), caller_kind("patient")},
              {},
              {service_id("desk")}};
    const std::size_t count = std::min(size.models_per_team, size.models);
    for (std::size_t m = 0; m < count; ++m) {
        made.models.push_back(
            {numbered<model_id>("model-", (n + m) % size.models),
             {model_version("1")},
             {}});
    }
    return made;
}

budget make_budget(std::size_t n, const synthetic_size& size)
{
    return {numbered<budget_id>("budget-", n),
            numbered<team_id>("team-", n % size.teams),
            {{topup_id("2026-12"), tokens(1'000'000)}}};
}

target make_target(std::size_t n, const synthetic_size& size)
{
    target made;
    made.id = numbered<target_id>("target-", n);
    made.address = {"10." + std::to_string(n / 65'536 % 256) + "." +
                        std::to_string(n / 256 % 256) + "." +
                        std::to_string(n % 256),
                    8'000};
    made.data_center = numbered<data_center_id>("dc-", n % size.data_centers);
    made.concurrency = 32;
    made.checks_fencing = n % 2 == 0;
    made.models = {{numbered<model_id>("model-", n % size.models),
                    model_version("1"),
                    {}}};
    return made;
}

target make_desk(std::size_t n)
{
    target made;
    made.id = target_id("desk-server");
    made.address = {"10.255.255.1", 8'000};
    made.data_center = numbered<data_center_id>("dc-", n);
    made.kind = target_kind::service;
    made.concurrency = 64;
    made.services = {service_id("desk")};
    return made;
}

} // namespace

document make_synthetic(const synthetic_size& size)
{
    document made;
    made.deployment = {"synthetic", weight::overspend, {{region_id("r"), {}}}};
    for (std::size_t n = 0; n < size.data_centers; ++n)
        made.deployment.regions[0].data_centers.push_back(
            numbered<data_center_id>("dc-", n));
    made.caller_kinds = {{caller_kind("urgent"), 0, seconds(10)},
                         {caller_kind("patient"), 3, seconds(300)}};
    for (const caller_kind_policy& it : made.caller_kinds)
        made.objectives.push_back({objective_id(it.id.str() + "-first"),
                                   it.id,
                                   measure::first_byte,
                                   milliseconds(730),
                                   {950'000}});
    for (std::size_t n = 0; n < size.models; ++n)
        made.models.push_back(
            {numbered<model_id>("model-", n), {model_version("1")}, {}});
    made.services = {{service_id("desk"),
                      {{call_name("ticket"), false, seconds(5), tokens(20)},
                       {call_name("lookup"), true, seconds(2), tokens(5)}}}};
    for (std::size_t n = 0; n < size.teams; ++n)
        made.teams.push_back(make_team(n, size));
    for (std::size_t n = 0; n < size.budgets; ++n)
        made.budgets.push_back(make_budget(n, size));
    const std::size_t engines = std::max(size.targets, size.models);
    for (std::size_t n = 0; n < engines; ++n)
        made.targets.push_back(make_target(n, size));
    made.targets.push_back(make_desk(0));
    return made;
}

} // namespace fennelladder::manifest
