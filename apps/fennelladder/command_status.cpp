// `fennelladder status`: shows whether the fleet is at the accepted generation,
// and the state of nodes, targets, budgets and platform.
//
// Queries platform and targets directly and no node, so that it works when no
// node answers. Targets are queried by a few threads, each of which takes the
// next index from a shared counter and writes only to the row of that index.

#include "books_reader.hpp"
#include "command.hpp"
#include "commands.hpp"

#include "fennelladder/budget/report.hpp"
#include "fennelladder/http/client.hpp"
#include "fennelladder/manifest/rollout.hpp"
#include "fennelladder/platform/platform_client.hpp"
#include "fennelladder/platform/platform_health.hpp"
#include "fennelladder/settings/settings.hpp"
#include "fennelladder/target/http_target_client.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace fennelladder::app {

namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t query_threads = 16;
constexpr duration target_timeout = seconds(1);

/// Forwards calls to another store and records their number, failures and
/// latencies. Not thread safe, unlike the other store. Does not measure
/// watch(), which waits for changes.
class instrumented_store final : public platform::object_store
{
public:
    instrumented_store(platform::object_store& inner, const clock& time)
        : inner_(inner), time_(time)
    {}

    result<platform::stored_object>
    get(const platform::object_key& key) override
    {
        return measure([&] { return inner_.get(key); });
    }

    result<object_version> put(const platform::object_key& key,
                               std::string_view value,
                               platform::write_condition condition) override
    {
        return measure([&] { return inner_.put(key, value, condition); });
    }

    status erase(const platform::object_key& key,
                 platform::write_condition condition) override
    {
        return measure([&] { return inner_.erase(key, condition); });
    }

    result<platform::object_page> list(std::string_view prefix,
                                       const platform::object_key& after,
                                       std::size_t limit) override
    {
        return measure([&] { return inner_.list(prefix, after, limit); });
    }

    result<platform::change_page> watch(std::string_view prefix,
                                        std::uint64_t revision,
                                        duration wait) override
    {
        return inner_.watch(prefix, revision, wait);
    }

    std::size_t calls() const { return latencies_.size(); }
    std::size_t failures() const { return failures_; }
    platform::platform_state state() const { return health_.state(); }

    /// The latency at quantile `share` (0 to 1) of all calls; 0 without calls.
    duration latency(double share) const
    {
        if (latencies_.empty())
            return duration(0);
        auto sorted = latencies_;
        std::ranges::sort(sorted);
        const auto last = static_cast<double>(sorted.size() - 1);
        return sorted[static_cast<std::size_t>(share * last)];
    }

private:
    template <class Call>
    auto measure(const Call& call) -> decltype(call())
    {
        const instant began = time_.now();
        auto made = call();
        const instant now = time_.now();
        const bool answered =
            made || (made.error().code != error_code::unavailable &&
                     made.error().code != error_code::ambiguous);
        latencies_.push_back(now - began);
        failures_ += answered ? 0 : 1;
        health_.on_call(answered, now - began, now);
        return made;
    }

    platform::object_store& inner_;
    const clock& time_;
    platform::platform_health health_;
    std::vector<duration> latencies_;
    std::size_t failures_ = 0;
};

struct target_row
{
    manifest::target target;
    result<target::load_status> load;
};

/// Everything that is shown. An optional is empty if its part was skipped or
/// couldn't be read; in the latter case `trouble` says why.
struct fleet_status
{
    std::optional<manifest::root> accepted;
    std::optional<manifest::rollout> nodes;
    std::optional<std::vector<target_row>> targets;
    std::optional<budget::budget_sums> budgets;
    books_read_result books;
    std::vector<std::string> trouble;
    instant now;

    bool healthy() const { return accepted && nodes && nodes->complete(); }
};

void add_trouble(fleet_status& view, const std::string& what, const error& why)
{
    view.trouble.push_back(what + ": " + std::string(to_string(why.code)) +
                           ": " + why.message);
}

std::vector<target_row> query_targets(std::vector<manifest::target> all,
                                      http::client& connections)
{
    std::vector<target_row> rows;
    rows.reserve(all.size());
    for (manifest::target& it : all)
        rows.push_back({std::move(it), target::load_status()});
    std::atomic<std::size_t> next{0};
    const auto query = [&] {
        for (std::size_t n = next++; n < rows.size(); n = next++) {
            target::http_target_options with;
            with.url = "http://" + rows[n].target.address.str();
            with.control.first_byte = target_timeout;
            target::http_target_client client(connections, with);
            rows[n].load = client.load();
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < std::min(query_threads, rows.size()); ++n)
        threads.emplace_back(query);
    for (std::thread& it : threads)
        it.join();
    return rows;
}

void read_target_status(fleet_status& view, platform::object_store& store,
                        http::client& connections)
{
    const auto names = read_directory(store, *view.accepted);
    if (!names)
        return add_trouble(view, "manifest", names.error());
    auto all = read_targets(store, *names);
    if (!all)
        return add_trouble(view, "targets", all.error());
    view.targets = query_targets(std::move(*all), connections);
}

void read_budget_status(fleet_status& view, platform::object_store& store)
{
    const auto layout = journal::find_layout(store);
    if (!layout)
        return add_trouble(view, "journal's layout", layout.error());
    budget::budget_report report({.limit = 0});
    view.books = read_books(store, *layout,
                            [&](const auto& books) { report.add(books); });
    view.budgets = report.total();
    for (const std::string& it : view.books.failures)
        view.trouble.push_back("budgets without " + it);
}

fleet_status read_fleet_status(const settings::settings& flags,
                               platform::object_store& store,
                               http::client& connections, const clock& time)
{
    fleet_status view;
    if (auto accepted = read_root(store))
        view.accepted = std::move(*accepted);
    else
        add_trouble(view, "accepted configuration", accepted.error());
    const auto nodes = manifest::read_statuses(store);
    view.now = time.now();
    if (nodes)
        view.nodes = manifest::rollout_of(
            *nodes, view.accepted ? view.accepted->change.number : generation(),
            view.now);
    else
        add_trouble(view, "nodes", nodes.error());
    if (view.accepted && !flags.flag_of("skip-targets"))
        read_target_status(view, store, connections);
    if (!flags.flag_of("skip-budgets"))
        read_budget_status(view, store);
    return view;
}

std::string_view state_of(const target_row& it)
{
    if (!it.load)
        return "unreachable";
    return it.load->leaving ? "leaving" : "up";
}

std::string_view state_of(const manifest::rollout_row& it)
{
    if (it.silent)
        return "stale";
    return it.reached ? "in force" : "behind";
}

std::size_t count(const std::vector<target_row>& rows, std::string_view state)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        rows, [&](const target_row& it) { return state_of(it) == state; }));
}

double milliseconds_of(duration length)
{
    return 1000 * to_seconds(length);
}

json to_json(const fleet_status& view)
{
    json out;
    if (view.accepted) {
        const auto& it = view.accepted->change;
        out["accepted"] = {{"generation", it.number.value()},
                           {"who", it.who},
                           {"apply_id", it.apply.str()},
                           {"hash", view.accepted->hash().str()},
                           {"age_s", to_seconds(view.now - it.at)}};
    }
    if (view.nodes) {
        out["nodes"] = json::array();
        for (const auto& it : view.nodes->rows)
            out["nodes"].push_back(
                {{"host", it.node.host.str()},
                 {"incarnation", it.node.incarnation.str()},
                 {"generation", it.node.in_force.value()},
                 {"takes_work", it.node.takes_work},
                 {"age_s", to_seconds(view.now - it.node.at)},
                 {"state", state_of(it)}});
    }
    if (view.targets) {
        out["targets"] = json::array();
        for (const target_row& it : *view.targets) {
            json one = {{"target", it.target.id.str()},
                        {"address", it.target.address.str()},
                        {"state", state_of(it)}};
            if (it.load) {
                one["running"] = it.load->running;
                one["waiting"] = it.load->waiting;
            }
            out["targets"].push_back(std::move(one));
        }
    }
    if (view.budgets) {
        const budget::budget_sums& it = *view.budgets;
        out["budgets"] = {{"prepaid", it.prepaid.count()},
                          {"spent", it.spent.count()},
                          {"free", it.free.count()},
                          {"out", it.out.count()},
                          {"stranded", it.stranded.count()},
                          {"uncollected", it.uncollected.count()},
                          {"released", it.released.count()},
                          {"shards", view.books.shards},
                          {"shards_read", view.books.read}};
    }
    out["trouble"] = view.trouble;
    out["well"] = view.healthy();
    return out;
}

void print_nodes(const manifest::rollout& nodes, instant now)
{
    std::printf("\n%-24s %11s %11s %8s  %s\n", "node", "generation",
                "takes work", "age", "state");
    for (const auto& it : nodes.rows)
        std::printf("%-24.64s %11llu %11s %7.0fs  %s\n",
                    it.node.host.str().c_str(),
                    static_cast<unsigned long long>(it.node.in_force.value()),
                    it.node.takes_work ? "yes" : "no",
                    to_seconds(now - it.node.at), state_of(it).data());
    std::printf("%zu of %zu nodes at generation %llu or later, stale ones "
                "left out\n",
                nodes.reached(), nodes.expected(),
                static_cast<unsigned long long>(nodes.wanted.value()));
}

void print_targets(const std::vector<target_row>& rows)
{
    std::printf("\ntargets: %zu up, %zu leaving, %zu unreachable\n",
                count(rows, "up"), count(rows, "leaving"),
                count(rows, "unreachable"));
    for (const target_row& it : rows) {
        if (state_of(it) != "up")
            std::printf("  %-24.64s %-22s %s\n", it.target.id.str().c_str(),
                        it.target.address.str().c_str(), state_of(it).data());
    }
}

void print_text(const fleet_status& view, const instrumented_store& store)
{
    if (view.accepted) {
        const auto& it = view.accepted->change;
        std::printf("accepted: generation %llu by %s %.0f s ago, apply id %s\n",
                    static_cast<unsigned long long>(it.number.value()),
                    it.who.c_str(), to_seconds(view.now - it.at),
                    it.apply.str().c_str());
    }
    if (view.nodes)
        print_nodes(*view.nodes, view.now);
    if (view.targets)
        print_targets(*view.targets);
    if (view.budgets) {
        const budget::budget_sums& it = *view.budgets;
        std::printf("\nbudgets: prepaid %lld, spent %lld, free %lld, out %lld, "
                    "stranded %lld, uncollected %lld (%u of %u shards)\n",
                    static_cast<long long>(it.prepaid.count()),
                    static_cast<long long>(it.spent.count()),
                    static_cast<long long>(it.free.count()),
                    static_cast<long long>(it.out.count()),
                    static_cast<long long>(it.stranded.count()),
                    static_cast<long long>(it.uncollected.count()),
                    view.books.read, view.books.shards);
    }
    std::printf("\nplatform: %s; %zu calls, %zu without an answer, p50 %.1f "
                "ms, p95 %.1f ms\n",
                to_string(store.state()).data(), store.calls(),
                store.failures(), milliseconds_of(store.latency(0.50)),
                milliseconds_of(store.latency(0.95)));
    for (const std::string& it : view.trouble)
        std::printf("trouble: %s\n", it.c_str());
}

} // namespace

int run_status(int argc, char** argv)
{
    settings::settings flags(
        "status",
        "Shows the accepted configuration, nodes, targets, budgets and "
        "platform. Exits with 0 if every node that isn't stale is at the "
        "accepted generation.");
    flags.text("platform", "http://127.0.0.1:7000",
               "URL of the platform's object API");
    flags.choice("format", {"text", "json"}, "format of the output");
    flags.flag("skip-targets", "don't query the targets");
    flags.flag("skip-budgets", "don't read the budget books");
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const system_clock time;
    http::client connections;
    platform::platform_client client(connections,
                                     {.url = flags.text_of("platform")});
    instrumented_store store(client, time);
    const fleet_status view =
        read_fleet_status(flags, store, connections, time);
    if (flags.text_of("format") == "json") {
        json out = to_json(view);
        out["platform"] = {{"state", to_string(store.state())},
                           {"calls", store.calls()},
                           {"unanswered", store.failures()},
                           {"p50_ms", milliseconds_of(store.latency(0.50))},
                           {"p95_ms", milliseconds_of(store.latency(0.95))}};
        std::cout << out.dump(1) << '\n';
    } else {
        print_text(view, store);
    }
    return view.healthy() ? exit_success : exit_failure;
}

} // namespace fennelladder::app
