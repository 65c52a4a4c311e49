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

bool explanation_contains(const request_timeline& timeline, const char* text)
{
    return timeline.explain().find(text) != std::string::npos;
}

} // namespace

TEST_GROUP(request_timeline){};

// A team runs out of tokens while the node that takes them from the allotment
// record can't reach the platform. From the id of a refused request and the
// logs alone, an operator must find the partition and the last refill.
TEST(request_timeline, a_refusal_names_the_partition_and_the_last_refill)
{
    request_timeline timeline("r1");
    CHECK(timeline.add(line("12.089", "a", 1511,
                            R"(,"id":"r1","outcome":"503",)"
                            R"("reason":"short of tokens","team":"t",)"
                            R"("tokens_free":"417","platform":"out")")));
    CHECK(timeline.add(line("02.000", "a", 1202, R"(,"detail":"x")")));
    CHECK(timeline.add(line("03.000", "b", 1202, R"(,"detail":"x")")));
    CHECK(timeline.add(line("01.500", "b", 1410, R"(,"amounts":"s:5,t:99")")));
    CHECK(timeline.add(line("04.000", "b", 1410, R"(,"amounts":"tt:5")")));
    CHECK(
        explanation_contains(timeline, "not run: team t had 417 tokens free"));
    CHECK(explanation_contains(
        timeline, "cut off from the platform, since 10.1 s before"));
    CHECK(explanation_contains(timeline,
                               "last got tokens 10.6 s before, by host b"));
}

// A caller asks why its upload was refused though it kept to the limits: the
// operator must find what it held, and that others needed it.
TEST(request_timeline, a_request_that_gave_way_says_what_it_held)
{
    request_timeline timeline("r1");
    timeline.add(line("05.100", "a", 1521,
                      R"(,"id":"r1","reason":"behind","of":"request",)"
                      R"("bytes":"400000","held":"21000000",)"
                      R"("connections":"900")"));
    timeline.add(line("05.101", "a", 1515,
                      R"(,"id":"r1","outcome":"408",)"
                      R"("reason":"the request arrives too slowly")"));
    CHECK(explanation_contains(timeline, "Its request held 400000 bytes"));
    CHECK(explanation_contains(timeline, "since it arrived too slowly"));
    CHECK(explanation_contains(timeline, "Refused, and not run: the request "
                                         "arrives too slowly (status 408)"));
}

// A request fails since its target sent what isn't HTTP: the operator must find
// the target and the fault.
TEST(request_timeline, a_malformed_answer_names_its_target_and_fault)
{
    request_timeline timeline("r1");
    timeline.add(line("05.100", "a", 1522,
                      R"(,"id":"r1","target":"i-7","address":"10.0.0.9:80",)"
                      R"("relay":"b","where":"answer's head",)"
                      R"("fault":"bad status","begun":"no")"));
    timeline.add(line("05.101", "a", 1512,
                      R"(,"id":"r1","outcome":"unknown","reason":"garbled")"));
    CHECK(explanation_contains(
        timeline, "Target i-7 sent what isn't proper HTTP, through b, in the "
                  "answer's head (bad status): none of it was passed on."));
}

// A stream is refused, and the operator must find out which version began it
// or why nobody knew.
TEST(request_timeline, a_resumed_stream_names_the_version_that_began_it)
{
    request_timeline known("r1");
    known.add(line("05.100", "a", 1519,
                   R"(,"id":"r1","resumes":"r0","resume_after":"7",)"
                   R"("decision":"at_origin","version":"v1.2",)"
                   R"("source":"b","age_ms":"420")"));
    known.add(line("05.200", "a", 1510, R"(,"id":"r1","ms":"90")"));
    CHECK(explanation_contains(
        known, "after event 7, begun by its attempt r0. It began at version "
               "'v1.2', by the record of host b, which was 420 ms old"));
    request_timeline unknown("r1");
    unknown.add(line("05.100", "a", 1519,
                     R"(,"id":"r1","resumes":"r0","resume_after":"7",)"
                     R"("decision":"unknown","asked":"7","answered":"4")"));
    unknown.add(line("05.200", "a", 1511,
                     R"(,"id":"r1","outcome":"503",)"
                     R"("reason":"version of the stream unknown")"));
    CHECK(explanation_contains(unknown, "4 of 7 nodes answered"));
    CHECK(explanation_contains(unknown, "version of the stream unknown"));
}

// A request is refused because of a part of its prompt, and the operator must
// find out which, and what speaks against it.
TEST(request_timeline, a_request_with_a_crashing_part_names_part_and_deaths)
{
    const auto explain = [](const char* level, const char* decision) {
        request_timeline timeline("r1");
        timeline.add(line("05.100", "a", 1520,
                          std::string(R"(,"id":"r1","mark":"part 0bad",)"
                                      R"("deaths":"5","rounds":"2",)"
                                      R"("targets":"i-1:900,i-2:40",)"
                                      R"("last_answer_ms":"none",)"
                                      R"("trial_in_ms":"18000",)"
                                      R"("giver":"b","level":")") +
                              level + R"(","decision":")" + decision + "\""));
        timeline.add(line("05.200", "a", 1511,
                          R"(,"id":"r1","outcome":"not_run",)"
                          R"("reason":"it crashes targets")"));
        return timeline;
    };
    const auto refused = explain("condemned", "refused");
    CHECK(explanation_contains(
        refused, "With its part 0bad, 5 targets died in 2 successive rounds"));
    CHECK(explanation_contains(refused, "i-1:900,i-2:40"));
    CHECK(explanation_contains(refused, "No target has answered it"));
    CHECK(explanation_contains(refused, "a trial in 18000 ms"));
    CHECK(explanation_contains(explain("suspected", "refused"),
                               "host b gave no leave"));
    CHECK(explanation_contains(explain("suspected", "run alone"),
                               "ran alone with it, by leave of host b"));
}

// A target dies in the middle of a stream that can't be resumed at another
// target, so the caller's answer is truncated.
TEST(request_timeline, a_cut_stream_names_the_target_that_died)
{
    request_timeline timeline("r2");
    timeline.add(line("05.200", "a", 1512,
                      R"(,"id":"r2","outcome":"cut","reason":"broken",)"
                      R"("target":"i-9","events":"17")"));
    timeline.add(line("05.100", "a", 1514,
                      R"(,"id":"r2","target":"i-9","ended":"broken",)"
                      R"("detail":"answer's body: Connection reset by peer")"));
    timeline.add(line("05.900", "b", 1610, R"(,"target":"i-9")"));
    CHECK(explanation_contains(timeline, "cut after 17 events"));
    CHECK(explanation_contains(timeline,
                               "target i-9, ended 'broken' at 'answer's body"));
    CHECK(explanation_contains(timeline, "it died"));
}

// The connection goes silent after a request that may run only once was sent.
// The fleet can't know whether it ran, and told the caller so.
TEST(request_timeline, an_unknown_outcome_refers_to_the_targets_owner)
{
    request_timeline timeline("r3");
    timeline.add(line("05.200", "a", 1512,
                      R"(,"id":"r3","outcome":"unknown","reason":"broken",)"
                      R"("target":"i-9")"));
    CHECK(explanation_contains(timeline, "only the target's owner can say"));
    CHECK(!explanation_contains(timeline, "it died"));
}

TEST(request_timeline, lines_of_all_hosts_are_sorted_by_time)
{
    request_timeline timeline("r4");
    timeline.add(line("07.000", "a", 1510, R"(,"id":"r4","ms":"12")"));
    timeline.add(
        line("06.000", "b", 1511,
             R"(,"id":"r4","outcome":"503","reason":"the node leaves")"));
    const std::string text = timeline.explain();
    CHECK(text.find("the node leaves") < text.find("Answered, after 12 ms."));
}

TEST(request_timeline, reports_missing_and_dropped_lines)
{
    request_timeline timeline("r5");
    CHECK(!timeline.add("no JSON at all"));
    CHECK(!timeline.add(R"({"event":1510})"));
    CHECK(!timeline.add(R"({"event":"x","time":"2026-05-17T13:40:01Z"})"));
    CHECK(timeline.add(line("01.000", "a", 1012, R"(,"1510":50)")));
    CHECK(!timeline.found());
    CHECK(explanation_contains(timeline, "No log line mentions request r5"));
    CHECK(
        explanation_contains(timeline, "1 times that they dropped log lines"));
}

TEST(request_timeline, a_prefix_before_the_json_is_skipped)
{
    const auto got =
        parse_log_line("  12.1 host-a " + line("12.089", "a", 1510, ""));
    CHECK(got && got->event == 1510 && got->host == "a");
}

// A caller got no answer. The explanation must distinguish a caller that closed
// its connection from one whose connection was reset by the network while the
// node's event loop was stalled.
TEST(request_timeline, a_caller_that_left_differs_from_a_broken_connection)
{
    request_timeline closed("r1");
    closed.add(line("01.000", "a", 1513,
                    R"(,"id":"r1","ms":"52","reason":"answer's head",)"
                    R"("caller_end":"closed","lag_ms":"0")"));
    CHECK(explanation_contains(closed, "left after 52 ms"));
    CHECK(!explanation_contains(closed, "connection ended by"));
    CHECK(!explanation_contains(closed, "stalled"));
    request_timeline broken("r2");
    broken.add(line("01.000", "a", 1513,
                    R"(,"id":"r2","ms":"3","reason":"answer's head",)"
                    R"("caller_end":"reset","lag_ms":"48")"));
    CHECK(explanation_contains(broken, "connection ended by: reset"));
    CHECK(explanation_contains(broken, "stalled for up to 48 ms"));
}

// A caller's connection ends just after its request was forwarded. The target's
// answer still arrives and is written, so the last line says `answered`,
// although the caller got nothing.
TEST(request_timeline, an_answer_after_the_connection_ended_may_be_lost)
{
    request_timeline timeline("r1");
    timeline.add(line("01.000", "a", 1510,
                      R"(,"id":"r1","ms":"16","caller_end":"closed")"));
    CHECK(explanation_contains(timeline, "Answered, after 16 ms"));
    CHECK(explanation_contains(timeline, "may not have received the answer"));
    request_timeline plain("r2");
    plain.add(
        line("01.000", "a", 1510, R"(,"id":"r2","ms":"16","caller_end":"")"));
    CHECK(!explanation_contains(plain, "may not have received"));
}
