// Each completion is carried by the server's thread for its connection. The
// engine model decides when tokens come; the thread makes up their text.

#include "fennelladder/standin/engine_server.hpp"

#include "crash_switch.hpp"
#include "engine_driver.hpp"
#include "fennelladder/standin/answer.hpp"
#include "web_server.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
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

bool parse_blocks(const std::string& body, std::vector<std::uint64_t>& out)
{
    const json from = json::parse(body, nullptr, false);
    if (!from.is_object())
        return false;
    try {
        out = from.at("blocks").get<std::vector<std::uint64_t>>();
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

std::string_view name_of(engine_cache_event::kind what)
{
    switch (what) {
    case engine_cache_event::kind::stored:
        return "stored";
    case engine_cache_event::kind::evicted:
        return "evicted";
    case engine_cache_event::kind::cleared:
        break;
    }
    return "cleared";
}

bool covers(const engine_model_name& loaded, const engine_model_name& wanted)
{
    const bool version =
        wanted.version.empty() || loaded.version == wanted.version;
    return version && loaded.model == wanted.model &&
           loaded.adapter == wanted.adapter;
}

} // namespace

class engine_server::state
{
public:
    explicit state(engine_server_options options)
        : options_(std::move(options)),
          driver_(options_.engine, options_.seed, options_.queue_limit),
          log_(options_.on_execution), role_(options_.role),
          server_({options_.ip, options_.port, options_.threads},
                  [this](const web_request& ask, web_reply& reply) {
                      serve(ask, reply);
                  }),
          crash_(
              options_.restart_after, [this] { end(); }, [this] { start(); })
    {
        for (const engine_model_name& it : options_.models)
            loaded_[it] = steady::now();
    }

    // First no new start, then no handlers: they use everything below.
    ~state()
    {
        crash_.stop();
        end();
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    // Requests in the engine first: their threads wait there.
    void end()
    {
        driver_.take_down();
        server_.abort();
        forget();
    }

    void start()
    {
        driver_.bring_up();
        server_.start();
    }

    web_server& server() { return server_; }
    crash_switch& crasher() { return crash_; }
    const execution_log& log() const { return log_; }
    const engine_driver& driver() const { return driver_; }

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
            return serve_events(ask, reply);
        if (ask.path == "/v1/kv/export" && ask.method == "POST")
            return serve_export(ask, reply);
        if (ask.path == "/v1/kv/import" && ask.method == "POST")
            return serve_import(ask, reply);
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
        if (wanted.resume_offset == whole.length())
            return run(wanted, whole, {}, reply);
        const auto sequence =
            driver_.submit(make_engine_request(wanted, whole));
        if (!sequence)
            return reject(reply, 429, "queue is full");
        run(wanted, whole, sequence, reply);
        driver_.leave(*sequence);
    }

    engine_request make_engine_request(const completion& wanted,
                                       const answer& whole) const
    {
        engine_request out;
        out.priority = wanted.priority;
        out.prompt_tokens = count_tokens(wanted.prompt);
        out.output_tokens = whole.length();
        out.resume_at = wanted.resume_offset;
        out.prefix = prompt_blocks(wanted.prompt, options_.engine.block_tokens);
        return out;
    }

    void run(const completion& wanted, const answer& whole,
             const engine_driver::ticket& sequence, web_reply& reply)
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
        const bool done =
            reply.begin(200, "text/event-stream",
                        {{"X-Request-Id", wanted.id.str()}}) &&
            (!sequence ||
             send_tokens(wanted, whole, *sequence, record, reply)) &&
            reply.chunk(make_last_event(wanted, whole, sequence.get()));
        if (done)
            reply.finish();
        record.phase =
            done ? execution_phase::finished : execution_phase::aborted;
        log_.add(record);
    }

    bool send_tokens(const completion& wanted, const answer& whole,
                     engine_sequence& sequence, execution& record,
                     web_reply& reply)
    {
        while (record.to < whole.length()) {
            if (!driver_.wait(sequence))
                return false;
            const std::uint32_t next = next_end(sequence, record);
            if (meets_crash(wanted, next - record.to))
                return false;
            if (next == record.to) {
                reply.finish();
                return false;
            }
            if (!reply.chunk(make_event(wanted, whole, record.to, next)))
                return false;
            record.to = next;
        }
        return true;
    }

    // Up to which token to send next; no further if the answer is to be cut.
    std::uint32_t next_end(const engine_sequence& sequence,
                           const execution& record) const
    {
        const std::uint32_t cut = faults().cut_after_tokens;
        const std::uint32_t made = sequence.produced();
        return cut > 0 ? std::min(made, record.from + cut) : made;
    }

    bool meets_crash(const completion& wanted, std::uint32_t tokens)
    {
        const bool poison =
            wanted.prompt.find(options_.poison_marker) != std::string::npos;
        if (poison || count_down_to_crash(tokens))
            crash_.trip();
        return crash_.tripped();
    }

    bool count_down_to_crash(std::uint32_t tokens)
    {
        const std::lock_guard lock(mutex_);
        if (faults_.crash_after_tokens == 0)
            return false;
        const bool now = faults_.crash_after_tokens <= tokens;
        faults_.crash_after_tokens -= now ? 0 : tokens;
        return now;
    }

    std::string event_id(const completion& wanted) const
    {
        return faults().crossed ? wanted.id.str() + "-other" : wanted.id.str();
    }

    std::string make_event(const completion& wanted, const answer& whole,
                           std::uint32_t from, std::uint32_t to) const
    {
        const json event{{"request_id", event_id(wanted)},
                         {"offset", from},
                         {"tokens", to - from},
                         {"choices",
                          {{{"index", 0},
                            {"text", whole.text(from, to)},
                            {"finish_reason", nullptr}}}}};
        return "data: " + event.dump() + "\n\n";
    }

    std::string make_last_event(const completion& wanted, const answer& whole,
                                const engine_sequence* sequence) const
    {
        const std::uint32_t cached = sequence ? sequence->cached_tokens() : 0;
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
                           {"completion_tokens", whole.length()},
                           {"cached_tokens", cached}}}};
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

    void serve_load(web_reply& reply)
    {
        duration age{};
        const engine_load seen = driver_.load(age);
        const std::lock_guard lock(mutex_);
        reply.whole(
            200, json_type,
            json{{"running", seen.running},
                 {"waiting", seen.waiting},
                 {"slots", options_.engine.slots},
                 {"waiting_prefill_tokens", seen.waiting_prefill_tokens},
                 {"memory_used", seen.memory_used},
                 {"leaving", leaving_},
                 {"age_ms", std::chrono::floor<milliseconds>(age).count()}}
                .dump());
    }

    void serve_events(const web_request& ask, web_reply& reply)
    {
        std::uint64_t next = ask.parameter_number("after");
        json events = json::array();
        for (const engine_cache_event& it : driver_.events(next)) {
            next = std::max(next, it.sequence);
            events.push_back({{"sequence", it.sequence},
                              {"kind", name_of(it.what)},
                              {"blocks", it.blocks}});
        }
        reply.whole(200, json_type,
                    json{{"life", crash_.crashes()},
                         {"events", std::move(events)},
                         {"next", next}}
                        .dump());
    }

    void serve_export(const web_request& ask, web_reply& reply)
    {
        std::vector<std::uint64_t> blocks;
        if (!parse_blocks(ask.body, blocks))
            return reject(reply, 400, "bad list of blocks");
        blocks.resize(driver_.cached_blocks(blocks));
        if (blocks.empty())
            return reject(reply, 404, "none of the blocks is cached");
        reply.whole(200, "application/octet-stream",
                    json{{"blocks", blocks}}.dump());
    }

    void serve_import(const web_request& ask, web_reply& reply)
    {
        std::vector<std::uint64_t> blocks;
        if (!parse_blocks(ask.body, blocks))
            return reject(reply, 400, "not an export");
        driver_.import_blocks(blocks);
        if (driver_.cached_blocks(blocks) == 0)
            return reject(reply, 507, "no room");
        reply.whole(200, json_type, "{}");
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
        faults_.crash_after_tokens = 0;
        loaded_.clear();
        for (const engine_model_name& it : options_.models)
            loaded_[it] = steady::now() + options_.load_time;
        role_ = options_.role;
    }

    const engine_server_options options_;
    engine_driver driver_;
    execution_log log_;

    // The fields below are guarded by mutex_; no other lock is taken while
    // it is held.
    mutable std::mutex mutex_;
    engine_faults faults_;
    bool leaving_ = false;
    std::map<engine_model_name, steady::time_point> loaded_; // Ready when.
    std::string role_;
    std::uint64_t fencing_ = 0;

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
    state_->start();
}

std::vector<execution> engine_server::executions() const
{
    return state_->log().all();
}

engine_work engine_server::work() const
{
    return state_->driver().work();
}

std::uint32_t engine_server::crashes() const
{
    return state_->crasher().crashes();
}

} // namespace fennelladder::standin
