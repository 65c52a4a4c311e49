// `fennelladder report NAME`: reports for operators.

#include "books_reader.hpp"
#include "command.hpp"
#include "command_table.hpp"
#include "commands.hpp"
#include "manifest_file.hpp"

#include "fennelladder/base/text.hpp"
#include "fennelladder/budget/report.hpp"
#include "fennelladder/history/event.hpp"
#include "fennelladder/http/client.hpp"
#include "fennelladder/manifest/objectives.hpp"
#include "fennelladder/platform/platform_client.hpp"
#include "fennelladder/report/history_burn.hpp"
#include "fennelladder/settings/settings.hpp"
#include "fennelladder/telemetry/burn_report.hpp"

#include <array>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace fennelladder::app {

namespace {

constexpr http::deadlines node_deadlines{
    .connect = seconds(1), .first_byte = seconds(3), .total = seconds(10)};

std::optional<telemetry::burn_snapshot>
read_history(const std::string& path, const std::string& manifest_path)
{
    std::optional<manifest::document> manifest;
    if (!manifest_path.empty()) {
        manifest = load_manifest(manifest_path);
        if (!manifest)
            return std::nullopt;
    }
    std::ifstream in(path);
    if (!in) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    report::history_burn burn;
    std::string line;
    bool good = true;
    for (std::size_t n = 1; std::getline(in, line); ++n) {
        const auto it = history::parse_event(line);
        if (it)
            burn.add(*it);
        else
            std::cerr << path << " line " << n << ": " << it.error().message
                      << '\n';
        good &= it.has_value();
    }
    if (!good)
        return std::nullopt;
    return burn.finish(manifest
                           ? manifest::service_levels_of(manifest->objectives)
                           : report::default_objectives(burn.kinds()));
}

/// The sum over nodes. A node that doesn't answer is told and left out.
std::optional<telemetry::burn_snapshot> read_nodes(const std::string& list)
{
    http::client connections;
    telemetry::burn_snapshot seen;
    std::size_t answered = 0;
    for (const std::string& node : split_list(list)) {
        http::request ask;
        ask.url = "http://" + node + "/metrics";
        const auto page = connections.fetch(ask, node_deadlines);
        if (!page || page->status != 200) {
            std::cerr << node << ": no metrics: "
                      << (page ? "status " + std::to_string(page->status)
                               : page.error().message)
                      << '\n';
            continue;
        }
        const auto part = telemetry::parse_prometheus(page->body);
        if (!part) {
            std::cerr << node << ": " << part.error().message << '\n';
            continue;
        }
        seen.merge(*part);
        ++answered;
    }
    if (answered == 0)
        return std::nullopt;
    return seen;
}

int print(const telemetry::burn_report& report, const std::string& format)
{
    if (format == "json")
        std::cout << telemetry::to_json(report) << '\n';
    else if (format == "html")
        std::cout << telemetry::to_html(report);
    else
        std::cout << telemetry::to_table(report);
    return std::cout.flush() ? exit_success : exit_failure;
}

int run_report_burn(int argc, char** argv)
{
    settings::settings wanted(
        "burn", "Service-level burn by objective, caller kind and team.");
    wanted.text("nodes", "",
                "addresses of nodes, IP:PORT by comma, whose /metrics are "
                "added up");
    wanted.text("history", "", "recorded history to judge in place of nodes");
    wanted.text("manifest", "",
                "manifest whose objectives a history is judged by; without it "
                "99% whole and once");
    wanted.choice("format", {"table", "json", "html"}, "of the report");
    wanted.number({.name = "teams",
                   .fallback = 20,
                   .low = 0,
                   .high = 100'000,
                   .unit = "teams",
                   .help = "most teams listed"});
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const std::string& nodes = wanted.text_of("nodes");
    const std::string& history = wanted.text_of("history");
    if (nodes.empty() == history.empty()) {
        std::cerr << "report burn: give either --nodes or --history\n";
        return exit_bad_input;
    }
    const auto seen = history.empty()
                          ? read_nodes(nodes)
                          : read_history(history, wanted.text_of("manifest"));
    if (!seen)
        return history.empty() ? exit_failure : exit_bad_input;
    const auto limit = std::size_t(wanted.number_of("teams"));
    return print(telemetry::make_report(*seen, {.team_limit = limit}),
                 wanted.text_of("format"));
}

int run_report_budgets(int argc, char** argv)
{
    settings::settings wanted(
        "budgets", "Prepaid, spent, free and stranded tokens, by the books.");
    wanted.text("platform", "http://127.0.0.1:7000",
                "URL of the platform's object API");
    wanted.text("team", "", "only this team; empty: all");
    wanted.number({.name = "limit",
                   .fallback = 100,
                   .low = 0,
                   .high = 1'000'000,
                   .unit = "budgets",
                   .help = "most budgets listed; sums count all"});
    wanted.choice("format", {"text", "json"}, "of the report");
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    http::client connections;
    platform::platform_client store(connections,
                                    {.url = wanted.text_of("platform")});
    const auto layout = journal::find_layout(store);
    if (!layout) {
        std::cerr << "report budgets: the journal's layout: "
                  << to_string(layout.error().code) << ": "
                  << layout.error().message << '\n';
        return exit_failure;
    }
    budget::budget_report report(
        {.team = team_id(wanted.text_of("team")),
         .limit = std::size_t(wanted.number_of("limit"))});
    const auto done = read_books(store, *layout,
                                 [&](const auto& books) { report.add(books); });
    std::cout << (wanted.text_of("format") == "json" ? report.to_json() + "\n"
                                                     : report.to_text());
    // Sums without a shard's part are no sums: said, and no success.
    for (const std::string& it : done.failures)
        std::cerr << "report budgets: not counted: " << it << '\n';
    return std::cout.flush() && done.complete() ? exit_success : exit_failure;
}

// One line each, sorted by name.
constexpr auto reports = std::to_array<command>({
    {"budgets", "prepaid, spent, free and stranded", run_report_budgets},
    {"burn", "service-level burn, from nodes or a history", run_report_burn},
});

} // namespace

int run_report(int argc, char** argv)
{
    return run_from_table("fennelladder report", reports, argc, argv);
}

} // namespace fennelladder::app
