// `fennelladder standin platform|engine|service`: one stand-in as a process
// of its own. It serves until SIGINT or SIGTERM.

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

// Signals are blocked before any thread starts, so that none of them takes
// one; wait() then receives it.
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
        std::cerr << "fennelladder: can't listen for the " << what << '\n';
        return exit_failure;
    }
    std::cout << what << " stand-in at " << server.url() << std::endl;
    stop.wait();
    return exit_success;
}

void declare_common(settings::settings& wanted, const std::string& listen)
{
    wanted.text("listen", listen, "IP:PORT to listen on; port 0 picks one");
    wanted.number({.name = "threads",
                   .fallback = 256,
                   .low = 1,
                   .high = 4096,
                   .unit = "connections",
                   .help = "served at once"});
}

int run_platform(int argc, char** argv)
{
    settings::settings wanted("standin platform",
                              "Object API and host list in memory.");
    declare_common(wanted, "127.0.0.1:7000");
    wanted.milliseconds("host-list-lag", 0, "age of the host list shown", 0);
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const stop_signal stop;
    const auto listen = parse_address(wanted.text_of("listen"));
    standin::platform_server_options options;
    options.ip = listen.ip;
    options.port = listen.port;
    options.threads = static_cast<int>(wanted.number_of("threads"));
    options.host_list_lag = wanted.duration_of("host-list-lag");
    standin::platform_server server(options);
    return serve(stop, server, "platform");
}

int run_engine(int argc, char** argv)
{
    settings::settings wanted("standin engine", "A model engine.");
    declare_common(wanted, "127.0.0.1:8000");
    wanted.text("name", "engine", "name in executions");
    wanted.text("models", "",
                "loaded from the start, comma-separated "
                "MODEL[@VERSION][+ADAPTER]; empty: any is served");
    wanted.number({.name = "step",
                   .fallback = 2'000,
                   .low = 1,
                   .high = 10'000'000,
                   .unit = "us",
                   .help = "time of a decoding step"});
    wanted.number({.name = "slots",
                   .fallback = 32,
                   .low = 1,
                   .high = 10'000,
                   .unit = "sequences",
                   .help = "run at once"});
    wanted.milliseconds("load-lag", 100, "until a load report arrives", 0);
    wanted.milliseconds("load-time", 50, "to load a model or adapter", 0);
    wanted.flag("ignores-fencing", "obeys orders with old fencing numbers");
    wanted.text("poison-marker", "<poison>",
                "a prompt that holds it crashes the engine");
    wanted.milliseconds("restart-after", 1'000, "after a crash by poison");
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const stop_signal stop;
    const auto listen = parse_address(wanted.text_of("listen"));
    standin::engine_server_options options;
    options.ip = listen.ip;
    options.port = listen.port;
    options.threads = static_cast<int>(wanted.number_of("threads"));
    options.name = wanted.text_of("name");
    for (const std::string& it : split_list(wanted.text_of("models")))
        options.models.push_back(parse_model(it));
    options.engine.step = microseconds(wanted.number_of("step"));
    options.engine.slots =
        static_cast<std::uint32_t>(wanted.number_of("slots"));
    options.engine.report_lag = wanted.duration_of("load-lag");
    options.load_time = wanted.duration_of("load-time");
    options.checks_fencing = !wanted.flag_of("ignores-fencing");
    options.poison_marker = wanted.text_of("poison-marker");
    options.restart_after = wanted.duration_of("restart-after");
    standin::engine_server server(options);
    return serve(stop, server, "engine");
}

int run_service(int argc, char** argv)
{
    settings::settings wanted("standin service", "A plain service.");
    declare_common(wanted, "127.0.0.1:8100");
    wanted.text("name", "service", "name in executions");
    wanted.text("calls", "", "known calls, comma-separated; empty: any");
    wanted.milliseconds("latency", 1, "of a call", 0);
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const stop_signal stop;
    const auto listen = parse_address(wanted.text_of("listen"));
    standin::service_server_options options;
    options.ip = listen.ip;
    options.port = listen.port;
    options.threads = static_cast<int>(wanted.number_of("threads"));
    options.name = wanted.text_of("name");
    for (const std::string& it : split_list(wanted.text_of("calls")))
        options.calls.push_back({it, wanted.duration_of("latency")});
    standin::service_server server(options);
    return serve(stop, server, "service");
}

constexpr auto standins = std::to_array<command>({
    {"engine", "a model engine", run_engine},
    {"platform", "the platform's object API and host list", run_platform},
    {"service", "a plain service", run_service},
});

} // namespace

int run_standin(int argc, char** argv)
{
    return run_from_table("fennelladder standin", standins, argc, argv);
}

} // namespace fennelladder::app
