// A session is one connection. While a request is under way it also watches
// for the caller's leaving: the socket becomes readable when the caller sends
// ahead, which is kept for the next request, or when it closes.

#include "fennelladder/edge/caller_server.hpp"

#include "fennelladder/edge/simple_server.hpp"
#include "fennelladder/edge/socket_deadline.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <sys/socket.h>
#include <utility>

namespace fennelladder::edge {

namespace {

constexpr duration accept_pause = milliseconds(50);
constexpr duration silence_limit = seconds(10);

/// A whole body has to be there within this time.
constexpr duration body_limit_time = seconds(15);

/// The same for what a node that refuses new requests still reads: it has come
/// by then, or its caller has stopped sending.
constexpr duration last_reading = milliseconds(500);

/// A caller whose end was seen may still take an answer, up to this long: the
/// target is cut off earlier, and its deadline ends nothing any more.
constexpr duration last_delivery = milliseconds(300);

/// What a caller may send ahead of its next answer.
constexpr std::size_t most_ahead = 65'536;

/// Bytes of memory a connection is counted with, buffers of the kernel
/// included.
constexpr std::size_t bytes_a_connection = 24'576;

using request_parser = http::request_parser<http::string_body>;

/// A body length that two sides could read in different ways is how one
/// request hides in another; only "chunked" is taken.
bool has_odd_transfer_encoding(const http::fields& fields)
{
    const auto range = fields.equal_range(http::field::transfer_encoding);
    int count = 0;
    for (auto it = range.first; it != range.second; ++it, ++count)
        if (!beast::iequals(it->value(), "chunked"))
            return true;
    return count > 1;
}

} // namespace

caller_server_limits limits_for(const adapter::host_settings& settings)
{
    caller_server_limits out;
    const std::size_t memory = std::size_t(settings.memory_mb) * 1'000'000;
    // A third for connections, a fifth for bodies; the rest is the process.
    out.connections = std::min<std::size_t>(memory / 3 / bytes_a_connection,
                                            settings.descriptors / 2);
    out.body_bytes = memory / 5;
    return out;
}

class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(caller_server& server, tcp::socket socket)
        : server_(server), all_(server.sessions_), tables_(server.tables_),
          socket_(std::move(socket)), reply_(socket_)
    {
        all_->insert(this);
    }

    /// May run after the server is gone: with the node's end, sessions that
    /// are left end with the io_context that holds their coroutines.
    ~caller_session() { all_->erase(this); }

    /// Holds the session for as long as it lasts.
    static awaitable<void> run(std::shared_ptr<caller_session> session);

    /// No request is being read or served.
    bool is_idle() const { return waiting_ && buf_.size() == 0; }

    void close_if_unused();

private:
    awaitable<void> serve_requests();
    awaitable<bool> wait_for_request();
    awaitable<bool> read_request(caller_request& out);
    void limit_reading(duration length);
    awaitable<bool> reject(unsigned status, const char* reason);
    void note_unread(const char* part, const net_error& ec) const;
    awaitable<void> serve(caller_request request);
    void watch_caller(const exchange_ptr& course);
    net_error look_at_caller();
    void on_readable(const exchange_ptr& course);
    void note_end(const caller_request& request, const exchange& course) const;
    void close();

    caller_server& server_;
    std::shared_ptr<caller_server::session_set> all_;
    node_tables& tables_;
    tcp::socket socket_;
    std::optional<socket_deadline> limit_; ///< Of what is waited for.
    caller_reply reply_;
    beast::flat_buffer buf_;
    bool waiting_ = false; ///< For the first byte of a request.
    bool serving_ = false;
    bool first_ = true;
};

void caller_session::close()
{
    net_error ec;
    socket_.close(ec);
}

/// Closes the connection of a node that leaves unless a request has come.
/// Failure it guards against: a caller whose request was read, and whose
/// connection then closes without a word, can't know whether it ran, and may
/// not repeat what may run once. A request counts from its first byte in the
/// kernel, as a busy node comes to read it late; it is refused in words.
void caller_session::close_if_unused()
{
    net_error ec;
    if (is_idle() && socket_.available(ec) == 0)
        close();
    else if (!serving_ && limit_)
        limit_->close_after(last_reading);
}

/// Closes the connection unless what is read is there after `length`.
void caller_session::limit_reading(duration length)
{
    limit_->close_after(server_.refusing_ ? std::min(length, last_reading)
                                          : length);
}

awaitable<bool> caller_session::wait_for_request()
{
    if (buf_.size() > 0)
        co_return true;
    const auto config = tables_.config;
    const catalog::caller_limits limits =
        config ? config->parts().limits : catalog::caller_limits();
    limit_->close_after(
        first_ ? std::min(limits.header_timeout, limits.idle_timeout)
               : limits.idle_timeout);
    net_error ec;
    waiting_ = true;
    co_await socket_.async_wait(tcp::socket::wait_read, into(ec));
    waiting_ = false;
    co_return !ec && socket_.is_open();
}

awaitable<bool> caller_session::reject(unsigned status, const char* reason)
{
    telemetry::log_event(
        telemetry::event::call_rejected,
        {{"outcome", std::to_string(status)}, {"reason", reason}});
    reply_.close_after();
    own_answer answer{status, "", std::nullopt, reason};
    (void)co_await reply_.send_own(answer);
    co_return false;
}

void caller_session::note_unread(const char* part, const net_error& ec) const
{
    telemetry::log_event(
        telemetry::event::request_unread,
        {{"part", part},
         {"error", end_text(ec)},
         {"closed_here", socket_.is_open() ? "no" : "yes"},
         {"lag_ms", milliseconds_text(tables_.lag.at(tables_.now()))}});
}

awaitable<bool> caller_session::read_request(caller_request& out)
{
    const auto config = tables_.config;
    const catalog::caller_limits limits =
        config ? config->parts().limits : catalog::caller_limits();
    request_parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    limit_reading(limits.header_timeout);
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
        // Beast's own errors are faults of what was sent; others mean that
        // there is nobody to tell.
        const bool nobody =
            ec == http::error::end_of_stream ||
            ec.category() !=
                make_error_code(http::error::bad_method).category();
        // An end between two requests is nothing to tell of.
        if (nobody && parser.got_some())
            note_unread("head", ec);
        if (nobody)
            co_return false;
        const bool more = co_await reject(400, "no proper request");
        co_return more;
    }
    if (has_odd_transfer_encoding(parser.get())) {
        const bool more = co_await reject(400, "transfer encoding");
        co_return more;
    }
    out.arrived = tables_.now();
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(socket_, asio::buffer(go_on), into(ec));
    }
    limit_reading(body_limit_time);
    co_await http::async_read(socket_, buf_, parser, into(ec));
    limit_->clear();
    if (ec == http::error::body_limit) {
        const bool more = co_await reject(413, "body too large");
        co_return more;
    }
    if (ec) {
        note_unread("body", ec);
        co_return false;
    }
    if (!parser.keep_alive())
        reply_.close_after();
    out.has_body = parser.get().has_content_length() || parser.chunked();
    auto& message = parser.get();
    out.method = std::string(message.method_string());
    if (message.method() == http::verb::head)
        reply_.send_no_body();
    out.path = std::string(message.target());
    out.body = std::move(message.body());
    out.fields = std::move(message.base());
    out.facts = adapter::parse_request_headers(out.fields);
    co_return true;
}

/// Reads what the caller sent ahead. An error if its connection has ended:
/// end of file if the caller closed it.
net_error caller_session::look_at_caller()
{
    if (buf_.size() >= most_ahead)
        return {};
    net_error ec;
    const std::size_t n =
        socket_.read_some(buf_.prepare(most_ahead - buf_.size()), ec);
    if (!ec)
        buf_.commit(n);
    return is_nothing_yet(ec) ? net_error() : ec;
}

void caller_session::on_readable(const exchange_ptr& course)
{
    if (const net_error ended = look_at_caller())
        course->stop_without_caller(ended);
    else if (buf_.size() < most_ahead)
        watch_caller(course);
}

void caller_session::watch_caller(const exchange_ptr& course)
{
    socket_.async_wait(tcp::socket::wait_read,
                       [weak = weak_from_this(),
                        of = std::weak_ptr<exchange>(course)](net_error ec) {
                           const auto self = weak.lock();
                           const auto running = of.lock();
                           if (!ec && self && running && self->serving_)
                               self->on_readable(running);
                       });
}

/// An answer that wasn't delivered though the caller wasn't seen to leave is
/// a failure of this node or of the way to the caller.
void caller_session::note_end(const caller_request& request,
                              const exchange& course) const
{
    if (reply_.finished() || course.caller_end())
        return;
    const duration took = tables_.now() - request.arrived;
    telemetry::log_event(
        telemetry::event::answer_undelivered,
        {{"id", request.facts.id},
         {"answer", reply_.begun() ? "begun" : "none"},
         {"open", socket_.is_open() ? "yes" : "no"},
         {"error", end_text(reply_.failure())},
         {"lag_ms", milliseconds_text(tables_.lag.at(tables_.now()))},
         {"ms", milliseconds_text(took)}});
}

awaitable<void> caller_session::serve(caller_request request)
{
    const auto course = std::make_shared<exchange>(tables_.io, tables_.time);
    serving_ = true;
    ++server_.served_now_;
    server_.body_bytes_ += request.body.size();
    // A caller that doesn't take its answer holds a write up; giving the
    // request up ends that too.
    course->on_stop([weak = weak_from_this()](stop_reason why) {
        const auto self = weak.lock();
        if (!self || why == stop_reason::silent)
            return;
        if (self->reply_.is_writing())
            self->close();
        else if (why == stop_reason::caller_left)
            self->limit_->close_after(last_delivery);
    });
    course->on_look([this, weak = std::weak_ptr<exchange>(course)] {
        const auto running = weak.lock();
        const net_error ended = running ? look_at_caller() : net_error();
        if (ended)
            running->stop_without_caller(ended);
    });
    watch_caller(course);
    tables_.requests_taken.add(1, tables_.now());
    co_await server_.driver_.serve(request, reply_, course);
    note_end(request, *course);
    course->end();
    net_error ec;
    socket_.cancel(ec);
    server_.body_bytes_ -= request.body.size();
    --server_.served_now_;
    serving_ = false;
}

awaitable<void> caller_session::run(std::shared_ptr<caller_session> session)
{
    co_await session->serve_requests();
}

awaitable<void> caller_session::serve_requests()
{
    guard_silence(socket_, silence_limit);
    limit_.emplace(std::shared_ptr<tcp::socket>(shared_from_this(), &socket_));
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
        request.dialed = std::exchange(first_, false);
        if (server_.leaving_)
            reply_.close_after();
        if (const char* reason = server_.reason_to_refuse(request)) {
            telemetry::log_event(telemetry::event::request_refused,
                                 {{"id", request.facts.id},
                                  {"outcome", "503"},
                                  {"reason", reason}});
            own_answer answer{503, request.facts.id, come_back, reason};
            (void)co_await reply_.send_own(answer);
        } else {
            co_await serve(std::move(request));
        }
        if (!reply_.finished() || reply_.closes())
            break;
    }
    limit_->clear();
    // Unread bytes would turn the end into a reset, which may take the last
    // answer with it.
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    if (reply_.closes() && reply_.finished()) {
        char rest[1024];
        while (socket_.read_some(asio::buffer(rest), ec) > 0 && !ec) {
        }
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
    if (auto ok = listen_on(acceptor_, address); !ok)
        return ok;
    spawn(tables_.io, accept());
    return {};
}

/// Null if the request may be taken.
const char* caller_server::reason_to_refuse(const caller_request& request) const
{
    if (refusing_)
        return "the node leaves";
    if (tables_.news_are_late())
        return "news are late";
    const bool full = served_now_ >= limits_.requests ||
                      body_bytes_ + request.body.size() > limits_.body_bytes;
    return full ? "too much at once" : nullptr;
}

std::size_t caller_server::under_way() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        *sessions_, [](const caller_session* it) { return !it->is_idle(); }));
}

void caller_server::stop_accepting()
{
    net_error ec;
    acceptor_.close(ec);
}

void caller_server::announce_leaving()
{
    leaving_ = true;
}

void caller_server::refuse_new()
{
    refusing_ = true;
    const auto all = *sessions_;
    for (caller_session* it : all)
        it->close_if_unused();
}

void caller_server::note_not_taken(const std::string& reason) const
{
    if (!acceptor_.is_open())
        return;
    telemetry::log_event(telemetry::event::connection_not_taken,
                         {{"reason", reason},
                          {"connections", std::to_string(sessions_->size())}});
}

awaitable<void> caller_server::accept()
{
    asio::steady_timer timer(tables_.io);
    while (acceptor_.is_open()) {
        tcp::socket socket(tables_.io);
        net_error ec;
        co_await acceptor_.async_accept(socket, into(ec));
        if (ec) {
            note_not_taken(end_text(ec));
            co_await sleep_on(timer, accept_pause);
            continue;
        }
        if (sessions_->size() >= limits_.connections) {
            note_not_taken("as many as the host holds");
            socket.close(ec);
            continue;
        }
        const auto session =
            std::make_shared<caller_session>(*this, std::move(socket));
        spawn(tables_.io, caller_session::run(session));
    }
}

} // namespace fennelladder::edge
