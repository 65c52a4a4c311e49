// `fennelladder status`: whether the fleet is at the accepted generation, and
// how nodes, targets, budgets and platform are.
//
// Looks from outside, with calls of its own to platform and targets; asks no
// node, so that it works when none answers. Targets are asked by a few threads
// that take the next one off a shared counter and write to a row of their own.

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

constexpr std::size_t asking_threads = 16;
constexpr duration target_patience = seconds(1);

/// Passes calls on and keeps their number, failures and latencies. Not thread
/// safe, unlike what it stands in front of.
class measured_store final : public platform::object_store
{
public:
    measured_store(platform::object_store& inner, const clock& time)
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

    std::size_t calls() const { return took_.size(); }
    std::size_t failures() const { return failures_; }
    platform::platform_state state() const { return health_.state(); }

    /// Latency that `share` of the calls stayed at or below.
    duration latency(double share) const
    {
        if (took_.empty())
            return duration(0);
        auto sorted = took_;
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
        took_.push_back(now - began);
        failures_ += answered ? 0 : 1;
        health_.on_call(answered, now - began, now);
        return made;
    }

    platform::object_store& inner_;
    const clock& time_;
    platform::platform_health health_;
    std::vector<duration> took_;
    std::size_t failures_ = 0;
};

struct target_row
{
    manifest::target target;
    result<target::load_status> load;
};

/// All that is shown. An empty optional: not looked at, or not readable, in
/// which case `trouble` says why.
struct fleet_view
{
    std::optional<manifest::root> accepted;
    std::optional<manifest::rollout> nodes;
    std::optional<std::vector<target_row>> targets;
    std::optional<budget::budget_sums> budgets;
    books_read books;
    std::vector<std::string> trouble;
    instant now;

    bool well() const { return accepted && nodes && nodes->complete(); }
};

void note(fleet_view& seen, const std::string& what, const error& why)
{
    seen.trouble.push_back(what + ": " + std::string(to_string(why.code)) +
                           ": " + why.message);
}

std::vector<target_row> ask_targets(std::vector<manifest::target> all,
                                    http::client& connections)
{
    std::vector<target_row> rows;
    rows.reserve(all.size());
    for (manifest::target& it : all)
        rows.push_back({std::move(it), target::load_status()});
    std::atomic<std::size_t> next{0};
    const auto ask = [&] {
        for (std::size_t n = next++; n < rows.size(); n = next++) {
            target::http_target_options with;
            with.url = "http://" + rows[n].target.address.str();
            with.control.first_byte = target_patience;
            target::http_target_client client(connections, with);
            rows[n].load = client.load();
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < std::min(asking_threads, rows.size()); ++n)
        threads.emplace_back(ask);
    for (std::thread& it : threads)
        it.join();
    return rows;
}

void look_at_targets(fleet_view& seen, platform::object_store& store,
                     http::client& connections)
{
    const auto names = read_directory(store, *seen.accepted);
    if (!names)
        return note(seen, "manifest", names.error());
    auto all = read_targets(store, *names);
    if (!all)
        return note(seen, "targets", all.error());
    seen.targets = ask_targets(std::move(*all), connections);
}

void look_at_budgets(fleet_view& seen, platform::object_store& store)
{
    const auto layout = journal::find_layout(store);
    if (!layout)
        return note(seen, "journal's layout", layout.error());
    budget::budget_report report({.limit = 0});
    seen.books = read_books(store, *layout,
                            [&](const auto& books) { report.add(books); });
    seen.budgets = report.total();
    for (const std::string& it : seen.books.failures)
        seen.trouble.push_back("budgets without " + it);
}

fleet_view look(const settings::settings& given, platform::object_store& store,
                http::client& connections, const clock& time)
{
    fleet_view seen;
    if (auto accepted = read_root(store))
        seen.accepted = std::move(*accepted);
    else
        note(seen, "accepted configuration", accepted.error());
    const auto nodes = manifest::read_statuses(store);
    seen.now = time.now();
    if (nodes)
        seen.nodes = manifest::rollout_of(
            *nodes, seen.accepted ? seen.accepted->change.number : generation(),
            seen.now);
    else
        note(seen, "nodes", nodes.error());
    if (seen.accepted && !given.flag_of("skip-targets"))
        look_at_targets(seen, store, connections);
    if (!given.flag_of("skip-budgets"))
        look_at_budgets(seen, store);
    return seen;
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

json to_json(const fleet_view& seen)
{
    json out;
    if (seen.accepted) {
        const auto& it = seen.accepted->change;
        out["accepted"] = {{"generation", it.number.value()},
                           {"who", it.who},
                           {"apply_id", it.apply.str()},
                           {"hash", seen.accepted->hash().str()},
                           {"age_s", to_seconds(seen.now - it.at)}};
    }
    if (seen.nodes) {
        out["nodes"] = json::array();
        for (const auto& it : seen.nodes->rows)
            out["nodes"].push_back(
                {{"host", it.node.host.str()},
                 {"incarnation", it.node.incarnation.str()},
                 {"generation", it.node.in_force.value()},
                 {"takes_work", it.node.takes_work},
                 {"age_s", to_seconds(seen.now - it.node.at)},
                 {"state", state_of(it)}});
    }
    if (seen.targets) {
        out["targets"] = json::array();
        for (const target_row& it : *seen.targets) {
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
    if (seen.budgets) {
        const budget::budget_sums& it = *seen.budgets;
        out["budgets"] = {{"prepaid", it.prepaid.count()},
                          {"spent", it.spent.count()},
                          {"free", it.free.count()},
                          {"out", it.out.count()},
                          {"stranded", it.stranded.count()},
                          {"uncollected", it.uncollected.count()},
                          {"released", it.released.count()},
                          {"shards", seen.books.shards},
                          {"shards_read", seen.books.read}};
    }
    out["trouble"] = seen.trouble;
    out["well"] = seen.well();
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

void print_text(const fleet_view& seen, const measured_store& store)
{
    if (seen.accepted) {
        const auto& it = seen.accepted->change;
        std::printf("accepted: generation %llu by %s %.0f s ago, apply id %s\n",
                    static_cast<unsigned long long>(it.number.value()),
                    it.who.c_str(), to_seconds(seen.now - it.at),
                    it.apply.str().c_str());
    }
    if (seen.nodes)
        print_nodes(*seen.nodes, seen.now);
    if (seen.targets)
        print_targets(*seen.targets);
    if (seen.budgets) {
        const budget::budget_sums& it = *seen.budgets;
        std::printf("\nbudgets: prepaid %lld, spent %lld, free %lld, out %lld, "
                    "stranded %lld, uncollected %lld (%u of %u shards)\n",
                    static_cast<long long>(it.prepaid.count()),
                    static_cast<long long>(it.spent.count()),
                    static_cast<long long>(it.free.count()),
                    static_cast<long long>(it.out.count()),
                    static_cast<long long>(it.stranded.count()),
                    static_cast<long long>(it.uncollected.count()),
                    seen.books.read, seen.books.shards);
    }
    std::printf("\nplatform: %s; %zu calls, %zu without an answer, p50 %.1f "
                "ms, p95 %.1f ms\n",
                to_string(store.state()).data(), store.calls(),
                store.failures(), milliseconds_of(store.latency(0.50)),
                milliseconds_of(store.latency(0.95)));
    for (const std::string& it : seen.trouble)
        std::printf("trouble: %s\n", it.c_str());
}

} // namespace

int run_status(int argc, char** argv)
{
    settings::settings wanted(
        "status",
        "Accepted configuration, nodes, targets, budgets and platform. Exits "
        "with 0 when every node that isn't stale is at the accepted "
        "generation.");
    wanted.text("platform", "http://127.0.0.1:7000",
                "URL of the platform's object API");
    wanted.choice("format", {"text", "json"}, "of what is shown");
    wanted.flag("skip-targets", "don't ask the targets");
    wanted.flag("skip-budgets", "don't read the books");
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const system_clock time;
    http::client connections;
    platform::platform_client client(connections,
                                     {.url = wanted.text_of("platform")});
    measured_store store(client, time);
    const fleet_view seen = look(wanted, store, connections, time);
    if (wanted.text_of("format") == "json") {
        json out = to_json(seen);
        out["platform"] = {{"state", to_string(store.state())},
                           {"calls", store.calls()},
                           {"unanswered", store.failures()},
                           {"p50_ms", milliseconds_of(store.latency(0.50))},
                           {"p95_ms", milliseconds_of(store.latency(0.95))}};
        std::cout << out.dump(1) << '\n';
    } else {
        print_text(seen, store);
    }
    return seen.well() ? exit_success : exit_failure;
}

} // namespace fennelladder::app
