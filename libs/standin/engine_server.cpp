// Each completion is carried by the server's thread for its connection: it
// waits for a slot of the batch by priority, then sends a token per step.

#include "fennelladder/standin/engine_server.hpp"

#include "crash_switch.hpp"
#include "fennelladder/standin/answer.hpp"
#include "web_server.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <utility>

namespace fennelladder::standin {

namespace {

using nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr std::string_view json_type = "application/json";

void reject(web_reply& reply, int status, std::string_view why)
{
    reply.whole(status, json_type, json{{"error", why}}.dump(),
                {{"X-Request-Ran", "no"}});
}

// A completion as asked for.
struct completion
{
    request_key key;
    request_id id;
    std::uint32_t attempt = 0;
    engine_model_name model;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    std::uint32_t priority = 0;
    std::uint32_t resume_offset = 0;
};

bool parse_completion(const web_request& ask, completion& out)
{
    const json from = json::parse(ask.body, nullptr, false);
    if (!from.is_object())
        return false;
    try {
        out.key = request_key(ask.decoded_header("x-request-key"));
        out.id = request_id(ask.header("x-request-id"));
        out.attempt = ask.header_number("x-attempt");
        out.model = {from.at("model").get<std::string>(),
                     from.value("version", ""), from.value("adapter", "")};
        out.prompt = from.at("prompt").get<std::string>();
        out.max_tokens = from.at("max_tokens").get<std::uint32_t>();
        out.priority = from.value("priority", 0U);
        out.resume_offset = from.value("resume_offset", 0U);
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

bool covers(const engine_model_name& loaded, const engine_model_name& wanted)
{
    const bool version =
        wanted.version.empty() || loaded.version == wanted.version;
    return version && loaded.model == wanted.model &&
           loaded.adapter == wanted.adapter;
}

// Slots of the batch, given out by priority and then by arrival.
class slot_queue
{
public:
    explicit slot_queue(std::uint32_t slots, std::uint32_t limit)
        : slots_(slots), limit_(limit)
    {}

    enum class entry : std::uint8_t
    {
        got,
        full,
        aborted
    };

    entry enter(std::uint32_t priority, const web_server& server)
    {
        std::unique_lock lock(mutex_);
        if (waiting_.size() >= limit_)
            return entry::full;
        const std::pair me(priority, ++arrivals_);
        waiting_.insert(me);
        while (running_ >= slots_ || *waiting_.begin() != me) {
            changed_.wait_for(lock, milliseconds(5));
            if (server.aborting()) {
                waiting_.erase(me);
                return entry::aborted;
            }
        }
        waiting_.erase(me);
        ++running_;
        changed_.notify_all();
        return entry::got;
    }

    void leave()
    {
        const std::lock_guard lock(mutex_);
        --running_;
        changed_.notify_all();
    }

    std::pair<std::uint32_t, std::size_t> load() const
    {
        const std::lock_guard lock(mutex_);
        return {running_, waiting_.size()};
    }

private:
    const std::uint32_t slots_;
    const std::size_t limit_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::set<std::pair<std::uint32_t, std::uint64_t>> waiting_;
    std::uint64_t arrivals_ = 0;
    std::uint32_t running_ = 0;
};

} // namespace

class engine_server::state
{
public:
    explicit state(engine_server_options options)
        : options_(std::move(options)),
          slots_(options_.slots, options_.queue_limit),
          log_(options_.on_execution), role_(options_.role),
          server_({options_.ip, options_.port, options_.threads},
                  [this](const web_request& ask, web_reply& reply) {
                      serve(ask, reply);
                  }),
          crash_(server_, options_.restart_after, [this] { forget(); })
    {
        for (const engine_model_name& it : options_.models)
            loaded_[it] = steady::now();
    }

    // First no new start, then no handlers: they use everything below.
    ~state()
    {
        crash_.stop();
        server_.abort();
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    web_server& server() { return server_; }
    crash_switch& crasher() { return crash_; }
    const execution_log& log() const { return log_; }

    void set_faults(engine_faults faults)
    {
        const std::lock_guard lock(mutex_);
        faults_ = faults;
    }

    void set_leaving(bool leaving)
    {
        const std::lock_guard lock(mutex_);
        leaving_ = leaving;
    }

private:
    void serve(const web_request& ask, web_reply& reply)
    {
        if (crash_.tripped())
            return reply.drop();
        if (ask.path == "/v1/completions" && ask.method == "POST")
            return serve_completion(ask, reply);
        if (ask.path == "/v1/health")
            return reply.whole(200, "text/plain", "well");
        if (ask.path == "/v1/load")
            return serve_load(reply);
        if (ask.path == "/v1/state")
            return serve_state(reply);
        if (ask.path == "/v1/orders" && ask.method == "POST")
            return serve_order(ask, reply);
        if (ask.path == "/v1/cache_events")
            return reply.whole(200, json_type, R"({"events":[],"next":0})");
        reject(reply, 404, "no such path");
    }

    void serve_completion(const web_request& ask, web_reply& reply)
    {
        completion wanted;
        if (!parse_completion(ask, wanted))
            return reject(reply, 400, "bad completion request");
        if (faults().reject)
            return reject(reply, 503, "turned away");
        if (!has_model(wanted.model))
            return reject(reply, 404, "model is not loaded");
        const answer whole(wanted.key, wanted.prompt, wanted.max_tokens);
        if (wanted.resume_offset > whole.length())
            return reject(reply, 400, "resume offset is after the end");
        const auto entered = slots_.enter(wanted.priority, server_);
        if (entered == slot_queue::entry::full)
            return reject(reply, 429, "queue is full");
        if (entered == slot_queue::entry::aborted)
            return reply.drop();
        run(wanted, whole, reply);
        slots_.leave();
    }

    void run(const completion& wanted, const answer& whole, web_reply& reply)
    {
        execution record{execution_phase::started,
                         options_.name,
                         {},
                         wanted.key,
                         wanted.id,
                         wanted.attempt,
                         wanted.resume_offset,
                         wanted.resume_offset};
        log_.add(record);
        const bool done = send_answer(wanted, whole, record, reply);
        record.phase =
            done ? execution_phase::finished : execution_phase::aborted;
        log_.add(record);
    }

    bool send_answer(const completion& wanted, const answer& whole,
                     execution& record, web_reply& reply)
    {
        if (!reply.begin(200, "text/event-stream",
                         {{"X-Request-Id", wanted.id.str()}}))
            return false;
        auto due = steady::now();
        for (std::uint32_t sent = 0; record.to < whole.length(); ++sent) {
            due += options_.step;
            std::this_thread::sleep_until(due);
            if (meets_crash(wanted))
                return false;
            const engine_faults now = faults();
            if (now.cut_after_chunks > 0 && sent >= now.cut_after_chunks) {
                reply.finish();
                return false;
            }
            if (!reply.chunk(make_event(wanted, whole, record.to)))
                return false;
            ++record.to;
        }
        return reply.chunk(make_last_event(wanted, whole)) &&
               (reply.finish(), true);
    }

    bool meets_crash(const completion& wanted)
    {
        const bool poison =
            wanted.prompt.find(options_.poison_marker) != std::string::npos;
        if (poison || count_down_to_crash())
            crash_.trip();
        return crash_.tripped();
    }

    bool count_down_to_crash()
    {
        const std::lock_guard lock(mutex_);
        return faults_.crash_after_chunks > 0 &&
               --faults_.crash_after_chunks == 0;
    }

    std::string event_id(const completion& wanted) const
    {
        return faults().crossed ? wanted.id.str() + "-other" : wanted.id.str();
    }

    std::string make_event(const completion& wanted, const answer& whole,
                           std::uint32_t offset) const
    {
        const json event{{"request_id", event_id(wanted)},
                         {"offset", offset},
                         {"tokens", 1},
                         {"choices",
                          {{{"index", 0},
                            {"text", whole.text(offset, offset + 1)},
                            {"finish_reason", nullptr}}}}};
        return "data: " + event.dump() + "\n\n";
    }

    std::string make_last_event(const completion& wanted,
                                const answer& whole) const
    {
        const bool at_limit = whole.length() == wanted.max_tokens;
        const json event{{"request_id", event_id(wanted)},
                         {"offset", whole.length()},
                         {"tokens", 0},
                         {"choices",
                          {{{"index", 0},
                            {"text", ""},
                            {"finish_reason", at_limit ? "length" : "stop"}}}},
                         {"usage",
                          {{"prompt_tokens", count_tokens(wanted.prompt)},
                           {"completion_tokens", whole.length()}}}};
        return "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
    }

    engine_faults faults() const
    {
        const std::lock_guard lock(mutex_);
        return faults_;
    }

    bool has_model(const engine_model_name& wanted) const
    {
        const std::lock_guard lock(mutex_);
        const auto now = steady::now();
        return options_.models.empty() ||
               std::ranges::any_of(loaded_, [&](const auto& it) {
                   return covers(it.first, wanted) && it.second <= now;
               });
    }

    // A report as it was about a lag ago.
    void serve_load(web_reply& reply)
    {
        const auto [running, waiting] = slots_.load();
        const std::lock_guard lock(mutex_);
        const auto now = steady::now();
        reports_.push_back({now, running, waiting});
        while (reports_.size() > 1 &&
               reports_[1].taken <= now - options_.load_lag)
            reports_.pop_front();
        const load_report& seen = reports_.front();
        const auto age =
            std::chrono::floor<milliseconds>(now - seen.taken).count();
        reply.whole(200, json_type,
                    json{{"running", seen.running},
                         {"waiting", seen.waiting},
                         {"slots", options_.slots},
                         {"waiting_prefill_tokens", 0},
                         {"memory_used", 0.0},
                         {"leaving", leaving_},
                         {"age_ms", age}}
                        .dump());
    }

    void serve_state(web_reply& reply)
    {
        const std::lock_guard lock(mutex_);
        const auto now = steady::now();
        json models = json::array();
        for (const auto& [name, ready] : loaded_)
            models.push_back({{"model", name.model},
                              {"version", name.version},
                              {"adapter", name.adapter},
                              {"ready", ready <= now}});
        reply.whole(200, json_type,
                    json{{"models", std::move(models)},
                         {"role", role_},
                         {"fencing", options_.checks_fencing ? fencing_ : 0},
                         {"leaving", leaving_}}
                        .dump());
    }

    void serve_order(const web_request& ask, web_reply& reply)
    {
        const json from = json::parse(ask.body, nullptr, false);
        if (!from.is_object())
            return reject(reply, 400, "bad order");
        try {
            serve_order(from, reply);
        } catch (const json::exception&) {
            reject(reply, 400, "bad order");
        }
    }

    void serve_order(const json& from, web_reply& reply)
    {
        const auto fencing = from.at("fencing").get<std::uint64_t>();
        const auto kind = from.at("kind").get<std::string>();
        const engine_model_name name{from.at("model").get<std::string>(),
                                     from.at("version").get<std::string>(),
                                     from.at("adapter").get<std::string>()};
        const auto role = from.at("role").get<std::string>();
        const std::lock_guard lock(mutex_);
        if (options_.checks_fencing && fencing < fencing_)
            return reject(reply, 409, "old fencing number");
        if (!obey(kind, name, role))
            return reject(reply, 400, "no such order");
        fencing_ = std::max(fencing_, fencing);
        reply.whole(200, json_type, "{}");
    }

    // Precondition: mutex_ is held.
    bool obey(const std::string& kind, const engine_model_name& name,
              const std::string& role)
    {
        if (kind == "load_model" || kind == "load_adapter")
            loaded_.try_emplace(name, steady::now() + options_.load_time);
        else if (kind == "unload_model" || kind == "unload_adapter")
            loaded_.erase(name);
        else if (kind == "set_role")
            role_ = role;
        else
            return false;
        return true;
    }

    // A crash loses what the engine had in memory; it starts again with what
    // it was configured to load.
    void forget()
    {
        const std::lock_guard lock(mutex_);
        faults_.crash_after_chunks = 0;
        loaded_.clear();
        for (const engine_model_name& it : options_.models)
            loaded_[it] = steady::now() + options_.load_time;
        role_ = options_.role;
    }

    struct load_report
    {
        steady::time_point taken;
        std::uint32_t running;
        std::size_t waiting;
    };

    const engine_server_options options_;
    slot_queue slots_;
    execution_log log_;

    // The fields below are guarded by mutex_; no other lock is taken while
    // it is held.
    mutable std::mutex mutex_;
    engine_faults faults_;
    bool leaving_ = false;
    std::map<engine_model_name, steady::time_point> loaded_; // Ready when.
    std::string role_;
    std::uint64_t fencing_ = 0;
    std::deque<load_report> reports_;

    web_server server_; // Its threads use everything above.
    crash_switch crash_;
};

engine_server::engine_server(engine_server_options options)
    : state_(std::make_unique<state>(std::move(options)))
{}

engine_server::~engine_server() = default;

bool engine_server::started() const
{
    return state_->server().started();
}

std::string engine_server::url() const
{
    return state_->server().url();
}

int engine_server::port() const
{
    return state_->server().port();
}

void engine_server::set_faults(engine_faults faults)
{
    state_->set_faults(faults);
}

void engine_server::set_leaving(bool leaving)
{
    state_->set_leaving(leaving);
}

void engine_server::silence_open_connections()
{
    state_->server().mute_open_connections();
}

void engine_server::crash()
{
    state_->crasher().crash();
}

void engine_server::restart()
{
    state_->server().start();
}

std::vector<execution> engine_server::executions() const
{
    return state_->log().all();
}

std::uint32_t engine_server::crashes() const
{
    return state_->crasher().crashes();
}

} // namespace fennelladder::standin
