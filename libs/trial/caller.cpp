#include "fennelladder/trial/caller.hpp"

#include "fennelladder/gateway/calls.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace fennelladder::trial {

namespace {

using gateway::header_name::deadline;
using nlohmann::json;
using request::outcome;

constexpr duration connect_limit = milliseconds(300);
constexpr duration silence_limit = seconds(8);
constexpr duration shortest_wait = milliseconds(20);
constexpr duration longest_wait = milliseconds(500);
constexpr int most_unknown_asks = 6;

http::transfer_timeouts limits()
{
    return {.connect = connect_limit,
            .first_byte = seconds(30),
            .between_bytes = silence_limit};
}

duration retry_after_of(const json& facts)
{
    const auto it = facts.find("retry_after_ms");
    if (it == facts.end() || !it->is_number())
        return shortest_wait;
    return milliseconds(it->get<std::int64_t>());
}

std::string text_member(const json& from, const char* name)
{
    const auto it = from.find(name);
    return it != from.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

history::node_id node_of(const std::string& origin)
{
    const auto at = origin.find('@');
    return history::node_id(origin.substr(0, at));
}

} // namespace

caller::caller(caller_tools tools)
    : tools_(std::move(tools)), random_(tools_.seed)
{}

bool caller::refresh_entry()
{
    auto all = tools_.addresses();
    if (all.empty())
        return false;
    const auto first = random_.below(all.size());
    for (std::size_t n = 0; n < all.size(); ++n) {
        http::request ask;
        ask.url = "http://" + all[(first + n) % all.size()] +
                  "/v1/entry?caller=" + tools_.name.str() +
                  "&data_center=" + tools_.data_center.str();
        const auto got = tools_.connections.fetch(
            ask, {.connect = connect_limit, .first_byte = seconds(1)});
        if (!got || got->status != 200)
            continue;
        const json body = json::parse(got->body, nullptr, false);
        if (!body.is_object())
            continue;
        entry_.clear();
        for (const json& row : body["addresses"])
            entry_.push_back(
                {text_member(row, "address"), text_member(row, "origin")});
        entry_until_ =
            tools_.time.now() + milliseconds(body.value("valid_for_ms", 1000));
        return !entry_.empty();
    }
    return false;
}

void caller::note_chunk(ask_result& so_far, const request_id& request,
                        const std::string& piece)
{
    if (!so_far.got_bytes) {
        so_far.got_bytes = true;
        so_far.first_byte = tools_.time.now();
    }
    const auto offset = seen_.size();
    seen_.add(piece);
    so_far.text += piece;
    history::record(tools_.history, tools_.time.now(),
                    history::node_id(tools_.name.str()),
                    history::chunk{request, tools_.name, offset, piece.size(),
                                   seen_.text()});
}

caller::ask_result caller::read_stream(const http::request& what,
                                       const wanted_call&,
                                       const request_id& request)
{
    ask_result end;
    std::string pending;
    std::string error_body;
    int status = 0;
    bool done = false;
    const auto on_event = [&](std::string_view line) {
        if (line == "[DONE]")
            return;
        const json event = json::parse(line, nullptr, false);
        if (!event.is_object())
            return;
        if (event.contains("choices")) {
            const auto piece = text_member(event["choices"][0], "text");
            if (!piece.empty())
                note_chunk(end, request, piece);
        }
        if (!event.contains("fennelladder"))
            return;
        const json& facts = event["fennelladder"];
        done = true;
        end.code = text_member(facts, "code");
        end.digest = text_member(facts, "digest");
        end.retry_after = retry_after_of(facts);
        end.how = text_member(facts, "outcome") == "answered"
                      ? ask_end::answered
                      : ask_end::unknown;
    };
    const auto came = tools_.connections.stream(
        what, limits(),
        [&](std::string_view bytes) {
            if (status != 200) {
                error_body += bytes;
                return true;
            }
            pending += bytes;
            for (auto at = pending.find("\n\n"); at != std::string::npos;
                 at = pending.find("\n\n")) {
                const std::string line = pending.substr(0, at);
                pending.erase(0, at + 2);
                if (line.starts_with("data: "))
                    on_event(std::string_view(line).substr(6));
            }
            return true;
        },
        [&](const http::transfer& head) {
            status = head.status;
            return true;
        });
    if (done && (status == 200))
        return end;
    if (status != 0 && status != 200 && came.complete()) {
        const json body = json::parse(error_body, nullptr, false);
        if (body.is_object()) {
            end.code = text_member(body, "code");
            if (end.code.empty() && body.contains("error"))
                end.code = text_member(body["error"], "code");
            end.retry_after = retry_after_of(body);
            const auto told = text_member(body, "outcome");
            end.how = told == "not_run" ? ask_end::not_run : ask_end::unknown;
            return end;
        }
    }
    end.how = came.sent ? ask_end::cut : ask_end::not_sent;
    return end;
}

caller::ask_result caller::read_whole(const http::request& what,
                                      const wanted_call&,
                                      const request_id& request)
{
    ask_result end;
    std::string body;
    int status = 0;
    std::string told;
    const auto came = tools_.connections.stream(
        what, limits(),
        [&](std::string_view bytes) {
            body += bytes;
            return true;
        },
        [&](const http::transfer& head) {
            status = head.status;
            told = head.field(gateway::header_name::outcome);
            end.code = head.field(gateway::header_name::code);
            end.digest = head.field(gateway::header_name::digest);
            return true;
        });
    if (!came.complete()) {
        end.how = came.sent ? ask_end::cut : ask_end::not_sent;
        return end;
    }
    if (told == "answered" && status == 200) {
        note_chunk(end, request, body);
        end.how = ask_end::answered;
        return end;
    }
    const json parsed = json::parse(body, nullptr, false);
    end.retry_after =
        parsed.is_object() ? retry_after_of(parsed) : shortest_wait;
    end.how = told == "not_run" ? ask_end::not_run : ask_end::unknown;
    return end;
}

caller::ask_result caller::ask(const wanted_call& wanted,
                               const request_key& key, const entry_row& to,
                               const std::string& origin)
{
    const request_id request(tools_.name.str() + "-" + std::to_string(++asks_));
    const auto node = node_of(origin);
    history::record(tools_.history, tools_.time.now(), node,
                    history::sent{request, wanted.team, wanted.budget,
                                  history::global_key(wanted.team, key),
                                  wanted.kind, wanted.repeatable, tools_.name});
    http::request what;
    what.method = "POST";
    what.headers = {{"Content-Type", "application/json"},
                    {gateway::header_name::team, wanted.team.str()},
                    {gateway::header_name::budget, wanted.budget.str()},
                    {gateway::header_name::caller_kind, wanted.kind.str()},
                    {gateway::header_name::idempotency_key, key.str()},
                    {gateway::header_name::origin, origin},
                    {gateway::header_name::request, request.str()}};
    seen_ = history::answer_digest();
    ask_result end;
    if (wanted.model.empty()) {
        what.url = "http://" + to.address + "/v1/services/" +
                   wanted.service.str() + "/" + wanted.call;
        what.body = wanted.body;
        // What must not run twice goes out on a connection of its own: a kept
        // one that was just closed would leave its end in doubt.
        what.fresh_connection = !wanted.repeatable;
        end = read_whole(what, wanted, request);
    } else {
        what.url = "http://" + to.address + "/v1/completions";
        what.body = json{
            {"model", wanted.model.str()},
            {"prompt", wanted.prompt},
            {"max_tokens", wanted.max_output},
            {"stream",
             true}}.dump();
        end = read_stream(what, wanted, request);
    }
    record_end(end, request, node);
    return end;
}

void caller::record_end(const ask_result& end, const request_id& request,
                        const history::node_id& node)
{
    const instant now = tools_.time.now();
    switch (end.how) {
    case ask_end::answered:
        history::record(tools_.history, now, node,
                        history::answered{request, tools_.name, end.text.size(),
                                          end.digest});
        return;
    case ask_end::not_run:
    case ask_end::not_sent:
        history::record(tools_.history, now, node, history::not_run{request});
        return;
    case ask_end::unknown:
    case ask_end::cut:
        history::record(tools_.history, now, node, history::unknown{request});
        return;
    }
}

call_outcome caller::perform(const wanted_call& wanted)
{
    const instant began = tools_.time.now();
    const instant until = began + wanted.patience;
    call_outcome out;
    request_key key = wanted.key;
    std::string origin;
    bool bound = false; // the key may have been seen by its origin
    std::size_t place = 0;
    int unknowns = 0;
    while (tools_.time.now() < until) {
        if (entry_.empty() || tools_.time.now() > entry_until_ ||
            place >= entry_.size()) {
            if (!refresh_entry()) {
                std::this_thread::sleep_for(longest_wait);
                continue;
            }
            place = 0;
        }
        const entry_row to = entry_[place];
        if (!bound)
            origin = to.origin;
        ++out.asks;
        const ask_result end = ask(wanted, key, to, origin);
        out.code = end.code;
        out.key = key;
        out.short_cut = end.how == ask_end::cut && end.got_bytes;
        if (end.got_bytes && out.first_byte == duration(0))
            out.first_byte = end.first_byte - began;
        duration wait =
            std::clamp(end.retry_after, shortest_wait, longest_wait);
        switch (end.how) {
        case ask_end::answered:
            out.result = outcome::answered;
            out.text = end.text;
            out.total = tools_.time.now() - began;
            return out;
        case ask_end::not_sent:
            out.result = bound ? outcome::unknown : outcome::not_run;
            ++place;
            continue;
        case ask_end::not_run:
            // Proved not to have run: it may be sent anew, under a key that
            // is not bound to a node that turns it away.
            out.result = outcome::not_run;
            out.refusals += end.code == "budget_exhausted";
            key = request_key(wanted.key.str() + "-" +
                              std::to_string(++new_keys_));
            bound = false;
            ++place;
            break;
        case ask_end::cut:
            ++out.cuts;
            [[fallthrough]];
        case ask_end::unknown:
            out.result = outcome::unknown;
            bound = true;
            ++place;
            if (++unknowns >= most_unknown_asks && !wanted.repeatable) {
                out.total = tools_.time.now() - began;
                return out;
            }
            if (end.code == "ran_and_failed") {
                out.total = tools_.time.now() - began;
                return out;
            }
            break;
        }
        std::this_thread::sleep_for(jitter(random_, wait));
    }
    out.total = tools_.time.now() - began;
    return out;
}

} // namespace fennelladder::trial
