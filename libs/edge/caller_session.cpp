// While a request is in flight the session also watches for the caller's
// disconnect: the socket becomes readable when the caller sends its next
// request early, which is buffered, or when it closes the connection.

#include "caller_session.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace fennelladder::edge {

namespace {

constexpr duration keepalive_timeout = seconds(10);

/// Time within which a whole body must have arrived.
constexpr duration body_timeout = seconds(15);

/// The same for what a node that rejects new requests is still reading: by then
/// it has arrived, or the caller has stopped sending.
constexpr duration draining_read_timeout = milliseconds(500);

/// A caller whose end of stream was seen may still read a response for this
/// long. The target is disconnected earlier than that, and the request's
/// deadline no longer applies.
constexpr duration delivery_timeout = milliseconds(300);

/// A caller that doesn't read a short answer of the node itself, since it has
/// not read earlier ones either, is disconnected after this time.
constexpr duration refusal_timeout = seconds(2);

/// Bytes buffered of what a caller sends before it has its response, and bytes
/// read at once of it.
constexpr std::size_t max_read_ahead = 65'536;
constexpr std::size_t read_ahead_step = 4'096;

/// A larger buffer isn't kept by an idle connection.
constexpr std::size_t max_idle_buffer = 8'192;

/// A body up to this length is read before its request is refused.
constexpr std::uint64_t max_short_body = 4'096;

/// What arrives after a refusal is discarded for so long, and up to so much.
/// Until the time is over the connection stays open, so that a caller that is
/// still writing can read the refusal.
constexpr duration discard_time = milliseconds(300);
constexpr std::size_t max_discarded_bytes = 1'048'576;
constexpr std::size_t discard_step = 16'384;

/// Memory of a part of the prompt, as parsed and with its mark.
constexpr std::size_t bytes_per_prompt_part = 64;

/// The body's length as stated, 0 if it isn't.
std::uint64_t stated_body(const request_intake::parser& parser)
{
    return parser.content_length().value_or(0);
}

bool expects_continue(const request_intake::parser& parser)
{
    return beast::iequals(parser.get()[http::field::expect], "100-continue");
}

/// Whether a body follows that isn't read if its request is refused. A caller
/// that expects to be told to send it hasn't sent it yet.
bool has_long_body(const request_intake::parser& parser,
                   bool waits_for_continue)
{
    return parser.chunked() || stated_body(parser) > max_short_body ||
           waits_for_continue;
}

/// Guards against request smuggling, which uses body lengths that two parties
/// interpret differently: only a single "chunked" is supported.
bool has_unsupported_transfer_encoding(const http::fields& fields)
{
    const auto range = fields.equal_range(http::field::transfer_encoding);
    int count = 0;
    for (auto it = range.first; it != range.second; ++it, ++count)
        if (!beast::iequals(it->value(), "chunked"))
            return true;
    return count > 1;
}

} // namespace

caller_session::caller_session(caller_server& server, tcp::socket socket)
    : server_(server), sessions_(server.sessions_),
      exchanges_(server.exchanges_), tables_(server.tables_),
      socket_(std::move(socket)), reply_(socket_)
{
    reply_.set_account(this);
    sessions_->insert(this);
}

caller_session::~caller_session()
{
    end_exchange();
    sessions_->erase(this);
}

void caller_session::close()
{
    net_error ec;
    socket_.close(ec);
}

void caller_session::reset_connection()
{
    net_error ec;
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
    close();
}

bool caller_session::may_be_closed() const
{
    net_error ec;
    return is_discarding_ ||
           (is_idle() && socket_.is_open() && socket_.available(ec) == 0);
}

bool caller_session::close_if_idle()
{
    if (!may_be_closed())
        return false;
    close();
    return true;
}

/// Failure it guards against: a caller whose request was read and whose
/// connection then closes without a response cannot know whether it ran, and
/// may not repeat a request that must run at most once. A request counts as
/// arrived once its first byte is in the kernel, since a busy node reads it
/// late; it is then rejected with a response.
void caller_session::close_if_unused()
{
    if (close_if_idle() || serving_ || !read_deadline_)
        return;
    if (intake_)
        read_deadline_->cancel_after(draining_read_timeout);
    else
        read_deadline_->close_after(draining_read_timeout);
}

/// Ends the current read, whose request is answered, unless it completes within
/// `length`.
void caller_session::set_read_deadline(duration length)
{
    read_deadline_->cancel_after(
        server_.rejecting_ ? std::min(length, draining_read_timeout) : length);
}

void caller_session::stop_by(instant at)
{
    if (const auto active = cancellation_.lock())
        active->stop_by(at);
}

// What the connection holds.

void caller_session::begin_exchange()
{
    exchange_ = exchanges_->budget.begin(tables_.now());
    exchanges_->sessions[*exchange_] = this;
    claimed_ = 0;
    request_bytes_ = 0;
    response_bytes_ = 0;
    reads_ahead_ = true;
    gave_way_.reset();
    present_id_.clear();
}

void caller_session::end_exchange()
{
    if (!exchange_)
        return;
    exchanges_->budget.end(*exchange_);
    exchanges_->sessions.erase(*exchange_);
    exchange_.reset();
}

/// Whether the exchange may hold so much from now on. Others may give way.
bool caller_session::claim(std::size_t bytes)
{
    if (bytes == claimed_)
        return true;
    const dispatch::claim_result got =
        exchanges_->budget.claim(*exchange_, bytes, tables_.now());
    server_.displace(got.others, false);
    refused_ = got.refused;
    if (got.granted)
        claimed_ = bytes;
    return got.granted;
}

void caller_session::set_unread(bool waits)
{
    if (exchange_ && serving_)
        exchanges_->budget.set_unread(*exchange_, waits, tables_.now());
}

void caller_session::note_progress(std::size_t bytes)
{
    if (exchange_)
        exchanges_->budget.note_progress(*exchange_, bytes, tables_.now());
}

/// Of a request that is being served, and its response.
bool caller_session::may_hold(std::size_t bytes)
{
    if (!exchange_)
        return true;
    if (!claim(request_bytes_ + buf_.capacity() + bytes))
        return false;
    response_bytes_ = bytes;
    return true;
}

void caller_session::give_way(dispatch::displacement why, bool place_is_needed)
{
    gave_way_ = why;
    place_is_needed_ = place_is_needed;
    server_.log_displaced(present_id_, why, claimed_, serving_);
    claimed_ = 0;
    if (serving_) {
        reset_connection();
        return;
    }
    // The buffer may be in use by a read; it is freed with the session.
    if (intake_)
        intake_->drop_body();
    net_error ec;
    socket_.cancel(ec);
}

// Reading.

catalog::caller_limits caller_session::present_limits() const
{
    return tables_.config ? tables_.config->parts().limits
                          : catalog::caller_limits();
}

awaitable<bool> caller_session::wait_for_request()
{
    if (buf_.size() > 0)
        co_return true;
    if (buf_.capacity() > max_idle_buffer)
        buf_.shrink_to_fit();
    const catalog::caller_limits limits = present_limits();
    read_deadline_->close_after(
        first_request_ ? std::min(limits.header_timeout, limits.idle_timeout)
                       : limits.idle_timeout);
    net_error ec;
    awaiting_request_ = true;
    idle_since_ = tables_.now();
    co_await socket_.async_wait(tcp::socket::wait_read, into(ec));
    awaiting_request_ = false;
    co_return !ec && socket_.is_open();
}

/// Before the answer to a request that isn't read any further: gives back what
/// it holds. The answer is the connection's last one.
void caller_session::stop_reading()
{
    end_exchange();
    intake_.reset();
    discards_input_ = true;
    reply_.close_when_done();
    read_deadline_->close_after(refusal_timeout);
}

awaitable<void> caller_session::reject(unsigned status, const char* reason)
{
    stop_reading();
    telemetry::log_event(telemetry::event::call_rejected,
                         {{"id", present_id_},
                          {"outcome", std::to_string(status)},
                          {"reason", reason}});
    server_.count_rejection(reason);
    local_response answer{status, present_id_, std::nullopt, reason};
    (void)co_await reply_.send_local(answer);
}

awaitable<void> caller_session::refuse_for_memory(dispatch::displacement why)
{
    if (why == dispatch::displacement::behind) {
        co_await reject(408, "the request arrives too slowly");
        co_return;
    }
    stop_reading();
    co_await refuse(too_much_at_once);
}

void caller_session::log_incomplete_request(const char* part,
                                            const net_error& ec) const
{
    telemetry::log_event(
        telemetry::event::request_unread,
        {{"part", part},
         {"error", disconnect_reason(ec)},
         {"closed_here", socket_.is_open() ? "no" : "yes"},
         {"lag_ms", milliseconds_text(tables_.lag.at(tables_.now()))}});
}

/// Handles a read that failed: it took too long, or the caller is gone.
awaitable<void> caller_session::end_reading(const char* part, net_error ec)
{
    const bool has_begun = intake_->has_begun();
    const bool has_head = intake_->has_head();
    if (read_deadline_->has_expired() && socket_.is_open()) {
        co_await reject(408, "the request took too long to arrive");
        co_return;
    }
    // A disconnect between two requests is not logged.
    if (has_begun)
        log_incomplete_request(part, ec);
    // Its caller may still read.
    if (has_begun && !has_head && ec == asio::error::eof)
        co_await reject(400, "no proper request");
}

/// Reads until `reached`. Otherwise answers the request, if its caller may
/// still be there, and returns false.
awaitable<bool> caller_session::read_until(bool (request_intake::*reached)()
                                               const)
{
    intake_->parse();
    for (;;) {
        if (gave_way_) {
            const dispatch::displacement why = *gave_way_;
            co_await refuse_for_memory(why);
            co_return false;
        }
        if (const intake_fault fault = intake_->fault();
            fault != intake_fault::none) {
            co_await reject(status_of(fault), reason_of(fault));
            co_return false;
        }
        if (((*intake_).*reached)())
            co_return true;
        const auto room = buf_.prepare(intake_->read_size());
        net_error ec;
        std::size_t n = 0;
        if (claim(intake_->held()))
            n = co_await socket_.async_read_some(room, into(ec));
        else
            gave_way_ = refused_;
        if (gave_way_)
            continue;
        if (ec) {
            co_await end_reading(intake_->has_head() ? "body" : "head", ec);
            co_return false;
        }
        buf_.commit(n);
        note_progress(n);
        intake_->parse();
    }
}

/// Takes from the head what is needed to decide about the request, and how it
/// is to be answered. Returns false if the request can't be served.
bool caller_session::take_head(caller_request& out)
{
    const parser& parsed = intake_->parsed();
    const auto& message = parsed.get();
    out.arrived = tables_.now();
    out.first_on_connection = std::exchange(first_request_, false);
    if (!parsed.keep_alive() || server_.draining_)
        reply_.close_when_done();
    // HTTP/1.0 has no chunks.
    if (message.version() < 11)
        reply_.omit_chunk_sizes();
    if (message.method() == http::verb::head)
        reply_.omit_body();
    out.has_body = message.has_content_length() || parsed.chunked();
    out.method = std::string(message.method_string());
    out.path = std::string(message.target());
    out.fields = intake_->take_fields();
    out.long_fields = intake_->take_long_fields();
    out.header_values =
        adapter::parse_request_headers(out.fields, out.long_fields);
    present_id_ = out.header_values.id;
    return !has_unsupported_transfer_encoding(out.fields);
}

void caller_session::decide_on_head(const caller_request& head)
{
    const std::uint64_t body = stated_body(intake_->parsed());
    decided_ = {intake_->head_bytes() + body, std::nullopt};
    // A body that can't be held even by a node that has nothing else to do is
    // refused without being read.
    reason_ = body > server_.buffer_limits().serving_bytes ? too_much_at_once
                                                           : nullptr;
    if (reason_ != nullptr || !tables_.options.refuses_beyond_capacity)
        return;
    reason_ = server_.rejection_reason(body);
    if (reason_ == nullptr)
        decided_.refused =
            server_.driver_.check_head(head, reply_, decided_.bytes);
}

awaitable<void> caller_session::refuse(const char* reason)
{
    telemetry::log_event(
        telemetry::event::request_refused,
        {{"id", present_id_}, {"outcome", "503"}, {"reason", reason}});
    server_.count_refusal(reason);
    read_deadline_->close_after(refusal_timeout);
    local_response answer{503, present_id_, default_retry_after, reason};
    (void)co_await reply_.send_local(answer);
    read_deadline_->clear();
}

/// Refuses a request without reading its body.
awaitable<void> caller_session::refuse_unread(const caller_request& head)
{
    stop_reading();
    if (reason_ != nullptr)
        co_await refuse(reason_);
    else
        co_await server_.driver_.refuse(head, reply_, *decided_.refused);
}

/// Discards what arrives until the caller closes its side, for a bounded time.
awaitable<void> caller_session::discard_input()
{
    is_discarding_ = true;
    idle_since_ = instant();
    net_error ec;
    read_deadline_->close_after(discard_time);
    buf_.clear();
    for (std::size_t total = 0; !ec && total < max_discarded_bytes;)
        total += co_await socket_.async_read_some(buf_.prepare(discard_step),
                                                  into(ec));
    if (!ec)
        co_await socket_.async_wait(tcp::socket::wait_error, into(ec));
    read_deadline_->clear();
}

awaitable<bool> caller_session::read_request(caller_request& out)
{
    const catalog::caller_limits limits = present_limits();
    begin_exchange();
    intake_.emplace(buf_, limits);
    set_read_deadline(limits.header_timeout);
    const bool has_head = co_await read_until(&request_intake::has_head);
    if (!has_head)
        co_return false;
    const bool waits_for_continue = expects_continue(intake_->parsed());
    if (!take_head(out)) {
        co_await reject(400, "transfer encoding");
        co_return false;
    }
    decide_on_head(out);
    if (is_refused() && has_long_body(intake_->parsed(), waits_for_continue)) {
        co_await refuse_unread(out);
        co_return false;
    }
    net_error ec;
    if (waits_for_continue) {
        const std::string interim_response = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(socket_, asio::buffer(interim_response),
                                   into(ec));
    }
    intake_->continue_with_body();
    set_read_deadline(body_timeout);
    const bool whole = co_await read_until(&request_intake::is_whole);
    if (!whole)
        co_return false;
    read_deadline_->clear();
    // Those of the trailers of a chunked body.
    for (const auto& it : intake_->parsed().get())
        out.fields.insert(it.name(), it.name_string(), it.value());
    for (adapter::long_field& it : intake_->take_long_fields())
        out.long_fields.push_back(std::move(it));
    request_bytes_ = intake_->held() - buf_.capacity() +
                     out.header_values.prompt.size() * bytes_per_prompt_part;
    if (out.has_body)
        out.body = std::make_shared<const std::string>(intake_->take_body());
    intake_.reset();
    co_return true;
}

/// Buffers, without waiting, what the caller has sent before its response, as
/// far as there is memory for it. Returns an error if the connection has ended:
/// end of file if the caller closed it.
net_error caller_session::read_ahead()
{
    net_error ec;
    while (!ec && buf_.size() < max_read_ahead) {
        const std::size_t step =
            std::min(read_ahead_step, max_read_ahead - buf_.size());
        const auto room = buf_.prepare(step);
        if (!may_hold(response_bytes_)) {
            reads_ahead_ = false;
            break;
        }
        const std::size_t n = socket_.read_some(room, ec);
        buf_.commit(n);
        if (n < step)
            break;
    }
    return is_transient(ec) ? net_error() : ec;
}

void caller_session::on_readable(const request_cancellation_ptr& cancellation)
{
    if (const net_error ended = read_ahead())
        cancellation->stop_caller_left(ended);
    else if (reads_ahead_ && buf_.size() < max_read_ahead)
        watch_caller(cancellation);
}

void caller_session::watch_caller(const request_cancellation_ptr& cancellation)
{
    socket_.async_wait(
        tcp::socket::wait_read,
        [weak = weak_from_this(),
         of = std::weak_ptr<request_cancellation>(cancellation)](net_error ec) {
            const auto self = weak.lock();
            const auto active = of.lock();
            if (!ec && self && active && self->serving_)
                self->on_readable(active);
        });
}

// Serving.

/// Logs a response that was not delivered although no disconnect of the caller
/// was seen: a failure of this node or of the network to the caller.
void caller_session::log_undelivered(
    const caller_request& request,
    const request_cancellation& cancellation) const
{
    if (reply_.finished() || cancellation.caller_disconnect())
        return;
    const duration took = tables_.now() - request.arrived;
    telemetry::log_event(
        telemetry::event::answer_undelivered,
        {{"id", request.header_values.id},
         {"answer", reply_.begun() ? "begun" : "none"},
         {"open", socket_.is_open() ? "yes" : "no"},
         {"error", disconnect_reason(reply_.write_error())},
         {"lag_ms", milliseconds_text(tables_.lag.at(tables_.now()))},
         {"ms", milliseconds_text(took)}});
}

awaitable<void> caller_session::serve(caller_request request)
{
    const auto cancellation =
        std::make_shared<request_cancellation>(tables_.io, tables_.time);
    serving_ = true;
    cancellation_ = cancellation;
    if (tables_.stops_at)
        cancellation->stop_by(*tables_.stops_at);
    // A caller that does not read its response blocks a write. Stopping the
    // request closes the connection and so ends the write.
    cancellation->on_stop([weak = weak_from_this()](stop_reason why) {
        const auto self = weak.lock();
        if (!self || why == stop_reason::idle_timeout)
            return;
        if (self->reply_.is_writing())
            self->close();
        else if (why == stop_reason::caller_left)
            self->read_deadline_->close_after(delivery_timeout);
    });
    cancellation->on_caller_check(
        [this, weak = std::weak_ptr<request_cancellation>(cancellation)] {
            const auto active = weak.lock();
            const net_error ended = active ? read_ahead() : net_error();
            if (ended)
                active->stop_caller_left(ended);
        });
    watch_caller(cancellation);
    tables_.accepted_requests.add(1, tables_.now());
    co_await server_.driver_.serve(request, reply_, cancellation, decided_);
    log_undelivered(request, *cancellation);
    cancellation->end();
    net_error ec;
    socket_.cancel(ec);
    serving_ = false;
}

/// Why the whole request that was read isn't served; null if it is.
const char* caller_session::reason_not_to_serve()
{
    if (reason_ == nullptr)
        reason_ = server_.rejection_reason();
    if (reason_ != nullptr)
        return reason_;
    const std::size_t held = request_bytes_ + buf_.capacity();
    const dispatch::claim_result got =
        exchanges_->budget.start_serving(*exchange_, held, tables_.now());
    server_.displace(got.others, false);
    claimed_ = held;
    return got.granted ? nullptr : too_much_at_once;
}

awaitable<void> caller_session::run(std::shared_ptr<caller_session> session)
{
    co_await session->serve_requests();
}

awaitable<void> caller_session::serve_requests()
{
    enable_keepalive(socket_, keepalive_timeout);
    read_deadline_.emplace(
        std::shared_ptr<tcp::socket>(shared_from_this(), &socket_));
    net_error ec;
    socket_.non_blocking(true, ec);
    for (;;) {
        const bool waiting = co_await wait_for_request();
        if (!waiting)
            break;
        reply_.reset();
        caller_request request;
        const bool read = co_await read_request(request);
        if (!read)
            break;
        if (server_.draining_)
            reply_.close_when_done();
        if (const char* reason = reason_not_to_serve()) {
            end_exchange();
            co_await refuse(reason);
        } else {
            co_await serve(std::move(request));
            end_exchange();
        }
        if (!reply_.finished() || reply_.closes_connection())
            break;
    }
    end_exchange();
    read_deadline_->clear();
    if (reply_.must_be_reset()) {
        reset_connection();
        co_return;
    }
    // Closing a socket with unread bytes sends a reset, on which the caller may
    // lose the last response.
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    if (reply_.closes_connection() && reply_.finished()) {
        char discarded[1024];
        std::size_t total = 0;
        while (!ec && total < max_read_ahead)
            total += socket_.read_some(asio::buffer(discarded), ec);
        if (discards_input_ && !place_is_needed_)
            co_await discard_input();
    }
    close();
}

} // namespace fennelladder::edge
