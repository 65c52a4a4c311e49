// `fennelladder bench control`: what the control plane costs a node and how
// quickly changes reach the fleet, compared with the limits at the design size.

#include "benches.hpp"
#include "command.hpp"

#include "fennelladder/bench/control_fleet.hpp"
#include "fennelladder/settings/settings.hpp"

#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace fennelladder::app {

namespace {

using bench::control_outcome;
using bench::delay_summary;
using bench::traffic;
using nlohmann::ordered_json;

// Largest fleet that the design must support, in nodes, and what a node may
// spend in it: bytes per second, share of a core, bytes of memory, seconds
// until a configuration is in force.
constexpr std::size_t design_nodes = 340;
constexpr double max_control_bytes = 2048;
constexpr double max_core_share = 0.035;
constexpr double max_memory_bytes = 64e6;
constexpr double max_config_seconds = 13;

// Estimated bytes per message in addition to its encoding: Thrift's frame and
// method name, TCP and IP headers, and a share of the acknowledgements.
constexpr double message_overhead_bytes = 120;

ordered_json to_json(const delay_summary& it)
{
    return {{"median", it.median}, {"longest", it.longest}};
}

ordered_json to_json(const traffic& it)
{
    return {{"sent_bytes", it.bytes},
            {"sent_bytes_busiest", it.most_bytes},
            {"sent_messages", it.messages},
            {"sent_bytes_with_estimated_wire_overhead",
             it.bytes + it.messages * message_overhead_bytes}};
}

// Bytes sent plus bytes fetched, since what one node fetches another one sends.
double control_bytes(const control_outcome& it)
{
    return it.quiet.bytes + it.fetched_bytes;
}

bool within_limits(const control_outcome& it)
{
    return control_bytes(it) <= max_control_bytes &&
           it.core_share <= max_core_share &&
           it.memory_bytes <= max_memory_bytes &&
           it.config_with_platform.longest <= max_config_seconds &&
           it.config_without_platform.longest <= max_config_seconds;
}

ordered_json to_json(const control_outcome& it, std::size_t change_bytes)
{
    return {{"nodes", it.nodes},
            {"control_bytes_per_node_second", control_bytes(it)},
            {"core_share_per_node", it.core_share},
            {"memory_bytes_per_node", it.memory_bytes},
            {"platform_calls_per_second", it.platform_calls},
            {"platform_writes_per_second", it.platform_writes},
            {"engine_reads_per_second", it.engine_reads},
            {"quiet_per_node_second", to_json(it.quiet)},
            {"restart_every_10_s_per_node_second", to_json(it.restarting)},
            {"change_bytes", change_bytes},
            {"fetched_bytes_per_node_second", it.fetched_bytes},
            {"join_seconds", it.join_seconds},
            {"config_in_force_seconds", to_json(it.config_with_platform)},
            {"config_in_force_without_platform_seconds",
             to_json(it.config_without_platform)},
            {"silent_host_out_of_answers_seconds", to_json(it.silent_death)},
            {"refusing_host_out_of_answers_seconds", to_json(it.refused_death)},
            {"draining_out_of_answers_seconds", to_json(it.draining)},
            {"entry_busiest_over_mean", it.entry_most},
            {"entry_idlest_over_mean", it.entry_least},
            {"entry_moved_over_least_possible", it.entry_moved},
            {"within_limits", within_limits(it)}};
}

std::vector<std::size_t> read_sizes(const std::string& text)
{
    std::vector<std::size_t> out;
    std::istringstream in(text);
    std::string item;
    while (std::getline(in, item, ',')) {
        const int n = std::atoi(item.c_str());
        if (n < 2 || n > 4000)
            return {};
        out.push_back(static_cast<std::size_t>(n));
    }
    return out;
}

} // namespace

int run_bench_control(int argc, char** argv)
{
    settings::settings flags("bench control",
                             "Cost and latency of the control plane.");
    flags.choice("format", {"text", "json"}, "format of the results");
    flags.text("nodes", "8,32,128,340", "fleet sizes, separated by commas");
    flags.number({.name = "seconds",
                  .fallback = 60,
                  .low = 10,
                  .high = 3600,
                  .unit = "s",
                  .help = "virtual time of the phase without changes"});
    flags.number(
        {.name = "seed", .fallback = 1, .help = "seed of the random numbers"});
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const auto sizes = read_sizes(flags.text_of("nodes"));
    if (sizes.empty()) {
        std::cerr << "bench control: --nodes takes numbers from 2 to 4000, "
                     "separated by commas\n";
        return exit_bad_input;
    }
    ordered_json report = ordered_json::array();
    bool all_within_limits = true;
    for (const std::size_t n : sizes) {
        // The manifest grows in proportion to the fleet.
        const std::size_t budgets = 350'000 * n / design_nodes;
        const std::size_t teams = 8'200 * n / design_nodes;
        bench::control_options options;
        options.nodes = n;
        options.quiet = seconds(flags.number_of("seconds"));
        options.seed = static_cast<std::uint64_t>(flags.number_of("seed"));
        options.change_bytes =
            bench::bytes_of_one_change(budgets, teams, 600 * n / design_nodes);
        const auto outcome = bench::measure_control(options);
        all_within_limits =
            all_within_limits && (n > design_nodes || within_limits(outcome));
        report.push_back(to_json(outcome, options.change_bytes));
    }
    if (flags.text_of("format") == "json") {
        std::cout << report.dump(1) << '\n';
        return all_within_limits ? exit_success : exit_failure;
    }
    for (const ordered_json& it : report) {
        for (const auto& [name, value] : it.items())
            std::cout << name << "  " << value.dump() << '\n';
        std::cout << '\n';
    }
    return all_within_limits ? exit_success : exit_failure;
}

} // namespace fennelladder::app
