// HTTP over a fault wrapper over the store in memory. What the wrapper calls
// ambiguous becomes a connection closed without an answer.

#include "fennelladder/standin/platform_server.hpp"

#include "fennelladder/platform/object_protocol.hpp"
#include "web_server.hpp"

#include <deque>
#include <nlohmann/json.hpp>

namespace fennelladder::standin {

namespace {

using namespace platform;
using nlohmann::json;

constexpr std::string_view objects_path = "/v1/objects";
constexpr std::string_view cbor_type = "application/cbor";
constexpr std::string_view json_type = "application/json";
constexpr std::size_t largest_page = 10'000;

int status_of(error_code code)
{
    switch (code) {
    case error_code::not_found:
        return 404;
    case error_code::conflict:
        return 412;
    case error_code::too_large:
        return 413;
    case error_code::unavailable:
        return 503;
    default:
        return 400;
    }
}

void reply_error(web_reply& reply, const error& why)
{
    if (why.code == error_code::ambiguous)
        return reply.drop();
    reply.whole(status_of(why.code), "text/plain", why.message);
}

result<write_condition> condition_of(const web_request& ask)
{
    if (ask.header("if-none-match") == "*")
        return write_condition::absent();
    const std::string wanted = ask.header("if-match");
    if (wanted.empty())
        return write_condition::always();
    const auto version = decode_etag(wanted);
    if (!version)
        return fail(error_code::invalid, version.error().message);
    return write_condition::unchanged(*version);
}

store_faults faults_from(const json& from)
{
    store_faults out;
    out.outage = from.value("outage", false);
    out.refused = from.value("refused", 0.0);
    out.lost_reply = from.value("lost_reply", 0.0);
    out.lost_request = from.value("lost_request", 0.0);
    out.delay = milliseconds(from.value("delay_ms", 0));
    out.silent_watches = from.value("silent_watches", false);
    return out;
}

} // namespace

class platform_server::state
{
public:
    explicit state(const platform_server_options& options)
        : lag_(options.host_list_lag), store_(objects_, options.seed),
          server_({options.ip, options.port, options.threads},
                  [this](const web_request& ask, web_reply& reply) {
                      serve(ask, reply);
                  })
    {}

    memory_object_store& objects() { return objects_; }
    fault_object_store& store() { return store_; }
    web_server& server() { return server_; }

    void set_hosts(std::vector<listed_host> hosts)
    {
        const std::lock_guard lock(mutex_);
        const std::uint64_t revision = hosts_.back().page.revision + 1;
        hosts_.push_back({clock_.now(), {std::move(hosts), revision}});
    }

    platform_call_counts calls() const
    {
        const std::lock_guard lock(mutex_);
        return calls_;
    }

private:
    struct dated_hosts
    {
        instant since;
        host_page page;
    };

    void count(std::uint64_t platform_call_counts::*which, std::size_t in,
               std::size_t out)
    {
        const std::lock_guard lock(mutex_);
        ++(calls_.*which);
        calls_.bytes_in += in;
        calls_.bytes_out += out;
    }

    void serve(const web_request& ask, web_reply& reply)
    {
        const std::string_view path = ask.path;
        if (path.starts_with("/v1/control/"))
            return serve_control(ask, reply);
        if (path == "/v1/hosts")
            return serve_hosts(reply);
        if (path == objects_path)
            return !ask.parameter("watch").empty() ? serve_watch(ask, reply)
                                                   : serve_list(ask, reply);
        if (path.starts_with(objects_path) &&
            path.size() > objects_path.size() + 1)
            return serve_object(
                ask, object_key(ask.path.substr(objects_path.size() + 1)),
                reply);
        reply.whole(404, "text/plain", "no such path");
    }

    void serve_object(const web_request& ask, const object_key& key,
                      web_reply& reply)
    {
        if (ask.method == "GET")
            return serve_get(key, reply);
        const auto condition = condition_of(ask);
        if (!condition)
            return reply_error(reply, condition.error());
        count(&platform_call_counts::writes, ask.body.size(), 0);
        if (ask.method == "PUT")
            return serve_put(ask, key, *condition, reply);
        if (ask.method == "DELETE")
            return serve_delete(key, *condition, reply);
        reply.whole(405, "text/plain", "no such method");
    }

    void serve_get(const object_key& key, web_reply& reply)
    {
        const auto got = store_.get(key);
        count(&platform_call_counts::reads, 0, got ? got->value.size() : 0);
        if (!got)
            return reply_error(reply, got.error());
        reply.whole(200, "application/octet-stream", got->value,
                    {{"ETag", encode_etag(got->version)}});
    }

    void serve_put(const web_request& ask, const object_key& key,
                   write_condition condition, web_reply& reply)
    {
        const auto put = store_.put(key, ask.body, condition);
        if (!put)
            return reply_error(reply, put.error());
        reply.whole(200, "", "", {{"ETag", encode_etag(*put)}});
    }

    void serve_delete(const object_key& key, write_condition condition,
                      web_reply& reply)
    {
        const auto erased = store_.erase(key, condition);
        if (!erased)
            return reply_error(reply, erased.error());
        reply.whole(200, "", "");
    }

    void serve_list(const web_request& ask, web_reply& reply)
    {
        const auto limit = ask.parameter_number("limit");
        const auto page = store_.list(
            ask.parameter("prefix"), object_key(ask.parameter("after")),
            std::min<std::size_t>(limit, largest_page));
        reply_page(&platform_call_counts::reads, page, encode_object_page,
                   reply);
    }

    void serve_watch(const web_request& ask, web_reply& reply)
    {
        const auto revision = ask.parameter_number("watch");
        const auto ms = ask.parameter_number("wait_ms");
        const auto page =
            wait_for_changes(ask.parameter("prefix"), revision,
                             milliseconds(static_cast<std::int64_t>(
                                 std::min<std::uint64_t>(ms, 600'000))));
        reply_page(&platform_call_counts::watches, page, encode_change_page,
                   reply);
    }

    // Waits in slices, so that a crash of the server isn't held up.
    result<change_page> wait_for_changes(const std::string& prefix,
                                         std::uint64_t revision, duration wait)
    {
        constexpr duration slice = milliseconds(100);
        const instant until = clock_.now() + wait;
        while (true) {
            const duration left = until - clock_.now();
            auto page = store_.watch(prefix, revision,
                                     std::clamp(left, duration(0), slice));
            const bool over = left <= slice || server_.aborting();
            if (!page || page->reset || !page->changes.empty() || over)
                return page;
        }
    }

    template <class Page>
    void reply_page(std::uint64_t platform_call_counts::*which,
                    const result<Page>& page,
                    std::string (*encode)(const Page&), web_reply& reply)
    {
        const std::string bytes = page ? encode(*page) : std::string();
        count(which, 0, bytes.size());
        if (!page)
            return reply_error(reply, page.error());
        reply.whole(200, cbor_type, bytes);
    }

    void serve_hosts(web_reply& reply)
    {
        if (store_.faults().outage)
            return reply.whole(503, "text/plain", "the platform is out");
        const std::string bytes = encode_host_page(visible_hosts());
        count(&platform_call_counts::reads, 0, bytes.size());
        reply.whole(200, json_type, bytes);
    }

    // The newest list that is at least as old as the lag.
    host_page visible_hosts()
    {
        const std::lock_guard lock(mutex_);
        const instant seen = clock_.now() - lag_;
        while (hosts_.size() > 1 && hosts_[1].since <= seen)
            hosts_.pop_front();
        return hosts_.front().page;
    }

    void serve_control(const web_request& ask, web_reply& reply)
    {
        if (ask.path == "/v1/control/calls")
            return serve_calls(reply);
        if (ask.path == "/v1/control/silence") {
            reply.whole(200, "", "");
            return server_.mute_open_connections();
        }
        if (ask.path == "/v1/control/faults" && set_faults(ask.body))
            return reply.whole(200, "", "");
        if (ask.path == "/v1/control/hosts") {
            auto page = decode_host_page(ask.body);
            if (page) {
                set_hosts(std::move(page->hosts));
                return reply.whole(200, "", "");
            }
        }
        reply.whole(400, "text/plain", "bad control request");
    }

    bool set_faults(const std::string& body)
    {
        const json from = json::parse(body, nullptr, false);
        if (!from.is_object())
            return false;
        try {
            store_.set(faults_from(from));
            return true;
        } catch (const json::exception&) {
            return false;
        }
    }

    void serve_calls(web_reply& reply)
    {
        const platform_call_counts now = calls();
        const json out{{"reads", now.reads},
                       {"writes", now.writes},
                       {"watches", now.watches},
                       {"bytes_in", now.bytes_in},
                       {"bytes_out", now.bytes_out}};
        reply.whole(200, json_type, out.dump());
    }

    const duration lag_;
    system_clock clock_;
    memory_object_store objects_;
    fault_object_store store_;
    mutable std::mutex mutex_; // Guards hosts_ and calls_.
    std::deque<dated_hosts> hosts_{1};
    platform_call_counts calls_;
    web_server server_; // Last: its threads use everything above.
};

platform_server::platform_server(const platform_server_options& options)
    : state_(std::make_unique<state>(options))
{}

platform_server::~platform_server() = default;

bool platform_server::started() const
{
    return state_->server().started();
}

std::string platform_server::url() const
{
    return state_->server().url();
}

int platform_server::port() const
{
    return state_->server().port();
}

object_store& platform_server::objects()
{
    return state_->objects();
}

void platform_server::set_hosts(std::vector<listed_host> hosts)
{
    state_->set_hosts(std::move(hosts));
}

void platform_server::set_faults(store_faults faults)
{
    state_->store().set(faults);
}

void platform_server::silence_open_connections()
{
    state_->server().mute_open_connections();
}

void platform_server::crash()
{
    state_->server().abort();
}

void platform_server::restart()
{
    state_->server().start();
}

platform_call_counts platform_server::calls() const
{
    return state_->calls();
}

} // namespace fennelladder::standin
