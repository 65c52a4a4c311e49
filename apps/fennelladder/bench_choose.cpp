// `fennelladder bench choose`: how long one choice among many targets takes,
// with the lookup of the prompt's cached prefix.

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

capability needed()
{
    capability it;
    it.model = model_id("m");
    return it;
}

std::vector<block_hash> chain_of(std::uint64_t document)
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
    fixture made{target_table(options), prefix_index(), pool_id()};
    for (std::uint32_t n = 0; n < targets; ++n) {
        target_info info;
        info.id = target_id("worker-" + std::to_string(n));
        info.data_center = data_center_id(std::to_string(n % 6));
        info.loaded = {needed()};
        const target_slot slot = made.table.upsert(info, start);
        load_report load;
        load.taken_at = start;
        load.running = static_cast<std::uint32_t>(random.below(28));
        made.table.report(slot, load, start);
    }
    for (std::uint64_t document = 0; document < documents; ++document) {
        for (int n = 0; n < holders_per_document; ++n)
            made.index.dispatched(
                static_cast<target_slot>(random.below(targets)),
                chain_of(document));
    }
    made.pool = *made.table.pool_of(needed());
    return made;
}

} // namespace

int run_bench_choose(int argc, char** argv)
{
    settings::settings wanted("bench choose",
                              "Time of one choice among many targets.");
    wanted.choice("format", {"text", "json"}, "how results are printed");
    wanted.number({.name = "targets",
                   .fallback = 600,
                   .low = 1,
                   .high = 1'024,
                   .help = "that all serve the model asked for"});
    wanted.number({.name = "choices",
                   .fallback = 100'000,
                   .low = 100,
                   .high = 100'000'000,
                   .help = "choices that are timed"});
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    random_source random(1);
    fixture made = make_fixture(
        static_cast<std::uint32_t>(wanted.number_of("targets")), random);
    chooser pick;
    std::vector<double> took;
    std::uint64_t cached = 0;
    route_request request;
    request.needs = needed();
    request.rank = 1;
    request.prompt_tokens = 2'100;
    request.output_tokens = 200;
    instant now = start;
    for (std::int64_t n = 0; n < wanted.number_of("choices"); ++n) {
        request.prefix = chain_of(random.below(documents));
        now += microseconds(10);
        const auto began = std::chrono::steady_clock::now();
        const prefix_match match = made.index.match(request.prefix);
        const auto chosen = pick.choose(
            {request, made.pool, made.table, match, made.index}, now, random);
        const auto ended = std::chrono::steady_clock::now();
        if (!chosen) {
            std::cerr << "bench choose: no target had room\n";
            return exit_failure;
        }
        cached += chosen->expected.cached_tokens > 0 ? 1 : 0;
        took.push_back(
            std::chrono::duration<double, std::micro>(ended - began).count());
    }
    std::ranges::sort(took);
    const auto at = [&](double share) {
        return took[static_cast<std::size_t>(
            share * static_cast<double>(took.size() - 1))];
    };
    const double hits =
        static_cast<double>(cached) / static_cast<double>(took.size());
    if (wanted.text_of("format") == "json") {
        const nlohmann::json report = {{"targets", wanted.number_of("targets")},
                                       {"choices", took.size()},
                                       {"p50_us", at(0.50)},
                                       {"p95_us", at(0.95)},
                                       {"p99_us", at(0.99)},
                                       {"goal_us", 20},
                                       {"met", at(0.99) < 20},
                                       {"to_a_holder_share", hits}};
        std::cout << report.dump(1) << '\n';
        return exit_success;
    }
    std::printf("%lld targets: p50 %.2f us, p95 %.2f us, p99 %.2f us; "
                "%.0f%% to a holder of the prefix\n",
                static_cast<long long>(wanted.number_of("targets")), at(0.50),
                at(0.95), at(0.99), 100 * hits);
    return exit_success;
}

} // namespace fennelladder::app
