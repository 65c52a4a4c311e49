// `fennelladder bench choose`: latency of choosing one of many targets,
// including the lookup of the prompt's cached prefix.

#include "benches.hpp"
#include "command.hpp"

#include "fennelladder/routing/chooser.hpp"
#include "fennelladder/settings/settings.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

namespace fennelladder::app {

namespace {

using namespace routing;

constexpr int documents = 200;
constexpr std::size_t chain_blocks = 32;
constexpr int holders_per_document = 20;
constexpr instant start = instant(seconds(1000));

capability required_capability()
{
    capability it;
    it.model = model_id("m");
    return it;
}

std::vector<block_hash> block_chain(std::uint64_t document)
{
    std::vector<block_hash> chain;
    for (std::size_t n = 0; n < chain_blocks; ++n)
        chain.push_back(document * 1'000 + n + 1);
    return chain;
}

struct fixture
{
    target_table table;
    prefix_index index;
    pool_id pool;
};

fixture make_fixture(std::uint32_t targets, random_source& random)
{
    target_table_options options;
    options.own_data_center = data_center_id("0");
    fixture setup{target_table(options), prefix_index(), pool_id()};
    for (std::uint32_t n = 0; n < targets; ++n) {
        target_info info;
        info.id = target_id("worker-" + std::to_string(n));
        info.data_center = data_center_id(std::to_string(n % 6));
        info.loaded = {required_capability()};
        const target_slot slot = setup.table.upsert(info, start);
        load_report load;
        load.taken_at = start;
        load.running = static_cast<std::uint32_t>(random.below(28));
        setup.table.report(slot, load, start);
    }
    for (std::uint64_t document = 0; document < documents; ++document) {
        for (int n = 0; n < holders_per_document; ++n)
            setup.index.dispatched(
                static_cast<target_slot>(random.below(targets)),
                block_chain(document));
    }
    setup.pool = *setup.table.pool_of(required_capability());
    return setup;
}

} // namespace

int run_bench_choose(int argc, char** argv)
{
    settings::settings flags("bench choose",
                             "Latency of one choice among many targets.");
    flags.choice("format", {"text", "json"}, "format of the results");
    flags.number({.name = "targets",
                  .fallback = 600,
                  .low = 1,
                  .high = 1'024,
                  .help = "targets, all of which serve the requested model"});
    flags.number({.name = "choices",
                  .fallback = 100'000,
                  .low = 100,
                  .high = 100'000'000,
                  .help = "number of choices measured"});
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    random_source random(1);
    fixture setup = make_fixture(
        static_cast<std::uint32_t>(flags.number_of("targets")), random);
    chooser target_chooser;
    std::vector<double> latencies_us;
    std::uint64_t cached = 0;
    route_request request;
    request.needs = required_capability();
    request.rank = 1;
    request.prompt_tokens = 2'100;
    request.output_tokens = 200;
    instant now = start;
    for (std::int64_t n = 0; n < flags.number_of("choices"); ++n) {
        request.prefix = block_chain(random.below(documents));
        now += microseconds(10);
        const auto began = std::chrono::steady_clock::now();
        const prefix_match match = setup.index.match(request.prefix);
        const auto chosen = target_chooser.choose(
            {request, setup.pool, setup.table, match, setup.index}, now,
            random);
        const auto ended = std::chrono::steady_clock::now();
        if (!chosen) {
            std::cerr << "bench choose: no target had capacity\n";
            return exit_failure;
        }
        cached += chosen->expected.cached_tokens > 0 ? 1 : 0;
        latencies_us.push_back(
            std::chrono::duration<double, std::micro>(ended - began).count());
    }
    std::ranges::sort(latencies_us);
    const auto quantile = [&](double share) {
        return latencies_us[static_cast<std::size_t>(
            share * static_cast<double>(latencies_us.size() - 1))];
    };
    const double hits =
        static_cast<double>(cached) / static_cast<double>(latencies_us.size());
    if (flags.text_of("format") == "json") {
        const nlohmann::json report = {{"targets", flags.number_of("targets")},
                                       {"choices", latencies_us.size()},
                                       {"p50_us", quantile(0.50)},
                                       {"p95_us", quantile(0.95)},
                                       {"p99_us", quantile(0.99)},
                                       {"goal_us", 20},
                                       {"met", quantile(0.99) < 20},
                                       {"to_a_holder_share", hits}};
        std::cout << report.dump(1) << '\n';
        return exit_success;
    }
    std::printf("%lld targets: p50 %.2f us, p95 %.2f us, p99 %.2f us; "
                "%.0f%% to a target with the prefix cached\n",
                static_cast<long long>(flags.number_of("targets")),
                quantile(0.50), quantile(0.95), quantile(0.99), 100 * hits);
    return exit_success;
}

} // namespace fennelladder::app
