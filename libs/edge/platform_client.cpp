#include "fennelladder/edge/platform_client.hpp"

#include <limits>

namespace fennelladder::edge {

namespace {

constexpr std::size_t most_idle = 4;
constexpr duration silence_limit = seconds(2);

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

const char* metric_outcome(call_outcome value)
{
    return to_string(value).data();
}

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

platform_client::platform_client(node_tables& tables) : tables_(tables)
{}

awaitable<bool> platform_client::connect(connection_ptr made)
{
    const auto endpoint = parse_endpoint(tables_.settings.store_address);
    if (!endpoint)
        co_return false;
    net_error ec;
    co_await made->socket.async_connect(*endpoint, into(ec));
    if (ec || !made->socket.is_open())
        co_return false;
    guard_silence(made->socket, silence_limit);
    co_return true;
}

awaitable<platform_reply>
platform_client::exchange_on(connection_ptr with, http::verb method,
                             const std::string& target, const std::string& body)
{
    platform_reply out;
    if (!with->used) {
        const bool connected = co_await connect(with);
        if (!connected) {
            out.outcome = call_outcome::turned_away;
            co_return out;
        }
    }
    http::request<http::string_body> request(method, target, 11);
    request.set(http::field::host, tables_.settings.store_address);
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    request.prepare_payload();
    net_error ec;
    co_await http::async_write(with->socket, request, into(ec));
    if (ec)
        co_return out;
    http::response_parser<http::string_body> parser;
    parser.body_limit(largest_reply);
    co_await http::async_read(with->socket, with->buf, parser, into(ec));
    if (ec)
        co_return out;
    out.outcome = outcome_of(parser.get().result_int());
    out.body = std::move(parser.get().body());
    if (parser.keep_alive() && idle_.size() < most_idle) {
        with->used = true;
        idle_.push_back(with);
    }
    co_return out;
}

awaitable<platform_reply> platform_client::call(http::verb method,
                                                std::string target,
                                                std::string body,
                                                duration limit)
{
    connection_ptr with;
    while (!with && !idle_.empty()) {
        if (!is_spent(idle_.back()->socket))
            with = idle_.back();
        idle_.pop_back();
    }
    if (!with)
        with = std::make_shared<connection>(tables_.io);
    asio::steady_timer timer(tables_.io, limit);
    close_on(timer, socket_of(with));
    platform_reply out = co_await exchange_on(with, method, target, body);
    timer.cancel();
    tables_.metrics
        .counter_of("fennelladder_platform_calls_total",
                    {{"outcome", metric_outcome(out.outcome)}})
        .add();
    co_return out;
}

} // namespace fennelladder::edge
