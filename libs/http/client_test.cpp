#include "fennelladder/http/client.hpp"
#include "scripted_server.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::http;

namespace {

// What comes may take its time on a busy machine; only where nothing will
// come, or nothing more, the wait is short.
const transfer_timeouts patient{.connect = seconds(30),
                                .first_byte = seconds(30),
                                .between_bytes = seconds(30),
                                .total = seconds(60)};
const transfer_timeouts brisk_start{.connect = seconds(30),
                                    .first_byte = milliseconds(40)};
const transfer_timeouts brisk_middle{.connect = seconds(30),
                                     .first_byte = seconds(30),
                                     .between_bytes = milliseconds(40)};

const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct answer_case
{
    const char* name;
    step does;
    transfer_outcome outcome;
    std::uint64_t body_bytes;
    bool used_again; // The connection serves the next request.
};

} // namespace

TEST_GROUP(http_client){};

// A caller watches an answer grow and then nothing more comes, or the peer
// dies in the middle. The node must know at each point whether the answer is
// whole, whether the request may have run, and must never use the connection
// again after doubt.
TEST(http_client, tells_how_each_answer_ended)
{
    const std::vector<answer_case> cases = {
        {"whole", {ok("12345")}, transfer_outcome::complete, 5, true},
        {"whole in chunks",
         {chunked + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"},
         transfer_outcome::complete,
         5,
         true},
        {"error status is an answer",
         {"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno"},
         transfer_outcome::complete,
         2,
         true},
        {"closed without an answer",
         {"", after::close},
         transfer_outcome::broken,
         0,
         false},
        {"silent from the start",
         {"", after::hang},
         transfer_outcome::silent,
         0,
         false},
        {"silent in the middle",
         {chunked + "3\r\nabc\r\n", after::hang},
         transfer_outcome::silent,
         3,
         false},
        {"cut in the middle",
         {chunked + "3\r\nabc\r\n", after::close},
         transfer_outcome::broken,
         3,
         false},
        {"end not marked",
         {"HTTP/1.1 200 OK\r\n\r\nabc", after::close},
         transfer_outcome::broken,
         3,
         false},
    };
    for (const answer_case& it : cases) {
        scripted_server server({it.does, {ok("next")}});
        client asks;
        const bool hangs = it.does.then == after::hang;
        const auto& brisk = it.does.send.empty() ? brisk_start : brisk_middle;
        const transfer end =
            asks.stream({.url = server.url()}, hangs ? brisk : patient,
                        [](auto) { return true; });
        CHECK_TEXT(end.outcome == it.outcome, it.name);
        CHECK_TEXT(end.sent, it.name);
        CHECK_TEXT(end.body_bytes == it.body_bytes, it.name);
        if (!end.complete())
            CHECK_TEXT(end.to_error().code == error_code::ambiguous, it.name);
        const transfer next = asks.stream({.url = server.url()}, patient,
                                          [](auto) { return true; });
        CHECK_TEXT(next.complete(), it.name);
        CHECK_TEXT(next.reused == it.used_again, it.name);
        LONGS_EQUAL_TEXT(it.used_again ? 1 : 2, server.connections(), it.name);
    }
}

// An inspector's clearance is booked twice: a kept connection took the
// request, the service booked it and died before it answered, and the client
// library quietly sent the same request again on a new connection.
TEST(http_client, never_sends_a_request_twice_by_itself)
{
    for (const char* method : {"GET", "POST", "DELETE"}) {
        scripted_server server({{ok("first")}, {"", after::close}, {ok("?")}});
        client asks;
        const request what{.method = method, .url = server.url()};
        CHECK_TEXT(asks.fetch(what, patient).has_value(), method);
        const transfer end =
            asks.stream(what, patient, [](auto) { return true; });
        CHECK_TEXT(end.outcome == transfer_outcome::broken, method);
        CHECK_TEXT(end.sent, method);
        LONGS_EQUAL_TEXT(2, server.requests(), method);
        LONGS_EQUAL_TEXT(1, server.connections(), method);
    }
}

// "Not run" is said on proof: nobody listens, so nothing was sent.
TEST(http_client, refused_connection_counts_as_never_sent)
{
    std::string url;
    {
        scripted_server gone({});
        url = gone.url();
    }
    client asks;
    const auto got = asks.fetch({.method = "POST", .url = url}, patient);
    CHECK(!got && got.error().code == error_code::unavailable);
}

// A kept connection hangs for good while new ones work: the same target,
// asked on a fresh connection, answers.
TEST(http_client, fresh_connection_works_while_the_old_one_hangs)
{
    scripted_server server(
        {{ok("1")}, {"", after::hang}, {ok("3")}, {ok("4")}});
    client asks;
    const request what{.url = server.url()};
    CHECK(asks.fetch(what, patient).has_value());
    CHECK(asks.fetch(what, brisk_start).error().code == error_code::ambiguous);
    request again = what;
    again.fresh_connection = true;
    CHECK(asks.fetch(again, patient).has_value());
    LONGS_EQUAL(2, server.connections());
    CHECK(asks.fetch(what, patient).has_value()); // It wasn't kept.
    LONGS_EQUAL(3, server.connections());
}

TEST(http_client, stops_when_receiver_or_canceler_says_so)
{
    scripted_server server({{ok("abc")}, {"", after::hang}});
    client asks;
    const request what{.url = server.url()};
    const auto end = asks.stream(what, {}, [](auto) { return false; });
    CHECK(end.outcome == transfer_outcome::stopped);
    const auto other = asks.stream(
        what, {}, [](auto) { return true; }, {}, [] { return true; });
    CHECK(other.outcome == transfer_outcome::canceled);
}

TEST(http_client, refuses_what_it_can_not_put_on_the_wire)
{
    const std::vector<request> cases = {
        {.url = "http://localhost:80/"},
        {.url = "https://127.0.0.1/"},
        {.url = "http://127.0.0.1:x/"},
        {.url = "http://user@127.0.0.1/"},
        {.url = "http://127.0.0.1/a b"},
        {.url = "http://127.0.0.1/a\r\nX: y"},
        {.method = "", .url = "http://127.0.0.1/"},
        {.url = "http://127.0.0.1/", .headers = {{"A", "b\r\nC: d"}}},
    };
    client asks;
    for (const request& it : cases) {
        const auto got = asks.fetch(it, patient);
        CHECK_TEXT(!got && got.error().code == error_code::invalid,
                   it.url.c_str());
    }
}

TEST(http_client, refuses_an_answer_larger_than_its_limit)
{
    scripted_server server({{ok("12345")}});
    client asks({.max_body_bytes = 4});
    const auto got = asks.fetch({.url = server.url()}, patient);
    CHECK(!got && got.error().code == error_code::too_large);
}

TEST(http_client, encodes_what_has_a_meaning_in_addresses)
{
    STRCMP_EQUAL("a/b%20%3F%C3%A9", encode_path("a/b ?\xc3\xa9").c_str());
    STRCMP_EQUAL("a%2Fb", encode_query("a/b").c_str());
    STRCMP_EQUAL("a/b +\xc3\xa9", decode_path("a%2Fb%20+%C3%A9").c_str());
}
