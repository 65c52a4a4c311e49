// CivetWeb owns sockets, threads and parsing. One handler serves all paths;
// errors that CivetWeb reports by itself (a request that it can't parse) are
// sent as JSON as well, through its error callback.
//
// Once CivetWeb is told to stop, it writes nothing more, not even for running
// handlers, so a response in progress would be truncated. The server therefore
// drains first: it rejects new requests and waits for the handlers. CivetWeb's
// threads then check the stop flag only on socket activity or after two
// seconds. CivetWeb doesn't expose its sockets, so they are shut down through
// their file descriptors to wake the threads.

#include "fennelladder/http/server.hpp"

#include "fennelladder/http/client.hpp"

#include <array>
#include <cassert>
#include <civetweb.h>
#include <cstdlib>
#include <filesystem>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>

namespace fennelladder::http {

namespace {

constexpr std::size_t read_block_bytes = 16'384;
constexpr int handled = 1;

void initialize_civetweb()
{
    static std::once_flag once;
    std::call_once(once, [] { mg_init_library(MG_FEATURES_DEFAULT); });
}

std::string milliseconds_text(duration length)
{
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(length).count());
}

// Sends a response of the server itself and closes the connection.
void send_and_close(mg_connection* connection, int status,
                    const std::string& body)
{
    mg_disable_connection_keep_alive(connection);
    mg_printf(connection,
              "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
              "X-Request-Ran: no\r\nConnection: close\r\n"
              "Content-Length: %zu\r\n\r\n%s",
              status, mg_get_response_code_text(connection, status),
              body.size(), body.c_str());
}

int on_http_error(mg_connection* connection, int status, const char*)
{
    send_and_close(
        connection, status,
        R"({"error":{"code":"bad_request","message":"the request can't be )"
        R"(read"},"outcome":"not_run"})");
    return 0;
}

void send_draining(mg_connection* connection)
{
    constexpr int service_unavailable = 503;
    send_and_close(connection, service_unavailable,
                   R"({"error":{"code":"draining","message":"this server )"
                   R"(stops"},"outcome":"not_run"})");
}

std::string format_header(mg_connection* connection,
                          const server_response& head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text += mg_get_response_code_text(connection, head.status);
    text += "\r\nContent-Type: " + head.content_type + "\r\n";
    for (const response_header& it : head.headers)
        text += it.name + ": " + it.value + "\r\n";
    return text;
}

// The local port of a socket of this process; 0 if `fd` is no IP socket.
int local_port(int fd)
{
    sockaddr_storage at{};
    socklen_t n = sizeof(at);
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&at), &n) != 0)
        return 0;
    if (at.ss_family == AF_INET)
        return ntohs(reinterpret_cast<sockaddr_in*>(&at)->sin_port);
    if (at.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<sockaddr_in6*>(&at)->sin6_port);
    return 0;
}

} // namespace

std::string decode_path(std::string_view text)
{
    std::string out(text.size() + 1, '\0');
    const int n = mg_url_decode(text.data(), static_cast<int>(text.size()),
                                out.data(), static_cast<int>(out.size()), 0);
    out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return out;
}

exchange::exchange(mg_connection* connection, const server_options& options)
    : connection_(connection), options_(options)
{}

std::string_view exchange::method() const
{
    return mg_get_request_info(connection_)->request_method;
}

std::string_view exchange::path() const
{
    return mg_get_request_info(connection_)->local_uri;
}

std::string exchange::raw_path() const
{
    return decode_path(mg_get_request_info(connection_)->request_uri);
}

std::string_view exchange::header(const char* name) const
{
    const char* value = mg_get_header(connection_, name);
    return value == nullptr ? std::string_view() : std::string_view(value);
}

std::string exchange::query(const char* name) const
{
    const char* text = mg_get_request_info(connection_)->query_string;
    if (text == nullptr)
        return {};
    std::string value(std::char_traits<char>::length(text) + 1, '\0');
    const int n =
        mg_get_var(text, value.size() - 1, name, value.data(), value.size());
    value.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return value;
}

result<std::string> exchange::read_body()
{
    const long long announced =
        mg_get_request_info(connection_)->content_length;
    const auto limit = static_cast<long long>(options_.max_body_bytes);
    if (announced > limit)
        return fail(error_code::too_large, "body over the limit");
    std::string body;
    std::array<char, read_block_bytes> buf{};
    while (true) {
        const int n = mg_read(connection_, buf.data(), buf.size());
        if (n < 0)
            return fail(error_code::invalid, "the body could not be read");
        if (n == 0)
            break;
        body.append(buf.data(), static_cast<std::size_t>(n));
        if (body.size() > options_.max_body_bytes)
            return fail(error_code::too_large, "body over the limit");
    }
    if (announced > 0 && body.size() != static_cast<std::size_t>(announced))
        return fail(error_code::invalid, "the body ended early");
    return body;
}

void exchange::reply(const server_response& what)
{
    assert(!answered_);
    answered_ = true;
    std::string text = format_header(connection_, what);
    text += "Content-Length: " + std::to_string(what.body.size()) + "\r\n\r\n";
    text += what.body;
    mg_write(connection_, text.data(), text.size());
}

bool exchange::begin_stream(const server_response& head)
{
    assert(!answered_);
    answered_ = true;
    streaming_ = true;
    std::string text = format_header(connection_, head);
    text += "Transfer-Encoding: chunked\r\n\r\n";
    return mg_write(connection_, text.data(), text.size()) > 0;
}

bool exchange::write(std::string_view bytes)
{
    assert(streaming_);
    if (bytes.empty())
        return true;
    return mg_send_chunk(connection_, bytes.data(),
                         static_cast<unsigned int>(bytes.size())) > 0;
}

bool exchange::end_stream()
{
    assert(streaming_);
    streaming_ = false;
    return mg_send_chunk(connection_, "", 0) >= 0;
}

void exchange::drop()
{
    answered_ = true;
    dropped_ = true;
}

std::uint64_t exchange::connection_serial() const
{
    return reinterpret_cast<std::uintptr_t>(
        mg_get_user_connection_data(connection_));
}

server::server(server_options options, handler serve)
    : options_(std::move(options)), serve_(std::move(serve))
{}

int server::on_request(mg_connection* connection, void* self)
{
    auto& it = *static_cast<server*>(self);
    {
        const std::lock_guard lock(it.mutex_);
        if (it.draining_) {
            send_draining(connection);
            return handled;
        }
        ++it.running_;
    }
    it.serve(connection);
    const std::lock_guard lock(it.mutex_);
    if (--it.running_ == 0)
        it.idle_.notify_all();
    return handled;
}

void server::serve(mg_connection* connection)
{
    exchange current(connection, options_);
    serve_(current);
    if (!current.answered())
        current.reply({.status = 500});
    // Closes the connection if the handler didn't end a chunked response: on
    // a keep-alive connection the caller would wait for the rest until the
    // idle timeout instead of seeing the truncation at once.
    if (current.streaming_ || current.dropped_)
        mg_disable_connection_keep_alive(connection);
}

// Stores the serial number itself as the connection's user data: CivetWeb
// doesn't report the end of every connection, so allocated data would leak.
int server::on_connection(const mg_connection* connection, void** data)
{
    auto& it =
        *static_cast<server*>(mg_get_user_data(mg_get_context(connection)));
    const std::uintptr_t serial = ++it.last_serial_;
    // NOLINTNEXTLINE(performance-no-int-to-ptr)
    *data = reinterpret_cast<void*>(serial);
    return 0;
}

result<std::unique_ptr<server>> server::start(server_options options,
                                              handler serve)
{
    initialize_civetweb();
    std::unique_ptr<server> it(
        new server(std::move(options), std::move(serve)));
    const server_options& use = it->options_;
    const std::string threads = std::to_string(use.threads);
    const std::string head = std::to_string(use.max_head_bytes);
    const std::string write = milliseconds_text(use.write_timeout);
    const std::string idle = milliseconds_text(use.idle_timeout);
    const std::array<const char*, 19> settings{"listening_ports",
                                               use.listen.c_str(),
                                               "num_threads",
                                               threads.c_str(),
                                               "max_request_size",
                                               head.c_str(),
                                               "request_timeout_ms",
                                               write.c_str(),
                                               "keep_alive_timeout_ms",
                                               idle.c_str(),
                                               "enable_keep_alive",
                                               "yes",
                                               "tcp_nodelay",
                                               "1",
                                               "listen_backlog",
                                               "1024",
                                               "connection_queue",
                                               "1024",
                                               nullptr};
    mg_callbacks callbacks{};
    callbacks.http_error = on_http_error;
    callbacks.init_connection = on_connection;
    it->context_ = mg_start(&callbacks, it.get(),
                            const_cast<const char**>(settings.data()));
    if (it->context_ == nullptr)
        return fail(error_code::unavailable, "can't listen on " + use.listen);
    mg_server_port port{};
    mg_get_server_ports(it->context_, 1, &port);
    it->port_ = port.port;
    mg_set_request_handler(it->context_, "/", on_request, it.get());
    return it;
}

void shut_down_port(int port)
{
    std::error_code ec;
    std::filesystem::directory_iterator it("/proc/self/fd", ec);
    for (; !ec && it != std::filesystem::directory_iterator();
         it.increment(ec)) {
        const int fd = std::atoi(it->path().filename().c_str());
        // Outgoing connections have other local ports.
        if (local_port(fd) == port)
            shutdown(fd, SHUT_RDWR);
    }
}

server::~server()
{
    if (stopper_.joinable())
        stopper_.join();
    drain();
    stop();
}

void server::abort()
{
    const std::lock_guard lock(mutex_);
    if (aborting_.exchange(true))
        return;
    shut_down_port(port_);
    // CivetWeb must stop at once: its listener loops without pause on a
    // socket that was shut down.
    stopper_ = std::thread([this] { stop(); });
}

void server::drain()
{
    std::unique_lock lock(mutex_);
    draining_ = true;
    idle_.wait(lock, [this] { return running_ == 0; });
}

void server::stop()
{
    if (context_ == nullptr)
        return;
    std::atomic<bool> stopped = false;
    std::thread waker([&] {
        while (!stopped) {
            shut_down_port(port_);
            std::this_thread::sleep_for(milliseconds(2));
        }
    });
    mg_stop(context_);
    stopped = true;
    waker.join();
    context_ = nullptr;
}

std::string server::address() const
{
    const auto colon = options_.listen.rfind(':');
    return options_.listen.substr(0, colon + 1) + std::to_string(port_);
}

} // namespace fennelladder::http
