// What the stand-ins promise beyond the contracts of their clients: faults
// that look from outside like the real thing.

#include "engine_driver.hpp"
#include "fennelladder/http/client.hpp"
#include "fennelladder/platform/platform_client.hpp"
#include "fennelladder/routing/prefix_index.hpp"
#include "fennelladder/standin/answer.hpp"
#include "fennelladder/standin/engine_server.hpp"
#include "fennelladder/standin/platform_server.hpp"
#include "fennelladder/standin/service_server.hpp"
#include "fennelladder/target/http_target_client.hpp"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace fennelladder;
using namespace fennelladder::standin;
using target::dispatch_outcome;

namespace {

engine_server_options quick()
{
    engine_server_options options;
    options.engine.step = microseconds(200);
    options.engine.event_lag = duration(0);
    options.engine.event_loss = 0;
    return options;
}

target::completion make_completion(const char* key, std::string prompt,
                                   std::uint32_t max_tokens)
{
    target::completion ask;
    ask.id = request_id(std::string(key) + "/0");
    ask.key = request_key(key);
    ask.model = model_id("m");
    ask.prompt = std::move(prompt);
    ask.max_tokens = max_tokens;
    return ask;
}

bool accept(const target::chunk&)
{
    return true;
}

// Deadlines that a busy machine keeps, or ones that run out soon.
target::http_target_options client_options(const engine_server& engine,
                                           duration patience)
{
    target::http_target_options options{.url = engine.url()};
    options.stream.first_byte = patience;
    options.stream.between_bytes = patience;
    options.probe_timeout = seconds(30);
    return options;
}

// An engine and a patient client.
struct rig
{
    explicit rig(engine_server_options options) : engine(std::move(options)) {}

    engine_server engine;
    http::client connections;
    target::http_target_client client{connections,
                                      client_options(engine, seconds(30))};
};

} // namespace

TEST_GROUP(standin_servers){};

// An inspector's draft stops growing in the middle: something between node
// and engine has lost track of the connection, while the engine is well. The
// open connection must be given up within its progress deadline, and a fresh
// one shows that the engine lives, so that the draft goes on there.
TEST(standin_servers, hung_connection_is_told_apart_from_a_dead_engine)
{
    rig it(quick());
    auto ask = make_completion("draft", "repack checklist", 4'000);
    target::http_target_client brisk(
        it.connections, client_options(it.engine, milliseconds(100)));
    std::string text;
    auto end = brisk.complete(ask, [&](const target::chunk& piece) {
        text += piece.text;
        if (piece.offset >= 5)
            it.engine.silence_open_connections();
        return true;
    });
    CHECK(end.outcome == dispatch_outcome::interrupted && end.silent);
    CHECK(end.next_offset < 4'000);
    CHECK(it.client.probe().has_value());

    ask.resume_offset = end.next_offset;
    end = it.client.complete(ask, [&](const target::chunk& piece) {
        text += piece.text;
        return true;
    });
    CHECK(end.outcome == dispatch_outcome::ran);
    CHECK(text == answer_text(ask.key, ask.prompt, ask.max_tokens));

    it.engine.crash();
    end = it.client.complete(ask, accept);
    CHECK(end.outcome == dispatch_outcome::never_dispatched);
    CHECK(!it.client.probe());
}

// A volunteer's loaner return hangs: the kept connection to the service is
// forgotten by something in between. It may have run, for all that the node
// knows; a call that must not run twice never meets the hung connection, since
// it goes out on one of its own.
TEST(standin_servers, hung_service_connection_leaves_fresh_calls_alone)
{
    service_server service({});
    http::client connections;
    target::http_target_options options{.url = service.url()};
    options.call.first_byte = seconds(30);
    target::http_target_client patient(connections, options);
    options.call.first_byte = milliseconds(100);
    target::http_target_client brisk(connections, options);
    target::service_call ask;
    ask.key = request_key("lookup");
    ask.name = "lookup";
    ask.repeatable = true;
    CHECK(patient.call(ask).outcome == dispatch_outcome::ran);
    service.silence_open_connections();
    const auto hung = brisk.call(ask);
    CHECK(hung.outcome == dispatch_outcome::interrupted && hung.silent);
    LONGS_EQUAL(1, service.executions_of(ask.key));

    CHECK(patient.call(ask).outcome == dispatch_outcome::ran);
    service.silence_open_connections();
    target::service_call once = ask;
    once.key = request_key("loaner return");
    once.repeatable = false;
    CHECK(patient.call(once).outcome == dispatch_outcome::ran);
    LONGS_EQUAL(1, service.executions_of(once.key));
}

// One request crashes each engine that runs it. The streams beside it break,
// and the engine is back a little later with an empty cache.
TEST(standin_servers, poison_takes_the_engine_and_its_neighbours_down)
{
    auto options = quick();
    options.restart_after = milliseconds(20);
    rig it(options);
    target::completion_end beside;
    std::thread neighbour([&] {
        beside = it.client.complete(make_completion("a", "p", 20'000), accept);
    });
    while (it.engine.executions().empty())
        std::this_thread::sleep_for(milliseconds(1));
    const auto poison = make_completion("b", "so <poison> here", 10);
    const auto end = it.client.complete(poison, accept);
    neighbour.join();
    CHECK(beside.outcome == dispatch_outcome::interrupted && !beside.silent);
    CHECK(end.outcome == dispatch_outcome::interrupted);
    LONGS_EQUAL(0, end.next_offset);
    while (!it.client.probe())
        std::this_thread::sleep_for(milliseconds(5));
    LONGS_EQUAL(1, it.engine.crashes());
    const auto again = make_completion("c", "fine", 10);
    CHECK(it.client.complete(again, accept).outcome == dispatch_outcome::ran);
}

// A node that follows cache events must name blocks as the engine does, and
// must see in the answer how much of a prompt came from the cache.
TEST(standin_servers, cached_prefix_shows_in_events_and_answers)
{
    rig it(quick());
    const std::string prompt(1'000, 'x');
    const auto blocks = prompt_blocks(prompt, 64);
    CHECK(blocks == routing::hash_prefix(prompt, 256));
    LONGS_EQUAL(3, blocks.size());
    const auto ask = make_completion("a", prompt, 4);
    CHECK(it.client.complete(ask, accept).cached_tokens == 0);
    const auto again = it.client.complete(ask, accept);
    CHECK(again.cached_known);
    LONGS_EQUAL(3 * 64, again.cached_tokens);
    const auto page = it.client.cache_events(0);
    CHECK(page && page->events.size() == 1);
    CHECK(page->events[0].blocks == blocks);

    rig other(quick());
    const auto kv = it.client.export_kv(blocks);
    CHECK(kv && other.client.import_kv(*kv));
    LONGS_EQUAL(3 * 64, other.client.complete(ask, accept).cached_tokens);
    it.engine.crash();
    it.engine.restart();
    CHECK(it.client.cache_events(page->next)->life != page->life);
    CHECK(it.client.export_kv(blocks).error().code == error_code::not_found);
}

// A late or crossed answer must not reach the wrong caller: nothing of it is
// relayed, and the attempt counts as one that may have run.
TEST(standin_servers, crossed_answer_is_not_relayed)
{
    rig it(quick());
    it.engine.set_faults({.crossed = true});
    int relayed = 0;
    const auto end = it.client.complete(make_completion("a", "p", 20),
                                        [&](const target::chunk&) {
                                            ++relayed;
                                            return true;
                                        });
    CHECK(end.outcome == dispatch_outcome::interrupted);
    LONGS_EQUAL(0, relayed);
}

// Requests that wait in an engine's queue end at once when it crashes.
TEST(standin_servers, crash_ends_queued_requests)
{
    auto options = quick();
    options.engine.slots = 1;
    options.engine.step = seconds(100);
    rig it(options);
    std::vector<target::completion_end> ends(3);
    std::vector<std::thread> callers;
    for (std::size_t n = 0; n < ends.size(); ++n) {
        callers.emplace_back([&, n] {
            const std::string key(1, static_cast<char>('a' + n));
            ends[n] = it.client.complete(make_completion(key.c_str(), "p", 9),
                                         accept);
        });
    }
    while (it.engine.executions().size() < ends.size())
        std::this_thread::sleep_for(milliseconds(1));
    it.engine.crash();
    for (std::thread& each : callers)
        each.join();
    for (const auto& end : ends)
        CHECK(end.outcome == dispatch_outcome::interrupted && !end.silent);
}

// The host list lags: a host that was just marked as leaving still shows as
// it was, and its new state comes later.
TEST(standin_servers, host_list_shows_an_old_state)
{
    platform_server_options options;
    options.host_list_lag = hours(1);
    platform_server lagging(options);
    platform_server current({});
    http::client connections;
    platform::platform_client late(connections, {.url = lagging.url()});
    platform::platform_client now(connections, {.url = current.url()});
    const std::vector<platform::listed_host> hosts = {
        {host_id("austin-1"), "127.0.0.1:1", data_center_id("austin"),
         region_id("texas"), true}};
    lagging.set_hosts(hosts);
    current.set_hosts(hosts);
    CHECK(late.hosts()->hosts.empty());
    CHECK(now.hosts()->hosts == hosts);
    current.set_faults({.outage = true});
    CHECK(now.hosts().error().code == error_code::unavailable);
}
