// Refusal of requests on their heads, and the bound on new connections, over
// the loopback interface.

#include "fennelladder/edge/caller_server.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

constexpr std::size_t long_body = 12'000;
constexpr std::size_t short_body = 1'000;

adapter::host_settings test_settings()
{
    adapter::host_settings out;
    out.host = host_id("h");
    out.ip = "127.0.0.1";
    // Nothing listens there: the platform is unreachable.
    out.store_address = "127.0.0.1:1";
    return out;
}

tuning_options limited()
{
    tuning_options out;
    out.refuses_beyond_capacity = true;
    out.refuses_when_late = false;
    return out;
}

std::string head_of(std::size_t body)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(body) + "\r\n\r\n";
}

tcp::endpoint free_endpoint()
{
    asio::io_context io;
    const tcp::acceptor any(
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return any.local_endpoint();
}

} // namespace

TEST_GROUP(early_refusal)
{
    asio::io_context io{1};
    system_clock time;
    node_tables tables{io, time, test_settings(), 1, limited()};
    platform_client client{tables};
    token_allocator allocator{tables, client, [](auto&&...) {}};
    stream_origin_exchange origins{tables, [](auto&&...) {}};
    quarantine_exchange quarantine{tables, [](auto&&...) {}};
    request_driver driver{tables, allocator, origins, quarantine};
    caller_server server{tables, driver, {}};
    tcp::endpoint where = free_endpoint();
    tcp::socket caller{io};
    std::string got; ///< By the caller.
    net_error ended; ///< How its connection ended.

    void setup() override
    {
        telemetry::set_log_sink([](auto&&...) {});
        CHECK(server.start("127.0.0.1:" + std::to_string(where.port()))
                  .has_value());
        caller.connect(where);
        spawn(io, receive());
        run_for(milliseconds(50));
        // Refuses every request.
        send(head_of(short_body));
        run_for(milliseconds(20));
        server.reject_new_requests();
    }

    void teardown() override
    {
        telemetry::set_log_sink(nullptr);
    }

    awaitable<void> receive()
    {
        std::string part(4096, '\0');
        while (!ended) {
            const std::size_t n = co_await caller.async_read_some(
                asio::buffer(part), into(ended));
            got.append(part, 0, n);
        }
    }

    void run_for(duration length)
    {
        io.restart();
        io.run_for(length);
    }

    void send(const std::string& bytes)
    {
        net_error ec;
        asio::write(caller, asio::buffer(bytes), ec);
    }

    bool has(const char* text) const
    {
        return got.find(text) != std::string::npos;
    }
};

// Failure: a caller opens a new connection after each refusal.
TEST(early_refusal, keeps_the_connection_of_a_short_body)
{
    send(std::string(short_body, 'x'));
    run_for(milliseconds(50));
    CHECK(has("HTTP/1.1 503"));
    CHECK(has("Retry-After"));
    CHECK_FALSE(has("Connection: close"));
    got.clear();
    send(head_of(short_body) + std::string(short_body, 'x'));
    run_for(milliseconds(50));
    CHECK(has("HTTP/1.1 503"));
    CHECK_FALSE(ended);
}

// Failure: bodies of refused requests are read, or the caller gets a reset in
// place of the answer.
TEST(early_refusal, refuses_a_long_body_without_waiting_for_it)
{
    send(std::string(short_body, 'x'));
    run_for(milliseconds(50));
    got.clear();
    send(head_of(long_body));
    run_for(milliseconds(50));
    CHECK(has("HTTP/1.1 503"));
    CHECK(has("Retry-After"));
    CHECK(has("Connection: close"));
    send(std::string(long_body, 'x'));
    run_for(milliseconds(50));
    CHECK(ended == asio::error::eof);
    net_error ec;
    caller.shutdown(tcp::socket::shutdown_send, ec);
    run_for(milliseconds(50));
    LONGS_EQUAL(0, server.sessions());
}

// Failure: a caller that never sends the body keeps the connection.
TEST(early_refusal, discards_input_for_a_bounded_time)
{
    send(std::string(short_body, 'x') + head_of(long_body));
    run_for(seconds(2));
    CHECK(has("Connection: close"));
    LONGS_EQUAL(0, server.sessions());
}

TEST_GROUP(connection_bound)
{
    asio::io_context io{1};
    system_clock time;
    tcp::acceptor acceptor{
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::vector<tcp::socket> callers;
    std::vector<tcp::socket> accepted;
    std::optional<double> rate;
    int waits = 0;

    void setup() override
    {
        accept_limit limit;
        limit.rate = [this] { return rate; };
        limit.on_wait = [this] { ++waits; };
        limit.now = [this] { return time.now(); };
        spawn(io,
              accept_connections(
                  acceptor,
                  [this](tcp::socket it) { accepted.push_back(std::move(it)); },
                  [](const net_error&) {}, limit));
    }

    std::size_t accept_for(duration length, int connections)
    {
        const std::size_t before = accepted.size();
        callers.reserve(callers.size() + 100);
        for (int i = 0; i < connections; ++i) {
            callers.emplace_back(io);
            callers.back().async_connect(acceptor.local_endpoint(),
                                         [](net_error) {});
        }
        io.restart();
        io.run_for(length);
        return accepted.size() - before;
    }
};

// Failure: a host beyond its capacity accepts what it can only refuse, or no
// connection at all.
TEST(connection_bound, accepts_at_its_rate_and_all_when_it_ends)
{
    rate = 40;
    (void)accept_for(milliseconds(200), 1);
    const std::size_t bounded = accept_for(milliseconds(500), 40);
    CHECK(bounded >= 4);
    CHECK(bounded <= 24);
    CHECK(waits > 0);
    rate.reset();
    (void)accept_for(milliseconds(200), 0);
    CHECK(accept_for(milliseconds(300), 20) >= 20);
}
