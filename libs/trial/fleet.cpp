#include "fennelladder/trial/fleet.hpp"

#include "fennelladder/manifest/apply.hpp"

#include <algorithm>
#include <array>
#include <thread>

namespace fennelladder::trial {

namespace {

constexpr duration start_limit = seconds(20);
constexpr duration leave_limit = seconds(20);
constexpr duration look_interval = milliseconds(20);
constexpr duration poison_restart = milliseconds(400);
constexpr double lost_share = 0.3;
constexpr std::size_t dying_node = 1;
constexpr std::size_t parted_node = 0;

struct fault_name
{
    fault what;
    std::string_view name;
};

constexpr auto fault_names = std::to_array<fault_name>({
    {fault::none, "none"},
    {fault::node_death, "node-death"},
    {fault::target_death, "target-death"},
    {fault::store_outage, "store-outage"},
    {fault::partition, "partition"},
    {fault::silent_connection, "silent-connection"},
    {fault::lost_store_reply, "lost-store-reply"},
    {fault::poison, "poison"},
    {fault::restart, "restart"},
});

} // namespace

std::string_view to_string(fault what)
{
    return std::ranges::find(fault_names, what, &fault_name::what)->name;
}

result<fault> parse_fault(std::string_view name)
{
    const auto it = std::ranges::find(fault_names, name, &fault_name::name);
    if (it == fault_names.end())
        return fail(error_code::invalid, "no fault " + std::string(name));
    return it->what;
}

fleet::fleet(const deployment_plan& plan, const fleet_options& options,
             const clock& time)
    : plan_(plan), options_(options), time_(time)
{}

fleet::~fleet() = default;

void fleet::record_execution(const standin::execution& it)
{
    if (it.phase != standin::execution_phase::started)
        return;
    history::record(
        options_.history, time_.now(), history::node_id(it.target),
        history::executed{it.key, target_id(it.target), it.attempt});
}

status fleet::start_targets()
{
    const auto observe = [this](const standin::execution& it) {
        record_execution(it);
    };
    const auto engine = [&](const target_id& id) {
        standin::engine_server_options with;
        with.name = id.str();
        with.engine.step = plan_.engine_step;
        with.seed = options_.seed;
        with.restart_after = poison_restart;
        with.on_execution = observe;
        return std::make_unique<standin::engine_server>(with);
    };
    for (int n = 0; n < plan_.long_engines; ++n)
        long_engines_.push_back(
            engine(long_engine(static_cast<std::size_t>(n))));
    for (int n = 0; n < plan_.short_engines; ++n)
        short_engines_.push_back(
            engine(short_engine(static_cast<std::size_t>(n))));
    for (int n = 0; n < plan_.services; ++n) {
        standin::service_server_options with;
        with.name = service_host(static_cast<std::size_t>(n)).str();
        with.on_execution = observe;
        services_.push_back(std::make_unique<standin::service_server>(with));
    }
    const auto up = [](const auto& it) { return it->started(); };
    if (std::ranges::all_of(long_engines_, up) &&
        std::ranges::all_of(short_engines_, up) &&
        std::ranges::all_of(services_, up))
        return {};
    return fail(error_code::unavailable, "a target can't listen");
}

status fleet::apply_manifest()
{
    target_addresses at;
    for (const auto& it : long_engines_)
        at.long_engines.push_back(it->port());
    for (const auto& it : short_engines_)
        at.short_engines.push_back(it->port());
    for (const auto& it : services_)
        at.services.push_back(it->port());
    manifest::applier one(platform_->objects(), {},
                          [](duration it) { std::this_thread::sleep_for(it); });
    const instant now = time_.now();
    const auto receipt = one.apply({.manifest = make_manifest(plan_, at),
                                    .apply = apply_id("trial"),
                                    .who = "trial",
                                    .at = now});
    if (!receipt)
        return tl::unexpected(receipt.error());
    history::record(
        options_.history, now, history::node_id("operator"),
        history::config_accepted{receipt->number, receipt->hash.str()});
    return {};
}

status fleet::start_node(std::size_t place)
{
    node::node_options with;
    with.host = host_id(plan_.data_centers[place].str() + "-1");
    with.data_center = plan_.data_centers[place];
    with.region = plan_.region;
    with.platform_url = platform_->url();
    with.threads = options_.node_threads;
    with.shards = 4;
    with.seed = options_.seed + static_cast<std::uint64_t>(++lives_) * 1000;
    with.history = options_.history;
    auto made = node::node::start(with, time_);
    if (!made)
        return tl::unexpected(made.error());
    {
        const std::lock_guard lock(mutex_);
        nodes_[place] = std::move(*made);
    }
    tell_hosts();
    return {};
}

void fleet::tell_hosts()
{
    std::vector<platform::listed_host> hosts;
    const std::lock_guard lock(mutex_);
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (!nodes_[n])
            continue;
        hosts.push_back({host_id(plan_.data_centers[n].str() + "-1"),
                         nodes_[n]->peer_address(), plan_.data_centers[n],
                         plan_.region, false});
    }
    platform_->set_hosts(std::move(hosts));
}

status fleet::wait_until_ready()
{
    const instant until = time_.now() + start_limit;
    while (time_.now() < until) {
        bool ready = true;
        {
            const std::lock_guard lock(mutex_);
            for (const auto& it : nodes_)
                ready = ready && it && it->takes_work() &&
                        it->peers_up() + 1 == nodes_.size();
        }
        if (ready)
            return {};
        std::this_thread::sleep_for(look_interval);
    }
    return fail(error_code::unavailable, "the nodes don't get ready");
}

result<std::unique_ptr<fleet>> fleet::start(const deployment_plan& plan,
                                            const fleet_options& options,
                                            const clock& time)
{
    std::unique_ptr<fleet> it(new fleet(plan, options, time));
    it->platform_ = std::make_unique<standin::platform_server>(
        standin::platform_server_options{.seed = options.seed});
    if (!it->platform_->started())
        return fail(error_code::unavailable, "the platform can't listen");
    if (auto ok = it->start_targets(); !ok)
        return tl::unexpected(ok.error());
    if (auto ok = it->apply_manifest(); !ok)
        return tl::unexpected(ok.error());
    it->nodes_.resize(plan.data_centers.size());
    for (std::size_t n = 0; n < it->nodes_.size(); ++n) {
        if (auto ok = it->start_node(n); !ok)
            return tl::unexpected(ok.error());
    }
    if (auto ok = it->wait_until_ready(); !ok)
        return tl::unexpected(ok.error());
    return it;
}

std::vector<std::string> fleet::addresses() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> all;
    for (const auto& it : nodes_) {
        if (it)
            all.push_back(it->caller_address());
    }
    return all;
}

std::vector<std::string> fleet::engine_urls(const model_id& model) const
{
    std::vector<std::string> all;
    const auto add = [&](const auto& engines) {
        for (const auto& it : engines)
            all.push_back(it->url());
    };
    if (model == plan_.long_model)
        add(long_engines_);
    if (model == plan_.short_model)
        add(short_engines_);
    return all;
}

void fleet::begin(fault what)
{
    switch (what) {
    case fault::none:
    case fault::poison: // a caller brings it
        return;
    case fault::node_death: {
        const std::lock_guard lock(mutex_);
        nodes_[dying_node]->die();
        dead_.push_back(std::move(nodes_[dying_node]));
        return;
    }
    case fault::target_death:
        long_engines_.front()->crash();
        return;
    case fault::store_outage:
        platform_->set_faults({.outage = true});
        return;
    case fault::partition: {
        const std::lock_guard lock(mutex_);
        nodes_[parted_node]->links().cut_platform(true);
        nodes_[parted_node]->links().cut_peers(true);
        return;
    }
    case fault::silent_connection:
        long_engines_.back()->silence_open_connections();
        short_engines_.back()->silence_open_connections();
        services_.back()->silence_open_connections();
        platform_->silence_open_connections();
        return;
    case fault::lost_store_reply:
        platform_->set_faults({.lost_reply = lost_share});
        return;
    case fault::restart:
        restart_all();
        return;
    }
}

void fleet::end(fault what)
{
    switch (what) {
    case fault::node_death:
        tell_hosts();
        if (!start_node(dying_node))
            return;
        return;
    case fault::target_death:
        long_engines_.front()->restart();
        return;
    case fault::store_outage:
    case fault::lost_store_reply:
        platform_->set_faults({});
        return;
    case fault::partition: {
        const std::lock_guard lock(mutex_);
        nodes_[parted_node]->links().cut_platform(false);
        nodes_[parted_node]->links().cut_peers(false);
        return;
    }
    default:
        return;
    }
}

void fleet::restart_all()
{
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        std::shared_ptr<node::node> old;
        {
            const std::lock_guard lock(mutex_);
            old = nodes_[n];
        }
        if (!old)
            continue;
        old->shut_down(leave_limit);
        {
            const std::lock_guard lock(mutex_);
            nodes_[n].reset();
        }
        old.reset();
        if (!start_node(n))
            return;
        // One at a time: the next leaves when this one takes work.
        if (!wait_until_ready())
            return;
    }
}

bool fleet::shut_down()
{
    std::vector<std::shared_ptr<node::node>> leaving;
    {
        const std::lock_guard lock(mutex_);
        leaving.swap(nodes_);
    }
    bool clean = true;
    for (auto& it : leaving) {
        if (it)
            clean = it->shut_down(leave_limit) && clean;
    }
    leaving.clear();
    dead_.clear();
    return clean;
}

std::vector<standin::execution> fleet::executions() const
{
    std::vector<standin::execution> all;
    const auto add = [&](const auto& servers) {
        for (const auto& it : servers) {
            const auto some = it->executions();
            all.insert(all.end(), some.begin(), some.end());
        }
    };
    add(long_engines_);
    add(short_engines_);
    add(services_);
    return all;
}

std::uint32_t fleet::crashes() const
{
    std::uint32_t all = 0;
    for (const auto& it : long_engines_)
        all += it->crashes();
    for (const auto& it : short_engines_)
        all += it->crashes();
    return all;
}

} // namespace fennelladder::trial
