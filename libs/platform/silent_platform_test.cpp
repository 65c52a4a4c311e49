// Connections to the platform that go silent for good while new ones work.

#include "fennelladder/http/client.hpp"
#include "fennelladder/platform/platform_client.hpp"
#include "fennelladder/platform/prefix_follower.hpp"
#include "fennelladder/standin/platform_server.hpp"

#include <CppUTest/TestHarness.h>
#include <condition_variable>
#include <mutex>

using namespace fennelladder;
using namespace fennelladder::platform;

namespace {

const object_key a("p/a");
const auto always = write_condition::always();

// A platform, and a client that gives up soon on a connection. A busy machine
// may make it give up on a good one, so tests ask until they are answered.
struct rig
{
    standin::platform_server server{{}};
    http::client connections;
    platform_client client{connections,
                           {.url = server.url(),
                            .connect_timeout = seconds(30),
                            .call_timeout = milliseconds(150)}};
};

template <class F>
void ask_until_answered(F ask)
{
    while (!ask())
        continue;
}

} // namespace

TEST_GROUP(silent_platform){};

// Tokens are topped up and the node's write hangs: its kept connection was
// forgotten by something in between. The write must be called doubtful, since
// nobody can tell whether it arrived; the next call, on a new connection,
// finds out. A read on a hung connection had no effect and just failed.
TEST(silent_platform, kept_connection_hangs_and_the_next_call_works)
{
    rig it;
    ask_until_answered([&] { return it.client.put(a, "1", always); });
    it.server.silence_open_connections();
    const auto put = it.client.put(a, "2", always);
    CHECK(!put && put.error().code == error_code::ambiguous);
    ask_until_answered([&] { return it.client.get(a); });
    CHECK(it.server.objects().get(a)->value == "1");

    it.server.silence_open_connections();
    const auto got = it.client.get(a);
    CHECK(!got && got.error().code == error_code::unavailable);
    ask_until_answered([&] { return it.client.get(a); });
}

// An operator's change is accepted while this node's watch hangs on a dead
// connection. The watch must end by itself, and the follower sees the change.
TEST(silent_platform, hung_watch_ends_and_the_change_is_seen)
{
    rig it;
    const system_clock time;
    std::mutex mutex;
    std::condition_variable changed;
    std::string last;
    prefix_follower_options options{.prefix = "p/"};
    options.plan.watch_wait = milliseconds(200);
    options.plan.relist_interval = hours(1);
    prefix_follower follower(it.client, time, options,
                             [&](const object_change& change) {
                                 const std::lock_guard lock(mutex);
                                 last = change.object.value;
                                 changed.notify_all();
                             });
    const auto wait_for = [&](const char* value) {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, seconds(60),
                                [&] { return last == value; });
    };
    CHECK(it.server.objects().put(a, "1", always).has_value());
    CHECK(wait_for("1"));
    while (it.server.calls().watches < 2)
        std::this_thread::sleep_for(milliseconds(1));
    it.server.silence_open_connections();
    CHECK(it.server.objects().put(a, "2", always).has_value());
    CHECK(wait_for("2"));
}
