// Configurations and targets between nodes on the loopback, with peers that
// are slow, silent, or send what can't be read.

#include "fennelladder/edge/update_exchange.hpp"
#include "fennelladder/mesh/packed_text.hpp"
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

constexpr double small_link = 10e6;

std::string free_address()
{
    asio::io_context io;
    const tcp::acceptor any(
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(any.local_endpoint().port());
}

/// A configuration as the platform spells it; its paths don't pack well.
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
          tables(io, time, settings_of("n" + std::to_string(i), small_link),
                 static_cast<std::uint64_t>(i)),
          news(tables, address)
    {
        CHECK(news.start().has_value());
    }

    std::uint64_t version() const
    {
        return tables.config ? tables.config->version().value() : 0;
    }

    void take(const std::string& text)
    {
        auto parts = adapter::decode_configuration(nlohmann::json::parse(text));
        CHECK(parts.has_value());
        tables.apply_configuration(std::move(*parts), text, "test");
    }

    void hear(const mesh::beacon& from)
    {
        tables.peers.hear(from, tables.now());
        news.on_heartbeat(from);
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
    update_exchange news;
};

/// Answers questions as the test says.
class scripted_peer
{
public:
    using script =
        std::function<awaitable<void>(tcp::socket&, const mesh::sync_ask&)>;

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
        const auto ask = mesh::decode_sync_ask(bytes);
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

/// The bytes in `pieces` pieces, one each `gap`.
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
    out.packed_configuration = *mesh::pack(text);
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

    /// A beacon of one that has this.
    mesh::beacon beacon_of(const std::string& address, std::uint64_t version,
                           std::uint64_t targets = 0)
    {
        mesh::beacon out;
        out.host = host_id("host of " + address);
        out.life = mesh::node_life(1);
        out.sequence = ++sequence_;
        out.state = mesh::node_state::ready;
        out.peer_address = address;
        out.configuration = catalog::configuration_version(version);
        out.targets_changed = catalog::revision(targets);
        out.capacity = 10;
        return out;
    }

    /// Runs until `done`; false if it isn't within `limit`.
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

TEST(update_exchange, a_configuration_passes_from_node_to_node_as_it_is)
{
    world all;
    node& first = all.add_node();
    node& second = all.add_node();
    node& third = all.add_node();
    const std::string text = configuration_text(7, 50);
    first.take(text);
    second.hear(all.beacon_of(first.address, 7));
    CHECK(all.run_until([&] { return second.version() == 7; }, seconds(3)));
    third.hear(all.beacon_of(second.address, 7));
    CHECK(all.run_until([&] { return third.version() == 7; }, seconds(3)));
    CHECK(third.tables.config_text == text);
    CHECK(first.fetches("configuration", "done") == 0);
    CHECK(third.fetches("configuration", "done") == 1);
}

// Story: one small host had a new configuration, and all others fetched it
// from there at the same time. None got it within its limit; all tried again.
// Nobody had it for 2.5 s.
TEST(update_exchange, a_configuration_spreads_from_one_small_host)
{
    constexpr std::size_t askers = 16;
    world all;
    node& source = all.add_node();
    const std::string text = configuration_text(7, 1'500);
    source.take(text);
    for (std::size_t i = 0; i < askers; ++i)
        all.add_node().hear(all.beacon_of(source.address, 7));
    const auto served = [&] {
        return std::ranges::all_of(
            all.nodes, [](const auto& it) { return it->version() == 7; });
    };
    CHECK(all.run_until(served, seconds(8)));
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
    // Those that were served served others.
    CHECK(source.transfers("done") < askers);
}

// Story: a target says that it leaves while a large configuration is on its
// way to a small host. The news of both came in one message, three quarters of
// a second after the target had to be left alone.
TEST(update_exchange, targets_arrive_while_a_configuration_is_under_way)
{
    world all;
    const std::string text = configuration_text(7, 200);
    bool begun = false;
    scripted_peer& peer = all.add_peer(
        [&](tcp::socket& socket, const mesh::sync_ask& ask) -> awaitable<void> {
            if (ask.part == sync_part::targets) {
                co_await put(socket, targets_reply(91));
                co_return;
            }
            begun = true;
            co_await trickle(socket, packed_reply(text), 100, milliseconds(60));
        });
    node& asker = all.add_node();
    asker.hear(all.beacon_of(peer.address(), 7));
    CHECK(all.run_until([&] { return begun; }, seconds(3)));
    asker.hear(all.beacon_of(peer.address(), 7, 91));
    const auto known = [&] {
        return asker.tables.targets.as_of() == catalog::revision(91);
    };
    CHECK(all.run_until(known, seconds(2)));
    UNSIGNED_LONGS_EQUAL(0, asker.version());
    UNSIGNED_LONGS_EQUAL(1, asker.fetches("targets", "done"));
}

// Story: transfers over a small link were ended after 1.5 s although bytes
// came all the time, and began anew.
TEST(update_exchange, a_slow_transfer_that_moves_is_not_ended)
{
    world all;
    const std::string text = configuration_text(7, 200);
    int asked = 0;
    scripted_peer& peer = all.add_peer(
        [&](tcp::socket& socket, const mesh::sync_ask&) -> awaitable<void> {
            ++asked;
            co_await trickle(socket, packed_reply(text), 16, milliseconds(120));
        });
    node& asker = all.add_node();
    asker.hear(all.beacon_of(peer.address(), 7));
    CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(8)));
    CHECK_EQUAL(1, asked);
}

// Story: a peer is cut off in the middle of a transfer: no end, no error.
TEST(update_exchange, a_silent_transfer_is_fetched_elsewhere)
{
    world all;
    scripted_peer& silent = all.add_peer(
        [&](tcp::socket& socket, const mesh::sync_ask&) -> awaitable<void> {
            const std::string bytes = packed_reply(configuration_text(7, 50));
            co_await put(socket, bytes.substr(0, 100));
            co_await pause(socket, seconds(30));
        });
    node& good = all.add_node();
    good.take(configuration_text(7, 50));
    node& asker = all.add_node();
    asker.hear(all.beacon_of(silent.address(), 7));
    all.run_until([] { return false; }, milliseconds(200));
    asker.hear(all.beacon_of(good.address, 7));
    CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(3)));
    UNSIGNED_LONGS_EQUAL(1, asker.fetches("configuration", "failed"));
}

TEST(update_exchange, a_busy_peer_names_one_that_is_not)
{
    world all;
    node& served = all.add_node();
    served.take(configuration_text(7, 50));
    scripted_peer& busy = all.add_peer(
        [&](tcp::socket& socket, const mesh::sync_ask&) -> awaitable<void> {
            mesh::sync_reply out;
            out.busy = true;
            out.served = {"nowhere", served.address};
            out.served_configuration = catalog::configuration_version(7);
            co_await put(socket, framed(mesh::encode(out)));
        });
    node& asker = all.add_node();
    asker.hear(all.beacon_of(busy.address(), 7));
    CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(3)));
    UNSIGNED_LONGS_EQUAL(0, asker.fetches("configuration", "failed"));
    CHECK(asker.fetches("configuration", "busy") >= 1);
}

// Bytes from a peer are news or a failure, whatever they are, and the next
// peer is asked.
TEST(update_exchange, unreadable_answers_end_nothing)
{
    mesh::sync_reply not_packed;
    not_packed.packed_configuration = "not packed";
    mesh::sync_reply bomb;
    bomb.packed_configuration = *mesh::pack(std::string(6'000'000, ' '));
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
        scripted_peer& bad = all.add_peer(
            [&](tcp::socket& socket, const mesh::sync_ask&) -> awaitable<void> {
                co_await put(socket, bytes);
            });
        node& good = all.add_node();
        good.take(configuration_text(7, 5));
        node& asker = all.add_node();
        asker.hear(all.beacon_of(bad.address(), 7));
        const auto tried = [&] {
            return asker.fetches("configuration", "failed") == 1;
        };
        CHECK(all.run_until(tried, seconds(3)));
        asker.hear(all.beacon_of(good.address, 7));
        CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(3)));
    }
}

TEST(update_exchange, unreadable_questions_end_nothing)
{
    world all;
    node& served = all.add_node();
    served.take(configuration_text(7, 50));
    std::vector<std::unique_ptr<tcp::socket>> open;
    for (const std::string& bytes :
         {std::string(), std::string("\xff\xff\xff\xff", 4), framed("?"),
          framed(std::string(2'000, 'x')), std::string("\0\0", 2)}) {
        open.push_back(std::make_unique<tcp::socket>(all.io));
        open.back()->connect(*parse_endpoint(served.address));
        net_error ec;
        open.back()->send(asio::buffer(bytes), 0, ec);
    }
    node& asker = all.add_node();
    asker.hear(all.beacon_of(served.address, 7));
    CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(3)));
}

// Story: two nodes of an earlier release fetched plain text from a small host.
// The one that came second got no byte while the first was served, and gave
// up, again and again.
TEST(update_exchange, two_large_transfers_at_once_are_both_done)
{
    world all;
    node& served = all.add_node();
    served.take(configuration_text(7, 5'500));
    std::size_t done = 0;
    std::size_t ended = 0;
    const auto ask = [&]() -> awaitable<void> {
        peer_stream stream(all.io);
        std::string answer;
        const auto to = *parse_endpoint(served.address);
        const bool connected = co_await stream.connect(to, seconds(1));
        CHECK(connected);
        const std::string question = framed(mesh::encode(mesh::sync_ask{}));
        const bool sent = co_await stream.write(question);
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

// A node of an earlier release asks for both at once and reads plain text.
TEST(update_exchange, an_earlier_release_gets_what_it_can_read)
{
    world all;
    node& served = all.add_node();
    const std::string text = configuration_text(7, 50);
    served.take(text);
    std::string answer;
    const auto ask = [&]() -> awaitable<void> {
        peer_stream stream(all.io);
        const auto to = *parse_endpoint(served.address);
        const bool connected = co_await stream.connect(to, seconds(1));
        CHECK(connected);
        const std::string question = framed(mesh::encode(mesh::sync_ask{}));
        const bool sent = co_await stream.write(question);
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

TEST(update_exchange, an_earlier_release_brings_plain_text)
{
    world all;
    const std::string text = configuration_text(7, 50);
    scripted_peer& earlier = all.add_peer(
        [&](tcp::socket& socket, const mesh::sync_ask&) -> awaitable<void> {
            mesh::sync_reply out;
            out.configuration = text;
            co_await put(socket, framed(mesh::encode(out)));
        });
    node& asker = all.add_node();
    asker.hear(all.beacon_of(earlier.address(), 7));
    CHECK(all.run_until([&] { return asker.version() == 7; }, seconds(3)));
    node& next = all.add_node();
    next.hear(all.beacon_of(asker.address, 7));
    CHECK(all.run_until([&] { return next.version() == 7; }, seconds(3)));
    CHECK(next.tables.config_text == text);
}
