#include "fennelladder/request/relay_checker.hpp"
#include "fennelladder/request/request_machine.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::request;

namespace {

const std::string answer = "aabbccdd"; // four chunks of one token each
constexpr std::size_t chunk_size = 2;
constexpr tokens prompt(10);
constexpr tokens output(4);

enum class fault
{
    none,
    target_dies,
    target_refuses,
    connection_silent,
    caller_leaves,
    shutdown,
    store_down,
    reply_late,
    reply_crossed
};

enum class moment
{
    before_reserve,
    reserved,
    claimed,
    dispatched,
    first_chunk,
    middle,
    last_chunk,
    settled
};

enum class kind
{
    streaming,   // idempotent, at an engine, bound to this node
    plain,       // idempotent, at a service, bound to this node
    once_bound,  // not idempotent, bound to this node
    once_unbound // not idempotent, without an origin
};

request_traits traits_of(kind of)
{
    request_traits traits;
    traits.key = request_key("k");
    traits.self = incarnation_id("a-1.1");
    traits.idempotent = of == kind::streaming || of == kind::plain;
    traits.resumable = of == kind::streaming;
    traits.cancelable = of == kind::streaming;
    traits.claim_first = of == kind::once_unbound;
    traits.first_arrival = of != kind::once_unbound;
    traits.prompt = prompt;
    traits.max_output = tokens(6);
    return traits;
}

// One request, its targets t0, t1, ... and the node that drives it. Targets
// count the runs they begin; whatever fault is set holds from then on for the
// target that is in use, or that is used next.
class world
{
public:
    explicit world(kind of)
        : of_(of), traits_(traits_of(of)), machine_(traits_, {})
    {}

    void set(fault what)
    {
        if (what == fault::store_down)
            store_down_ = true;
        else if (what == fault::caller_leaves)
            tell({event_kind::caller_left});
        else if (what == fault::shutdown)
            tell({event_kind::shutdown});
        else if (what == fault::reply_late)
            tell({event_kind::deadline_passed});
        else
            faults_[target_] = what;
    }

    bool over() const { return machine_.next().kind == action_kind::conclude; }

    moment now() const
    {
        if (over())
            return moment::settled;
        if (machine_.next().kind == action_kind::reserve)
            return moment::before_reserve;
        if (machine_.state() == request_state::reserved)
            return moment::reserved;
        if (machine_.state() == request_state::claimed)
            return moment::claimed;
        if (machine_.next().kind == action_kind::dispatch)
            return moment::reserved; // nothing has been sent yet
        const std::size_t chunks = got_.size() / chunk_size;
        if (chunks == 0)
            return moment::dispatched;
        if (chunks <= 1)
            return moment::first_chunk;
        return chunks <= 2 ? moment::middle : moment::last_chunk;
    }

    void step()
    {
        const action todo = machine_.next();
        switch (todo.kind) {
        case action_kind::reserve:
            return tell({event_kind::reserved});
        case action_kind::claim:
            return tell(
                {store_down_ ? event_kind::claim_failed : event_kind::claimed});
        case action_kind::check_suspect:
            return tell({event_kind::suspect_free});
        case action_kind::choose_target:
            return tell(
                {.kind = event_kind::target_chosen, .target = choose()});
        case action_kind::dispatch:
            return dispatch(todo);
        case action_kind::read:
            return read();
        case action_kind::ask_retry:
            return tell({retries_left_-- > 0 ? event_kind::retry_granted
                                             : event_kind::retry_denied});
        case action_kind::pause:
            return tell({event_kind::waited});
        case action_kind::cancel:
            return cancel();
        case action_kind::conclude:
            return;
        }
    }

    // The outcome, the bill and its total, and the runs begun: "As14x1".
    std::string summary() const
    {
        const conclusion& end = machine_.end();
        std::string line;
        line += "ANU"[static_cast<int>(end.reply.result)];
        line += "-rsh"[static_cast<int>(end.charge.kind)];
        line += std::to_string(end.charge.total.count());
        return line + 'x' + std::to_string(runs);
    }

    const conclusion& end() const { return machine_.end(); }

    std::string text;   // what the caller has
    int runs = 0;       // runs begun at targets
    int dispatches = 0; // actions to dispatch
    int taken_back = 0; // of them, proved not to have run
    bool whole = false; // the answer came to its end
    bool claimed = false;
    bool claim_tried = false;

private:
    void tell(const event& it)
    {
        claimed = claimed || it.kind == event_kind::claimed;
        whole = whole || it.kind == event_kind::completed;
        const bool back =
            it.kind == event_kind::refused || it.kind == event_kind::not_sent;
        taken_back += back ? 1 : 0;
        CHECK_TRUE(machine_.on_event(it, random_).has_value());
        claim_tried |= machine_.next().kind == action_kind::claim;
    }

    target_id choose()
    {
        const action& todo = machine_.next();
        if (todo.prefer.empty() && dispatches > 0)
            ++target_;
        ++dispatches;
        sent_ = false;
        return target_id("t" + std::to_string(target_));
    }

    fault fault_here() const
    {
        const auto it = faults_.find(target_);
        return it == faults_.end() ? fault::none : it->second;
    }

    void dispatch(const action& todo)
    {
        if (of_ != kind::streaming) {
            got_.clear();
            checker_ = relay_checker();
        }
        checker_.begin_attempt(request_id("r" + std::to_string(todo.attempt)));
        sent_ = true;
        CHECK_EQUAL(text.size(), todo.offset);
        if (fault_here() == fault::target_dies)
            return tell({event_kind::not_sent});
        if (fault_here() == fault::target_refuses)
            return tell({event_kind::refused});
        if (fault_here() == fault::connection_silent)
            return go_silent(); // sent, and swallowed on the way
        if (todo.prefer.empty() || !begun_[target_])
            ++runs;
        begun_[target_] = true;
        tell({event_kind::chunk}); // accepted; no text yet
    }

    void go_silent()
    {
        faults_.erase(target_); // a fresh connection works
        tell({event_kind::target_silent});
    }

    void read()
    {
        const fault now = fault_here();
        if (now == fault::target_dies)
            return tell({event_kind::target_died});
        if (now == fault::connection_silent)
            return go_silent();
        const std::string id =
            now == fault::reply_crossed
                ? "other"
                : "r" + std::to_string(machine_.next().attempt);
        const std::string part = answer.substr(got_.size(), chunk_size);
        std::optional<std::uint64_t> length;
        if (got_.size() + part.size() == answer.size())
            length = answer.size();
        const auto got = checker_.check(
            {request_id(id), got_.size(), part.size(), part, length});
        if (got.verdict != relay_verdict::relayed)
            return tell({event_kind::connection_lost});
        got_ += got.text;
        const bool streams = of_ == kind::streaming;
        if (streams || checker_.whole())
            text = got_;
        if (checker_.whole())
            return tell({.kind = event_kind::completed, .output = output});
        tell({.kind = event_kind::chunk,
              .bytes = streams ? part.size() : 0,
              .output = tokens(streams ? 1 : 0)});
    }

    void cancel()
    {
        if (!sent_)
            return tell({event_kind::not_sent});
        if (fault_here() == fault::target_dies)
            return tell({event_kind::target_died});
        if (fault_here() == fault::connection_silent)
            return tell({event_kind::cancel_failed});
        // The engine was one token further than what it had sent.
        const auto ran = static_cast<std::int64_t>(got_.size() / chunk_size);
        tell({.kind = event_kind::cancel_confirmed,
              .output = tokens(runs > 0 ? ran + 1 : 0)});
    }

    kind of_;
    request_traits traits_;
    request_machine machine_;
    relay_checker checker_;
    random_source random_{1};
    std::map<int, fault> faults_;
    std::map<int, bool> begun_;
    std::string got_; // what came of the answer so far
    int target_ = 0;
    int retries_left_ = 100;
    bool store_down_ = false;
    bool sent_ = false;
};

// Drives a request to its end; `what` sets in at moment `when`. "." if the
// request has no such moment.
std::string summary_of(kind of, fault what, moment when)
{
    world run(of);
    bool set = false;
    for (int n = 0; n < 100; ++n) {
        if (!set && run.now() == when) {
            run.set(what);
            set = true;
        }
        if (run.over())
            return set ? run.summary() : ".";
        run.step();
    }
    return "endless";
}

struct fault_row
{
    fault what;
    kind of;
    const char* cells; // one per moment, in the order of `moment`
};

// clang-format off
//
// A cell: the outcome (Answered, Not run, Unknown), the bill (- nothing was
// reserved, released, settled, held), the tokens billed or known to be due,
// and x the runs begun at targets. The prompt has 10 tokens, the answer 4.
constexpr fault_row fault_rows[] = {
// Moments: before reserve, reserved, claimed, dispatched, first chunk, middle,
// last chunk, settled.
//
// The engine's process is killed. Before anything was sent, the next target
// takes the request and the caller notices nothing. Later, a guide or a
// look-up is resumed or run again; of a ticket or clearance nobody can tell
// whether it took effect, so it is never sent again.
{fault::target_dies, kind::streaming,    "As14x1 As14x1 . As14x2 As14x2 As14x2 As14x2 As14x1"},
{fault::target_dies, kind::plain,        "As14x1 As14x1 . As14x2 As14x2 As14x2 As14x2 As14x1"},
{fault::target_dies, kind::once_bound,   "As14x1 As14x1 . Uh0x1 Uh0x1 Uh0x1 Uh0x1 As14x1"},
{fault::target_dies, kind::once_unbound, "As14x1 As14x1 As14x1 Uh0x1 Uh0x1 Uh0x1 Uh0x1 As14x1"},
// The target is full and says so before it runs anything: that is proof, and
// even a clearance goes to the next one. Once it has accepted, it can't.
{fault::target_refuses, kind::streaming,    "As14x1 As14x1 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::target_refuses, kind::plain,        "As14x1 As14x1 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::target_refuses, kind::once_bound,   "As14x1 As14x1 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::target_refuses, kind::once_unbound, "As14x1 As14x1 As14x1 As14x1 As14x1 As14x1 As14x1 As14x1"},
// A firewall loses track of the connection: the answer just stops. A fresh
// connection works, so an engine goes on with the same run; a plain service
// runs it anew. A clearance is unknown, even if it was swallowed on the way
// and never ran, since nobody here can tell.
{fault::connection_silent, kind::streaming,    "As14x1 As14x1 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::connection_silent, kind::plain,        "As14x1 As14x1 . As14x2 As14x2 As14x2 As14x2 As14x1"},
{fault::connection_silent, kind::once_bound,   "Uh0x0 Uh0x0 . Uh0x1 Uh0x1 Uh0x1 Uh0x1 As14x1"},
{fault::connection_silent, kind::once_unbound, "Uh0x0 Uh0x0 Uh0x0 Uh0x1 Uh0x1 Uh0x1 Uh0x1 As14x1"},
// A volunteer walks off and the app closes its connection. An engine is told
// to stop and its tokens are billed, also the one it had not sent yet. What
// can't be stopped goes on, and the retry finds the answer under its key.
// Without an origin another node may have run the key: no `not run`.
{fault::caller_leaves, kind::streaming,    "N-0x0 Nr0x0 . Us11x1 Us12x1 Us13x1 Us14x1 As14x1"},
{fault::caller_leaves, kind::plain,        "N-0x0 Nr0x0 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::caller_leaves, kind::once_bound,   "N-0x0 Nr0x0 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::caller_leaves, kind::once_unbound, "U-0x0 Ur0x0 Nr0x0 As14x1 As14x1 As14x1 As14x1 As14x1"},
// The node is replaced. What has begun is finished; what has not is turned
// away at once, so that the caller goes to another node.
{fault::shutdown, kind::streaming,    "N-0x0 Nr0x0 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::shutdown, kind::plain,        "N-0x0 Nr0x0 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::shutdown, kind::once_bound,   "N-0x0 Nr0x0 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::shutdown, kind::once_unbound, "U-0x0 Ur0x0 Nr0x0 As14x1 As14x1 As14x1 As14x1 As14x1"},
// The object API is down. Only what must be claimed in it notices: it isn't
// run, and isn't told `not run` either, as an earlier try may have been
// claimed by another node.
{fault::store_down, kind::streaming,    "As14x1 As14x1 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::store_down, kind::plain,        "As14x1 As14x1 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::store_down, kind::once_bound,   "As14x1 As14x1 . As14x1 As14x1 As14x1 As14x1 As14x1"},
{fault::store_down, kind::once_unbound, "Ur0x0 Ur0x0 As14x1 As14x1 As14x1 As14x1 As14x1 As14x1"},
// The answer isn't there by the caller's deadline. An engine is stopped and
// its tokens billed; what can't be stopped may still run, so its reservation
// is held. The caller is told at once.
{fault::reply_late, kind::streaming,    "N-0x0 Nr0x0 . Us11x1 Us12x1 Us13x1 Us14x1 As14x1"},
{fault::reply_late, kind::plain,        "N-0x0 Nr0x0 . Uh0x1 Uh0x1 Uh0x1 Uh0x1 As14x1"},
{fault::reply_late, kind::once_bound,   "N-0x0 Nr0x0 . Uh0x1 Uh0x1 Uh0x1 Uh0x1 As14x1"},
{fault::reply_late, kind::once_unbound, "U-0x0 Ur0x0 Nr0x0 Uh0x1 Uh0x1 Uh0x1 Uh0x1 As14x1"},
// Part of another caller's answer comes over this connection. None of it is
// relayed, and the connection isn't believed any more.
{fault::reply_crossed, kind::streaming,    "As14x2 As14x2 . As14x2 As14x2 As14x2 As14x2 As14x1"},
{fault::reply_crossed, kind::plain,        "As14x2 As14x2 . As14x2 As14x2 As14x2 As14x2 As14x1"},
{fault::reply_crossed, kind::once_bound,   "Uh0x1 Uh0x1 . Uh0x1 Uh0x1 Uh0x1 Uh0x1 As14x1"},
{fault::reply_crossed, kind::once_unbound, "Uh0x1 Uh0x1 Uh0x1 Uh0x1 Uh0x1 Uh0x1 Uh0x1 As14x1"},
};
// clang-format on

constexpr kind all_kinds[] = {kind::streaming, kind::plain, kind::once_bound,
                              kind::once_unbound};

// What must hold at the end of any request, whatever happened; the outcome is
// said anew from the log of what happened and nothing else.
void check_end(const world& run, kind of)
{
    const request_traits traits = traits_of(of);
    const conclusion& end = run.end();
    const bill& charge = end.charge;
    const outcome result = end.reply.result;
    const bool may_have_run = run.dispatches > run.taken_back;
    const bool proved = !may_have_run && (traits.first_arrival || run.claimed);
    const outcome expected = run.whole ? outcome::answered
                             : proved  ? outcome::not_run
                                       : outcome::unknown;
    RC_ASSERT(result == expected);
    RC_ASSERT(traits.idempotent || run.runs <= 1);
    RC_ASSERT(result != outcome::not_run || run.runs == 0);
    RC_ASSERT(run.dispatches <= machine_options().attempt_cap);
    RC_ASSERT(run.text == answer.substr(0, run.text.size()));
    RC_ASSERT(result != outcome::answered || run.text == answer);
    RC_ASSERT(charge.total <= traits.prompt + traits.max_output);
    RC_ASSERT(result != outcome::answered || charge.total == prompt + output);
    RC_ASSERT(may_have_run || charge.kind <= bill_kind::release);
    RC_ASSERT(may_have_run || charge.total == tokens());
    RC_ASSERT(end.record == (!traits.idempotent && may_have_run));
    RC_ASSERT(charge.kind != bill_kind::settle || charge.total > tokens());
    RC_ASSERT(end.release_claim == (run.claim_tried && !may_have_run));
    RC_ASSERT(end.may_have_run == may_have_run);
    RC_ASSERT(result == outcome::answered || !end.may_still_run ||
              charge.kind == bill_kind::hold);
}

} // namespace

TEST_GROUP(request_machine){};

TEST(request_machine, ends_as_the_fault_table_says)
{
    for (const fault_row& row : fault_rows) {
        std::string got;
        for (int when = 0; when <= static_cast<int>(moment::settled); ++when) {
            got += got.empty() ? "" : " ";
            got += summary_of(row.of, row.what, static_cast<moment>(when));
        }
        STRCMP_EQUAL(row.cells, got.c_str());
    }
}

// Any faults at any moments, several at once: each request still ends once,
// truly, and with at most one run if it must not run twice.
TEST(request_machine, ends_truly_whatever_happens)
{
    testing::check_property({.name = "faults", .seed = 21, .cases = 3000}, [] {
        const kind of = *rc::gen::elementOf(
            std::vector<kind>(std::begin(all_kinds), std::end(all_kinds)));
        const auto faults =
            *rc::gen::container<std::vector<int>>(rc::gen::weightedOneOf<int>(
                {{2, rc::gen::just(0)}, {1, rc::gen::inRange(1, 9)}}));
        world run(of);
        std::size_t n = 0;
        for (; n < 200 && !run.over(); ++n) {
            if (n < faults.size() && faults[n] != 0)
                run.set(static_cast<fault>(faults[n]));
            if (!run.over())
                run.step();
        }
        RC_ASSERT(run.over());
        check_end(run, of);
    });
}

struct refusal
{
    std::vector<event_kind> events;
    outcome result;
    reply_code code;
    bool retry_useful;
};

// What is told, and with which retry-after, when a step before the dispatch
// says no; and when a run is given up after the last attempt.
TEST(request_machine, refuses_at_once_with_its_reason)
{
    using e = event_kind;
    const refusal cases[] = {
        {{e::reserve_refused},
         outcome::not_run,
         reply_code::budget_exhausted,
         true},
        {{e::reserved, e::suspect_free, e::no_target},
         outcome::not_run,
         reply_code::overloaded,
         true},
        {{e::reserved, e::suspect_elsewhere},
         outcome::not_run,
         reply_code::suspected,
         true},
        {{e::reserved, e::suspect_refused},
         outcome::unknown,
         reply_code::ran_and_failed,
         false},
        {{e::reserved, e::suspect_wait, e::waited, e::suspect_alone,
          e::target_chosen, e::refused, e::retry_denied},
         outcome::not_run,
         reply_code::target_refused,
         true},
        {{e::reserved, e::suspect_free, e::target_chosen, e::target_died,
          e::retry_denied},
         outcome::unknown,
         reply_code::target_lost,
         true},
        {{e::reserved, e::suspect_free, e::target_chosen, e::target_died,
          e::retry_granted, e::waited, e::suspect_free, e::no_target},
         outcome::unknown,
         reply_code::overloaded,
         true},
        {{e::reserved, e::suspect_free, e::target_chosen, e::chunk,
          e::target_died},
         outcome::unknown,
         reply_code::stream_cut,
         true},
    };
    for (const refusal& it : cases) {
        request_traits traits = traits_of(kind::streaming);
        traits.resumable = it.code != reply_code::stream_cut;
        request_machine machine(traits, {});
        random_source random(1);
        for (const event_kind event : it.events)
            CHECK_TRUE(
                machine
                    .on_event(
                        {.kind = event, .bytes = 2, .retry_after = seconds(3)},
                        random)
                    .has_value());
        const outcome_reply& reply = machine.end().reply;
        CHECK(reply.result == it.result);
        CHECK(reply.code == it.code);
        CHECK(reply.retry_useful == it.retry_useful);
        CHECK(reply.retry_after <= seconds(3));
        CHECK(!reply.retry_useful || reply.retry_after > duration(0));
    }
}

// A driver that mixes up its steps must not move a request, least of all
// to `not_run`.
TEST(request_machine, refuses_events_that_do_not_belong)
{
    for (int n = 0; n <= static_cast<int>(event_kind::shutdown); ++n) {
        const auto given = static_cast<event_kind>(n);
        const bool interrupts = given >= event_kind::caller_left;
        const bool fits = given == event_kind::reserved ||
                          given == event_kind::reserve_refused || interrupts;
        request_machine machine(traits_of(kind::once_unbound), {});
        random_source random(1);
        CHECK_EQUAL(fits, machine.on_event({given}, random).has_value());
        CHECK_EQUAL(!fits, machine.next().kind == action_kind::reserve);
    }
}

// A suspect whose turn never comes: its caller is told after the limit, not
// kept for good.
TEST(request_machine, a_suspect_waits_its_limit_at_most)
{
    machine_options options;
    request_machine machine(traits_of(kind::streaming), options);
    random_source random(1);
    machine.on_event({event_kind::reserved}, random);
    duration waited(0);
    while (machine.next().kind != action_kind::conclude) {
        machine.on_event(
            {.kind = event_kind::suspect_wait, .retry_after = milliseconds(20)},
            random);
        if (machine.next().kind == action_kind::pause)
            waited += machine.next().wait;
        machine.on_event({event_kind::waited}, random);
    }
    CHECK(waited <= options.suspect_wait_limit);
    CHECK(machine.end().reply.code == reply_code::suspected);
}

// A stream was cut and billed, and the caller sends the key again: the key
// owes the larger of the two bills, not their sum. A target that runs further
// than it was told is not billed beyond what was reserved.
TEST(request_machine, a_key_owes_its_largest_bill_within_the_reservation)
{
    struct bill_case
    {
        std::int64_t before;
        std::int64_t prompt;
        std::int64_t output;
        std::int64_t expected;
    };
    const bill_case cases[] = {{0, 10, 4, 14},
                               {12, 10, 4, 14},
                               {15, 10, 4, 15},
                               {0, 9, 4, 13},
                               {0, 10, 100, 16}};
    for (const bill_case& it : cases) {
        request_traits traits = traits_of(kind::streaming);
        traits.billed_before = tokens(it.before);
        request_machine machine(traits, {});
        random_source random(1);
        for (const event_kind step :
             {event_kind::reserved, event_kind::suspect_free,
              event_kind::target_chosen})
            machine.on_event({step}, random);
        machine.on_event({.kind = event_kind::completed,
                          .output = tokens(it.output),
                          .prompt = tokens(it.prompt)},
                         random);
        CHECK_EQUAL(it.expected, machine.end().charge.total.count());
    }
}
