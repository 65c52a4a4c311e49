#include "fennelladder/edge/update_exchange.hpp"

#include "fennelladder/edge/simple_server.hpp"
#include "fennelladder/mesh/packed_text.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "platform/configuration_codec.hpp"

#include <algorithm>
#include <array>

namespace fennelladder::edge {

namespace {

using mesh::fetch_end;
using mesh::sync_part;
using telemetry::log_event;
namespace event = telemetry::event;

constexpr const char* fetches_metric = "fennelladder_mesh_fetches_total";
constexpr const char* fetched_bytes_metric =
    "fennelladder_mesh_fetched_bytes_total";
constexpr const char* transfers_metric = "fennelladder_mesh_transfers_total";

/// A node within the fleet is reached in milliseconds. One that isn't must not
/// hold up the next: what is to be fetched has to be in force within seconds.
constexpr duration connect_limit = milliseconds(300);

/// A configuration is a megabyte at most, a list of 600 targets far less; also
/// the limit of an unpacked one.
constexpr std::size_t largest_answer = 4'194'304;

/// A question holds two numbers and an address.
constexpr std::size_t largest_question = 1'024;

/// Sent at a time, so that transfers take turns and callers' bytes come in
/// between: 13 ms of a link of 10 Mbit/s.
constexpr std::size_t piece_bytes = 16'384;

/// Addresses remembered from busy nodes, of as many as may name some.
constexpr std::size_t most_remembered = 64;

/// A node that was named but has nothing newer after as many questions is
/// forgotten. It may have been reading what it got at the first ones.
constexpr int most_vain_questions = 3;

constexpr duration accept_pause = milliseconds(50);

std::string name_of(sync_part part)
{
    return part == sync_part::targets ? "targets" : "configuration";
}

mesh::news_source source_of(const mesh::beacon& from)
{
    return {from.peer_address, from.data_center, from.capacity};
}

} // namespace

update_exchange::fetching::fetching(telemetry::metrics& metrics,
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

telemetry::counter& update_exchange::fetching::count_of(fetch_end end) const
{
    switch (end) {
    case fetch_end::done:
        return done;
    case fetch_end::not_newer:
        return not_newer;
    case fetch_end::busy:
        return busy;
    case fetch_end::failed:
        break;
    }
    return failed;
}

update_exchange::update_exchange(node_tables& tables, std::string address)
    : tables_(tables), address_(std::move(address)), acceptor_(tables.io),
      slots_(tables.settings.link_bits_per_second),
      targets_(tables.metrics, sync_part::targets),
      configuration_(tables.metrics, sync_part::configuration),
      fetched_bytes_(tables.metrics.counter_of(fetched_bytes_metric)),
      sent_(tables.metrics.counter_of(transfers_metric, {{"result", "done"}})),
      send_failed_(
          tables.metrics.counter_of(transfers_metric, {{"result", "failed"}})),
      sent_busy_(
          tables.metrics.counter_of(transfers_metric, {{"result", "busy"}}))
{}

status update_exchange::start()
{
    if (auto ok = listen_on(acceptor_, address_); !ok)
        return ok;
    spawn(tables_.io, accept());
    return {};
}

void update_exchange::on_heartbeat(const mesh::beacon& from)
{
    if (is_ahead(from, sync_part::targets))
        begin(targets_);
    if (is_ahead(from, sync_part::configuration))
        begin(configuration_);
}

bool update_exchange::is_ahead(const mesh::beacon& from, sync_part part) const
{
    if (part == sync_part::targets)
        return from.targets_changed > tables_.targets.as_of();
    return from.configuration > tables_.version();
}

// Fetching.

void update_exchange::begin(fetching& what)
{
    if (what.under_way)
        return;
    what.under_way = true;
    spawn(tables_.io, fetch_all(what));
}

awaitable<void> update_exchange::fetch_all(fetching& what)
{
    asio::steady_timer timer(tables_.io);
    co_await sleep_on(timer, head_start(what));
    for (;;) {
        const auto sources = sources_of(what.part);
        if (sources.empty())
            break;
        const auto awake = what.rests.awake(sources, tables_.now());
        const std::string address = mesh::choose_source(
            awake, tables_.settings.data_center, tables_.random);
        fetch_end end = fetch_end::busy;
        if (!address.empty())
            end = co_await fetch_from(what, address);
        const duration wait =
            mesh::ask_pause(tables_.peers.size(), sources.size());
        if (end != fetch_end::done)
            co_await sleep_on(timer, jitter(tables_.random, wait));
    }
    what.under_way = false;
}

/// Before the first question. Targets are few bytes and urgent.
duration update_exchange::head_start(const fetching& what)
{
    if (what.part == sync_part::targets)
        return duration(0);
    const auto living = tables_.peers.alive(tables_.now());
    double largest = tables_.capacity();
    for (const mesh::node_row* it : living)
        largest = std::max(largest, it->last.capacity);
    const bool large = mesh::is_large(tables_.capacity(), largest);
    const auto others =
        std::ranges::count_if(living, [&](const mesh::node_row* it) {
            return mesh::is_large(it->last.capacity, largest);
        });
    const double nodes = static_cast<double>(living.size() + 1);
    const double large_part =
        (static_cast<double>(others) + (large ? 1 : 0)) / nodes;
    return mesh::head_start(large, large_part, living.size() + 1,
                            sources_of(what.part).size(), tables_.random);
}

/// The living nodes that have more of `part`, by their beacons and as other
/// nodes named them.
std::vector<mesh::news_source> update_exchange::sources_of(sync_part part)
{
    std::vector<mesh::news_source> out;
    for (const mesh::node_row* it : tables_.peers.alive(tables_.now()))
        if (is_ahead(it->last, part))
            out.push_back(source_of(it->last));
    if (part == sync_part::configuration)
        add_named(out);
    return out;
}

void update_exchange::add_named(std::vector<mesh::news_source>& to)
{
    std::erase_if(
        named_, [&](const auto& it) { return it.second <= tables_.version(); });
    if (named_.empty())
        return;
    std::map<std::string, mesh::news_source> heard;
    for (const auto& [host, row] : tables_.peers.rows())
        heard[row.last.peer_address] = source_of(row.last);
    for (const auto& it : named_) {
        const std::string& address = it.first;
        const bool listed = std::ranges::any_of(
            to, [&](const auto& source) { return source.address == address; });
        if (listed)
            continue;
        const auto known = heard.find(address);
        to.push_back(known == heard.end()
                         ? mesh::news_source{address, data_center_id(), 0}
                         : known->second);
    }
}

awaitable<fetch_end> update_exchange::fetch_from(fetching& what,
                                                 std::string address)
{
    const instant begun = tables_.now();
    peer_stream stream(tables_.io);
    std::string bytes;
    const bool read = co_await exchange(stream, what, address, bytes);
    // The sender's slot is free before this node reads what it got.
    stream.close();
    fetched_bytes_.add(stream.bytes_read());
    const duration took = tables_.now() - begun;
    const fetch_end end =
        read ? take_answer(what, bytes, address) : fetch_end::failed;
    note_end(what, address, end);
    if (end == fetch_end::busy || end == fetch_end::not_newer)
        co_return end;
    log_event(
        end == fetch_end::done ? event::news_fetched : event::news_fetch_failed,
        {{"what", what.name},
         {"from", address},
         {"bytes", std::to_string(stream.bytes_read())},
         {"ms", milliseconds_text(took)},
         {"targets_as_of", std::to_string(tables_.targets.as_of().value())},
         {"generation", std::to_string(tables_.version().value())}});
    co_return end;
}

awaitable<bool> update_exchange::exchange(peer_stream& stream,
                                          const fetching& what,
                                          const std::string& address,
                                          std::string& answer)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
        co_return false;
    const bool connected = co_await stream.connect(*endpoint, connect_limit);
    if (!connected)
        co_return false;
    const mesh::sync_ask ask{tables_.version(), tables_.targets.as_of(),
                             what.part, address_};
    const std::string question = framed(mesh::encode(ask));
    const bool sent = co_await stream.write(question);
    if (!sent)
        co_return false;
    const bool read = co_await stream.read(answer, largest_answer);
    co_return read;
}

void update_exchange::note_end(fetching& what, const std::string& address,
                               fetch_end end)
{
    what.count_of(end).add();
    const int in_vain =
        what.rests.note(address, end, tables_.now(), tables_.random);
    const bool of_no_use =
        end == fetch_end::failed ||
        (end == fetch_end::not_newer && in_vain >= most_vain_questions);
    if (of_no_use)
        named_.erase(address);
}

void update_exchange::note_unreadable(const std::string& source,
                                      const error& cause)
{
    tables_.unreadable.note(unreadable_kind::message, source,
                            catalog::revision(), cause);
}

fetch_end update_exchange::take_answer(const fetching& what,
                                       const std::string& bytes,
                                       const std::string& source)
{
    auto reply = mesh::decode_sync_reply(bytes);
    if (!reply) {
        note_unreadable(source, reply.error());
        return fetch_end::failed;
    }
    if (reply->left_out > 0)
        note_unreadable(source, {error_code::corrupt, "parts left out"});
    if (what.part == sync_part::targets)
        return take_targets(*reply);
    if (reply->busy) {
        take_named(*reply);
        return fetch_end::busy;
    }
    return apply_configuration(std::move(*reply), source);
}

fetch_end update_exchange::take_targets(const mesh::sync_reply& reply)
{
    const catalog::revision known_before = tables_.targets.as_of();
    const std::uint64_t before = tables_.targets.changes_taken();
    const bool first = !tables_.targets.known();
    if (reply.targets_full)
        tables_.targets.replace_all(reply.targets, reply.targets_as_of);
    else
        tables_.targets.apply(reply.targets, reply.targets_as_of);
    const bool changed = first ? tables_.targets.known()
                               : tables_.targets.changes_taken() != before;
    if (changed)
        tables_.update_target_registry();
    // Those that heard it from the platform tell everybody; if those that
    // heard it from them did so too, each change would cost a message for
    // every pair of nodes.
    return tables_.targets.as_of() > known_before ? fetch_end::done
                                                  : fetch_end::not_newer;
}

fetch_end update_exchange::apply_configuration(mesh::sync_reply reply,
                                               const std::string& source)
{
    std::string text = std::move(reply.configuration);
    if (!reply.packed_configuration.empty()) {
        auto unpacked =
            mesh::unpack(reply.packed_configuration, largest_answer);
        if (!unpacked) {
            note_unreadable(source, unpacked.error());
            return fetch_end::failed;
        }
        text = std::move(*unpacked);
    }
    if (text.empty())
        return fetch_end::not_newer;
    auto parts = adapter::decode_configuration_text(text);
    if (!parts) {
        note_unreadable(source, parts.error());
        return fetch_end::failed;
    }
    const bool taken =
        tables_.apply_configuration(std::move(*parts), std::move(text), source);
    if (!taken)
        return fetch_end::not_newer;
    if (!reply.packed_configuration.empty())
        keep_wire_form(std::move(reply.packed_configuration));
    return fetch_end::done;
}

void update_exchange::take_named(const mesh::sync_reply& reply)
{
    std::size_t left = mesh::most_named;
    for (const std::string& it : reply.served) {
        if (left-- == 0 || named_.size() >= most_remembered)
            return;
        if (it != address_ && parse_endpoint(it))
            named_[it] = reply.served_configuration;
    }
}

// Serving.

awaitable<void> update_exchange::accept()
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
        spawn(tables_.io, serve(socket));
    }
}

awaitable<void> update_exchange::serve(std::shared_ptr<tcp::socket> socket)
{
    peer_stream stream(std::move(socket));
    std::string bytes;
    const bool read = co_await stream.read(bytes, largest_question);
    if (!read)
        co_return;
    const auto ask = mesh::decode_sync_ask(bytes);
    if (!ask) {
        note_unreadable("a question", ask.error());
        co_return;
    }
    co_await answer(stream, *ask);
}

awaitable<void> update_exchange::answer(peer_stream& stream,
                                        const mesh::sync_ask& ask)
{
    mesh::sync_reply small;
    if (ask.part != sync_part::configuration)
        small = targets_for(ask);
    const bool newer = tables_.version() > ask.configuration;
    if (ask.part != sync_part::targets && newer) {
        const auto slot = slots_.begin(tables_.now());
        if (slot) {
            const auto bytes = wire_form_for(ask);
            const bool sent =
                co_await send_configuration(stream, bytes, ask, *slot);
            slots_.end(*slot);
            (sent ? sent_ : send_failed_).add();
            co_return;
        }
        sent_busy_.add();
        if (ask.part == sync_part::configuration)
            small = busy_reply();
    }
    const std::string bytes = framed(mesh::encode(small));
    const bool sent = co_await stream.write(bytes);
    if (!sent)
        send_failed_.add();
}

awaitable<bool> update_exchange::send_configuration(
    peer_stream& stream, std::shared_ptr<const std::string> bytes,
    const mesh::sync_ask& ask, mesh::transfer_id slot)
{
    if (bytes == nullptr)
        co_return false;
    const auto version = tables_.version();
    const bool sent = co_await send_paced(stream, *bytes, slot);
    if (!sent)
        co_return false;
    // What the system took may still wait before the link.
    const bool arrived = co_await stream.closed_by_peer();
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
        const std::string_view piece = bytes.substr(0, piece_bytes);
        const duration wait =
            slots_.wait_before(slot, piece.size(), tables_.now());
        if (wait > duration(0)) {
            co_await sleep_on(timer, wait);
            continue;
        }
        bytes.remove_prefix(piece.size());
        sent = co_await stream.write(piece);
    }
    co_return sent;
}

mesh::sync_reply update_exchange::targets_for(const mesh::sync_ask& ask) const
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

/// The bytes that bring the asker the configuration; null if they can't be
/// made.
std::shared_ptr<const std::string>
update_exchange::wire_form_for(const mesh::sync_ask& ask)
{
    if (ask.part == sync_part::both) {
        mesh::sync_reply plain = targets_for(ask);
        plain.configuration = tables_.config_text;
        return std::make_shared<const std::string>(framed(mesh::encode(plain)));
    }
    if (wire_form_.bytes != nullptr && wire_form_.version == tables_.version())
        return wire_form_.bytes;
    auto packed = mesh::pack(tables_.config_text);
    if (!packed) {
        log_event(event::configuration_unreadable,
                  {{"source", "own"}, {"reason", packed.error().message}});
        return nullptr;
    }
    keep_wire_form(std::move(*packed));
    return wire_form_.bytes;
}

void update_exchange::keep_wire_form(std::string packed)
{
    mesh::sync_reply reply;
    reply.packed_configuration = std::move(packed);
    wire_form_ = {tables_.version(), std::make_shared<const std::string>(
                                         framed(mesh::encode(reply)))};
}

} // namespace fennelladder::edge
