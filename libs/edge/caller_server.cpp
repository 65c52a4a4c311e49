// A session is one connection. While a request is in flight it also watches for
// the caller's disconnect: the socket becomes readable when the caller sends
// its next request early, which is buffered, or when it closes the connection.

#include "fennelladder/edge/caller_server.hpp"

#include "fennelladder/edge/simple_server.hpp"
#include "fennelladder/edge/socket_deadline.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <sys/socket.h>
#include <utility>

namespace fennelladder::edge {

namespace {

constexpr duration keepalive_timeout = seconds(10);

/// Connections that wait to be accepted, where they are bounded: what the host
/// serves in this time, and at least a few that come together.
constexpr duration max_accept_wait = milliseconds(150);
constexpr int min_accept_queue = 16;

/// Time within which a whole body must have arrived.
constexpr duration body_timeout = seconds(15);

/// The same for what a node that rejects new requests is still reading: by then
/// it has arrived, or the caller has stopped sending.
constexpr duration draining_read_timeout = milliseconds(500);

/// A caller whose end of stream was seen may still read a response for this
/// long. The target is disconnected earlier than that, and the request's
/// deadline no longer applies.
constexpr duration delivery_timeout = milliseconds(300);

/// A connection that has been idle for less isn't closed for a new one: its
/// caller may be about to use it.
constexpr duration min_idle_time = milliseconds(500);

/// Bytes buffered of what a caller sends before it has its response.
constexpr std::size_t max_read_ahead = 65'536;

/// A body up to this length is read before its request is refused.
constexpr std::uint64_t max_short_body = 4'096;

/// What arrives after a refusal is discarded for so long.
constexpr duration discard_time = milliseconds(300);

using request_parser = http::request_parser<http::string_body>;

/// Bytes of a request's head, about as its caller sent it.
std::uint64_t head_bytes(const request_parser& parser)
{
    constexpr std::size_t request_line_rest = 14; // " ", " HTTP/1.1", 2 x CRLF
    constexpr std::size_t field_rest = 4;         // ": ", CRLF
    const auto& head = parser.get();
    std::size_t out =
        head.method_string().size() + head.target().size() + request_line_rest;
    for (const auto& it : head)
        out += it.name_string().size() + it.value().size() + field_rest;
    return out;
}

/// The body's length as stated, 0 if it isn't.
std::uint64_t stated_body(const request_parser& parser)
{
    return parser.content_length().value_or(0);
}

/// Whether a body follows that isn't read if its request is refused. A caller
/// that expects to be told to send it hasn't sent it yet.
bool has_long_body(const request_parser& parser)
{
    return parser.chunked() || stated_body(parser) > max_short_body ||
           beast::iequals(parser.get()[http::field::expect], "100-continue");
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

class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(caller_server& server, tcp::socket socket)
        : server_(server), sessions_(server.sessions_), tables_(server.tables_),
          socket_(std::move(socket)), reply_(socket_)
    {
        sessions_->insert(this);
    }

    /// May run after the server was destroyed: when the node ends, remaining
    /// sessions are destroyed with the io_context that holds their coroutines.
    ~caller_session() { sessions_->erase(this); }

    /// Serves the connection and keeps the session alive until it ends.
    static awaitable<void> run(std::shared_ptr<caller_session> session);

    /// Whether no request is being read or served.
    bool is_idle() const { return awaiting_request_ && buf_.size() == 0; }

    /// Whether it is idle and open, and nothing has arrived on it.
    bool may_be_closed() const
    {
        net_error ec;
        return is_idle() && socket_.is_open() && socket_.available(ec) == 0;
    }

    void close_if_unused();

    /// Since when it is idle; of no meaning if it isn't.
    instant idle_since() const { return idle_since_; }

    /// Closes the connection if it is idle and nothing has arrived on it.
    /// Returns whether it did.
    bool close_if_idle();

private:
    awaitable<void> serve_requests();
    awaitable<bool> wait_for_request();
    awaitable<bool> read_request(caller_request& out);
    awaitable<bool> read_head(request_parser& parser);
    void take_head(request_parser& parser, caller_request& out);
    void decide_on_head(const request_parser& parser,
                        const caller_request& head);
    bool is_refused() const { return reason_ != nullptr || decided_.refused; }
    awaitable<void> refuse_unread(const caller_request& head);
    awaitable<void> refuse(const caller_request& request, const char* reason);
    awaitable<void> discard_input();
    void set_read_deadline(duration length);
    awaitable<bool> reject(unsigned status, const char* reason);
    void log_incomplete_request(const char* part, const net_error& ec) const;
    awaitable<void> serve(caller_request request);
    void watch_caller(const request_cancellation_ptr& cancellation);
    net_error read_ahead();
    void on_readable(const request_cancellation_ptr& cancellation);
    void log_undelivered(const caller_request& request,
                         const request_cancellation& cancellation) const;
    void close();

    caller_server& server_;
    std::shared_ptr<caller_server::session_set> sessions_;
    node_tables& tables_;
    tcp::socket socket_;
    std::optional<socket_deadline>
        read_deadline_; ///< For the read in progress.
    response_writer reply_;
    beast::flat_buffer buf_;
    bool awaiting_request_ = false; ///< Before its first byte.
    instant idle_since_;
    bool serving_ = false;
    bool first_request_ = true;
    head_decision decided_; ///< Of the present request.
    /// Why the node refuses the present request, whatever it is.
    const char* reason_ = nullptr;
    bool discards_input_ = false; ///< A body is on its way that isn't read.
};

void caller_session::close()
{
    net_error ec;
    socket_.close(ec);
}

bool caller_session::close_if_idle()
{
    if (!may_be_closed())
        return false;
    close();
    return true;
}

/// Closes the connection, while the node shuts down, unless a request has
/// arrived. Failure it guards against: a caller whose request was read and
/// whose connection then closes without a response cannot know whether it ran,
/// and may not repeat a request that must run at most once. A request counts as
/// arrived once its first byte is in the kernel, since a busy node reads it
/// late; it is then rejected with a response.
void caller_session::close_if_unused()
{
    if (!close_if_idle() && !serving_ && read_deadline_)
        read_deadline_->close_after(draining_read_timeout);
}

/// Closes the connection unless the current read completes within `length`.
void caller_session::set_read_deadline(duration length)
{
    read_deadline_->close_after(
        server_.rejecting_ ? std::min(length, draining_read_timeout) : length);
}

awaitable<bool> caller_session::wait_for_request()
{
    if (buf_.size() > 0)
        co_return true;
    const auto config = tables_.config;
    const catalog::caller_limits limits =
        config ? config->parts().limits : catalog::caller_limits();
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

awaitable<bool> caller_session::reject(unsigned status, const char* reason)
{
    telemetry::log_event(
        telemetry::event::call_rejected,
        {{"outcome", std::to_string(status)}, {"reason", reason}});
    reply_.close_when_done();
    local_response answer{status, "", std::nullopt, reason};
    (void)co_await reply_.send_local(answer);
    co_return false;
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

/// Reads a request's head. Answers it if it is faulty.
awaitable<bool> caller_session::read_head(request_parser& parser)
{
    net_error ec;
    co_await http::async_read_header(socket_, buf_, parser, into(ec));
    if (ec == http::error::header_limit) {
        const bool more = co_await reject(431, "head too large");
        co_return more;
    }
    if (ec == http::error::body_limit) {
        const bool more = co_await reject(413, "body too large");
        co_return more;
    }
    if (ec) {
        // Errors of Beast's parser are faults of the request; any other error
        // means that the caller is gone.
        const bool disconnected =
            ec == http::error::end_of_stream ||
            ec.category() !=
                make_error_code(http::error::bad_method).category();
        // A disconnect between two requests is not logged.
        if (disconnected && parser.got_some())
            log_incomplete_request("head", ec);
        if (disconnected)
            co_return false;
        const bool more = co_await reject(400, "no proper request");
        co_return more;
    }
    if (has_unsupported_transfer_encoding(parser.get())) {
        const bool more = co_await reject(400, "transfer encoding");
        co_return more;
    }
    co_return true;
}

/// Takes from the head what is needed to decide about the request, and how it
/// is to be answered.
void caller_session::take_head(request_parser& parser, caller_request& out)
{
    out.arrived = tables_.now();
    out.first_on_connection = std::exchange(first_request_, false);
    if (!parser.keep_alive() || server_.draining_)
        reply_.close_when_done();
    // HTTP/1.0 has no chunks.
    if (parser.get().version() < 11)
        reply_.omit_chunk_sizes();
    const auto& message = parser.get();
    if (message.method() == http::verb::head)
        reply_.omit_body();
    out.has_body = message.has_content_length() || parser.chunked();
    out.method = std::string(message.method_string());
    out.path = std::string(message.target());
    out.fields = message.base();
    out.header_values = adapter::parse_request_headers(out.fields);
}

void caller_session::decide_on_head(const request_parser& parser,
                                    const caller_request& head)
{
    decided_ = {head_bytes(parser) + stated_body(parser), std::nullopt};
    reason_ = nullptr;
    if (!tables_.options.refuses_beyond_capacity)
        return;
    reason_ = server_.rejection_reason(stated_body(parser));
    if (reason_ == nullptr)
        decided_.refused =
            server_.driver_.check_head(head, reply_, decided_.bytes);
}

awaitable<void> caller_session::refuse(const caller_request& request,
                                       const char* reason)
{
    telemetry::log_event(telemetry::event::request_refused,
                         {{"id", request.header_values.id},
                          {"outcome", "503"},
                          {"reason", reason}});
    local_response answer{503, request.header_values.id, default_retry_after,
                          reason};
    (void)co_await reply_.send_local(answer);
}

/// Refuses a request without reading its body.
awaitable<void> caller_session::refuse_unread(const caller_request& head)
{
    discards_input_ = true;
    reply_.close_when_done();
    if (reason_ != nullptr)
        co_await refuse(head, reason_);
    else
        co_await server_.driver_.refuse(head, reply_, *decided_.refused);
}

/// Discards what arrives until the caller closes its side, for a bounded time.
awaitable<void> caller_session::discard_input()
{
    std::array<char, 4096> discarded{};
    net_error ec;
    read_deadline_->close_after(discard_time);
    while (!ec)
        co_await socket_.async_read_some(asio::buffer(discarded), into(ec));
    read_deadline_->clear();
}

awaitable<bool> caller_session::read_request(caller_request& out)
{
    const auto config = tables_.config;
    const catalog::caller_limits limits =
        config ? config->parts().limits : catalog::caller_limits();
    request_parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    set_read_deadline(limits.header_timeout);
    const bool has_head = co_await read_head(parser);
    if (!has_head)
        co_return false;
    take_head(parser, out);
    decide_on_head(parser, out);
    if (is_refused() && has_long_body(parser)) {
        read_deadline_->clear();
        co_await refuse_unread(out);
        co_return false;
    }
    net_error ec;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const std::string interim_response = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(socket_, asio::buffer(interim_response),
                                   into(ec));
    }
    set_read_deadline(body_timeout);
    co_await http::async_read(socket_, buf_, parser, into(ec));
    read_deadline_->clear();
    if (ec == http::error::body_limit) {
        const bool more = co_await reject(413, "body too large");
        co_return more;
    }
    if (ec) {
        log_incomplete_request("body", ec);
        co_return false;
    }
    // A chunked body may have trailing fields.
    if (parser.chunked())
        out.fields = parser.get().base();
    out.body = std::move(parser.get().body());
    co_return true;
}

/// Buffers, without waiting, what the caller has sent before its response.
/// Returns an error if the connection has ended: end of file if the caller
/// closed it.
net_error caller_session::read_ahead()
{
    if (buf_.size() >= max_read_ahead)
        return {};
    net_error ec;
    const std::size_t n =
        socket_.read_some(buf_.prepare(max_read_ahead - buf_.size()), ec);
    if (!ec)
        buf_.commit(n);
    return is_transient(ec) ? net_error() : ec;
}

void caller_session::on_readable(const request_cancellation_ptr& cancellation)
{
    if (const net_error ended = read_ahead())
        cancellation->stop_caller_left(ended);
    else if (buf_.size() < max_read_ahead)
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
    ++server_.active_requests_;
    server_.body_bytes_ += request.body.size();
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
    server_.body_bytes_ -= request.body.size();
    --server_.active_requests_;
    serving_ = false;
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
        if (reason_ == nullptr)
            reason_ = server_.rejection_reason(request.body.size());
        if (reason_ != nullptr)
            co_await refuse(request, reason_);
        else
            co_await serve(std::move(request));
        if (!reply_.finished() || reply_.closes_connection())
            break;
    }
    read_deadline_->clear();
    if (reply_.must_be_reset()) {
        socket_.set_option(asio::socket_base::linger(true, 0), ec);
        close();
        co_return;
    }
    // Closing a socket with unread bytes sends a reset, on which the caller may
    // lose the last response.
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    if (reply_.closes_connection() && reply_.finished()) {
        char discarded[1024];
        while (socket_.read_some(asio::buffer(discarded), ec) > 0 && !ec) {
        }
        if (discards_input_)
            co_await discard_input();
    }
    close();
}

caller_server::caller_server(node_tables& tables, request_driver& driver,
                             caller_server_limits limits)
    : tables_(tables), driver_(driver), limits_(limits), acceptor_(tables.io)
{}

caller_server::~caller_server() = default;

status caller_server::start(const std::string& address)
{
    const accept_limit limit = new_connection_limit();
    if (auto ok = listen_on(acceptor_, address, limit.longest_queue); !ok)
        return ok;
    spawn(tables_.io,
          accept_connections(
              acceptor_,
              [this](tcp::socket socket) { take(std::move(socket)); },
              [this](const net_error& ec) {
                  log_not_accepted(disconnect_reason(ec));
              },
              limit));
    return {};
}

accept_limit caller_server::new_connection_limit()
{
    accept_limit out;
    out.now = [this] { return tables_.now(); };
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

/// Returns why the request is rejected, or null if it is accepted.
const char* caller_server::rejection_reason(std::size_t body_bytes) const
{
    if (rejecting_)
        return "the node leaves";
    if (tables_.updates_are_late())
        return "news are late";
    const bool full = active_requests_ >= limits_.requests ||
                      body_bytes_ + body_bytes > limits_.body_bytes;
    return full ? "too much at once" : nullptr;
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

/// Closes the connection that has been idle for longest. Returns false if none
/// has been for long enough.
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

void caller_server::take(tcp::socket socket)
{
    tables_.admission.note_accepted(tables_.now());
    if (sessions_->size() >= limits_.connections && !close_longest_idle()) {
        log_not_accepted("connection limit reached");
        net_error ec;
        socket.close(ec);
        return;
    }
    const auto session =
        std::make_shared<caller_session>(*this, std::move(socket));
    spawn(tables_.io, caller_session::run(session));
}

} // namespace fennelladder::edge
