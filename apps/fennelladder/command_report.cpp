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

constexpr http::transfer_timeouts metrics_deadlines{
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
    bool valid = true;
    for (std::size_t n = 1; std::getline(in, line); ++n) {
        const auto it = history::parse_event(line);
        if (it)
            burn.add(*it);
        else
            std::cerr << path << " line " << n << ": " << it.error().message
                      << '\n';
        valid &= it.has_value();
    }
    if (!valid)
        return std::nullopt;
    return burn.finish(manifest
                           ? manifest::service_levels_of(manifest->objectives)
                           : report::default_objectives(burn.kinds()));
}

/// Sums the metrics of all nodes. A node that doesn't answer is reported and
/// skipped; returns nothing if none answers.
std::optional<telemetry::burn_snapshot> read_nodes(const std::string& list)
{
    http::client connections;
    telemetry::burn_snapshot snapshot;
    std::size_t answered = 0;
    for (const std::string& node : split_list(list)) {
        http::request request;
        request.url = "http://" + node + "/metrics";
        const auto page = connections.fetch(request, metrics_deadlines);
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
        snapshot.merge(*part);
        ++answered;
    }
    if (answered == 0)
        return std::nullopt;
    return snapshot;
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
    settings::settings flags(
        "burn",
        "Burn rate of service-level objectives, by objective, caller kind and "
        "team.");
    flags.text("nodes", "",
               "IP:PORT of nodes, separated by commas, whose /metrics are "
               "summed");
    flags.text("history", "", "recorded history to evaluate instead of nodes");
    flags.text("manifest", "",
               "manifest with the objectives for a history; without it: 99% "
               "of answers whole and once");
    flags.choice("format", {"table", "json", "html"}, "format of the report");
    flags.number({.name = "teams",
                  .fallback = 20,
                  .low = 0,
                  .high = 100'000,
                  .unit = "teams",
                  .help = "maximum number of teams listed"});
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const std::string& nodes = flags.text_of("nodes");
    const std::string& history = flags.text_of("history");
    if (nodes.empty() == history.empty()) {
        std::cerr << "report burn: exactly one of --nodes and --history is "
                     "required\n";
        return exit_bad_input;
    }
    const auto snapshot =
        history.empty() ? read_nodes(nodes)
                        : read_history(history, flags.text_of("manifest"));
    if (!snapshot)
        return history.empty() ? exit_failure : exit_bad_input;
    const auto limit = std::size_t(flags.number_of("teams"));
    return print(telemetry::make_report(*snapshot, {.team_limit = limit}),
                 flags.text_of("format"));
}

int run_report_budgets(int argc, char** argv)
{
    settings::settings flags(
        "budgets", "Prepaid, spent, free and stranded tokens of budgets.");
    flags.text("platform", "http://127.0.0.1:7000",
               "URL of the platform's object API");
    flags.text("team", "", "team to report; empty: all");
    flags.number({.name = "limit",
                  .fallback = 100,
                  .low = 0,
                  .high = 1'000'000,
                  .unit = "budgets",
                  .help = "maximum number of budgets listed; sums cover all"});
    flags.choice("format", {"text", "json"}, "format of the report");
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    http::client connections;
    platform::platform_client store(connections,
                                    {.url = flags.text_of("platform")});
    const auto layout = journal::find_layout(store);
    if (!layout) {
        std::cerr << "report budgets: reading the journal's layout: "
                  << to_string(layout.error().code) << ": "
                  << layout.error().message << '\n';
        return exit_failure;
    }
    budget::budget_report report(
        {.team = team_id(flags.text_of("team")),
         .limit = std::size_t(flags.number_of("limit"))});
    const auto summary = read_books(
        store, *layout, [&](const auto& books) { report.add(books); });
    std::cout << (flags.text_of("format") == "json" ? report.to_json() + "\n"
                                                    : report.to_text());
    // Sums that lack a shard are wrong: report each one and fail.
    for (const std::string& it : summary.failures)
        std::cerr << "report budgets: not counted: " << it << '\n';
    return std::cout.flush() && summary.complete() ? exit_success
                                                   : exit_failure;
}

// --help lists the reports in this order.
constexpr auto reports = std::to_array<command>({
    {"budgets", "prepaid, spent, free and stranded tokens", run_report_budgets},
    {"burn", "service-level burn rate, from nodes or a history",
     run_report_burn},
});

} // namespace

int run_report(int argc, char** argv)
{
    return run_from_table("fennelladder report", reports, argc, argv);
}

} // namespace fennelladder::app
