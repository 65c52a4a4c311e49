// Exchange of configurations and targets between nodes on the loopback
// interface, with peers that are slow, silent, or send invalid data.

#include "fennelladder/edge/update_exchange.hpp"
#include "fennelladder/mesh/text_compression.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "platform/configuration_codec.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <boost/asio/write.hpp>
#include <functional>
#include <nlohmann/json.hpp>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

using mesh::sync_part;

constexpr double slow_link_bits_per_second = 10e6;

std::string free_address()
{
    asio::io_context io;
    const tcp::acceptor any(
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(any.local_endpoint().port());
}

/// A configuration in the format of the platform, with paths that compress
/// badly.
std::string configuration_text(std::uint64_t version, std::size_t routes)
{
    random_source random(version);
    nlohmann::json out{{"version", version},
                       {"routes", nlohmann::json::array()},
                       {"services", nlohmann::json::array()}};
    for (std::size_t i = 0; i < routes; ++i)
        out["routes"].push_back(
            {{"name", "r-" + std::to_string(i)},
             {"host", "h.example"},
             {"pathPrefix", "/" + std::to_string(random.bits()) + "/"},
             {"kind", "idempotent"},
             {"service", "s"},
             {"timeoutMs", random.below(20'000)}});
    return out.dump();
}

adapter::host_settings settings_of(const std::string& name, double link)
{
    adapter::host_settings out;
    out.host = host_id(name);
    out.ip = "127.0.0.1";
    out.link_bits_per_second = link;
    return out;
}

struct node
{
    node(asio::io_context& io, const system_clock& time, int i)
        : address(free_address()),
          tables(
              io, time,
              settings_of("n" + std::to_string(i), slow_link_bits_per_second),
              static_cast<std::uint64_t>(i)),
          exchange(tables, address)
    {
        CHECK(exchange.start().has_value());
    }

    std::uint64_t version() const
    {
        return tables.config ? tables.config->version().value() : 0;
    }

    void apply_configuration(const std::string& text)
    {
        auto parts = adapter::decode_configuration(nlohmann::json::parse(text));
        CHECK(parts.has_value());
        tables.apply_configuration(std::move(*parts), text, "test");
    }

    void handle_heartbeat(const mesh::node_heartbeat& from)
    {
        tables.peers.on_heartbeat(from, tables.now());
        exchange.on_heartbeat(from);
    }

    std::uint64_t count(const char* metric, const telemetry::labels& where)
    {
        return tables.metrics.counter_of(metric, where).value();
    }

    std::uint64_t fetches(const char* what, const char* result)
    {
        return count("fennelladder_mesh_fetches_total",
                     {{"what", what}, {"result", result}});
    }

    std::uint64_t transfers(const char* result)
    {
        return count("fennelladder_mesh_transfers_total", {{"result", result}});
    }

    std::string address;
    node_tables tables;
    update_exchange exchange;
};

/// A peer that answers requests with a script of the test.
class scripted_peer
{
public:
    using script =
        std::function<awaitable<void>(tcp::socket&, const mesh::sync_request&)>;

    scripted_peer(asio::io_context& io, script answer)
        : io_(io), answer_(std::move(answer)),
          acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        spawn(io_, accept());
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    awaitable<void> accept()
    {
        for (;;) {
            auto socket = std::make_shared<tcp::socket>(io_);
            net_error ec;
            co_await acceptor_.async_accept(*socket, into(ec));
            spawn(io_, serve(socket));
        }
    }

    awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        peer_stream stream(socket);
        std::string bytes;
        const bool read = co_await stream.read(bytes, 10'000);
        const auto ask = mesh::decode_sync_request(bytes);
        if (read && ask)
            co_await answer_(*socket, *ask);
    }

    asio::io_context& io_;
    script answer_;
    tcp::acceptor acceptor_;
};

awaitable<void> put(tcp::socket& socket, std::string bytes)
{
    net_error ec;
    co_await asio::async_write(socket, asio::buffer(bytes), into(ec));
}

awaitable<void> pause(tcp::socket& socket, duration length)
{
    asio::steady_timer timer(socket.get_executor());
    co_await sleep_on(timer, length);
}

/// Sends the bytes in `pieces` pieces, one per `gap`.
awaitable<void> trickle(tcp::socket& socket, std::string bytes, int pieces,
                        duration gap)
{
    const std::size_t n = bytes.size() / static_cast<std::size_t>(pieces) + 1;
    for (std::size_t i = 0; i < bytes.size(); i += n) {
        co_await put(socket, bytes.substr(i, n));
        co_await pause(socket, gap);
    }
}

std::string packed_reply(const std::string& text)
{
    mesh::sync_reply out;
    out.packed_configuration = *mesh::compress_text(text);
    return framed(mesh::encode(out));
}

std::string targets_reply(std::uint64_t revision)
{
    mesh::sync_reply out;
    out.targets_full = true;
    out.targets_as_of = catalog::revision(revision);
    catalog::target_entry entry;
    entry.id = target_id("i-1");
    out.targets = {{entry.id, entry, out.targets_as_of}};
    return framed(mesh::encode(out));
}

class world
{
public:
    world()
    {
        telemetry::set_log_sink([](auto&&...) {});
    }
    ~world() { telemetry::set_log_sink(nullptr); }

    node& add_node()
    {
        nodes.push_back(
            std::make_unique<node>(io, time, static_cast<int>(nodes.size())));
        return *nodes.back();
    }

    scripted_peer& add_peer(scripted_peer::script answer)
    {
        peers.push_back(std::make_unique<scripted_peer>(io, std::move(answer)));
        return *peers.back();
    }

    /// A heartbeat of a node that has these versions.
    mesh::node_heartbeat heartbeat_of(const std::string& address,
                                      std::uint64_t version,
                                      std::uint64_t targets = 0)
    {
        mesh::node_heartbeat out;
        out.host = host_id("host of " + address);
        out.incarnation = mesh::node_incarnation(1);
        out.sequence = ++sequence_;
        out.state = mesh::node_state::ready;
        out.peer_address = address;
        out.configuration = catalog::configuration_version(version);
        out.targets_changed = catalog::revision(targets);
        out.capacity = 10;
        return out;
    }

    /// Runs the event loop until `done` or `limit`. Returns the result of
    /// `done`.
    bool run_until(const std::function<bool()>& done, duration limit)
    {
        const instant end = time.now() + limit;
        while (!done() && time.now() < end) {
            io.restart();
            io.run_one_for(milliseconds(10));
        }
        return done();
    }

    asio::io_context io{1};
    system_clock time;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<scripted_peer>> peers;

private:
    std::uint64_t sequence_ = 0;
};

} // namespace

TEST_GROUP(update_exchange){};

TEST(update_exchange, a_configuration_is_passed_on_unchanged)
{
    world all;
    node& first = all.add_node();
    node& second = all.add_node();
    node& third = all.add_node();
    const std::string text = configuration_text(7, 50);
    first.apply_configuration(text);
    second.handle_heartbeat(all.heartbeat_of(first.address, 7));
    CHECK(all.run_until([&] { return second.version() == 7; }, seconds(3)));
    third.handle_heartbeat(all.heartbeat_of(second.address, 7));
    CHECK(all.run_until([&] { return third.version() == 7; }, seconds(3)));
    CHECK(third.tables.config_text == text);
    CHECK(first.fetches("configuration", "done") == 0);
    CHECK(third.fetches("configuration", "done") == 1);
}

// Only one small host had a new configuration, and all others fetched it from
// there at the same time. None got it within its timeout, all tried again, and
// no other node had it for 2.5 s.
TEST(update_exchange, a_configuration_spreads_from_one_small_host)
{
    constexpr std::size_t askers = 16;
    world all;
    node& source = all.add_node();
    const std::string text = configuration_text(7, 1'500);
    source.apply_configuration(text);
    for (std::size_t i = 0; i < askers; ++i)
        all.add_node().handle_heartbeat(all.heartbeat_of(source.address, 7));
    const auto all_served = [&] {
        return std::ranges::all_of(
            all.nodes, [](const auto& it) { return it->version() == 7; });
    };
    CHECK(all.run_until(all_served, seconds(8)));
    std::uint64_t fetched = 0;
    std::uint64_t failed = 0;
    std::uint64_t busy = 0;
    for (const auto& it : all.nodes) {
        fetched += it->fetches("configuration", "done");
        failed += it->fetches("configuration", "failed");
        busy += it->fetches("configuration", "busy");
    }
    UNSIGNED_LONGS_EQUAL(askers, fetched);
    UNSIGNED_LONGS_EQUAL(0, failed);
    CHECK(busy > 0);
    // Nodes that were served have served others.
    CHECK(source.transfers("done") < askers);
}

// A target announces that it leaves while a large configuration is being sent
// to a small host. Both updates arrived in one message, 0.75 s after the last
// time at which the target might be sent requests.
TEST(update_exchange, targets_arrive_while_a_configuration_is_transferred)
{
    world all;
    const std::string text = configuration_text(7, 200);
    bool started = false;
    scripted_peer& peer =
        all.add_peer([&](tcp::socket& socket,
                         const mesh::sync_request& ask) -> awaitable<void> {
            if (ask.part == sync_part::targets) {
                co_await put(socket, targets_reply(91));
                co_return;
            }
            started = true;
            co_await trickle(socket, packed_reply(text), 100, milliseconds(60));
        });
    node& asker = all.add_node();
    asker.handle_heartbeat(all.heartbeat_of(peer.address(), 7));
    CHECK(all.run_until([&] { return started; }, seconds(3)));
    asker.handle_heartbeat(all.heartbeat_of(peer.address(), 7, 91));
    const auto has_targets = [&] {
        return asker.tables.targets.as_of() == catalog::revision(91);
    };
    CHECK(all.run_until(has_targets, seconds(2)));
    UNSIGNED_LONGS_EQUAL(0, asker.version());
    UNSIGNED_LONGS_EQUAL(1, asker.fetches("targets", "done"));
}

// Transfers over a small link were aborted after 1.5 s although bytes kept
// arriving, and were then restarted.
TEST(update_exchange, a_slow_transfer_that_progresses_is_not_aborted)
{
    world all;
    const std::string text = configuration_text(7, 200);
    int asked = 0;
    scripted_peer& peer = all.add_peer(
        [&](tcp::socket& socket, const mesh::sync_request&) -> awaitable<void> {
            ++asked;
            co_await trickle(socket, packed_reply(text), 16, milliseconds(120));
        });
    node& asker = all.add_node();
    asker.handle_heartbeat(all.heartbeat_of(peer.address(), 7));
    CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(8)));
    CHECK_EQUAL(1, asked);
}

// A peer is cut off during a transfer: neither an end nor an error arrives.
TEST(update_exchange, a_stalled_transfer_is_retried_at_another_node)
{
    world all;
    scripted_peer& silent = all.add_peer(
        [&](tcp::socket& socket, const mesh::sync_request&) -> awaitable<void> {
            const std::string bytes = packed_reply(configuration_text(7, 50));
            co_await put(socket, bytes.substr(0, 100));
            co_await pause(socket, seconds(30));
        });
    node& good = all.add_node();
    good.apply_configuration(configuration_text(7, 50));
    node& asker = all.add_node();
    asker.handle_heartbeat(all.heartbeat_of(silent.address(), 7));
    all.run_until([] { return false; }, milliseconds(200));
    asker.handle_heartbeat(all.heartbeat_of(good.address, 7));
    CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(3)));
    UNSIGNED_LONGS_EQUAL(1, asker.fetches("configuration", "failed"));
}

TEST(update_exchange, a_busy_peer_suggests_another_source)
{
    world all;
    node& server = all.add_node();
    server.apply_configuration(configuration_text(7, 50));
    scripted_peer& busy = all.add_peer(
        [&](tcp::socket& socket, const mesh::sync_request&) -> awaitable<void> {
            mesh::sync_reply out;
            out.busy = true;
            out.served = {"nowhere", server.address};
            out.served_configuration = catalog::configuration_version(7);
            co_await put(socket, framed(mesh::encode(out)));
        });
    node& asker = all.add_node();
    asker.handle_heartbeat(all.heartbeat_of(busy.address(), 7));
    CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(3)));
    UNSIGNED_LONGS_EQUAL(0, asker.fetches("configuration", "failed"));
    CHECK(asker.fetches("configuration", "busy") >= 1);
}

// Whatever bytes a peer sends, they count as an update or as a failed fetch,
// and the next peer is asked.
TEST(update_exchange, unreadable_replies_do_not_stop_fetching)
{
    mesh::sync_reply not_packed;
    not_packed.packed_configuration = "not packed";
    mesh::sync_reply bomb;
    bomb.packed_configuration =
        *mesh::compress_text(std::string(6'000'000, ' '));
    const std::vector<std::string> answers{
        "",
        "\x01",
        std::string("\xff\xff\xff\xff", 4),
        framed(""),
        framed("no message"),
        framed(mesh::encode(not_packed)),
        framed(mesh::encode(bomb)),
        packed_reply("no json"),
        packed_reply("{}"),
        packed_reply(R"({"version":"x","routes":7,"services":{}})"),
    };
    for (const std::string& bytes : answers) {
        world all;
        scripted_peer& bad =
            all.add_peer([&](tcp::socket& socket,
                             const mesh::sync_request&) -> awaitable<void> {
                co_await put(socket, bytes);
            });
        node& good = all.add_node();
        good.apply_configuration(configuration_text(7, 5));
        node& asker = all.add_node();
        asker.handle_heartbeat(all.heartbeat_of(bad.address(), 7));
        const auto tried = [&] {
            return asker.fetches("configuration", "failed") == 1;
        };
        CHECK(all.run_until(tried, seconds(3)));
        asker.handle_heartbeat(all.heartbeat_of(good.address, 7));
        CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(3)));
    }
}

TEST(update_exchange, unreadable_requests_do_not_stop_serving)
{
    world all;
    node& server = all.add_node();
    server.apply_configuration(configuration_text(7, 50));
    std::vector<std::unique_ptr<tcp::socket>> open;
    for (const std::string& bytes :
         {std::string(), std::string("\xff\xff\xff\xff", 4), framed("?"),
          framed(std::string(2'000, 'x')), std::string("\0\0", 2)}) {
        open.push_back(std::make_unique<tcp::socket>(all.io));
        open.back()->connect(*parse_endpoint(server.address));
        net_error ec;
        open.back()->send(asio::buffer(bytes), 0, ec);
    }
    node& asker = all.add_node();
    asker.handle_heartbeat(all.heartbeat_of(server.address, 7));
    CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(3)));
}

// Two nodes of an earlier release fetched plain text from a small host. The
// second one got no bytes while the first was served, and timed out repeatedly.
TEST(update_exchange, two_large_concurrent_transfers_both_complete)
{
    world all;
    node& server = all.add_node();
    server.apply_configuration(configuration_text(7, 5'500));
    std::size_t done = 0;
    std::size_t ended = 0;
    const auto ask = [&]() -> awaitable<void> {
        peer_stream stream(all.io);
        std::string answer;
        const auto to = *parse_endpoint(server.address);
        const bool connected = co_await stream.connect(to, seconds(1));
        CHECK(connected);
        const std::string request = framed(mesh::encode(mesh::sync_request{}));
        const bool sent = co_await stream.write(request);
        CHECK(sent);
        const bool read = co_await stream.read(answer, 4'000'000);
        done += read ? 1 : 0;
        ++ended;
    };
    spawn(all.io, ask());
    spawn(all.io, ask());
    CHECK(all.run_until([&] { return ended == 2; }, seconds(12)));
    UNSIGNED_LONGS_EQUAL(2, done);
}

// A node of an earlier release requests both parts at once and expects plain
// text.
TEST(update_exchange, serves_plain_text_to_an_earlier_release)
{
    world all;
    node& server = all.add_node();
    const std::string text = configuration_text(7, 50);
    server.apply_configuration(text);
    std::string answer;
    const auto ask = [&]() -> awaitable<void> {
        peer_stream stream(all.io);
        const auto to = *parse_endpoint(server.address);
        const bool connected = co_await stream.connect(to, seconds(1));
        CHECK(connected);
        const std::string request = framed(mesh::encode(mesh::sync_request{}));
        const bool sent = co_await stream.write(request);
        CHECK(sent);
        const bool read = co_await stream.read(answer, 1'000'000);
        CHECK(read);
    };
    spawn(all.io, ask());
    CHECK(all.run_until([&] { return !answer.empty(); }, seconds(3)));
    all.run_until([] { return false; }, milliseconds(100));
    const auto reply = mesh::decode_sync_reply(answer);
    CHECK(reply && reply->configuration == text);
    CHECK(reply->packed_configuration.empty());
}

TEST(update_exchange, accepts_plain_text_from_an_earlier_release)
{
    world all;
    const std::string text = configuration_text(7, 50);
    scripted_peer& earlier = all.add_peer(
        [&](tcp::socket& socket, const mesh::sync_request&) -> awaitable<void> {
            mesh::sync_reply out;
            out.configuration = text;
            co_await put(socket, framed(mesh::encode(out)));
        });
    node& asker = all.add_node();
    asker.handle_heartbeat(all.heartbeat_of(earlier.address(), 7));
    CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(3)));
    node& next = all.add_node();
    next.handle_heartbeat(all.heartbeat_of(asker.address, 7));
    CHECK(all.run_until([&] { return next.version() == 7; }, seconds(3)));
    CHECK(next.tables.config_text == text);
}
