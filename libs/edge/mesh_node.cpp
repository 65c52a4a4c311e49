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

/// A loop that stood still for longer is worth a line: callers felt it.
constexpr duration lag_reported = milliseconds(250);

/// How long a death of a target is told to others.
constexpr duration poison_span = seconds(20);
constexpr std::size_t poison_limit = 24;

/// Loads and stocks named in one beacon, so that it stays in one packet in
/// the usual case.
constexpr std::size_t load_limit = 32;
constexpr std::size_t stock_limit = 32;
constexpr std::size_t limits_limit = 16;
constexpr std::size_t leaving_limit = 16;

/// Changes of targets that travel inside a beacon, of about 100 bytes each, so
/// that it stays in one packet. More at once are fetched.
constexpr std::size_t news_limit = 12;

/// Between two rounds of news by one node. What changes within it goes out
/// together, in place of a round to everybody for each change: with 300 nodes
/// and 3,000 targets the middle node has 81 kB/s for 96 kB/s, measured with the
/// whole fleet. Small beside the seconds within which changes have to be in
/// force; the first of several isn't held up.
constexpr duration news_pause = milliseconds(200);

/// IPv4 and UDP headers, which a link carries as well.
constexpr std::size_t datagram_head = 28;

/// Keeps the rows with the most of `member`. Cut off by name, as they come, it
/// would be the same teams each time of whose stock no other node ever hears,
/// and the same targets that look idle to all.
template <class List, class Member>
void keep_largest(List& list, std::size_t limit, Member member)
{
    if (list.size() <= limit)
        return;
    const auto end = list.begin() + static_cast<std::ptrdiff_t>(limit);
    std::ranges::nth_element(list, end, std::greater<>(), member);
    list.erase(end, list.end());
}

std::vector<dispatch::limit_word>
newest_limits(std::vector<dispatch::limit_word> all)
{
    std::ranges::sort(all, {}, &dispatch::limit_word::ago);
    if (all.size() > limits_limit)
        all.resize(limits_limit);
    return all;
}

/// What changes all the time anyway comes with the next regular beacon; without
/// it the news fit one packet.
void make_brief(mesh::beacon& it)
{
    it.is_brief = true;
    it.load.clear();
    it.stock.clear();
}

} // namespace

mesh_node::mesh_node(node_tables& tables, std::string address)
    : tables_(tables), address_(std::move(address)), socket_(tables.io),
      news_(tables, address_),
      sent_(tables.metrics.counter_of(datagrams_metric, {{"result", "sent"}})),
      failed_(
          tables.metrics.counter_of(datagrams_metric, {{"result", "failed"}})),
      lag_gauge_(tables.metrics.gauge_of(lag_metric))
{}

void mesh_node::set_token_desk(token_desk& desk)
{
    desk_ = &desk;
}

status mesh_node::start()
{
    const auto endpoint = parse_endpoint(address_);
    if (!endpoint)
        return fail(error_code::invalid, "not an address: " + address_);
    try {
        socket_.open(udp::v4());
        socket_.bind(udp::endpoint(endpoint->address(), endpoint->port()));
        socket_.non_blocking(true);
    } catch (const std::exception& failure) {
        return fail(error_code::unavailable, address_ + ": " + failure.what());
    }
    if (auto ok = news_.start(); !ok)
        return ok;
    tables_.broadcast_update = [this] { spread(); };
    spawn(tables_.io, receive());
    spawn(tables_.io, tick());
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
    send_to_all({address}, message, traffic::tokens);
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
        // A datagram that can't be sent is lost like any other.
        (ec ? failed_ : sent_).add();
        ++count.datagrams;
        count.bytes += bytes.size() + datagram_head;
    }
}

mesh::beacon mesh_node::own_beacon()
{
    mesh::beacon out;
    out.host = tables_.settings.host;
    out.life = tables_.life;
    out.sequence = ++sequence_;
    out.sent = tables_.now();
    out.state = tables_.state();
    out.data_center = tables_.settings.data_center;
    out.caller_address = tables_.settings.listen.callers;
    out.peer_address = address_;
    out.configuration = tables_.version();
    out.targets_changed = tables_.targets.latest_change();
    out.platform_reached = tables_.platform.reached;
    out.requests_per_second = tables_.accepted_requests.at(tables_.now());
    out.capacity = tables_.capacity();
    out.targets_as_of = tables_.targets.as_of();
    if (tables_.evacuations.known())
        out.evacuations = tables_.evacuations.state();
    out.evacuations_age = tables_.evacuations_freshness.age(tables_.now());
    out.configuration_age = tables_.configuration_freshness.age(tables_.now());
    out.targets_age = tables_.targets_freshness.age(tables_.now());
    out.up_for = tables_.now() - tables_.started;
    out.fleets_lost = tables_.losses.known(tables_.now());
    out.heard = tables_.peers.heard_lately(tables_.now());
    out.load = tables_.registry.own_load();
    keep_largest(out.load, load_limit, &dispatch::target_load::running);
    if (desk_ != nullptr)
        out.stock = desk_->own_stock();
    keep_largest(out.stock, stock_limit, &mesh::token_stock::free);
    out.limits = newest_limits(tables_.registry.own_limits(tables_.now()));
    out.leaving = tables_.registry.told_leaving(leaving_limit, tables_.now());
    out.poison =
        tables_.poison.recent(poison_span, poison_limit, tables_.now());
    return out;
}

/// A beacon to a node that is new here, with the others it may not know.
void mesh_node::greet(const std::string& address)
{
    mesh::datagram message;
    mesh::roster& peers = tables_.peers;
    message.hello = own_beacon();
    message.hello->introduced =
        peers.introductions(peers.options().introductions, tables_.now());
    send_to_all({address}, message, traffic::greetings);
}

void mesh_node::send_beacon(const std::vector<std::string>& addresses)
{
    if (addresses.empty())
        return;
    mesh::datagram message;
    mesh::roster& peers = tables_.peers;
    message.hello = own_beacon();
    message.hello->introduced =
        peers.introductions(peers.options().introductions_each, tables_.now());
    send_to_all(addresses, message, traffic::beacons);
}

/// A beacon with the latest changes of targets: a target's leaving is known
/// one packet later, without a connection that could be slow or busy.
void mesh_node::send_news(const std::vector<std::string>& addresses)
{
    if (addresses.empty())
        return;
    mesh::datagram message;
    message.hello = own_beacon();
    if (tables_.targets.known())
        message.hello->target_news = tables_.targets.latest_news(news_limit);
    if (!tables_.leaving)
        make_brief(*message.hello);
    send_to_all(addresses, message, traffic::news);
}

/// Whether a peer's beacon shows that it missed what this node knows: it was
/// sent after this node had heard of it.
bool mesh_node::missed_news(const mesh::node_row& peer) const
{
    return peer.last.targets_as_of < tables_.targets.latest_change() &&
           peer.heard > tables_.targets_changed;
}

void mesh_node::send_due_beacons()
{
    std::vector<std::string> due = tables_.peers.due(tables_.now());
    std::set<std::string> behind;
    for (const auto& [host, row] : tables_.peers.rows())
        if (missed_news(row))
            behind.insert(row.last.peer_address);
    const auto first_behind = std::stable_partition(
        due.begin(), due.end(),
        [&](const std::string& it) { return !behind.contains(it); });
    send_news({first_behind, due.end()});
    due.erase(first_behind, due.end());
    send_beacon(due);
}

/// Gathers what changes in one go, or soon after the last round, into one round
/// of beacons.
void mesh_node::spread()
{
    if (spreading_)
        return;
    spreading_ = true;
    spawn(tables_.io, spread_when_due());
}

awaitable<void> mesh_node::spread_when_due()
{
    asio::steady_timer timer(tables_.io);
    const duration rested = tables_.now() - last_spread_;
    // A node that leaves can't wait: it may be gone.
    const bool at_once = rested >= news_pause || tables_.leaving;
    co_await sleep_on(timer, at_once ? duration(0) : news_pause - rested);
    spreading_ = false;
    last_spread_ = tables_.now();
    send_news(tables_.peers.all_addresses());
}

void mesh_node::log_traffic()
{
    const auto text = [this](traffic kind) {
        const traffic_count& it = traffic_[static_cast<std::size_t>(kind)];
        return std::to_string(it.datagrams) + "/" + std::to_string(it.bytes);
    };
    telemetry::log_event(event::mesh_sent,
                         {{"beacons", text(traffic::beacons)},
                          {"news", text(traffic::news)},
                          {"greetings", text(traffic::greetings)},
                          {"tokens", text(traffic::tokens)}});
    traffic_ = {};
}

/// Peers stop naming a late node to callers, and name it again afterwards, as
/// soon as they hear.
void mesh_node::note_lateness()
{
    const bool late = tables_.updates_are_late();
    if (late == was_late_)
        return;
    was_late_ = late;
    log_event(late ? event::news_late : event::news_late_over,
              {{"targets_age_ms",
                milliseconds_text(tables_.targets_freshness.age(tables_.now())
                                      .value_or(duration(0)))}});
    spread();
}

awaitable<void> mesh_node::tick()
{
    asio::steady_timer timer(tables_.io);
    for (;;) {
        note_tick(tables_.now());
        note_lateness();
        send_due_beacons();
        tables_.peers.forget_old(tables_.now());
        co_await sleep_on(timer, tick_period);
    }
}

// Receiving.

awaitable<void> mesh_node::receive()
{
    udp::endpoint from;
    for (;;) {
        net_error ec;
        const std::size_t n = co_await socket_.async_receive_from(
            asio::buffer(datagram_), from, into(ec));
        if (ec) {
            // An earlier datagram came back as unreachable; the next may not.
            asio::steady_timer timer(tables_.io);
            co_await sleep_on(timer, milliseconds(1));
            continue;
        }
        const std::string sender = from.address().to_string();
        const auto got = mesh::decode_datagram({datagram_.data(), n});
        if (!got) {
            note_unreadable(sender, got.error());
            continue;
        }
        if (got->left_out > 0)
            note_unreadable(sender, {error_code::corrupt, "parts left out"});
        take(*got, sender + ":" + std::to_string(from.port()));
    }
}

void mesh_node::note_unreadable(const std::string& sender, const error& cause)
{
    tables_.unreadable.note(unreadable_kind::message, sender,
                            catalog::revision(), cause);
}

void mesh_node::take(const mesh::datagram& message, const std::string& from)
{
    if (message.hello)
        take_beacon(*message.hello);
    if (desk_ == nullptr)
        return;
    if (message.ask)
        desk_->on_ask(*message.ask, from);
    if (message.give)
        desk_->on_give(*message.give);
    if (message.gift)
        desk_->on_gift(*message.gift, from);
    if (message.gift_taken)
        desk_->on_gift_taken(*message.gift_taken);
}

void mesh_node::take_beacon(const mesh::beacon& from)
{
    const instant now = tables_.now();
    const mesh::roster_news news = tables_.peers.hear(from, now);
    add_peer_addresses(from.introduced);
    if (news.died)
        note_death(from.host, now);
    hear_losses(from, now);
    if (!from.is_brief)
        take_holdings(from);
    for (const dispatch::poison_record& it : from.poison)
        tables_.poison.merge(it, now);
    if (news.new_node) {
        log_event(event::node_heard,
                  {{"node", from.host.str()}, {"address", from.peer_address}});
        greet(from.peer_address);
    }
    if (news.state_changed)
        log_event(event::node_state_changed,
                  {{"node", from.host.str()},
                   {"state", std::to_string(static_cast<int>(from.state))}});
    if (from.target_news && tables_.targets.take_news(*from.target_news))
        tables_.update_target_registry();
    if (from.evacuations)
        tables_.apply_evacuations(*from.evacuations, from.host.str());
    take_signals(from, now - news.delay.value_or(duration(0)));
    if (!news.late)
        take_freshness(from, news.delay, now);
    news_.on_heartbeat(from);
}

void mesh_node::note_death(const host_id& host, instant now)
{
    tables_.losses.note_death(tables_.peers.host_count(), now);
    if (desk_ != nullptr)
        desk_->on_death(host);
}

/// A younger node knows less than this one has seen.
void mesh_node::hear_losses(const mesh::beacon& from, instant now)
{
    const bool is_older = from.up_for && *from.up_for > now - tables_.started;
    if (is_older && from.fleets_lost)
        tables_.losses.hear(*from.fleets_lost, now);
}

/// A beacon without load and stock says nothing of them; taken as empty, every
/// change of a target made its targets look idle and its tokens gone.
void mesh_node::take_holdings(const mesh::beacon& from)
{
    tables_.registry.peer_load(from.host, from.load);
    if (desk_ != nullptr)
        desk_->on_stock(from);
}

void mesh_node::take_signals(const mesh::beacon& from, instant sent)
{
    for (const auto& it :
         tables_.registry.peer_leaving(from.leaving, tables_.now()))
        log_signals(it.id, {.leaving = true}, {.leaving = true},
                    from.host.str());
    for (const auto& it : tables_.registry.peer_limits(from.limits, sent))
        log_signals(it.target, {.rate_limit = it.rate}, {.rate_limit = true},
                    from.host.str());
}

/// A peer that was up to date at some time says what the newest was then. A
/// node that has that, or more, was up to date then as well.
void mesh_node::take_freshness(const mesh::beacon& from,
                               std::optional<duration> delay, instant now)
{
    // One that doesn't say when it was sent says nothing of its way: counted
    // as undelayed, it would hide a full link.
    if (delay)
        tables_.lateness.note(*delay, now);
    const auto own = tables_.version();
    const duration way = std::max(
        way_allowance(now), mesh::hop_allowance + delay.value_or(duration(0)));
    tables_.targets_announced =
        std::max(tables_.targets_announced, from.targets_changed);
    if (from.configuration > own)
        tables_.note_configuration_announced();
    if (from.configuration <= own && from.configuration_age)
        tables_.confirm_configuration(now - *from.configuration_age - way);
    if (from.targets_age) {
        const instant at = now - *from.targets_age - way;
        if (from.targets_changed <= tables_.targets.as_of())
            tables_.confirm_targets(at);
        else
            tables_.note_targets_confirmed(at);
    }
    // What the sender knows was taken before.
    if (from.evacuations && from.evacuations_age)
        tables_.confirm_evacuations(now - *from.evacuations_age - way);
}

/// How long a beacon may have been on its way whatever its sender says: it lies
/// in the socket while this node is busy with something long or doesn't run at
/// all.
duration mesh_node::way_allowance(instant now) const
{
    return std::max({mesh::hop_allowance, tables_.lag.since_tick(now),
                     tables_.lag.at(now)});
}

void mesh_node::note_tick(instant now)
{
    const duration late = tables_.lag.note_tick(now);
    lag_gauge_.set(std::chrono::duration_cast<milliseconds>(late).count());
    if (late > lag_reported)
        log_event(event::loop_lagged, {{"ms", milliseconds_text(late)}});
}

} // namespace fennelladder::edge
