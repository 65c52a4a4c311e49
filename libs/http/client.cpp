// One curl multi handle per connection, driven by the calling thread.
//
// A separate multi handle gives each call what curl's easy interface doesn't:
// waits with millisecond resolution, so that progress timeouts and the cancel
// check are exact, and a connection that is certain to be closed together with
// its handle. Idle handles are pooled by address and reused most recently used
// first; a call takes one lock to acquire a handle and one to release it.
//
// curl resends a request by itself when a reused connection closes before the
// first byte of a response. A call that must not run twice would thereby be
// executed again, so the socket callback refuses to open a new connection once
// any byte of the request was written.

#include "fennelladder/http/client.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>
#include <cctype>
#include <curl/curl.h>
#include <deque>
#include <map>
#include <mutex>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace fennelladder::http {

namespace {

using steady = std::chrono::steady_clock;

constexpr duration max_poll_wait = seconds(1);

void initialize_curl()
{
    static const CURLcode done = curl_global_init(CURL_GLOBAL_ALL);
    assert(done == CURLE_OK);
    static_cast<void>(done);
}

bool equal_names(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::string_view find_field(const std::vector<header>& headers,
                            std::string_view name)
{
    const auto it = std::ranges::find_if(headers, [&](const header& field) {
        return equal_names(field.name, name);
    });
    return it == headers.end() ? std::string_view() : it->value;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

/// RFC 9110, section 5.6.2.
bool is_token(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [&](unsigned char c) {
        return c < 128 && (std::isalnum(c) != 0 ||
                           marks.find(static_cast<char>(c)) != marks.npos);
    });
}

bool has_control_byte(std::string_view text)
{
    return std::ranges::any_of(text, [](unsigned char c) {
        return (c < 32 && c != '\t') || c == 127;
    });
}

bool is_number(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
        return std::isdigit(c) != 0;
    });
}

bool is_address(const std::string& host)
{
    in6_addr buf{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        const std::string inner = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, inner.c_str(), &buf) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &buf) == 1;
}

// "IP:PORT" of a URL, or empty if the URL is not of the supported form.
std::string authority_of(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme))
        return {};
    url.remove_prefix(scheme.size());
    std::string authority(url.substr(0, url.find_first_of("/?")));
    const auto bracket = authority.rfind(']');
    const auto colon = authority.rfind(':');
    const bool has_port = colon != std::string::npos &&
                          (bracket == std::string::npos || colon > bracket);
    if (!has_port)
        authority += ":80";
    const auto split = authority.rfind(':');
    if (!is_address(authority.substr(0, split)) ||
        !is_number(std::string_view(authority).substr(split + 1)))
        return {};
    return authority;
}

bool has_line_break(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) !=
           std::string_view::npos;
}

bool is_sendable(const request& what)
{
    const auto bad = [](const header& it) {
        return it.name.empty() || has_line_break(it.name) ||
               has_line_break(it.value);
    };
    return !what.method.empty() && !has_line_break(what.method) &&
           !has_line_break(what.url) &&
           what.url.find(' ') == std::string::npos &&
           std::ranges::none_of(what.headers, bad);
}

std::string percent_encode(std::string_view text, std::string_view unescaped)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = byte < 0x80 && (std::isalnum(byte) != 0 ||
                                           unescaped.find(c) != unescaped.npos);
        if (plain) {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4];
        out += digits[byte & 15];
    }
    return out;
}

struct list_deleter
{
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

using header_list = std::unique_ptr<curl_slist, list_deleter>;

void append(header_list& list, const std::string& line)
{
    curl_slist* longer = curl_slist_append(list.get(), line.c_str());
    assert(longer != nullptr);
    static_cast<void>(list.release());
    list.reset(longer);
}

header_list make_header_list(const request& what)
{
    header_list list;
    for (const header& it : what.headers) {
        // curl omits a header given as "Name:", and sends one given as
        // "Name;" with an empty value.
        append(list,
               it.value.empty() ? it.name + ";" : it.name + ": " + it.value);
    }
    // Waiting for "100 Continue" costs a second with servers that don't
    // support it.
    append(list, "Expect:");
    // A fresh connection serves one request. If they were kept alive, they
    // would accumulate at the server, which may hold a thread for each.
    if (what.fresh_connection)
        append(list, "Connection: close");
    if (find_field(what.headers, "Content-Type").empty())
        append(list, "Content-Type:");
    return list;
}

// A curl multi and easy handle with at most one connection.
class session
{
public:
    session() : multi_(curl_multi_init()), easy_(curl_easy_init())
    {
        assert(multi_ != nullptr && easy_ != nullptr);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 1L);
    }

    ~session()
    {
        curl_easy_cleanup(easy_);
        curl_multi_cleanup(multi_);
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    CURLM* multi() const { return multi_; }
    CURL* easy() const { return easy_; }

    steady::time_point last_used;

private:
    CURLM* multi_;
    CURL* easy_;
};

// Runs one request on one session.
class transfer_driver
{
public:
    transfer_driver(session& on, const request& what,
                    const transfer_timeouts& timeouts,
                    const client_options& options, const body_callback& on_body,
                    const head_callback& on_head, const cancel_check& canceled)
        : session_(on), request_(what), timeouts_(timeouts), options_(options),
          on_body_(on_body), on_head_(on_head), canceled_(canceled),
          headers_(make_header_list(what)), started_(steady::now()),
          last_progress_(started_)
    {}

    transfer run()
    {
        prepare();
        curl_multi_add_handle(session_.multi(), session_.easy());
        run_loop();
        update_sent();
        long connects = 0;
        curl_easy_getinfo(session_.easy(), CURLINFO_NUM_CONNECTS, &connects);
        transfer_.reused = connects == 0 && transfer_.sent;
        curl_multi_remove_handle(session_.multi(), session_.easy());
        return std::move(transfer_);
    }

private:
    template <class T>
    void set(CURLoption option, T value)
    {
        const CURLcode ec = curl_easy_setopt(session_.easy(), option, value);
        assert(ec == CURLE_OK);
        static_cast<void>(ec);
    }

    void prepare()
    {
        curl_easy_reset(session_.easy());
        set(CURLOPT_NOSIGNAL, 1L);
        set(CURLOPT_PROXY, "");
        set(CURLOPT_PROTOCOLS_STR, "http");
        set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        set(CURLOPT_URL, request_.url.c_str());
        set(CURLOPT_PATH_AS_IS, 1L);
        set(CURLOPT_HTTPHEADER, headers_.get());
        set_method();
        set(CURLOPT_WRITEFUNCTION, &transfer_driver::write);
        set(CURLOPT_WRITEDATA, this);
        set(CURLOPT_HEADERFUNCTION, &transfer_driver::head);
        set(CURLOPT_HEADERDATA, this);
        set(CURLOPT_OPENSOCKETFUNCTION, &transfer_driver::open);
        set(CURLOPT_OPENSOCKETDATA, this);
    }

    void set_method()
    {
        const bool takes_body =
            request_.method == "POST" || request_.method == "PUT";
        if (takes_body || !request_.body.empty()) {
            set(CURLOPT_POSTFIELDSIZE_LARGE,
                static_cast<curl_off_t>(request_.body.size()));
            set(CURLOPT_POSTFIELDS, request_.body.data());
        } else if (request_.method == "HEAD") {
            set(CURLOPT_NOBODY, 1L);
        }
        set(CURLOPT_CUSTOMREQUEST, request_.method.c_str());
    }

    void run_loop()
    {
        while (true) {
            int running = 0;
            curl_multi_perform(session_.multi(), &running);
            if (running == 0)
                return finish();
            update_sent();
            const auto now = steady::now();
            const duration left = time_left(now);
            if (left <= duration(0))
                return end_on_timeout();
            if (canceled_ && canceled_())
                return end(transfer_outcome::canceled,
                           "canceled by the caller");
            wait(left);
        }
    }

    void wait(duration left)
    {
        duration length = std::min(left, max_poll_wait);
        if (canceled_)
            length = std::min(length, options_.cancel_interval);
        const auto ms = std::chrono::ceil<milliseconds>(length).count();
        curl_multi_poll(session_.multi(), nullptr, 0, static_cast<int>(ms),
                        nullptr);
    }

    void update_sent()
    {
        if (transfer_.sent)
            return;
        long bytes = 0;
        curl_easy_getinfo(session_.easy(), CURLINFO_REQUEST_SIZE, &bytes);
        if (bytes == 0)
            return;
        transfer_.sent = true;
        last_progress_ = steady::now();
    }

    // The timeout of the current phase: connect, first byte or between bytes.
    duration progress_timeout() const
    {
        if (!transfer_.sent)
            return timeouts_.connect;
        return received_ ? timeouts_.between_bytes : timeouts_.first_byte;
    }

    duration time_left(steady::time_point now) const
    {
        duration left = duration::max();
        if (progress_timeout() > duration(0))
            left = last_progress_ + progress_timeout() - now;
        if (timeouts_.total > duration(0))
            left = std::min<duration>(left, started_ + timeouts_.total - now);
        return left;
    }

    void end_on_timeout()
    {
        if (transfer_.sent)
            return end(transfer_outcome::silent,
                       received_
                           ? "no further response bytes before the timeout"
                           : "no response before the timeout");
        end(transfer_outcome::not_connected,
            "no connection before the timeout");
    }

    void end(transfer_outcome outcome, std::string message)
    {
        transfer_.outcome = outcome;
        transfer_.message = std::move(message);
    }

    void finish()
    {
        int queued = 0;
        const CURLMsg* message =
            curl_multi_info_read(session_.multi(), &queued);
        assert(message != nullptr && message->msg == CURLMSG_DONE);
        const CURLcode ec = message->data.result;
        update_sent();
        if (ec == CURLE_OK)
            return finish_whole();
        if (malformed_ != nullptr)
            return end(transfer_outcome::broken,
                       std::string("malformed response: ") + malformed_);
        if (stopped_)
            return end(transfer_outcome::stopped,
                       "stopped by the body or head callback");
        end(transfer_.sent ? transfer_outcome::broken
                           : transfer_outcome::not_connected,
            curl_easy_strerror(ec));
    }

    // A response that is delimited only by the closing of the connection can't
    // be told from a truncated one, so it doesn't count as complete. Nor does
    // one that ends inside its head, after a length of 0.
    void finish_whole()
    {
        if (!has_head_)
            return end(transfer_outcome::broken, "incomplete head");
        const bool bodiless = request_.method == "HEAD" ||
                              transfer_.status == 204 ||
                              transfer_.status == 304;
        const bool framed = !transfer_.field("Content-Length").empty() ||
                            !transfer_.field("Transfer-Encoding").empty();
        if (bodiless || framed)
            return end(transfer_outcome::complete, {});
        end(transfer_outcome::broken,
            "response without Content-Length or Transfer-Encoding");
    }

    bool receive_header_line(std::string_view line)
    {
        received_ = true;
        if (line.starts_with("HTTP/")) {
            transfer_.headers.clear();
            transfer_.status = 0;
            has_head_ = false;
            return true;
        }
        const std::string_view text = trim(line);
        if (text.empty())
            return finish_header();
        const auto colon = std::min(line.find(':'), line.size());
        if (!is_token(line.substr(0, colon)) || colon == line.size())
            return refuse("a field's name");
        const std::string_view value = trim(line.substr(colon + 1));
        if (has_control_byte(value))
            return refuse("a field's value");
        transfer_.headers.push_back(
            {std::string(line.substr(0, colon)), std::string(value)});
        return true;
    }

    // Ends the transfer. curl accepts more than two parties agree on.
    bool refuse(const char* what)
    {
        malformed_ = what;
        return false;
    }

    bool has_sound_framing() const
    {
        std::string_view length;
        int codings = 0;
        for (const header& it : transfer_.headers) {
            if (equal_names(it.name, "Transfer-Encoding")) {
                ++codings;
                if (!equal_names(it.value, "chunked"))
                    return false;
            } else if (equal_names(it.name, "Content-Length")) {
                if (!length.empty() && length != it.value)
                    return false;
                length = it.value;
            }
        }
        return codings == 0 || (codings == 1 && length.empty());
    }

    bool finish_header()
    {
        long code = 0;
        curl_easy_getinfo(session_.easy(), CURLINFO_RESPONSE_CODE, &code);
        transfer_.status = static_cast<int>(code);
        if (code < 100 || code > 599 || code == 101)
            return refuse("the status");
        if (!has_sound_framing())
            return refuse("the framing");
        has_head_ = code >= 200;
        return !has_head_ || !on_head_ || on_head_(transfer_);
    }

    bool receive_body(std::string_view bytes)
    {
        received_ = true;
        transfer_.body_bytes += bytes.size();
        return on_body_(bytes);
    }

    // Restarts the progress timeout, so that the time spent in a callback
    // doesn't count as time without bytes from the server.
    std::size_t finish_callback(bool keep_going, std::size_t n)
    {
        last_progress_ = steady::now();
        stopped_ = !keep_going;
        return keep_going ? n : 0;
    }

    static std::size_t write(char* data, std::size_t size, std::size_t n,
                             void* self)
    {
        auto& it = *static_cast<transfer_driver*>(self);
        return it.finish_callback(it.receive_body({data, size * n}), size * n);
    }

    static std::size_t head(char* data, std::size_t size, std::size_t n,
                            void* self)
    {
        auto& it = *static_cast<transfer_driver*>(self);
        return it.finish_callback(it.receive_header_line({data, size * n}),
                                  size * n);
    }

    // Prevents a second execution: see the comment at the top of this file.
    static curl_socket_t open(void* self, curlsocktype, curl_sockaddr* address)
    {
        auto& it = *static_cast<transfer_driver*>(self);
        it.update_sent();
        if (it.transfer_.sent)
            return CURL_SOCKET_BAD;
        return socket(address->family, address->socktype | SOCK_CLOEXEC,
                      address->protocol);
    }

    session& session_;
    const request& request_;
    const transfer_timeouts& timeouts_;
    const client_options& options_;
    const body_callback& on_body_;
    const head_callback& on_head_;
    const cancel_check& canceled_;
    header_list headers_;
    steady::time_point started_;
    steady::time_point last_progress_;
    transfer transfer_;
    bool received_ = false;           // Any byte of a response arrived.
    bool has_head_ = false;           // Of a final response, to its end.
    bool stopped_ = false;            // A body or head callback returned false.
    const char* malformed_ = nullptr; // What of the response; null if nothing.
};

} // namespace

std::string_view to_string(transfer_outcome outcome)
{
    switch (outcome) {
    case transfer_outcome::complete:
        return "complete";
    case transfer_outcome::stopped:
        return "stopped";
    case transfer_outcome::canceled:
        return "canceled";
    case transfer_outcome::not_connected:
        return "not_connected";
    case transfer_outcome::silent:
        return "silent";
    case transfer_outcome::broken:
        return "broken";
    case transfer_outcome::invalid:
        break;
    }
    return "invalid";
}

std::string_view transfer::field(std::string_view name) const
{
    return find_field(headers, name);
}

std::string_view response::field(std::string_view name) const
{
    return find_field(headers, name);
}

error transfer::to_error() const
{
    assert(!complete());
    const std::string text = std::string(to_string(outcome)) + ": " + message;
    if (outcome == transfer_outcome::invalid)
        return {error_code::invalid, text};
    if (sent)
        return {error_code::ambiguous, text};
    if (outcome == transfer_outcome::canceled)
        return {error_code::canceled, text};
    return {error_code::unavailable, text};
}

// Idle sessions by address, the most recently used at the back. Invariant: no
// request runs on a session in the pool.
class client::connection_pool
{
public:
    explicit connection_pool(const client_options& options) : options_(options)
    {}

    std::unique_ptr<session> acquire(const std::string& address, bool fresh)
    {
        if (fresh)
            return std::make_unique<session>();
        const std::lock_guard lock(mutex_);
        auto& idle = idle_[address];
        close_expired(idle);
        if (idle.empty())
            return std::make_unique<session>();
        auto taken = std::move(idle.back());
        idle.pop_back();
        return taken;
    }

    void give_back(const std::string& address, std::unique_ptr<session> used)
    {
        used->last_used = steady::now();
        const std::lock_guard lock(mutex_);
        auto& idle = idle_[address];
        idle.push_back(std::move(used));
        close_expired(idle);
        while (idle.size() > options_.max_idle_per_address)
            idle.pop_front();
    }

    void clear()
    {
        const std::lock_guard lock(mutex_);
        idle_.clear();
    }

private:
    void close_expired(std::deque<std::unique_ptr<session>>& idle) const
    {
        const auto oldest = steady::now() - options_.max_idle_time;
        while (!idle.empty() && idle.front()->last_used < oldest)
            idle.pop_front();
    }

    const client_options& options_;
    std::mutex mutex_;
    std::map<std::string, std::deque<std::unique_ptr<session>>> idle_;
};

client::client(client_options options)
    : options_(options), pool_(std::make_unique<connection_pool>(options_))
{
    initialize_curl();
}

client::~client() = default;

transfer client::stream(const request& what, const transfer_timeouts& timeouts,
                        const body_callback& on_body,
                        const head_callback& on_head,
                        const cancel_check& canceled)
{
    transfer end;
    const std::string address = authority_of(what.url);
    if (address.empty() || !is_sendable(what)) {
        end.message = "can't send " + what.method + " to " + what.url;
        return end;
    }
    auto on = pool_->acquire(address, what.fresh_connection);
    end = transfer_driver(*on, what, timeouts, options_, on_body, on_head,
                          canceled)
              .run();
    // After any other outcome the state of the connection is unknown: it is
    // closed here together with the session, also after a timeout.
    if (end.complete() && !what.fresh_connection)
        pool_->give_back(address, std::move(on));
    return end;
}

result<response> client::fetch(const request& what,
                               const transfer_timeouts& timeouts)
{
    response received;
    const auto append_body = [&](std::string_view bytes) {
        received.body += bytes;
        return received.body.size() <= options_.max_body_bytes;
    };
    transfer end = stream(what, timeouts, append_body);
    if (end.outcome == transfer_outcome::stopped)
        return fail(error_code::too_large,
                    "response body over the limit from " + what.url);
    if (!end.complete())
        return tl::unexpected(end.to_error());
    received.status = end.status;
    received.headers = std::move(end.headers);
    return received;
}

void client::close_idle_connections()
{
    pool_->clear();
}

std::string encode_path(std::string_view text)
{
    return percent_encode(text, "-._~/");
}

std::string encode_query(std::string_view text)
{
    return percent_encode(text, "-._~");
}

} // namespace fennelladder::http
