#include "fennelladder/edge/mesh_node.hpp"

#include "fennelladder/edge/simple_server.hpp"

#include "fennelladder/telemetry/log.hpp"
#include "platform/configuration_codec.hpp"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <set>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

constexpr const char* datagrams_metric = "fennelladder_mesh_datagrams_total";
constexpr const char* fetches_metric = "fennelladder_mesh_fetches_total";
constexpr const char* fetched_bytes_metric =
    "fennelladder_mesh_fetched_bytes_total";

constexpr duration tick_period = milliseconds(50);

/// A node within the fleet is reached in milliseconds. One that isn't must not
/// hold up the next: what is to be fetched has to be in force within seconds.
constexpr duration sync_connect_limit = milliseconds(300);

/// The exchange itself. A large configuration is some hundred kilobytes, and
/// many nodes fetch it at once from the same few.
constexpr duration sync_limit = milliseconds(1500);

/// Exchanges in a row, so that nodes that can't be reached don't hold the
/// next announcement up for long.
constexpr int most_syncs = 4;

/// A configuration is a megabyte at most, a list of 600 targets far less.
constexpr std::uint32_t largest_message = 4'194'304;

/// How long a death of a target is told to others.
constexpr duration poison_span = seconds(20);
constexpr std::size_t poison_limit = 24;

/// Loads and stocks named in one beacon, so that it stays in one packet in
/// the usual case.
constexpr std::size_t load_limit = 32;
constexpr std::size_t stock_limit = 32;

/// Changes of targets that travel inside a beacon, about 90 bytes each, so that
/// it stays in one packet. More at once are fetched.
constexpr std::size_t news_limit = 8;

constexpr duration accept_pause = milliseconds(50);

std::string framed(const std::string& message)
{
    const auto n = static_cast<std::uint32_t>(message.size());
    std::string out{static_cast<char>(n >> 24), static_cast<char>(n >> 16),
                    static_cast<char>(n >> 8), static_cast<char>(n)};
    return out + message;
}

std::uint32_t length_of(const std::array<unsigned char, 4>& head)
{
    return std::uint32_t(head[0]) << 24 | std::uint32_t(head[1]) << 16 |
           std::uint32_t(head[2]) << 8 | std::uint32_t(head[3]);
}

/// Reads one message; false when the connection ended or misbehaved.
awaitable<bool> read_message(tcp::socket& socket, std::string& out)
{
    std::array<unsigned char, 4> head{};
    net_error ec;
    co_await asio::async_read(socket, asio::buffer(head), into(ec));
    if (ec || length_of(head) > largest_message)
        co_return false;
    out.resize(length_of(head));
    co_await asio::async_read(socket, asio::buffer(out), into(ec));
    co_return !ec;
}

awaitable<bool> write_message(tcp::socket& socket, const std::string& message)
{
    const std::string bytes = framed(message);
    net_error ec;
    co_await asio::async_write(socket, asio::buffer(bytes), into(ec));
    co_return !ec;
}

template <class List>
void shorten(List& list, std::size_t limit)
{
    if (list.size() > limit)
        list.resize(limit);
}

} // namespace

mesh_node::mesh_node(node_tables& tables, std::string address)
    : tables_(tables), address_(std::move(address)), socket_(tables.io),
      acceptor_(tables.io),
      sent_(tables.metrics.counter_of(datagrams_metric, {{"result", "sent"}})),
      failed_(
          tables.metrics.counter_of(datagrams_metric, {{"result", "failed"}})),
      fetched_(tables.metrics.counter_of(fetches_metric, {{"result", "done"}})),
      fetch_failed_(
          tables.metrics.counter_of(fetches_metric, {{"result", "failed"}})),
      fetched_bytes_(tables.metrics.counter_of(fetched_bytes_metric))
{}

void mesh_node::connect_desk(token_desk& desk)
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
    if (auto ok = listen_on(acceptor_, address_); !ok)
        return ok;
    tables_.spread_news = [this] { spread(); };
    spawn(tables_.io, receive());
    spawn(tables_.io, tick());
    spawn(tables_.io, accept());
    return {};
}

void mesh_node::introduce(const std::vector<std::string>& addresses)
{
    std::vector<std::string> others;
    for (const std::string& it : addresses)
        if (it != address_ && parse_endpoint(it))
            others.push_back(it);
    tables_.nodes.add_addresses(others);
}

// Sending.

void mesh_node::send(const std::string& address, const mesh::datagram& message)
{
    send_to_all({address}, message);
}

void mesh_node::send_to_all(const std::vector<std::string>& addresses,
                            const mesh::datagram& message)
{
    const std::string bytes = mesh::encode(message);
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
    }
}

mesh::beacon mesh_node::own_beacon()
{
    mesh::beacon out;
    out.host = tables_.settings.host;
    out.life = tables_.life;
    out.sequence = ++sequence_;
    out.state = tables_.state();
    out.data_center = tables_.settings.data_center;
    out.caller_address = tables_.settings.listen.callers;
    out.peer_address = address_;
    if (tables_.config != nullptr)
        out.configuration = tables_.config->version();
    out.targets_changed = tables_.targets.latest_change();
    out.platform_reached = tables_.contact.reached;
    out.requests_per_second = tables_.requests_taken.at(tables_.now());
    out.capacity = tables_.capacity();
    out.configuration_age = tables_.configuration_freshness.age(tables_.now());
    out.targets_age = tables_.targets_freshness.age(tables_.now());
    out.heard = tables_.nodes.heard_lately(tables_.now());
    out.load = tables_.book.own_load();
    shorten(out.load, load_limit);
    if (desk_ != nullptr)
        out.stock = desk_->own_stock();
    shorten(out.stock, stock_limit);
    out.poison =
        tables_.poison.recent(poison_span, poison_limit, tables_.now());
    return out;
}

/// A beacon to a node that is new here, with the others it may not know.
void mesh_node::greet(const std::string& address)
{
    mesh::datagram message;
    message.hello = own_beacon();
    message.hello->introduced =
        tables_.nodes.introductions(host_id(), tables_.now());
    send(address, message);
}

void mesh_node::send_beacon(const std::vector<std::string>& addresses)
{
    if (addresses.empty())
        return;
    mesh::datagram message;
    message.hello = own_beacon();
    send_to_all(addresses, message);
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
    // What changes all the time anyway comes with the next beacon.
    if (mesh::encode(message).size() > mesh::packet_size) {
        message.hello->load.clear();
        message.hello->stock.clear();
    }
    send_to_all(addresses, message);
}

/// Whether a peer's beacon shows that it missed what this node knows: it was
/// sent after this node had heard of it.
bool mesh_node::missed_news(const mesh::node_row& peer) const
{
    return peer.last.targets_changed < tables_.targets.latest_change() &&
           peer.heard > tables_.targets_changed;
}

void mesh_node::send_due_beacons()
{
    std::vector<std::string> due = tables_.nodes.due(tables_.now());
    std::set<std::string> behind;
    for (const auto& [host, row] : tables_.nodes.rows())
        if (missed_news(row))
            behind.insert(row.last.peer_address);
    const auto first_behind =
        std::ranges::stable_partition(due, [&](const std::string& it) {
            return !behind.contains(it);
        }).begin();
    send_news({first_behind, due.end()});
    due.erase(first_behind, due.end());
    send_beacon(due);
}

/// Gathers what changes in one go into one round of beacons.
void mesh_node::spread()
{
    if (spreading_)
        return;
    spreading_ = true;
    asio::post(tables_.io, [this] {
        spreading_ = false;
        send_news(tables_.nodes.all_addresses());
    });
}

awaitable<void> mesh_node::tick()
{
    asio::steady_timer timer(tables_.io);
    for (;;) {
        send_due_beacons();
        tables_.nodes.forget_old(tables_.now());
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
        const auto got = mesh::decode_datagram({datagram_.data(), n});
        if (got)
            take(*got, from.address().to_string() + ":" +
                           std::to_string(from.port()));
        else
            log_event(event::call_invalid,
                      {{"from", from.address().to_string()},
                       {"reason", got.error().message}});
    }
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
    const mesh::roster_news news = tables_.nodes.hear(from, now);
    introduce(from.introduced);
    tables_.book.peer_load(from.host, from.load);
    if (desk_ != nullptr)
        desk_->on_stock(from);
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
        tables_.list_changed();
    take_freshness(from, now);
    if (knows_less_than(from))
        spawn(tables_.io, sync_from(from.peer_address));
}

/// A peer that has what this node has confirms it, as of the time at which the
/// peer's was confirmed.
void mesh_node::take_freshness(const mesh::beacon& from, instant now)
{
    const auto own = tables_.config ? tables_.config->version()
                                    : catalog::configuration_version();
    if (from.configuration > own)
        tables_.note_configuration_announced();
    if (from.configuration == own && from.configuration_age)
        tables_.confirm_configuration(now - *from.configuration_age -
                                      mesh::hop_allowance);
    if (from.targets_changed == tables_.targets.latest_change() &&
        from.targets_age)
        tables_.confirm_targets(now - *from.targets_age - mesh::hop_allowance);
}

bool mesh_node::knows_less_than(const mesh::beacon& from) const
{
    const catalog::configuration_version own =
        tables_.config ? tables_.config->version()
                       : catalog::configuration_version();
    return from.configuration > own ||
           from.targets_changed > tables_.targets.as_of();
}

// Bringing the configuration and targets.

/// The latest change of targets that the peer at `address` said it knows.
catalog::revision mesh_node::targets_at(const std::string& address) const
{
    for (const auto& [host, row] : tables_.nodes.rows())
        if (row.last.peer_address == address)
            return row.last.targets_changed;
    return catalog::revision();
}

/// The largest of the nodes that know more than this one, other than
/// `except`; empty if there is none.
std::string mesh_node::better_informed(const std::string& except) const
{
    const mesh::node_row* best = nullptr;
    for (const mesh::node_row* it : tables_.nodes.alive(tables_.now())) {
        if (it->last.peer_address == except || !knows_less_than(it->last))
            continue;
        if (best == nullptr || it->last.capacity > best->last.capacity)
            best = it;
    }
    return best == nullptr ? std::string() : best->last.peer_address;
}

awaitable<bool> mesh_node::sync_once(std::string address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
        co_return false;
    auto socket = std::make_shared<tcp::socket>(tables_.io);
    asio::steady_timer timer(tables_.io, sync_connect_limit);
    close_on(timer, socket);
    net_error ec;
    co_await socket->async_connect(*endpoint, into(ec));
    if (ec || !socket->is_open())
        co_return false;
    timer.expires_after(sync_limit);
    close_on(timer, socket);
    const instant begun = tables_.now();
    const std::size_t bytes = co_await ask_sync(*socket, address);
    timer.cancel();
    const bool done = bytes > 0;
    (done ? fetched_ : fetch_failed_).add();
    fetched_bytes_.add(bytes);
    log_event(
        done ? event::news_fetched : event::news_fetch_failed,
        {{"from", address},
         {"bytes", std::to_string(bytes)},
         {"ms", milliseconds_text(tables_.now() - begun)},
         {"targets_as_of", std::to_string(tables_.targets.as_of().value())},
         {"generation", generation_text()}});
    co_return done;
}

/// One exchange at a time. What was announced meanwhile is fetched after it:
/// in a large fleet the next beacon is seconds away.
awaitable<void> mesh_node::sync_from(std::string address)
{
    if (syncing_)
        co_return;
    syncing_ = true;
    for (int i = 0; i < most_syncs && !address.empty(); ++i) {
        const bool done = co_await sync_once(address);
        address = better_informed(done ? std::string() : address);
    }
    syncing_ = false;
}

std::string mesh_node::generation_text() const
{
    return std::to_string(tables_.config ? tables_.config->version().value()
                                         : 0);
}

/// Bytes of the answer; 0 if there was none that could be read.
awaitable<std::size_t> mesh_node::ask_sync(tcp::socket& socket,
                                           const std::string& address)
{
    mesh::sync_ask known;
    if (tables_.config != nullptr)
        known.configuration = tables_.config->version();
    known.targets_as_of = tables_.targets.as_of();
    const auto ask = mesh::next_ask(known, targets_at(address));
    const std::string question = mesh::encode(ask);
    const bool sent = co_await write_message(socket, question);
    std::string bytes;
    if (!sent)
        co_return 0;
    const bool read = co_await read_message(socket, bytes);
    if (!read)
        co_return 0;
    const auto reply = mesh::decode_sync_reply(bytes);
    if (!reply) {
        log_event(event::configuration_unreadable,
                  {{"source", "peer"}, {"reason", reply.error().message}});
        co_return 0;
    }
    take_sync(*reply, address);
    co_return bytes.size();
}

void mesh_node::take_sync(const mesh::sync_reply& reply,
                          const std::string& source)
{
    if (!reply.configuration.empty()) {
        const auto spec =
            nlohmann::json::parse(reply.configuration, nullptr, false);
        auto parts = adapter::decode_configuration(spec);
        if (parts)
            tables_.take_configuration(std::move(*parts), reply.configuration,
                                       source);
        else
            log_event(event::configuration_unreadable,
                      {{"source", "peer"}, {"reason", parts.error().message}});
    }
    const catalog::revision before = tables_.targets.latest_change();
    const bool first = !tables_.targets.known();
    if (reply.targets_full)
        tables_.targets.replace_all(reply.targets, reply.targets_as_of);
    else
        tables_.targets.apply(reply.targets, reply.targets_as_of);
    const bool changed = first ? tables_.targets.known()
                               : tables_.targets.latest_change() != before;
    if (changed)
        tables_.list_changed();
    // Those that heard it from the platform tell everybody; if those that
    // heard it from them did so too, each change would cost a message for
    // every pair of nodes.
}

mesh::sync_reply mesh_node::sync_answer(const mesh::sync_ask& ask) const
{
    mesh::sync_reply out;
    if (tables_.config != nullptr &&
        tables_.config->version() > ask.configuration)
        out.configuration = tables_.config_text;
    if (!tables_.targets.known())
        return out;
    out.targets_as_of = tables_.targets.as_of();
    const auto changes = tables_.targets.changes_since(ask.targets_as_of);
    if (changes) {
        out.targets = *changes;
        return out;
    }
    out.targets_full = true;
    for (const auto& [id, entry] : tables_.targets.entries())
        out.targets.push_back({id, entry, tables_.targets.latest_change()});
    return out;
}

awaitable<void> mesh_node::accept()
{
    asio::steady_timer timer(tables_.io);
    for (;;) {
        auto socket = std::make_shared<tcp::socket>(tables_.io);
        net_error ec;
        co_await acceptor_.async_accept(*socket, into(ec));
        if (ec) {
            co_await sleep_on(timer, accept_pause);
            continue;
        }
        spawn(tables_.io, serve_sync(socket));
    }
}

awaitable<void> mesh_node::serve_sync(std::shared_ptr<tcp::socket> socket)
{
    asio::steady_timer timer(tables_.io, sync_limit);
    close_on(timer, socket);
    std::string bytes;
    const bool read = co_await read_message(*socket, bytes);
    if (!read)
        co_return;
    const auto ask = mesh::decode_sync_ask(bytes);
    if (!ask) {
        log_event(event::call_invalid, {{"reason", ask.error().message}});
        co_return;
    }
    const std::string answer = mesh::encode(sync_answer(*ask));
    (void)co_await write_message(*socket, answer);
}

} // namespace fennelladder::edge
