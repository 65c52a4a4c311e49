#include "fennelladder/edge/caller_server.hpp"

#include "caller_session.hpp"
#include "fennelladder/edge/simple_server.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "request_run.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::edge {

namespace {

/// Connections that wait to be accepted, where they are bounded: what the host
/// serves in this time, and at least a few that come together.
constexpr duration max_accept_wait = milliseconds(150);
constexpr int min_accept_queue = 16;

/// A connection that has been idle for less isn't closed for a new one: its
/// caller may be about to use it.
constexpr duration min_idle_time = milliseconds(500);

/// Interval of the log lines about connections that wait for a place.
constexpr duration full_log_interval = seconds(1);

} // namespace

caller_server::caller_server(node_tables& tables, request_driver& driver,
                             caller_server_limits limits)
    : tables_(tables), driver_(driver), limits_(limits), acceptor_(tables.io),
      exchanges_(std::make_shared<exchange_table>(buffer_limits_of(limits)))
{}

caller_server::~caller_server() = default;

status caller_server::start(const std::string& address)
{
    const accept_limit limit = new_connection_limit();
    if (auto ok = listen_on(acceptor_, address, limit.longest_queue); !ok)
        return ok;
    spawn_lasting(
        tables_.io,
        [this, limit] {
            return accept_connections(
                acceptor_,
                [this](tcp::socket socket) { take(std::move(socket)); },
                [this](const net_error& ec) {
                    log_not_accepted(disconnect_reason(ec));
                },
                limit);
        },
        "callers");
    return {};
}

accept_limit caller_server::new_connection_limit()
{
    accept_limit out;
    out.now = [this] { return tables_.now(); };
    out.is_full = [this] { return sessions_->size() >= limits_.connections; };
    out.make_room = [this] { return make_place(); };
    if (!tables_.options.refuses_beyond_capacity)
        return out;
    // Some systems keep the queue as long as it was first asked for. What waits
    // there longer is read when its callers have left.
    out.longest_queue = std::max(
        static_cast<int>(tables_.capacity() * to_seconds(max_accept_wait)),
        min_accept_queue);
    out.rate = [this] {
        return tables_.admission.max_accepts_per_second(tables_.now());
    };
    out.on_wait = [this] {
        tables_.admission.note_not_accepted(tables_.now());
    };
    return out;
}

void caller_server::set_limits(caller_server_limits limits)
{
    limits_ = limits;
    displace(
        exchanges_->budget.set_limits(buffer_limits_of(limits), tables_.now()),
        false);
    shed_connections();
}

void caller_server::shed_connections()
{
    // A connection that was closed is counted until its session has ended.
    for (std::size_t it = limits_.connections; it < sessions_->size(); ++it)
        if (!make_place())
            break;
}

const char* caller_server::rejection_reason() const
{
    if (rejecting_)
        return node_leaves;
    return tables_.updates_are_late() ? "news are late" : nullptr;
}

const char* caller_server::rejection_reason(std::size_t body_bytes) const
{
    if (const char* out = rejection_reason())
        return out;
    return exchanges_->budget.may_serve(body_bytes) ? nullptr
                                                    : too_much_at_once;
}

void caller_server::count_rejection(const char* reason)
{
    tables_.metrics
        .counter_of("fennelladder_rejections_total", {{"reason", reason}})
        .add();
}

void caller_server::count_refusal(const char* reason)
{
    tables_.metrics
        .counter_of("fennelladder_refusals_total", {{"reason", reason}})
        .add();
}

void caller_server::displace(const std::vector<dispatch::displaced>& all,
                             bool place_is_needed)
{
    for (const dispatch::displaced& it : all)
        exchanges_->sessions.at(it.exchange)->give_way(it.why, place_is_needed);
}

void caller_server::log_displaced(const std::string& id,
                                  dispatch::displacement why, std::size_t bytes,
                                  bool is_response)
{
    const std::string reason(to_string(why));
    telemetry::log_event(telemetry::event::exchange_displaced,
                         {{"id", id},
                          {"reason", reason},
                          {"of", is_response ? "response" : "request"},
                          {"bytes", std::to_string(bytes)},
                          {"held", std::to_string(exchanges_->budget.held())},
                          {"connections", std::to_string(sessions_->size())}});
    tables_.metrics
        .counter_of(
            "fennelladder_displaced_total",
            {{"reason", reason}, {"of", is_response ? "response" : "request"}})
        .add();
}

std::size_t caller_server::requests_in_flight() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        *sessions_, [](const caller_session* it) { return !it->is_idle(); }));
}

void caller_server::stop_accepting()
{
    net_error ec;
    acceptor_.close(ec);
}

void caller_server::start_draining()
{
    draining_ = true;
}

void caller_server::answer_all_by(instant at)
{
    tables_.stops_at = at;
    for (caller_session* it : *sessions_)
        it->stop_by(at);
}

void caller_server::reject_new_requests()
{
    rejecting_ = true;
    const auto all = *sessions_;
    for (caller_session* it : all)
        it->close_if_unused();
}

void caller_server::log_not_accepted(const std::string& reason) const
{
    if (!acceptor_.is_open())
        return;
    telemetry::log_event(telemetry::event::connection_not_taken,
                         {{"reason", reason},
                          {"connections", std::to_string(sessions_->size())}});
}

/// Closes the connection that has been idle for longest; one whose last answer
/// was written first. Returns false if none has been for long enough.
bool caller_server::close_longest_idle()
{
    caller_session* longest = nullptr;
    for (caller_session* it : *sessions_)
        if ((longest == nullptr || it->idle_since() < longest->idle_since()) &&
            it->may_be_closed())
            longest = it;
    return longest != nullptr &&
           tables_.now() - longest->idle_since() >= min_idle_time &&
           longest->close_if_idle();
}

/// Makes a place for a connection that waits to be accepted: closes one that is
/// idle, or else the one whose request or response is furthest behind.
bool caller_server::make_place()
{
    if (close_longest_idle())
        return true;
    const instant now = tables_.now();
    if (const auto slow = exchanges_->budget.displace_slowest(now)) {
        displace({*slow}, true);
        return true;
    }
    if (now - last_full_log_ >= full_log_interval) {
        last_full_log_ = now;
        log_not_accepted("connection limit reached");
    }
    return false;
}

void caller_server::take(tcp::socket socket)
{
    tables_.admission.note_accepted(tables_.now());
    const auto session =
        std::make_shared<caller_session>(*this, std::move(socket));
    spawn(tables_.io, caller_session::run(session), "caller");
}

} // namespace fennelladder::edge
