// Transfers of tokens between nodes over a network that loses, doubles and
// reorders datagrams.

#include "fennelladder/edge/token_desk.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <CppUTest/TestHarness.h>
#include <deque>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

const team_id team("t");

adapter::host_settings settings_of(int i)
{
    adapter::host_settings out;
    out.host = host_id("n" + std::to_string(i));
    out.ip = "127.0.0.1";
    // Nothing listens there: the platform is out.
    out.store_address = "127.0.0.1:1";
    return out;
}

std::string address_of(int i)
{
    return "127.0.0.1:" + std::to_string(7000 + i);
}

class fleet
{
public:
    fleet(std::uint64_t seed, double loss) : random_(seed), loss_(loss)
    {
        telemetry::set_log_sink([](auto&&...) {});
        for (int i = 0; i < 3; ++i)
            nodes_.push_back(std::make_unique<node>(*this, i, random_.bits()));
    }

    ~fleet() { telemetry::set_log_sink(nullptr); }

    prepaid::purse& purse(int i) { return nodes_[i]->tables.purse; }
    token_desk& desk(int i) { return nodes_[i]->desk; }
    asio::io_context& io() { return io_; }
    instant now() { return time_.now(); }

    /// Everybody hears how much the others hold.
    void tell_stock()
    {
        for (int from = 0; from < 3; ++from) {
            mesh::beacon hello;
            hello.host = host_id("n" + std::to_string(from));
            hello.life = nodes_[from]->tables.life;
            hello.sequence = ++sequence_;
            hello.state = mesh::node_state::ready;
            hello.peer_address = address_of(from);
            hello.stock = desk(from).own_stock();
            for (int to = 0; to < 3; ++to)
                if (to != from) {
                    nodes_[to]->tables.peers.hear(hello, now());
                    desk(to).on_stock(hello);
                }
        }
    }

    /// Lets time pass; datagrams arrive in any order, twice, or not at all.
    void run_for(duration length)
    {
        const instant end = now() + length;
        while (now() < end) {
            io_.restart();
            handlers_ += io_.run_for(milliseconds(1));
            deliver();
        }
    }

    /// Handlers that the loop has run.
    std::size_t handlers() const { return handlers_; }

    tokens held()
    {
        tokens out;
        for (const auto& it : nodes_)
            for (const auto& [id, held] : it->tables.purse.holdings())
                out += held.free + held.reserved + held.spent;
        return out;
    }

private:
    struct node
    {
        node(fleet& all, int i, std::uint64_t seed)
            : tables(all.io_, all.time_, settings_of(i), seed), client(tables),
              desk(tables, client,
                   [&all, i](const std::string& to,
                             const mesh::datagram& message) {
                       all.send(i, to, message);
                   })
        {
            catalog::configuration_parts parts;
            parts.version = catalog::configuration_version(1);
            catalog::team payer;
            payer.id = team;
            payer.prepaid = tokens(100'000);
            parts.teams = {payer};
            tables.apply_configuration(std::move(parts), "", "test");
        }

        node_tables tables;
        platform_client client;
        token_desk desk;
    };

    struct letter
    {
        int from;
        int to;
        std::string bytes;
    };

    void send(int from, const std::string& to, const mesh::datagram& message)
    {
        const int target = std::stoi(to.substr(to.rfind(':') + 1)) - 7000;
        const int copies = random_.chance(loss_)   ? 0
                           : random_.chance(loss_) ? 2
                                                   : 1;
        for (int k = 0; k < copies; ++k)
            letters_.push_back({from, target, mesh::encode(message)});
    }

    void deliver()
    {
        while (!letters_.empty()) {
            const std::size_t i = random_.below(letters_.size());
            const letter it = letters_[i];
            letters_.erase(letters_.begin() + static_cast<std::ptrdiff_t>(i));
            const auto message = mesh::decode_datagram(it.bytes);
            CHECK(message.has_value());
            token_desk& desk = nodes_[it.to]->desk;
            if (message->ask)
                desk.on_ask(*message->ask, address_of(it.from));
            if (message->give)
                desk.on_give(*message->give);
            if (message->gift)
                desk.on_gift(*message->gift, address_of(it.from));
            if (message->gift_taken)
                desk.on_gift_taken(*message->gift_taken);
        }
    }

    asio::io_context io_{1};
    system_clock time_;
    random_source random_;
    double loss_;
    std::uint64_t sequence_ = 0;
    std::size_t handlers_ = 0;
    std::deque<letter> letters_;
    std::vector<std::unique_ptr<node>> nodes_;
};

awaitable<void> obtain(fleet& all, int i, tokens amount, int& got,
                       int urgency = 0)
{
    const instant until = all.now() + milliseconds(80);
    const shortage lacks =
        co_await all.desk(i).obtain(team, amount, urgency, until);
    if (lacks != shortage::none)
        co_return;
    ++got;
    all.desk(i).settle(team, amount, amount);
}

} // namespace

TEST_GROUP(token_desk){};

TEST(token_desk, a_node_without_tokens_gets_them_from_a_peer)
{
    fleet all(1, 0);
    all.purse(0).credit(team, tokens(1000));
    all.tell_stock();
    int got = 0;
    spawn(all.io(), obtain(all, 1, tokens(300), got));
    spawn(all.io(), obtain(all, 2, tokens(500), got));
    all.run_for(milliseconds(100));
    CHECK_EQUAL(2, got);
    CHECK(all.purse(0).free_of(team) == tokens(200));
    CHECK(all.held() == tokens(1000));
}

// What is left lies in pieces at several nodes; together it is enough.
TEST(token_desk, pieces_are_put_together)
{
    fleet all(1, 0);
    all.purse(0).credit(team, tokens(200));
    all.purse(1).credit(team, tokens(200));
    all.tell_stock();
    int got = 0;
    spawn(all.io(), obtain(all, 2, tokens(400), got));
    all.run_for(milliseconds(100));
    CHECK_EQUAL(1, got);
}

TEST(token_desk, a_request_that_nobody_can_cover_is_given_up)
{
    fleet all(1, 0);
    all.purse(0).credit(team, tokens(200));
    all.tell_stock();
    int got = 0;
    spawn(all.io(), obtain(all, 2, tokens(400), got));
    all.run_for(milliseconds(150));
    CHECK_EQUAL(0, got);
    CHECK(all.held() == tokens(200));
}

// Story: a third of all datagrams are lost and a third come twice, in any
// order. Tokens may get lost on the way; none may come into being.
TEST(token_desk, a_bad_network_makes_no_tokens)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        fleet all(seed, 0.33);
        all.purse(0).credit(team, tokens(5000));
        random_source random(seed);
        int got = 0;
        for (int i = 0; i < 30; ++i) {
            all.tell_stock();
            const tokens amount(
                static_cast<std::int64_t>(1 + random.below(300)));
            spawn(all.io(),
                  obtain(all, static_cast<int>(random.below(3)), amount, got));
            all.run_for(milliseconds(5));
            CHECK(all.held() <= tokens(5000));
        }
        all.run_for(milliseconds(100));
        CHECK(all.held() <= tokens(5000));
        CHECK(got > 5);
    }
}

TEST(token_desk, a_leaving_node_hands_its_tokens_on)
{
    fleet all(3, 0.33);
    all.purse(0).credit(team, tokens(1000));
    all.tell_stock();
    spawn(all.io(), all.desk(0).hand_over(milliseconds(800)));
    all.run_for(milliseconds(900));
    CHECK(all.purse(0).free_of(team) == tokens(0));
    CHECK(all.held() == tokens(1000));
}

// Story: the platform is away. A node holds tokens that urgent requests will
// want; a large request of less urgency leaves these where they are, also at
// the nodes that it asks.
TEST(token_desk, the_last_tokens_wait_for_more_urgent_requests)
{
    fleet all(4, 0);
    for (int i = 0; i < 2; ++i)
        all.purse(i).credit(team, tokens(20'000));
    all.desk(0).start(); // Finds that the platform is away.
    all.run_for(milliseconds(900));
    int urgent = 0;
    for (int i = 0; i < 8; ++i) {
        spawn(all.io(), obtain(all, 0, tokens(1'000), urgent));
        all.tell_stock();
        all.run_for(milliseconds(100));
    }
    CHECK_EQUAL(8, urgent);
    int others = 0;
    for (int i = 0; i < 8; ++i)
        spawn(all.io(), obtain(all, 0, tokens(4'000), others, 5));
    all.run_for(milliseconds(150));
    CHECK(others < 8);
    CHECK(all.held() == tokens(40'000));
    int more = 0;
    spawn(all.io(), obtain(all, 0, tokens(1'000), more));
    all.run_for(milliseconds(100));
    CHECK_EQUAL(1, more);
}

// Story: the platform is away and a team has tokens left there. Each request
// that waited for them asked the record anew as soon as it was told that
// nothing came; being told woke all that wait. The node did nothing else.
TEST(token_desk, requests_that_wait_in_an_outage_do_not_wake_each_other)
{
    fleet all(5, 0);
    all.desk(0).start();
    all.run_for(milliseconds(900));
    const std::size_t before = all.handlers();
    int got = 0;
    for (int i = 0; i < 10; ++i)
        spawn(all.io(), obtain(all, 0, tokens(1'000), got));
    all.run_for(milliseconds(200));
    CHECK_EQUAL(0, got);
    // A few questions each, and the loop's own upkeep.
    CHECK(all.handlers() - before < 2'000);
}

// Story: all processes are killed and start again. One that knows no
// configuration yet is asked for tokens by another, as one of the team's
// stockists, and ended with a fault.
TEST(token_desk, a_node_without_a_configuration_says_that_it_has_nothing)
{
    telemetry::set_log_sink([](auto&&...) {});
    asio::io_context io{1};
    system_clock time;
    node_tables tables(io, time, settings_of(0), 1);
    platform_client client(tables);
    std::vector<mesh::datagram> sent;
    token_desk desk(tables, client,
                    [&](const std::string&, const mesh::datagram& it) {
                        sent.push_back(it);
                    });
    desk.start();
    desk.on_ask({.life = mesh::node_life(7),
                 .number = mesh::transfer_number(1),
                 .team = team,
                 .wanted = tokens(500),
                 .urgency = 3},
                address_of(1));
    io.run_for(milliseconds(300));
    CHECK_EQUAL(1, sent.size());
    CHECK(sent[0].give && sent[0].give->amount == tokens(0));
    telemetry::set_log_sink(nullptr);
}
