#include "fennelladder/edge/mesh_node.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <set>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

constexpr const char* datagrams_metric = "fennelladder_mesh_datagrams_total";
constexpr const char* lag_metric = "fennelladder_loop_lag_milliseconds";

/// A longer stall of the event loop delays callers noticeably and is logged.
constexpr duration min_logged_lag = milliseconds(250);

/// How long peers are told of a change in what is known of requests that crash
/// targets.
constexpr duration crash_report_time = seconds(20);

/// Limits on the entries in one heartbeat, so that it usually fits one packet.
constexpr std::size_t max_loads = 32;
constexpr std::size_t max_stocks = 32;
constexpr std::size_t max_rate_limits = 16;
constexpr std::size_t max_leaving_targets = 16;
constexpr std::size_t max_reached_targets = 64;
constexpr std::size_t max_crash_records = 12;

/// Target changes carried in one heartbeat, of about 100 bytes each, so that it
/// fits one packet. If there are more, peers fetch them.
constexpr std::size_t max_target_changes = 12;

/// Minimum interval between two updates by one node. Changes within it are sent
/// together instead of one message to every peer for each change: with 300
/// nodes and 3,000 targets, that reduces the traffic of the median node from 96
/// to 81 kB/s. Short compared with the seconds within which changes have to be
/// in force, and the first change is sent without delay.
constexpr duration min_update_interval = milliseconds(200);

/// Datagrams handled in one turn of the event loop at most.
constexpr int max_datagrams_per_turn = 64;

/// Keeps the `limit` rows with the largest `member`. If the list, which is
/// ordered by name, were truncated instead, peers would never hear of the stock
/// of the same teams, and the same targets would always look idle to them.
template <class List, class Member>
void keep_largest(List& list, std::size_t limit, Member member)
{
    if (list.size() <= limit)
        return;
    const auto end = list.begin() + static_cast<std::ptrdiff_t>(limit);
    std::ranges::nth_element(list, end, std::greater<>(), member);
    list.erase(end, list.end());
}

std::vector<dispatch::limit_signal>
newest_limits(std::vector<dispatch::limit_signal> all)
{
    std::ranges::sort(all, {}, &dispatch::limit_signal::ago);
    if (all.size() > max_rate_limits)
        all.resize(max_rate_limits);
    return all;
}

/// Removes the fields that change constantly and are sent with the next
/// periodic heartbeat anyway, so that the update fits one packet.
void make_brief(mesh::node_heartbeat& it)
{
    it.is_brief = true;
    it.load.clear();
    it.stock.clear();
}

} // namespace

mesh_node::mesh_node(node_tables& tables, std::string address)
    : tables_(tables), address_(std::move(address)), socket_(tables.io),
      exchange_(tables, address_,
                [this](const std::string& to, const mesh::datagram& message) {
                    send(to, message);
                }),
      sent_(tables.metrics.counter_of(datagrams_metric, {{"result", "sent"}})),
      failed_(
          tables.metrics.counter_of(datagrams_metric, {{"result", "failed"}})),
      lag_gauge_(tables.metrics.gauge_of(lag_metric))
{}

void mesh_node::set_token_allocator(token_allocator& allocator)
{
    allocator_ = &allocator;
}

void mesh_node::set_stream_origins(stream_origin_exchange& origins)
{
    origins_ = &origins;
}

void mesh_node::set_quarantine(quarantine_exchange& exchange)
{
    quarantine_ = &exchange;
}

status mesh_node::start()
{
    const auto endpoint = parse_endpoint(address_);
    if (!endpoint)
        return fail(error_code::invalid,
                    "not an IP address and port: " + address_);
    try {
        socket_.open(udp::v4());
        socket_.bind(udp::endpoint(endpoint->address(), endpoint->port()));
        socket_.non_blocking(true);
    } catch (const std::exception& failure) {
        return fail(error_code::unavailable, address_ + ": " + failure.what());
    }
    if (auto ok = exchange_.start(); !ok)
        return ok;
    tables_.broadcast_update = [this] { schedule_update(); };
    spawn_lasting(
        tables_.io, [this] { return receive(); }, "datagrams");
    spawn_lasting(
        tables_.io, [this] { return tick(); }, "heartbeats");
    return {};
}

void mesh_node::add_peer_addresses(const std::vector<std::string>& addresses)
{
    std::vector<std::string> others;
    for (const std::string& it : addresses)
        if (it != address_ && parse_endpoint(it))
            others.push_back(it);
    tables_.peers.add_addresses(others);
}

// Sending.

void mesh_node::send(const std::string& address, const mesh::datagram& message)
{
    const bool of_tokens =
        message.request || message.grant || message.grant_ack || message.push ||
        message.push_ack || message.draw_report || message.draw_ack ||
        message.draw_question || message.draw_answer;
    const bool of_streams = !message.origins.empty() ||
                            message.stream_question || message.stream_answer;
    const bool of_configurations =
        message.configuration_question || message.configuration_part;
    auto kind = traffic::crashes;
    if (of_tokens)
        kind = traffic::tokens;
    else if (of_streams)
        kind = traffic::streams;
    else if (of_configurations)
        kind = traffic::configurations;
    send_to_all({address}, message, kind);
}

void mesh_node::send_to_all(const std::vector<std::string>& addresses,
                            const mesh::datagram& message, traffic kind)
{
    const std::string bytes = mesh::encode(message);
    traffic_count& count = traffic_[static_cast<std::size_t>(kind)];
    for (const std::string& address : addresses) {
        const auto endpoint = parse_endpoint(address);
        if (!endpoint)
            continue;
        net_error ec;
        socket_.send_to(asio::buffer(bytes),
                        udp::endpoint(endpoint->address(), endpoint->port()), 0,
                        ec);
        // A send error is treated like a lost datagram.
        (ec ? failed_ : sent_).add();
        tables_.link.add_datagram_sent(bytes.size());
        ++count.datagrams;
        count.bytes += bytes.size() + datagram_header_bytes;
    }
}

mesh::node_heartbeat mesh_node::make_heartbeat()
{
    mesh::node_heartbeat out;
    out.host = tables_.settings.host;
    out.incarnation = tables_.incarnation;
    out.sequence = ++sequence_;
    out.sent = tables_.now();
    out.state = tables_.state();
    out.data_center = tables_.settings.data_center;
    out.caller_address = tables_.settings.listen.callers;
    out.peer_address = address_;
    out.configuration = tables_.version();
    out.targets_changed = tables_.targets.latest_change();
    out.platform_reached = tables_.platform.reached;
    if (tables_.store_era != catalog::store_era())
        out.store_era = tables_.store_era;
    out.requests_per_second = tables_.accepted_requests.at(tables_.now());
    out.capacity = tables_.capacity();
    out.targets_as_of = tables_.targets.as_of();
    if (tables_.evacuations.known())
        out.evacuations = tables_.evacuations.state();
    out.evacuations_age = tables_.evacuations_freshness.age(tables_.now());
    out.configuration_age = tables_.configuration_freshness.age(tables_.now());
    out.targets_age = tables_.targets_freshness.age(tables_.now());
    out.uptime = tables_.now() - tables_.started;
    out.fleets_lost = tables_.losses.known(tables_.now());
    out.heard = tables_.peers.recent_peers(tables_.now());
    out.load = tables_.registry.own_load();
    keep_largest(out.load, max_loads, &dispatch::target_load::running);
    if (allocator_ != nullptr)
        out.stock = allocator_->local_stock();
    keep_largest(out.stock, max_stocks, &mesh::token_stock::free);
    out.limits = newest_limits(tables_.registry.own_limits(tables_.now()));
    out.brittle = newest_limits(tables_.registry.own_brittle(tables_.now()));
    out.leaving =
        tables_.registry.own_leaving(max_leaving_targets, tables_.now());
    out.reached =
        tables_.registry.reach().own_report(max_reached_targets, tables_.now());
    out.cut_off = tables_.is_cut_off();
    out.crash_records = tables_.quarantine.take_news(
        crash_report_time, max_crash_records, tables_.now());
    return out;
}

/// Sends a heartbeat to a newly discovered node, with the addresses of other
/// nodes that it may not know.
void mesh_node::send_introduction(const std::string& address)
{
    mesh::datagram message;
    mesh::peer_view& peers = tables_.peers;
    message.heartbeat = make_heartbeat();
    message.heartbeat->introduced =
        peers.introductions(peers.options().introductions, tables_.now());
    send_to_all({address}, message, traffic::introductions);
}

void mesh_node::send_heartbeat(const std::vector<std::string>& addresses)
{
    if (addresses.empty())
        return;
    mesh::datagram message;
    mesh::peer_view& peers = tables_.peers;
    message.heartbeat = make_heartbeat();
    message.heartbeat->introduced = peers.introductions(
        peers.options().introductions_per_heartbeat, tables_.now());
    send_to_all(addresses, message, traffic::heartbeats);
}

/// Sends a heartbeat with the latest target changes. Peers learn that a target
/// is leaving from one packet, without a connection that could be slow or busy.
void mesh_node::send_update(const std::vector<std::string>& addresses)
{
    if (addresses.empty())
        return;
    mesh::datagram message;
    message.heartbeat = make_heartbeat();
    if (tables_.targets.known())
        message.heartbeat->target_update =
            tables_.targets.latest_update(max_target_changes);
    if (!tables_.leaving)
        make_brief(*message.heartbeat);
    send_to_all(addresses, message, traffic::updates);
}

/// Whether the peer's last heartbeat shows that it missed an update: it was
/// received after this node's target list changed, but has an older list. One
/// of another era can't be updated by changes.
bool mesh_node::missed_update(const mesh::peer_record& peer) const
{
    return peer.last.targets_as_of.era() == tables_.targets.as_of().era() &&
           peer.last.targets_as_of < tables_.targets.latest_change() &&
           peer.heard > tables_.targets_changed;
}

void mesh_node::send_due_heartbeats()
{
    std::vector<std::string> due = tables_.peers.due(tables_.now());
    std::set<std::string> behind;
    for (const auto& [host, row] : tables_.peers.rows())
        if (missed_update(row))
            behind.insert(row.last.peer_address);
    const auto first_behind = std::stable_partition(
        due.begin(), due.end(),
        [&](const std::string& it) { return !behind.contains(it); });
    send_update({first_behind, due.end()});
    due.erase(first_behind, due.end());
    send_heartbeat(due);
}

/// Combines changes that are made together, or soon after the last update, into
/// one update to all peers.
void mesh_node::schedule_update()
{
    if (update_scheduled_)
        return;
    update_scheduled_ = true;
    spawn(tables_.io, send_scheduled_update(), "update");
}

awaitable<void> mesh_node::send_scheduled_update()
{
    asio::steady_timer timer(tables_.io);
    const duration elapsed = tables_.now() - last_update_;
    // A node that is shutting down can't wait: it may stop before.
    const bool at_once = elapsed >= min_update_interval || tables_.leaving;
    co_await sleep_on(timer,
                      at_once ? duration(0) : min_update_interval - elapsed);
    update_scheduled_ = false;
    last_update_ = tables_.now();
    send_update(tables_.peers.all_addresses());
}

void mesh_node::log_traffic()
{
    const auto text = [this](traffic kind) {
        const traffic_count& it = traffic_[static_cast<std::size_t>(kind)];
        return std::to_string(it.datagrams) + "/" + std::to_string(it.bytes);
    };
    telemetry::log_event(event::mesh_sent,
                         {{"beacons", text(traffic::heartbeats)},
                          {"news", text(traffic::updates)},
                          {"greetings", text(traffic::introductions)},
                          {"tokens", text(traffic::tokens)},
                          {"streams", text(traffic::streams)},
                          {"crashes", text(traffic::crashes)},
                          {"configurations", text(traffic::configurations)}});
    traffic_ = {};
}

/// Tells peers at once when this node becomes late or is no longer late, since
/// they don't name a late node to callers.
void mesh_node::report_lateness()
{
    const bool late = tables_.updates_are_late();
    if (late == was_late_)
        return;
    was_late_ = late;
    log_event(late ? event::news_late : event::news_late_over,
              {{"targets_age_ms",
                milliseconds_text(tables_.targets_freshness.age(tables_.now())
                                      .value_or(duration(0)))}});
    schedule_update();
}

awaitable<void> mesh_node::tick()
{
    asio::steady_timer timer(tables_.io);
    for (;;) {
        record_tick(tables_.now());
        tables_.update_link();
        report_lateness();
        tables_.expire_kept_entries();
        send_due_heartbeats();
        tables_.peers.forget_old(tables_.now());
        co_await sleep_on(timer, tick_period);
    }
}

// Receiving.

/// Handles all datagrams that wait in one turn of the event loop, whose turns
/// take tens of milliseconds on a busy host.
awaitable<void> mesh_node::receive()
{
    asio::steady_timer timer(tables_.io);
    for (;;) {
        net_error ec;
        udp::endpoint from;
        std::size_t n = co_await socket_.async_receive_from(
            asio::buffer(datagram_), from, into(ec));
        for (int handled = 0; !ec; ++handled) {
            handle_bytes({datagram_.data(), n}, from);
            if (handled + 1 == max_datagrams_per_turn)
                break;
            n = socket_.receive_from(asio::buffer(datagram_), from, 0, ec);
        }
        // An ICMP error for an earlier datagram; later ones may succeed.
        if (ec && !is_transient(ec))
            co_await sleep_on(timer, milliseconds(1));
    }
}

void mesh_node::handle_bytes(std::string_view bytes, const udp::endpoint& from)
{
    tables_.link.add_datagram_received(bytes.size());
    const std::string sender = from.address().to_string();
    const auto got = mesh::decode_datagram(bytes);
    if (!got)
        return note_unreadable(sender, got.error());
    if (got->invalid_parts > 0)
        note_unreadable(sender, {error_code::corrupt, "parts left out"});
    handle_datagram(*got, sender + ":" + std::to_string(from.port()));
}

void mesh_node::note_unreadable(const std::string& sender, const error& cause)
{
    tables_.unreadable.note(unreadable_kind::message, sender,
                            catalog::revision(), cause);
}

void mesh_node::handle_datagram(const mesh::datagram& message,
                                const std::string& from)
{
    if (message.heartbeat)
        handle_heartbeat(*message.heartbeat);
    exchange_.on_message(message, from);
    if (origins_ != nullptr)
        handle_streams(message, from);
    if (quarantine_ != nullptr)
        handle_crashes(message, from);
    if (allocator_ == nullptr)
        return;
    if (message.request)
        allocator_->on_token_request(*message.request, from);
    if (message.grant)
        allocator_->on_token_grant(*message.grant, from);
    if (message.grant_ack)
        allocator_->on_grant_acknowledged(*message.grant_ack);
    if (message.push)
        allocator_->on_token_push(*message.push, from);
    if (message.push_ack)
        allocator_->on_push_acknowledged(*message.push_ack);
    allocator_->on_draws(message, from);
}

void mesh_node::handle_streams(const mesh::datagram& message,
                               const std::string& from)
{
    origins_->on_origins(message.origins);
    if (message.stream_question)
        origins_->on_question(*message.stream_question, from);
    if (message.stream_answer)
        origins_->on_answer(*message.stream_answer);
}

void mesh_node::handle_crashes(const mesh::datagram& message,
                               const std::string& from)
{
    quarantine_->on_records(message.crash_records);
    if (message.run_question)
        quarantine_->on_question(*message.run_question, from);
    if (message.run_answer)
        quarantine_->on_answer(*message.run_answer);
    if (message.run_end)
        quarantine_->on_end(*message.run_end);
}

void mesh_node::handle_heartbeat(const mesh::node_heartbeat& from)
{
    const instant now = tables_.now();
    if (from.store_era)
        tables_.note_store_era(*from.store_era, from.host.str());
    const mesh::heartbeat_effect observed =
        tables_.peers.on_heartbeat(from, now);
    if (!observed.late)
        tables_.registry.reach().set_peer(
            from.host, from.reached,
            now - mesh::hop_allowance - observed.delay.value_or(duration(0)));
    add_peer_addresses(from.introduced);
    if (observed.died)
        handle_node_death(from.host, now);
    merge_loss_history(from, now);
    if (!from.is_brief)
        apply_load_and_stock(from);
    if (quarantine_ != nullptr)
        quarantine_->on_records(from.crash_records);
    if (observed.new_node) {
        log_event(event::node_heard,
                  {{"node", from.host.str()}, {"address", from.peer_address}});
        send_introduction(from.peer_address);
    }
    if (observed.state_changed)
        log_event(event::node_state_changed,
                  {{"node", from.host.str()},
                   {"state", std::to_string(static_cast<int>(from.state))}});
    if (from.target_update && tables_.targets.apply_update(*from.target_update))
        tables_.update_target_registry();
    if (from.evacuations)
        tables_.apply_evacuations(*from.evacuations, from.host.str());
    apply_target_signals(from, now - observed.delay.value_or(duration(0)));
    if (!observed.late)
        apply_freshness(from, observed.delay, now);
    exchange_.on_heartbeat(from);
}

void mesh_node::handle_node_death(const host_id& host, instant now)
{
    tables_.losses.note_death(tables_.peers.host_count(), now);
    if (allocator_ != nullptr)
        allocator_->on_node_death(host);
}

/// Ignores nodes that started later: they have seen less than this one.
void mesh_node::merge_loss_history(const mesh::node_heartbeat& from,
                                   instant now)
{
    const bool is_older = from.uptime && *from.uptime > now - tables_.started;
    if (is_older && from.fleets_lost)
        tables_.losses.merge_peer(*from.fleets_lost, now);
}

/// Not called for brief heartbeats, which carry no load and stock. Treating the
/// missing fields as empty made the sender's targets look idle and its tokens
/// gone after every target change.
void mesh_node::apply_load_and_stock(const mesh::node_heartbeat& from)
{
    tables_.registry.set_peer_load(from.host, from.load);
    if (allocator_ != nullptr)
        allocator_->on_heartbeat(from);
}

void mesh_node::apply_target_signals(const mesh::node_heartbeat& from,
                                     instant sent)
{
    for (const auto& it :
         tables_.registry.merge_peer_leaving(from.leaving, tables_.now()))
        log_signals(it.id, {.leaving = true}, {.leaving = true},
                    from.host.str());
    for (const auto& it :
         tables_.registry.merge_peer_brittle(from.brittle, sent)) {
        catalog::target_signals signals;
        if (it.rate)
            signals.max_rejections = static_cast<std::uint32_t>(*it.rate);
        log_signals(it.target, signals, {.brittle = true}, from.host.str());
    }
    for (const auto& it : tables_.registry.merge_peer_limits(from.limits, sent))
        log_signals(it.target, {.rate_limit = it.rate}, {.rate_limit = true},
                    from.host.str());
}

/// A peer that was up to date at some time reports which state was the newest
/// then. If this node has that state or a newer one, it was up to date then
/// too. A peer that hasn't seen the store's present era confirms nothing: what
/// it calls the newest state is one that the store has lost.
void mesh_node::apply_freshness(const mesh::node_heartbeat& from,
                                std::optional<duration> delay, instant now)
{
    // The delay of a heartbeat without a send time is unknown. Counting it as
    // zero would hide a full link.
    if (delay)
        tables_.lateness.note(*delay, now);
    const auto own = tables_.version();
    const duration transit =
        std::max(transit_allowance(now),
                 mesh::hop_allowance + delay.value_or(duration(0)));
    tables_.targets_announced =
        std::max(tables_.targets_announced, from.targets_changed);
    if (from.configuration > own)
        tables_.note_configuration_announced();
    if (from.configuration <= own && from.configuration_age)
        tables_.confirm_configuration(now - *from.configuration_age - transit);
    if (from.targets_age &&
        from.targets_as_of.era() >= tables_.targets.as_of().era()) {
        const instant at = now - *from.targets_age - transit;
        if (from.targets_changed <= tables_.targets.as_of())
            tables_.confirm_targets(at);
        else
            tables_.note_targets_confirmed(at);
    }
    // The sender's evacuation state was applied before.
    if (from.evacuations && from.evacuations_age &&
        from.evacuations->as_of.era() == tables_.evacuations.as_of().era())
        tables_.confirm_evacuations(now - *from.evacuations_age - transit);
}

/// How long a heartbeat may have been in transit regardless of its send time:
/// it waits in the socket while this node's event loop is blocked or the
/// process is not running.
duration mesh_node::transit_allowance(instant now) const
{
    return std::max({mesh::hop_allowance, tables_.lag.since_tick(now),
                     tables_.lag.at(now)});
}

void mesh_node::record_tick(instant now)
{
    const duration late = tables_.lag.note_tick(now);
    lag_gauge_.set(std::chrono::duration_cast<milliseconds>(late).count());
    if (late > min_logged_lag)
        log_event(event::loop_lagged, {{"ms", milliseconds_text(late)}});
}

} // namespace fennelladder::edge
