#include "fennelladder/edge/edge_node.hpp"

#include "fennelladder/edge/busy_loop.hpp"
#include "fennelladder/edge/quarantine_page.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "platform/request_headers.hpp"

#include <boost/asio/post.hpp>
#include <cmath>
#include <csignal>
#include <fstream>
#include <random>
#include <sstream>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

constexpr duration log_period = milliseconds(100);
constexpr duration maintenance_period = seconds(1);

/// Interval of the log lines that sum up calls and traffic: 0.2 lines a second.
constexpr duration summary_period = seconds(10);
constexpr duration drain_check_period = milliseconds(20);
constexpr duration token_hand_over_timeout = milliseconds(500);

/// Part of the grace period before SIGKILL that is reserved for transferring
/// tokens and stopping.
constexpr duration shutdown_reserve = milliseconds(700);

/// Before that, time to answer the requests that are still under way.
constexpr duration last_answer_time = milliseconds(200);

std::uint64_t random_seed()
{
    std::random_device source;
    return std::uint64_t(source()) << 32 | source();
}

std::string peer_address(const adapter::host_settings& settings)
{
    return settings.ip + ":" + std::to_string(settings.first_internal_port);
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

edge_node::edge_node(asio::io_context& io, const clock& time,
                     adapter::host_settings settings, edge_node_options options,
                     telemetry::line_writer& log)
    : io_(io), options_(std::move(options)), log_(log),
      tables_(io, time, std::move(settings), random_seed(), options_.tuning),
      client_(tables_), mesh_(tables_, peer_address(tables_.settings)),
      allocator_(
          tables_, client_,
          [this](const std::string& address, const mesh::datagram& message) {
              mesh_.send(address, message);
          }),
      origins_(
          tables_,
          [this](const std::string& address, const mesh::datagram& message) {
              mesh_.send(address, message);
          }),
      quarantine_(
          tables_,
          [this](const std::string& address, const mesh::datagram& message) {
              mesh_.send(address, message);
          }),
      feed_(tables_, client_, mesh_), links_(tables_),
      driver_(tables_, allocator_, origins_, quarantine_),
      callers_(tables_, driver_, limits_for(tables_.settings)),
      signals_(io, SIGTERM, SIGINT, SIGHUP),
      settings_text_(options_.settings_text)
{
    tables_.admission = dispatch::admission_control(options_.tuning.admission);
}

status edge_node::start_servers()
{
    const auto serve = [this](const std::string& address,
                              simple_server::handler handler) -> status {
        if (address.empty())
            return {};
        servers_.push_back(std::make_unique<simple_server>(
            io_, address,
            [this] { return simple_connections_for(tables_.settings); },
            std::move(handler)));
        return servers_.back()->start();
    };
    const auto& listen = tables_.settings.listen;
    if (auto ok = serve(listen.readiness,
                        [this](const simple_request& request) {
                            return answer_readiness(request);
                        });
        !ok)
        return ok;
    if (auto ok = serve(listen.entry,
                        [this](const simple_request& request) {
                            return answer_entry(request);
                        });
        !ok)
        return ok;
    if (auto ok = serve(options_.metrics_address,
                        [this](const simple_request& request) {
                            return answer_metrics(request);
                        });
        !ok)
        return ok;
    return callers_.start(listen.callers);
}

status edge_node::start()
{
    mesh_.set_token_allocator(allocator_);
    mesh_.set_stream_origins(origins_);
    mesh_.set_quarantine(quarantine_);
    if (auto ok = mesh_.start(); !ok)
        return ok;
    if (auto ok = start_servers(); !ok)
        return ok;
    add_seed_nodes();
    feed_.start();
    allocator_.start();
    links_.start();
    spawn_lasting(
        io_, [this] { return watch_signals(); }, "signals");
    spawn_lasting(
        io_, [this] { return run_periodic_tasks(); }, "maintenance");
    log_event(event::node_started,
              {{"host", tables_.settings.host.str()},
               {"listen", tables_.settings.listen.callers},
               {"life", std::to_string(tables_.incarnation.value())}});
    return {};
}

void edge_node::run()
{
    if (!tables_.options.refuses_beyond_capacity) {
        run_contained(io_, [this] { io_.run(); });
        return;
    }
    spawn_lasting(
        io_, [this] { return probe_backlog(); }, "backlog");
    run_contained(io_, [this] {
        run_measured(io_, tables_.time, [this](duration worked, instant now) {
            tables_.admission.note_busy(worked, now);
        });
    });
}

/// Measures how long a handler that is ready waits until it runs.
awaitable<void> edge_node::probe_backlog()
{
    asio::steady_timer timer(io_);
    for (;;) {
        co_await sleep_on(timer, tick_period);
        const instant posted = tables_.now();
        co_await asio::post(io_, asio::use_awaitable);
        const instant now = tables_.now();
        tables_.admission.note_backlog(now - posted, now);
    }
}

/// All nodes listen for peers on the first internal port, which is the same on
/// all hosts.
void edge_node::add_seed_nodes()
{
    std::vector<std::string> seeds;
    for (const std::string& it : tables_.settings.seeds)
        seeds.push_back(with_port(it, tables_.settings.first_internal_port));
    mesh_.add_peer_addresses(seeds);
}

awaitable<void> edge_node::watch_signals()
{
    for (;;) {
        net_error ec;
        const int number = co_await signals_.async_wait(into(ec));
        if (ec)
            co_return;
        if (number == SIGHUP) {
            reload_settings();
            continue;
        }
        if (!tables_.leaving)
            spawn_lasting(
                io_, [this] { return leave(); }, "shutdown");
    }
}

awaitable<void> edge_node::leave()
{
    const instant started = tables_.now();
    const duration serving =
        std::max(tables_.settings.stop_grace - shutdown_reserve, duration(0));
    const instant end = started + serving;
    log_event(event::node_stopping,
              {{"under_way", std::to_string(callers_.requests_in_flight())}});
    tables_.leaving = true;
    callers_.start_draining();
    callers_.answer_all_by(end - last_answer_time);
    tables_.broadcast_update();
    asio::steady_timer timer(io_);
    co_await sleep_on(timer, std::min(options_.drain_delay, serving / 2));
    callers_.stop_accepting();
    callers_.reject_new_requests();
    const auto in_flight = [this] {
        return callers_.requests_in_flight() + mesh_.relayed();
    };
    while (in_flight() > 0 && tables_.now() < end)
        co_await sleep_on(timer, drain_check_period);
    const std::size_t left = in_flight();
    origins_.hand_over();
    co_await allocator_.push_all(token_hand_over_timeout);
    log_event(left == 0 ? event::node_stopped : event::node_left_unclean,
              {{"under_way", std::to_string(left)}});
    log_.flush(tables_.now());
    io_.stop();
}

void edge_node::reload_settings()
{
    std::string text = read_file(options_.settings_path);
    if (text == settings_text_)
        return;
    auto read = adapter::read_host_settings(text, options_.settings_path);
    if (!read) {
        log_event(event::settings_unreadable,
                  {{"findings", read.error().to_text()}});
        return;
    }
    settings_text_ = std::move(text);
    // Listening addresses are fixed for this incarnation. The addresses of the
    // store and the seeds, the grace period, and the limits on memory and
    // descriptors can change.
    tables_.settings.store_address = read->store_address;
    tables_.settings.seeds = read->seeds;
    tables_.settings.stop_grace = read->stop_grace;
    tables_.settings.memory_mb = read->memory_mb;
    tables_.settings.descriptors = read->descriptors;
    callers_.set_limits(limits_for(tables_.settings));
    add_seed_nodes();
    log_event(event::settings_reloaded, {{"path", options_.settings_path}});
}

awaitable<void> edge_node::run_periodic_tasks()
{
    asio::steady_timer timer(io_);
    instant next_maintenance;
    instant next_summary = tables_.now() + summary_period;
    for (;;) {
        const instant now = tables_.now();
        log_.flush(now);
        if (now >= next_maintenance) {
            next_maintenance = now + maintenance_period;
            tables_.pool.close_expired(now);
            tables_.update_sharing_hosts();
            callers_.shed_connections();
            reload_settings();
        }
        if (now >= next_summary) {
            next_summary = now + summary_period;
            client_.log_calls();
            mesh_.log_traffic();
            log_tokens();
        }
        co_await sleep_on(timer, log_period);
    }
}

simple_response edge_node::answer_readiness(const simple_request& request)
{
    if (request.path != adapter::readiness_path)
        return {404, "text/plain", "no such path\n"};
    if (tables_.ready())
        return {200, "text/plain", "ready\n"};
    return {503, "text/plain",
            tables_.leaving ? "leaving\n" : "no configuration yet\n"};
}

/// The sum over a fleet is the amount that would be lost if all nodes failed.
void edge_node::log_tokens()
{
    tokens free;
    tokens reserved;
    tokens spent;
    for (const auto& [team, it] : tables_.token_balances.holdings()) {
        free += it.free;
        reserved += it.reserved;
        spent += it.spent;
    }
    log_event(
        event::tokens_held,
        {{"free", std::to_string(free.count())},
         {"reserved", std::to_string(reserved.count())},
         {"spent", std::to_string(spent.count())},
         {"in_transit", std::to_string(allocator_.in_transit().count())}});
}

/// The nodes that may be named to callers.
std::vector<entry_node> edge_node::entry_nodes() const
{
    std::vector<entry_node> out;
    const instant now = tables_.now();
    const auto& settings = tables_.settings;
    if (tables_.state() == mesh::node_state::ready)
        out.push_back({settings.listen.callers, settings.data_center,
                       settings.region, tables_.capacity(),
                       tables_.accepted_requests.at(now),
                       tables_.is_cut_off()});
    for (const mesh::peer_record* it : tables_.peers.alive(now)) {
        const mesh::node_heartbeat& last = it->last;
        if (last.state == mesh::node_state::ready &&
            !last.caller_address.empty())
            out.push_back({last.caller_address, last.data_center,
                           settings.region_of(last.data_center), last.capacity,
                           last.requests_per_second, last.cut_off});
    }
    return out;
}

simple_response edge_node::answer_entry(const simple_request& request)
{
    if (request.path != adapter::entry_path)
        return {404, "text/plain", "no such path\n"};
    const auto question = adapter::parse_entry_query(request.query);
    entry_query asker{question.data_center, question.region, {}};
    if (tables_.config)
        asker.regions = tables_.config->regions_of_host(question.host_name);
    const auto addresses =
        plan_entry(entry_nodes(), asker, tables_.options.entry);
    if (addresses.empty())
        return {503, "text/plain", "no node is ready\n"};
    const duration validity = std::min(options_.entry_validity,
                                       tables_.settings.entry_validity_limit);
    return {200, "application/json",
            adapter::encode_entry_response(addresses, validity)};
}

/// What callers hold, and the limits on it.
void edge_node::update_caller_gauges()
{
    const auto set = [this](const char* name, std::size_t value) {
        tables_.metrics.gauge_of(name).set(static_cast<std::int64_t>(value));
    };
    const dispatch::buffer_budget& buffers = callers_.buffers();
    const caller_server_limits& limits = callers_.limits();
    set("fennelladder_caller_connections", callers_.sessions());
    set("fennelladder_caller_connections_limit", limits.connections);
    set("fennelladder_buffered_bytes", buffers.held());
    set("fennelladder_buffered_bytes_limit", limits.buffered_bytes);
    set("fennelladder_buffered_bytes_served", buffers.held_by_served());
    set("fennelladder_buffered_bytes_served_limit", limits.body_bytes);
    set("fennelladder_requests_reading",
        buffers.exchanges() - buffers.served());
}

void edge_node::update_gauges()
{
    auto& metrics = tables_.metrics;
    update_caller_gauges();
    metrics.gauge_of("fennelladder_requests_under_way")
        .set(static_cast<std::int64_t>(callers_.requests_in_flight()));
    metrics.gauge_of("fennelladder_nodes_alive")
        .set(static_cast<std::int64_t>(
            tables_.peers.alive(tables_.now()).size() + 1));
    metrics.gauge_of("fennelladder_platform_reached")
        .set(tables_.platform.reached ? 1 : 0);
    metrics.gauge_of("fennelladder_configuration_version")
        .set(tables_.config
                 ? static_cast<std::int64_t>(tables_.config->version().value())
                 : 0);
    const auto age_of = [](std::optional<duration> age) {
        return age ? std::chrono::duration_cast<milliseconds>(*age).count()
                   : std::int64_t(-1);
    };
    const instant now = tables_.now();
    metrics.gauge_of("fennelladder_configuration_age_milliseconds")
        .set(age_of(tables_.configuration_freshness.age(now)));
    metrics.gauge_of("fennelladder_targets_age_milliseconds")
        .set(age_of(tables_.targets_freshness.age(now)));
    metrics.gauge_of("fennelladder_evacuations_age_milliseconds")
        .set(age_of(tables_.evacuations_freshness.age(now)));
    metrics.gauge_of("fennelladder_targets_lost")
        .set(static_cast<std::int64_t>(tables_.registry.reach().lost_count()));
    metrics.gauge_of("fennelladder_relayed_connections")
        .set(static_cast<std::int64_t>(mesh_.relayed()));
    metrics.gauge_of("fennelladder_target_connections_opened")
        .set(static_cast<std::int64_t>(tables_.pool.opened()));
    const auto& admission = tables_.admission;
    metrics.gauge_of("fennelladder_busy_permille")
        .set(std::llround(admission.busy_share(now) * 1000));
    metrics.gauge_of("fennelladder_backlog_milliseconds")
        .set(age_of(admission.standing_backlog()));
    const auto accepts = admission.max_accepts_per_second(now);
    // Without a limit: -1.
    metrics.gauge_of("fennelladder_accepted_connections_per_second_limit")
        .set(accepts ? std::llround(*accepts) : -1);
    metrics.gauge_of("fennelladder_busiest_resource")
        .set(admission.is_limiting() ? static_cast<int>(admission.busiest())
                                     : -1);
    metrics.gauge_of("fennelladder_admitted_per_second_limit")
        .set(admission.is_limiting() ? std::llround(admission.limit()) : -1);
    const dispatch::link_load& link = tables_.link.load();
    metrics.gauge_of("fennelladder_link_sent_permille")
        .set(std::llround(link.sent_share(now) * 1000));
    metrics.gauge_of("fennelladder_link_received_permille")
        .set(std::llround(link.received_share(now) * 1000));
    metrics.gauge_of("fennelladder_link_delay_milliseconds")
        .set(age_of(tables_.queueing_delay()));
    metrics.gauge_of("fennelladder_log_lines_dropped")
        .set(static_cast<std::int64_t>(log_.dropped()));
    for (const auto& [team, it] : tables_.token_balances.holdings()) {
        const telemetry::labels where{{"team", team.str()}};
        metrics.gauge_of("fennelladder_tokens_free", where)
            .set(it.free.count());
        metrics.gauge_of("fennelladder_tokens_reserved", where)
            .set(it.reserved.count());
        metrics.gauge_of("fennelladder_tokens_spent", where)
            .set(it.spent.count());
    }
}

simple_response edge_node::answer_metrics(const simple_request& request)
{
    if (is_for_quarantine(request))
        return answer_quarantine(tables_, quarantine_, request);
    if (request.path != options_.metrics_path)
        return {404, "text/plain", "no such path\n"};
    update_gauges();
    return {200, "text/plain; version=0.0.4", tables_.metrics.to_prometheus()};
}

} // namespace fennelladder::edge
