// `fennelladder front`: runs one node on the users' platform until SIGTERM or
// SIGINT. Its addresses and limits come from the platform's settings file.

#include "command.hpp"
#include "commands.hpp"
#include "fennelladder/edge/edge_node.hpp"
#include "fennelladder/settings/settings.hpp"
#include "fennelladder/telemetry/crash_line.hpp"
#include "fennelladder/telemetry/line_writer.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "platform/host_settings.hpp"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace fennelladder::app {

namespace {

settings::settings declare_flags()
{
    settings::settings flags(
        "front", "Runs one node on the users' platform until SIGTERM or "
                 "SIGINT, then drains and stops. Addresses and limits come "
                 "from the platform's settings file.");
    flags.text("settings-file", "",
               "path of the platform's settings file; default: the platform's");
    flags.number(
        {.name = "metrics-port",
         .fallback = 0,
         .low = 0,
         .high = 65535,
         .unit = "port",
         .help = "port of GET /metrics at the host's address; 0: none"});
    flags.milliseconds("entry-validity", 2000,
                       "how long callers may cache an entry answer");
    flags.text("decide", "",
               "decision parameters, as name=value separated by commas; "
               "\"list\" prints all names with their values");
    return flags;
}

/// Parses the value of --decide into `out`. Prints every error to standard
/// error and returns false if there is one.
bool parse_decisions(const std::string& text, edge::tuning_options& out)
{
    std::istringstream all(text);
    bool valid = true;
    for (std::string one; std::getline(all, one, ',');) {
        const auto ok = edge::set_tuning_option(out, one);
        if (!ok)
            std::cerr << "--decide: " << ok.error().message << '\n';
        valid = valid && ok;
    }
    return valid;
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
    const std::time_t whole = ms.count() / 1000;
    std::tm parts{};
    gmtime_r(&whole, &parts);
    char buf[40];
    const std::size_t n =
        std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(buf + n, sizeof buf - n, ".%03dZ",
                  static_cast<int>(ms.count() % 1000));
    return buf;
}

/// Writes log lines to `out`, with the time and the host at the front.
void set_log_output(telemetry::line_writer& out, const clock& time,
                    const std::string& host)
{
    telemetry::configure_log({.json = true});
    telemetry::set_log_sink(
        [&out, &time, host](const telemetry::event_description& what,
                            const std::string& line) {
            const std::string head =
                R"({"time":")" + timestamp() + R"(","host":")" + host + "\",";
            out.add(what, head + line.substr(1), time.now());
        });
}

/// Runs the node until it stops. An exception that escapes a coroutine ends
/// the process and cuts off every request in progress; it is logged, because
/// without a log line the exit looks like a power failure.
int run_until_stopped(edge::edge_node& node, telemetry::line_writer& log,
                      const clock& time)
{
    try {
        node.run();
        return exit_success;
    } catch (const std::exception& failure) {
        telemetry::log_event(telemetry::event::node_failed,
                             {{"error", failure.what()}});
        log.flush(time.now());
        return exit_failure;
    }
}

} // namespace

int run_front(int argc, char** argv)
{
    settings::settings flags = declare_flags();
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    edge::edge_node_options options;
    if (flags.text_of("decide") == "list") {
        for (const std::string& it : edge::list_tuning_options(options.tuning))
            std::cout << it << '\n';
        return exit_success;
    }
    if (!parse_decisions(flags.text_of("decide"), options.tuning))
        return exit_bad_input;
    std::string path = flags.text_of("settings-file");
    if (path.empty())
        path = adapter::host_settings_path();
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        std::cerr << path << ": can't be read\n";
        return exit_bad_input;
    }
    auto read = adapter::read_host_settings(text.str(), path);
    if (!read) {
        std::cerr << read.error().to_text();
        return exit_bad_input;
    }
    // A write to a connection that a caller or target has closed must not end
    // the process.
    std::signal(SIGPIPE, SIG_IGN);
    const system_clock time;
    telemetry::line_writer log(STDOUT_FILENO, {});
    set_log_output(log, time, read->host.str());
    telemetry::install_crash_handler(STDOUT_FILENO, read->host.str());
    options.settings_path = path;
    options.settings_text = text.str();
    options.entry_validity = flags.duration_of("entry-validity");
    if (const auto port = flags.number_of("metrics-port"); port != 0)
        options.metrics_address = read->ip + ":" + std::to_string(port);
    edge::asio::io_context io(1);
    edge::edge_node node(io, time, std::move(*read), options, log);
    if (auto ok = node.start(); !ok) {
        std::cerr << "fennelladder front: " << ok.error().message << '\n';
        return exit_failure;
    }
    return run_until_stopped(node, log, time);
}

} // namespace fennelladder::app
