#include "fennelladder/trial/deployment.hpp"

#include "fennelladder/manifest/parse.hpp"

namespace fennelladder::trial {

namespace {

constexpr std::int64_t engine_concurrency = 32;
constexpr std::int64_t service_concurrency = 64;
constexpr duration call_timeout = seconds(10);
constexpr tokens call_cost(20);
constexpr tokens lookup_cost(5);
const model_version only_version("1");

manifest::endpoint loopback(int port)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

manifest::target engine(const target_id& id, int port,
                        const data_center_id& where, const model_id& model)
{
    manifest::target it;
    it.id = id;
    it.address = loopback(port);
    it.data_center = where;
    it.concurrency = engine_concurrency;
    it.checks_fencing = true;
    it.models = {{model, only_version, {}}};
    return it;
}

manifest::target service(const target_id& id, int port,
                         const data_center_id& where, const service_id& service)
{
    manifest::target it;
    it.id = id;
    it.address = loopback(port);
    it.data_center = where;
    it.kind = manifest::target_kind::service;
    it.concurrency = service_concurrency;
    it.services = {service};
    return it;
}

void add_targets(const deployment_plan& plan, const target_addresses& at,
                 manifest::document& out)
{
    const auto where = [&](std::size_t n) {
        return plan.data_centers[n % plan.data_centers.size()];
    };
    for (std::size_t n = 0; n < at.long_engines.size(); ++n)
        out.targets.push_back(engine(long_engine(n), at.long_engines[n],
                                     where(n), plan.long_model));
    for (std::size_t n = 0; n < at.short_engines.size(); ++n)
        out.targets.push_back(engine(short_engine(n), at.short_engines[n],
                                     where(n), plan.short_model));
    for (std::size_t n = 0; n < at.services.size(); ++n)
        out.targets.push_back(
            service(service_host(n), at.services[n], where(n), plan.service));
}

void add_teams(const deployment_plan& plan, manifest::document& out)
{
    for (int n = 0; n < plan.teams; ++n) {
        manifest::team team;
        team.id = team_of(n);
        for (const caller_plan& it : plan.kinds)
            team.caller_kinds.push_back(it.kind);
        team.models = {{plan.long_model, {only_version}, {}},
                       {plan.short_model, {only_version}, {}}};
        team.services = {plan.service};
        out.teams.push_back(std::move(team));
        out.budgets.push_back(
            {budget_of(n),
             team_of(n),
             {{topup_id("first-" + std::to_string(n)), plan.prepaid}}});
    }
}

} // namespace

deployment_plan spoke_and_sprocket()
{
    deployment_plan plan;
    plan.name = "spoke-and-sprocket";
    plan.weighs = manifest::weight::overspend;
    plan.region = region_id("central-texas");
    plan.data_centers = {data_center_id("austin"),
                         data_center_id("san-antonio"),
                         data_center_id("san-marcos")};
    plan.engine_step = milliseconds(2);
    plan.long_model = model_id("bench-assistant");
    plan.long_engines = 3;
    plan.short_model = model_id("shop-desk");
    plan.short_engines = 2;
    plan.service = service_id("shop");
    plan.unrepeatable_call = "ticket";
    plan.repeatable_call = "part-lookup";
    plan.prepaid = tokens(2'000'000);
    plan.kinds = {{.kind = caller_kind("volunteer"),
                   .priority = 1,
                   .deadline = seconds(30),
                   .unrepeatable = 0.5,
                   .repeatable = 0.3,
                   .model = plan.short_model,
                   .max_output = 24,
                   .callers = 8},
                  {.kind = caller_kind("mechanic"),
                   .priority = 2,
                   .deadline = seconds(60),
                   .unrepeatable = 0.1,
                   .repeatable = 0.2,
                   .model = plan.long_model,
                   .max_output = 160,
                   .callers = 12}};
    return plan;
}

deployment_plan chao_phraya()
{
    deployment_plan plan;
    plan.name = "chao-phraya";
    plan.weighs = manifest::weight::false_refusal;
    plan.region = region_id("bangkok");
    plan.data_centers = {data_center_id("khlong-toei"),
                         data_center_id("pak-nam"), data_center_id("bang-na")};
    plan.engine_step = milliseconds(3);
    plan.long_model = model_id("inspection-assistant");
    plan.long_engines = 3;
    plan.short_model = model_id("dispatch-desk");
    plan.short_engines = 2;
    plan.service = service_id("harbour");
    plan.unrepeatable_call = "clearance";
    plan.repeatable_call = "readiness";
    plan.prepaid = tokens(2'000'000);
    plan.kinds = {{.kind = caller_kind("dispatcher"),
                   .priority = 0,
                   .deadline = seconds(30),
                   .unrepeatable = 0.4,
                   .repeatable = 0.4,
                   .model = plan.short_model,
                   .max_output = 16,
                   .callers = 8},
                  {.kind = caller_kind("inspector"),
                   .priority = 3,
                   .deadline = seconds(60),
                   .unrepeatable = 0.05,
                   .repeatable = 0.1,
                   .model = plan.long_model,
                   .max_output = 160,
                   .callers = 12}};
    return plan;
}

manifest::document make_manifest(const deployment_plan& plan,
                                 const target_addresses& at)
{
    manifest::document out;
    out.deployment.name = plan.name;
    out.deployment.weighs = plan.weighs;
    out.deployment.regions = {{plan.region, plan.data_centers}};
    for (const caller_plan& it : plan.kinds)
        out.caller_kinds.push_back({it.kind, it.priority, it.deadline});
    out.models = {{plan.long_model, {only_version}, {}},
                  {plan.short_model, {only_version}, {}}};
    out.services = {{plan.service,
                     {{manifest::call_name(plan.unrepeatable_call), false,
                       call_timeout, call_cost},
                      {manifest::call_name(plan.repeatable_call), true,
                       call_timeout, lookup_cost}}}};
    add_teams(plan, out);
    add_targets(plan, at, out);
    manifest::sort_lists(out);
    return out;
}

team_id team_of(int number)
{
    return team_id("team-" + std::to_string(number));
}

budget_id budget_of(int number)
{
    return budget_id("team-" + std::to_string(number) + "-main");
}

target_id long_engine(std::size_t number)
{
    return target_id("assistant-" + std::to_string(number));
}

target_id short_engine(std::size_t number)
{
    return target_id("desk-" + std::to_string(number));
}

target_id service_host(std::size_t number)
{
    return target_id("service-" + std::to_string(number));
}

} // namespace fennelladder::trial
