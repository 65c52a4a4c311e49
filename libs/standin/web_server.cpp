// http::server numbers its connections; muting remembers the highest number
// given so far, so that one comparison tells whether a connection is muted. A
// muted connection keeps its thread until the server ends, as a hung one
// would.

#include "web_server.hpp"

#include "fennelladder/http/client.hpp"

#include <charconv>
#include <utility>

namespace fennelladder::standin {

namespace {

constexpr std::size_t max_body_bytes = 16'000'000;

template <class T>
T to_number(const std::string& text)
{
    T value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

std::string web_request::header(const char* name) const
{
    return std::string(from_.header(name));
}

std::string web_request::parameter(const char* name) const
{
    return from_.query(name);
}

std::uint32_t web_request::header_number(const char* name) const
{
    return to_number<std::uint32_t>(header(name));
}

std::uint64_t web_request::parameter_number(const char* name) const
{
    return to_number<std::uint64_t>(parameter(name));
}

std::string web_request::decoded_header(const char* name) const
{
    return http::decode_path(from_.header(name));
}

bool web_reply::muted() const
{
    return server_.muted(to_.connection_serial());
}

void web_reply::whole(int status, std::string_view content_type,
                      std::string_view body,
                      const std::vector<http::response_header>& fields)
{
    if (muted())
        return drop();
    to_.reply({.status = status,
               .content_type = std::string(content_type),
               .headers = fields,
               .body = std::string(body)});
}

bool web_reply::begin(int status, std::string_view content_type,
                      const std::vector<http::response_header>& fields)
{
    if (muted()) {
        drop();
        return true;
    }
    return to_.begin_stream({.status = status,
                             .content_type = std::string(content_type),
                             .headers = fields});
}

bool web_reply::chunk(std::string_view bytes)
{
    if (server_.aborting())
        return false;
    return muted() || to_.write(bytes);
}

void web_reply::finish()
{
    if (!muted())
        to_.end_stream();
}

web_server::web_server(web_server_options options, handler serve)
    : options_(std::move(options)), serve_(std::move(serve))
{
    start();
}

web_server::~web_server()
{
    abort();
}

bool web_server::started() const
{
    const std::lock_guard lock(control_mutex_);
    return server_ != nullptr;
}

std::string web_server::url() const
{
    return "http://" + options_.ip + ":" + std::to_string(options_.port);
}

void web_server::start()
{
    const std::lock_guard lock(control_mutex_);
    if (server_)
        return;
    aborting_ = false;
    muted_up_to_ = 0;
    auto made = http::server::start(
        {.listen = options_.ip + ":" + std::to_string(options_.port),
         .threads = options_.threads,
         .max_body_bytes = max_body_bytes,
         .idle_timeout = seconds(10)},
        [this](http::exchange& from) { serve(from); });
    if (!made)
        return;
    server_ = std::move(*made);
    options_.port = server_->port();
}

void web_server::abort()
{
    const std::lock_guard lock(control_mutex_);
    aborting_ = true;
    {
        const std::lock_guard hold(hold_mutex_);
        hold_.notify_all();
    }
    if (server_)
        server_->abort();
    server_.reset();
}

void web_server::mute_open_connections()
{
    const std::lock_guard lock(control_mutex_);
    if (server_)
        muted_up_to_ = server_->last_connection_serial();
}

void web_server::hold_silent()
{
    std::unique_lock lock(hold_mutex_);
    hold_.wait(lock, [this] { return aborting(); });
}

void web_server::serve(http::exchange& from)
{
    web_reply reply(*this, from);
    auto body = from.read_body();
    if (!body)
        reply.drop();
    else if (!reply.muted())
        serve_(web_request(from, std::move(*body)), reply);
    if (!reply.muted())
        return;
    hold_silent();
    reply.drop();
}

} // namespace fennelladder::standin
