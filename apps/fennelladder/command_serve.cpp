// `fennelladder serve`: runs one node until SIGTERM or SIGINT.

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

constexpr duration signal_poll_interval = milliseconds(50);

std::atomic<bool> stop_requested{false};

void on_signal(int)
{
    stop_requested = true;
}

settings::settings declare_flags()
{
    settings::settings flags(
        "serve", "Runs one node of the fleet until SIGTERM or SIGINT, then "
                 "drains and stops.");
    flags.text("host", "", "name of this host, unique in the fleet");
    flags.text("data-center", "", "data center of this host");
    flags.text("region", "", "region of this host");
    flags.text("listen", "127.0.0.1:8080", "IP:port to listen on for callers");
    flags.text("peer-listen", "127.0.0.1:9080",
               "IP:port to listen on for other nodes");
    flags.text("platform", "http://127.0.0.1:7000",
               "URL of the platform's object API");
    flags.text("seeds", "", "IP:port,... of nodes to contact at start");
    flags.number({.name = "threads",
                  .fallback = 256,
                  .low = 4,
                  .high = 8192,
                  .unit = "threads",
                  .help = "requests served at once"});
    flags.number(
        {.name = "shards",
         .fallback = 16,
         .low = 1,
         .high = 4096,
         .unit = "shards",
         .help = "shards of the journal; takes effect when the fleet first "
                 "starts"});
    flags.milliseconds("flush-interval", 100,
                       "how long a shard's owner batches records");
    flags.milliseconds("load-interval", 250,
                       "time between load queries to targets");
    flags.milliseconds("drain-limit", 120'000,
                       "longest time to drain at shutdown");
    flags.text("history", "", "file to write the node's history to");
    flags.choice("log-format", {"text", "json"}, "format of log lines");
    return flags;
}

node::node_options options_of(const settings::settings& flags)
{
    node::node_options options;
    options.host = host_id(flags.text_of("host"));
    options.data_center = data_center_id(flags.text_of("data-center"));
    options.region = region_id(flags.text_of("region"));
    options.caller_listen = flags.text_of("listen");
    options.peer_listen = flags.text_of("peer-listen");
    options.platform_url = flags.text_of("platform");
    options.seeds = split_list(flags.text_of("seeds"));
    options.threads = static_cast<int>(flags.number_of("threads"));
    options.shards = static_cast<std::uint32_t>(flags.number_of("shards"));
    options.flush_interval = flags.duration_of("flush-interval");
    options.load_interval = flags.duration_of("load-interval");
    options.seed = std::random_device()();
    return options;
}

} // namespace

int run_serve(int argc, char** argv)
{
    settings::settings flags = declare_flags();
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    if (flags.text_of("host").empty()) {
        std::cerr << "--host: is missing\n";
        return exit_bad_input;
    }
    telemetry::configure_log({.json = flags.text_of("log-format") == "json"});
    node::node_options options = options_of(flags);
    std::unique_ptr<history::recorder> recorder;
    if (flags.given("history")) {
        auto made = history::recorder::open({.path = flags.text_of("history")});
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
    while (!stop_requested)
        std::this_thread::sleep_for(signal_poll_interval);
    const bool clean = (*made)->shut_down(flags.duration_of("drain-limit"));
    return clean ? exit_success : exit_failure;
}

} // namespace fennelladder::app
