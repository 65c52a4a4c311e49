// The request is written while its response is read, since a target may respond
// before it has read a long body. In that case the remaining body is still to
// be sent on the connection, which is therefore closed instead of being reused.

#include "fennelladder/edge/attempt.hpp"

#include "fennelladder/edge/relay.hpp"
#include "fennelladder/edge/response_intake.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <array>
#include <boost/asio/write.hpp>

namespace fennelladder::edge {

namespace {

using dispatch::attempt_end;
using dispatch::target_evidence;

/// Responses up to this size are buffered until complete.
constexpr std::size_t max_buffered_bytes = 524'288;

/// Responses to other requests that are discarded before the right one.
constexpr int max_skipped_responses = 4;

/// Bytes of a chunk's size with its extensions, or of all trailers.
constexpr std::size_t max_unparsed_bytes = 16'384;

/// Bytes of a body that is read only to use its connection again.
constexpr std::size_t max_discarded_bytes = 65'536;

/// A target has read a request body of up to this size together with its head.
constexpr std::size_t max_body_read_with_head = 4096;

constexpr std::size_t read_bytes = 4096;

/// Memory of a head, and of events that aren't whole, that isn't claimed: more
/// than any usual one needs. Claiming what is held briefly would cost each
/// request time.
constexpr std::size_t unclaimed_bytes = 8192;

/// The request being written. Outlives the attempt, since the write may.
struct outgoing_request
{
    std::string head;
    std::shared_ptr<const std::string> body; ///< Null if there is none.
    connection_ptr connection;

    std::string_view body_text() const
    {
        return body ? std::string_view(*body) : std::string_view();
    }
    bool done = false;
    net_error error; ///< Of the write that failed.
};

using target_response = response_intake<http::buffer_body>;

body_framing framing_of(const target_response& response)
{
    const target_response::parser& parser = response.parsed();
    if (parser.chunked())
        return body_framing::chunks;
    if (parser.need_eof())
        return body_framing::connection_end;
    return parser.content_length() ? body_framing::length
                                   : body_framing::unknown;
}

class attempt
{
public:
    explicit attempt(attempt_input& in)
        : in_(in),
          through_peer_(in.target.relayed && !in.tables.failures_show_nothing())
    {}

    awaitable<attempt_outcome> run();

private:
    awaitable<bool> connect();
    awaitable<bool> connect_through_peer();
    bool take_idle(const target_endpoint& to);
    void record_signals(const target_response& response,
                        const adapter::response_header_values& header_values);
    bool may_still_send();
    bool caller_has_left() const;
    bool may_use_response() const;
    bool is_head_request() const;
    void send();
    awaitable<void> read_responses();
    awaitable<void> read_some();
    bool may_hold(std::size_t bytes);
    void end_too_large(const char* where);
    awaitable<bool> read_head(std::optional<target_response>& response);
    net_error parse_body(target_response& response, std::string& out);
    awaitable<bool> read_body_part(target_response& response, std::string& out);
    awaitable<bool> discard(target_response& response);
    awaitable<void>
    handle_response(target_response& response,
                    const adapter::response_header_values& header_values);
    awaitable<void> relay_stream(target_response& response);
    awaitable<void> relay_buffered(target_response& response);
    awaitable<void> relay_unbuffered(target_response& response,
                                     std::string begun);
    awaitable<void> buffer_failure(target_response& response);
    awaitable<bool> finish_response(const target_response& response);
    awaitable<bool> relay_events(const target_response& response);
    response_head to_response_head(const target_response& response) const;
    void end(attempt_end how, target_evidence evidence, std::string detail);
    void end_with_error(const char* where);
    void end_incomplete(const char* detail);
    void end_malformed(const char* where);
    void restart_idle_timer(std::optional<duration> limit);
    void release_connection(const target_response& response);
    void record_first_byte();

    attempt_input& in_;
    /// The target is dialled from here if a relay would cross the node's full
    /// link twice: it may have been lost only to that.
    const bool through_peer_;
    attempt_outcome out_;
    connection_ptr connection_;
    std::shared_ptr<outgoing_request> outgoing_;
    net_error ec_;
    net_error parse_error_; ///< After bytes that are still to be handled.
    std::size_t held_by_head_ = 0;
};

void attempt::end(attempt_end how, target_evidence evidence, std::string detail)
{
    // After the target was told to stop, no failure counts as evidence against
    // it. On a full link, silence doesn't either.
    const bool told_to_stop = caller_has_left();
    if (evidence == target_evidence::silent &&
        in_.tables.failures_show_nothing())
        evidence = target_evidence::nothing;
    const bool answered = evidence == target_evidence::answered;
    out_.ended = told_to_stop && how == attempt_end::garbled
                     ? attempt_end::caller_left
                     : how;
    out_.evidence =
        told_to_stop && !answered ? target_evidence::nothing : evidence;
    out_.detail = std::move(detail);
}

/// Ends the attempt after its connection failed or was closed by a
/// cancellation.
void attempt::end_with_error(const char* where)
{
    switch (in_.cancellation.stopped()) {
    case stop_reason::caller_left:
        return end(attempt_end::caller_left, target_evidence::nothing, where);
    case stop_reason::deadline_exceeded:
        return end(attempt_end::out_of_time,
                   out_.first_byte ? target_evidence::nothing
                                   : target_evidence::silent,
                   where);
    case stop_reason::idle_timeout:
        return end(attempt_end::silent, target_evidence::silent, where);
    case stop_reason::node_stops:
        return end(attempt_end::node_stops, target_evidence::nothing, where);
    case stop_reason::none:
        break;
    }
    if (is_malformed(ec_))
        return end_malformed(where);
    // A reused connection that ended before any response most likely ended
    // before the request arrived, which says nothing about the target.
    out_.stale_connection = out_.reused_connection && !out_.first_byte;
    end(attempt_end::broken,
        out_.stale_connection ? target_evidence::nothing
                              : target_evidence::broke,
        std::string(where) + ": " + ec_.message());
}

/// Ends the attempt after bytes that aren't proper HTTP. The target that sent
/// them runs, so its connection's end doesn't show whether it has died.
void attempt::end_malformed(const char* where)
{
    const std::string fault = ec_.message();
    telemetry::log_event(telemetry::event::answer_malformed,
                         {{"id", in_.request.header_values.id},
                          {"target", in_.target.target.str()},
                          {"address", in_.target.address},
                          {"relay", out_.relay.str()},
                          {"where", where},
                          {"fault", fault},
                          {"begun", in_.reply.begun() ? "yes" : "no"}});
    in_.tables.metrics
        .counter_of("fennelladder_malformed_answers_total", {{"fault", fault}})
        .add();
    end(attempt_end::garbled, target_evidence::broke,
        std::string(where) + ": " + fault);
}

/// Ends the attempt after a response whose end is there, but not all that
/// belongs before it.
void attempt::end_incomplete(const char* detail)
{
    if (in_.cancellation.stopped() != stop_reason::none)
        return end_with_error(detail);
    end(attempt_end::broken, target_evidence::broke, detail);
}

/// Whether the caller's end of stream was seen after the request was sent, and
/// the target was told to stop. Failure it guards against: a caller that only
/// shut down its sending side, which looks the same, waits for a response that
/// is discarded on arrival. A response that completes before the cancellation
/// disconnects the target is therefore relayed; a caller that has left does not
/// read it.
bool attempt::caller_has_left() const
{
    return in_.cancellation.stopped() == stop_reason::caller_left;
}

/// Whether response data that was read may still be used.
bool attempt::may_use_response() const
{
    return in_.cancellation.stopped() == stop_reason::none || caller_has_left();
}

bool attempt::is_head_request() const
{
    return in_.request.method == "HEAD";
}

/// Sets the idle deadline to `limit` from now; unset: removes it.
void attempt::restart_idle_timer(std::optional<duration> limit)
{
    if (limit)
        in_.cancellation.set_idle_deadline(in_.tables.now() + *limit);
    else
        in_.cancellation.set_idle_deadline(std::nullopt);
}

awaitable<bool> attempt::connect()
{
    if (in_.cancellation.stopped() != stop_reason::none) {
        end_with_error("before connecting");
        co_return false;
    }
    const target_endpoint to{in_.target.process(), in_.target.address};
    if (take_idle(to))
        co_return true;
    if (through_peer_) {
        const bool relayed = co_await connect_through_peer();
        co_return relayed;
    }
    connection_ = in_.tables.pool.make(to);
    in_.cancellation.attach(connection_);
    const instant started = in_.tables.now();
    const status made = co_await in_.tables.pool.open(
        connection_, in_.tables.connect_timeout());
    dispatch::reach_table& reach = in_.tables.registry.reach();
    if (made)
        reach.note_connected(to.process, in_.tables.now());
    if (made && in_.cancellation.stopped() == stop_reason::none)
        co_return true;
    if (in_.cancellation.stopped() == stop_reason::none) {
        in_.tables.note_dial_failed(to.process, started);
        end(attempt_end::not_connected,
            in_.tables.evidence_of_dial(made.error()), made.error().message);
    } else {
        end_with_error("connect");
    }
    co_return false;
}

/// Takes an idle connection to the target. Returns false if there is none, or
/// if the target was lost since it was last used.
bool attempt::take_idle(const target_endpoint& to)
{
    if (through_peer_ || !in_.tables.registry.reach().may_use_open(to.process))
        return false;
    connection_ =
        in_.tables.pool.take_idle(to, in_.max_idle_time, in_.tables.now());
    if (!connection_)
        return false;
    out_.reused_connection = true;
    in_.cancellation.attach(connection_);
    return true;
}

awaitable<bool> attempt::connect_through_peer()
{
    connection_ = in_.tables.pool.make_relayed(
        {in_.target.process(), in_.target.address});
    in_.cancellation.attach(connection_);
    const std::function<bool()> is_stopped = [this] {
        return in_.cancellation.stopped() != stop_reason::none;
    };
    const relay_outcome got = co_await connect_relayed(
        in_.tables, connection_, in_.request.header_values.id, is_stopped);
    out_.relay = got.peer;
    if (in_.cancellation.stopped() != stop_reason::none) {
        end_with_error("connect through peer");
        co_return false;
    }
    if (got.result == mesh::relay_result::connected)
        co_return true;
    const bool unreachable = got.result == mesh::relay_result::unreachable;
    end(attempt_end::not_connected,
        unreachable ? target_evidence::unreachable : target_evidence::nothing,
        "relay " + std::string(to_string(got.result)));
    co_return false;
}

/// Checks, just before sending, whether the request should still be sent; if
/// not, ends the attempt. On a busy node the caller may have disconnected
/// unnoticed, and the request would only load the target. During the connect,
/// or while the node was busy, the target may have signalled that it leaves or
/// backs off, or this node's updates may have become too old to know.
bool attempt::may_still_send()
{
    in_.cancellation.check_caller();
    if (in_.cancellation.stopped() != stop_reason::none) {
        end_with_error("before sending");
        return false;
    }
    const instant now = in_.tables.now();
    const bool late = in_.tables.updates_are_late();
    const bool suspected = !in_.leased && in_.tables.quarantine.worst_of(
                                              in_.marks, in_.place, now);
    if (!late && !suspected &&
        in_.tables.registry.may_use(in_.target.process(), now))
        return true;
    // Nothing was sent: the request goes to another target, as after a failed
    // connect, without evidence against this one.
    end(attempt_end::not_connected, target_evidence::nothing,
        late        ? "news are late"
        : suspected ? "it came under suspicion"
                    : "it takes no more");
    return false;
}

void attempt::send()
{
    const caller_request& request = in_.request;
    outgoing_ = std::make_shared<outgoing_request>();
    std::optional<std::size_t> body_size;
    if (request.has_body)
        body_size = request.body_text().size();
    outgoing_->head = adapter::encode_request_head(
        request.method, request.path, request.fields, in_.forwarding, body_size,
        request.long_fields);
    outgoing_->body = request.body;
    outgoing_->connection = connection_;
    connection_->awaiting_response = true;
    out_.sent_at = in_.tables.now();
    const std::string_view body = outgoing_->body_text();
    in_.tables.link.add_sent(outgoing_->head.size() + body.size());
    const std::array<asio::const_buffer, 2> bytes{
        asio::buffer(outgoing_->head), asio::buffer(body.data(), body.size())};
    asio::async_write(connection_->socket, bytes,
                      [sent = outgoing_](net_error ec, std::size_t) {
                          sent->done = !ec;
                          sent->error = ec;
                      });
    watch_sending(connection_, outgoing_->head.size() + body.size(),
                  in_.tables.pool.options().sending_timeout);
}

/// Reads once, in any part of a response.
awaitable<void> attempt::read_some()
{
    const std::size_t n = co_await connection_->socket.async_read_some(
        connection_->buf.prepare(read_bytes), into(ec_));
    connection_->buf.commit(n);
    connection_->received += n;
    in_.tables.link.add_received(n);
    if (ec_ == asio::error::eof && !outgoing_->done)
        co_await run_ready_handlers(connection_->socket.get_executor());
    ec_ = end_of_input(ec_, outgoing_->error);
    if (ec_ && connection_->timed_out)
        ec_ = asio::error::timed_out;
}

/// Whether so many bytes may be held besides the head. Precondition: they are
/// held already, or about to be.
bool attempt::may_hold(std::size_t bytes)
{
    const std::size_t head =
        held_by_head_ > unclaimed_bytes ? held_by_head_ : 0;
    return in_.reply.may_hold(bytes + head);
}

/// Ends the attempt after a response for which this host has no memory.
void attempt::end_too_large(const char* where)
{
    end(attempt_end::garbled, target_evidence::broke,
        std::string(where) + " is too large for the memory that is left");
}

awaitable<bool> attempt::read_head(std::optional<target_response>& response)
{
    response.emplace(is_head_request());
    ec_ = {};
    response->parse_head(connection_->buf, ec_);
    held_by_head_ = response->held_by_head();
    while (!ec_ && !response->has_head()) {
        co_await read_some();
        if (ec_ == asio::error::eof)
            ec_ = response->end_of_input();
        else if (!ec_)
            response->parse_head(connection_->buf, ec_);
        held_by_head_ = response->held_by_head();
        if (!ec_ && held_by_head_ > unclaimed_bytes && !may_hold(0)) {
            end_too_large("answer's head");
            co_return false;
        }
    }
    connection_->awaiting_response = !response->has_head();
    if (!ec_ && may_use_response())
        co_return true;
    out_.produced_nothing =
        ec_ == http::error::end_of_stream && outgoing_->done &&
        in_.cancellation.stopped() == stop_reason::caller_left;
    end_with_error("answer's head");
    co_return false;
}

/// Parses what was read of the body and appends it to `out`. Parsing stops at
/// what can't be part of a body; what was before is handled first.
net_error attempt::parse_body(target_response& response, std::string& out)
{
    beast::flat_buffer& buf = connection_->buf;
    const std::size_t before = out.size();
    out.resize(before + buf.size());
    auto& body = response.get().body();
    body.data = out.data() + before;
    body.size = buf.size();
    net_error ec;
    while (!ec && !response.is_whole() && buf.size() > 0)
        response.put(buf, ec);
    out.resize(out.size() - body.size);
    if (ec == http::error::need_more)
        return {};
    if (out.size() == before)
        return ec;
    parse_error_ = ec;
    return {};
}

/// Appends the next part of the body to `out`. On failure, ends the attempt and
/// returns false.
awaitable<bool> attempt::read_body_part(target_response& response,
                                        std::string& out)
{
    beast::flat_buffer& buf = connection_->buf;
    const std::size_t before = out.size();
    ec_ = parse_error_;
    if (!ec_)
        ec_ = parse_body(response, out);
    while (!ec_ && !response.is_whole() && out.size() == before) {
        co_await read_some();
        if (!ec_)
            ec_ = parse_body(response, out);
        else if (ec_ == asio::error::eof)
            ec_ = response.end_of_input();
        if (!ec_ && buf.size() > max_unparsed_bytes)
            ec_ = http::error::buffer_overflow;
    }
    if (!ec_ && may_use_response())
        co_return true;
    end_with_error("answer's body");
    co_return false;
}

awaitable<bool> attempt::discard(target_response& response)
{
    if (response.parsed().need_eof()) {
        end(attempt_end::garbled, target_evidence::broke,
            "response to another request, without a length");
        co_return false;
    }
    std::string discarded;
    std::size_t total = 0;
    while (!response.is_whole() && total <= max_discarded_bytes) {
        const bool more = co_await read_body_part(response, discarded);
        if (!more)
            co_return false;
        total += discarded.size();
        discarded.clear();
    }
    if (!response.is_whole())
        end(attempt_end::garbled, target_evidence::broke,
            "a body that is too long to be discarded");
    co_return response.is_whole();
}

response_head attempt::to_response_head(const target_response& response) const
{
    response_head out;
    out.status = response.get().result_int();
    const auto reason = response.get().reason();
    out.reason = std::string(reason.data(), reason.size());
    out.headers = adapter::encode_response_headers(response.get().base());
    const auto length = response.get()[http::field::content_length];
    out.content_length = std::string(length.data(), length.size());
    return out;
}

void attempt::release_connection(const target_response& response)
{
    const auto header_values =
        adapter::parse_response_headers(response.get().base());
    // A target may reject a request before it has read a long body, and then
    // close the connection because of the unread bytes.
    const bool unread = header_values.not_run &&
                        outgoing_->body_text().size() > max_body_read_with_head;
    // When the caller leaves, the sending side of this connection is shut
    // down, so no other request can be sent on it.
    const bool clean = !caller_has_left() && !unread && response.is_whole() &&
                       !response.parsed().need_eof() &&
                       response.parsed().keep_alive() &&
                       !header_values.closes_connection && outgoing_->done &&
                       connection_->buf.size() == 0;
    in_.cancellation.detach();
    // The relaying peer checks for each request whether the target takes it.
    if (!clean || through_peer_)
        return;
    in_.tables.pool.release(connection_, header_values.keep_alive,
                            in_.tables.now());
    connection_.reset();
}

void attempt::record_first_byte()
{
    if (out_.first_byte)
        return;
    out_.first_byte = true;
    const instant now = in_.tables.now();
    in_.tables.registry.first_byte(in_.use, now - *out_.sent_at, now);
}

/// Relays the whole events that are buffered, after the response's head.
/// Returns false if the caller has disconnected. The idle timeout is suspended,
/// since a caller that reads slowly does not make the target idle; the
/// request's deadline limits that time.
awaitable<bool> attempt::relay_events(const target_response& response)
{
    restart_idle_timer(std::nullopt);
    bool sent = true;
    if (!in_.reply.begun()) {
        const response_head head = to_response_head(response);
        sent = co_await in_.reply.begin(head);
    }
    const std::string whole = in_.events.take();
    if (sent)
        sent = co_await in_.reply.send_chunk(whole);
    if (!sent)
        end(attempt_end::caller_left, target_evidence::nothing, "caller");
    co_return sent;
}

/// Releases the connection of a response that was read to its end. Returns
/// false, and ends the attempt, if that may not be the response's end: one that
/// states none is over when the target closes its connection, and the end of a
/// relayed one may be the relaying peer's.
awaitable<bool> attempt::finish_response(const target_response& response)
{
    if (!through_peer_ || out_.framing != body_framing::connection_end) {
        release_connection(response);
        co_return true;
    }
    restart_idle_timer(std::nullopt);
    const auto got = co_await ask_relay_end(
        in_.tables, out_.relay, in_.target.process(),
        in_.request.header_values.id, in_.tables.connect_timeout());
    if (got == mesh::relay_end::orderly && may_use_response()) {
        release_connection(response);
        co_return true;
    }
    end_incomplete(got ? "the relay says that the target broke off"
                       : "the relay doesn't say how its connection ended");
    if (!got)
        out_.evidence = target_evidence::nothing;
    co_return false;
}

awaitable<void> attempt::relay_stream(target_response& response)
{
    in_.events.discard_incomplete();
    std::string part;
    while (!response.is_whole()) {
        part.clear();
        const bool more = co_await read_body_part(response, part);
        if (!more)
            co_return;
        in_.tables.registry.note_activity(in_.use, in_.tables.now());
        if (!in_.events.feed(part)) {
            end(attempt_end::garbled, target_evidence::broke, "events");
            co_return;
        }
        const std::size_t held = in_.events.held();
        if (!may_hold(held > unclaimed_bytes ? held : 0)) {
            end_too_large("an event");
            co_return;
        }
        if (!in_.events.has_output())
            continue;
        record_first_byte();
        restart_idle_timer(in_.progress_timeout);
        // The caller has left, and the connection to the target is closed soon.
        // Until then, reading continues without relaying: only a response that
        // completes in time is still relayed.
        if (caller_has_left())
            continue;
        const bool passed_on = co_await relay_events(response);
        if (!passed_on)
            co_return;
        restart_idle_timer(in_.progress_timeout);
    }
    if (!in_.events.is_between_events()) {
        end_incomplete("the stream ended inside an event");
        co_return;
    }
    // Only a resumed stream may have nothing left to send.
    if (out_.framing == body_framing::connection_end &&
        in_.events.events() == 0 && in_.forwarding.resume_after.empty()) {
        end_incomplete("the stream ended without an event");
        co_return;
    }
    const bool ended = co_await finish_response(response);
    if (!ended)
        co_return;
    const bool passed_on = co_await relay_events(response);
    if (!passed_on)
        co_return;
    // Comments after the last event are part of the target's response.
    const std::string rest = in_.events.incomplete();
    (void)co_await in_.reply.send_chunk(rest);
    const bool finished = co_await in_.reply.finish();
    if (finished)
        end(attempt_end::answered, target_evidence::answered, "");
    else
        end(attempt_end::caller_left, target_evidence::nothing, "caller");
}

/// Relays a response that is too large to buffer. It cannot be resumed, so it
/// has no idle timeout, and no other attempt may continue it: two responses
/// joined in one would look complete.
awaitable<void> attempt::relay_unbuffered(target_response& response,
                                          std::string part)
{
    restart_idle_timer(std::nullopt);
    out_.partial_body_sent = true;
    const response_head head = to_response_head(response);
    bool relayed = co_await in_.reply.begin(head);
    while (relayed) {
        relayed = co_await in_.reply.send_chunk(part);
        if (!relayed || response.is_whole())
            break;
        part.clear();
        const bool more = co_await read_body_part(response, part);
        if (!more)
            co_return;
    }
    if (relayed) {
        const bool ended = co_await finish_response(response);
        if (!ended)
            co_return;
        relayed = co_await in_.reply.finish();
    }
    if (relayed)
        end(attempt_end::answered, target_evidence::answered, "");
    else
        end(attempt_end::caller_left, target_evidence::nothing, "caller");
}

awaitable<void> attempt::relay_buffered(target_response& response)
{
    std::string body;
    while (!response.is_whole()) {
        const bool more = co_await read_body_part(response, body);
        if (!more)
            co_return;
        restart_idle_timer(in_.progress_timeout);
        if (body.size() > max_buffered_bytes || !may_hold(body.capacity())) {
            co_await relay_unbuffered(response, std::move(body));
            co_return;
        }
    }
    restart_idle_timer(std::nullopt);
    const bool ended = co_await finish_response(response);
    if (!ended)
        co_return;
    const response_head head = to_response_head(response);
    const bool sent = co_await in_.reply.send_complete(head, body);
    if (sent)
        end(attempt_end::answered, target_evidence::answered, "");
    else
        end(attempt_end::caller_left, target_evidence::nothing, "caller");
}

awaitable<void> attempt::buffer_failure(target_response& response)
{
    out_.head = to_response_head(response);
    while (!response.is_whole() && out_.body.size() <= max_buffered_bytes) {
        const bool more = co_await read_body_part(response, out_.body);
        if (!more)
            co_return;
        if (!may_hold(out_.body.capacity()))
            break;
    }
    if (!response.is_whole()) {
        end(attempt_end::garbled, target_evidence::broke,
            "the body of a failure is too long");
        co_return;
    }
    const bool ended = co_await finish_response(response);
    if (!ended)
        co_return;
    end(attempt_end::failed_there, target_evidence::failed,
        "status " + std::to_string(out_.head.status));
}

/// Records the load signals of a response. Every response states what the
/// target accepts, including failures, rejections and late responses to other
/// requests; only a response that the target signed for this request is known
/// to carry its latest signal.
void attempt::record_signals(
    const target_response& response,
    const adapter::response_header_values& header_values)
{
    auto signals = adapter::parse_target_signals(response.get().result_int(),
                                                 response.get().base());
    if (!signals)
        return;
    signals->is_latest = header_values.signed_by_target &&
                         header_values.request == in_.request.header_values.id;
    const dispatch::signal_changes changes = in_.tables.registry.note_signals(
        in_.target.process(), *signals, in_.tables.now());
    log_signals(in_.target.target, *signals, changes, "answer");
}

awaitable<void>
attempt::handle_response(target_response& response,
                         const adapter::response_header_values& header_values)
{
    const unsigned status = response.get().result_int();
    if (header_values.not_run ||
        status == adapter::status_misdirected_request) {
        (void)co_await discard(response);
        release_connection(response);
        const bool moved = status == adapter::status_misdirected_request;
        end(moved ? attempt_end::other_life : attempt_end::rejected,
            moved ? target_evidence::other_life : target_evidence::full,
            "status " + std::to_string(status));
        co_return;
    }
    if (!header_values.signed_by_target ||
        header_values.request != in_.request.header_values.id) {
        end(attempt_end::garbled, target_evidence::broke,
            "status " + std::to_string(status) + " without a signature");
        co_return;
    }
    if (status < 200 || status >= 300) {
        co_await buffer_failure(response);
        co_return;
    }
    const auto type = response.get()[http::field::content_type];
    if (in_.route.streams && !is_head_request() &&
        type.starts_with("text/event-stream")) {
        co_await relay_stream(response);
        co_return;
    }
    if (in_.reply.begun()) {
        end(attempt_end::garbled, target_evidence::broke,
            "resumed response is not an event stream");
        co_return;
    }
    record_first_byte();
    co_await relay_buffered(response);
}

awaitable<void> attempt::read_responses()
{
    std::optional<target_response> response;
    for (int skipped = 0; skipped <= max_skipped_responses; ++skipped) {
        const bool read = co_await read_head(response);
        if (!read)
            co_return;
        const auto header_values =
            adapter::parse_response_headers(response->get().base());
        record_signals(*response, header_values);
        if (header_values.request.empty() ||
            header_values.request == in_.request.header_values.id) {
            out_.framing = framing_of(*response);
            co_await handle_response(*response, header_values);
            co_return;
        }
        connection_->awaiting_response = true;
        const bool discarded_response = co_await discard(*response);
        if (!discarded_response)
            co_return;
    }
    end(attempt_end::garbled, target_evidence::broke,
        "too many responses to other requests");
}

awaitable<attempt_outcome> attempt::run()
{
    const bool connected = co_await connect();
    if (connected && may_still_send()) {
        restart_idle_timer(in_.first_byte_timeout);
        send();
        co_await read_responses();
    }
    in_.cancellation.clear_idle_timeout();
    in_.cancellation.detach();
    // Close a connection that did not return to the pool, so that its target
    // learns that nobody is waiting any more.
    if (connection_)
        connection_->close();
    co_return std::move(out_);
}

} // namespace

std::string_view to_string(body_framing value)
{
    switch (value) {
    case body_framing::unknown:
        return "";
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::connection_end:
        return "connection_end";
    }
    return "";
}

awaitable<attempt_outcome> run_attempt(attempt_input& in)
{
    attempt it(in);
    attempt_outcome out = co_await it.run();
    co_return out;
}

} // namespace fennelladder::edge
