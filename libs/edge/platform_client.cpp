#include "fennelladder/edge/platform_client.hpp"

#include "fennelladder/edge/host_shares.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "platform/object_codec.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

constexpr std::size_t max_idle_connections = 4;
constexpr duration silence_timeout = seconds(2);

/// The platform responds within milliseconds. The kernel retransmits a lost
/// first packet only after a second, so a new attempt to connect is faster.
constexpr duration connect_timeout = milliseconds(600);

/// Longest gap within a response. The kernel retransmits a lost packet after
/// 0.2 s, and again after 0.4 s.
constexpr duration progress_timeout = milliseconds(700);

/// Longest transfer beyond the timeout of the call: a megabyte at a tenth of
/// the bandwidth of the slowest known link.
constexpr duration max_transfer_time = seconds(10);

constexpr std::size_t read_bytes = 16'384;

/// Bytes of a chunk's size with its extensions, or of all trailers.
constexpr std::size_t max_unparsed_bytes = 16'384;

/// A page of a listing has about a megabyte; anything far larger is no page.
constexpr std::uint64_t max_reply_bytes = 16'777'216;

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
        // Any other client error means that nothing was carried out. Any other
        // server error leaves that open.
        return status < 500 ? call_outcome::turned_away
                            : call_outcome::no_reply;
    }
}

constexpr std::array<std::string_view, platform_call_count> call_names{
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
    case call_outcome::outdated:
        return "outdated";
    case call_outcome::no_reply:
        return "no_reply";
    }
    return "unknown";
}

std::string_view to_string(platform_call value)
{
    return call_names[static_cast<std::size_t>(value)];
}

platform_client::platform_client(node_tables& tables) : tables_(tables)
{}

awaitable<bool> platform_client::connect(connection_ptr made)
{
    const auto endpoint = parse_endpoint(tables_.settings.store_address);
    if (!endpoint)
        co_return false;
    socket_deadline limit(socket_of(made));
    limit.close_after(connect_timeout);
    const instant began = tables_.link.begin_dial();
    net_error ec;
    co_await made->socket.async_connect(*endpoint, into(ec));
    limit.clear();
    made->timed_out = limit.has_closed();
    if (made->timed_out)
        tables_.link.note_timed_out(began, *endpoint);
    if (ec || !made->socket.is_open())
        co_return false;
    tables_.link.note_connected(began, *endpoint);
    enable_keepalive(made->socket, silence_timeout);
    co_return true;
}

/// Whether a call may hold so many bytes of its reply, with those that all
/// other calls hold. `held` is what it held so far.
bool platform_client::may_hold(std::size_t& held, std::size_t bytes)
{
    const std::size_t all = held_ - held + bytes;
    if (bytes > held && all > platform_replies_for(tables_.settings))
        return false;
    held_ = all;
    held = bytes;
    return true;
}

/// Returns no error if the reply is whole.
awaitable<net_error> platform_client::read_reply(connection_ptr with,
                                                 reply_intake& reply,
                                                 socket_deadline& limit,
                                                 instant until,
                                                 instant& first_byte_at)
{
    std::size_t held = 0;
    const net_error out =
        co_await receive(with, reply, limit, until, first_byte_at, held);
    held_ -= held;
    co_return out;
}

/// The platform may be silent until `until`; after that, bytes must keep
/// arriving.
awaitable<net_error>
platform_client::receive(connection_ptr with, reply_intake& reply,
                         socket_deadline& limit, instant until,
                         instant& first_byte_at, std::size_t& held)
{
    const instant end = until + max_transfer_time;
    net_error ec;
    while (!reply.is_whole()) {
        const std::size_t got = co_await with->socket.async_read_some(
            with->buf.prepare(read_bytes), into(ec));
        with->buf.commit(got);
        tables_.link.add_received(got);
        if (ec == asio::error::eof)
            ec = reply.end_of_input();
        else if (!ec)
            reply.parse(with->buf, ec);
        if (!ec && !reply.is_whole() && with->buf.size() > max_unparsed_bytes)
            ec = http::error::buffer_overflow;
        if (!ec && !may_hold(held, with->buf.capacity() +
                                       reply.get().body().capacity()))
            ec = http::error::body_limit;
        if (ec)
            co_return ec;
        const instant now = tables_.now();
        if (first_byte_at == instant())
            first_byte_at = now;
        const instant next = now + progress_timeout;
        limit.close_after(std::min(std::max(until, next), end) - now);
    }
    co_return net_error();
}

void platform_client::log_malformed(const std::string& target,
                                    const net_error& fault)
{
    telemetry::log_event(telemetry::event::answer_malformed,
                         {{"target", "platform"},
                          {"address", tables_.settings.store_address},
                          {"where", target},
                          {"fault", fault.message()}});
    tables_.metrics
        .counter_of("fennelladder_malformed_answers_total",
                    {{"fault", fault.message()}})
        .add();
}

awaitable<platform_reply>
platform_client::exchange_on(connection_ptr with, http::verb method,
                             const std::string& target, const std::string& body,
                             duration limit)
{
    platform_reply out;
    if (!with->established) {
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
    const std::size_t sent =
        co_await http::async_write(with->socket, request, into(ec));
    tables_.link.add_sent(sent);
    if (ec) {
        with->timed_out = silence.has_closed();
        co_return out;
    }
    reply_intake reply(false, max_reply_bytes);
    const net_error failed =
        co_await read_reply(with, reply, silence, until, out.first_byte_at);
    silence.clear();
    with->timed_out = silence.has_closed();
    if (is_malformed(failed))
        log_malformed(target, failed);
    if (failed)
        co_return out;
    out.outcome = outcome_of(reply.get().result_int());
    out.era = adapter::era_of(reply.get());
    out.body = std::move(reply.get().body());
    // Bytes after a reply belong to none.
    if (reply.parsed().keep_alive() && with->buf.size() == 0 &&
        idle_.size() < max_idle_connections) {
        with->established = true;
        idle_.push_back(with);
    }
    co_return out;
}

void platform_client::count(platform_call name, const platform_reply& reply)
{
    ++call_counts_[static_cast<std::size_t>(name)];
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
    const auto count_text = [this](platform_call name) {
        return std::to_string(call_counts_[static_cast<std::size_t>(name)]);
    };
    if (std::ranges::all_of(call_counts_,
                            [](std::uint32_t n) { return n == 0; }))
        return;
    telemetry::log_event(
        telemetry::event::platform_calls,
        {{"list_configuration", count_text(platform_call::list_configuration)},
         {"watch_configuration",
          count_text(platform_call::watch_configuration)},
         {"list_targets", count_text(platform_call::list_targets)},
         {"watch_targets", count_text(platform_call::watch_targets)},
         {"list_evacuations", count_text(platform_call::list_evacuations)},
         {"watch_evacuations", count_text(platform_call::watch_evacuations)},
         {"list_nodes", count_text(platform_call::list_nodes)},
         {"register_node", count_text(platform_call::register_node)},
         {"read_allotments", count_text(platform_call::read_allotments)},
         {"write_allotments", count_text(platform_call::write_allotments)},
         {"conflicts", std::to_string(conflicts_)},
         {"unanswered", std::to_string(unanswered_)}});
    call_counts_ = {};
    conflicts_ = 0;
    unanswered_ = 0;
}

awaitable<platform_reply>
platform_client::call(platform_call name, http::verb method, std::string target,
                      std::string body, duration limit)
{
    connection_ptr with;
    while (!with && !idle_.empty()) {
        if (!is_stale(idle_.back()->socket))
            with = idle_.back();
        idle_.pop_back();
    }
    if (!with)
        with = std::make_shared<connection>(tables_.io);
    platform_reply out =
        co_await exchange_on(with, method, target, body, limit);
    if (with->timed_out)
        close_idle();
    tables_.note_store_era(out.era, std::string(to_string(name)));
    if (out.reached() && out.era < tables_.store_era) {
        out.outcome = call_outcome::outdated;
        out.body.clear();
    }
    count(name, out);
    co_return out;
}

} // namespace fennelladder::edge
