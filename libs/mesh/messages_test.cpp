#include "fennelladder/base/random.hpp"
#include "fennelladder/mesh/messages.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

beacon sample()
{
    beacon out;
    out.host = host_id("austin-1");
    out.life = node_life(77);
    out.sequence = 5;
    out.state = node_state::ready;
    out.data_center = data_center_id("austin");
    out.caller_address = "10.0.0.1:80";
    out.peer_address = "10.0.0.1:7000";
    out.configuration = catalog::configuration_version(9);
    out.targets_changed = catalog::revision(12);
    out.platform_reached = true;
    out.requests_per_second = 12.5;
    out.capacity = 400;
    out.configuration_age = milliseconds(250);
    catalog::target_entry leaving;
    leaving.id = target_id("i-1");
    leaving.leaving = true;
    out.target_news = {
        catalog::revision(10),
        catalog::revision(12),
        {{leaving.id, leaving, catalog::revision(11)},
         {target_id("i-2"), std::nullopt, catalog::revision(12)}}};
    out.load = {{target_id("i-1"), 3, 400}};
    out.stock = {{team_id("t"), tokens(1000), tokens(20)}};
    out.poison = {{dispatch::request_mark(0xfedcba9876543210),
                   {target_id("i-1"), target_id("i-2")}}};
    out.introduced = {"10.0.0.2:7000"};
    out.heard = {{node_life(78), milliseconds(40)}};
    return out;
}

} // namespace

TEST_GROUP(mesh_messages){};

TEST(mesh_messages, a_beacon_survives_its_spelling)
{
    datagram message;
    message.hello = sample();
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->hello && !got->ask);
    const beacon& it = *got->hello;
    CHECK(it.host == host_id("austin-1"));
    CHECK(it.life == node_life(77));
    CHECK(it.state == node_state::ready);
    CHECK(it.configuration == catalog::configuration_version(9));
    CHECK(it.configuration_age == milliseconds(250));
    CHECK(!it.targets_age);
    CHECK(it.target_news->since == catalog::revision(10));
    CHECK(it.target_news->as_of == catalog::revision(12));
    CHECK(it.target_news->changes.at(0).entry->leaving);
    CHECK(!it.target_news->changes.at(1).entry);
    CHECK(it.heard.at(0).life == node_life(78));
    CHECK(it.heard.at(0).ago == milliseconds(40));
    CHECK(it.load.at(0).reading == 400);
    CHECK(it.stock.at(0).spent_per_second == tokens(20));
    CHECK(it.poison.at(0).mark == dispatch::request_mark(0xfedcba9876543210));
    UNSIGNED_LONGS_EQUAL(2, it.poison.at(0).deaths.size());
    STRCMP_EQUAL("10.0.0.2:7000", it.introduced.at(0).c_str());
}

TEST(mesh_messages, transfers_survive_their_spelling)
{
    datagram message;
    message.ask = {node_life(1), transfer_number(2), team_id("t"), tokens(300)};
    message.give = {node_life(1), transfer_number(2), team_id("t"),
                    tokens(250)};
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->ask && got->give);
    CHECK(got->ask->wanted == tokens(300));
    CHECK(got->give->amount == tokens(250));
}

// A negative amount would make tokens at one of the two ends.
TEST(mesh_messages, a_negative_amount_is_no_message)
{
    datagram message;
    message.give = {node_life(1), transfer_number(2), team_id("t"),
                    tokens(-250)};
    CHECK(!decode_datagram(encode(message)));
}

TEST(mesh_messages, a_list_of_targets_survives_its_spelling)
{
    sync_reply reply;
    reply.configuration = "{}";
    reply.targets_as_of = catalog::revision(20);
    catalog::target_entry entry;
    entry.id = target_id("i-1");
    entry.address = "10.0.0.9:80";
    entry.leaving = true;
    reply.targets = {{entry.id, entry, catalog::revision(19)},
                     {target_id("i-2"), std::nullopt, catalog::revision(20)}};
    const auto got = decode_sync_reply(encode(reply));
    CHECK(got.has_value());
    CHECK(got->targets.at(0).entry == entry);
    CHECK(!got->targets.at(1).entry);
    CHECK(got->targets.at(1).at == catalog::revision(20));
}

// Bytes from anywhere are a message or an error, never a crash.
TEST(mesh_messages, damaged_bytes_end_nothing)
{
    datagram message;
    message.hello = sample();
    const std::string good = encode(message);
    random_source random(3);
    for (int i = 0; i < 3000; ++i) {
        std::string bytes = good.substr(0, random.below(good.size() + 1));
        for (int k = 0; k < 3 && !bytes.empty(); ++k)
            bytes[random.below(bytes.size())] =
                static_cast<char>(random.below(256));
        (void)decode_datagram(bytes);
        (void)decode_sync_ask(bytes);
        (void)decode_sync_reply(bytes);
    }
}

// Story: a target says that it leaves while a large configuration is on its
// way to a small host. The news of both came in one message, three quarters of
// a second after the target had to be left alone.
TEST(mesh_messages, targets_are_asked_for_before_a_configuration)
{
    const sync_ask known{catalog::configuration_version(7),
                         catalog::revision(90)};
    const sync_ask first = next_ask(known, catalog::revision(91));
    CHECK(first.targets_as_of == known.targets_as_of);
    CHECK(first.configuration > catalog::configuration_version(1'000'000));
    const sync_ask then = next_ask(known, catalog::revision(90));
    CHECK(then.configuration == known.configuration);
    // A node that died had said it knew more; the others never will.
    const sync_ask of_another = next_ask(known, catalog::revision(40));
    CHECK(of_another.configuration == known.configuration);
}
