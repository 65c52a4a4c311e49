// One curl multi handle per connection, driven by the thread that asks.
//
// A multi handle of its own gives each call what curl's easy interface
// doesn't: waits in milliseconds, so that progress deadlines and the cancel
// check are exact, and a connection that is surely thrown away with it. Idle
// handles wait in a pool by address, last used first; a call costs one lock
// to take a handle and one to give it back.
//
// curl resends a request by itself when a kept connection closes before the
// first byte of an answer. For a call that must not run twice that would be a
// second execution, so the socket callback refuses a new connection as soon as
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

constexpr duration longest_wait = seconds(1);

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

// "IP:PORT" of a URL, or empty if it isn't of the form that we take.
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

std::string encode(std::string_view text, std::string_view kept)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = byte < 0x80 && (std::isalnum(byte) != 0 ||
                                           kept.find(c) != kept.npos);
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
        // curl drops a field that ends in its colon, and sends one that ends
        // in a semicolon with an empty value.
        append(list,
               it.value.empty() ? it.name + ";" : it.name + ": " + it.value);
    }
    // Waiting for "100 Continue" costs a second where it isn't known.
    append(list, "Expect:");
    // A fresh connection serves one request. Kept ones would add up at the
    // other side, which may hold a thread for each.
    if (what.fresh_connection)
        append(list, "Connection: close");
    if (find_field(what.headers, "Content-Type").empty())
        append(list, "Content-Type:");
    return list;
}

// One curl handle pair with at most one connection.
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

// One request on one session.
class exchange
{
public:
    exchange(session& on, const request& what, const transfer_timeouts& limits,
             const client_options& options, const body_callback& on_body,
             const head_callback& on_head, const cancel_check& canceled)
        : session_(on), what_(what), limits_(limits), options_(options),
          on_bytes_(on_body), on_head_(on_head), canceled_(canceled),
          headers_(make_header_list(what)), started_(steady::now()),
          last_progress_(started_)
    {}

    transfer run()
    {
        prepare();
        curl_multi_add_handle(session_.multi(), session_.easy());
        drive();
        note_sent();
        long connects = 0;
        curl_easy_getinfo(session_.easy(), CURLINFO_NUM_CONNECTS, &connects);
        so_far_.reused = connects == 0 && so_far_.sent;
        curl_multi_remove_handle(session_.multi(), session_.easy());
        return std::move(so_far_);
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
        set(CURLOPT_URL, what_.url.c_str());
        set(CURLOPT_PATH_AS_IS, 1L);
        set(CURLOPT_HTTPHEADER, headers_.get());
        set_method();
        set(CURLOPT_WRITEFUNCTION, &exchange::write);
        set(CURLOPT_WRITEDATA, this);
        set(CURLOPT_HEADERFUNCTION, &exchange::head);
        set(CURLOPT_HEADERDATA, this);
        set(CURLOPT_OPENSOCKETFUNCTION, &exchange::open);
        set(CURLOPT_OPENSOCKETDATA, this);
    }

    void set_method()
    {
        const bool takes_body = what_.method == "POST" || what_.method == "PUT";
        if (takes_body || !what_.body.empty()) {
            set(CURLOPT_POSTFIELDSIZE_LARGE,
                static_cast<curl_off_t>(what_.body.size()));
            set(CURLOPT_POSTFIELDS, what_.body.data());
        } else if (what_.method == "HEAD") {
            set(CURLOPT_NOBODY, 1L);
        }
        set(CURLOPT_CUSTOMREQUEST, what_.method.c_str());
    }

    void drive()
    {
        while (true) {
            int running = 0;
            curl_multi_perform(session_.multi(), &running);
            if (running == 0)
                return finish();
            note_sent();
            const auto now = steady::now();
            const duration left = time_left(now);
            if (left <= duration(0))
                return expire();
            if (canceled_ && canceled_())
                return end(transfer_outcome::canceled,
                           "canceled by the caller");
            wait(left);
        }
    }

    void wait(duration left)
    {
        duration length = std::min(left, longest_wait);
        if (canceled_)
            length = std::min(length, options_.cancel_interval);
        const auto ms = std::chrono::ceil<milliseconds>(length).count();
        curl_multi_poll(session_.multi(), nullptr, 0, static_cast<int>(ms),
                        nullptr);
    }

    void note_sent()
    {
        if (so_far_.sent)
            return;
        long bytes = 0;
        curl_easy_getinfo(session_.easy(), CURLINFO_REQUEST_SIZE, &bytes);
        if (bytes == 0)
            return;
        so_far_.sent = true;
        last_progress_ = steady::now();
    }

    // Which of the progress deadlines runs now.
    duration progress_limit() const
    {
        if (!so_far_.sent)
            return limits_.connect;
        return received_ ? limits_.between_bytes : limits_.first_byte;
    }

    duration time_left(steady::time_point now) const
    {
        duration left = duration::max();
        if (progress_limit() > duration(0))
            left = last_progress_ + progress_limit() - now;
        if (limits_.total > duration(0))
            left = std::min<duration>(left, started_ + limits_.total - now);
        return left;
    }

    void expire()
    {
        if (so_far_.sent)
            return end(transfer_outcome::silent,
                       received_ ? "no bytes within deadline"
                                 : "no answer within deadline");
        end(transfer_outcome::not_connected, "no connection within deadline");
    }

    void end(transfer_outcome outcome, std::string message)
    {
        so_far_.outcome = outcome;
        so_far_.message = std::move(message);
    }

    void finish()
    {
        int queued = 0;
        const CURLMsg* message =
            curl_multi_info_read(session_.multi(), &queued);
        assert(message != nullptr && message->msg == CURLMSG_DONE);
        const CURLcode ec = message->data.result;
        note_sent();
        if (ec == CURLE_OK)
            return finish_whole();
        if (stopped_)
            return end(transfer_outcome::stopped, "stopped by the receiver");
        end(so_far_.sent ? transfer_outcome::broken
                         : transfer_outcome::not_connected,
            curl_easy_strerror(ec));
    }

    // An answer whose end is marked only by the connection's closing can't be
    // told from one that was cut, so it doesn't count as whole.
    void finish_whole()
    {
        const bool bodiless = what_.method == "HEAD" || so_far_.status == 204 ||
                              so_far_.status == 304;
        const bool framed = !so_far_.field("Content-Length").empty() ||
                            !so_far_.field("Transfer-Encoding").empty();
        if (bodiless || framed)
            return end(transfer_outcome::complete, {});
        end(transfer_outcome::broken, "answer without a length");
    }

    bool take_head_line(std::string_view line)
    {
        received_ = true;
        if (line.starts_with("HTTP/")) {
            so_far_.headers.clear();
            so_far_.status = 0;
            return true;
        }
        const std::string_view text = trim(line);
        if (text.empty())
            return take_head_end();
        const auto colon = text.find(':');
        if (colon != std::string_view::npos)
            so_far_.headers.push_back(
                {std::string(trim(text.substr(0, colon))),
                 std::string(trim(text.substr(colon + 1)))});
        return true;
    }

    bool take_head_end()
    {
        long code = 0;
        curl_easy_getinfo(session_.easy(), CURLINFO_RESPONSE_CODE, &code);
        so_far_.status = static_cast<int>(code);
        const bool interim = code < 200;
        return interim || !on_head_ || on_head_(so_far_);
    }

    bool take_bytes(std::string_view bytes)
    {
        received_ = true;
        so_far_.body_bytes += bytes.size();
        return on_bytes_(bytes);
    }

    // Time that a receiver takes must not count as the sender's silence.
    std::size_t after(bool going_on, std::size_t n)
    {
        last_progress_ = steady::now();
        stopped_ = !going_on;
        return going_on ? n : 0;
    }

    static std::size_t write(char* data, std::size_t size, std::size_t n,
                             void* self)
    {
        auto& it = *static_cast<exchange*>(self);
        return it.after(it.take_bytes({data, size * n}), size * n);
    }

    static std::size_t head(char* data, std::size_t size, std::size_t n,
                            void* self)
    {
        auto& it = *static_cast<exchange*>(self);
        return it.after(it.take_head_line({data, size * n}), size * n);
    }

    // Guards against a second execution: see the head of this file.
    static curl_socket_t open(void* self, curlsocktype, curl_sockaddr* address)
    {
        auto& it = *static_cast<exchange*>(self);
        it.note_sent();
        if (it.so_far_.sent)
            return CURL_SOCKET_BAD;
        return socket(address->family, address->socktype | SOCK_CLOEXEC,
                      address->protocol);
    }

    session& session_;
    const request& what_;
    const transfer_timeouts& limits_;
    const client_options& options_;
    const body_callback& on_bytes_;
    const head_callback& on_head_;
    const cancel_check& canceled_;
    header_list headers_;
    steady::time_point started_;
    steady::time_point last_progress_;
    transfer so_far_;
    bool received_ = false; // Any byte of an answer came.
    bool stopped_ = false;  // A receiver returned false.
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

// Idle sessions by address, the last used at the back. Invariant: a session
// in the pool carries no request.
class client::connection_pool
{
public:
    explicit connection_pool(const client_options& options) : options_(options)
    {}

    std::unique_ptr<session> take(const std::string& address, bool fresh)
    {
        if (fresh)
            return std::make_unique<session>();
        const std::lock_guard lock(mutex_);
        auto& idle = idle_[address];
        drop_stale(idle);
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
        drop_stale(idle);
        while (idle.size() > options_.max_idle_per_address)
            idle.pop_front();
    }

    void clear()
    {
        const std::lock_guard lock(mutex_);
        idle_.clear();
    }

private:
    void drop_stale(std::deque<std::unique_ptr<session>>& idle) const
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

transfer client::stream(const request& what, const transfer_timeouts& limits,
                        const body_callback& on_body,
                        const head_callback& on_head,
                        const cancel_check& canceled)
{
    transfer end;
    const std::string address = authority_of(what.url);
    if (address.empty() || !is_sendable(what)) {
        end.message = "can't ask " + what.method + " of " + what.url;
        return end;
    }
    auto on = pool_->take(address, what.fresh_connection);
    end =
        exchange(*on, what, limits, options_, on_body, on_head, canceled).run();
    // Whatever ended otherwise leaves a connection in doubt: silent ones are
    // dropped here, with the session.
    if (end.complete() && !what.fresh_connection)
        pool_->give_back(address, std::move(on));
    return end;
}

result<response> client::fetch(const request& what,
                               const transfer_timeouts& limits)
{
    response answer;
    const auto take = [&](std::string_view bytes) {
        answer.body += bytes;
        return answer.body.size() <= options_.max_body_bytes;
    };
    transfer end = stream(what, limits, take);
    if (end.outcome == transfer_outcome::stopped)
        return fail(error_code::too_large, "answer of " + what.url);
    if (!end.complete())
        return tl::unexpected(end.to_error());
    answer.status = end.status;
    answer.headers = std::move(end.headers);
    return answer;
}

void client::close_idle_connections()
{
    pool_->clear();
}

std::string encode_path(std::string_view text)
{
    return encode(text, "-._~/");
}

std::string encode_query(std::string_view text)
{
    return encode(text, "-._~");
}

} // namespace fennelladder::http
