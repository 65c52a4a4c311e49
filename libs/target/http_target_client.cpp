// A completion is one POST whose answer is a stream of server-sent events.
// The answer counts as whole only if a chunk with a finish reason and usage
// and then the [DONE] event came: a connection that ends before them was cut,
// however tidily it was closed.
//
// Proof that a target didn't run a request is the field "X-Request-Ran: no" in
// its answer, or, for a completion, a status that says that the request can't
// be served (4xx but 408 and 409): an engine checks a request before it
// queues it. A 4xx of a plain service is an answer of that service.

#include "fennelladder/target/http_target_client.hpp"

#include "event_stream.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace fennelladder::target {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr std::size_t max_error_bytes = 65'536;
constexpr std::size_t max_service_answer_bytes = 16'000'000;
constexpr std::string_view done_event = "[DONE]";

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string encode_completion(const completion& ask)
{
    json out{{"model", ask.model.str()},           {"prompt", ask.prompt},
             {"max_tokens", ask.max_tokens},       {"priority", ask.priority},
             {"resume_offset", ask.resume_offset}, {"stream", true}};
    if (!ask.version.empty())
        out["version"] = ask.version.str();
    if (!ask.adapter.empty())
        out["adapter"] = ask.adapter.str();
    return dump(out);
}

std::vector<http::header> identity_fields(const request_id& id,
                                          const request_key& key,
                                          std::uint32_t attempt)
{
    return {{"X-Request-Id", id.str()},
            {"X-Request-Key", http::encode_query(key.str())},
            {"X-Attempt", std::to_string(attempt)}};
}

bool says_not_run(const http::transfer& end)
{
    return end.field("X-Request-Ran") == "no";
}

bool means_unservable(int status)
{
    constexpr int request_timeout = 408;
    constexpr int conflict = 409;
    return status >= 400 && status < 500 && status != request_timeout &&
           status != conflict;
}

duration retry_after(const http::transfer& end)
{
    const std::string_view text = end.field("Retry-After");
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    constexpr double longest = 3600;
    return value > 0 && value < longest ? from_seconds(value) : duration(0);
}

// Reads one answer of a completion, event by event.
class completion_reader
{
public:
    completion_reader(const completion& ask, const chunk_receiver& on_chunk)
        : ask_(ask), on_chunk_(on_chunk),
          events_([this](std::string_view data) { return take(data); })
    {
        end_.next_offset = ask.resume_offset;
    }

    bool take_head(const http::transfer& so_far)
    {
        status_ = so_far.status;
        return true;
    }

    bool take_bytes(std::string_view bytes)
    {
        if (status_ == status_ok)
            return events_.add(bytes);
        error_body_ += bytes;
        return error_body_.size() <= max_error_bytes;
    }

    completion_end finish(const http::transfer& sent)
    {
        end_.status = sent.status;
        end_.silent = sent.outcome == http::transfer_outcome::silent;
        end_.canceled = receiver_stopped_ ||
                        sent.outcome == http::transfer_outcome::canceled;
        end_.retry_after = retry_after(sent);
        end_.outcome = judge(sent);
        if (end_.outcome != dispatch_outcome::ran)
            end_.message = explain(sent);
        return std::move(end_);
    }

private:
    dispatch_outcome judge(const http::transfer& sent) const
    {
        if (!sent.sent)
            return dispatch_outcome::never_dispatched;
        if (sent.status == status_ok)
            return done_ ? dispatch_outcome::ran
                         : dispatch_outcome::interrupted;
        if (says_not_run(sent) || means_unservable(sent.status))
            return dispatch_outcome::rejected_before_run;
        return dispatch_outcome::interrupted;
    }

    std::string explain(const http::transfer& sent) const
    {
        if (!fault_.empty())
            return fault_;
        if (!sent.complete())
            return sent.to_error().message;
        if (status_ == status_ok)
            return "answer ended before it was done";
        return "status " + std::to_string(status_) + ": " + error_body_;
    }

    bool reject(std::string fault)
    {
        fault_ = std::move(fault);
        return false;
    }

    bool take(std::string_view data)
    {
        if (done_)
            return reject("events after the end of the answer");
        if (data == done_event) {
            done_ = !end_.finish_reason.empty();
            return done_ || reject("end of the answer without a reason");
        }
        const json event = json::parse(data, nullptr, false);
        if (!event.is_object())
            return reject("event that is no JSON object");
        try {
            return take_event(event);
        } catch (const json::exception& ex) {
            return reject(ex.what());
        }
    }

    // Guards against late and crossed answers: a chunk of another request, or
    // one that doesn't go on where the last one ended, is never relayed.
    bool take_event(const json& event)
    {
        if (event.at("request_id").get_ref<const std::string&>() !=
            ask_.id.str())
            return reject("answer to another request");
        if (event.contains("error"))
            return reject("engine: " + dump(event["error"]));
        const json& choice = event.at("choices").at(0);
        chunk it{event.at("offset").get<std::uint32_t>(),
                 event.at("tokens").get<std::uint32_t>(),
                 choice.at("text").get_ref<const std::string&>()};
        if (it.offset != end_.next_offset)
            return reject("answer with a hole");
        if (it.tokens > 0 && !relay(it))
            return false;
        take_finish(event, choice);
        return true;
    }

    bool relay(const chunk& it)
    {
        end_.next_offset += it.tokens;
        receiver_stopped_ = !on_chunk_(it);
        return !receiver_stopped_;
    }

    void take_finish(const json& event, const json& choice)
    {
        const auto reason = choice.find("finish_reason");
        if (reason == choice.end() || !reason->is_string())
            return;
        end_.finish_reason = reason->get<std::string>();
        const json& usage = event.at("usage");
        end_.prompt_tokens = usage.at("prompt_tokens").get<std::uint32_t>();
        const auto cached = usage.find("cached_tokens");
        end_.cached_known = cached != usage.end();
        if (end_.cached_known)
            end_.cached_tokens = cached->get<std::uint32_t>();
    }

    const completion& ask_;
    const chunk_receiver& on_chunk_;
    event_stream events_;
    completion_end end_;
    int status_ = 0;
    std::string error_body_;
    std::string fault_; // Of the answer.
    bool receiver_stopped_ = false;
    bool done_ = false;
};

loaded_model model_from_json(const json& from)
{
    return {model_id(from.at("model").get<std::string>()),
            model_version(from.at("version").get<std::string>()),
            adapter_id(from.at("adapter").get<std::string>()),
            from.at("ready").get<bool>()};
}

result<cache_event::kind> event_kind(const std::string& name)
{
    if (name == "stored")
        return cache_event::kind::stored;
    if (name == "evicted")
        return cache_event::kind::evicted;
    if (name == "cleared")
        return cache_event::kind::cleared;
    return fail(error_code::corrupt, "cache event " + name);
}

// Parses `body` and runs `read` on it; what can't be read is `corrupt`.
template <class T, class F>
result<T> read_json(const result<std::string>& body, F read)
{
    if (!body)
        return tl::unexpected(body.error());
    try {
        T out;
        read(json::parse(*body), out);
        return out;
    } catch (const json::exception& ex) {
        return fail(error_code::corrupt, ex.what());
    }
}

error_code meaning_of(const http::response& answer)
{
    switch (answer.status) {
    case 400:
        return error_code::invalid;
    case 404:
        return error_code::not_found;
    case 409:
        return error_code::refused;
    case 413:
    case 507:
        return error_code::exhausted;
    case 429:
    case 503:
        return error_code::unavailable;
    default:
        return error_code::ambiguous;
    }
}

} // namespace

http_target_client::http_target_client(http::client& connections,
                                       http_target_options options)
    : connections_(connections), options_(std::move(options))
{}

http::request http_target_client::make_request(std::string method,
                                               const std::string& path) const
{
    return {.method = std::move(method),
            .url = options_.url + path,
            .headers = {{"Content-Type", "application/json"}}};
}

completion_end http_target_client::complete(const completion& ask,
                                            const chunk_receiver& on_chunk,
                                            const cancel_check& canceled)
{
    auto what = make_request("POST", "/v1/completions");
    for (auto& it : identity_fields(ask.id, ask.key, ask.attempt))
        what.headers.push_back(std::move(it));
    what.body = encode_completion(ask);
    completion_reader reader(ask, on_chunk);
    const http::transfer end = connections_.stream(
        what, options_.stream,
        [&](std::string_view bytes) { return reader.take_bytes(bytes); },
        [&](const http::transfer& it) { return reader.take_head(it); },
        canceled);
    return reader.finish(end);
}

service_end http_target_client::call(const service_call& ask,
                                     const cancel_check& canceled)
{
    http::request what{.method = "POST",
                       .url = options_.url + "/v1/call/" +
                              http::encode_path(ask.name),
                       .headers = identity_fields(ask.id, ask.key, ask.attempt),
                       .body = ask.body,
                       .fresh_connection = !ask.repeatable};
    what.headers.push_back({"Content-Type", ask.content_type});
    what.headers.push_back({"X-Priority", std::to_string(ask.priority)});
    service_end end;
    const http::transfer sent = connections_.stream(
        what, options_.call,
        [&](std::string_view bytes) {
            end.body += bytes;
            return end.body.size() <= max_service_answer_bytes;
        },
        {}, canceled);
    end.status = sent.status;
    end.content_type = sent.field("Content-Type");
    end.silent = sent.outcome == http::transfer_outcome::silent;
    end.canceled = sent.outcome == http::transfer_outcome::canceled;
    end.retry_after = retry_after(sent);
    if (!sent.sent)
        end.outcome = dispatch_outcome::never_dispatched;
    else if (sent.complete() && says_not_run(sent))
        end.outcome = dispatch_outcome::rejected_before_run;
    else if (sent.complete())
        end.outcome = dispatch_outcome::ran;
    else
        end.outcome = dispatch_outcome::interrupted;
    if (!sent.complete())
        end.message = sent.to_error().message;
    return end;
}

status http_target_client::probe()
{
    auto what = make_request("GET", "/v1/health");
    what.fresh_connection = true;
    const http::transfer_timeouts limits{.connect = options_.probe_timeout,
                                         .first_byte = options_.probe_timeout,
                                         .between_bytes =
                                             options_.probe_timeout,
                                         .total = options_.probe_timeout * 2};
    const auto got = connections_.fetch(what, limits);
    if (!got)
        return fail(error_code::unavailable, got.error().message);
    return {};
}

result<std::string> http_target_client::ask_control(const http::request& what)
{
    auto got = connections_.fetch(what, options_.control);
    if (!got)
        return tl::unexpected(got.error());
    if (got->status != status_ok)
        return fail(meaning_of(*got),
                    "status " + std::to_string(got->status) + ": " + got->body);
    return std::move(got->body);
}

result<load_status> http_target_client::load()
{
    return read_json<load_status>(
        ask_control(make_request("GET", "/v1/load")),
        [](const json& from, load_status& out) {
            out.running = from.at("running").get<std::uint32_t>();
            out.waiting = from.at("waiting").get<std::uint32_t>();
            out.slots = from.at("slots").get<std::uint32_t>();
            out.waiting_prefill_tokens =
                from.at("waiting_prefill_tokens").get<std::uint64_t>();
            out.memory_used = from.at("memory_used").get<double>();
            out.leaving = from.at("leaving").get<bool>();
            out.age = milliseconds(from.at("age_ms").get<std::int64_t>());
        });
}

result<cache_event_page> http_target_client::cache_events(std::uint64_t after)
{
    const auto what =
        make_request("GET", "/v1/cache_events?after=" + std::to_string(after));
    return read_json<cache_event_page>(
        ask_control(what), [](const json& from, cache_event_page& out) {
            for (const json& it : from.at("events")) {
                const auto kind = event_kind(it.at("kind").get<std::string>());
                if (!kind)
                    continue; // A newer engine may tell of more.
                out.events.push_back(
                    {it.at("sequence").get<std::uint64_t>(), *kind,
                     it.at("blocks").get<std::vector<std::uint64_t>>()});
            }
            out.life = from.at("life").get<std::uint64_t>();
            out.next = from.at("next").get<std::uint64_t>();
        });
}

status http_target_client::give(const order& what)
{
    auto ask = make_request("POST", "/v1/orders");
    ask.body = dump({{"kind", to_string(what.kind)},
                     {"model", what.model.str()},
                     {"version", what.version.str()},
                     {"adapter", what.adapter.str()},
                     {"role", what.role},
                     {"fencing", what.fencing.value()}});
    const auto got = ask_control(ask);
    if (!got)
        return tl::unexpected(got.error());
    return {};
}

result<target_state> http_target_client::read_back()
{
    return read_json<target_state>(
        ask_control(make_request("GET", "/v1/state")),
        [](const json& from, target_state& out) {
            for (const json& it : from.at("models"))
                out.models.push_back(model_from_json(it));
            std::ranges::sort(out.models);
            out.role = from.at("role").get<std::string>();
            out.highest_fencing =
                fencing_number(from.at("fencing").get<std::uint64_t>());
            out.leaving = from.at("leaving").get<bool>();
        });
}

result<std::string>
http_target_client::export_kv(const std::vector<std::uint64_t>& blocks)
{
    auto ask = make_request("POST", "/v1/kv/export");
    ask.body = dump({{"blocks", blocks}});
    return ask_control(ask);
}

status http_target_client::import_kv(std::string_view bytes)
{
    auto ask = make_request("POST", "/v1/kv/import");
    ask.headers = {{"Content-Type", "application/octet-stream"}};
    ask.body = bytes;
    const auto got = ask_control(ask);
    if (!got)
        return tl::unexpected(got.error());
    return {};
}

} // namespace fennelladder::target
