#include "fennelladder/standin/service_server.hpp"

#include "fennelladder/standin/answer.hpp"
#include "web_server.hpp"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace fennelladder::standin {

namespace {

using nlohmann::json;

constexpr std::string_view json_type = "application/json";
constexpr std::string_view call_path = "/v1/call/";

void reject(web_reply& reply, int status, std::string_view why)
{
    reply.whole(status, json_type, json{{"error", why}}.dump(),
                {{"X-Request-Ran", "no"}});
}

} // namespace

class service_server::state
{
public:
    explicit state(service_server_options options)
        : options_(std::move(options)), log_(options_.on_execution),
          server_({options_.ip, options_.port, options_.threads},
                  [this](const web_request& ask, web_reply& reply) {
                      serve(ask, reply);
                  })
    {}

    web_server& server() { return server_; }
    const execution_log& log() const { return log_; }
    void set_leaving(bool leaving) { leaving_ = leaving; }

    void set_faults(service_faults faults)
    {
        const std::lock_guard lock(mutex_);
        faults_ = faults;
    }

private:
    void serve(const web_request& ask, web_reply& reply)
    {
        if (ask.path.starts_with(call_path) && ask.method == "POST")
            return serve_call(ask, reply);
        if (ask.path == "/v1/health")
            return reply.whole(200, "text/plain", "well");
        if (ask.path == "/v1/load")
            return serve_load(reply);
        reject(reply, 404, "no such path");
    }

    void serve_load(web_reply& reply)
    {
        const json out{{"running", running_.load()},
                       {"waiting", 0},
                       {"slots", options_.threads},
                       {"waiting_prefill_tokens", 0},
                       {"memory_used", 0.0},
                       {"leaving", leaving_.load()},
                       {"age_ms", 0}};
        reply.whole(200, json_type, out.dump());
    }

    std::optional<duration> latency_of(const std::string& name) const
    {
        if (options_.calls.empty())
            return service_call_options().latency;
        const auto it = std::ranges::find(options_.calls, name,
                                          &service_call_options::name);
        if (it == options_.calls.end())
            return std::nullopt;
        return it->latency;
    }

    void serve_call(const web_request& ask, web_reply& reply)
    {
        const std::string name = ask.path.substr(call_path.size());
        const auto latency = latency_of(name);
        if (!latency)
            return reject(reply, 404, "no such call");
        const service_faults now = faults();
        if (now.reject)
            return reject(reply, 503, "turned away");
        const request_key key(ask.decoded_header("x-request-key"));
        run(ask, name, key, *latency);
        if (now.lose_replies)
            return reply.drop();
        reply.whole(200, json_type, service_answer(key, name, ask.body));
    }

    void run(const web_request& ask, const std::string& name,
             const request_key& key, duration latency)
    {
        execution record;
        record.target = options_.name;
        record.call = name;
        record.key = key;
        record.id = request_id(ask.header("x-request-id"));
        record.attempt = ask.header_number("x-attempt");
        ++running_;
        log_.add(record);
        std::this_thread::sleep_for(latency);
        record.phase = execution_phase::finished;
        log_.add(record);
        --running_;
    }

    service_faults faults() const
    {
        const std::lock_guard lock(mutex_);
        return faults_;
    }

    const service_server_options options_;
    execution_log log_;
    mutable std::mutex mutex_; // Guards faults_.
    service_faults faults_;
    std::atomic<bool> leaving_ = false;
    std::atomic<std::uint32_t> running_ = 0;
    web_server server_; // Its threads use everything above.
};

service_server::service_server(service_server_options options)
    : state_(std::make_unique<state>(std::move(options)))
{}

service_server::~service_server() = default;

bool service_server::started() const
{
    return state_->server().started();
}

std::string service_server::url() const
{
    return state_->server().url();
}

int service_server::port() const
{
    return state_->server().port();
}

void service_server::set_faults(service_faults faults)
{
    state_->set_faults(faults);
}

void service_server::set_leaving(bool leaving)
{
    state_->set_leaving(leaving);
}

void service_server::silence_open_connections()
{
    state_->server().mute_open_connections();
}

void service_server::crash()
{
    state_->server().abort();
}

void service_server::restart()
{
    state_->server().start();
}

std::vector<execution> service_server::executions() const
{
    return state_->log().all();
}

std::size_t service_server::executions_of(const request_key& key) const
{
    const auto all = executions();
    return static_cast<std::size_t>(
        std::ranges::count_if(all, [&](const execution& it) {
            return it.key == key && it.phase == execution_phase::started;
        }));
}

} // namespace fennelladder::standin
