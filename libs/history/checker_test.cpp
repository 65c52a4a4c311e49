#include "fennelladder/history/checker.hpp"

#include "history_text.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::history;

namespace {

// One clearance, asked for, run, answered in two pieces and billed, while a
// configuration comes into force and the node shuts down. Keeps every rule.
const std::string good =
    /* 1*/
    "0 n1 config_in_force generation=1 hash=h1\n"
    /* 2*/ "0 n1 prepaid budget=b tokens=10 topup=p1\n"
    /* 3*/ "1 n1 sent request=r1 team=t budget=b key=t/k1 kind=dispatcher "
    "idempotent=false caller=c1\n"
    /* 4*/ "1 n1 dispatched request=r1 key=t/k1 target=g1 attempt=1\n"
    /* 5*/ "1 g1 executed key=t/k1 target=g1 attempt=1\n"
    /* 6*/ "2 n1 chunk request=r1 caller=c1 offset=0 bytes=5 digest=run:a\n"
    /* 7*/ "2 n1 chunk request=r1 caller=c1 offset=5 bytes=5 digest=run:b\n"
    /* 8*/ "3 n1 answered request=r1 caller=c1 length=10 digest=run:b\n"
    /* 9*/ "3 n1 billed key=t/k1 budget=b tokens=10 bill=x1\n"
    /*10*/ "4 op config_accepted generation=2 hash=h2\n"
    /*11*/ "5 n1 config_in_force generation=2 hash=h2\n"
    /*12*/ "6 g2 target_leaving target=g2\n"
    /*13*/ "30 n1 shutdown_begin\n"
    /*14*/ "40 n1 shutdown_end\n";

// A second request; its end is up to the case.
const std::string sent_r2 =
    "25 n1 sent request=r2 team=t budget=b key=t/k2 kind=inspector "
    "idempotent=false caller=c2\n";
const std::string retry_r3 =
    "27 n1 sent request=r3 team=t budget=b key=t/k2 kind=inspector "
    "idempotent=false caller=c2\n";
const std::string dispatched_r2 =
    "26 n1 dispatched request=r2 key=t/k2 target=g1 attempt=1\n";
const std::string executed_k2 = "28 g1 executed key=t/k2 target=g1 attempt=1\n";

/// `good` with the first `from` replaced by `to`, and lines added.
struct history_case
{
    const char* name;
    const char* broken; ///< "RULE: LINES", empty when all rules hold.
    std::string from;
    std::string to;
    std::string added;
};

std::string apply(const history_case& it)
{
    std::string text = good;
    if (!it.from.empty()) {
        const std::size_t place = text.find(it.from);
        CHECK_TEXT(place != std::string::npos, it.name);
        text.replace(place, it.from.size(), it.to);
    }
    return text + it.added;
}

history_report check_text(const std::string& text,
                          const check_options& options = {})
{
    checker check(options);
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
        check.add_line(json_line(line));
    return check.finish();
}

std::string summary(const history_report& report)
{
    std::string text = report.bad.to_text();
    for (const violation& it : report.violations) {
        text += std::string(text.empty() ? "" : "; ") +
                std::string(to_string(it.broken)) + ":";
        for (const line_number line : it.lines)
            text += " " + std::to_string(line);
    }
    return text;
}

const std::vector<history_case> cases{
    {"good", "", "", "", ""},

    {"one token too much", "overspend: 2 9", "tokens=10 bill", "tokens=11 bill",
     ""},
    {"topped up in time", "", "tokens=10 bill", "tokens=11 bill",
     "2.9 n2 prepaid budget=b tokens=1 topup=p2\n"},
    {"topped up too late", "overspend: 2 9", "tokens=10 bill", "tokens=11 bill",
     "3.1 n2 prepaid budget=b tokens=1 topup=p2\n"},
    {"a top-up seen twice counts once", "overspend: 2 9", "tokens=10 bill",
     "tokens=11 bill", "1 n2 prepaid budget=b tokens=10 topup=p1\n"},
    {"another budget's tokens", "overspend: 9", "key=t/k1 budget=b",
     "key=t/k1 budget=b2", ""},

    {"billed twice", "billed-once: 9 15", "tokens=10 bill", "tokens=4 bill",
     "3 n2 billed key=t/k1 budget=b tokens=4 bill=x2\n"},
    {"a bill seen twice", "", "", "",
     "3 n2 billed key=t/k1 budget=b tokens=10 bill=x1\n"},
    {"a bill that changes", "billed-once: 9 15", "", "",
     "3 n2 billed key=t/k1 budget=b tokens=9 bill=x1\n"},
    {"billed and never ran", "billed-once: 15", "tokens=10 bill",
     "tokens=4 bill", "9 n1 billed key=t/k9 budget=b tokens=4 bill=x2\n"},

    {"a gap", "whole-answer: 6 7", "offset=5 bytes=5", "offset=6 bytes=4", ""},
    {"an overlap", "whole-answer: 6 7", "offset=5 bytes=5", "offset=4 bytes=6",
     ""},
    {"a missing first piece", "whole-answer: 6", "offset=0 bytes=5",
     "offset=1 bytes=4", ""},
    {"a missing end", "whole-answer: 7 8", "length=10", "length=11", ""},
    {"bytes beyond the end", "whole-answer: 7 8", "length=10", "length=9", ""},
    {"foreign bytes", "whole-answer: 7 8", "bytes=5 digest=run:b",
     "bytes=5 digest=run:c", ""},
    {"digests of pieces say nothing of the whole", "", "bytes=5 digest=run:b",
     "bytes=5 digest=c", ""},
    {"answered twice", "whole-answer: 8 15", "", "",
     "3 n1 answered request=r1 caller=c1 length=10 digest=run:b\n"},
    {"in three pieces", "", "offset=5 bytes=5 digest=run:b\n",
     "offset=5 bytes=1 digest=run:x\n2 n1 chunk request=r1 caller=c1 offset=6 "
     "bytes=4 digest=run:b\n",
     ""},
    {"one run, two answers", "whole-answer: 8 16", "", "",
     "7 n1 sent request=r4 team=t budget=b key=t/k1 kind=x idempotent=false "
     "caller=c1\n7 n1 answered request=r4 caller=c1 length=0 digest=run:0\n"},
    {"one run, fetched twice", "", "", "",
     "7 n1 sent request=r4 team=t budget=b key=t/k1 kind=x idempotent=false "
     "caller=c1\n7 n1 chunk request=r4 caller=c1 offset=0 bytes=10 "
     "digest=run:b\n"
     "7 n1 answered request=r4 caller=c1 length=10 digest=run:b\n"},

    {"a chunk at another caller", "own-answer: 3 7", "caller=c1 offset=5",
     "caller=c2 offset=5", ""},
    {"an answer at another caller", "own-answer: 3 8", "caller=c1 length",
     "caller=c2 length", ""},

    {"told not run, had run", "not-run-is-true: 16 17 18", "", "",
     sent_r2 + dispatched_r2 + executed_k2 + "29 n1 not_run request=r2\n"},
    {"told not run, runs later", "not-run-is-true: 16 17 18", "", "",
     sent_r2 + dispatched_r2 + "27 n1 not_run request=r2\n" + executed_k2},
    {"told not run without a dispatch", "not-run-is-true: 15 16 17", "", "",
     sent_r2 + "27 n1 not_run request=r2\n" + executed_k2},
    {"refused, had run", "not-run-is-true: 16 17 18", "", "",
     sent_r2 + dispatched_r2 + executed_k2 +
         "29 n1 refused request=r2 budget=b\n"},
    {"the retry ran", "", "", "",
     sent_r2 + dispatched_r2 + "26 n1 not_run request=r2\n" + retry_r3 +
         "27 n1 dispatched request=r3 key=t/k2 target=g1 attempt=1\n" +
         executed_k2 +
         "29 n1 answered request=r3 caller=c2 length=0 digest=run:0\n"},
    {"the retry came after the run", "not-run-is-true: 16 17 20", "", "",
     sent_r2 + dispatched_r2 + "26 n1 not_run request=r2\n" + retry_r3 +
         "29 n1 dispatched request=r3 key=t/k2 target=g1 attempt=1\n" +
         executed_k2 +
         "29 n1 answered request=r3 caller=c2 length=0 digest=run:0\n"},
    {"told not run, and answered", "not-run-is-true: 8 15", "", "",
     "3 n1 not_run request=r1\n"},

    {"ran at two targets", "at-most-once: 3 5 15", "", "",
     "9 g2 executed key=t/k1 target=g2 attempt=1\n"},
    {"an idempotent one may", "", "idempotent=false", "idempotent=true",
     "9 g2 executed key=t/k1 target=g2 attempt=1\n"},

    {"work after leaving", "no-work-after-leaving: 12 15", "", "",
     "11.1 n1 dispatched request=r1 key=t/k1 target=g2 attempt=2\n"},
    {"work just in time", "", "", "",
     "11 n1 dispatched request=r1 key=t/k1 target=g2 attempt=2\n"},

    {"cut by a shutdown", "no-cut-on-shutdown: 13 14 15 16", "", "",
     sent_r2 + "31 n1 unknown request=r2\n"},
    {"unknown before it", "", "", "", sent_r2 + "29 n1 unknown request=r2\n"},
    {"sent after it", "", "", "",
     "41 n1 sent request=r2 team=t budget=b key=t/k2 kind=x idempotent=true "
     "caller=c2\n42 n1 unknown request=r2\n"},
    {"turned away by it", "", "", "", sent_r2 + "31 n1 not_run request=r2\n"},
    {"cut by its target's death", "", "", "",
     sent_r2 + dispatched_r2 + "30 g1 died\n31 n1 unknown request=r2\n"},
    {"cut by a death amid it", "", "", "",
     sent_r2 + "35 n1 died\n31 n1 unknown request=r2\n"},
    {"dispatched by the one that shuts down", "no-cut-on-shutdown: 13 14 16 17",
     "", "",
     "25 n2 sent request=r2 team=t budget=b key=t/k2 kind=x idempotent=true "
     "caller=c2\n" +
         dispatched_r2 + "31 n1 unknown request=r2\n"},

    {"in force too late", "config-in-force: 10 11", "5 n1 config_in_force",
     "17.1 n1 config_in_force", ""},
    {"in force just in time", "", "5 n1 config_in_force",
     "17 n1 config_in_force", ""},
    {"never in force", "config-in-force: 1 10", "5 n1 config_in_force",
     "5 op config_accepted", ""},
    {"not yet due", "", "", "", "39 op config_accepted generation=3 hash=h3\n"},
    {"the node died by then", "", "5 n1 config_in_force generation=2 hash=h2",
     "16 n1 died", ""},
    {"shut down by then", "", "", "",
     "18 op config_accepted generation=3 hash=h3\n"},
    {"a later one is as good", "", "5 n1 config_in_force generation=2 hash=h2",
     "5 op config_accepted generation=3 hash=h3\n"
     "5.2 n1 config_in_force generation=3 hash=h3",
     ""},
    {"another content", "config-in-force: 10 11",
     "5 n1 config_in_force "
     "generation=2 hash=h2",
     "5 n1 config_in_force generation=2 hash=h1", ""},
    {"a late starter has its time", "", "", "", "28 n2 shutdown_begin\n"},

    {"a node goes back", "config-never-reverts: 11 15", "", "",
     "6 n1 config_in_force generation=1 hash=h1\n"},
    {"the same again", "", "", "",
     "6 n1 config_in_force generation=2 hash=h2\n"},
    {"accepted again with less", "config-never-reverts: 10 15", "", "",
     "6 op config_accepted generation=1 hash=h1\n"},
    {"accepted by two writers", "config-never-reverts: 10 15", "", "",
     "6 op config_accepted generation=2 hash=h9\n"},
    {"the acceptance seen twice", "", "", "",
     "6 op config_accepted generation=2 hash=h2\n"},

    {"no outcome", "no-loss: 15", "", "",
     "41 n1 sent request=r2 team=t budget=b key=t/k2 kind=x idempotent=true "
     "caller=c2\n"},
    {"its node died", "", "", "",
     "41 n1 sent request=r2 team=t budget=b key=t/k2 kind=x idempotent=true "
     "caller=c2\n42 n1 died\n"},
    {"another node died", "no-loss: 15", "", "",
     "41 n1 sent request=r2 team=t budget=b key=t/k2 kind=x idempotent=true "
     "caller=c2\n42 n2 died\n"},
    {"its dispatcher died", "", "", "",
     "41 n1 sent request=r2 team=t budget=b key=t/k2 kind=x idempotent=true "
     "caller=c2\n41 n2 dispatched request=r2 key=t/k2 target=g1 attempt=1\n"
     "42 n2 died\n"},
};

const std::vector<history_case> bad_cases{
    {"sent twice",
     "history line 15: request 'r1' was sent before, on line 3 [event 2100]\n",
     "", "",
     "9 n1 sent request=r1 team=t budget=b key=t/k1 kind=x idempotent=false "
     "caller=c1\n"},
    {"another idempotency",
     "history line 15: key 't/k1' had another idempotency on line 3 [event "
     "2100]\n",
     "", "",
     "9 n1 sent request=r2 team=t budget=b key=t/k1 kind=x idempotent=true "
     "caller=c1\n"},
    {"another team and a top-up that changes",
     "history line 15: key 't/k1' had another team on line 3 [event 2100]\n"
     "history line 16: top-up 'p1' differs from the one of line 2 [event "
     "2100]\n",
     "", "",
     "9 n1 sent request=r2 team=u budget=b key=t/k1 kind=x idempotent=false "
     "caller=c1\n9 n1 prepaid budget=b tokens=11 topup=p1\n"},
    {"sent nowhere",
     "history line 15: request 'r7' is sent nowhere in this history [event "
     "2100]\nhistory line 16: key 't/k7' is sent nowhere in this history "
     "[event 2100]\n",
     "", "",
     "9 n1 not_run request=r7\n9 g1 executed key=t/k7 target=g1 attempt=1\n"},
    {"a dispatch under another key",
     "history line 4: the key of request 'r1' is another on line 3 [event "
     "2100]\n",
     "dispatched request=r1 key=t/k1", "dispatched request=r1 key=t/k2", ""},
    {"bad lines hide no other",
     "history line 2: 'paid' is no event [event 2100]\n"
     "history line 15: 'target' is missing; 'attempt' is missing [event "
     "2100]\n",
     "prepaid", "paid", "9 g1 executed key=t/k1\n"},
};

} // namespace

TEST_GROUP(checker){};

// For every rule: histories that break it and nothing else, with the lines
// that show it, and near misses that keep all rules.
TEST(checker, breaks_exactly_the_named_rule)
{
    std::array<int, rule_count> broken{};
    for (const history_case& it : cases) {
        const history_report report = check_text(apply(it));
        STRCMP_EQUAL_TEXT(it.broken, summary(report).c_str(), it.name);
        for (const violation& found : report.violations)
            ++broken[static_cast<std::size_t>(found.broken)];
    }
    for (std::size_t n = 0; n < rule_count; ++n)
        CHECK_TEXT(broken[n] > 0,
                   std::string(to_string(static_cast<rule>(n))).c_str());
}

TEST(checker, a_bad_history_is_not_judged)
{
    for (const history_case& it : bad_cases) {
        const history_report report = check_text(apply(it));
        STRCMP_EQUAL_TEXT(it.broken, report.bad.to_text().c_str(), it.name);
        CHECK_TEXT(report.violations.empty(), it.name);
    }
    CHECK(!check_text("").bad.empty());
}

TEST(checker, graces_are_options)
{
    check_options options;
    options.leaving_grace = seconds(1);
    options.config_grace = milliseconds(500);
    const history_report report = check_text(
        good + "8 n1 dispatched request=r1 key=t/k1 target=g2 attempt=2\n",
        options);
    STRCMP_EQUAL("no-work-after-leaving: 12 15; config-in-force: 10 11",
                 summary(report).c_str());
}

// The order of lines from several writers must not matter, only their times.
TEST(checker, lines_may_come_in_any_order)
{
    const std::vector<std::string> parts{good, sent_r2, dispatched_r2,
                                         executed_k2,
                                         "29 n1 not_run request=r2\n"};
    std::string text;
    for (auto it = parts.rbegin(); it != parts.rend(); ++it)
        text += *it;
    STRCMP_EQUAL("not-run-is-true: 1 2 3", summary(check_text(text)).c_str());
}

TEST(checker, keeps_no_more_than_asked_but_counts_all)
{
    std::string text = good;
    for (int n = 0; n < 30; ++n)
        text += "41 n1 sent request=q" + std::to_string(n) +
                " team=t budget=b key=q kind=x idempotent=true caller=c\n";
    check_options options;
    options.kept = 4;
    const history_report report = check_text(text, options);
    CHECK_EQUAL(4, report.violations.size());
    CHECK_EQUAL(30, report.broken[static_cast<std::size_t>(rule::no_loss)]);
}

// An inspector's request (r2) goes to a target before the dispatcher's (r3),
// though it came later: the ferry waits.
TEST(checker, counts_overtaken_urgent_requests)
{
    check_options options;
    options.urgent_kinds = {caller_kind("dispatcher")};
    const history_report report = check_text(
        "1 n1 sent request=r3 team=t budget=b key=t/k3 kind=dispatcher "
        "idempotent=true caller=c3\n"
        "2 n1 sent request=r2 team=t budget=b key=t/k2 kind=inspector "
        "idempotent=true caller=c2\n"
        "3 n1 dispatched request=r2 key=t/k2 target=g1 attempt=1\n"
        "4 n1 dispatched request=r3 key=t/k3 target=g1 attempt=1\n"
        "5 n1 unknown request=r2\n5 n1 unknown request=r3\n",
        options);
    STRCMP_EQUAL("", summary(report).c_str());
    CHECK_EQUAL(2, report.kinds.size());
    CHECK_EQUAL(1, report.kinds[0].overtaken);
    CHECK(report.kinds[0].wait_max == seconds(3));
    CHECK_EQUAL(0, report.kinds[1].overtaken);
}

TEST(checker, reads_files_and_names_unreadable_ones)
{
    STRCMP_EQUAL("nowhere.jsonl: can't be opened [event 2100]\n",
                 check_file("nowhere.jsonl", {}).bad.to_text().c_str());
    const std::string long_line(100'000, 'x');
    std::istringstream in(json_line("1 n1 died") + "\n" + long_line + "\n\n" +
                          json_line("1 n1 died"));
    STRCMP_EQUAL("h line 2: longer than 65536 bytes [event 2100]\n"
                 "h line 3: not JSON at byte 1 [event 2100]\n",
                 check_stream(in, {}, "h").bad.to_text().c_str());
}
