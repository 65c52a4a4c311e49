// Puts the parts together and runs their recurring work.

#include "fennelladder/node/node.hpp"
#include "fennelladder/manifest/objectives.hpp"
#include "fennelladder/telemetry/service_level.hpp"

#include "caller_api.hpp"
#include "fennelladder/base/hash.hpp"
#include "fennelladder/peer/messages.hpp"
#include "fennelladder/peer/thrift_peers.hpp"
#include "fennelladder/platform/budgeted_object_store.hpp"
#include "fennelladder/platform/platform_client.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "order_service.hpp"

#include <algorithm>

namespace fennelladder::node {

namespace {

constexpr duration beat = milliseconds(100);
// Below the shortest patience of a request that waits for tokens: a platform
// connection that went silent then costs no refusal.
constexpr duration platform_timeout = milliseconds(700);
constexpr duration second_beat = seconds(1);
constexpr duration host_list_interval = milliseconds(1900);
constexpr duration host_list_share = milliseconds(170);
constexpr duration host_list_look = seconds(2);
constexpr duration suspect_interval = milliseconds(50);
constexpr duration suspect_timeout = milliseconds(400);
constexpr duration drain_step = milliseconds(20);
constexpr duration not_ready_interval = seconds(10);
constexpr std::size_t call_threads = 8;
constexpr std::size_t most_calls = 10'000;

// After an outage every shard has records waiting, and each of a leaving node
// needs several writes in a row. At a twentieth of the rate, recovering over
// half a minute, that took longer than a graceful shutdown may.
platform::call_gate_options gate_options()
{
    platform::call_gate_options options;
    for (platform::call_budget_options* it :
         {&options.reads, &options.writes}) {
        it->least_share = 0.25;
        it->recovery = seconds(5);
    }
    return options;
}

// No two lives of a host draw the same number: it holds the wall clock's
// nanoseconds at the start.
incarnation_id draw_incarnation(const node_options& options, instant now)
{
    const auto bits = static_cast<std::uint64_t>(to_nanoseconds(now));
    return incarnation_id(options.host.str() + "." + to_hex(bits));
}

} // namespace

struct node::parts final : peer::peer_handler
{
    parts(const node_options& with, const clock& time);

    result<std::string> handle_request(peer::topic what,
                                       std::string_view message) override;
    status listen();
    void start_work();
    void on_configuration(const manifest_pointer& config);
    void open_ledger();
    void push_suspects();
    void look_at_hosts();
    bool takes_work() const;
    run_tools tools();

    // In order of construction; destroyed the other way round.
    const node_options options;
    const clock& time;
    const incarnation_id self;
    http::client connections;
    fault_links links;
    platform::platform_client platform;
    cut_object_store store;
    platform::call_gate gate;
    platform::budgeted_object_store safety_store;
    platform::budgeted_object_store refill_store;
    platform::budgeted_object_store telemetry_store;
    peer::thrift_peer_network network;
    cut_peers peers;
    telemetry::metrics metrics;
    telemetry::service_level_meter levels{{}, {}};
    std::atomic<bool> stopping{false};
    std::atomic<bool> serving{false};
    instant not_ready_again; // Of the ledger's task alone.
    call_queue calls;
    call_queue suspect_calls;
    member_service members;
    configuration_service config;
    request::suspect_list suspects;
    routing::router routes;
    target_service targets;
    ledger_service ledger;
    request::request_table table;
    request::retry_budget retries;
    caller_api api;
    order_service orders;
    std::unique_ptr<peer::thrift_peer_server> peer_server;
    std::unique_ptr<http::server> caller_server;
    instant hosts_at; // of the last look, on the task's thread only
    recurring_tasks tasks;
};

node::parts::parts(const node_options& with, const clock& clock_of_node)
    : options(with), time(clock_of_node),
      self(draw_incarnation(options, time.now())),
      connections(http::client_options{}),
      platform(connections,
               {.url = options.platform_url, .call_timeout = platform_timeout}),
      store(platform, links), gate(time, gate_options()),
      safety_store(store, gate, platform::call_class::safety),
      refill_store(store, gate, platform::call_class::refill),
      telemetry_store(store, gate, platform::call_class::telemetry),
      network({}), peers(network, links), calls(call_threads, most_calls),
      suspect_calls(2, most_calls), members(options, self, peers, time, calls),
      config(options, self, refill_store, peers, members, time, calls,
             [this](const manifest_pointer& it) { on_configuration(it); }),
      suspects(self, {}),
      routes({.table = {.own_data_center = options.data_center}}, time,
             options.seed + 100),
      targets(connections, routes, suspects, time, calls),
      ledger(options, self, safety_store, peers, members, config, time, calls),
      table({.seed = options.seed}), retries({}, time.now()),
      api(tools(), config, members, connections, metrics, levels, options.seed),
      orders(
          self, refill_store, time, options.seed + 200,
          [this](std::string_view duty) {
              return members.rank(duty, true) == 0;
          },
          make_engine_clients(connections))
{}

run_tools node::parts::tools()
{
    return {options,
            self,
            time,
            ledger,
            targets,
            routes,
            table,
            suspects,
            retries,
            stopping,
            [this] { push_suspects(); }};
}

result<std::string> node::parts::handle_request(peer::topic what,
                                                std::string_view message)
{
    if (links.peers_are_cut())
        return fail(error_code::unavailable, "the link is cut");
    switch (what) {
    case peer::topic::heartbeat:
        return members.on_heartbeat(message);
    case peer::topic::append:
        return ledger.on_append(message);
    case peer::topic::transfer:
        return ledger.on_transfer(message);
    case peer::topic::witness:
        return ledger.on_witness(message);
    case peer::topic::keep_bills:
        return ledger.on_copies(message);
    case peer::topic::configuration:
        return config.answer(message);
    case peer::topic::suspects: {
        const auto asked = peer::decode_suspects_request(message);
        if (!asked)
            return tl::unexpected(asked.error());
        return peer::encode(suspects.merge(asked->records, time.now()));
    }
    case peer::topic::layout:
        return ledger.on_layout();
    case peer::topic::outcome:
        break;
    }
    return fail(error_code::invalid, "unknown topic");
}

status node::parts::listen()
{
    ledger.on_billed([this](const team_id& team, const request_key& key) {
        table.mark_durable(team, key);
    });
    auto peer_made =
        peer::thrift_peer_server::start(options.peer_listen, *this, {});
    if (!peer_made)
        return tl::unexpected(peer_made.error());
    peer_server = std::move(*peer_made);
    auto made = http::server::start(
        {.listen = options.caller_listen, .threads = options.threads},
        [this](http::exchange& it) { api.serve(it); });
    if (!made)
        return tl::unexpected(made.error());
    caller_server = std::move(*made);
    return {};
}

void node::parts::start_work()
{
    members.describe(caller_server->address(), peer_server->address());
    tasks.add(second_beat, [this] {
        const auto share = 1000 * api.active() / std::max(options.threads, 1);
        members.set_load(static_cast<std::uint32_t>(share));
    });
    tasks.add(beat, [this] { members.tick(); });
    tasks.add(second_beat, [this] { orders.tick(config.in_force()); });
    tasks.add(beat, [this] { config.tick(); });
    tasks.add(milliseconds(1), [this] { config.watch(); });
    tasks.add(beat, [this] {
        if (!ledger.is_open())
            open_ledger();
        ledger.tick();
    });
    tasks.add(second_beat, [this] {
        ledger.tend();
        config.write_status(takes_work());
        table.expire(time.now());
    });
    tasks.add(options.load_interval, [this] { targets.tick(); });
    tasks.add(suspect_interval, [this] { push_suspects(); });
    tasks.add(host_list_look, [this] { look_at_hosts(); });
}

void node::parts::on_configuration(const manifest_pointer& it)
{
    targets.apply(it);
    levels.set_objectives(manifest::service_levels_of(it->objectives()));
    ledger.on_configuration(time.now());
}

// The journal's layout is read once; without the platform and without an open
// peer that has it, this node takes no work yet.
void node::parts::open_ledger()
{
    if (!config.in_force())
        return;
    if (const auto ok = ledger.open(); !ok) {
        const instant now = time.now();
        if (now < not_ready_again)
            return;
        not_ready_again = now + not_ready_interval;
        telemetry::log_event(
            telemetry::event::node_not_ready,
            {{"host", options.host.str()}, {"message", ok.error().message}});
        return;
    }
    serving = true;
    members.set_state(membership::member_state::serving);
    telemetry::log_event(telemetry::event::node_started,
                         {{"host", options.host.str()},
                          {"incarnation", self.str()},
                          {"address", caller_server->address()}});
}

void node::parts::push_suspects()
{
    suspects.expire(time.now());
    std::set<incarnation_id> others;
    const auto view = members.peers();
    // A node that can't be reached may run a copy of a suspect all the same;
    // only one that left the host list can't.
    for (const peer_info& it : *view) {
        if (!it.life.empty() && (it.up || it.listed))
            others.insert(it.life);
    }
    suspects.set_peers(others);
    for (const peer_info& it : *view) {
        if (!it.up)
            continue;
        auto pending = suspects.pending_for(it.life);
        if (pending.empty())
            continue;
        suspect_calls.post([this, to = it, pending = std::move(pending)] {
            const auto bytes = peers.send_request(
                to.address, peer::topic::suspects,
                peer::encode(peer::suspects_request{self, pending}),
                suspect_timeout);
            if (!bytes)
                return;
            if (const auto acks = peer::decode_suspects_response(*bytes))
                suspects.on_ack(to.life, *acks);
        });
    }
}

void node::parts::look_at_hosts()
{
    // The platform counts each call: the fleet asks six times a second at
    // most, however many nodes it has.
    const auto up = static_cast<std::int64_t>(members.peers()->size());
    const duration due =
        std::max<duration>(host_list_interval, up * host_list_share);
    const instant now = time.now();
    if (links.platform_is_cut() || now - hosts_at < due)
        return;
    hosts_at = now;
    const auto page = platform.hosts();
    if (!page)
        return;
    std::vector<platform::listed_host> nodes;
    std::vector<target_id> leaving;
    const auto current = config.in_force();
    for (const platform::listed_host& it : page->hosts) {
        const target_id target(it.host.str());
        if (current && current->find_target(target) != nullptr) {
            if (it.leaving)
                leaving.push_back(target);
            continue;
        }
        nodes.push_back(it);
    }
    targets.set_leaving(leaving);
    members.set_host_list(nodes);
}

bool node::parts::takes_work() const
{
    return serving && !stopping && config.may_take_work();
}

node::node(std::unique_ptr<parts> made) : parts_(std::move(made))
{}

result<std::unique_ptr<node>> node::start(const node_options& options,
                                          const clock& time)
{
    auto made = std::make_unique<parts>(options, time);
    if (auto ok = made->listen(); !ok)
        return tl::unexpected(ok.error());
    made->start_work();
    return std::unique_ptr<node>(new node(std::move(made)));
}

node::~node()
{
    parts_->stopping = true;
    parts_->routes.close();
    parts_->tasks.stop();
    parts_->calls.stop();
    parts_->suspect_calls.stop();
    parts_->peer_server.reset();
    parts_->caller_server.reset();
}

std::string node::caller_address() const
{
    return parts_->caller_server->address();
}

peer::peer_address node::peer_address() const
{
    return parts_->peer_server->address();
}

const incarnation_id& node::incarnation() const
{
    return parts_->self;
}

generation node::in_force() const
{
    const auto current = parts_->config.in_force();
    return current ? current->number() : generation();
}

bool node::takes_work() const
{
    return parts_->takes_work();
}

std::size_t node::peers_up() const
{
    const auto view = parts_->members.peers();
    return static_cast<std::size_t>(
        std::ranges::count_if(*view, &peer_info::up));
}

void node::die()
{
    parts& it = *parts_;
    history::record(it.options.history, it.time.now(),
                    history::node_id(it.self.str()), history::died{});
    it.links.cut_platform(true);
    it.links.cut_peers(true);
    it.stopping = true;
    it.orders.stop();
    it.caller_server->abort();
}

fault_links& node::links()
{
    return parts_->links;
}

bool node::shut_down(duration limit)
{
    parts& it = *parts_;
    const instant until = it.time.now() + limit;
    history::record(it.options.history, it.time.now(),
                    history::node_id(it.self.str()), history::shutdown_begin{});
    telemetry::log_event(telemetry::event::node_stopping,
                         {{"host", it.options.host.str()}});
    it.members.set_state(membership::member_state::draining);
    it.stopping = true;
    it.orders.leave();
    bool done = false;
    while (!done && it.time.now() < until) {
        done = it.api.active() == 0 && it.ledger.drain() && it.orders.is_out();
        if (!done)
            std::this_thread::sleep_for(drain_step);
    }
    if (!done)
        telemetry::log_event(telemetry::event::node_left_unclean,
                             {{"host", it.options.host.str()},
                              {"active", std::to_string(it.api.active())},
                              {"message", it.ledger.what_is_out()}});
    it.members.set_state(membership::member_state::gone);
    it.members.tick();
    history::record(it.options.history, it.time.now(),
                    history::node_id(it.self.str()), history::shutdown_end{});
    telemetry::log_event(telemetry::event::node_stopped,
                         {{"host", it.options.host.str()}});
    return done;
}

} // namespace fennelladder::node
