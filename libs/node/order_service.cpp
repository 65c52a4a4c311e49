// Translation in both directions, and no decisions: those are the issuer's.
// Plans and needs are made once per configuration, since needs read every
// team; a tick without news costs what the issuer's step costs.

#include "order_service.hpp"

#include "fennelladder/target/http_target_client.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <set>

namespace fennelladder::node {

namespace {

constexpr duration connect_timeout = milliseconds(500);
constexpr duration call_timeout = seconds(1);

fleet::engine_role role_of(manifest::engine_role from)
{
    switch (from) {
    case manifest::engine_role::prefill:
        return fleet::engine_role::prefill;
    case manifest::engine_role::decode:
        return fleet::engine_role::decode;
    case manifest::engine_role::mixed:
        break;
    }
    return fleet::engine_role::mixed;
}

fleet::engine_role role_of(std::string_view name)
{
    for (const auto it :
         {fleet::engine_role::prefill, fleet::engine_role::decode}) {
        if (name == to_string(it))
            return it;
    }
    return fleet::engine_role::mixed;
}

target::order_kind kind_of(fleet::order_kind from)
{
    switch (from) {
    case fleet::order_kind::load_model:
        return target::order_kind::load_model;
    case fleet::order_kind::unload_model:
        return target::order_kind::unload_model;
    case fleet::order_kind::load_adapter:
        return target::order_kind::load_adapter;
    case fleet::order_kind::unload_adapter:
        return target::order_kind::unload_adapter;
    case fleet::order_kind::change_role:
        break;
    }
    return target::order_kind::set_role;
}

// The codes that engine_orders knows. What isn't known to have had no effect
// is ambiguous.
error_code meaning_of(error_code code)
{
    switch (code) {
    case error_code::refused:
    case error_code::invalid:
    case error_code::not_found:
    case error_code::exhausted:
        return error_code::refused;
    case error_code::unavailable:
    case error_code::timeout:
        return error_code::unavailable;
    default:
        return error_code::ambiguous;
    }
}

fleet::engine_plan plan_of(const manifest::target& it)
{
    fleet::engine_plan plan;
    plan.target = it.id;
    plan.role = role_of(it.role);
    plan.checks_fencing = it.checks_fencing;
    for (const manifest::model_placement& place : it.models)
        plan.models[{place.model, place.version}].insert(place.adapters.begin(),
                                                         place.adapters.end());
    return plan;
}

std::set<fleet::offer> offers_of(const std::vector<fleet::engine_plan>& plans)
{
    std::set<fleet::offer> out;
    for (const fleet::engine_plan& plan : plans) {
        for (const auto& [ref, adapters] : plan.models) {
            out.insert({ref, {}});
            for (const adapter_id& adapter : adapters)
                out.insert({ref, adapter});
        }
    }
    return out;
}

void add_offers(const manifest::model_grant& grant, std::set<fleet::offer>& out)
{
    for (const model_version& version : grant.versions) {
        const fleet::model_ref ref{grant.model, version};
        out.insert({ref, {}});
        for (const adapter_id& adapter : grant.adapters)
            out.insert({ref, adapter});
    }
}

fleet::need need_of(const fleet::offer& it)
{
    fleet::need out;
    out.name = it.model.model.str() + '@' + it.model.version.str();
    if (!it.adapter.empty())
        out.name += '+' + it.adapter.str();
    out.any_of = {it};
    return out;
}

} // namespace

engine_client_maker make_engine_clients(http::client& connections)
{
    return [&connections](const manifest::target& it) {
        target::http_target_options options;
        options.url = "http://" + it.address.str();
        options.control = {.connect = connect_timeout,
                           .first_byte = call_timeout,
                           .between_bytes = call_timeout,
                           .total = call_timeout};
        return std::make_unique<target::http_target_client>(connections,
                                                            options);
    };
}

fleet::engine_state to_engine_state(const target::target_state& from)
{
    fleet::engine_state to;
    to.role = role_of(from.role);
    for (const target::loaded_model& it : from.models) {
        if (!it.adapter.empty())
            continue;
        to.models[{it.model, it.version}].phase =
            it.ready ? fleet::load_phase::ready : fleet::load_phase::loading;
    }
    for (const target::loaded_model& it : from.models) {
        const auto model = to.models.find({it.model, it.version});
        if (!it.adapter.empty() && it.ready && model != to.models.end())
            model->second.adapters.insert(it.adapter);
    }
    return to;
}

target::order to_target_order(const fleet::engine_order& from)
{
    target::order to;
    to.kind = kind_of(from.kind);
    to.fencing = from.fence;
    if (from.kind == fleet::order_kind::change_role) {
        to.role = to_string(from.role);
        return to;
    }
    to.model = from.model.model;
    to.version = from.model.version;
    to.adapter = from.adapter;
    return to;
}

std::vector<fleet::engine_plan> plans_of(const manifest::active_manifest& it)
{
    std::vector<fleet::engine_plan> out;
    for (const manifest::target* target : it.targets()) {
        if (target->kind == manifest::target_kind::engine)
            out.push_back(plan_of(*target));
    }
    std::ranges::sort(out, {}, &fleet::engine_plan::target);
    return out;
}

// Guards against a need that nothing could ever meet: an adapter that a team
// may use but no engine is to hold any more would keep the engine that still
// has it from unloading it, for good.
std::vector<fleet::need> needs_of(const manifest::active_manifest& it,
                                  const std::vector<fleet::engine_plan>& plans)
{
    std::set<fleet::offer> granted;
    it.for_each_team([&](const manifest::team& team) {
        for (const manifest::model_grant& grant : team.models)
            add_offers(grant, granted);
    });
    const std::set<fleet::offer> planned = offers_of(plans);
    std::vector<fleet::need> out;
    for (const fleet::offer& offer : granted) {
        if (planned.contains(offer))
            out.push_back(need_of(offer));
    }
    return out;
}

void engine_gate::apply(const manifest::active_manifest& config)
{
    std::map<target_id, engine> next;
    for (const manifest::target* it : config.targets()) {
        if (it->kind != manifest::target_kind::engine)
            continue;
        const auto known = engines_.find(it->id);
        if (known != engines_.end() && known->second.address == it->address)
            next[it->id] = std::move(known->second);
        else
            next[it->id] = {it->address, make_(*it)};
    }
    engines_ = std::move(next);
}

target::target_client* engine_gate::find(const target_id& target)
{
    const auto it = engines_.find(target);
    if (stopped_ || it == engines_.end())
        return nullptr;
    return it->second.client.get();
}

status engine_gate::give(const fleet::engine_order& order)
{
    target::target_client* const client = find(order.target);
    if (client == nullptr)
        return fail(error_code::unavailable, "no way to the engine");
    const status given = client->give(to_target_order(order));
    if (!given)
        return fail(meaning_of(given.error().code), given.error().message);
    return {};
}

result<fleet::engine_state> engine_gate::read_back(const target_id& target)
{
    target::target_client* const client = find(target);
    if (client == nullptr)
        return fail(error_code::unavailable, "no way to the engine");
    const auto state = client->read_back();
    if (!state)
        return fail(error_code::unavailable, state.error().message);
    return to_engine_state(*state);
}

order_service::order_service(
    const incarnation_id& self, platform::object_store& store,
    const clock& time, std::uint64_t seed,
    std::function<bool(std::string_view duty)> preferred,
    engine_client_maker make)
    : preferred_(std::move(preferred)), engines_(std::move(make)),
      issuer_(store, engines_, time, self, fleet::issuer_options{}, seed)
{
    input_.preferred = [this](std::size_t group) {
        return preferred_(fleet::order_issuer::group_salt(group));
    };
}

void order_service::tick(const manifest_pointer& config)
{
    phase now = phase_;
    if (now == phase::working && config) {
        if (config != config_)
            take_configuration(config);
        issuer_.step(input_);
    } else if (now == phase::leaving) {
        issuer_.release_all();
        phase_.compare_exchange_strong(now, phase::out);
    }
    log_events();
}

void order_service::take_configuration(const manifest_pointer& config)
{
    config_ = config;
    engines_.apply(*config);
    input_.in_force = config->number();
    input_.plans = plans_of(*config);
    input_.needs = needs_of(*config, input_.plans);
    fleet::board_limits limits;
    limits.max_loads = static_cast<std::size_t>(config->limits().weight_loads);
    issuer_.set_limits(limits);
}

void order_service::log_events()
{
    for (const fleet::issuer_event& it : issuer_.take_events())
        telemetry::log_event(
            it.number, {{"target", it.target.str()}, {"message", it.text}});
}

void order_service::leave()
{
    engines_.stop();
    phase working = phase::working;
    phase_.compare_exchange_strong(working, phase::leaving);
}

void order_service::stop()
{
    engines_.stop();
    phase_ = phase::out;
}

} // namespace fennelladder::node
