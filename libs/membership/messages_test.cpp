#include "fennelladder/membership/messages.hpp"

#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace fennelladder;
using namespace fennelladder::membership;
using fennelladder::testing::check_property;

namespace {

member_update some_update(const std::string& host)
{
    member_update out;
    out.host = host_id(host);
    out.version = 3'000'000'000;
    out.state = member_state::draining;
    out.health = member_health::suspect;
    out.life_tag = 0xFFFFFFFF;
    out.description = member_description{
        incarnation_id("l"), data_center_id("d"), region_id("r"), "a", "b", 7};
    return out;
}

heartbeat full_heartbeat()
{
    heartbeat out;
    out.gossip.sender = some_update("s");
    out.gossip.sample = {host_id("s"), 9, 500, generation(4)};
    out.gossip.highest_generation = generation(5);
    out.gossip.digest = 0xFFFFFFFFFFFFFFFF;
    out.gossip.updates = {some_update("x"), some_update("y")};
    out.gossip.samples = {{host_id("x"), 1, 2, generation(3)}};
    out.gossip.extension = std::string("\0\xff", 2);
    out.describe = true;
    out.relay_target = host_id("t");
    out.heard = {host_id("h")};
    out.page_after = host_id();
    out.page_limit = 16;
    return out;
}

heartbeat_reply full_reply()
{
    heartbeat_reply out;
    out.gossip = full_heartbeat().gossip;
    out.describe = true;
    out.page = {some_update("p")};
    out.page_after = host_id("o");
    out.page_last = true;
    return out;
}

} // namespace

TEST_GROUP(messages){};

TEST(messages, survive_their_encoding)
{
    const std::string bytes = encode(full_heartbeat());
    const auto read = decode_heartbeat(bytes);
    CHECK(read.has_value());
    CHECK(encode(*read) == bytes);
    CHECK(read->gossip.updates[1].description == some_update("y").description);
    CHECK(read->gossip.sample.host == host_id("s"));
    CHECK(read->page_after == host_id());
    const std::string answer = encode(full_reply());
    const auto reply = decode_heartbeat_reply(answer);
    CHECK(reply.has_value());
    CHECK(encode(*reply) == answer);
    CHECK(reply->page_last);
}

TEST(messages, refuse_what_is_too_large)
{
    const std::string bytes(max_message_bytes + 1, 'x');
    CHECK(decode_heartbeat(bytes).error().code == error_code::too_large);
}

// Bytes come over the network from anyone: whatever they are, decoding gives a
// message that can be encoded again, or an error.
TEST(messages, any_bytes_are_a_message_or_an_error)
{
    check_property({.name = "bytes", .seed = 4, .cases = 3000}, [] {
        std::string bytes = encode(full_heartbeat());
        const auto changes = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::arbitrary<std::uint32_t>());
        for (const std::uint32_t it : changes)
            bytes[it / 256 % bytes.size()] = static_cast<char>(it % 256);
        bytes.resize(bytes.size() - changes.size() % 7);
        const auto read = decode_heartbeat(bytes);
        if (read)
            RC_ASSERT(decode_heartbeat(encode(*read)).has_value());
        else
            RC_ASSERT(read.error().code == error_code::corrupt);
    });
}
