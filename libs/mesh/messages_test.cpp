#include "fennelladder/base/random.hpp"
#include "fennelladder/base/thrift_codec.hpp"
#include "fennelladder/dispatch/quarantine.hpp"
#include "fennelladder/mesh/messages.hpp"
#include "mesh_types.h"

#include <CppUTest/TestHarness.h>
#include <cmath>
#include <functional>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

node_heartbeat sample()
{
    node_heartbeat out;
    out.host = host_id("austin-1");
    out.incarnation = node_incarnation(77);
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
    leaving.service = service_id("s");
    leaving.address = "10.0.0.9:80";
    leaving.software = catalog::software_version("v1.2");
    leaving.leaving = true;
    out.target_update = {
        catalog::revision(10),
        catalog::revision(12),
        {{leaving.id, leaving, catalog::revision(11)},
         {target_id("i-2"), std::nullopt, catalog::revision(12)}}};
    out.load = {{target_id("i-1"), 3, 400, catalog::target_start(42)}};
    out.stock = {{team_id("t"), tokens(1000), tokens(20)}};
    const dispatch::run_place place(7);
    out.crash_records = {
        {{0xfedcba9876543210, true},
         {{{target_id("i-1"), catalog::target_start(41)},
           place,
           milliseconds(300),
           milliseconds(40),
           true},
          {{target_id("i-1"), catalog::target_start(42)}, place},
          {{target_id("i-2")}, place}},
         {{place, milliseconds(20)}}}};
    out.introduced = {"10.0.0.2:7000"};
    out.targets_as_of = catalog::revision(14);
    out.evacuations = {{data_center_id("austin"), data_center_id("houston")},
                       catalog::revision(13)};
    out.evacuations_age = milliseconds(80);
    out.uptime = seconds(70);
    out.fleets_lost = 0.25;
    out.limits = {
        {target_id("i-1"), catalog::target_start(42), 1.3, milliseconds(500)},
        {target_id("i-2"), {}, std::nullopt, milliseconds(20)}};
    out.leaving = {{target_id("i-3"), catalog::target_start(43)},
                   {target_id("i-4"), {}}};
    out.brittle = {
        {target_id("i-1"), catalog::target_start(42), 5, milliseconds(70)}};
    out.reached = {{0xfedcba98, milliseconds(150)}, {7, milliseconds(0)}};
    out.cut_off = true;
    out.is_brief = true;
    out.heard = {{node_incarnation(78), milliseconds(40)}};
    return out;
}

catalog::target_change usable(const char* id, std::uint64_t at)
{
    catalog::target_entry out;
    out.id = target_id(id);
    out.service = service_id("s");
    out.address = "10.0.0.9:80";
    out.slots = 4;
    return {out.id, out, catalog::revision(at)};
}

/// Changes with entries that no target can have written.
std::vector<catalog::target_change> invalid_changes()
{
    using catalog::target_entry;
    const std::vector<std::function<void(target_entry&)>> faults = {
        [](target_entry& it) { it.service = service_id(); },
        [](target_entry& it) { it.address = "nowhere"; },
        [](target_entry& it) { it.address = ""; },
        [](target_entry& it) { it.address = "10.0.0.9:0"; },
        [](target_entry& it) { it.slots = 0; },
        [](target_entry& it) { it.slots = 0xffffffff; },
        [](target_entry& it) { it.remaining_warm_up = seconds(-1); },
        [](target_entry& it) { it.remaining_warm_up = hours(24 * 365 * 200); }};
    std::vector<catalog::target_change> out;
    for (const auto& corrupt : faults) {
        out.push_back(usable(("x" + std::to_string(out.size())).c_str(), 11));
        corrupt(*out.back().entry);
    }
    return out;
}

/// Checks that all rows between two usable ones are removals, and none is
/// missing.
void check_invalid_between_usable(
    const std::vector<catalog::target_change>& got)
{
    UNSIGNED_LONGS_EQUAL(invalid_changes().size() + 2, got.size());
    CHECK(got.front().entry && got.back().entry);
    for (std::size_t i = 1; i + 1 < got.size(); ++i)
        CHECK(!got[i].entry);
}

std::vector<catalog::target_change> invalid_between_usable()
{
    auto out = invalid_changes();
    out.insert(out.begin(), usable("i-1", 11));
    out.push_back(usable("i-2", 12));
    return out;
}

} // namespace

TEST_GROUP(mesh_messages){};

TEST(mesh_messages, a_heartbeat_survives_encoding)
{
    datagram message;
    message.heartbeat = sample();
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->heartbeat && !got->request);
    const node_heartbeat& it = *got->heartbeat;
    CHECK(it.host == host_id("austin-1"));
    CHECK(it.incarnation == node_incarnation(77));
    CHECK(it.state == node_state::ready);
    CHECK(it.configuration == catalog::configuration_version(9));
    CHECK(it.configuration_age == milliseconds(250));
    CHECK(!it.targets_age);
    CHECK(it.target_update->since == catalog::revision(10));
    CHECK(it.target_update->as_of == catalog::revision(12));
    CHECK(it.target_update->changes.at(0).entry->leaving);
    CHECK(!it.target_update->changes.at(1).entry);
    CHECK(it.evacuations == sample().evacuations);
    CHECK(it.evacuations_age == milliseconds(80));
    CHECK(it.uptime == seconds(70));
    DOUBLES_EQUAL(0.25, *it.fleets_lost, 1e-9);
    UNSIGNED_LONGS_EQUAL(2, it.limits.size());
    CHECK(it.limits.at(0).target == target_id("i-1"));
    CHECK(it.limits.at(0).start == catalog::target_start(42));
    DOUBLES_EQUAL(1.3, *it.limits.at(0).rate, 1e-9);
    CHECK(it.limits.at(0).ago == milliseconds(500));
    CHECK(!it.limits.at(1).rate);
    CHECK(it.leaving == sample().leaving);
    CHECK(it.reached == sample().reached);
    CHECK(it.brittle.at(0).target == target_id("i-1"));
    CHECK(it.brittle.at(0).rate == 5.0);
    CHECK(it.brittle.at(0).ago == milliseconds(70));
    CHECK(it.cut_off);
    CHECK(it.is_brief);
    CHECK(it.targets_as_of == catalog::revision(14));
    CHECK(it.heard.at(0).incarnation == node_incarnation(78));
    CHECK(it.heard.at(0).ago == milliseconds(40));
    CHECK(it.load.at(0).reading == 400);
    CHECK(it.stock.at(0).spent_per_second == tokens(20));
    const auto& record = it.crash_records.at(0);
    const dispatch::crash_record sent = sample().crash_records.at(0);
    CHECK(record.mark == sent.mark);
    UNSIGNED_LONGS_EQUAL(3, record.deaths.size());
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(record.deaths[i].target == sent.deaths[i].target);
        CHECK(record.deaths[i].place == sent.deaths[i].place);
        CHECK(record.deaths[i].at == sent.deaths[i].at);
        CHECK(record.deaths[i].ran == sent.deaths[i].ran);
        CHECK(record.deaths[i].leased == sent.deaths[i].leased);
    }
    CHECK(record.answers.at(0).place == sent.answers.at(0).place);
    // An answer may have come earlier by the time that the message took.
    CHECK(record.answers.at(0).at >= sent.answers.at(0).at);
    CHECK(it.load.at(0).start == catalog::target_start(42));
    STRCMP_EQUAL("10.0.0.2:7000", it.introduced.at(0).c_str());
}

// Guards against evacuations that end because a part of their list is invalid.
TEST(mesh_messages, evacuations_with_an_invalid_part_are_dropped)
{
    const std::vector<std::function<void(catalog::evacuation_state&)>> faults =
        {[](auto& it) { it.as_of = catalog::revision(); },
         [](auto& it) { it.as_of = catalog::revision(UINT64_MAX); },
         [](auto& it) { it.data_centers.emplace_back(""); },
         [](auto& it) { it.data_centers.emplace_back(std::string(300, 'x')); },
         [](auto& it) {
             it.data_centers.resize(catalog::max_evacuations + 1,
                                    data_center_id("d"));
         }};
    for (const auto& corrupt : faults) {
        datagram message;
        message.heartbeat = sample();
        corrupt(*message.heartbeat->evacuations);
        const auto got = decode_datagram(encode(message));
        CHECK(got && got->heartbeat);
        CHECK(!got->heartbeat->evacuations);
        CHECK(got->invalid_parts > 0);
    }
}

// Guards against a negative start, from a node of an earlier release or a
// damaged datagram. Converted to unsigned it would be later than any other, and
// no later process of that target would be accepted.
TEST(mesh_messages, a_negative_start_is_unknown)
{
    datagram message;
    message.heartbeat = sample();
    const catalog::target_start below(~std::uint64_t(0));
    message.heartbeat->load.at(0).start = below;
    message.heartbeat->target_update->changes.at(0).entry->start = below;
    message.heartbeat->crash_records.at(0).deaths.at(0).target.start = below;
    const auto got = decode_datagram(encode(message));
    CHECK(!is_known(got->heartbeat->load.at(0).start));
    CHECK(!is_known(got->heartbeat->target_update->changes.at(0).entry->start));
    CHECK(!is_known(
        got->heartbeat->crash_records.at(0).deaths.at(0).target.start));
}

TEST(mesh_messages, leave_to_run_a_request_survives_encoding)
{
    datagram message;
    message.run_question = mesh::run_question{node_incarnation(1),
                                              2,
                                              dispatch::run_place(7),
                                              {{5, false}, {6, true}}};
    message.run_answer = mesh::run_answer{
        node_incarnation(1), 2, true, milliseconds(30), sample().crash_records};
    message.run_end = mesh::run_end{node_incarnation(1), 2, milliseconds(1500)};
    message.crash_records = sample().crash_records;
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->run_question && got->run_answer && got->run_end);
    CHECK(got->run_question->marks == message.run_question->marks);
    CHECK(got->run_question->place == dispatch::run_place(7));
    CHECK(got->run_answer->granted);
    CHECK(got->run_answer->retry_after == milliseconds(30));
    UNSIGNED_LONGS_EQUAL(1, got->run_answer->records.size());
    CHECK(got->run_end->hold == milliseconds(1500));
    UNSIGNED_LONGS_EQUAL(1, got->crash_records.size());
    UNSIGNED_LONGS_EQUAL(0, got->invalid_parts);
}

// Nodes of earlier releases tell the processes that died and nothing else. Two
// deaths condemn a request there, and so they do here.
TEST(mesh_messages, deaths_without_times_are_rounds_of_their_own)
{
    wire::Datagram old;
    wire::Poison record;
    record.mark = 5;
    record.deaths = {"i-1", "i-2"};
    old.__set_crash_records({record});
    const auto got = decode_datagram(to_bytes(old));
    CHECK(got.has_value());
    dispatch::quarantine table;
    const instant now(seconds(100));
    table.merge(got->crash_records.at(0), now);
    CHECK(
        table
            .assess(dispatch::crash_mark::of(dispatch::request_fingerprint(5)),
                    {}, dispatch::run_place(7), now)
            .level == dispatch::suspicion::condemned);
}

TEST(mesh_messages, transfers_survive_encoding)
{
    datagram message;
    message.request = {node_incarnation(1), transfer_number(2), team_id("t"),
                       tokens(300)};
    message.grant = {node_incarnation(1), transfer_number(2), team_id("t"),
                     tokens(250)};
    message.grant_ack = {node_incarnation(1), transfer_number(3)};
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->request && got->grant && got->grant_ack);
    CHECK(!got->push_ack);
    CHECK(got->grant_ack->incarnation == node_incarnation(1));
    CHECK(got->grant_ack->number == transfer_number(3));
    CHECK(got->request->wanted == tokens(300));
    CHECK(got->grant->amount == tokens(250));
}

// A negative amount would create tokens at one of the two nodes.
TEST(mesh_messages, a_negative_amount_is_rejected)
{
    datagram message;
    message.grant = {node_incarnation(1), transfer_number(2), team_id("t"),
                     tokens(-250)};
    CHECK(!decode_datagram(encode(message)));
}

TEST(mesh_messages, a_list_of_targets_survives_encoding)
{
    sync_reply reply;
    reply.configuration = "{}";
    reply.targets_as_of = catalog::revision(20);
    catalog::target_entry entry;
    entry.id = target_id("i-1");
    entry.service = service_id("s");
    entry.address = "10.0.0.9:80";
    entry.start = catalog::target_start(42);
    entry.leaving = true;
    reply.targets = {{entry.id, entry, catalog::revision(19)},
                     {target_id("i-2"), std::nullopt, catalog::revision(20)}};
    const auto got = decode_sync_reply(encode(reply));
    CHECK(got.has_value());
    CHECK(got->targets.at(0).entry == entry);
    CHECK(!got->targets.at(1).entry);
    CHECK(got->targets.at(1).at == catalog::revision(20));
}

// Arbitrary bytes decode to a message or an error, and never crash.
TEST(mesh_messages, damaged_bytes_do_not_crash)
{
    datagram message;
    message.heartbeat = sample();
    const std::string good = encode(message);
    random_source random(3);
    for (int i = 0; i < 3000; ++i) {
        std::string bytes = good.substr(0, random.below(good.size() + 1));
        for (int k = 0; k < 3 && !bytes.empty(); ++k)
            bytes[random.below(bytes.size())] =
                static_cast<char>(random.below(256));
        (void)decode_datagram(bytes);
        (void)decode_sync_request(bytes);
        (void)decode_sync_reply(bytes);
    }
}

TEST(mesh_messages, a_sync_request_survives_encoding)
{
    for (const sync_part part :
         {sync_part::both, sync_part::targets, sync_part::configuration}) {
        const auto got = decode_sync_request(
            encode(sync_request{catalog::configuration_version(7),
                                catalog::revision(90), part, "10.0.0.1:7000"}));
        CHECK(got.has_value());
        CHECK(got->configuration == catalog::configuration_version(7));
        CHECK(got->targets_as_of == catalog::revision(90));
        CHECK(got->part == part);
        STRCMP_EQUAL("10.0.0.1:7000", got->peer_address.c_str());
    }
}

// Guards against a report that makes a target seem to be heard from later than
// it was.
TEST(mesh_messages, ages_of_reached_targets_are_rounded_up)
{
    datagram message;
    message.heartbeat = sample();
    message.heartbeat->reached = {{1, milliseconds(51)}, {2, minutes(9)}};
    const auto got = decode_datagram(encode(message));
    CHECK(got->heartbeat->reached.at(0).ago == milliseconds(100));
    CHECK(got->heartbeat->reached.at(1).ago == milliseconds(255 * 50));
}

TEST(mesh_messages, records_of_streams_survive_encoding)
{
    const dispatch::aged_origin record{
        {dispatch::stream_key(0xfedcba9876543210), service_id("s"),
         catalog::software_version("v1.2"), 2},
        milliseconds(1500)};
    datagram message;
    message.origins = {record};
    message.stream_question = origin_question{
        node_incarnation(77), 5, record.origin.key, service_id("s")};
    message.stream_answer = origin_answer{
        node_incarnation(78),
        6,
        host_id("n2"),
        record,
        {{catalog::software_version("v1"), catalog::software_version()}, true}};
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->origins.size() == 1 && got->invalid_parts == 0);
    CHECK(got->origins[0].origin == record.origin);
    CHECK(got->origins[0].age == record.age);
    CHECK(got->stream_question->key == record.origin.key);
    CHECK(got->stream_question->number == 5);
    CHECK(got->stream_answer->origin->origin == record.origin);
    CHECK(got->stream_answer->versions.complete);
    CHECK(got->stream_answer->versions.versions ==
          message.stream_answer->versions.versions);
    STRCMP_EQUAL("n2", got->stream_answer->host.str().c_str());
    // One bad record harms no other; a bad answer says nothing.
    message.origins = {record, record};
    message.origins[0].origin.service = service_id();
    message.stream_answer->origin->origin.service = service_id();
    const auto bad = decode_datagram(encode(message));
    CHECK(bad && bad->origins.size() == 1 && bad->invalid_parts == 2);
    CHECK(!bad->stream_answer);
}

TEST(mesh_messages, a_question_for_a_relays_end_survives_encoding)
{
    sync_request ask;
    ask.relay_end =
        relay_request{node_incarnation(77),
                      {target_id("i-1"), catalog::target_start(100)},
                      "r1",
                      host_id("n1")};
    const auto got = decode_sync_request(encode(ask));
    CHECK(got && got->relay_end && !got->relay);
    CHECK(got->relay_end->target == ask.relay_end->target);
    STRCMP_EQUAL("r1", got->relay_end->request.c_str());
    ask.relay_end->target.id = target_id();
    CHECK(!decode_sync_request(encode(ask)));
    for (const relay_end it : {relay_end::orderly, relay_end::broken}) {
        sync_reply reply;
        reply.relay_end = it;
        const auto read = decode_sync_reply(encode(reply));
        CHECK(read && read->relay_end == it && !read->relay);
    }
    CHECK(!decode_sync_reply(encode(sync_reply()))->relay_end);
}

TEST(mesh_messages, a_relay_request_and_its_answer_survive_encoding)
{
    sync_request ask;
    ask.relay = relay_request{node_incarnation(77),
                              {target_id("i-1"), catalog::target_start(42)},
                              "r1",
                              host_id("n1")};
    const auto got = decode_sync_request(encode(ask));
    CHECK(got && got->relay);
    CHECK(got->relay->incarnation == ask.relay->incarnation);
    CHECK(got->relay->target == ask.relay->target);
    STRCMP_EQUAL("r1", got->relay->request.c_str());
    CHECK(got->relay->host == ask.relay->host);
    ask.relay->target.id = target_id();
    CHECK(!decode_sync_request(encode(ask)));
    for (const relay_result it :
         {relay_result::connected, relay_result::unreachable,
          relay_result::refused, relay_result::busy}) {
        sync_reply reply;
        reply.relay = it;
        CHECK(decode_sync_reply(encode(reply))->relay == it);
    }
    CHECK(!decode_sync_reply(encode(sync_reply{}))->relay);
}

TEST(mesh_messages, a_packed_configuration_survives_encoding)
{
    sync_reply reply;
    reply.packed_configuration = std::string("\0\xff packed", 9);
    const auto got = decode_sync_reply(encode(reply));
    CHECK(got.has_value());
    CHECK(got->packed_configuration == reply.packed_configuration);
    CHECK(!got->busy);
    CHECK(got->configuration.empty());
}

TEST(mesh_messages, a_busy_reply_survives_encoding)
{
    sync_reply reply;
    reply.busy = true;
    reply.served = {"10.0.0.2:7000", "10.0.0.3:7000"};
    reply.served_configuration = catalog::configuration_version(8);
    const auto got = decode_sync_reply(encode(reply));
    CHECK(got && got->busy);
    CHECK(got->served == reply.served);
    CHECK(got->served_configuration == reply.served_configuration);
}

TEST(mesh_messages, parts_of_a_configuration_survive_encoding)
{
    constexpr std::uint64_t largest = ~std::uint64_t(0);
    const catalog::configuration_version version(largest / 2);
    datagram ask;
    ask.configuration_question = configuration_question{
        node_incarnation(largest), 5, version, part_set(6), largest};
    const auto question = decode_datagram(encode(ask));
    CHECK(question && question->configuration_question);
    CHECK(question->configuration_question->incarnation ==
          node_incarnation(largest));
    CHECK(question->configuration_question->number == 5);
    CHECK(question->configuration_question->version == version);
    CHECK(question->configuration_question->missing == part_set(6));
    CHECK(question->configuration_question->text_hash == largest);

    datagram message;
    message.configuration_part =
        configuration_part{node_incarnation(largest),
                           largest / 2,
                           version,
                           largest / 2,
                           max_configuration_parts - 1,
                           max_configuration_parts,
                           std::string(max_part_bytes, '\0')};
    const std::string bytes = encode(message);
    CHECK(bytes.size() <= max_packet_bytes);
    const auto got = decode_datagram(bytes);
    CHECK(got && got->configuration_part && got->invalid_parts == 0);
    const configuration_part& part = *got->configuration_part;
    CHECK(part.number == largest / 2 && part.text_hash == largest / 2);
    CHECK(part.version == version && part.bytes.size() == max_part_bytes);
    CHECK(part.part == max_configuration_parts - 1);
    CHECK(part.parts == max_configuration_parts);
}

// An earlier release has no such fields in its datagrams. It must skip them and
// read the rest; a struct with fewer fields stands for its datagram here.
TEST(mesh_messages, an_earlier_release_skips_parts_of_a_configuration)
{
    datagram message;
    message.configuration_question = configuration_question{
        node_incarnation(1), 1, catalog::configuration_version(9), part_set(1),
        1};
    message.configuration_part =
        configuration_part{node_incarnation(1),
                           1,
                           catalog::configuration_version(9),
                           1,
                           0,
                           1,
                           "x"};
    wire::DrawAck earlier;
    CHECK(from_bytes(encode(message), earlier).has_value());
    CHECK(earlier == wire::DrawAck());
    message.heartbeat = sample();
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->heartbeat && got->configuration_part);
}

// Bytes of a part that are damaged on the way are dropped or fit the limits.
TEST(mesh_messages, damaged_parts_of_a_configuration_stay_within_limits)
{
    datagram message;
    message.configuration_part = configuration_part{
        node_incarnation(1),  1, catalog::configuration_version(9), 1, 3, 9,
        std::string(100, 'x')};
    const std::string good = encode(message);
    random_source random(5);
    for (int i = 0; i < 3000; ++i) {
        std::string bytes = good.substr(0, random.below(good.size() + 1));
        for (int k = 0; k < 3 && !bytes.empty(); ++k)
            bytes[random.below(bytes.size())] =
                static_cast<char>(random.below(256));
        const auto got = decode_datagram(bytes);
        if (!got || !got->configuration_part)
            continue;
        const configuration_part& part = *got->configuration_part;
        CHECK(part.part < part.parts && part.parts <= max_configuration_parts);
        CHECK(!part.bytes.empty() && part.bytes.size() <= max_part_bytes);
    }
}

// A peer's part must not be stored outside the assembly, or make it grow.
TEST(mesh_messages, an_invalid_part_of_a_configuration_is_dropped)
{
    const configuration_part valid{node_incarnation(1),
                                   1,
                                   catalog::configuration_version(9),
                                   1,
                                   0,
                                   2,
                                   "x"};
    std::vector<configuration_part> invalid(6, valid);
    invalid[0].part = 2;
    invalid[1].parts = max_configuration_parts + 1;
    invalid[2].bytes.clear();
    invalid[3].bytes.assign(max_part_bytes + 1, 'x');
    invalid[4].version = {};
    invalid[5].part = ~std::uint32_t(0);
    for (const configuration_part& it : invalid) {
        datagram message;
        message.configuration_part = it;
        const auto got = decode_datagram(encode(message));
        CHECK(got && !got->configuration_part && got->invalid_parts == 1);
    }
    for (const configuration_question& it :
         {configuration_question{node_incarnation(1), 1, {}, part_set(1), 0},
          configuration_question{node_incarnation(1), 1,
                                 catalog::configuration_version(9), part_set(),
                                 0}}) {
        datagram message;
        message.configuration_question = it;
        const auto got = decode_datagram(encode(message));
        CHECK(got && !got->configuration_question && got->invalid_parts == 1);
    }
}

// A truncated message must not be read as a shorter one.
TEST(mesh_messages, truncated_bytes_are_rejected)
{
    const std::string ask = encode(
        sync_request{catalog::configuration_version(7), catalog::revision(90),
                     sync_part::targets, "10.0.0.1:7000"});
    sync_reply busy;
    busy.busy = true;
    busy.served = {"10.0.0.2:7000"};
    busy.packed_configuration = "packed";
    const std::string reply = encode(busy);
    for (std::size_t n = 0; n < ask.size(); ++n)
        CHECK(!decode_sync_request(ask.substr(0, n)));
    for (std::size_t n = 0; n < reply.size(); ++n)
        CHECK(!decode_sync_reply(reply.substr(0, n)));
}

// A node of another release may accept and pass on an entry that this one
// rejects. The row shows that the target has changed; if it were dropped, the
// older entry would stay in force here.
TEST(mesh_messages, an_invalid_target_is_reported_as_removed)
{
    datagram message;
    message.heartbeat = sample();
    message.heartbeat->target_update->changes = invalid_between_usable();
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->heartbeat && got->heartbeat->target_update);
    check_invalid_between_usable(got->heartbeat->target_update->changes);
    UNSIGNED_LONGS_EQUAL(invalid_changes().size(), got->invalid_parts);
    sync_reply reply;
    reply.targets_as_of = catalog::revision(20);
    reply.targets = invalid_between_usable();
    const auto listed = decode_sync_reply(encode(reply));
    CHECK(listed.has_value());
    check_invalid_between_usable(listed->targets);
    UNSIGNED_LONGS_EQUAL(invalid_changes().size(), listed->invalid_parts);
}

TEST(mesh_messages, an_invalid_row_is_dropped)
{
    datagram message;
    message.heartbeat = sample();
    message.heartbeat->target_update->changes.push_back(usable("", 11));
    message.heartbeat->load = {{target_id(), 1, 1},
                               {target_id("a"), 0x80000000, 1},
                               {target_id("b"), 1, 0x80000000},
                               {target_id("c"), 1, 1}};
    message.heartbeat->stock = {{team_id(), tokens(1), tokens(1)},
                                {team_id("a"), tokens(-1), tokens(1)},
                                {team_id("b"), tokens(1), tokens(-1)},
                                {team_id("c"), tokens(INT64_MAX), tokens(1)},
                                {team_id("d"), tokens(1), tokens(1)}};
    message.heartbeat->crash_records.push_back({{1, false}, {}, {}});
    message.heartbeat->crash_records.push_back(
        {{2, false}, {{{target_id(), {}}, {}}}, {}});
    message.heartbeat->introduced = {"nowhere", "10.0.0.2:7000", ""};
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->heartbeat);
    const node_heartbeat& it = *got->heartbeat;
    UNSIGNED_LONGS_EQUAL(2, it.target_update->changes.size());
    UNSIGNED_LONGS_EQUAL(1, it.load.size());
    CHECK(it.load.at(0).target == target_id("c"));
    UNSIGNED_LONGS_EQUAL(1, it.stock.size());
    CHECK(it.stock.at(0).team == team_id("d"));
    UNSIGNED_LONGS_EQUAL(1, it.crash_records.size());
    UNSIGNED_LONGS_EQUAL(1, it.introduced.size());
    UNSIGNED_LONGS_EQUAL(12, got->invalid_parts);
}

// Guards against a heartbeat with configuration version -1. Converted to the
// largest unsigned number, it would make every node request it from that peer
// from then on.
TEST(mesh_messages, a_heartbeat_with_invalid_fields_is_rejected)
{
    const std::vector<std::function<void(node_heartbeat&)>> faults = {
        [](node_heartbeat& it) { it.host = host_id(); },
        [](node_heartbeat& it) { it.peer_address = "nowhere"; },
        [](node_heartbeat& it) { it.sequence = UINT64_MAX; },
        [](node_heartbeat& it) {
            it.configuration = catalog::configuration_version(UINT64_MAX);
        },
        [](node_heartbeat& it) {
            it.targets_changed = catalog::revision(UINT64_MAX);
        }};
    for (const auto& corrupt : faults) {
        datagram message;
        message.heartbeat = sample();
        corrupt(*message.heartbeat);
        CHECK(!decode_datagram(encode(message)));
    }
}

// Nodes can't be ordered by NaN.
TEST(mesh_messages, rates_are_finite_and_not_negative)
{
    for (const double rate : {std::nan(""), HUGE_VAL, -HUGE_VAL, -1.0, 1e300}) {
        datagram message;
        message.heartbeat = sample();
        message.heartbeat->capacity = rate;
        message.heartbeat->requests_per_second = rate;
        const auto got = decode_datagram(encode(message));
        CHECK(got && got->heartbeat);
        for (const double it :
             {got->heartbeat->capacity, got->heartbeat->requests_per_second})
            CHECK(it >= 0 && it <= max_request_rate);
    }
}

// Callers would be redirected to it.
TEST(mesh_messages, an_invalid_caller_address_is_dropped)
{
    datagram message;
    message.heartbeat = sample();
    message.heartbeat->caller_address = "front:80";
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->heartbeat->caller_address.empty());
}

// An empty row takes one byte on the wire and hundreds in memory. Four
// megabytes of them, the limit of an answer, would take hundreds of megabytes.
TEST(mesh_messages, an_oversized_list_is_rejected)
{
    sync_reply reply;
    reply.targets_as_of = catalog::revision(20);
    reply.targets.resize(max_list_elements, usable("i-1", 20));
    CHECK(decode_sync_reply(encode(reply)).has_value());
    reply.targets.push_back(usable("i-2", 20));
    CHECK(!decode_sync_reply(encode(reply)));
}

// Guards against a datagram with thousands of deaths, hosts and addresses. Each
// is looked up among all known ones, which would delay callers.
TEST(mesh_messages, lists_of_a_heartbeat_are_truncated)
{
    datagram message;
    message.heartbeat = sample();
    node_heartbeat& it = *message.heartbeat;
    constexpr std::size_t many = max_heartbeat_rows + 10;
    it.load.assign(many, {target_id("i-1"), 1, 1});
    it.stock.assign(many, {team_id("t"), tokens(1), tokens(1)});
    const dispatch::crash_death<duration> death{{target_id("i-1"), {}}, {}};
    it.crash_records.assign(many, {{1, false}, std::vector(many, death), {}});
    it.introduced.assign(many, "10.0.0.2:7000");
    it.heard.assign(many, {node_incarnation(78), milliseconds(40)});
    // A truncated update wouldn't be complete, so it is dropped.
    it.target_update->changes.assign(many, usable("i-1", 11));
    const auto got = decode_datagram(encode(message));
    CHECK(got && got->heartbeat);
    UNSIGNED_LONGS_EQUAL(max_heartbeat_rows, got->heartbeat->load.size());
    UNSIGNED_LONGS_EQUAL(max_heartbeat_rows, got->heartbeat->stock.size());
    UNSIGNED_LONGS_EQUAL(max_heartbeat_rows,
                         got->heartbeat->crash_records.size());
    UNSIGNED_LONGS_EQUAL(max_heartbeat_rows,
                         got->heartbeat->crash_records.at(0).deaths.size());
    UNSIGNED_LONGS_EQUAL(max_heartbeat_rows, got->heartbeat->introduced.size());
    UNSIGNED_LONGS_EQUAL(max_heartbeat_rows, got->heartbeat->heard.size());
    CHECK(!got->heartbeat->target_update);
    CHECK(got->invalid_parts > 0);
}
