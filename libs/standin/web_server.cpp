// CivetWeb serves each connection on one thread of its pool. A connection gets
// a serial number when it is accepted; muting remembers the highest one given
// so far, so that one comparison tells whether a connection is muted. A muted
// connection keeps its thread until the server ends, as a hung one would.

#include "web_server.hpp"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <charconv>
#include <civetweb.h>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>

namespace fennelladder::standin {

namespace {

constexpr std::size_t max_body_bytes = 16'000'000;
constexpr int closes_connection = 500;

std::string lower(std::string_view text)
{
    std::string out;
    for (const unsigned char c : text)
        out += static_cast<char>(std::tolower(c));
    return out;
}

std::string decode(std::string_view text, bool form)
{
    std::string out(text.size() + 1, '\0');
    const int n =
        mg_url_decode(text.data(), static_cast<int>(text.size()), out.data(),
                      static_cast<int>(out.size()), form ? 1 : 0);
    out.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
    return out;
}

std::map<std::string, std::string> decode_query(std::string_view text)
{
    std::map<std::string, std::string> out;
    while (!text.empty()) {
        const auto part = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
        const auto split = part.find('=');
        if (split != std::string_view::npos)
            out[decode(part.substr(0, split), true)] =
                decode(part.substr(split + 1), true);
    }
    return out;
}

bool read_body(mg_connection* from, std::string& body)
{
    char buf[16'384];
    while (true) {
        const int n = mg_read(from, buf, sizeof(buf));
        if (n == 0)
            return true;
        if (n < 0 || body.size() + static_cast<std::size_t>(n) > max_body_bytes)
            return false;
        body.append(buf, static_cast<std::size_t>(n));
    }
}

web_request make_request(mg_connection* from)
{
    const mg_request_info& info = *mg_get_request_info(from);
    web_request out;
    out.method = info.request_method;
    out.path = decode(info.request_uri, false);
    if (info.query_string != nullptr)
        out.query = decode_query(info.query_string);
    for (int n = 0; n < info.num_headers; ++n)
        out.headers[lower(info.http_headers[n].name)] =
            info.http_headers[n].value;
    return out;
}

std::string find(const std::map<std::string, std::string>& in,
                 const std::string& name)
{
    const auto it = in.find(name);
    return it == in.end() ? std::string() : it->second;
}

template <class T>
T to_number(const std::string& text)
{
    T value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string make_head(int status, std::string_view content_type,
                      const std::vector<web_reply::field>& fields)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
    if (!content_type.empty())
        head += "Content-Type: " + std::string(content_type) + "\r\n";
    for (const auto& it : fields)
        head += it.name + ": " + it.value + "\r\n";
    return head;
}

// The port that a socket of this process is bound to; 0 if there is none.
int local_port(int fd)
{
    sockaddr_in at{};
    socklen_t n = sizeof(at);
    const bool ok = getsockname(fd, reinterpret_cast<sockaddr*>(&at), &n) == 0;
    return ok && at.sin_family == AF_INET ? ntohs(at.sin_port) : 0;
}

// Shuts down the listening socket of `port` and every connection accepted
// there, as the end of a process does. CivetWeb looks at its stop flag only
// when a socket stirs or two seconds have passed, and it doesn't hand out its
// sockets, so they are found among the process's own descriptors.
void shut_down_sockets(int port)
{
    std::error_code ec;
    std::filesystem::directory_iterator it("/proc/self/fd", ec);
    for (; !ec && it != std::filesystem::directory_iterator();
         it.increment(ec)) {
        const int fd = std::atoi(it->path().filename().c_str());
        if (local_port(fd) == port)
            shutdown(fd, SHUT_RDWR);
    }
}

} // namespace

std::string web_request::header(const std::string& lower_case_name) const
{
    return find(headers, lower_case_name);
}

std::uint32_t
web_request::header_number(const std::string& lower_case_name) const
{
    return to_number<std::uint32_t>(header(lower_case_name));
}

std::uint64_t web_request::parameter_number(const std::string& name) const
{
    return to_number<std::uint64_t>(parameter(name));
}

std::string
web_request::decoded_header(const std::string& lower_case_name) const
{
    return decode(header(lower_case_name), false);
}

std::string web_request::parameter(const std::string& name) const
{
    return find(query, name);
}

bool web_reply::write(std::string_view bytes)
{
    if (server_.aborting())
        return false;
    if (server_.muted(serial_))
        return true;
    return mg_write(to_, bytes.data(), bytes.size()) ==
           static_cast<int>(bytes.size());
}

void web_reply::whole(int status, std::string_view content_type,
                      std::string_view body, const std::vector<field>& fields)
{
    std::string out = make_head(status, content_type, fields);
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    answered_ = write(out);
}

bool web_reply::begin(int status, std::string_view content_type,
                      const std::vector<field>& fields)
{
    std::string out = make_head(status, content_type, fields);
    out += "Transfer-Encoding: chunked\r\n\r\n";
    return write(out);
}

bool web_reply::chunk(std::string_view bytes)
{
    char size[20];
    const int n = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    std::string out(size, static_cast<std::size_t>(n));
    out += bytes;
    out += "\r\n";
    return write(out);
}

void web_reply::finish()
{
    answered_ = write("0\r\n\r\n");
}

// What CivetWeb calls back.
struct web_callbacks
{
    static web_server& owner(const mg_connection* from)
    {
        return *static_cast<web_server*>(
            mg_get_user_data(mg_get_context(from)));
    }

    static int begin_request(mg_connection* from)
    {
        return owner(from).serve(from);
    }

    // The serial number itself is the connection's data: CivetWeb doesn't
    // tell of the end of every connection, so nothing may hang on it.
    static int init_connection(const mg_connection* from, void** data)
    {
        const std::uintptr_t serial = ++owner(from).last_serial_;
        // NOLINTNEXTLINE(performance-no-int-to-ptr)
        *data = reinterpret_cast<void*>(serial);
        return 0;
    }

    static int log_message(const mg_connection*, const char*) { return 1; }
};

web_server::web_server(web_server_options options, handler serve)
    : options_(std::move(options)), serve_(std::move(serve))
{
    static const unsigned features = mg_init_library(0);
    static_cast<void>(features);
    start();
}

web_server::~web_server()
{
    abort();
}

std::string web_server::url() const
{
    return "http://" + options_.ip + ":" + std::to_string(options_.port);
}

void web_server::start()
{
    const std::lock_guard lock(control_mutex_);
    if (started())
        return;
    aborting_ = false;
    const std::string port = options_.ip + ":" + std::to_string(options_.port);
    const std::string threads = std::to_string(options_.threads);
    const char* settings[] = {"listening_ports",
                              port.c_str(),
                              "num_threads",
                              threads.c_str(),
                              "enable_keep_alive",
                              "yes",
                              "keep_alive_timeout_ms",
                              "10000",
                              "request_timeout_ms",
                              "10000",
                              "tcp_nodelay",
                              "1",
                              nullptr};
    mg_callbacks callbacks{};
    callbacks.begin_request = web_callbacks::begin_request;
    callbacks.init_connection = web_callbacks::init_connection;
    callbacks.log_message = web_callbacks::log_message;
    context_ = mg_start(&callbacks, this, settings);
    if (context_ == nullptr)
        return;
    mg_server_port bound{};
    const int n = mg_get_server_ports(context_, 1, &bound);
    assert(n == 1);
    static_cast<void>(n);
    options_.port = bound.port;
}

void web_server::abort()
{
    const std::lock_guard lock(control_mutex_);
    aborting_ = true;
    {
        const std::lock_guard hold(hold_mutex_);
        hold_.notify_all();
    }
    if (!started())
        return;
    std::atomic<bool> stopped = false;
    std::thread waker([&] {
        while (!stopped) {
            shut_down_sockets(options_.port);
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    });
    mg_stop(context_);
    stopped = true;
    waker.join();
    context_ = nullptr;
}

void web_server::mute_open_connections()
{
    muted_up_to_ = last_serial_.load();
}

void web_server::hold_silent()
{
    std::unique_lock lock(hold_mutex_);
    hold_.wait(lock, [this] { return aborting(); });
}

int web_server::serve(mg_connection* from)
{
    const auto serial =
        reinterpret_cast<std::uintptr_t>(mg_get_user_connection_data(from));
    web_request ask = make_request(from);
    web_reply reply(*this, from, serial);
    if (!read_body(from, ask.body))
        reply.drop();
    else if (!muted(serial))
        serve_(ask, reply);
    if (muted(serial))
        hold_silent();
    if (!reply.answered_ || reply.dropped_ || muted(serial))
        mg_disable_connection_keep_alive(from);
    return reply.answered_ ? 200 : closes_connection;
}

} // namespace fennelladder::standin
