// `fennelladder standin platform|engine|service`: runs a simulated platform,
// engine or service as a process of its own until SIGINT or SIGTERM.

#include "command_table.hpp"
#include "commands.hpp"
#include "fennelladder/base/text.hpp"
#include "fennelladder/settings/settings.hpp"
#include "fennelladder/standin/engine_server.hpp"
#include "fennelladder/standin/platform_server.hpp"
#include "fennelladder/standin/service_server.hpp"

#include <array>
#include <charconv>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace fennelladder::app {

namespace {

// Waits for SIGINT or SIGTERM. Construct it before any thread starts: threads
// inherit the blocked signal mask, so that only wait() receives the signals.
class stop_signal
{
public:
    stop_signal()
    {
        sigemptyset(&set_);
        sigaddset(&set_, SIGINT);
        sigaddset(&set_, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &set_, nullptr);
    }

    void wait() const
    {
        int signal = 0;
        sigwait(&set_, &signal);
    }

private:
    sigset_t set_{};
};

struct listen_address
{
    std::string ip;
    int port = 0;
};

listen_address parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    listen_address out{text.substr(0, colon), 0};
    if (colon != std::string::npos)
        std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                        out.port);
    return out;
}

// "MODEL", "MODEL@VERSION" or "MODEL@VERSION+ADAPTER".
standin::engine_model_name parse_model(const std::string& text)
{
    standin::engine_model_name out;
    const auto plus = text.find('+');
    if (plus != std::string::npos)
        out.adapter = text.substr(plus + 1);
    const std::string base = text.substr(0, plus);
    const auto at = base.find('@');
    if (at != std::string::npos)
        out.version = base.substr(at + 1);
    out.model = base.substr(0, at);
    return out;
}

template <class Server>
int serve(const stop_signal& stop, Server& server, const std::string& what)
{
    if (!server.started()) {
        std::cerr << "fennelladder: can't listen as " << what << '\n';
        return exit_failure;
    }
    std::cout << what << " stand-in at " << server.url() << std::endl;
    stop.wait();
    return exit_success;
}

void declare_common(settings::settings& flags, const std::string& listen)
{
    flags.text("listen", listen, "IP:PORT to listen on; port 0: any free port");
    flags.number({.name = "threads",
                  .fallback = 256,
                  .low = 1,
                  .high = 4096,
                  .unit = "connections",
                  .help = "connections served at once"});
}

int run_platform(int argc, char** argv)
{
    settings::settings flags(
        "standin platform",
        "The platform's object API and host list, in memory.");
    declare_common(flags, "127.0.0.1:7000");
    flags.milliseconds("host-list-lag", 0,
                       "age of the host list that is served", 0);
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const stop_signal stop;
    const auto listen = parse_address(flags.text_of("listen"));
    standin::platform_server_options options;
    options.ip = listen.ip;
    options.port = listen.port;
    options.threads = static_cast<int>(flags.number_of("threads"));
    options.host_list_lag = flags.duration_of("host-list-lag");
    standin::platform_server server(options);
    return serve(stop, server, "platform");
}

int run_engine(int argc, char** argv)
{
    settings::settings flags("standin engine", "A simulated model engine.");
    declare_common(flags, "127.0.0.1:8000");
    flags.text("name", "engine", "name in executions");
    flags.text("models", "",
               "models loaded at start, comma-separated "
               "MODEL[@VERSION][+ADAPTER]; empty: any is served");
    flags.number({.name = "step",
                  .fallback = 2'000,
                  .low = 1,
                  .high = 10'000'000,
                  .unit = "us",
                  .help = "duration of a decoding step"});
    flags.number({.name = "slots",
                  .fallback = 32,
                  .low = 1,
                  .high = 10'000,
                  .unit = "sequences",
                  .help = "sequences run at once"});
    flags.milliseconds("load-lag", 100, "delay of load reports", 0);
    flags.milliseconds("load-time", 50, "time to load a model or adapter", 0);
    flags.flag("ignores-fencing",
               "accept orders with outdated fencing numbers");
    flags.text("poison-marker", "<poison>",
               "text that crashes the engine when a prompt contains it");
    flags.milliseconds("restart-after", 1'000,
                       "time to restart after a crash by poison");
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const stop_signal stop;
    const auto listen = parse_address(flags.text_of("listen"));
    standin::engine_server_options options;
    options.ip = listen.ip;
    options.port = listen.port;
    options.threads = static_cast<int>(flags.number_of("threads"));
    options.name = flags.text_of("name");
    for (const std::string& it : split_list(flags.text_of("models")))
        options.models.push_back(parse_model(it));
    options.engine.step = microseconds(flags.number_of("step"));
    options.engine.slots = static_cast<std::uint32_t>(flags.number_of("slots"));
    options.engine.report_lag = flags.duration_of("load-lag");
    options.load_time = flags.duration_of("load-time");
    options.checks_fencing = !flags.flag_of("ignores-fencing");
    options.poison_marker = flags.text_of("poison-marker");
    options.restart_after = flags.duration_of("restart-after");
    standin::engine_server server(options);
    return serve(stop, server, "engine");
}

int run_service(int argc, char** argv)
{
    settings::settings flags("standin service", "A simulated service.");
    declare_common(flags, "127.0.0.1:8100");
    flags.text("name", "service", "name in executions");
    flags.text("calls", "",
               "calls that are served, comma-separated; empty: any");
    flags.milliseconds("latency", 1, "duration of a call", 0);
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const stop_signal stop;
    const auto listen = parse_address(flags.text_of("listen"));
    standin::service_server_options options;
    options.ip = listen.ip;
    options.port = listen.port;
    options.threads = static_cast<int>(flags.number_of("threads"));
    options.name = flags.text_of("name");
    for (const std::string& it : split_list(flags.text_of("calls")))
        options.calls.push_back({it, flags.duration_of("latency")});
    standin::service_server server(options);
    return serve(stop, server, "service");
}

constexpr auto standins = std::to_array<command>({
    {"engine", "a simulated model engine", run_engine},
    {"platform", "a simulated object API and host list", run_platform},
    {"service", "a simulated service", run_service},
});

} // namespace

int run_standin(int argc, char** argv)
{
    return run_from_table("fennelladder standin", standins, argc, argv);
}

} // namespace fennelladder::app
