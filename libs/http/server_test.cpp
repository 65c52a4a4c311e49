// Requests are written verbatim to a plain socket, so that the server is tested
// independently of this library's client.

#include "fennelladder/http/client.hpp"
#include "fennelladder/http/server.hpp"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace fennelladder;
using namespace fennelladder::http;

namespace {

void serve(exchange& it)
{
    if (it.path() == "/stream") {
        it.begin_stream({.content_type = "text/event-stream"});
        it.write("one");
        it.write("two");
        it.end_stream();
        return;
    }
    if (it.path() == "/cut") {
        it.begin_stream({});
        it.write("one");
        return;
    }
    if (it.path() == "/drop")
        return it.drop();
    const auto body = it.read_body();
    if (!body)
        return it.reply(
            {.status = 413, .body = std::string(to_string(body.error().code))});
    it.reply({.body = std::string(it.method()) + "|" + it.query("q") + "|" +
                      std::string(it.header("x-one")) + "|" + *body});
}

std::string send_raw(int port, const std::string& text)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    LONGS_EQUAL(0, connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to));
    send(fd, text.data(), text.size(), 0);
    shutdown(fd, SHUT_WR);
    std::string got;
    char buf[4096];
    for (ssize_t n = 0; (n = recv(fd, buf, sizeof buf, 0)) > 0;)
        got.append(buf, static_cast<std::size_t>(n));
    close(fd);
    return got;
}

} // namespace

TEST_GROUP(server){};

TEST(server, responds_to_valid_and_invalid_requests)
{
    auto made = server::start({.threads = 4, .max_body_bytes = 10}, serve);
    CHECK(made.has_value());
    struct
    {
        const char* text;
        const char* expected;
    } const cases[] = {
        {"GET /a?q=x%20y HTTP/1.1\r\nHost: a\r\nX-One: 1\r\n\r\n",
         "GET|x y|1|"},
        {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
         "POST|||abc"},
        {"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
         "3\r\nabc\r\n0\r\n\r\n",
         "POST|||abc"},
        {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n"
         "01234567890",
         "too_large"},
        {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabc",
         "invalid"},
        {"GET /stream HTTP/1.1\r\nHost: a\r\n\r\n",
         "3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"},
        {"GET /cut HTTP/1.1\r\nHost: a\r\n\r\n", "3\r\none\r\n"},
        {"nonsense\r\n\r\n", R"("code":"bad_request")"},
    };
    for (const auto& it : cases)
        STRCMP_CONTAINS(it.expected,
                        send_raw((*made)->port(), it.text).c_str());
}

// A response is truncated because its target died. The client must see that at
// once: if the connection were kept alive, the client would wait for the rest
// until the idle timeout of the connection.
TEST(server, unfinished_response_closes_the_connection_at_once)
{
    auto made = server::start({.threads = 4, .idle_timeout = hours(1)}, serve);
    client sender;
    for (const char* path : {"cut", "drop", "cut"}) {
        const auto end = sender.stream(
            {.url = "http://" + (*made)->address() + "/" + path},
            {.first_byte = seconds(60), .between_bytes = seconds(60)},
            [](auto) { return true; });
        CHECK_TEXT(end.outcome == transfer_outcome::broken, path);
    }
}

// A graceful stop while a response is in progress and another caller's
// keep-alive connection is idle: the response is completed, and the idle
// connection doesn't delay the stop.
TEST(server, stop_completes_responses_in_progress)
{
    std::atomic<bool> begun = false;
    std::atomic<bool> go_on = false;
    auto made = server::start({.threads = 4, .idle_timeout = hours(1)},
                              [&](exchange& it) {
                                  it.begin_stream({});
                                  it.write("one");
                                  begun = true;
                                  while (it.path() == "/slow" && !go_on)
                                      std::this_thread::yield();
                                  it.write("two");
                                  it.end_stream();
                              });
    const std::string url = "http://" + (*made)->address();
    client idle;
    CHECK(idle.fetch({.url = url + "/quick"}, {}).has_value());
    result<response> got;
    begun = false;
    std::thread caller([&] {
        client sender;
        got = sender.fetch({.url = url + "/slow"},
                           {.first_byte = hours(1), .between_bytes = hours(1)});
    });
    while (!begun)
        std::this_thread::yield();
    std::thread stopper([&] { made->reset(); });
    const request probe{.url = url + "/quick", .fresh_connection = true};
    const auto is_rejected = [&] {
        const auto seen = idle.fetch(probe, {});
        return seen && seen->status == 503 &&
               seen->field("X-Request-Ran") == "no" &&
               seen->body.find(R"("outcome":"not_run")") != std::string::npos;
    };
    while (!is_rejected())
        std::this_thread::yield();
    go_on = true; // The server is draining: new requests are rejected.
    stopper.join();
    caller.join();
    CHECK(got && got->body == "onetwo");
    CHECK(!idle.fetch({.url = url + "/quick"}, {}));
}

// A node dies with open streams. Callers see their connections close at once,
// before the node's handlers have returned, and the port no longer accepts.
TEST(server, abort_breaks_connections_without_waiting)
{
    std::atomic<bool> begun = false;
    std::atomic<bool> go_on = false;
    std::atomic<bool> written = true;
    auto made = server::start({.threads = 4}, [&](exchange& it) {
        it.begin_stream({});
        it.write("one");
        begun = true;
        while (!go_on)
            std::this_thread::yield();
        written = it.write("two");
    });
    const request what{.url = "http://" + (*made)->address() + "/"};
    const transfer_timeouts long_timeouts{.first_byte = hours(1),
                                          .between_bytes = hours(1)};
    transfer end;
    std::thread caller([&] {
        client sender;
        end = sender.stream(what, long_timeouts, [](auto) { return true; });
    });
    while (!begun)
        std::this_thread::yield();
    (*made)->abort();
    caller.join();
    CHECK(end.outcome == transfer_outcome::broken);
    client sender;
    CHECK(sender.fetch(what, {}).error().code == error_code::unavailable);
    go_on = true;
    made->reset();
    CHECK_FALSE(written);
}

TEST(server, an_address_in_use_is_an_error)
{
    auto first = server::start({.threads = 1}, serve);
    auto second =
        server::start({.listen = (*first)->address(), .threads = 1}, serve);
    CHECK_FALSE(second.has_value());
    CHECK(second.error().code == error_code::unavailable);
}
