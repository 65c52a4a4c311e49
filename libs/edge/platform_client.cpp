#include "fennelladder/edge/platform_client.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

constexpr std::size_t most_idle = 4;
constexpr duration silence_limit = seconds(2);

/// The platform is some milliseconds away. A first packet that is lost is sent
/// again by the kernel after a second; dialling anew is sooner.
constexpr duration connect_limit = milliseconds(600);

/// Without a byte of an answer that has begun. A lost packet is sent again
/// after 0.2 s, and again after 0.4.
constexpr duration progress_limit = milliseconds(700);

/// After a call's own limit: a megabyte at a tenth of the slowest link known.
constexpr duration longest_transfer = seconds(10);

/// A page of a listing is about a megabyte; anything far above isn't one.
constexpr std::uint64_t largest_reply = 16'777'216;

call_outcome outcome_of(unsigned status)
{
    if (status >= 200 && status < 300)
        return call_outcome::done;
    switch (status) {
    case 404:
        return call_outcome::missing;
    case 409:
        return call_outcome::conflict;
    case 410:
        return call_outcome::history_gone;
    case 429:
    case 503:
        return call_outcome::turned_away;
    default:
        // Other refusals of a call do nothing; other failures say nothing.
        return status < 500 ? call_outcome::turned_away
                            : call_outcome::no_reply;
    }
}

constexpr std::array<std::string_view, platform_call_count> names{
    "list_configuration", "watch_configuration", "list_targets",
    "watch_targets",      "list_evacuations",    "watch_evacuations",
    "list_nodes",         "register_node",       "read_allotments",
    "write_allotments"};

} // namespace

std::string_view to_string(call_outcome value)
{
    switch (value) {
    case call_outcome::done:
        return "done";
    case call_outcome::missing:
        return "missing";
    case call_outcome::conflict:
        return "conflict";
    case call_outcome::history_gone:
        return "history_gone";
    case call_outcome::turned_away:
        return "turned_away";
    case call_outcome::no_reply:
        return "no_reply";
    }
    return "unknown";
}

std::string_view to_string(platform_call value)
{
    return names[static_cast<std::size_t>(value)];
}

platform_client::platform_client(node_tables& tables) : tables_(tables)
{}

awaitable<bool> platform_client::connect(connection_ptr made)
{
    const auto endpoint = parse_endpoint(tables_.settings.store_address);
    if (!endpoint)
        co_return false;
    socket_deadline limit(socket_of(made));
    limit.close_after(connect_limit);
    net_error ec;
    co_await made->socket.async_connect(*endpoint, into(ec));
    limit.clear();
    made->silent = limit.has_closed();
    if (ec || !made->socket.is_open())
        co_return false;
    guard_silence(made->socket, silence_limit);
    co_return true;
}

/// Until `until` the platform may be silent; after that bytes must come.
awaitable<bool> platform_client::read_reply(connection_ptr with,
                                            reply_parser& parser,
                                            socket_deadline& limit,
                                            instant until,
                                            instant& first_byte_at)
{
    const instant end = until + longest_transfer;
    net_error ec;
    while (!parser.is_done()) {
        co_await http::async_read_some(with->socket, with->buf, parser,
                                       into(ec));
        if (ec)
            co_return false;
        const instant now = tables_.now();
        if (first_byte_at == instant())
            first_byte_at = now;
        const instant next = now + progress_limit;
        limit.close_after(std::min(std::max(until, next), end) - now);
    }
    co_return true;
}

awaitable<platform_reply>
platform_client::exchange_on(connection_ptr with, http::verb method,
                             const std::string& target, const std::string& body,
                             duration limit)
{
    platform_reply out;
    if (!with->used) {
        const bool connected = co_await connect(with);
        if (!connected) {
            out.outcome = call_outcome::turned_away;
            co_return out;
        }
    }
    const instant until = tables_.now() + limit;
    socket_deadline silence(socket_of(with));
    silence.close_after(limit);
    http::request<http::string_body> request(method, target, 11);
    request.set(http::field::host, tables_.settings.store_address);
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    request.prepare_payload();
    net_error ec;
    co_await http::async_write(with->socket, request, into(ec));
    if (ec) {
        with->silent = silence.has_closed();
        co_return out;
    }
    reply_parser parser;
    parser.body_limit(largest_reply);
    const bool whole =
        co_await read_reply(with, parser, silence, until, out.first_byte_at);
    silence.clear();
    with->silent = silence.has_closed();
    if (!whole)
        co_return out;
    out.outcome = outcome_of(parser.get().result_int());
    out.body = std::move(parser.get().body());
    if (parser.keep_alive() && idle_.size() < most_idle) {
        with->used = true;
        idle_.push_back(with);
    }
    co_return out;
}

void platform_client::count(platform_call name, const platform_reply& reply)
{
    ++made_[static_cast<std::size_t>(name)];
    conflicts_ += reply.outcome == call_outcome::conflict ? 1 : 0;
    unanswered_ += reply.reached() ? 0 : 1;
    tables_.metrics
        .counter_of("fennelladder_platform_calls_total",
                    {{"call", std::string(to_string(name))},
                     {"outcome", std::string(to_string(reply.outcome))}})
        .add();
}

void platform_client::log_calls()
{
    const auto made = [this](platform_call name) {
        return std::to_string(made_[static_cast<std::size_t>(name)]);
    };
    if (std::ranges::all_of(made_, [](std::uint32_t n) { return n == 0; }))
        return;
    telemetry::log_event(
        telemetry::event::platform_calls,
        {{"list_configuration", made(platform_call::list_configuration)},
         {"watch_configuration", made(platform_call::watch_configuration)},
         {"list_targets", made(platform_call::list_targets)},
         {"watch_targets", made(platform_call::watch_targets)},
         {"list_evacuations", made(platform_call::list_evacuations)},
         {"watch_evacuations", made(platform_call::watch_evacuations)},
         {"list_nodes", made(platform_call::list_nodes)},
         {"register_node", made(platform_call::register_node)},
         {"read_allotments", made(platform_call::read_allotments)},
         {"write_allotments", made(platform_call::write_allotments)},
         {"conflicts", std::to_string(conflicts_)},
         {"unanswered", std::to_string(unanswered_)}});
    made_ = {};
    conflicts_ = 0;
    unanswered_ = 0;
}

awaitable<platform_reply>
platform_client::call(platform_call name, http::verb method, std::string target,
                      std::string body, duration limit)
{
    connection_ptr with;
    while (!with && !idle_.empty()) {
        if (!is_spent(idle_.back()->socket))
            with = idle_.back();
        idle_.pop_back();
    }
    if (!with)
        with = std::make_shared<connection>(tables_.io);
    platform_reply out =
        co_await exchange_on(with, method, target, body, limit);
    if (with->silent)
        close_idle();
    count(name, out);
    co_return out;
}

} // namespace fennelladder::edge
