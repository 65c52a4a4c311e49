// Tests of the store's era, and of draws from the record of allotments, in
// messages.

#include "fennelladder/mesh/messages.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

const catalog::store_era era(3);

node_heartbeat heartbeat()
{
    node_heartbeat out;
    out.host = host_id("a");
    out.peer_address = "10.0.0.1:7000";
    return out;
}

datagram passed(const datagram& message)
{
    auto got = decode_datagram(encode(message));
    CHECK(got.has_value());
    UNSIGNED_LONGS_EQUAL(0, got->invalid_parts);
    return *got;
}

std::vector<prepaid::known_draw> draws()
{
    const prepaid::allotment_epoch one{1, 77, era};
    const prepaid::allotment_epoch two{2, 78, era.next()};
    return {{one, team_id("t"), tokens(5)},
            {one, team_id("u"), tokens(6)},
            {two, team_id("t"), tokens(7)}};
}

} // namespace

TEST_GROUP(store_era){};

// Guards against positions that lose their era on the way.
TEST(store_era, is_passed_on_with_each_position)
{
    datagram message;
    message.heartbeat = heartbeat();
    message.heartbeat->store_era = era.next();
    message.heartbeat->targets_changed = catalog::revision(10, era);
    message.heartbeat->targets_as_of = catalog::revision(12, era);
    message.heartbeat->evacuations = {{}, catalog::revision(4, era)};
    message.heartbeat->target_update = {
        catalog::revision(9, era),
        catalog::revision(12, era),
        {{target_id("i"), std::nullopt, catalog::revision(10, era)}}};
    const auto got = passed(message);
    CHECK(got.heartbeat->store_era == era.next());
    CHECK(got.heartbeat->targets_changed == catalog::revision(10, era));
    CHECK(got.heartbeat->targets_as_of == catalog::revision(12, era));
    CHECK(got.heartbeat->evacuations->as_of == catalog::revision(4, era));
    CHECK(got.heartbeat->target_update->since == catalog::revision(9, era));
    CHECK(got.heartbeat->target_update->changes[0].at ==
          catalog::revision(10, era));

    sync_request ask;
    ask.targets_as_of = catalog::revision(12, era);
    CHECK(decode_sync_request(encode(ask))->targets_as_of == ask.targets_as_of);
    sync_reply reply;
    reply.targets_as_of = catalog::revision(12, era);
    reply.targets = {
        {target_id("i"), std::nullopt, catalog::revision(10, era)}};
    const auto back = decode_sync_reply(encode(reply));
    CHECK(back->targets_as_of == reply.targets_as_of);
    CHECK(back->targets[0].at == catalog::revision(10, era));
}

// A node of an earlier release states none.
TEST(store_era, is_the_lowest_if_none_is_stated)
{
    datagram message;
    message.heartbeat = heartbeat();
    message.heartbeat->targets_as_of = catalog::revision(12);
    const auto got = passed(message);
    CHECK(!got.heartbeat->store_era.has_value());
    CHECK(got.heartbeat->targets_as_of == catalog::revision(12));
}

TEST(store_era, draws_are_passed_on)
{
    datagram message;
    message.draw_report = {node_incarnation(4), 9, era, draws()};
    auto got = passed(message);
    CHECK(got.draw_report->draws == draws());
    CHECK(got.draw_report->era == era);
    UNSIGNED_LONGS_EQUAL(9, got.draw_report->number);

    message = {};
    message.draw_answer = {node_incarnation(4), 9, era, draws(),
                           node_incarnation(5), 1, 3};
    got = passed(message);
    CHECK(got.draw_answer->draws == draws());
    CHECK(got.draw_answer->reporter == node_incarnation(5));
    UNSIGNED_LONGS_EQUAL(1, got.draw_answer->part);
    UNSIGNED_LONGS_EQUAL(3, got.draw_answer->parts);

    message = {};
    message.draw_ack = {node_incarnation(4), 9, era, node_incarnation(5)};
    got = passed(message);
    CHECK(got.draw_ack->witness == node_incarnation(5));
    CHECK(got.draw_ack->era == era);

    message = {};
    message.draw_question = {node_incarnation(4), 9, era};
    CHECK(passed(message).draw_question->number == 9);
}

// Guards against a report of which only a part is acknowledged.
TEST(store_era, a_report_with_an_invalid_draw_is_dropped_whole)
{
    datagram message;
    auto bad = draws();
    bad[1].amount = tokens(-1);
    message.draw_report = {node_incarnation(4), 9, era, bad};
    const auto got = decode_datagram(encode(message));
    CHECK(got.has_value());
    CHECK(!got->draw_report.has_value());
    UNSIGNED_LONGS_EQUAL(1, got->invalid_parts);
}
