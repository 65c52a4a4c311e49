// The server is Thrift's non-blocking server: one I/O thread monitors all
// connections and a few worker threads handle requests. The client pools idle
// connections by address, most recently used first, so that surplus ones
// reach the maximum idle time and are closed.

#include "fennelladder/peer/thrift_peers.hpp"

#include "peer_service.h"

#include <charconv>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <thrift/TOutput.h>
#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TNonblockingServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TNonblockingServerSocket.h>
#include <thrift/transport/TSocket.h>

namespace fennelladder::peer {

namespace {

using namespace apache::thrift;
using steady = std::chrono::steady_clock;

constexpr duration wake_interval = milliseconds(2);

struct socket_address
{
    std::string ip;
    int port = 0;
};

result<socket_address> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    socket_address parsed;
    if (colon == std::string::npos)
        return fail(error_code::invalid, "address without a port: " + text);
    parsed.ip = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [stop, ec] =
        std::from_chars(text.data() + colon + 1, end, parsed.port);
    if (ec != std::errc() || stop != end)
        return fail(error_code::invalid, "invalid port in address " + text);
    return parsed;
}

void ignore_output(const char*)
{}

// Thrift prints connection errors by default; here they are returned to the
// caller instead.
void disable_thrift_output()
{
    static std::once_flag once;
    std::call_once(once, [] { GlobalOutput.setOutputFunction(ignore_output); });
}

class thrift_handler final : public wire::peer_serviceIf
{
public:
    explicit thrift_handler(peer_handler& handler) : handler_(handler) {}

    void ask(std::string& answer, std::int32_t what,
             const std::string& message) override
    {
        auto made = handler_.handle_request(static_cast<topic>(what), message);
        if (made) {
            answer = std::move(*made);
            return;
        }
        wire::failure why;
        why.code = static_cast<std::int32_t>(made.error().code);
        why.message = made.error().message;
        throw why;
    }

private:
    peer_handler& handler_;
};

struct connection
{
    std::shared_ptr<transport::TSocket> socket;
    std::shared_ptr<transport::TFramedTransport> framed;
    std::unique_ptr<wire::peer_serviceClient> client;
    steady::time_point last_used;
};

int to_milliseconds(duration length)
{
    const auto count = std::chrono::duration_cast<milliseconds>(length).count();
    return static_cast<int>(std::max<std::int64_t>(count, 1));
}

error_code to_code(std::int32_t number)
{
    const auto last = static_cast<std::int32_t>(error_code::corrupt);
    if (number < 0 || number > last)
        return error_code::invalid;
    return static_cast<error_code>(number);
}

} // namespace

struct thrift_peer_server::state
{
    std::shared_ptr<concurrency::ThreadManager> workers;
    std::shared_ptr<transport::TNonblockingServerSocket> socket;
    std::shared_ptr<server::TNonblockingServer> server;
    std::atomic<bool> ended{false}; // serve() has returned.
    std::thread loop;
};

thrift_peer_server::thrift_peer_server(std::unique_ptr<state> made)
    : state_(std::move(made))
{}

result<std::unique_ptr<thrift_peer_server>>
thrift_peer_server::start(const std::string& listen, peer_handler& handler,
                          const peer_server_options& options)
{
    disable_thrift_output();
    const auto where = parse_address(listen);
    if (!where)
        return tl::unexpected(where.error());
    auto made = std::make_unique<state>();
    try {
        made->workers = concurrency::ThreadManager::newSimpleThreadManager(
            static_cast<std::size_t>(options.threads));
        made->workers->threadFactory(
            std::make_shared<concurrency::ThreadFactory>(false));
        made->workers->start();
        made->socket = std::make_shared<transport::TNonblockingServerSocket>(
            where->ip, where->port);
        made->server = std::make_shared<server::TNonblockingServer>(
            std::make_shared<wire::peer_serviceProcessor>(
                std::make_shared<thrift_handler>(handler)),
            std::make_shared<protocol::TCompactProtocolFactory>(), made->socket,
            made->workers);
        made->server->setMaxFrameSize(max_message_bytes);
        made->server->setNumIOThreads(1);
        made->server->registerEvents(nullptr);
        made->loop = std::thread([at = made.get()] {
            at->server->serve();
            at->ended = true;
        });
    } catch (const std::exception& failure) {
        return fail(error_code::unavailable, failure.what());
    }
    std::unique_ptr<thrift_peer_server> it(
        new thrift_peer_server(std::move(made)));
    it->address_ =
        where->ip + ":" + std::to_string(it->state_->socket->getListenPort());
    return it;
}

// Prevents a stop that never completes: stop() only sets a flag, which the loop
// checks on socket activity and which a loop that is just starting clears.
// Connecting to the server itself causes socket activity; this is repeated
// until the loop has ended.
thrift_peer_server::~thrift_peer_server()
{
    const auto self = parse_address(address_);
    while (!state_->ended) {
        state_->server->stop();
        transport::TSocket wake(self->ip, self->port);
        try {
            wake.open();
        } catch (const std::exception&) {
            // The server no longer listens, so the loop is about to end.
        }
        std::this_thread::sleep_for(wake_interval);
    }
    state_->loop.join();
    state_->workers->stop();
}

struct thrift_peer_network::state
{
    peer_network_options options;

    // Guards idle. Held only briefly, never during network I/O.
    std::mutex mutex;
    std::map<peer_address, std::deque<connection>> idle;

    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> failures{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};

    bool acquire_idle(const peer_address& to, connection& out);
    void release(const peer_address& to, connection&& it);
    void close_idle(const peer_address& to);
    result<connection> connect(const peer_address& to) const;
    result<std::string> call(const peer_address& to, connection& over,
                             topic what, std::string_view message,
                             bool& broken);
};

bool thrift_peer_network::state::acquire_idle(const peer_address& to,
                                              connection& out)
{
    const std::lock_guard lock(mutex);
    auto& list = idle[to];
    const auto oldest = steady::now() - options.max_idle_time;
    while (!list.empty() && list.back().last_used < oldest)
        list.pop_back();
    if (list.empty())
        return false;
    out = std::move(list.front());
    list.pop_front();
    return true;
}

void thrift_peer_network::state::release(const peer_address& to,
                                         connection&& it)
{
    it.last_used = steady::now();
    const std::lock_guard lock(mutex);
    auto& list = idle[to];
    list.push_front(std::move(it));
    if (list.size() > options.max_idle_per_peer)
        list.pop_back();
}

// Closes all idle connections to a node after one of them timed out or failed:
// the others have likely failed as well, and each would cost a full timeout.
void thrift_peer_network::state::close_idle(const peer_address& to)
{
    const std::lock_guard lock(mutex);
    idle.erase(to);
}

result<connection>
thrift_peer_network::state::connect(const peer_address& to) const
{
    const auto where = parse_address(to);
    if (!where)
        return tl::unexpected(where.error());
    connection made;
    made.socket = std::make_shared<transport::TSocket>(where->ip, where->port);
    made.socket->setConnTimeout(to_milliseconds(options.connect_timeout));
    made.socket->setNoDelay(true);
    made.framed = std::make_shared<transport::TFramedTransport>(made.socket);
    made.client = std::make_unique<wire::peer_serviceClient>(
        std::make_shared<protocol::TCompactProtocol>(made.framed));
    try {
        made.framed->open();
    } catch (const std::exception& failure) {
        return fail(error_code::unavailable, failure.what());
    }
    return made;
}

result<std::string> thrift_peer_network::state::call(const peer_address& to,
                                                     connection& over,
                                                     topic what,
                                                     std::string_view message,
                                                     bool& broken)
{
    try {
        std::string answer;
        over.client->ask(answer, static_cast<std::int32_t>(what),
                         std::string(message));
        bytes_received += answer.size();
        return answer;
    } catch (const wire::failure& why) {
        return fail(to_code(why.code), why.message);
    } catch (const std::exception& failure) {
        broken = true;
        return fail(error_code::ambiguous, to + ": " + failure.what());
    }
}

thrift_peer_network::thrift_peer_network(const peer_network_options& options)
    : state_(std::make_unique<state>())
{
    disable_thrift_output();
    state_->options = options;
}

thrift_peer_network::~thrift_peer_network() = default;

result<std::string> thrift_peer_network::send_request(const peer_address& to,
                                                      topic what,
                                                      std::string_view message,
                                                      duration timeout)
{
    if (message.size() > max_message_bytes)
        return fail(error_code::too_large,
                    "message over the size limit to " + to);
    ++state_->requests;
    connection over;
    if (!state_->acquire_idle(to, over)) {
        auto made = state_->connect(to);
        if (!made) {
            ++state_->failures;
            return tl::unexpected(made.error());
        }
        over = std::move(*made);
    }
    over.socket->setRecvTimeout(to_milliseconds(timeout));
    over.socket->setSendTimeout(to_milliseconds(timeout));
    state_->bytes_sent += message.size();
    bool broken = false;
    auto answer = state_->call(to, over, what, message, broken);
    if (broken) {
        ++state_->failures;
        state_->close_idle(to);
    } else {
        state_->release(to, std::move(over));
    }
    return answer;
}

peer_traffic thrift_peer_network::traffic() const
{
    return {state_->requests, state_->failures, state_->bytes_sent,
            state_->bytes_received};
}

} // namespace fennelladder::peer
