// `fennelladder bench config`: cost of distributing the configuration.
//
// By size: manifests with a growing number of budgets are parsed, split,
// accepted and loaded by one node, with all bytes actually encoded; then one
// budget is changed. By fleet: nodes with a small manifest run in virtual time,
// with fixed times for calls and heartbeats, until a change is in force
// everywhere. Memory is what the allocator has handed out.

#include "benches.hpp"
#include "command.hpp"

#include "fennelladder/manifest/apply.hpp"
#include "fennelladder/manifest/configuration_holder.hpp"
#include "fennelladder/manifest/parse.hpp"
#include "fennelladder/manifest/synthetic.hpp"
#include "fennelladder/platform/memory_object_store.hpp"
#include "fennelladder/settings/settings.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace fennelladder::app {

namespace {

using namespace fennelladder::manifest;
using nlohmann::json;

constexpr instant start = from_nanoseconds(3'600'000'000'000);
constexpr std::size_t lookups = 200'000;
constexpr double changes_per_day = 320;
constexpr double day_seconds = 86'400;

double cpu_seconds()
{
    return double(std::clock()) / CLOCKS_PER_SEC;
}

template <class Call>
double cpu_seconds_of(const Call& call)
{
    const double began = cpu_seconds();
    call();
    return cpu_seconds() - began;
}

std::size_t allocated_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// A store that counts calls and the bytes of values written and read.
class counting_store final : public platform::object_store
{
public:
    std::size_t calls = 0;
    std::size_t written = 0;
    std::size_t read = 0;

    result<platform::stored_object>
    get(const platform::object_key& key) override
    {
        ++calls;
        auto got = inner_.get(key);
        read += got ? got->value.size() : 0;
        return got;
    }

    result<object_version> put(const platform::object_key& key,
                               std::string_view value,
                               platform::write_condition condition) override
    {
        ++calls;
        written += value.size();
        return inner_.put(key, value, condition);
    }

    status erase(const platform::object_key& key,
                 platform::write_condition condition) override
    {
        ++calls;
        return inner_.erase(key, condition);
    }

    result<platform::object_page> list(std::string_view prefix,
                                       const platform::object_key& after,
                                       std::size_t limit) override
    {
        ++calls;
        auto page = inner_.list(prefix, after, limit);
        for (const auto& it : page->objects)
            read += it.value.size();
        return page;
    }

    result<platform::change_page> watch(std::string_view prefix,
                                        std::uint64_t revision,
                                        duration wait) override
    {
        ++calls;
        return inner_.watch(prefix, revision, wait);
    }

private:
    platform::memory_object_store inner_;
};

/// Performs a fetch from the platform and passes the reply to the holder.
void perform_fetch(const fetch& it, platform::object_store& store,
                   configuration_holder& holder, instant now)
{
    constexpr std::size_t page_limit = 1'000;
    if (it.what == fetch_kind::parts)
        return holder.on_page(
            it.call, store.list(part_prefix(), it.after, page_limit), now);
    const auto key =
        it.what == fetch_kind::root ? root_key() : part_key(it.part);
    holder.on_answer(
        it.call, store.get(key).map([](const auto& got) { return got.value; }),
        now);
}

/// Runs one node until it has loaded generation `wanted`. Returns CPU seconds.
double load_generation(platform::object_store& store,
                       configuration_holder& holder, generation wanted,
                       instant& now)
{
    return cpu_seconds_of([&] {
        while (holder.announce().number < wanted) {
            now += milliseconds(100);
            for (const fetch& it : holder.step(now))
                perform_fetch(it, store, holder, now);
        }
    });
}

apply_request make_request(document manifest, int n)
{
    apply_request made;
    made.manifest = std::move(manifest);
    made.apply = apply_id("bench-" + std::to_string(n));
    made.who = "bench";
    made.at = start;
    return made;
}

void measure_lookups(const active_manifest& config, std::size_t budgets,
                     std::size_t teams, json& row)
{
    random_source random(3);
    std::size_t found = 0;
    const double budget_time = cpu_seconds_of([&] {
        for (std::size_t n = 0; n < lookups; ++n)
            found += config
                         .find_budget(budget_id(
                             "budget-" + std::to_string(random.below(budgets))))
                         .has_value();
    });
    const double team_time = cpu_seconds_of([&] {
        for (std::size_t n = 0; n < lookups; ++n)
            found +=
                config.find_team(team_id(
                    "team-" + std::to_string(random.below(teams)))) != nullptr;
    });
    // Must be 2 x lookups, else the times are invalid.
    row["lookups_found"] = found;
    row["find_budget_ns"] = budget_time / lookups * 1e9;
    row["find_team_ns"] = team_time / lookups * 1e9;
}

/// Bytes per second that a node reads when it polls the root, once the root's
/// history is full.
double poll_bytes_per_second(platform::object_store& store)
{
    root full = *decode_root(store.get(root_key())->value);
    full.history.resize(root::history_limit, full.change);
    return double(encode(full).size()) /
           to_seconds(holder_options{}.poll_every);
}

json measure_size(std::size_t budgets)
{
    const std::size_t teams =
        std::max<std::size_t>(10, budgets * 8'200 / 350'000);
    document manifest = make_synthetic({.teams = teams,
                                        .budgets = budgets,
                                        .targets = 600,
                                        .models = 37,
                                        .models_per_team = 10,
                                        .data_centers = 6});
    json row = {{"budgets", budgets}, {"teams", teams}};
    const std::string text = encode(manifest);
    row["manifest_bytes"] = text.size();
    row["parse_seconds"] = cpu_seconds_of([&] {
        if (!parse(text, "bench").ok())
            row["invalid"] = true;
    });
    row["split_seconds"] = cpu_seconds_of([&] {
        const auto encoded = split(manifest, nullptr);
        std::size_t bytes = 0;
        std::size_t largest = 0;
        for (const auto& [name, part] : encoded->parts) {
            bytes += part.size();
            largest = std::max(largest, part.size());
        }
        row["parts"] = encoded->parts.size();
        row["parts_bytes"] = bytes;
        row["largest_part_bytes"] = largest;
    });

    counting_store store;
    applier operators(store, {}, [](duration) {});
    const auto first = operators.apply(make_request(manifest, 1));
    instant now = start;
    const std::size_t before = allocated_bytes();
    auto holder = std::make_unique<configuration_holder>(holder_options{},
                                                         random_source(1), now);
    store.calls = store.read = 0;
    row["node_start_seconds"] =
        load_generation(store, *holder, first->number, now);
    row["node_start_calls"] = store.calls;
    row["node_start_bytes"] = store.read;
    row["node_memory_bytes"] = allocated_bytes() - before;
    measure_lookups(*holder->in_force(), budgets, teams, row);
    row["node_memory_bytes_all_teams_used"] = allocated_bytes() - before;

    manifest.budgets[budgets / 2].topups.push_back(
        {topup_id("more"), tokens(5)});
    store.calls = store.written = 0;
    const auto second = operators.apply(make_request(std::move(manifest), 2));
    row["change_upload_calls"] = store.calls;
    row["change_upload_bytes"] = store.written;
    store.calls = store.read = 0;
    row["change_node_seconds"] =
        load_generation(store, *holder, second->number, now);
    row["change_node_calls"] = store.calls;
    row["change_node_bytes"] = store.read;
    row["changes_node_bytes_per_second"] =
        double(store.read) * changes_per_day / day_seconds;
    row["polls_node_bytes_per_second"] = poll_bytes_per_second(store);
    return row;
}

/// The ways in which updates reach the nodes in a fleet's run.
struct propagation_case
{
    const char* name;
    std::size_t watches; ///< Nodes whose watch reports changes.
    bool heartbeats;     ///< Peers announce their generation.
    bool platform;       ///< Stays up once a node has the change.
};

/// Nodes in virtual time. A call to the platform takes 5 ms, one to a peer 3
/// ms, and each node sends two heartbeats a second, each to a random peer.
class fleet
{
public:
    fleet(std::size_t count, const propagation_case& propagation)
        : case_(propagation), random_(9)
    {
        for (std::size_t to = 0; to < count; ++to) {
            holders_.push_back(std::make_unique<configuration_holder>(
                holder_options{}, random_.fork(), now_));
            holders_.back()->set_fleet_size(count);
        }
        next_heartbeat_.assign(count, now_);
    }

    void accept(int n)
    {
        document manifest = make_synthetic({.teams = 20, .budgets = 100});
        manifest.budgets[0].topups[0].amount = tokens(n);
        wanted_ =
            operators_.apply(make_request(std::move(manifest), n))->number;
        const std::string bytes = store_.get(root_key())->value;
        const std::size_t count = std::min(case_.watches, holders_.size());
        for (std::size_t to = 0; to < count; ++to)
            at(platform_time,
               [this, bytes, to] { holders_[to]->on_watch(bytes, now_); });
    }

    /// Runs until the newest generation is in force on all nodes, or until
    /// `limit` has passed. Returns virtual seconds.
    double run_until_in_force(duration limit)
    {
        const instant began = now_;
        while (!in_force_everywhere() && now_ - began < limit) {
            tick();
            if (!case_.platform && reached() > 0 && wanted_.value() > 1)
                platform_up_ = false;
        }
        return to_seconds(now_ - began);
    }

    void run(duration length)
    {
        for (const instant until = now_ + length; now_ < until;)
            tick();
    }

    bool in_force_everywhere() const { return reached() == holders_.size(); }

    std::uint64_t platform_calls() const
    {
        std::uint64_t sum = 0;
        for (const auto& it : holders_)
            sum += it->counts().platform_calls;
        return sum;
    }

    std::uint64_t peer_calls() const
    {
        std::uint64_t sum = 0;
        for (const auto& it : holders_)
            sum += it->counts().peer_calls;
        return sum;
    }

private:
    static constexpr duration platform_time = milliseconds(5);
    static constexpr duration peer_time = milliseconds(3);
    static constexpr duration heartbeat_interval = milliseconds(500);

    std::size_t reached() const
    {
        return std::size_t(std::ranges::count_if(holders_, [&](const auto& it) {
            return it->announce().number == wanted_;
        }));
    }

    void at(duration after, std::function<void()> what)
    {
        pending_.emplace(now_ + after, std::move(what));
    }

    void tick()
    {
        now_ += milliseconds(5);
        while (!pending_.empty() && pending_.begin()->first <= now_) {
            const auto what = std::move(pending_.begin()->second);
            pending_.erase(pending_.begin());
            what();
        }
        for (std::size_t n = 0; n < holders_.size(); ++n) {
            if (holders_[n]->next_step() <= now_)
                step(*holders_[n]);
            if (case_.heartbeats && next_heartbeat_[n] <= now_)
                send_heartbeat(n);
        }
    }

    void step(configuration_holder& holder)
    {
        for (const fetch& it : holder.step(now_)) {
            if (it.from_platform())
                at(platform_time, [this, it, &holder] {
                    if (platform_up_)
                        perform_fetch(it, store_, holder, now_);
                    else
                        holder.on_answer(it.call,
                                         fail(error_code::unavailable, "down"),
                                         now_);
                });
            else
                at(peer_time, [this, it, &holder] {
                    holder.on_answer(it.call, fetch_from_peer(it), now_);
                });
        }
    }

    result<std::string> fetch_from_peer(const fetch& it) const
    {
        const auto config = holders_[std::stoul(it.peer.str())]->in_force();
        if (it.what == fetch_kind::root)
            return encode(config->accepted());
        const auto part = config->parts().find(it.part);
        if (part == config->parts().end())
            return fail(error_code::not_found, "part");
        return *part->second;
    }

    void send_heartbeat(std::size_t n)
    {
        next_heartbeat_[n] = now_ + jitter(random_, heartbeat_interval);
        const announcement announced = holders_[n]->announce();
        const std::size_t to = random_.below(holders_.size());
        if (to != n && announced.number.value() > 0)
            at(peer_time, [this, n, to, announced] {
                holders_[to]->on_announcement(incarnation_id(std::to_string(n)),
                                              announced);
            });
    }

    propagation_case case_;
    random_source random_;
    instant now_ = start;
    platform::memory_object_store store_;
    applier operators_{store_, {}, [](duration) {}};
    std::vector<std::unique_ptr<configuration_holder>> holders_;
    std::vector<instant> next_heartbeat_;
    std::multimap<instant, std::function<void()>> pending_;
    generation wanted_;
    bool platform_up_ = true;
};

json measure_fleet(std::size_t nodes, const propagation_case& propagation)
{
    constexpr duration limit = minutes(5);
    constexpr duration quiet = seconds(60);
    fleet all(nodes, propagation);
    all.accept(1);
    all.run_until_in_force(limit);
    const auto idle_before = all.platform_calls();
    const double idle_cpu = cpu_seconds_of([&] { all.run(quiet); });
    const auto idle_calls = all.platform_calls() - idle_before;
    const auto calls = all.platform_calls();
    const auto peers = all.peer_calls();
    all.accept(2);
    const double seconds_to_in_force = all.run_until_in_force(limit);
    return {
        {"nodes", nodes},
        {"case", propagation.name},
        {"in_force_seconds", seconds_to_in_force},
        {"in_force_everywhere", all.in_force_everywhere()},
        {"platform_calls_for_change", all.platform_calls() - calls},
        {"peer_calls_for_change", all.peer_calls() - peers},
        {"platform_polls_per_second", double(idle_calls) / to_seconds(quiet)},
        {"idle_processor_share_per_node",
         idle_cpu / to_seconds(quiet) / double(nodes)}};
}

void print_table(const json& rows)
{
    for (const json& row : rows) {
        for (const auto& [name, value] : row.items())
            std::cout << "  " << std::left << std::setw(32) << name << value
                      << '\n';
        std::cout << '\n';
    }
}

} // namespace

int run_bench_config(int argc, char** argv)
{
    settings::settings flags(
        "config", "Cost of the configuration by its size and the fleet's.");
    flags.choice("format", {"table", "json"}, "format of the results");
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    static constexpr propagation_case cases[] = {
        {"every node watches", SIZE_MAX, true, true},
        {"12 nodes watch", 12, true, true},
        {"watches silent", 0, true, true},
        {"watches silent, no heartbeats", 0, false, true},
        {"platform down after the first node", 0, true, false}};
    json out = {{"by_size", json::array()}, {"by_fleet", json::array()}};
    for (const std::size_t budgets : {1'000U, 10'000U, 100'000U, 350'000U})
        out["by_size"].push_back(measure_size(budgets));
    for (const std::size_t nodes : {8U, 32U, 128U, 340U}) {
        for (const propagation_case& it : cases)
            out["by_fleet"].push_back(measure_fleet(nodes, it));
    }
    if (flags.text_of("format") == "json")
        std::cout << out.dump() << '\n';
    else {
        print_table(out["by_size"]);
        print_table(out["by_fleet"]);
    }
    const bool all = std::ranges::all_of(out["by_fleet"], [](const json& it) {
        return it["in_force_everywhere"].get<bool>();
    });
    return all ? exit_success : exit_failure;
}

} // namespace fennelladder::app
