// `fennelladder bench path`: latency that a node adds to a request.
//
// One node, its platform and engines run in this process on loopback. Each of
// N threads has one stream open at a time and alternates between requests to an
// engine and requests to the node, so that both paths are measured under the
// same load of the machine at the same time. Half of the threads start with
// each path. Both paths request the same completions from the same engines. An
// engine emits tokens in steps of 2 ms, so a delay shorter than a step may not
// show in a single request. CPU and memory are those of the whole process:
// callers, engines, platform and node together.

#include "benches.hpp"
#include "command.hpp"

#include "fennelladder/gateway/calls.hpp"
#include "fennelladder/http/client.hpp"
#include "fennelladder/settings/settings.hpp"
#include "fennelladder/target/http_target_client.hpp"
#include "fennelladder/trial/fleet.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace fennelladder::app {

namespace {

using nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr int engines = 8;
constexpr int node_threads = 512;
constexpr std::uint32_t answer_tokens = 32;
constexpr duration entry_validity = seconds(5);
constexpr double goal_p50_ms = 1;
constexpr double goal_p99_ms = 3;

/// Outcome and timing of one request.
struct sample
{
    bool complete = false;
    std::string code; ///< Reason if it isn't complete.
    double first_byte_ms = 0;
    double end_ms = 0;
};

/// Samples of one path. Each thread has its own.
struct path_samples
{
    std::vector<double> first_byte_ms;
    std::vector<double> end_ms;
    std::map<std::string, std::uint64_t> failed; ///< By code.

    void add(const sample& it)
    {
        if (!it.complete) {
            ++failed[it.code];
            return;
        }
        first_byte_ms.push_back(it.first_byte_ms);
        end_ms.push_back(it.end_ms);
    }

    void merge(const path_samples& other)
    {
        first_byte_ms.insert(first_byte_ms.end(), other.first_byte_ms.begin(),
                             other.first_byte_ms.end());
        end_ms.insert(end_ms.end(), other.end_ms.begin(), other.end_ms.end());
        for (const auto& [code, n] : other.failed)
            failed[code] += n;
    }
};

struct both_paths
{
    path_samples direct;
    path_samples through;
};

double milliseconds_since(steady::time_point began)
{
    return std::chrono::duration<double, std::milli>(steady::now() - began)
        .count();
}

trial::deployment_plan make_plan()
{
    trial::deployment_plan plan = trial::spoke_and_sprocket();
    plan.data_centers.resize(1);
    plan.long_engines = engines;
    plan.short_engines = 1;
    plan.services = 1;
    plan.engine_step = milliseconds(2);
    plan.prepaid = tokens(1'000'000'000'000);
    return plan;
}

/// One caller, used by one thread: sends requests on either path.
class stream_caller
{
public:
    stream_caller(const trial::fleet& fleet, http::client& connections,
                  std::string engine_url, int number)
        : plan_(fleet.plan()), node_(fleet.addresses().front()),
          connections_(connections),
          engine_(connections, {std::move(engine_url)}),
          name_("bench-" + std::to_string(number)), team_(number % plan_.teams)
    {}

    sample request_engine()
    {
        target::completion ask;
        ask.id = request_id(next_key());
        ask.key = request_key(ask.id.str());
        ask.model = plan_.long_model;
        ask.prompt = prompt();
        ask.max_tokens = answer_tokens;
        sample it;
        const auto began = steady::now();
        const auto end = engine_.complete(ask, [&](const target::chunk&) {
            if (it.first_byte_ms == 0)
                it.first_byte_ms = milliseconds_since(began);
            return true;
        });
        it.end_ms = milliseconds_since(began);
        it.complete = end.outcome == target::dispatch_outcome::ran;
        it.code = to_string(end.outcome);
        return it;
    }

    sample request_node()
    {
        refresh_origin();
        const http::request what = make_request();
        sample it;
        it.code = "no_answer";
        std::string pending;
        const auto began = steady::now();
        // The first chunk of the answer counts; a comment line before it
        // doesn't.
        const auto on_bytes = [&](std::string_view bytes) {
            pending += bytes;
            if (it.first_byte_ms == 0 &&
                pending.find("\"choices\"") != std::string::npos)
                it.first_byte_ms = milliseconds_since(began);
            return true;
        };
        connections_.stream(what, {.first_byte = seconds(10)}, on_bytes);
        it.end_ms = milliseconds_since(began);
        parse_outcome(pending, it);
        return it;
    }

private:
    std::string next_key()
    {
        return name_ + "-" + std::to_string(++requests_sent_);
    }

    // A few words, different each time, so that no prefix is cached.
    std::string prompt() const
    {
        return "How do I true wheel " + std::to_string(requests_sent_) +
               " of " + name_;
    }

    // Called between requests, as callers do, so that no sample includes it.
    void refresh_origin()
    {
        if (!origin_.empty() &&
            steady::now() - origin_fetched_at_ < entry_validity)
            return;
        const auto got = connections_.fetch(
            {.url = "http://" + node_ + "/v1/entry?caller=" + name_}, {});
        if (!got || got->status != 200)
            return;
        const json body = json::parse(got->body, nullptr, false);
        if (!body.is_object() || body["addresses"].empty())
            return;
        origin_ = body["addresses"][0].value("origin", "");
        origin_fetched_at_ = steady::now();
    }

    http::request make_request()
    {
        namespace field = gateway::header_name;
        const std::string key = next_key();
        http::request what;
        what.method = "POST";
        what.url = "http://" + node_ + "/v1/completions";
        what.headers = {{"Content-Type", "application/json"},
                        {field::team, trial::team_of(team_).str()},
                        {field::budget, trial::budget_of(team_).str()},
                        {field::caller_kind, plan_.kinds.back().kind.str()},
                        {field::idempotency_key, key},
                        {field::origin, origin_}};
        what.body = json{
            {"model", plan_.long_model.str()},
            {"prompt", prompt()},
            {"max_tokens", answer_tokens},
            {"stream",
             true}}.dump();
        return what;
    }

    // Called after the end time is taken, since the caller's parsing is no cost
    // of the node.
    static void parse_outcome(const std::string& answer, sample& it)
    {
        it.complete =
            answer.find("data: [DONE]") != std::string::npos &&
            answer.find("\"outcome\":\"answered\"") != std::string::npos;
        const std::string member = "\"code\":\"";
        const auto at = answer.find(member);
        if (at == std::string::npos)
            return;
        const auto from = at + member.size();
        it.code = answer.substr(from, answer.find('"', from) - from);
    }

    const trial::deployment_plan& plan_;
    const std::string node_;
    http::client& connections_;
    target::http_target_client engine_;
    const std::string name_;
    const int team_;
    std::uint64_t requests_sent_ = 0;
    std::string origin_;
    steady::time_point origin_fetched_at_;
};

/// CPU time of the process, from /proc/self/stat.
double cpu_seconds()
{
    std::ifstream in("/proc/self/stat");
    std::string all;
    std::getline(in, all);
    // The program's name, in parentheses, may contain spaces.
    std::istringstream rest(all.substr(all.rfind(')') + 2));
    constexpr int fields_before = 11; // From state to cmajflt.
    std::string skipped;
    for (int n = 0; n < fields_before; ++n)
        rest >> skipped;
    double user = 0;
    double system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// The value of a line of /proc/self/status, such as "VmRSS:", in megabytes; 0
/// if there is none.
double memory_mb(const std::string& name)
{
    std::ifstream in("/proc/self/status");
    std::string field;
    while (in >> field) {
        double kilobytes = 0;
        if (field == name && in >> kilobytes)
            return kilobytes / 1024;
    }
    return 0;
}

std::string machine_load()
{
    std::ifstream in("/proc/loadavg");
    std::string first;
    in >> first;
    return first;
}

struct run_plan
{
    int streams = 0;
    duration warm_up;
    duration measured;
    duration pause;
};

struct measurement
{
    both_paths paths;
    double seconds = 0;
    double cpu = 0;
    std::string load_before;
};

measurement run(const trial::fleet& fleet, const run_plan& plan)
{
    http::client connections({.max_idle_per_address = 1'024});
    const auto urls = fleet.engine_urls(fleet.plan().long_model);
    std::vector<both_paths> parts(static_cast<std::size_t>(plan.streams));
    std::atomic<bool> measuring{false};
    std::atomic<bool> finished{false};
    std::vector<std::thread> threads;
    threads.reserve(parts.size());
    for (int n = 0; n < plan.streams; ++n) {
        threads.emplace_back([&, n] {
            const auto index = static_cast<std::size_t>(n);
            stream_caller caller(fleet, connections,
                                 urls[index / 2 % urls.size()], n);
            for (int round = n; !finished; ++round) {
                const bool counted = measuring;
                const bool directly = round % 2 == 0;
                const sample it =
                    directly ? caller.request_engine() : caller.request_node();
                auto& way =
                    directly ? parts[index].direct : parts[index].through;
                if (counted && !finished)
                    way.add(it);
                if (plan.pause > duration(0))
                    std::this_thread::sleep_for(plan.pause);
            }
        });
    }
    measurement made;
    std::this_thread::sleep_for(plan.warm_up);
    made.load_before = machine_load();
    const double cpu = cpu_seconds();
    const auto began = steady::now();
    measuring = true;
    std::this_thread::sleep_for(plan.measured);
    finished = true;
    made.seconds = milliseconds_since(began) / 1000;
    made.cpu = cpu_seconds() - cpu;
    for (std::thread& it : threads)
        it.join();
    for (const both_paths& it : parts) {
        made.paths.direct.merge(it.direct);
        made.paths.through.merge(it.through);
    }
    return made;
}

/// Quantile `share` (0 to 1) of `sorted`, which must not be empty.
double quantile(const std::vector<double>& sorted, double share)
{
    return sorted[static_cast<std::size_t>(
        share * static_cast<double>(sorted.size() - 1))];
}

json compare(std::vector<double> direct, std::vector<double> through)
{
    json out;
    std::ranges::sort(direct);
    std::ranges::sort(through);
    for (const auto& [name, share] :
         {std::pair("p50", 0.50), std::pair("p95", 0.95),
          std::pair("p99", 0.99)}) {
        const double a = quantile(direct, share);
        const double b = quantile(through, share);
        out[name] = {{"direct_ms", a}, {"node_ms", b}, {"added_ms", b - a}};
    }
    return out;
}

json make_report(const measurement& made, const run_plan& plan)
{
    const path_samples& direct = made.paths.direct;
    const path_samples& through = made.paths.through;
    const auto completed =
        static_cast<double>(direct.end_ms.size() + through.end_ms.size());
    json out = {
        {"streams", plan.streams},
        {"pause_ms", 1000 * to_seconds(plan.pause)},
        {"seconds", made.seconds},
        {"cores", std::thread::hardware_concurrency()},
        {"load_before", made.load_before},
        {"direct_requests", direct.end_ms.size()},
        {"node_requests", through.end_ms.size()},
        {"direct_failed", direct.failed},
        {"node_failed", through.failed},
        {"requests_per_s", completed / made.seconds},
        {"first_byte", compare(direct.first_byte_ms, through.first_byte_ms)},
        {"end", compare(direct.end_ms, through.end_ms)},
        {"process_cpu_cores", made.cpu / made.seconds},
        {"process_cpu_us_per_request", 1e6 * made.cpu / completed},
        {"process_rss_mb", memory_mb("VmRSS:")},
        {"process_peak_rss_mb", memory_mb("VmHWM:")},
        {"goal_p50_ms", goal_p50_ms},
        {"goal_p99_ms", goal_p99_ms}};
    for (const char* way : {"first_byte", "end"}) {
        const json& of = out[way];
        out["met"][way] = of["p50"]["added_ms"].get<double>() < goal_p50_ms &&
                          of["p99"]["added_ms"].get<double>() < goal_p99_ms;
    }
    return out;
}

void print_text(const json& it)
{
    for (const char* what : {"first_byte", "end"}) {
        for (const char* share : {"p50", "p95", "p99"}) {
            const json& row = it[what][share];
            std::printf("%-10s %s: direct %8.2f ms, node %8.2f ms, added "
                        "%8.2f ms\n",
                        what, share, row["direct_ms"].get<double>(),
                        row["node_ms"].get<double>(),
                        row["added_ms"].get<double>());
        }
    }
    std::printf(
        "%d streams, %.0f requests/s; failed: direct %s, node %s\n"
        "whole process: %.1f cores, %.0f us CPU a request, %.0f MB "
        "(peak %.0f); load before %s on %u cores\n"
        "goal p50 < %.0f ms, p99 < %.0f ms added: first byte %s, end %s\n",
        it["streams"].get<int>(), it["requests_per_s"].get<double>(),
        it["direct_failed"].dump().c_str(), it["node_failed"].dump().c_str(),
        it["process_cpu_cores"].get<double>(),
        it["process_cpu_us_per_request"].get<double>(),
        it["process_rss_mb"].get<double>(),
        it["process_peak_rss_mb"].get<double>(),
        it["load_before"].get<std::string>().c_str(),
        it["cores"].get<unsigned>(), goal_p50_ms, goal_p99_ms,
        it["met"]["first_byte"].get<bool>() ? "met" : "missed",
        it["met"]["end"].get<bool>() ? "met" : "missed");
}

settings::settings declare_flags()
{
    settings::settings flags("bench path",
                             "Latency that a node adds to a request, compared "
                             "with direct calls of the same engines.");
    flags.choice("format", {"text", "json"}, "format of the results");
    flags.number({.name = "streams",
                  .fallback = 200,
                  .low = 2,
                  .high = 400,
                  .unit = "streams",
                  .help = "streams open at a time, half of them direct"});
    flags.milliseconds("warm-up", 2'000, "time before the measurement");
    flags.milliseconds("measure", 8'000, "time of the measurement");
    flags.milliseconds("pause", 0, "time between two requests of a stream", 0);
    return flags;
}

} // namespace

int run_bench_path(int argc, char** argv)
{
    settings::settings flags = declare_flags();
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const run_plan plan{static_cast<int>(flags.number_of("streams")),
                        flags.duration_of("warm-up"),
                        flags.duration_of("measure"),
                        flags.duration_of("pause")};
    const system_clock time;
    const auto fleet =
        trial::fleet::start(make_plan(), {.node_threads = node_threads}, time);
    if (!fleet) {
        std::cerr << "bench path: " << fleet.error().message << '\n';
        return exit_failure;
    }
    const measurement made = run(**fleet, plan);
    const bool clean = (*fleet)->shut_down();
    if (made.paths.direct.end_ms.empty() || made.paths.through.end_ms.empty()) {
        std::cerr
            << "bench path: a path has no complete answer; failed: direct "
            << json(made.paths.direct.failed) << ", node "
            << json(made.paths.through.failed) << '\n';
        return exit_failure;
    }
    const json report = make_report(made, plan);
    if (flags.text_of("format") == "json")
        std::cout << report.dump(1) << '\n';
    else
        print_text(report);
    if (!clean)
        std::cerr << "bench path: the node did not shut down cleanly\n";
    return clean ? exit_success : exit_failure;
}

} // namespace fennelladder::app
