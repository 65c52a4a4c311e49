#include "fennelladder/report/request_timeline.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using fennelladder::report::parse_log_line;
using fennelladder::report::request_timeline;

namespace {

std::string line(const char* second, const char* host, int number,
                 const std::string& more)
{
    return R"({"time":"2026-05-17T13:40:)" + std::string(second) +
           R"(Z","host":")" + host + R"(","event":)" + std::to_string(number) +
           R"(,"name":"n","level":"info")" + more + "}";
}

bool says(const request_timeline& course, const char* words)
{
    return course.explain().find(words) != std::string::npos;
}

} // namespace

TEST_GROUP(request_timeline){};

// Story: a team's tokens run out while the node that takes them out of the
// record is cut off. On-call has the id of a refused request, and has to find
// the cut and the last refill from the logs alone.
TEST(request_timeline, a_refusal_in_a_cut_names_the_cut_and_the_last_refill)
{
    request_timeline course("r1");
    CHECK(course.add(line("12.089", "a", 1511,
                          R"(,"id":"r1","outcome":"503",)"
                          R"("reason":"short of tokens","team":"t",)"
                          R"("tokens_free":"417","platform":"out")")));
    CHECK(course.add(line("02.000", "a", 1202, R"(,"detail":"x")")));
    CHECK(course.add(line("03.000", "b", 1202, R"(,"detail":"x")")));
    CHECK(course.add(line("01.500", "b", 1410, R"(,"amounts":"s:5,t:99")")));
    CHECK(course.add(line("04.000", "b", 1410, R"(,"amounts":"tt:5")")));
    CHECK(says(course, "not run: team t had 417 tokens free"));
    CHECK(says(course, "cut off from the platform, since 10.1 s before"));
    CHECK(says(course, "last got tokens 10.6 s before, by host b"));
}

// Story: a target dies in the middle of a stream that may not be taken up
// elsewhere; the caller sees its answer end.
TEST(request_timeline, a_cut_stream_names_the_target_that_died)
{
    request_timeline course("r2");
    course.add(line("05.200", "a", 1512,
                    R"(,"id":"r2","outcome":"cut","reason":"broken",)"
                    R"("target":"i-9","events":"17")"));
    course.add(line("05.100", "a", 1514,
                    R"(,"id":"r2","target":"i-9","ended":"broken",)"
                    R"("detail":"answer's body: Connection reset by peer")"));
    course.add(line("05.900", "b", 1610, R"(,"target":"i-9")"));
    CHECK(says(course, "cut after 17 events"));
    CHECK(says(course, "target i-9, ended 'broken' at 'answer's body"));
    CHECK(says(course, "it died"));
}

// Story: a connection falls silent after a request that may run once was sent.
// Nobody here knows whether it ran; the answer said so.
TEST(request_timeline, an_unknown_outcome_sends_on_call_to_the_targets_owner)
{
    request_timeline course("r3");
    course.add(line("05.200", "a", 1512,
                    R"(,"id":"r3","outcome":"unknown","reason":"broken",)"
                    R"("target":"i-9")"));
    CHECK(says(course, "only the target's owner can say"));
    CHECK(!says(course, "it died"));
}

TEST(request_timeline, lines_of_all_hosts_come_in_order)
{
    request_timeline course("r4");
    course.add(line("07.000", "a", 1510, R"(,"id":"r4","ms":"12")"));
    course.add(
        line("06.000", "b", 1511,
             R"(,"id":"r4","outcome":"503","reason":"the node leaves")"));
    const std::string text = course.explain();
    CHECK(text.find("the node leaves") < text.find("Answered, after 12 ms."));
}

TEST(request_timeline, says_what_it_does_not_know)
{
    request_timeline course("r5");
    CHECK(!course.add("no JSON at all"));
    CHECK(!course.add(R"({"event":1510})"));
    CHECK(!course.add(R"({"event":"x","time":"2026-05-17T13:40:01Z"})"));
    CHECK(course.add(line("01.000", "a", 1012, R"(,"1510":50)")));
    CHECK(!course.found());
    CHECK(says(course, "No line tells of request r5"));
    CHECK(says(course, "1 times a node left lines out"));
}

TEST(request_timeline, whatever_a_log_printer_puts_before_a_line_is_skipped)
{
    const auto got =
        parse_log_line("  12.1 host-a " + line("12.089", "a", 1510, ""));
    CHECK(got && got->event == 1510 && got->host == "a");
}

// Story: a caller got no answer, and on-call asks whether it left by itself or
// was cut. The node had stood still, and the network reset the connection.
TEST(request_timeline, a_caller_that_left_is_told_from_a_connection_that_broke)
{
    request_timeline closed("r1");
    closed.add(line("01.000", "a", 1513,
                    R"(,"id":"r1","ms":"52","reason":"answer's head",)"
                    R"("caller_end":"closed","lag_ms":"0")"));
    CHECK(says(closed, "left after 52 ms"));
    CHECK(!says(closed, "connection ended by"));
    CHECK(!says(closed, "stood still"));
    request_timeline broken("r2");
    broken.add(line("01.000", "a", 1513,
                    R"(,"id":"r2","ms":"3","reason":"answer's head",)"
                    R"("caller_end":"reset","lag_ms":"48")"));
    CHECK(says(broken, "connection ended by: reset"));
    CHECK(says(broken, "stood still for up to 48 ms"));
}

// Story: a caller's connection ended just after its request was sent on. The
// target's answer still came and was written, so the last line says answered;
// the caller got nothing.
TEST(request_timeline, an_answer_after_its_callers_end_may_not_have_arrived)
{
    request_timeline course("r1");
    course.add(line("01.000", "a", 1510,
                    R"(,"id":"r1","ms":"16","caller_end":"closed")"));
    CHECK(says(course, "Answered, after 16 ms"));
    CHECK(says(course, "may not have taken the answer"));
    request_timeline plain("r2");
    plain.add(
        line("01.000", "a", 1510, R"(,"id":"r2","ms":"16","caller_end":"")"));
    CHECK(!says(plain, "may not have taken"));
}
