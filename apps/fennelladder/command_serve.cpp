// `fennelladder serve`: runs one node until it is told to stop.

#include "command.hpp"
#include "commands.hpp"
#include "fennelladder/base/random.hpp"
#include "fennelladder/base/text.hpp"
#include "fennelladder/history/recorder.hpp"
#include "fennelladder/node/node.hpp"
#include "fennelladder/settings/settings.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <atomic>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

namespace fennelladder::app {

namespace {

constexpr duration signal_check = milliseconds(50);

std::atomic<bool> asked_to_stop{false};

void on_signal(int)
{
    asked_to_stop = true;
}

settings::settings declare()
{
    settings::settings wanted(
        "serve", "Runs one node of the fleet until SIGTERM or SIGINT, then "
                 "leaves in order.");
    wanted.text("host", "", "name of this host, unique in the fleet");
    wanted.text("data-center", "", "data center of this host");
    wanted.text("region", "", "region of this host");
    wanted.text("listen", "127.0.0.1:8080", "IP:port for callers");
    wanted.text("peer-listen", "127.0.0.1:9080", "IP:port for other nodes");
    wanted.text("platform", "http://127.0.0.1:7000",
                "URL of the platform's object API");
    wanted.text("seeds", "", "IP:port,... of nodes to ask when starting");
    wanted.number({.name = "threads",
                   .fallback = 256,
                   .low = 4,
                   .high = 8192,
                   .unit = "threads",
                   .help = "requests carried at once"});
    wanted.number(
        {.name = "shards",
         .fallback = 16,
         .low = 1,
         .high = 4096,
         .unit = "shards",
         .help = "of the journal; counts when the fleet first starts"});
    wanted.milliseconds("flush-interval", 100,
                        "how long a shard's owner gathers records");
    wanted.milliseconds("load-interval", 250, "between looks at targets");
    wanted.milliseconds("drain-limit", 120'000,
                        "longest time to leave in order");
    wanted.text("history", "", "file to write the node's history to");
    wanted.choice("log-format", {"text", "json"}, "of log lines");
    return wanted;
}

node::node_options options_of(const settings::settings& given)
{
    node::node_options options;
    options.host = host_id(given.text_of("host"));
    options.data_center = data_center_id(given.text_of("data-center"));
    options.region = region_id(given.text_of("region"));
    options.caller_listen = given.text_of("listen");
    options.peer_listen = given.text_of("peer-listen");
    options.platform_url = given.text_of("platform");
    options.seeds = split_list(given.text_of("seeds"));
    options.threads = static_cast<int>(given.number_of("threads"));
    options.shards = static_cast<std::uint32_t>(given.number_of("shards"));
    options.flush_interval = given.duration_of("flush-interval");
    options.load_interval = given.duration_of("load-interval");
    options.seed = std::random_device()();
    return options;
}

} // namespace

int run_serve(int argc, char** argv)
{
    settings::settings wanted = declare();
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    if (wanted.text_of("host").empty()) {
        std::cerr << "--host: is missing\n";
        return exit_bad_input;
    }
    telemetry::configure_log({.json = wanted.text_of("log-format") == "json"});
    node::node_options options = options_of(wanted);
    std::unique_ptr<history::recorder> recorder;
    if (wanted.given("history")) {
        auto made =
            history::recorder::open({.path = wanted.text_of("history")});
        if (!made) {
            std::cerr << "--history: " << made.error().message << '\n';
            return exit_bad_input;
        }
        recorder = std::move(*made);
        options.history = recorder.get();
    }
    const system_clock time;
    auto made = node::node::start(options, time);
    if (!made) {
        std::cerr << "fennelladder serve: " << made.error().message << '\n';
        return exit_failure;
    }
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    while (!asked_to_stop)
        std::this_thread::sleep_for(signal_check);
    const bool clean = (*made)->shut_down(wanted.duration_of("drain-limit"));
    return clean ? exit_success : exit_failure;
}

} // namespace fennelladder::app
