// `fennelladder bench history`: time to record and to check a history.

#include "benches.hpp"
#include "command.hpp"
#include "fennelladder/history/checker.hpp"
#include "fennelladder/history/recorder.hpp"
#include "fennelladder/settings/settings.hpp"

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace fennelladder::app {

namespace {

using namespace fennelladder::history;

constexpr std::int64_t chunks = 4;
constexpr std::int64_t lines_per_request = 5 + chunks;
constexpr std::uint64_t chunk_bytes = 50;

/// Records all events of one request, from `sent` to `billed`. Ids derive from
/// `number`.
void record_request(recorder& to, std::int64_t number)
{
    const instant now = from_nanoseconds(1'000'000 * number);
    const std::string text = std::to_string(number);
    const node_id node("node-" + std::to_string(number % 8) + ".18c2f0a97b");
    const node_id target_node("target-" + std::to_string(number % 13));
    const target_id target(target_node.str());
    const request_id request("request-" + text);
    const team_id team("team-" + std::to_string(number % 100));
    const request_key key = global_key(team, request_key("key-" + text));
    const budget_id budget("budget-" + std::to_string(number % 100));
    const caller_id caller("caller-" + std::to_string(number % 500));
    to.record(now, node,
              sent{request, team, budget, key, caller_kind("inspector"), true,
                   caller});
    to.record(now, node, dispatched{request, key, target, 1});
    to.record(now, target_node, executed{key, target, 1});
    answer_digest digest;
    for (std::int64_t n = 0; n < chunks; ++n) {
        const std::uint64_t offset = digest.size();
        digest.add(std::string(chunk_bytes, 'x'));
        to.record(now, node,
                  chunk{request, caller, offset, chunk_bytes, digest.text()});
    }
    to.record(now, node,
              answered{request, caller, digest.size(), digest.text()});
    to.record(now, node, billed{key, budget, tokens(70), bill_id(text)});
}

struct history_timing
{
    std::size_t lines = 0;
    double record_seconds = 0;
    double check_seconds = 0;
    bool holds = false;
};

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

history_timing measure(std::int64_t line_count, std::int64_t threads)
{
    auto made = recorder::open(
        {.path = "", .memory_lines = std::size_t(line_count) * 2});
    recorder& to = **made;
    for (int n = 0; n < 100; ++n)
        to.record(from_nanoseconds(0), node_id("node-0"),
                  prepaid{budget_id("budget-" + std::to_string(n)),
                          tokens(1'000'000'000), topup_id(std::to_string(n))});
    const std::int64_t requests = line_count / lines_per_request;
    history_timing out;
    auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> all;
    for (std::int64_t t = 0; t < threads; ++t) {
        all.emplace_back([&to, t, threads, requests] {
            for (std::int64_t n = t; n < requests; n += threads)
                record_request(to, n);
        });
    }
    for (std::thread& it : all)
        it.join();
    out.record_seconds = seconds_since(start);
    const std::vector<std::string> lines = to.lines();
    out.lines = lines.size();
    start = std::chrono::steady_clock::now();
    checker check({});
    for (const std::string& it : lines)
        check.add_line(it);
    out.holds = check.finish().holds();
    out.check_seconds = seconds_since(start);
    return out;
}

} // namespace

int run_bench_history(int argc, char** argv)
{
    settings::settings flags("bench history",
                             "Time to record and to check a history.");
    flags.choice("format", {"text", "json"}, "format of the results");
    flags.number({.name = "lines",
                  .fallback = 1'000'000,
                  .low = 1'000,
                  .high = 10'000'000,
                  .unit = "lines",
                  .help = "lines of the largest history; also half, a quarter "
                          "and an eighth of it"});
    flags.number({.name = "threads",
                  .fallback = 8,
                  .low = 1,
                  .high = 1'000,
                  .unit = "threads",
                  .help = "threads that record at once"});
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    auto all = nlohmann::ordered_json::array();
    bool holds = true;
    for (const std::int64_t part : {8, 4, 2, 1}) {
        const history_timing it = measure(flags.number_of("lines") / part,
                                          flags.number_of("threads"));
        holds = holds && it.holds;
        all.push_back({{"lines", it.lines},
                       {"record_seconds", it.record_seconds},
                       {"check_seconds", it.check_seconds},
                       {"holds", it.holds}});
        if (flags.text_of("format") == "text")
            std::cout << it.lines << " lines: recorded in " << it.record_seconds
                      << " s, checked in " << it.check_seconds << " s\n";
    }
    if (flags.text_of("format") == "json")
        std::cout << all.dump(1) << '\n';
    return holds ? exit_success : exit_failure;
}

} // namespace fennelladder::app
