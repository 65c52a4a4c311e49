#include "caller_api.hpp"

#include "fennelladder/base/hash.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fennelladder::node {

namespace {

using gateway::header_name::forwarded;
using nlohmann::ordered_json;
using request::admit_verdict;
using request::origin_verdict;
using request::outcome_reply;
using request::reply_code;

constexpr duration join_wait = milliseconds(100);
constexpr duration origin_lost_retry = seconds(1);
constexpr duration not_ready_retry = seconds(1);
constexpr std::size_t prefix_block_bytes = 256;
constexpr int entry_not_ready = 503;
constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view budgets_prefix = "/v1/budgets/";
constexpr std::string_view requests_prefix = "/v1/requests/";

gateway::header_reader reader_of(const http::exchange& it)
{
    return [&it](const char* name) { return it.header(name); };
}

// A request that was read but may not be served: nothing ran.
void reply_refused(http::exchange& it, int status, std::string_view code,
                   const findings& found, duration retry_after = duration(0))
{
    ordered_json body;
    ordered_json faults = ordered_json::array();
    for (const finding& fault : found.all())
        faults.push_back(
            {{"place", fault.place.source + " " + fault.place.inside},
             {"message", fault.message}});
    body["error"] = {
        {"code", code},
        {"message", found.empty() ? "not now" : found.all().front().message},
        {"findings", faults}};
    body["outcome"] = "not_run";
    if (retry_after > duration(0))
        body["retry_after_ms"] =
            std::chrono::ceil<milliseconds>(retry_after).count();
    http::server_response made{
        .status = status,
        .headers = {{gateway::header_name::outcome, "not_run"},
                    {gateway::header_name::code, std::string(code)}},
        .body =
            body.dump(-1, ' ', false, ordered_json::error_handler_t::replace)};
    if (retry_after > duration(0)) {
        const auto wait = std::chrono::ceil<seconds>(retry_after);
        made.headers.push_back({"Retry-After", std::to_string(wait.count())});
    }
    it.reply(made);
}

void reply_found(http::exchange& it, int status, std::string_view code,
                 std::string source, std::string message)
{
    findings found;
    found.add({std::move(source), ""}, telemetry::event::call_invalid,
              std::move(message));
    reply_refused(it, status, code, found);
}

void add(findings& found, const char* what, std::string message)
{
    found.add({"header", what}, telemetry::event::call_invalid,
              std::move(message));
}

template <class List, class Item>
bool contains(const List& list, const Item& item)
{
    return std::ranges::find(list, item) != list.end();
}

void write_json(http::exchange& it, const ordered_json& body)
{
    it.reply({.body = body.dump()});
}

request::outcome_reply reply_of(const budget::key_record& record,
                                const request_key& key)
{
    outcome_reply reply;
    reply.key = key;
    reply.billed = record.amount;
    reply.origin = record.holder;
    switch (record.outcome) {
    case budget::bill_outcome::answered:
        reply.result = request::outcome::answered;
        reply.code = reply_code::answered_before;
        break;
    case budget::bill_outcome::not_run:
        reply.result = request::outcome::not_run;
        reply.code = reply_code::target_refused;
        break;
    default:
        reply.result = request::outcome::unknown;
        reply.code = reply_code::origin_lost;
    }
    return reply;
}

} // namespace

caller_api::caller_api(run_tools tools, configuration_service& config,
                       member_service& members, http::client& connections,
                       telemetry::metrics& metrics,
                       telemetry::service_level_meter& levels,
                       std::uint64_t key_seed)
    : tools_(std::move(tools)), config_(config), members_(members),
      connections_(connections), metrics_(metrics), levels_(levels),
      key_seed_(key_seed)
{}

std::string caller_api::origin_now() const
{
    return to_string(request::origin_token{tools_.self, tools_.time.now()});
}

void caller_api::serve(http::exchange& it)
{
    const std::string_view path = it.path();
    const bool post = it.method() == "POST";
    ++active_;
    if (post && path == "/v1/completions")
        complete(it);
    else if (post && path.starts_with(services_prefix))
        call(it);
    else if (path == "/v1/entry")
        entry(it);
    else if (path.starts_with(budgets_prefix))
        budget(it);
    else if (path.starts_with(requests_prefix))
        look_up(it);
    else if (path == "/metrics")
        show_metrics(it);
    else if (path == "/healthz")
        health(it);
    else
        reply_found(it, 404, "no_such_path", "path", "is not known");
    --active_;
}

void caller_api::health(http::exchange& it)
{
    const auto config = config_.in_force();
    const bool good = config && !tools_.stopping && tools_.ledger.is_open();
    ordered_json body;
    body["incarnation"] = tools_.self.str();
    body["takes_work"] = good;
    body["generation"] = config ? config->number().value() : 0;
    it.reply({.status = good ? 200 : entry_not_ready, .body = body.dump()});
}

void caller_api::entry(http::exchange& it)
{
    const membership::entry_request asked{
        caller_id(it.query("caller")), data_center_id(it.query("data_center")),
        region_id(it.query("region"))};
    const auto answer = members_.entry(asked);
    if (answer.addresses.empty())
        return reply_refused(it, entry_not_ready, "not_ready", {},
                             not_ready_retry);
    const instant now = tools_.time.now();
    ordered_json body;
    ordered_json rows = ordered_json::array();
    for (const membership::entry_address& row : answer.addresses)
        rows.push_back(
            {{"address", row.address},
             {"host", row.host.str()},
             {"data_center", row.data_center.str()},
             {"origin", to_string(request::origin_token{row.origin, now})}});
    body["addresses"] = std::move(rows);
    body["valid_for_ms"] =
        std::chrono::floor<milliseconds>(answer.valid_for).count();
    write_json(it, body);
}

void caller_api::budget(http::exchange& it)
{
    const budget_id id(std::string(it.path().substr(budgets_prefix.size())));
    const auto config = config_.in_force();
    const auto known =
        config ? config->find_budget(id) : std::optional<manifest::budget>();
    if (!known || known->team.str() != it.header(gateway::header_name::team))
        return reply_found(it, 404, "unknown_budget", "path",
                           "the team has no such budget");
    const auto found = tools_.ledger.find_balance(known->team, id);
    if (!found)
        return reply_refused(it, 503, "store_unavailable", {}, not_ready_retry);
    ordered_json body;
    body["budget"] = id.str();
    body["team"] = known->team.str();
    if (found->books) {
        body["prepaid_tokens"] = found->books->topped_up.count();
        body["spent_tokens"] = found->books->spent.count();
        body["free_tokens"] = found->books->free.count();
    }
    if (found->here)
        body["available_here_tokens"] = found->here->available().count();
    write_json(it, body);
}

void caller_api::look_up(http::exchange& it)
{
    const request_key key(
        std::string(it.path().substr(requests_prefix.size())));
    const team_id team(std::string(it.header(gateway::header_name::team)));
    if (const auto known = tools_.table.look_up(team, key))
        return it.reply({.body = gateway::error_body(*known, "")});
    if (!config_.in_force() || !tools_.ledger.is_open())
        return reply_refused(it, 503, "not_ready", {}, not_ready_retry);
    const auto found = tools_.ledger.find_key(team, key);
    if (!found)
        return reply_refused(it, 503, "store_unavailable", {}, not_ready_retry);
    if (!*found)
        return reply_found(it, 404, "unknown_key", "path",
                           "nothing is known of this key");
    it.reply({.body = gateway::error_body(reply_of(**found, key), "")});
}

bool caller_api::ready(http::exchange& it, const gateway::call_head& head)
{
    // A retry of what runs or ran here is no new work: told `not_run`, its
    // caller would send it anew under another key, and it would run twice.
    const bool known =
        !head.key.empty() && tools_.table.knows(head.team, head.key);
    if (tools_.stopping && !known) {
        reply_refused(it, 503, to_string(reply_code::shutting_down), {},
                      milliseconds(1));
        return false;
    }
    if (config_.in_force() && config_.may_take_work() &&
        tools_.ledger.is_open())
        return true;
    reply_refused(it, 503, "not_ready", {}, not_ready_retry);
    return false;
}

std::optional<runnable> caller_api::check(const gateway::call_head& head,
                                          const manifest_pointer& config,
                                          findings& found)
{
    runnable what;
    what.head = head;
    what.received = tools_.time.now();
    const auto team = config->find_team(head.team);
    const auto paid = config->find_budget(head.budget);
    const auto* kind = config->find_caller_kind(head.kind);
    if (team == nullptr)
        add(found, gateway::header_name::team, "no such team");
    if (team != nullptr && (!paid || paid->team != head.team))
        add(found, gateway::header_name::budget, "the team has no such budget");
    if (kind == nullptr ||
        (team != nullptr && !contains(team->caller_kinds, head.kind)))
        add(found, gateway::header_name::caller_kind,
            "the team has no such kind of caller");
    if (!head.origin.empty() && !request::parse_origin(head.origin.str()))
        add(found, gateway::header_name::origin, "is not an origin");
    if (!found.empty())
        return {};
    what.deadline = what.received + head.deadline.value_or(kind->deadline);
    what.route.team = head.team;
    what.route.rank = static_cast<routing::priority>(kind->priority);
    if (head.key.empty()) {
        what.head.key =
            request_key("auto-" + to_hex(hash64(tools_.self.str(), key_seed_)) +
                        "-" + std::to_string(next_key_.fetch_add(1)));
        what.arrival.binding = request::key_binding::made_here;
    }
    if (head.request.empty())
        what.head.request = request_id(what.head.key.str());
    what.arrival.team = head.team;
    what.arrival.key = what.head.key;
    what.traits.key = what.head.key;
    what.traits.self = tools_.self;
    return what;
}

bool caller_api::check_completion(const gateway::completion_call& call,
                                  const manifest_pointer& config,
                                  runnable& what, findings& found)
{
    const auto team = config->find_team(call.head.team);
    const auto grant = std::ranges::find(team->models, call.model,
                                         &manifest::model_grant::model);
    const auto& limits = config->limits();
    const auto bytes = static_cast<std::int64_t>(call.prompt.size());
    const auto fault = [&](const char* place, std::string message) {
        found.add({"body", place}, telemetry::event::call_invalid,
                  std::move(message));
    };
    if (grant == team->models.end()) {
        fault("/model", "the team may not use this model");
        return false;
    }
    if (!call.version.empty() && !contains(grant->versions, call.version))
        fault("/version", "the team may not use this version");
    if (!call.adapter.empty() && !contains(grant->adapters, call.adapter))
        fault("/adapter", "the team may not use this adapter");
    // A token stands for at least one byte, so the prompt's bytes bound its
    // tokens; the engine's own count is what is billed.
    if (bytes > limits.max_prompt_tokens.count() * 4)
        fault("/prompt", "is longer than the deployment allows");
    if (call.max_output > limits.max_output_tokens.count())
        fault("/max_tokens", "is more than the deployment allows");
    if (!found.empty())
        return false;
    what.model = call.model;
    what.version = call.version.empty() && !grant->versions.empty()
                       ? grant->versions.front()
                       : call.version;
    what.adapter = call.adapter;
    what.prompt = call.prompt;
    what.route.needs = {
        .model = what.model, .version = what.version, .adapter = what.adapter};
    what.route.prefix = routing::hash_prefix(call.prompt, prefix_block_bytes);
    what.route.prompt_tokens = static_cast<std::uint32_t>(bytes / 4 + 1);
    what.route.output_tokens = static_cast<std::uint32_t>(call.max_output);
    what.route.resumable = true;
    what.traits.idempotent = true;
    what.traits.resumable = true;
    what.traits.cancelable = true;
    what.traits.prompt = tokens(bytes + 1);
    what.traits.max_output = tokens(call.max_output);
    what.arrival.body_digest =
        digest128(call.model.str() + "\n" + call.version.str() + "\n" +
                  call.adapter.str() + "\n" + std::to_string(call.max_output) +
                  "\n" + call.prompt);
    return true;
}

bool caller_api::check_call(const gateway::service_call& call,
                            const manifest_pointer& config, runnable& what,
                            findings& found)
{
    const auto team = config->find_team(call.head.team);
    const auto* known =
        config->find_call(call.service, manifest::call_name(call.call));
    if (!contains(team->services, call.service) || known == nullptr) {
        found.add({"path", ""}, telemetry::event::call_invalid,
                  "the team may not use this call");
        return false;
    }
    what.is_call = true;
    what.service = call.service;
    what.call = call.call;
    what.body = call.body;
    what.cost = known->cost;
    what.deadline = std::min(what.deadline, what.received + known->timeout);
    what.route.needs = {.service = call.service};
    what.traits.idempotent = known->idempotent;
    what.traits.max_output = known->cost;
    what.arrival.body_digest =
        digest128(call.service.str() + "/" + call.call + "\n" + call.body);
    return true;
}

void caller_api::complete(http::exchange& it)
{
    findings found;
    const auto body = it.read_body();
    if (!body)
        return reply_found(it, 413, "body_unreadable", "body",
                           body.error().message);
    const auto call = gateway::read_completion(reader_of(it), *body, found);
    if (!call)
        return reply_refused(it, 400, "invalid_request", found);
    if (!ready(it, call->head))
        return;
    const auto config = config_.in_force();
    auto what = check(call->head, config, found);
    if (!what || !check_completion(*call, config, *what, found))
        return reply_refused(it, 403, "not_allowed", found);
    gateway::answer_options form;
    form.stream = call->stream;
    form.model = call->model.str();
    carry(it, std::move(*what), form, *body);
}

void caller_api::call(http::exchange& it)
{
    findings found;
    const auto body = it.read_body();
    if (!body)
        return reply_found(it, 413, "body_unreadable", "body",
                           body.error().message);
    const auto call =
        gateway::read_service_call(reader_of(it), it.path(), *body, found);
    if (!call)
        return reply_refused(it, 400, "invalid_request", found);
    if (!ready(it, call->head))
        return;
    const auto config = config_.in_force();
    auto what = check(call->head, config, found);
    if (!what || !check_call(*call, config, *what, found))
        return reply_refused(it, 403, "not_allowed", found);
    carry(it, std::move(*what), {}, *body);
}

void caller_api::carry(http::exchange& it, runnable what,
                       const gateway::answer_options& asked,
                       std::string_view body)
{
    gateway::answer_options form = asked;
    form.key = what.head.key;
    form.origin = what.head.origin.str();
    if (what.arrival.binding == request::key_binding::made_here)
        form.origin = origin_now();
    what.arrival.idempotent = what.traits.idempotent;
    request::origin_facts facts;
    facts.self = tools_.self;
    facts.key_from_caller =
        what.arrival.binding != request::key_binding::made_here;
    facts.idempotent = what.traits.idempotent;
    if (!what.head.origin.empty())
        facts.origin = *request::parse_origin(what.head.origin.str());
    if (facts.origin && facts.key_from_caller) {
        const bool here = facts.origin->node == tools_.self;
        what.arrival.issued = facts.origin->issued;
        what.arrival.binding = here ? request::key_binding::bound_here
                                    : request::key_binding::bound_elsewhere;
        facts.origin_reachable = !what.head.forwarded &&
                                 members_.find(facts.origin->node).has_value();
    }
    auto verdict = request::origin_rule(facts);
    if (verdict == origin_verdict::forward) {
        if (forward(it, what, facts.origin->node, body))
            return;
        facts.origin_reachable = false;
        verdict = request::origin_rule(facts);
    }
    if (verdict == origin_verdict::look_up)
        return answer_from_journal(it, what, facts.origin->node);
    run_here(it, what, form, body);
}

// Passes the request on to the node that its key is bound to, and the answer
// back as it comes. False if that node provably didn't get it.
bool caller_api::forward(http::exchange& it, const runnable& what,
                         const incarnation_id& origin, std::string_view body)
{
    const auto peer = members_.find(origin);
    if (!peer)
        return false;
    http::request ask;
    ask.method = "POST";
    ask.url = "http://" + peer->caller_address + std::string(it.path());
    ask.body = std::string(body);
    ask.headers = {{"Content-Type", "application/json"},
                   {gateway::header_name::team, what.head.team.str()},
                   {gateway::header_name::budget, what.head.budget.str()},
                   {gateway::header_name::caller_kind, what.head.kind.str()},
                   {gateway::header_name::idempotency_key, what.head.key.str()},
                   {gateway::header_name::origin, what.head.origin.str()},
                   {gateway::header_name::request, what.head.request.str()},
                   {forwarded, tools_.self.str()}};
    const duration left = what.deadline - tools_.time.now();
    http::transfer_timeouts limits{.first_byte = left, .between_bytes = left};
    limits.total = left;
    bool begun = false;
    bool alive = true;
    const auto begin = [&](const http::transfer& head) {
        http::server_response out{.status = head.status};
        out.content_type = std::string(head.field("Content-Type"));
        for (const char* name :
             {gateway::header_name::outcome, gateway::header_name::code,
              gateway::header_name::key, gateway::header_name::origin,
              gateway::header_name::billed, gateway::header_name::digest,
              "Retry-After"}) {
            const auto value = head.field(name);
            if (!value.empty())
                out.headers.push_back({name, std::string(value)});
        }
        begun = true;
        alive = it.begin_stream(out);
        return alive;
    };
    const auto end = connections_.stream(
        ask, limits,
        [&](std::string_view bytes) {
            alive = alive && it.write(bytes);
            return alive;
        },
        begin);
    if (begun) {
        if (end.complete() && alive)
            it.end_stream();
        return true;
    }
    if (!end.sent)
        return false;
    // It may have got it: only the journal, or the origin itself, can tell.
    answer_from_journal(it, what, origin);
    return true;
}

void caller_api::answer_from_journal(http::exchange& it, const runnable& what,
                                     const incarnation_id& origin)
{
    std::optional<outcome_reply> recorded;
    std::string kept;
    const auto found = tools_.ledger.find_key(what.head.team, what.head.key);
    if (found && *found && (*found)->billed) {
        recorded = reply_of(**found, what.head.key);
        kept = (*found)->answer;
    }
    auto reply = request::journal_reply(what.head.key, origin, recorded,
                                        origin_lost_retry);
    gateway::answer_options form;
    form.key = what.head.key;
    form.origin = what.head.origin.str();
    gateway::answer_writer out(it, form);
    count(what, reply, {});
    if (!kept.empty() && reply.result == request::outcome::answered) {
        history::answer_digest digest;
        digest.add(kept);
        reply.code = reply_code::ok;
        reply.digest = digest.text();
        return out.end_service_call(reply, 200, "application/json", kept);
    }
    out.end(reply, {});
}

void caller_api::run_here(http::exchange& it, runnable& what,
                          const gateway::answer_options& form,
                          std::string_view body)
{
    gateway::answer_writer out(it, form);
    while (true) {
        const auto admitted =
            tools_.table.admit(what.arrival, tools_.time.now());
        switch (admitted.verdict) {
        case admit_verdict::run: {
            what.traits.first_arrival = admitted.first_arrival;
            what.traits.claim_first = admitted.claim_first;
            what.traits.billed_before = admitted.billed_before;
            const bool whole = what.is_call;
            std::string text;
            answer_pace pace;
            request_run run(tools_, what, admitted,
                            [&](std::string_view piece) {
                                pace.on_piece(tools_.time.now());
                                if (!whole)
                                    return out.text(piece);
                                text += piece;
                                return true;
                            });
            const auto reply = run.run();
            // The claim is another node's, which knows what became of it and
            // has the answer; if it's gone, the journal may have it.
            if (reply.code == reply_code::claimed_elsewhere &&
                !what.head.forwarded && reply.origin != tools_.self) {
                if (!forward(it, what, reply.origin, body))
                    answer_from_journal(it, what, reply.origin);
                return;
            }
            count(what, reply, pace);
            if (whole)
                out.end_service_call(reply, run.result().status,
                                     run.result().content_type, text);
            else
                out.end(reply, run.result().usage);
            return;
        }
        case admit_verdict::join:
            return join(admitted, out, what);
        case admit_verdict::await:
            while (!admitted.stream->read(0, join_wait).reply)
                ;
            continue;
        case admit_verdict::replay:
            if (what.is_call)
                out.end_service_call(admitted.reply, 200, "application/json",
                                     admitted.text);
            else {
                out.text(admitted.text);
                out.end(admitted.reply, {});
            }
            return count(what, admitted.reply, {});
        case admit_verdict::reply:
            out.end(admitted.reply, {});
            return count(what, admitted.reply, {});
        }
    }
}

void caller_api::join(const request::admission& admitted,
                      gateway::answer_writer& out, const runnable& what)
{
    std::size_t offset = 0;
    std::string text;
    answer_pace pace;
    while (true) {
        auto part = admitted.stream->read(offset, join_wait);
        if (part.overflowed) {
            admitted.stream->leave();
            outcome_reply reply;
            reply.key = what.head.key;
            reply.code = reply_code::stream_cut;
            return out.end(reply, {});
        }
        offset += part.text.size();
        if (!part.text.empty())
            pace.on_piece(tools_.time.now());
        if (what.is_call)
            text += part.text;
        else if (!part.text.empty())
            out.text(part.text);
        if (part.reply) {
            count(what, *part.reply, pace);
            if (what.is_call)
                return out.end_service_call(*part.reply, 200,
                                            "application/json", text);
            return out.end(*part.reply, {});
        }
        if (out.caller_disconnected())
            return admitted.stream->leave();
    }
}

void caller_api::answer_pace::on_piece(instant now)
{
    if (first)
        longest_gap = std::max(longest_gap, now - last);
    else
        first = now;
    last = now;
}

void caller_api::show_metrics(http::exchange& it)
{
    const auto levels = levels_.snapshot(tools_.time.now());
    it.reply(
        {.content_type = "text/plain; version=0.0.4",
         .body = metrics_.to_prometheus() + telemetry::to_prometheus(levels)});
}

// A node can't see that something ran twice, so it never counts `doubled`; a
// history shows it.
void caller_api::count_service_level(const runnable& what,
                                     const outcome_reply& reply,
                                     const answer_pace& pace, instant now)
{
    // What the caller did is no failing of the service.
    if (reply.code == reply_code::caller_left ||
        reply.code == reply_code::key_reused)
        return;
    telemetry::request_sample sample;
    sample.team = what.head.team;
    sample.kind = what.head.kind;
    if (reply.result == request::outcome::not_run)
        sample.end = telemetry::request_end::refused;
    if (reply.result == request::outcome::unknown)
        sample.end = telemetry::request_end::missing;
    sample.first_byte = pace.first.value_or(now) - what.received;
    sample.longest_gap = pace.longest_gap;
    sample.total = now - what.received;
    levels_.add(sample, now);
}

void caller_api::count(const runnable& what, const outcome_reply& reply,
                       const answer_pace& pace)
{
    const telemetry::labels where{
        {"caller_kind", what.head.kind.str()},
        {"code", std::string(to_string(reply.code))},
        {"outcome", std::string(to_string(reply.result))}};
    metrics_.counter_of("fennelladder_requests_total", where).add();
    count_service_level(what, reply, pace, tools_.time.now());
    metrics_
        .summary_of("fennelladder_request_seconds",
                    {{"caller_kind", what.head.kind.str()}})
        .observe(to_seconds(tools_.time.now() - what.received));
    if (reply.code == reply_code::budget_exhausted)
        history::record(tools_.options.history, tools_.time.now(),
                        history::node_id(tools_.self.str()),
                        history::refused{what.head.request, what.head.budget});
}

} // namespace fennelladder::node
