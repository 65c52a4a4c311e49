#include "fennelladder/edge/node_tables.hpp"

#include "fennelladder/edge/entry_planner.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

constexpr duration usual_connect_timeout = milliseconds(350);

/// Delay beyond the usual from which a host's link counts as full.
constexpr duration full_link_delay = milliseconds(100);

/// For this long after the platform became reachable again, entries missing
/// from its list may still return: targets rewrite theirs within two seconds.
constexpr duration entry_return_window = milliseconds(2500);

/// After the store was restored, the platform has removed the entries of
/// targets that are gone: they are silent for three heartbeats of some seconds.
constexpr duration held_entry_time = seconds(5);

/// The operator writes again what the store lost.
constexpr duration operator_rewrite_time = seconds(30);

/// Time after the start before a node takes a share of fleet-wide limits: by
/// then it has heard from the other nodes.
constexpr duration discovery_period = seconds(3);

dispatch::target_registry_options
registry_options(const adapter::host_settings& settings,
                 dispatch::target_registry_options out)
{
    out.self = settings.host;
    out.regions = settings.regions;
    out.own_data_center = settings.data_center;
    return out;
}

/// Services without a cold rate are omitted.
std::unordered_map<service_id, dispatch::cold_start_profile>
cold_start_profiles_of(const catalog::configuration& config,
                       const adapter::host_settings& settings)
{
    std::unordered_map<service_id, dispatch::cold_start_profile> out;
    for (const catalog::service& it : config.parts().services) {
        const double limit =
            it.cold_rate * settings.cold_overage + settings.cold_slack;
        if (it.cold_rate > 0)
            out[it.id] = {it.cold_start, static_cast<std::uint32_t>(limit)};
    }
    return out;
}

std::string permille_text(double share)
{
    return std::to_string(std::llround(share * 1000));
}

dispatch::retry_budget_options
retry_options(const adapter::host_settings& settings,
              dispatch::retry_budget_options out)
{
    out.share = settings.retry_share;
    out.slack = settings.retry_slack;
    out.window = settings.retry_window;
    return out;
}

} // namespace

void log_signals(const target_id& target,
                 const catalog::target_signals& signals,
                 const dispatch::signal_changes& changes, const std::string& by)
{
    if (changes.leaving)
        log_event(event::target_leaving,
                  {{"target", target.str()}, {"by", by}});
    if (changes.backoff)
        log_event(event::target_rests,
                  {{"target", target.str()},
                   {"rest_ms", milliseconds_text(*signals.backoff)},
                   {"by", by}});
    if (changes.brittle)
        log_event(event::target_brittle,
                  {{"target", target.str()},
                   {"rejections", signals.max_rejections
                                      ? std::to_string(*signals.max_rejections)
                                      : "any"},
                   {"by", by}});
    if (changes.rate_limit)
        log_event(
            event::target_limited,
            {{"target", target.str()},
             {"rate", signals.rate_limit ? std::to_string(*signals.rate_limit)
                                         : "none"},
             {"by", by}});
}

node_tables::node_tables(asio::io_context& context, const clock& clock_used,
                         adapter::host_settings given, std::uint64_t seed,
                         tuning_options tuning)
    : io(context), time(clock_used), random(seed), settings(std::move(given)),
      options(std::move(tuning)), incarnation(random.bits() >> 1),
      lateness(settings.update_bound()),
      registry(registry_options(settings, options.registry)),
      retries(retry_options(settings, options.retries)),
      losses(settings.first_start, clock_used.now(),
             {.discovery_time = discovery_period}),
      peers(settings.host, {}),
      link(clock_used, lag, settings.link_bits_per_second,
           options.measures_link),
      pool(context, options.pool, &link), started(clock_used.now())
{}

bool node_tables::ready() const
{
    const bool knows_evacuations =
        evacuations.known() || !settings.evacuation_bound;
    return config != nullptr && targets.known() && knows_evacuations &&
           !leaving;
}

mesh::node_state node_tables::state() const
{
    if (leaving)
        return mesh::node_state::leaving;
    if (!ready())
        return mesh::node_state::starting;
    return updates_are_late() ? mesh::node_state::late
                              : mesh::node_state::ready;
}

bool node_tables::updates_are_late() const
{
    if (!options.refuses_when_late)
        return false;
    const auto targets_age = targets_freshness.age(now());
    const auto configuration_age = configuration_freshness.age(now());
    const bool targets_missed = targets_announced > targets.as_of();
    return lateness.is_late(targets_age, now()) ||
           lateness.is_late(configuration_age, now()) ||
           (targets_missed && lateness.is_overdue(targets_age)) ||
           (configuration_announced && lateness.is_overdue(configuration_age));
}

bool node_tables::is_cut_off() const
{
    return !registry.reach().impaired_services().empty() &&
           !failures_show_nothing();
}

double node_tables::capacity() const
{
    return request_capacity(settings.cores, settings.link_bits_per_second);
}

/// Doesn't depend on this node's own calls to the platform: most nodes make
/// none while others confirm their list, and a single call may fail for many
/// reasons. Entries expire wrongly only while the platform itself is
/// unreachable, and then no node's list is confirmed.
bool node_tables::target_list_in_doubt() const
{
    const bool just_confirmed =
        confirmation_gap_ended &&
        now() - *confirmation_gap_ended < entry_return_window;
    return just_confirmed || targets_unconfirmed() ||
           store_restored_within(entry_return_window);
}

bool node_tables::store_restored_within(duration limit) const
{
    return store_restored && now() - *store_restored < limit;
}

void node_tables::note_store_era(catalog::store_era era,
                                 const std::string& source)
{
    if (era <= store_era)
        return;
    const catalog::store_era before = std::exchange(store_era, era);
    const bool knows_store = targets.known() || config != nullptr;
    if (knows_store)
        store_restored = now();
    log_event(event::store_era_entered,
              {{"era", std::to_string(era.value())},
               {"before", std::to_string(before.value())},
               {"restored", knows_store ? "true" : "false"},
               {"targets_as_of", to_string(targets.as_of())},
               {"evacuations_as_of", to_string(evacuations.as_of())},
               {"source", source}});
    metrics.gauge_of("fennelladder_store_era")
        .set(static_cast<std::int64_t>(era.value()));
    for (const auto& it : on_store_era)
        it();
    // Other nodes may not reach the store.
    broadcast_update();
}

void node_tables::expire_kept_entries()
{
    if (targets.holds_back() && !store_restored_within(held_entry_time)) {
        targets.admit_held();
        update_target_registry();
    }
    if (evacuations.keeps_any() &&
        !store_restored_within(operator_rewrite_time) &&
        evacuations.drop_kept())
        apply_evacuations_in_force("expiry");
}

bool node_tables::targets_unconfirmed() const
{
    const auto age = fleet_targets_freshness.age(now());
    return !age || *age > settings.update_bound();
}

duration node_tables::queueing_delay() const
{
    const instant at = now();
    return std::max(lateness.max_delay(at).value_or(duration(0)),
                    link.load().dial_delay(at));
}

/// The target's reply queues like all other traffic on a saturated link.
duration node_tables::connect_timeout() const
{
    return usual_connect_timeout + 2 * queueing_delay();
}

bool node_tables::link_is_full() const
{
    return queueing_delay() >= full_link_delay || link.is_full(now());
}

bool node_tables::failures_show_nothing() const
{
    return options.measures_link && link_is_full();
}

dispatch::target_evidence node_tables::evidence_of_dial(const error& why) const
{
    return why.code == error_code::timeout && failures_show_nothing()
               ? dispatch::target_evidence::nothing
               : dispatch::target_evidence::unreachable;
}

void node_tables::update_link()
{
    if (!options.measures_link)
        return;
    const instant at = now();
    link.tick(at);
    const dispatch::link_load& load = link.load();
    // Connections are slow because of either direction; both count as full.
    const double least = load.dial_delay(at) >= full_link_delay ? 1.0 : 0.0;
    admission.note_link(std::max(load.sent_share(at), least),
                        std::max(load.received_share(at), least), at);
    const bool full = link_is_full();
    if (std::exchange(link_was_full, full) == full)
        return;
    log_event(full ? event::link_full : event::link_free,
              {{"sent_permille", permille_text(load.sent_share(at))},
               {"received_permille", permille_text(load.received_share(at))},
               {"delay_ms", milliseconds_text(queueing_delay())},
               {"send_queue_ms", milliseconds_text(load.send_queue(at))}});
}

void node_tables::note_dial_failed(const catalog::target_process& target,
                                   instant started)
{
    const instant at = now();
    if (!link_is_full() && !link.was_full_since(started, at))
        registry.reach().note_dial_failed(target, started, at);
}

void node_tables::update_target_registry()
{
    const bool in_doubt = target_list_in_doubt();
    targets_changed = now();
    const auto replaced = registry.sync(targets.entries(), in_doubt, now());
    versions.sync(targets.entries(), now());
    for (const catalog::target_entry& it : replaced)
        pool.close_idle({it.process(), it.address});
    log_event(event::targets_changed,
              {{"targets", std::to_string(targets.entries().size())},
               {"as_of", std::to_string(targets.as_of().value())},
               {"era", std::to_string(targets.as_of().era().value())},
               {"held", targets.holds_back() ? "true" : "false"},
               {"in_doubt", in_doubt ? "true" : "false"}});
}

bool node_tables::apply_configuration(catalog::configuration_parts parts,
                                      std::string text,
                                      const std::string& source)
{
    if (config != nullptr && parts.version <= config->version())
        return false;
    const duration behind = configuration_announced
                                ? now() - *configuration_announced
                                : duration(0);
    configuration_announced.reset();
    config = std::make_shared<const catalog::configuration>(std::move(parts));
    config_text = std::move(text);
    registry.set_cold_start_profiles(cold_start_profiles_of(*config, settings));
    service_times.keep_only(*config);
    tokens prepaid;
    for (const catalog::team& it : config->parts().teams)
        prepaid += it.prepaid.value_or(tokens(0));
    log_event(event::configuration_in_force,
              {{"generation", std::to_string(config->version().value())},
               {"routes", std::to_string(config->parts().routes.size())},
               {"teams", std::to_string(config->parts().teams.size())},
               {"prepaid", std::to_string(prepaid.count())},
               {"source", source},
               {"behind_ms", milliseconds_text(behind)},
               {"bytes", std::to_string(config_text.size())}});
    return true;
}

bool node_tables::apply_evacuations(catalog::evacuation_state state,
                                    const std::string& source)
{
    if (!evacuations.replace_all(std::move(state)))
        return false;
    apply_evacuations_in_force(source);
    return true;
}

void node_tables::apply_evacuations_in_force(const std::string& source)
{
    const auto evacuated = evacuations.in_force();
    const std::size_t returned = registry.set_evacuated(evacuated, now());
    std::string names;
    for (const data_center_id& it : evacuated)
        names += (names.empty() ? "" : " ") + it.str();
    log_event(event::evacuations_changed,
              {{"data_centers", names},
               {"as_of", std::to_string(evacuations.as_of().value())},
               {"era", std::to_string(evacuations.as_of().era().value())},
               {"targets_back", std::to_string(returned)},
               {"source", source}});
}

bool node_tables::is_discovering() const
{
    return now() - started < discovery_period;
}

/// A node that hears from no peer although there are others would otherwise
/// claim each limit for itself.
void node_tables::update_sharing_hosts()
{
    const bool knows_peers =
        !is_discovering() && (!peers.rows().empty() || settings.is_alone());
    if (!knows_peers) {
        registry.set_assignable_hosts({});
        retries.set_hosts(0, now());
        return;
    }
    registry.set_assignable_hosts(peers.large_hosts(capacity()),
                                  peers.small_hosts(capacity()));
    retries.set_hosts(peers.host_count(), now());
}

duration node_tables::stock_update_lifetime() const
{
    constexpr int heartbeats = 5;
    return peers.period() * heartbeats;
}

catalog::configuration_version node_tables::version() const
{
    return config ? config->version() : catalog::configuration_version();
}

void node_tables::note_configuration_announced()
{
    if (!configuration_announced)
        configuration_announced = now();
}

void node_tables::confirm_configuration(instant at)
{
    if (config != nullptr)
        configuration_freshness.confirm(at);
}

void node_tables::confirm_targets(instant at, bool follows_all)
{
    if (!targets.known())
        return;
    targets_freshness.confirm(at);
    versions.confirm(at, follows_all);
    note_targets_confirmed(at);
}

void node_tables::note_targets_confirmed(instant at)
{
    const bool was_unconfirmed = targets_unconfirmed();
    fleet_targets_freshness.confirm(at);
    if (was_unconfirmed && !targets_unconfirmed())
        confirmation_gap_ended = now();
}

void node_tables::confirm_evacuations(instant at)
{
    if (evacuations.known())
        evacuations_freshness.confirm(at);
}

void node_tables::note_platform_contact(bool reached, const std::string& detail)
{
    if (reached != platform.reached) {
        platform = {reached, now()};
        log_event(reached ? event::platform_well : event::platform_out,
                  {{"detail", detail}});
        broadcast_update();
    }
    if (reached)
        on_platform_answer();
}

} // namespace fennelladder::edge
