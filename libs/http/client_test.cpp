#include "fennelladder/http/client.hpp"
#include "scripted_server.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::http;

namespace {

// Long timeouts wherever bytes are expected, since the machine may be busy;
// short ones only where no bytes, or no further bytes, will arrive.
const transfer_timeouts long_timeouts{.connect = seconds(30),
                                      .first_byte = seconds(30),
                                      .between_bytes = seconds(30),
                                      .total = seconds(60)};
const transfer_timeouts short_first_byte{.connect = seconds(30),
                                         .first_byte = milliseconds(40)};
const transfer_timeouts short_between_bytes{.connect = seconds(30),
                                            .first_byte = seconds(30),
                                            .between_bytes = milliseconds(40)};

const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct response_case
{
    const char* name;
    step response;
    transfer_outcome outcome;
    std::uint64_t body_bytes;
    bool reused; // The connection serves the next request.
};

} // namespace

TEST_GROUP(http_client){};

// A response may stall, or the server may die in the middle of it. The client
// must report whether the response is complete and whether the request may
// have run, and must never reuse a connection whose state is unknown.
TEST(http_client, reports_the_outcome_of_each_response)
{
    const std::vector<response_case> cases = {
        {"whole", {ok("12345")}, transfer_outcome::complete, 5, true},
        {"whole in chunks",
         {chunked + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"},
         transfer_outcome::complete,
         5,
         true},
        {"error status is a response",
         {"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno"},
         transfer_outcome::complete,
         2,
         true},
        {"status 000",
         {"HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nno", after::close},
         transfer_outcome::broken,
         0,
         false},
        {"status 600",
         {"HTTP/1.1 600 No\r\nContent-Length: 2\r\n\r\nno"},
         transfer_outcome::broken,
         0,
         false},
        {"a name with a blank",
         {"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nno"},
         transfer_outcome::broken,
         0,
         false},
        {"a blank before the colon",
         {"HTTP/1.1 200 OK\r\nX-Y : z\r\nContent-Length: 2\r\n\r\nno"},
         transfer_outcome::broken,
         0,
         false},
        {"a control byte in a value",
         {"HTTP/1.1 200 OK\r\nX-Y: z\x01\r\nContent-Length: 2\r\n\r\nno"},
         transfer_outcome::broken,
         0,
         false},
        {"a folded field",
         {"HTTP/1.1 200 OK\r\nX-Y: z\r\n z\r\nContent-Length: 2\r\n\r\nno"},
         transfer_outcome::broken,
         0,
         false},
        {"no colon",
         {"HTTP/1.1 200 OK\r\nxyz\r\nContent-Length: 2\r\n\r\nno"},
         transfer_outcome::broken,
         0,
         false},
        {"an unknown coding",
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: x-y\r\n\r\nno", after::close},
         transfer_outcome::broken,
         0,
         false},
        {"several codings",
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: x-y, chunked\r\n\r\n"
          "2\r\nno\r\n0\r\n\r\n"},
         transfer_outcome::broken,
         0,
         false},
        {"lengths that differ",
         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\n"
          "no"},
         transfer_outcome::broken,
         0,
         false},
        {"trailers",
         {chunked + "5\r\nabcde\r\n0\r\nX-Y: z\r\n\r\n"},
         transfer_outcome::complete,
         5,
         true},
        {"a trailer with a blank in its name",
         {chunked + "5\r\nabcde\r\n0\r\nX Y: z\r\n\r\n"},
         transfer_outcome::broken,
         5,
         false},
        {"closed without a response",
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
        {"no length",
         {"HTTP/1.1 200 OK\r\n\r\nabc", after::close},
         transfer_outcome::broken,
         3,
         false},
    };
    for (const response_case& it : cases) {
        scripted_server server({it.response, {ok("next")}});
        client sender;
        const bool hangs = it.response.then == after::hang;
        const auto& short_timeouts =
            it.response.send.empty() ? short_first_byte : short_between_bytes;
        const transfer end = sender.stream(
            {.url = server.url()}, hangs ? short_timeouts : long_timeouts,
            [](auto) { return true; });
        CHECK_TEXT(end.outcome == it.outcome, it.name);
        CHECK_TEXT(end.sent, it.name);
        CHECK_TEXT(end.body_bytes == it.body_bytes, it.name);
        if (!end.complete())
            CHECK_TEXT(end.to_error().code == error_code::ambiguous, it.name);
        const transfer next = sender.stream(
            {.url = server.url()}, long_timeouts, [](auto) { return true; });
        CHECK_TEXT(next.complete(), it.name);
        CHECK_TEXT(next.reused == it.reused, it.name);
        LONGS_EQUAL_TEXT(it.reused ? 1 : 2, server.connections(), it.name);
    }
}

// A request must not be executed twice: a service runs a request received on a
// reused connection and dies before it responds. The HTTP library would then
// silently resend the request on a new connection.
TEST(http_client, never_resends_a_request)
{
    for (const char* method : {"GET", "POST", "DELETE"}) {
        scripted_server server({{ok("first")}, {"", after::close}, {ok("?")}});
        client sender;
        const request what{.method = method, .url = server.url()};
        CHECK_TEXT(sender.fetch(what, long_timeouts).has_value(), method);
        const transfer end =
            sender.stream(what, long_timeouts, [](auto) { return true; });
        CHECK_TEXT(end.outcome == transfer_outcome::broken, method);
        CHECK_TEXT(end.sent, method);
        LONGS_EQUAL_TEXT(2, server.requests(), method);
        LONGS_EQUAL_TEXT(1, server.connections(), method);
    }
}

// A refused connection proves that the request wasn't run: no byte was sent.
TEST(http_client, refused_connection_counts_as_never_sent)
{
    std::string url;
    {
        scripted_server gone({});
        url = gone.url();
    }
    client sender;
    const auto got =
        sender.fetch({.method = "POST", .url = url}, long_timeouts);
    CHECK(!got && got.error().code == error_code::unavailable);
}

// A reused connection hangs permanently while new ones work: the same target
// responds to a request on a fresh connection.
TEST(http_client, fresh_connection_works_while_the_old_one_hangs)
{
    scripted_server server(
        {{ok("1")}, {"", after::hang}, {ok("3")}, {ok("4")}});
    client sender;
    const request what{.url = server.url()};
    CHECK(sender.fetch(what, long_timeouts).has_value());
    CHECK(sender.fetch(what, short_first_byte).error().code ==
          error_code::ambiguous);
    request again = what;
    again.fresh_connection = true;
    CHECK(sender.fetch(again, long_timeouts).has_value());
    LONGS_EQUAL(2, server.connections());
    CHECK(sender.fetch(what, long_timeouts).has_value()); // It wasn't pooled.
    LONGS_EQUAL(3, server.connections());
}

TEST(http_client, callback_or_cancel_check_ends_the_transfer)
{
    scripted_server server({{ok("abc")}, {"", after::hang}});
    client sender;
    const request what{.url = server.url()};
    const auto end = sender.stream(what, {}, [](auto) { return false; });
    CHECK(end.outcome == transfer_outcome::stopped);
    const auto other = sender.stream(
        what, {}, [](auto) { return true; }, {}, [] { return true; });
    CHECK(other.outcome == transfer_outcome::canceled);
}

TEST(http_client, rejects_requests_that_can_not_be_sent)
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
    client sender;
    for (const request& it : cases) {
        const auto got = sender.fetch(it, long_timeouts);
        CHECK_TEXT(!got && got.error().code == error_code::invalid,
                   it.url.c_str());
    }
}

TEST(http_client, rejects_a_response_over_the_size_limit)
{
    scripted_server server({{ok("12345")}});
    client sender({.max_body_bytes = 4});
    const auto got = sender.fetch({.url = server.url()}, long_timeouts);
    CHECK(!got && got.error().code == error_code::too_large);
}

TEST(http_client, percent_encodes_reserved_characters)
{
    STRCMP_EQUAL("a/b%20%3F%C3%A9", encode_path("a/b ?\xc3\xa9").c_str());
    STRCMP_EQUAL("a%2Fb", encode_query("a/b").c_str());
    STRCMP_EQUAL("a/b +\xc3\xa9", decode_path("a%2Fb%20+%C3%A9").c_str());
}

// Guards against part of a response's head that is taken for a whole response
// without a body, on a connection that was used before and on a new one.
TEST(http_client, a_head_that_stops_is_no_response)
{
    const std::string interim = "HTTP/1.1 103 Early\r\nLink: <a>\r\n\r\n";
    for (const std::string fields :
         {"Content-Length: 2\r\n", "X-Y: z\r\n", "Content-Length: 0\r\n",
          "Transfer-Encoding: chunked\r\n"}) {
        const std::string head = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
        for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
            const std::string part = head.substr(0, bytes);
            scripted_server server({{ok("whole")},
                                    {part, after::close},
                                    {part, after::close},
                                    {interim + part, after::close}});
            client sender;
            const request what{.method = "POST", .url = server.url()};
            CHECK(sender.fetch(what, long_timeouts).has_value());
            for (int i = 0; i < 3; ++i) {
                const transfer end = sender.stream(what, long_timeouts,
                                                   [](auto) { return true; });
                CHECK_TEXT(end.outcome == transfer_outcome::broken,
                           (fields + std::to_string(bytes)).c_str());
            }
            LONGS_EQUAL(4, server.requests());
        }
    }
}
