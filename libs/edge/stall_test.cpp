// The node's event loop stalls for longer than a timeout: a megabyte is parsed
// on an eighth of a core, or the machine gets no processor time.

#include "fennelladder/edge/peer_stream.hpp"
#include "fennelladder/edge/target_connection.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/asio/post.hpp>
#include <functional>
#include <thread>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

/// Above every timeout that is tested here.
constexpr duration stall = milliseconds(800);

constexpr std::size_t max_size = 1'000'000;

class connected_sockets
{
public:
    connected_sockets()
        : acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          near_end(std::make_shared<tcp::socket>(io)), far_end(io)
    {}

    void connect_ends()
    {
        near_end->connect(acceptor.local_endpoint());
        acceptor.accept(far_end);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    /// Runs until `done`. Returns false if that takes longer than `limit`.
    bool run_until(const std::function<bool()>& done, duration limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!done() && std::chrono::steady_clock::now() < end) {
            io.restart();
            io.run_one_for(milliseconds(10));
        }
        return done();
    }

    void run_for(duration length)
    {
        run_until([] { return false; }, length);
    }

    asio::io_context io{1};
    tcp::acceptor acceptor;
    std::shared_ptr<tcp::socket> near_end;
    tcp::socket far_end;
};

} // namespace

TEST_GROUP(stall){};

// A node parses a configuration for 0.8 s. Afterwards bytes of a transfer and
// its expired idle timer are ready in one round. The bytes were read, and then
// the transfer was closed and had to start over.
TEST(stall, a_transfer_with_progress_survives)
{
    connected_sockets all;
    all.connect_ends();
    peer_stream stream(all.near_end);
    const std::string message(20'000, 'x');
    const std::string bytes = framed(message);
    std::string out;
    std::optional<bool> read;
    const auto receive = [&]() -> awaitable<void> {
        const bool whole = co_await stream.read(out, max_size);
        read = whole;
    };
    spawn(all.io, receive());
    asio::steady_timer rest(all.io);
    asio::post(all.io, [&] {
        all.far_end.send(asio::buffer(bytes.substr(0, 10'000)));
        std::this_thread::sleep_for(stall);
        rest.expires_after(milliseconds(100));
        rest.async_wait([&](net_error) {
            net_error ec;
            all.far_end.send(asio::buffer(bytes.substr(10'000)), 0, ec);
        });
    });
    CHECK(all.run_until([&] { return read.has_value(); }, seconds(5)));
    CHECK(*read);
    CHECK(out == message);
}

TEST(stall, an_idle_transfer_still_ends)
{
    connected_sockets all;
    all.connect_ends();
    peer_stream stream(all.near_end);
    std::string out;
    std::optional<bool> read;
    const auto receive = [&]() -> awaitable<void> {
        const bool whole = co_await stream.read(out, max_size);
        read = whole;
    };
    spawn(all.io, receive());
    asio::post(all.io, [&] {
        all.far_end.send(asio::buffer(framed("message").substr(0, 7)));
        std::this_thread::sleep_for(stall);
    });
    CHECK(all.run_until([&] { return read.has_value(); }, seconds(5)));
    CHECK(!*read);
}

// A healthy target accepts a connection at once, while the node is stalled for
// longer than the connect timeout. The connection was returned and closed in
// the same round, or the target was reported as unreachable.
TEST(stall, a_target_that_accepted_the_connection_is_reached)
{
    constexpr duration limit = milliseconds(350);
    connected_sockets all;
    connection_pool pool(all.io, {});
    const connection_ptr made =
        pool.make({{target_id("i-1"), {}}, all.address()});
    std::optional<bool> opened;
    const auto open = [&]() -> awaitable<void> {
        const status got = co_await pool.open(made, limit);
        opened = got.has_value();
    };
    spawn(all.io, open());
    asio::post(all.io, [] { std::this_thread::sleep_for(stall); });
    CHECK(all.run_until([&] { return opened.has_value(); }, seconds(5)));
    all.run_for(milliseconds(100));
    CHECK(*opened);
    CHECK(made->socket.is_open());
}
