// `fennelladder bench control`: what control costs a node and how quickly the
// fleet learns of changes, beside the limits of the size to design for.

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

// The size to design for, and what a node may spend there.
constexpr std::size_t full_size = 340;
constexpr double most_bytes = 2048;
constexpr double most_core_share = 0.035;
constexpr double most_memory = 64e6;
constexpr double most_config_seconds = 13;

// What a message costs on the wire beside its encoding: a frame and method
// name of Thrift, headers of TCP and IP, its share of acknowledgements.
constexpr double wire_overhead = 120;

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
             it.bytes + it.messages * wire_overhead}};
}

// Sent and fetched: what a node fetches another one sends.
double control_bytes(const control_outcome& it)
{
    return it.quiet.bytes + it.fetched_bytes;
}

bool within_limits(const control_outcome& it)
{
    return control_bytes(it) <= most_bytes &&
           it.core_share <= most_core_share && it.memory_bytes <= most_memory &&
           it.config_with_platform.longest <= most_config_seconds &&
           it.config_without_platform.longest <= most_config_seconds;
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
    settings::settings wanted("bench control",
                              "What control costs, and how quick it is.");
    wanted.choice("format", {"text", "json"}, "how results are printed");
    wanted.text("nodes", "8,32,128,340", "sizes of the fleet, with commas");
    wanted.number({.name = "seconds",
                   .fallback = 60,
                   .low = 10,
                   .high = 3600,
                   .unit = "s",
                   .help = "virtual time of the quiet phase"});
    wanted.number({.name = "seed", .fallback = 1, .help = "of all draws"});
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const auto sizes = read_sizes(wanted.text_of("nodes"));
    if (sizes.empty()) {
        std::cerr << "bench control: --nodes wants numbers from 2 to 4000\n";
        return exit_bad_input;
    }
    ordered_json report = ordered_json::array();
    bool well = true;
    for (const std::size_t n : sizes) {
        // The manifest grows with the fleet.
        const std::size_t budgets = 350'000 * n / full_size;
        const std::size_t teams = 8'200 * n / full_size;
        bench::control_options options;
        options.nodes = n;
        options.quiet = seconds(wanted.number_of("seconds"));
        options.seed = static_cast<std::uint64_t>(wanted.number_of("seed"));
        options.change_bytes =
            bench::bytes_of_one_change(budgets, teams, 600 * n / full_size);
        const auto seen = bench::measure_control(options);
        well = well && (n > full_size || within_limits(seen));
        report.push_back(to_json(seen, options.change_bytes));
    }
    if (wanted.text_of("format") == "json") {
        std::cout << report.dump(1) << '\n';
        return well ? exit_success : exit_failure;
    }
    for (const ordered_json& it : report) {
        for (const auto& [name, value] : it.items())
            std::cout << name << "  " << value.dump() << '\n';
        std::cout << '\n';
    }
    return well ? exit_success : exit_failure;
}

} // namespace fennelladder::app
