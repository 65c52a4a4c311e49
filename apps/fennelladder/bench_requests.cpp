// `fennelladder bench requests`: time and memory per request at a node, without
// its I/O.
//
// Each thread passes requests through the request table, the suspect list and
// the state machine, relays their chunks through the relay checker, and ends
// them. The threads share the tables, as the workers of a node do. Memory
// is what the allocator has handed out for keys of ended requests that are
// still remembered.

#include "benches.hpp"
#include "command.hpp"

#include "fennelladder/base/hash.hpp"
#include "fennelladder/request/relay_checker.hpp"
#include "fennelladder/request/request_table.hpp"
#include "fennelladder/request/retry_budget.hpp"
#include "fennelladder/request/suspect_list.hpp"
#include "fennelladder/settings/settings.hpp"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace fennelladder::app {

namespace {

using namespace fennelladder::request;

constexpr int chunks = 16;
constexpr int repeats = 5;
constexpr instant start = from_nanoseconds(3'600'000'000'000);
const team_id team("spoke-and-sprocket");
const incarnation_id self("austin-1.18c2f0a97b3d1e44");

/// The tables of one node.
struct node_tables
{
    request_table requests{{.max_keys = 10'000'000}};
    suspect_list suspects{self, {}};
    retry_budget retries{{}, start};
};

request_key key_of(std::int64_t n)
{
    return request_key(to_hex(static_cast<std::uint64_t>(n)));
}

event event_for(const action& next, const target_id& target)
{
    switch (next.kind) {
    case action_kind::reserve:
        return {.kind = event_kind::reserved};
    case action_kind::check_suspect:
        return {.kind = event_kind::suspect_free};
    case action_kind::choose_target:
        return {.kind = event_kind::target_chosen, .target = target};
    default:
        return {.kind = event_kind::chunk, .bytes = 4, .output = tokens(1)};
    }
}

/// Drives the state machine of one request to an answer of `chunks` chunks.
conclusion run_machine(const request_key& key, answer_stream& stream,
                       random_source& random)
{
    static const target_id target("engine-07");
    request_machine machine({.key = key,
                             .self = self,
                             .resumable = true,
                             .cancelable = true,
                             .first_arrival = true,
                             .prompt = tokens(200),
                             .max_output = tokens(300)},
                            {});
    const request_id id(key.str());
    relay_checker checker;
    checker.begin_attempt(id);
    while (machine.next().kind != action_kind::read)
        static_cast<void>(
            machine.on_event(event_for(machine.next(), target), random));
    for (int n = 0; n < chunks; ++n) {
        const auto got =
            checker.check({id, checker.offset(), 1, "text", std::nullopt});
        stream.append(got.text);
        static_cast<void>(
            machine.on_event(event_for(machine.next(), target), random));
    }
    static_cast<void>(machine.on_event(
        {.kind = event_kind::completed, .output = tokens(chunks)}, random));
    conclusion end = machine.end();
    end.reply.digest = checker.digest();
    return end;
}

void run_request(node_tables& node, std::int64_t number, random_source& random)
{
    const request_key key = key_of(number);
    const std::string body = "{\"prompt\": \"" + key.str() + "\"}";
    const run_marks marks = marks_of(team, key, model_id("m"), body);
    const auto got = node.requests.admit({.team = team,
                                          .key = key,
                                          .body_digest = digest128(body),
                                          .binding = key_binding::bound_here,
                                          .issued = start},
                                         start);
    const auto permit = node.suspects.begin(marks, start);
    node.suspects.placed(permit.run, target_id("engine-07"), target_life(1));
    const conclusion end = run_machine(key, *got.stream, random);
    node.suspects.ended(permit.run, run_end::answered, start);
    node.retries.on_success();
    node.requests.finish(team, key, end, start);
    node.requests.mark_durable(team, key);
}

double nanoseconds_since(std::chrono::steady_clock::time_point began)
{
    const auto elapsed = std::chrono::steady_clock::now() - began;
    return std::chrono::duration<double, std::nano>(elapsed).count();
}

/// Wall time per request and thread, in nanoseconds.
double time_requests(int threads, std::int64_t per_thread)
{
    node_tables node;
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(threads));
    const auto began = std::chrono::steady_clock::now();
    for (int n = 0; n < threads; ++n) {
        workers.emplace_back([&node, n, per_thread] {
            random_source random(static_cast<std::uint64_t>(n));
            for (std::int64_t k = 0; k < per_thread; ++k)
                run_request(node, n * per_thread + k, random);
        });
    }
    for (std::thread& it : workers)
        it.join();
    return nanoseconds_since(began) / static_cast<double>(per_thread);
}

/// Median of time_requests() over `repeats` runs.
double median_time(int threads, std::int64_t per_thread)
{
    std::vector<double> times;
    times.reserve(repeats);
    for (int n = 0; n < repeats; ++n)
        times.push_back(time_requests(threads, per_thread));
    std::ranges::sort(times);
    return times[repeats / 2];
}

/// Bytes that the allocator has handed out and not got back.
double allocated_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) +
           static_cast<double>(info.hblkhd);
}

/// Bytes of memory per remembered key whose answer has `text` bytes.
double bytes_per_key(std::int64_t keys, std::size_t text)
{
    const double before = allocated_bytes();
    request_table table({.max_keys = 10'000'000,
                         .small_answer = text,
                         .text_memory = std::size_t(4) << 30U});
    const std::string answer(text, 'x');
    for (std::int64_t n = 0; n < keys; ++n) {
        const request_key key = key_of(n);
        const auto got = table.admit({.team = team,
                                      .key = key,
                                      .body_digest = digest128(key.str()),
                                      .binding = key_binding::bound_here,
                                      .issued = start},
                                     start);
        got.stream->append(answer);
        conclusion end;
        end.may_have_run = true;
        end.reply.result = outcome::answered;
        end.reply.code = reply_code::ok;
        end.reply.origin = self;
        end.reply.digest = digest128(answer);
        table.finish(team, key, end, start);
    }
    return (allocated_bytes() - before) / static_cast<double>(keys);
}

/// Bytes of memory per record of the suspect list.
double bytes_per_record(std::int64_t records)
{
    const double before = allocated_bytes();
    suspect_list list(self, {});
    for (std::int64_t n = 0; n < records / 2; ++n) {
        const auto permit = list.begin(
            marks_of(team, key_of(n), model_id("m"), key_of(n).str()), start);
        list.placed(permit.run, target_id("t"), target_life(1));
    }
    list.target_died(target_id("t"), target_life(1), start);
    return (allocated_bytes() - before) / static_cast<double>(records);
}

nlohmann::json measure(int threads, std::int64_t per_thread)
{
    nlohmann::json report;
    for (const int n : {1, threads}) {
        report["requests"].push_back(
            {{"threads", n},
             {"requests_per_thread", per_thread},
             {"chunks", chunks},
             {"ns_per_request", median_time(n, per_thread)}});
    }
    for (const std::int64_t keys : {1'000, 10'000, 100'000, 1'000'000}) {
        report["memory"].push_back(
            {{"keys", keys}, {"bytes_per_key", bytes_per_key(keys, 0)}});
    }
    for (const std::size_t text : {100, 1'000, 8'000}) {
        report["memory"].push_back(
            {{"keys", 10'000},
             {"text", text},
             {"bytes_per_key", bytes_per_key(10'000, text)}});
    }
    report["suspects"] = {{"records", 20'000},
                          {"bytes_per_record", bytes_per_record(20'000)}};
    return report;
}

void print_text(const nlohmann::json& report)
{
    std::cout << std::fixed << std::setprecision(0);
    for (const auto& it : report["requests"]) {
        std::cout << it["threads"]
                  << " threads: " << it["ns_per_request"].get<double>()
                  << " ns per request and thread (" << it["chunks"]
                  << " chunks, median of " << repeats << " runs)\n";
    }
    for (const auto& it : report["memory"]) {
        std::cout << it["keys"] << " remembered keys, answers of "
                  << it.value("text", 0)
                  << " bytes: " << it["bytes_per_key"].get<double>()
                  << " bytes per key\n";
    }
    std::cout << report["suspects"]["records"] << " suspect records: "
              << report["suspects"]["bytes_per_record"].get<double>()
              << " bytes per record\n";
}

} // namespace

int run_bench_requests(int argc, char** argv)
{
    settings::settings flags("bench requests",
                             "Time and memory per request, without its I/O.");
    flags.choice("format", {"text", "json"}, "format of the results");
    flags.number(
        {.name = "threads",
         .fallback = 12,
         .low = 1,
         .high = 256,
         .unit = "threads",
         .help = "threads of the second measurement; the first uses one"});
    flags.number({.name = "requests",
                  .fallback = 50'000,
                  .low = 1,
                  .high = 1'000'000,
                  .unit = "requests",
                  .help = "requests per thread and run"});
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const auto report = measure(static_cast<int>(flags.number_of("threads")),
                                flags.number_of("requests"));
    if (flags.text_of("format") == "json")
        std::cout << report.dump(2) << '\n';
    else
        print_text(report);
    return exit_success;
}

} // namespace fennelladder::app
