#include "fennelladder/edge/relay.hpp"

#include "fennelladder/edge/host_shares.hpp"
#include "fennelladder/edge/response_intake.hpp"
#include "fennelladder/mesh/source_choice.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "platform/request_headers.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>

namespace fennelladder::edge {

namespace {

using mesh::relay_result;
using telemetry::log_event;
namespace event = telemetry::event;

/// Peers asked for one request.
constexpr int max_peers_asked = 3;

/// The reply contains a result, and fields that are empty.
constexpr std::size_t max_reply_bytes = 1'024;

constexpr std::size_t copy_bytes = 16'384;

/// Ends of relays that are kept. The node that has the caller asks at once.
constexpr std::size_t max_ended_relays = 256;

/// A target that is told that nobody waits any more, and goes on, is
/// disconnected after this time.
constexpr duration half_close_timeout = milliseconds(150);

/// A node that has its whole answer closes the connection within this time.
constexpr duration delivery_timeout = seconds(1);

/// The peers that may relay to the target and accept requests. Those that are
/// cut off from some service themselves only if there are no others.
std::vector<const mesh::peer_record*>
relays_of(const node_tables& tables, const catalog::target_process& target)
{
    std::vector<const mesh::peer_record*> out;
    std::vector<const mesh::peer_record*> cut_off;
    const instant now = tables.now();
    for (const host_id& it : tables.registry.reach().relays(target, now)) {
        const auto found = tables.peers.rows().find(it);
        if (found == tables.peers.rows().end())
            continue;
        const mesh::peer_record& peer = found->second;
        if (!tables.peers.is_alive(peer, now) ||
            peer.last.state != mesh::node_state::ready)
            continue;
        (peer.last.cut_off ? cut_off : out).push_back(&peer);
    }
    return out.empty() ? cut_off : out;
}

/// A random one of these, in favour of near and large hosts; null if none.
const mesh::peer_record*
choose_relay(node_tables& tables,
             const std::vector<const mesh::peer_record*>& relays)
{
    std::vector<mesh::update_source> sources;
    sources.reserve(relays.size());
    for (const mesh::peer_record* it : relays)
        sources.push_back(
            {it->last.peer_address, it->last.data_center, it->last.capacity});
    const std::string address = mesh::choose_source(
        sources, tables.settings.data_center, tables.random);
    for (const mesh::peer_record* it : relays)
        if (it->last.peer_address == address)
            return it;
    return nullptr;
}

bool is_same(const mesh::relay_request& a, const mesh::relay_request& b)
{
    return a.request == b.request && a.target == b.target && a.host == b.host;
}

/// Asks one peer. The connection is closed unless it is `connected`.
awaitable<relay_result> ask_peer(node_tables& tables, connection_ptr made,
                                 std::string address, mesh::relay_request ask)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
        co_return relay_result::busy;
    // The peer's own connect has the same limit as one from here.
    socket_deadline until(socket_of(made));
    until.close_after(2 * tables.connect_timeout());
    peer_stream stream(socket_of(made));
    stream.count_on(tables.link);
    const bool connected =
        co_await stream.connect(*endpoint, tables.connect_timeout());
    if (!connected)
        co_return relay_result::busy;
    mesh::sync_request question;
    question.relay = std::move(ask);
    const std::string message = mesh::encode(question);
    std::string bytes;
    const bool answered = co_await stream.ask(message, bytes, max_reply_bytes);
    if (!answered)
        co_return relay_result::busy;
    const auto reply = mesh::decode_sync_reply(bytes);
    const relay_result out =
        reply && reply->relay ? *reply->relay : relay_result::busy;
    if (out == relay_result::connected) {
        stream.release();
        enable_probes(made->socket, tables.pool.options().keepalive_timeout);
        set_reset_on_close(made->socket, true);
    }
    co_return out;
}

} // namespace

awaitable<relay_outcome> connect_relayed(node_tables& tables,
                                         connection_ptr made,
                                         std::string request,
                                         std::function<bool()> is_stopped)
{
    relay_outcome out;
    dispatch::reach_table& reach = tables.registry.reach();
    const catalog::target_process target = made->to.process;
    for (int i = 0; i < max_peers_asked && !tables.failures_show_nothing();
         ++i) {
        const mesh::peer_record* peer =
            choose_relay(tables, relays_of(tables, target));
        if (peer == nullptr)
            break;
        // Copied: the record may be gone after the wait.
        const std::string address = peer->last.peer_address;
        const mesh::relay_request ask{peer->last.incarnation, target, request,
                                      tables.settings.host};
        out.peer = peer->last.host;
        out.result = co_await ask_peer(tables, made, address, ask);
        tables.metrics
            .counter_of("fennelladder_relays_asked_total",
                        {{"result", std::string(to_string(out.result))}})
            .add();
        // A peer that isn't reached over a full link may still relay later.
        if (out.result != relay_result::busy || is_stopped() ||
            tables.failures_show_nothing())
            break;
        reach.note_relay_failed(out.peer, tables.now());
    }
    const bool useless = out.result == relay_result::unreachable ||
                         out.result == relay_result::refused;
    if (useless)
        reach.note_unreachable_by_peer(target, tables.now());
    co_return out;
}

awaitable<std::optional<mesh::relay_end>>
ask_relay_end(node_tables& tables, host_id peer, catalog::target_process target,
              std::string request, duration limit)
{
    const auto found = tables.peers.rows().find(peer);
    if (found == tables.peers.rows().end())
        co_return std::nullopt;
    const auto endpoint = parse_endpoint(found->second.last.peer_address);
    if (!endpoint)
        co_return std::nullopt;
    mesh::sync_request question;
    question.relay_end =
        mesh::relay_request{found->second.last.incarnation, std::move(target),
                            std::move(request), tables.settings.host};
    auto socket = std::make_shared<tcp::socket>(tables.io);
    socket_deadline until(socket);
    until.close_after(limit);
    peer_stream stream(socket);
    stream.count_on(tables.link);
    const bool connected = co_await stream.connect(*endpoint, limit);
    if (!connected)
        co_return std::nullopt;
    const std::string message = mesh::encode(question);
    std::string bytes;
    const bool answered = co_await stream.ask(message, bytes, max_reply_bytes);
    if (!answered)
        co_return std::nullopt;
    const auto reply = mesh::decode_sync_reply(bytes);
    co_return reply ? reply->relay_end : std::nullopt;
}

/// A connection of a peer, and the one to the target that it is relayed to.
struct relay_server::relayed_connection
{
    std::shared_ptr<tcp::socket> peer;
    connection_ptr target;
    mesh::relay_request ask;
    /// Reads the answer's head; empty once it was read.
    std::unique_ptr<response_intake<http::empty_body>> answer =
        std::make_unique<response_intake<http::empty_body>>(true);
    beast::flat_buffer buf; ///< Of the head, until it was read.
    std::size_t request_bytes = 0;
    std::size_t answer_bytes = 0;
    net_error peer_write_error;   ///< Of the write that failed.
    net_error target_write_error; ///< The same.

    void close() const
    {
        net_error ec;
        peer->close(ec);
        if (target)
            target->close();
    }
};

relay_server::relay_server(node_tables& tables) : tables_(tables)
{}

relay_result relay_server::check(const mesh::relay_request& ask) const
{
    const bool lost =
        tables_.registry.reach().lost_since(ask.target).has_value();
    if (tables_.state() != mesh::node_state::ready ||
        active_ >= relays_for(tables_.settings) || lost ||
        tables_.failures_show_nothing())
        return relay_result::busy;
    if (!tables_.registry.may_relay_to(ask.target, tables_.now()))
        return relay_result::refused;
    return relay_result::connected;
}

awaitable<relay_result> relay_server::connect(connection_ptr made)
{
    const instant started = tables_.now();
    const status opened =
        co_await tables_.pool.open(made, tables_.connect_timeout());
    const instant now = tables_.now();
    dispatch::reach_table& reach = tables_.registry.reach();
    if (opened) {
        reach.note_connected(made->to.process, now);
        co_return relay_result::connected;
    }
    tables_.note_dial_failed(made->to.process, started);
    const dispatch::target_evidence evidence =
        tables_.evidence_of_dial(opened.error());
    tables_.registry.note_evidence(made->to.process, evidence, now);
    co_return evidence == dispatch::target_evidence::unreachable
        ? relay_result::unreachable
        : relay_result::busy;
}

/// Connects to the target if `reply` says so, tells the peer, and copies.
awaitable<void> relay_server::relay(peer_stream& stream, relayed_ptr it,
                                    mesh::sync_reply& reply)
{
    if (reply.relay == relay_result::connected) {
        const auto entry = tables_.registry.entry_of(it->ask.target.id);
        it->target = tables_.pool.make({it->ask.target, entry->address});
        reply.relay = co_await connect(it->target);
        // The target may have left while it was connected to.
        if (reply.relay == relay_result::connected &&
            !tables_.registry.may_relay_to(it->ask.target, tables_.now()))
            reply.relay = relay_result::refused;
    }
    const std::string bytes = framed(mesh::encode(reply));
    const bool sent = co_await stream.write(bytes);
    if (!sent || reply.relay != relay_result::connected)
        co_return;
    enable_keepalive(*it->peer, tables_.pool.options().keepalive_timeout);
    spawn(tables_.io, copy_request(it), "relayed request");
    spawn(tables_.io, watch_peer(it), "relayed request");
    co_await copy_answer(it);
    it->close();
}

awaitable<void> relay_server::serve(peer_stream& stream,
                                    std::shared_ptr<tcp::socket> socket,
                                    mesh::relay_request ask)
{
    if (ask.incarnation != tables_.incarnation)
        co_return;
    const instant started = tables_.now();
    mesh::sync_reply reply;
    reply.relay = check(ask);
    ++active_;
    const auto it = std::make_shared<relayed_connection>();
    it->peer = std::move(socket);
    it->ask = std::move(ask);
    const std::function<void()> undo = [this, it] {
        --active_;
        it->close();
    };
    awaitable<void> work = relay(stream, it, reply);
    co_await undo_on_failure(std::move(work), undo);
    --active_;
    log_event(event::request_relayed,
              {{"id", it->ask.request},
               {"target", it->ask.target.id.str()},
               {"for", it->ask.host.str()},
               {"result", std::string(to_string(*reply.relay))},
               {"request_bytes", std::to_string(it->request_bytes)},
               {"answer_bytes", std::to_string(it->answer_bytes)},
               {"ms", milliseconds_text(tables_.now() - started)}});
}

std::optional<mesh::relay_end>
relay_server::end_of(const mesh::relay_request& ask) const
{
    if (ask.incarnation != tables_.incarnation)
        return std::nullopt;
    const auto last = std::find_if(
        ended_.rbegin(), ended_.rend(),
        [&](const ended_relay& it) { return is_same(it.ask, ask); });
    return last == ended_.rend() ? std::nullopt : std::optional(last->end);
}

void relay_server::note_end(const mesh::relay_request& ask, mesh::relay_end end)
{
    ended_.push_back({ask, end});
    if (ended_.size() > max_ended_relays)
        ended_.pop_front();
}

/// Ends the relay when the peer resets its connection, which a write that waits
/// for the target would not show.
awaitable<void> relay_server::watch_peer(relayed_ptr it)
{
    net_error ec;
    co_await it->peer->async_wait(tcp::socket::wait_error, into(ec));
    if (!ec)
        it->close();
}

/// Copies until the peer has sent all, or leaves. What a target doesn't take
/// any more is read all the same: the peer may still read its answer.
awaitable<void> relay_server::copy_request(relayed_ptr it)
{
    std::vector<char> buf(copy_bytes);
    net_error ec;
    for (;;) {
        const std::size_t n =
            co_await it->peer->async_read_some(asio::buffer(buf), into(ec));
        if (ec == asio::error::eof)
            co_await run_ready_handlers(tables_.io.get_executor());
        ec = end_of_input(ec, it->peer_write_error);
        if (ec)
            break;
        it->request_bytes += n;
        tables_.link.add_received(n);
        if (it->target_write_error)
            continue;
        tables_.link.add_sent(n);
        it->target->awaiting_response = it->answer_bytes == 0;
        watch_sending(it->target, n, tables_.pool.options().sending_timeout);
        co_await asio::async_write(it->target->socket,
                                   asio::buffer(buf.data(), n),
                                   into(it->target_write_error));
    }
    if (ec != asio::error::eof) {
        it->close();
        co_return;
    }
    // The peer's caller has left, or the peer has what it wanted.
    it->target->socket.shutdown(tcp::socket::shutdown_send, ec);
    asio::steady_timer timer(tables_.io);
    co_await sleep_on(timer, half_close_timeout);
    it->close();
}

/// Copies until the target has sent all, or its connection breaks.
awaitable<void> relay_server::copy_answer(relayed_ptr it)
{
    std::vector<char> buf(copy_bytes);
    net_error ec;
    for (;;) {
        const std::size_t n = co_await it->target->socket.async_read_some(
            asio::buffer(buf), into(ec));
        if (ec == asio::error::eof)
            co_await run_ready_handlers(tables_.io.get_executor());
        ec = end_of_input(ec, it->target_write_error);
        if (ec)
            break;
        it->answer_bytes += n;
        it->target->awaiting_response = false;
        it->target->received += n;
        tables_.link.add_received(n);
        tables_.link.add_sent(n);
        tables_.registry.reach().note_contact(it->ask.target, tables_.now());
        read_signals(*it, buf.data(), n);
        co_await asio::async_write(*it->peer, asio::buffer(buf.data(), n),
                                   into(it->peer_write_error));
        ec = it->peer_write_error;
        if (ec)
            break;
    }
    // Before the peer's side ends: the node there may ask at once.
    note_end(it->ask, ec == asio::error::eof ? mesh::relay_end::orderly
                                             : mesh::relay_end::broken);
    if (ec != asio::error::eof)
        co_return;
    it->peer->shutdown(tcp::socket::shutdown_send, ec);
    // Closing at once could reset the connection and lose the answer's end.
    socket_deadline until(it->peer);
    until.close_after(delivery_timeout);
    co_await it->peer->async_wait(tcp::socket::wait_error, into(ec));
}

/// Records what the target signals, since it takes this node for the sender.
void relay_server::read_signals(relayed_connection& it, const char* bytes,
                                std::size_t size)
{
    if (!it.answer)
        return;
    const auto room = it.buf.prepare(size);
    std::copy_n(bytes, size, static_cast<char*>(room.data()));
    it.buf.commit(size);
    net_error ec;
    it.answer->parse_head(it.buf, ec);
    if (!ec && !it.answer->has_head())
        return;
    const auto read = std::exchange(it.answer, nullptr);
    it.buf = {};
    // The node that has the caller refuses the answer.
    if (ec)
        return;
    const auto& head = read->get().base();
    auto signals = adapter::parse_target_signals(head.result_int(), head);
    if (!signals)
        return;
    const auto values = adapter::parse_response_headers(head);
    signals->is_latest =
        values.signed_by_target && values.request == it.ask.request;
    const dispatch::signal_changes changes =
        tables_.registry.note_signals(it.ask.target, *signals, tables_.now());
    log_signals(it.ask.target.id, *signals, changes, "relayed answer");
}

} // namespace fennelladder::edge
