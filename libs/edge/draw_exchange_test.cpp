// Tests of whom a node asks what it knows of draws, and for how long.

#include "fennelladder/edge/draw_exchange.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

const catalog::store_era era(3);

adapter::host_settings settings()
{
    adapter::host_settings out;
    out.host = host_id("n0");
    out.seeds = {"10.0.0.9:1"};
    out.first_start = false;
    return out;
}

} // namespace

TEST_GROUP(draw_exchange)
{
    asio::io_context io{1};
    manual_clock time;
    std::vector<std::string> asked; ///< Addresses, in order.
    std::unique_ptr<node_tables> tables;
    std::unique_ptr<prepaid::record_keeper> keeper;
    std::unique_ptr<draw_exchange> draws;
    std::uint64_t sequence = 0;
    std::uint64_t question = 0;

    void setup() override
    {
        telemetry::set_log_sink([](auto&&...) {});
        tables = std::make_unique<node_tables>(io, time, settings(), 1);
        keeper = std::make_unique<prepaid::record_keeper>(host_id("n0"), "1.");
        draws = std::make_unique<draw_exchange>(
            *tables,
            [this](const std::string& to, const mesh::datagram& message) {
                if (!message.draw_question)
                    return;
                asked.push_back(to);
                question = message.draw_question->number;
            });
        draws->attach(*keeper);
        tables->note_store_era(era, "test");
    }

    void teardown() override
    {
        draws.reset();
        keeper.reset();
        tables.reset();
        telemetry::set_log_sink(nullptr);
    }

    void hear(int node, mesh::node_state state = mesh::node_state::ready)
    {
        mesh::node_heartbeat out;
        out.host = host_id("n" + std::to_string(node));
        out.incarnation = mesh::node_incarnation(std::uint64_t(node));
        out.sequence = ++sequence;
        out.state = state;
        out.peer_address = "10.0.0." + std::to_string(node) + ":1";
        out.store_era = era;
        out.uptime = minutes(1);
        tables->peers.on_heartbeat(out, time.now());
    }

    void answer(int node)
    {
        mesh::datagram message;
        message.draw_answer = {tables->incarnation,
                               question,
                               era,
                               {},
                               mesh::node_incarnation(std::uint64_t(node)),
                               0,
                               1};
        draws->on_message(message, "");
    }
};

// Guards against a repair that doesn't wait for answers, because the node had
// asked some others long before, when it started.
TEST(draw_exchange, time_to_answer_counts_from_the_question_to_all)
{
    time.advance(seconds(2));
    hear(1);
    draws->learn_at_start();
    CHECK_EQUAL(1, int(asked.size()));
    answer(1);
    time.advance(seconds(2));
    hear(1);
    hear(2);
    draws->ask();
    const prepaid::repair_view view = draws->view(false);
    CHECK(view.asked_for == duration(0));
    CHECK_EQUAL(2, int(view.asked));
    CHECK_EQUAL(1, int(view.answered));
    CHECK(!prepaid::may_repair(view));
    answer(2);
    CHECK(prepaid::may_repair(draws->view(false)));
}

// A node that has left doesn't come back, and its host's next process is
// another one.
TEST(draw_exchange, does_not_wait_for_a_node_that_left)
{
    time.advance(seconds(4));
    hear(1);
    hear(2, mesh::node_state::leaving);
    time.advance(seconds(5));
    hear(1);
    draws->ask();
    answer(1);
    CHECK(draws->view(false).eldest_silent == duration(0));
    CHECK(prepaid::may_repair(draws->view(false)));
}

// Guards against a node that is cut off from all others, and repairs the record
// by what it alone knows.
TEST(draw_exchange, a_node_that_hears_nobody_waits)
{
    time.advance(seconds(4));
    hear(1);
    time.advance(seconds(5));
    draws->ask();
    CHECK(!prepaid::may_repair(draws->view(false)));
    time.advance(seconds(6));
    CHECK(prepaid::may_repair(draws->view(false)));
}
