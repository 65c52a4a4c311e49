#include "fennelladder/edge/update_exchange.hpp"

#include "fennelladder/edge/host_shares.hpp"
#include "fennelladder/edge/simple_server.hpp"
#include "fennelladder/mesh/text_compression.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "platform/configuration_codec.hpp"

#include <algorithm>
#include <array>

namespace fennelladder::edge {

namespace {

using mesh::fetch_result;
using mesh::sync_part;
using telemetry::log_event;
namespace event = telemetry::event;

constexpr const char* fetches_metric = "fennelladder_mesh_fetches_total";
constexpr const char* fetched_bytes_metric =
    "fennelladder_mesh_fetched_bytes_total";
constexpr const char* transfers_metric = "fennelladder_mesh_transfers_total";

/// Nodes of the fleet accept connections within milliseconds. One that doesn't
/// must not delay the next attempt: updates have to be in force within seconds.
constexpr duration usual_connect_timeout = milliseconds(300);

/// On a link with a queue, connecting takes as long as bytes wait there, in
/// both directions. Another attempt is better than a longer wait.
constexpr duration max_connect_timeout = seconds(1);

/// A configuration has at most a megabyte, a list of 600 targets far less. Also
/// limits the uncompressed size.
constexpr std::size_t max_reply_bytes = 4'194'304;

/// A request contains two numbers and an address.
constexpr std::size_t max_request_bytes = 1'024;

/// Bytes written at a time, so that transfers take turns and callers' traffic
/// is sent in between: 13 ms on a link of 10 Mbit/s.
constexpr std::size_t chunk_bytes = 16'384;

/// Addresses remembered in total, whatever the number of busy nodes that
/// suggest some.
constexpr std::size_t max_suggested_sources = 64;

/// A suggested source that has nothing newer after this many requests is
/// forgotten. During the first ones it may still be parsing what it received.
constexpr int max_fruitless_requests = 3;

std::string name_of(sync_part part)
{
    return part == sync_part::targets ? "targets" : "configuration";
}

mesh::update_source source_of(const mesh::node_heartbeat& from)
{
    return {from.peer_address, from.data_center, from.capacity};
}

} // namespace

update_exchange::fetch_state::fetch_state(telemetry::metrics& metrics,
                                          sync_part wanted)
    : part(wanted), name(name_of(wanted)),
      done(metrics.counter_of(fetches_metric,
                              {{"what", name}, {"result", "done"}})),
      not_newer(metrics.counter_of(fetches_metric,
                                   {{"what", name}, {"result", "not_newer"}})),
      busy(metrics.counter_of(fetches_metric,
                              {{"what", name}, {"result", "busy"}})),
      failed(metrics.counter_of(fetches_metric,
                                {{"what", name}, {"result", "failed"}}))
{}

telemetry::counter&
update_exchange::fetch_state::count_of(fetch_result end) const
{
    switch (end) {
    case fetch_result::done:
        return done;
    case fetch_result::not_newer:
        return not_newer;
    case fetch_result::busy:
        return busy;
    case fetch_result::failed:
        break;
    }
    return failed;
}

update_exchange::update_exchange(node_tables& tables, std::string address,
                                 configuration_datagrams::sender send)
    : tables_(tables), address_(std::move(address)), acceptor_(tables.io),
      connections_([this] { return peer_connections_for(tables_.settings); }),
      relays_(tables), slots_(tables.settings.link_bits_per_second),
      targets_(tables.metrics, sync_part::targets),
      configuration_(tables.metrics, sync_part::configuration),
      fetched_bytes_(tables.metrics.counter_of(fetched_bytes_metric)),
      sent_(tables.metrics.counter_of(transfers_metric, {{"result", "done"}})),
      send_failed_(
          tables.metrics.counter_of(transfers_metric, {{"result", "failed"}})),
      sent_busy_(
          tables.metrics.counter_of(transfers_metric, {{"result", "busy"}})),
      datagrams_(tables, {std::move(send), [this] { return packed(); },
                          [this](std::string bytes, const std::string& source) {
                              mesh::sync_reply reply;
                              reply.packed_configuration = std::move(bytes);
                              return apply_configuration(std::move(reply),
                                                         source);
                          }})
{}

status update_exchange::start()
{
    if (auto ok = listen_on(acceptor_, address_); !ok)
        return ok;
    const auto take = [this](tcp::socket socket) {
        spawn(tables_.io,
              serve(std::make_shared<tcp::socket>(std::move(socket))), "peer");
    };
    spawn_lasting(
        tables_.io,
        [this, take] {
            return accept_connections(
                acceptor_, take, [](const auto&) {},
                accept_limit_of(connections_));
        },
        "peers");
    return {};
}

void update_exchange::on_heartbeat(const mesh::node_heartbeat& from)
{
    if (is_ahead(from, sync_part::targets))
        start_fetch(targets_);
    if (!is_ahead(from, sync_part::configuration))
        return;
    start_fetch(configuration_);
    if (tables_.link_is_full())
        datagrams_.start();
}

bool update_exchange::is_ahead(const mesh::node_heartbeat& from,
                               sync_part part) const
{
    if (part == sync_part::targets)
        return from.targets_changed > tables_.targets.as_of();
    return from.configuration > tables_.version();
}

// Fetching.

void update_exchange::start_fetch(fetch_state& fetch)
{
    if (fetch.under_way)
        return;
    fetch.under_way = true;
    spawn(tables_.io,
          undo_on_failure(fetch_all(fetch),
                          [&fetch] { fetch.under_way = false; }),
          "fetch");
}

awaitable<void> update_exchange::fetch_all(fetch_state& fetch)
{
    asio::steady_timer timer(tables_.io);
    co_await sleep_on(timer, fetch_delay(fetch));
    for (;;) {
        const auto sources = sources_of(fetch.part);
        if (sources.empty())
            break;
        const auto available = fetch.backoff.available(sources, tables_.now());
        const std::string address = mesh::choose_source(
            available, tables_.settings.data_center, tables_.random);
        fetch_result end = fetch_result::busy;
        if (!address.empty())
            end = co_await fetch_from(fetch, address);
        const duration wait =
            mesh::request_interval(tables_.peers.size(), sources.size());
        if (end != fetch_result::done)
            co_await sleep_on(timer, jitter(tables_.random, wait));
    }
    fetch.under_way = false;
}

/// Delay before the first request. Targets are small and urgent, so they are
/// fetched without delay.
duration update_exchange::fetch_delay(const fetch_state& fetch)
{
    if (fetch.part == sync_part::targets)
        return duration(0);
    const auto alive = tables_.peers.alive(tables_.now());
    double largest = tables_.capacity();
    for (const mesh::peer_record* it : alive)
        largest = std::max(largest, it->last.capacity);
    const bool large = mesh::is_large(tables_.capacity(), largest);
    const auto others =
        std::ranges::count_if(alive, [&](const mesh::peer_record* it) {
            return mesh::is_large(it->last.capacity, largest);
        });
    const double nodes = static_cast<double>(alive.size() + 1);
    const double large_fraction =
        (static_cast<double>(others) + (large ? 1 : 0)) / nodes;
    return mesh::initial_delay(large, large_fraction, alive.size() + 1,
                               sources_of(fetch.part).size(), tables_.random);
}

/// The live nodes that have a newer version of `part`, according to their
/// heartbeats or suggested by busy nodes.
std::vector<mesh::update_source> update_exchange::sources_of(sync_part part)
{
    std::vector<mesh::update_source> out;
    for (const mesh::peer_record* it : tables_.peers.alive(tables_.now()))
        if (is_ahead(it->last, part))
            out.push_back(source_of(it->last));
    if (part == sync_part::configuration)
        add_suggested_sources(out);
    return out;
}

void update_exchange::add_suggested_sources(
    std::vector<mesh::update_source>& to)
{
    std::erase_if(suggested_, [&](const auto& it) {
        return it.second <= tables_.version();
    });
    if (suggested_.empty())
        return;
    std::map<std::string, mesh::update_source> known_sources;
    for (const auto& [host, row] : tables_.peers.rows())
        known_sources[row.last.peer_address] = source_of(row.last);
    for (const auto& it : suggested_) {
        const std::string& address = it.first;
        const bool listed = std::ranges::any_of(
            to, [&](const auto& source) { return source.address == address; });
        if (listed)
            continue;
        const auto known = known_sources.find(address);
        to.push_back(known == known_sources.end()
                         ? mesh::update_source{address, data_center_id(), 0}
                         : known->second);
    }
}

awaitable<fetch_result> update_exchange::fetch_from(fetch_state& fetch,
                                                    std::string address)
{
    const instant started = tables_.now();
    peer_stream stream(tables_.io);
    std::string bytes;
    const bool read = co_await query(stream, fetch, address, bytes);
    // Closes the connection before parsing, to free the sender's slot.
    stream.close();
    fetched_bytes_.add(stream.bytes_read());
    const duration elapsed = tables_.now() - started;
    const fetch_result end =
        read ? handle_reply(fetch, bytes, address) : fetch_result::failed;
    record_result(fetch, address, end);
    if (!read && fetch.part == sync_part::configuration)
        datagrams_.start();
    if (end == fetch_result::busy || end == fetch_result::not_newer)
        co_return end;
    log_event(
        end == fetch_result::done ? event::news_fetched
                                  : event::news_fetch_failed,
        {{"what", fetch.name},
         {"from", address},
         {"bytes", std::to_string(stream.bytes_read())},
         {"ms", milliseconds_text(elapsed)},
         {"targets_as_of", std::to_string(tables_.targets.as_of().value())},
         {"generation", std::to_string(tables_.version().value())}});
    co_return end;
}

duration update_exchange::connect_timeout() const
{
    if (!tables_.options.fetches_by_datagram)
        return usual_connect_timeout;
    return std::min(usual_connect_timeout + 2 * tables_.queueing_delay(),
                    max_connect_timeout);
}

awaitable<bool> update_exchange::query(peer_stream& stream,
                                       const fetch_state& fetch,
                                       const std::string& address,
                                       std::string& answer)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
        co_return false;
    const bool connected =
        co_await stream.connect(*endpoint, connect_timeout());
    if (!connected)
        co_return false;
    const mesh::sync_request ask{tables_.version(), tables_.targets.as_of(),
                                 fetch.part, address_, std::nullopt};
    const std::string message = mesh::encode(ask);
    const bool answered = co_await stream.ask(message, answer, max_reply_bytes);
    co_return answered;
}

void update_exchange::record_result(fetch_state& fetch,
                                    const std::string& address,
                                    fetch_result end)
{
    fetch.count_of(end).add();
    const int fruitless =
        fetch.backoff.note(address, end, tables_.now(), tables_.random);
    const bool is_useless =
        end == fetch_result::failed ||
        (end == fetch_result::not_newer && fruitless >= max_fruitless_requests);
    if (is_useless)
        suggested_.erase(address);
}

void update_exchange::note_unreadable(const std::string& source,
                                      const error& cause)
{
    tables_.unreadable.note(unreadable_kind::message, source,
                            catalog::revision(), cause);
}

fetch_result update_exchange::handle_reply(const fetch_state& fetch,
                                           const std::string& bytes,
                                           const std::string& source)
{
    auto reply = mesh::decode_sync_reply(bytes);
    if (!reply) {
        note_unreadable(source, reply.error());
        return fetch_result::failed;
    }
    if (reply->invalid_parts > 0)
        note_unreadable(source, {error_code::corrupt, "parts left out"});
    if (fetch.part == sync_part::targets)
        return apply_targets(*reply);
    if (reply->busy) {
        record_suggested_sources(*reply);
        return fetch_result::busy;
    }
    return apply_configuration(std::move(*reply), source);
}

fetch_result update_exchange::apply_targets(const mesh::sync_reply& reply)
{
    const catalog::revision known_before = tables_.targets.as_of();
    const std::uint64_t before = tables_.targets.change_count();
    const bool first = !tables_.targets.known();
    if (reply.targets_full)
        tables_.targets.replace_all(reply.targets, reply.targets_as_of);
    else
        tables_.targets.apply(reply.targets, reply.targets_as_of);
    const bool changed = first ? tables_.targets.known()
                               : tables_.targets.change_count() != before;
    if (changed)
        tables_.update_target_registry();
    // Doesn't broadcast: nodes that got the change from the platform tell all
    // others. If the receivers did so too, each change would cost a message for
    // every pair of nodes.
    return tables_.targets.as_of() > known_before ? fetch_result::done
                                                  : fetch_result::not_newer;
}

fetch_result update_exchange::apply_configuration(mesh::sync_reply reply,
                                                  const std::string& source)
{
    std::string text = std::move(reply.configuration);
    if (!reply.packed_configuration.empty()) {
        auto unpacked =
            mesh::decompress_text(reply.packed_configuration, max_reply_bytes);
        if (!unpacked) {
            note_unreadable(source, unpacked.error());
            return fetch_result::failed;
        }
        text = std::move(*unpacked);
    }
    if (text.empty())
        return fetch_result::not_newer;
    auto parts = adapter::decode_configuration_text(text);
    if (!parts) {
        note_unreadable(source, parts.error());
        return fetch_result::failed;
    }
    const bool applied =
        tables_.apply_configuration(std::move(*parts), std::move(text), source);
    if (!applied)
        return fetch_result::not_newer;
    if (!reply.packed_configuration.empty())
        cache_encoded(std::move(reply.packed_configuration));
    return fetch_result::done;
}

void update_exchange::record_suggested_sources(const mesh::sync_reply& reply)
{
    std::size_t left = mesh::max_referrals;
    for (const std::string& it : reply.served) {
        if (left-- == 0 || suggested_.size() >= max_suggested_sources)
            return;
        if (it != address_ && parse_endpoint(it))
            suggested_[it] = reply.served_configuration;
    }
}

// Serving.

awaitable<void> update_exchange::serve(std::shared_ptr<tcp::socket> socket)
{
    const auto slot =
        connections_.take(socket, asio::steady_timer::clock_type::now());
    peer_stream stream(socket);
    std::string bytes;
    const bool read = co_await stream.read(bytes, max_request_bytes);
    if (!read)
        co_return;
    // Its answer's time is bounded, and peers wait for it.
    slot->keep();
    const auto ask = mesh::decode_sync_request(bytes);
    if (!ask) {
        note_unreadable("a question", ask.error());
        co_return;
    }
    if (ask->relay)
        co_await relays_.serve(stream, socket, *ask->relay);
    else if (ask->relay_end)
        co_await answer_relay_end(stream, *ask->relay_end);
    else
        co_await answer(stream, *ask);
}

awaitable<void>
update_exchange::answer_relay_end(peer_stream& stream,
                                  const mesh::relay_request& ask)
{
    mesh::sync_reply reply;
    reply.relay_end = relays_.end_of(ask);
    const std::string bytes = framed(mesh::encode(reply));
    (void)co_await stream.write(bytes);
}

awaitable<void> update_exchange::answer(peer_stream& stream,
                                        const mesh::sync_request& ask)
{
    mesh::sync_reply reply;
    if (ask.part != sync_part::configuration)
        reply = targets_for(ask);
    const bool newer = tables_.version() > ask.configuration;
    if (ask.part != sync_part::targets && newer) {
        const auto slot = slots_.begin(tables_.now());
        if (slot) {
            const auto bytes = encoded_reply_for(ask);
            const bool sent =
                co_await send_configuration(stream, bytes, ask, *slot);
            slots_.end(*slot);
            (sent ? sent_ : send_failed_).add();
            co_return;
        }
        sent_busy_.add();
        if (ask.part == sync_part::configuration)
            reply = busy_reply();
    }
    const std::string bytes = framed(mesh::encode(reply));
    const bool sent = co_await stream.write(bytes);
    if (!sent)
        send_failed_.add();
}

awaitable<bool> update_exchange::send_configuration(
    peer_stream& stream, std::shared_ptr<const std::string> bytes,
    const mesh::sync_request& ask, mesh::transfer_id slot)
{
    if (bytes == nullptr)
        co_return false;
    const auto version = tables_.version();
    const bool sent = co_await send_paced(stream, *bytes, slot);
    if (!sent)
        co_return false;
    // Written bytes may still be in the kernel's send buffer.
    const bool arrived = co_await stream.wait_for_close();
    if (arrived && parse_endpoint(ask.peer_address))
        slots_.note_served(version, ask.peer_address);
    co_return arrived;
}

awaitable<bool> update_exchange::send_paced(peer_stream& stream,
                                            std::string_view bytes,
                                            mesh::transfer_id slot)
{
    asio::steady_timer timer(tables_.io);
    bool sent = true;
    while (sent && !bytes.empty()) {
        const std::string_view chunk = bytes.substr(0, chunk_bytes);
        const duration wait =
            slots_.pacing_delay(slot, chunk.size(), tables_.now());
        if (wait > duration(0)) {
            co_await sleep_on(timer, wait);
            continue;
        }
        bytes.remove_prefix(chunk.size());
        sent = co_await stream.write(chunk);
    }
    co_return sent;
}

mesh::sync_reply
update_exchange::targets_for(const mesh::sync_request& ask) const
{
    mesh::sync_reply out;
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

mesh::sync_reply update_exchange::busy_reply() const
{
    mesh::sync_reply out;
    out.busy = true;
    out.served_configuration = tables_.version();
    out.served = slots_.served(tables_.version());
    return out;
}

/// The encoded reply that contains the configuration; null if it can't be
/// encoded.
std::shared_ptr<const std::string>
update_exchange::encoded_reply_for(const mesh::sync_request& ask)
{
    if (ask.part == sync_part::both) {
        mesh::sync_reply plain = targets_for(ask);
        plain.configuration = tables_.config_text;
        return std::make_shared<const std::string>(framed(mesh::encode(plain)));
    }
    return ensure_encoded() ? encoded_.bytes : nullptr;
}

/// Compresses the configuration in force unless that is done. Returns false if
/// it can't be.
bool update_exchange::ensure_encoded()
{
    if (encoded_.bytes != nullptr && encoded_.version == tables_.version())
        return true;
    auto packed = mesh::compress_text(tables_.config_text);
    if (!packed) {
        log_event(event::configuration_unreadable,
                  {{"source", "own"}, {"reason", packed.error().message}});
        return false;
    }
    cache_encoded(std::move(*packed));
    return true;
}

const mesh::packed_configuration* update_exchange::packed()
{
    if (!ensure_encoded() || encoded_.packed.bytes.empty())
        return nullptr;
    return &encoded_.packed;
}

void update_exchange::cache_encoded(std::string packed)
{
    encoded_ = {tables_.version(), nullptr, {}};
    if (packed.size() <= mesh::max_datagram_configuration)
        encoded_.packed = {tables_.version(), packed};
    mesh::sync_reply reply;
    reply.packed_configuration = std::move(packed);
    encoded_.bytes =
        std::make_shared<const std::string>(framed(mesh::encode(reply)));
}

} // namespace fennelladder::edge
