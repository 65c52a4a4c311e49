// Transfers of tokens between nodes over a network that loses, duplicates and
// reorders datagrams.

#include "token_fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;
using namespace fennelladder::edge::token_fleet;

TEST_GROUP(token_allocator){};

TEST(token_allocator, a_node_without_tokens_gets_them_from_a_peer)
{
    fleet all(1, 0);
    all.token_balances(0).credit(team, tokens(1000));
    all.exchange_stock();
    int got = 0;
    spawn(all.io(), acquire(all, 1, tokens(300), got));
    spawn(all.io(), acquire(all, 2, tokens(500), got));
    all.run_for(milliseconds(100));
    CHECK_EQUAL(2, got);
    CHECK(all.token_balances(0).free_of(team) == tokens(200));
    CHECK(all.held() == tokens(1000));
}

// The remaining tokens are spread over several nodes; together they suffice.
TEST(token_allocator, tokens_of_several_peers_are_combined)
{
    fleet all(1, 0);
    all.token_balances(0).credit(team, tokens(200));
    all.token_balances(1).credit(team, tokens(200));
    all.exchange_stock();
    int got = 0;
    spawn(all.io(), acquire(all, 2, tokens(400), got));
    all.run_for(milliseconds(100));
    CHECK_EQUAL(1, got);
}

TEST(token_allocator, a_request_that_no_node_can_cover_is_refused)
{
    fleet all(1, 0);
    all.token_balances(0).credit(team, tokens(200));
    all.exchange_stock();
    int got = 0;
    spawn(all.io(), acquire(all, 2, tokens(400), got));
    all.run_for(milliseconds(150));
    CHECK_EQUAL(0, got);
    CHECK(all.held() == tokens(200));
}

// Guards against nodes that each hold a part of the last tokens, wait for the
// rest, and refuse each other.
TEST(token_allocator, of_nodes_that_wait_at_once_one_collects)
{
    for (const bool knows_outage : {false, true})
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            const collected got =
                ask_everywhere(3, tokens(400), tokens(600), seed, knows_outage);
            LONGS_EQUAL(2, got.served);
            LONGS_EQUAL(1200, got.held.count());
        }
}

// Guards against leftovers on several nodes, each smaller than any request,
// that serve nobody when all nodes ask at once.
TEST(token_allocator, leftovers_of_eight_nodes_serve_what_they_cover)
{
    check_leftovers(8);
}

// Guards against an urgent request that is refused while a node keeps tokens
// for a less urgent one.
TEST(token_allocator, of_nodes_that_wait_the_more_urgent_one_collects)
{
    for (const int urgent : {0, 1, 2}) {
        fleet all(7, 0);
        for (int i = 0; i < 3; ++i)
            all.token_balances(i).credit(team, tokens(250));
        for (int i = 0; i < 3; ++i)
            all.allocator(i).start(); // Finds that the platform is unreachable.
        all.run_for(milliseconds(600));
        all.exchange_stock();
        int got = 0;
        int others = 0;
        for (int i = 0; i < 3; ++i)
            spawn(all.io(),
                  acquire(all, i, tokens(600), i == urgent ? got : others,
                          i == urgent ? 1 : 4));
        all.run_for(milliseconds(100));
        LONGS_EQUAL(1, got);
        LONGS_EQUAL(0, others);
    }
}

// A third of all datagrams are lost and a third of the others arrive twice, in
// any order. None may be created.
TEST(token_allocator, a_lossy_network_creates_no_tokens)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        fleet all(seed, 0.33);
        all.token_balances(0).credit(team, tokens(5000));
        random_source random(seed);
        int got = 0;
        for (int i = 0; i < 30; ++i) {
            all.exchange_stock();
            const tokens amount(
                static_cast<std::int64_t>(1 + random.below(300)));
            spawn(all.io(),
                  acquire(all, static_cast<int>(random.below(3)), amount, got));
            all.run_for(milliseconds(5));
            CHECK(all.held() <= tokens(5000));
        }
        all.run_for(milliseconds(100));
        CHECK(all.held() <= tokens(5000));
        CHECK(got > 5);
    }
}

// Guards against tokens that are gone with a lost grant: the giver debited
// them, nobody credited them, and all nodes lived on.
TEST(token_allocator, a_lossy_network_loses_no_tokens)
{
    for (const double loss : {0.1, 0.33})
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            fleet all(seed, loss);
            all.token_balances(0).credit(team, tokens(5000));
            random_source random(seed);
            int got = 0;
            acquire_at_random(all, random, 30, got);
            all.settle(seconds(20));
            CHECK(got > 5);
            LONGS_EQUAL(5000, all.held().count());
            LONGS_EQUAL(0, all.in_transit().count());
        }
}

// Guards against tokens that are credited twice, by the process that asked for
// them and by the next one on its host, or given twice by two processes.
TEST(token_allocator, restarts_create_no_tokens)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        fleet all(seed, 0.33);
        random_source random(seed);
        int got = 0;
        tokens total;
        for (int round = 0; round < 12; ++round) {
            const int giver = static_cast<int>(random.below(3));
            all.token_balances(giver).credit(team, tokens(1000));
            total += tokens(1000);
            acquire_at_random(all, random, 4, got);
            CHECK(all.ever_held() <= total);
            all.restart(static_cast<int>(random.below(3)));
        }
        all.settle(seconds(20));
        CHECK(all.ever_held() <= total);
        CHECK(got > 0);
        LONGS_EQUAL(0, all.in_transit().count());
    }
}

// Guards against tokens that a leaving node takes along because the grant of
// them was lost shortly before.
TEST(token_allocator, a_leaving_node_waits_for_its_grants_to_arrive)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        fleet all(seed, 0.33);
        all.token_balances(0).credit(team, tokens(1000));
        all.exchange_stock();
        int got = 0;
        spawn(all.io(), acquire(all, 1, tokens(300), got));
        spawn(all.io(), acquire(all, 2, tokens(500), got));
        all.run_for(milliseconds(10));
        spawn(all.io(), all.allocator(0).push_all(milliseconds(1500)));
        all.run_for(milliseconds(1600));
        CHECK(all.token_balances(0).free_of(team) == tokens(0));
        LONGS_EQUAL(1000, all.held().count());
        LONGS_EQUAL(0, all.allocator(0).in_transit().count());
    }
}

// Guards against a grant that is lost because its request had given up, or
// credited again because its acknowledgement was lost.
TEST(token_allocator, a_late_grant_is_credited_once_and_acknowledged_each_time)
{
    telemetry::set_log_sink([](auto&&...) {});
    asio::io_context io{1};
    system_clock time;
    node_tables tables(io, time, settings_of(0), 1);
    platform_client client(tables);
    std::vector<mesh::datagram> sent;
    token_allocator allocator(
        tables, client, [&](const std::string&, const mesh::datagram& it) {
            sent.push_back(it);
        });
    catalog::configuration_parts parts;
    parts.version = catalog::configuration_version(1);
    catalog::team payer;
    payer.id = team;
    payer.prepaid = tokens(1'000);
    parts.teams = {payer};
    tables.apply_configuration(std::move(parts), "", "test");
    mesh::node_heartbeat hello;
    hello.host = host_id("n1");
    hello.incarnation = mesh::node_incarnation(7);
    hello.state = mesh::node_state::ready;
    hello.peer_address = address_of(1);
    hello.stock = {{team, tokens(500), tokens(0)}};
    tables.peers.on_heartbeat(hello, tables.now());
    allocator.on_heartbeat(hello);
    const auto ask = [&]() -> awaitable<void> {
        const instant until = tables.now() + milliseconds(20);
        co_await allocator.acquire(team, tokens(300), 0, until);
    };
    spawn(io, ask());
    io.run_for(milliseconds(60));
    CHECK(!sent.empty() && sent[0].request);
    const mesh::token_grant late{sent[0].request->incarnation,
                                 sent[0].request->number,
                                 team,
                                 tokens(300),
                                 {}};
    sent.clear();
    for (int i = 0; i < 3; ++i)
        allocator.on_token_grant(late, address_of(1));
    CHECK(tables.token_balances.free_of(team) == tokens(300));
    LONGS_EQUAL(3, sent.size());
    for (const mesh::datagram& it : sent)
        CHECK(it.grant_ack && it.grant_ack->number == late.number);
    sent.clear();
    mesh::token_grant of_another = late;
    of_another.incarnation = mesh::node_incarnation(8);
    allocator.on_token_grant(of_another, address_of(1));
    CHECK(tables.token_balances.free_of(team) == tokens(300));
    LONGS_EQUAL(0, sent.size());
    telemetry::set_log_sink(nullptr);
}

TEST(token_allocator, a_leaving_node_pushes_its_tokens_to_others)
{
    fleet all(3, 0.33);
    all.token_balances(0).credit(team, tokens(1000));
    all.exchange_stock();
    spawn(all.io(), all.allocator(0).push_all(milliseconds(800)));
    all.run_for(milliseconds(900));
    CHECK(all.token_balances(0).free_of(team) == tokens(0));
    CHECK(all.held() == tokens(1000));
}

// The platform is unreachable. A large request of low urgency must not use the
// tokens that urgent requests will need, neither on its own node nor on the
// nodes that receive its token requests.
TEST(token_allocator, the_last_tokens_are_kept_for_more_urgent_requests)
{
    fleet all(4, 0);
    for (int i = 0; i < 2; ++i)
        all.token_balances(i).credit(team, tokens(20'000));
    all.allocator(0).start(); // Finds that the platform is unreachable.
    all.run_for(milliseconds(900));
    int urgent = 0;
    for (int i = 0; i < 8; ++i) {
        spawn(all.io(), acquire(all, 0, tokens(1'000), urgent));
        all.exchange_stock();
        all.run_for(milliseconds(100));
    }
    CHECK_EQUAL(8, urgent);
    int others = 0;
    for (int i = 0; i < 8; ++i)
        spawn(all.io(), acquire(all, 0, tokens(4'000), others, 5));
    all.run_for(milliseconds(150));
    CHECK(others < 8);
    CHECK(all.held() == tokens(40'000));
    int more = 0;
    spawn(all.io(), acquire(all, 0, tokens(1'000), more));
    all.run_for(milliseconds(100));
    CHECK_EQUAL(1, more);
}

// The platform is unreachable while a team has tokens left in the record. Each
// waiting request requested them again as soon as a round ended without any,
// and each end of a round woke all waiters, so the node was busy with nothing
// else.
TEST(token_allocator, requests_waiting_in_an_outage_do_not_wake_each_other)
{
    fleet all(5, 0);
    all.allocator(0).start();
    all.run_for(milliseconds(900));
    const std::size_t before = all.handlers();
    int got = 0;
    for (int i = 0; i < 10; ++i)
        spawn(all.io(), acquire(all, 0, tokens(1'000), got));
    all.run_for(milliseconds(200));
    CHECK_EQUAL(0, got);
    // A few requests to the record each, and the loop's periodic work.
    CHECK(all.handlers() - before < 2'000);
}

// All processes are killed and restarted. A node without a configuration
// receives a token request, as one of the team's stock holders; it crashed on
// it.
TEST(token_allocator, a_node_without_a_configuration_grants_nothing)
{
    telemetry::set_log_sink([](auto&&...) {});
    asio::io_context io{1};
    system_clock time;
    node_tables tables(io, time, settings_of(0), 1);
    platform_client client(tables);
    std::vector<mesh::datagram> sent;
    token_allocator allocator(
        tables, client, [&](const std::string&, const mesh::datagram& it) {
            sent.push_back(it);
        });
    allocator.start();
    allocator.on_token_request({.incarnation = mesh::node_incarnation(7),
                                .number = mesh::transfer_number(1),
                                .team = team,
                                .wanted = tokens(500),
                                .urgency = 3},
                               address_of(1));
    io.run_for(milliseconds(300));
    CHECK_EQUAL(1, sent.size());
    CHECK(sent[0].grant && sent[0].grant->amount == tokens(0));
    telemetry::set_log_sink(nullptr);
}
