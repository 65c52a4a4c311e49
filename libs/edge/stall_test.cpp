// The node's loop stands still for longer than a silence may last: a megabyte
// is parsed on an eighth of a core, or a machine gets no share of its own.

#include "fennelladder/edge/peer_stream.hpp"
#include "fennelladder/edge/target_connection.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/asio/post.hpp>
#include <functional>
#include <thread>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

/// Above every limit on silence that is tested here.
constexpr duration stall = milliseconds(800);

constexpr std::size_t largest = 1'000'000;

class world
{
public:
    world()
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

    /// Runs until `done`; false if it isn't within `limit`.
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

// Story: a node parsed a configuration for 0.8 s. When it came back, bytes of
// a transfer and the expired limit on silence waited in one round; the bytes
// were read, and then the transfer was closed and begun anew.
TEST(stall, a_transfer_that_moves_outlives_it)
{
    world all;
    all.connect_ends();
    peer_stream stream(all.near_end);
    const std::string message(20'000, 'x');
    const std::string bytes = framed(message);
    std::string out;
    std::optional<bool> read;
    const auto receive = [&]() -> awaitable<void> {
        const bool whole = co_await stream.read(out, largest);
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

TEST(stall, a_transfer_that_is_silent_still_ends)
{
    world all;
    all.connect_ends();
    peer_stream stream(all.near_end);
    std::string out;
    std::optional<bool> read;
    const auto receive = [&]() -> awaitable<void> {
        const bool whole = co_await stream.read(out, largest);
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

// Story: a sound target took a connection up at once, while the node stood
// still for longer than connecting may take. The connection was handed out and
// closed in the same round, or the target was called unreachable.
TEST(stall, a_target_that_took_the_connection_up_is_reached)
{
    constexpr duration limit = milliseconds(350);
    world all;
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
