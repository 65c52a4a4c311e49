// Several nodes, one journal, targets that may run what they got long after
// the node that sent it has gone: the rules of this library together, with a
// recorded history that the checker judges.

#include "fennelladder/history/checker.hpp"
#include "fennelladder/history/recorder.hpp"
#include "fennelladder/request/origin.hpp"
#include "fennelladder/request/request_table.hpp"
#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::request;

namespace {

constexpr std::size_t node_count = 3;
constexpr int key_count = 4; // 0, 1: not idempotent; 0, 2: bound to a node
const team_id team("team");

bool is_idempotent(int key)
{
    return key >= 2;
}

bool is_bound(int key)
{
    return key % 2 == 0;
}

class protocol
{
public:
    protocol()
    {
        history_ = std::move(history::recorder::open({}).value());
        for (std::size_t n = 0; n < node_count; ++n)
            start_node(n);
        for (int key = 0; key < key_count; ++key)
            origins_.push_back({nodes_[0].name, now_});
    }

    // The caller sends `key` to a node, which may forward it.
    void send(int key, std::size_t at)
    {
        now_ += milliseconds(1);
        const std::string id = "r" + std::to_string(++requests_);
        record(nodes_[at].name.str(),
               history::sent{request_id(id), team, budget_id("b"), name_of(key),
                             caller_kind("k"), is_idempotent(key),
                             caller_id("c")});
        receive(key, at, request_id(id));
    }

    // One flow of one node makes a step; `luck` decides what comes of it.
    void step(std::size_t n, int luck)
    {
        if (flows_.empty())
            return;
        now_ += milliseconds(1);
        n %= flows_.size();
        flow& it = flows_[n];
        const auto given = react(it, luck);
        CHECK_TRUE(it.machine.on_event(given, random_).has_value());
        if (it.machine.next().kind == action_kind::conclude) {
            conclude(it);
            flows_.erase(flows_.begin() + static_cast<std::ptrdiff_t>(n));
        }
    }

    // A target runs something it was sent, maybe long ago.
    void run_late(std::size_t n)
    {
        if (under_way_.empty())
            return;
        n %= under_way_.size();
        execute(under_way_[n]);
        under_way_.erase(under_way_.begin() + static_cast<std::ptrdiff_t>(n));
    }

    void kill_node(std::size_t n)
    {
        now_ += milliseconds(1);
        record(nodes_[n].name.str(), history::died{});
        std::erase_if(flows_, [&](const flow& it) { return it.node == n; });
        start_node(n);
    }

    void cut(std::size_t n) { nodes_[n].reachable = !nodes_[n].reachable; }

    void break_store() { store_works_ = !store_works_; }

    void pass_time(int minutes_passed)
    {
        now_ += minutes(minutes_passed);
        for (const node& it : nodes_)
            it.table->expire(now_);
    }

    history::history_report judge()
    {
        history::checker check({});
        for (const std::string& line : history_->lines())
            check.add_line(line);
        return check.finish();
    }

private:
    struct node
    {
        incarnation_id name;
        std::unique_ptr<request_table> table;
        bool reachable = true; // by other nodes, not by callers
    };

    struct flow
    {
        int key;
        std::size_t node;
        request_id id;
        request_machine machine;
    };

    struct dispatch
    {
        int key;
        target_id target;
        std::uint64_t attempt;
    };

    struct journal_entry
    {
        incarnation_id holder;
        std::optional<outcome_reply> reply;
    };

    static request_key name_of(int key)
    {
        return request_key("team/" + std::to_string(key));
    }

    void record(const std::string& who, history::event_body body)
    {
        history_->record(now_, history::node_id(who), std::move(body));
    }

    void start_node(std::size_t n)
    {
        node made;
        made.name = incarnation_id("n" + std::to_string(n) + '.' +
                                   std::to_string(++lives_));
        made.table = std::make_unique<request_table>(
            request_table_options{.shards = 1, .retention = minutes(10)});
        if (nodes_.size() <= n)
            nodes_.resize(n + 1);
        nodes_[n] = std::move(made);
    }

    void receive(int key, std::size_t at, const request_id& id)
    {
        origin_facts facts;
        facts.self = nodes_[at].name;
        facts.idempotent = is_idempotent(key);
        std::size_t origin = node_count;
        if (is_bound(key)) {
            facts.origin = origins_.at(static_cast<std::size_t>(key));
            for (std::size_t n = 0; n < node_count; ++n) {
                if (nodes_[n].name == facts.origin->node)
                    origin = n;
            }
            facts.origin_reachable =
                origin < node_count && nodes_[origin].reachable;
        }
        switch (origin_rule(facts)) {
        case origin_verdict::forward:
            return receive(key, origin, id);
        case origin_verdict::look_up:
            return tell(key, at, id, look_up(key).result);
        default:
            admit(key, at, id, facts.origin ? origin == at : false);
        }
    }

    outcome_reply look_up(int key)
    {
        std::optional<outcome_reply> known;
        if (store_works_ && journal_.contains(key))
            known = journal_[key].reply;
        return journal_reply(name_of(key), {}, known, seconds(1));
    }

    void admit(int key, std::size_t at, const request_id& id, bool bound_here)
    {
        arrival it{team, name_of(key), "body", is_idempotent(key)};
        if (is_bound(key)) {
            it.binding = bound_here ? key_binding::bound_here
                                    : key_binding::bound_elsewhere;
            it.issued = origins_.at(static_cast<std::size_t>(key)).issued;
        }
        const auto got = nodes_[at].table->admit(it, now_);
        switch (got.verdict) {
        case admit_verdict::run: {
            request_traits traits;
            traits.key = it.key;
            traits.self = nodes_[at].name;
            traits.idempotent = it.idempotent;
            traits.claim_first = got.claim_first;
            traits.first_arrival = got.first_arrival;
            traits.max_output = tokens(5);
            flows_.push_back({key, at, id, request_machine(traits, {})});
            return;
        }
        case admit_verdict::reply:
            return tell(key, at, id, got.reply.result);
        default:
            // Joins and replays get the text of the one run; their part is
            // tested with the table.
            return tell(key, at, id, outcome::unknown);
        }
    }

    void tell(int key, std::size_t at, const request_id& id, outcome what)
    {
        // The checker goes by requests; of a key that must not run twice no
        // other request may have run either.
        if (what == outcome::not_run && !is_idempotent(key))
            RC_ASSERT(!ran_or_sent_[key]);
        if (what == outcome::not_run)
            record(nodes_[at].name.str(), history::not_run{id});
        else
            record(nodes_[at].name.str(), history::unknown{id});
    }

    request::event react(flow& it, int luck)
    {
        const action todo = it.machine.next();
        switch (todo.kind) {
        case action_kind::reserve:
            return {luck == 0 ? event_kind::reserve_refused
                              : event_kind::reserved};
        case action_kind::claim:
            return claim(it, luck);
        case action_kind::check_suspect:
            return {event_kind::suspect_free};
        case action_kind::choose_target:
            if (luck == 0)
                return {event_kind::no_target};
            return {.kind = event_kind::target_chosen,
                    .target = target_id("t" + std::to_string(luck))};
        case action_kind::dispatch:
            return send_to_target(it, luck);
        case action_kind::ask_retry:
            return {event_kind::retry_granted};
        default:
            return {event_kind::waited};
        }
    }

    request::event claim(const flow& it, int luck)
    {
        if (!store_works_)
            return {event_kind::claim_failed};
        const auto found = journal_.find(it.key);
        const incarnation_id& self = nodes_[it.node].name;
        const bool free =
            found == journal_.end() ||
            (!found->second.reply && found->second.holder == self);
        if (!free) {
            request::event lost{event_kind::claim_lost};
            if (found->second.reply)
                lost.known = found->second.reply->result;
            return lost;
        }
        journal_[it.key].holder = self;
        // The write took effect, but its answer may be lost.
        return {luck == 0 ? event_kind::claim_failed : event_kind::claimed};
    }

    request::event send_to_target(const flow& it, int luck)
    {
        if (luck == 0)
            return {event_kind::not_sent};
        const action& todo = it.machine.next();
        record(nodes_[it.node].name.str(),
               history::dispatched{it.id, name_of(it.key), todo.target,
                                   attempt_of(it)});
        if (luck == 1)
            return {event_kind::refused};
        const dispatch sent{it.key, todo.target, attempt_of(it)};
        ran_or_sent_[it.key] = true;
        if (luck == 2) { // swallowed for now; it may run at any time
            under_way_.push_back(sent);
            return {event_kind::connection_lost};
        }
        execute(sent);
        if (luck == 3)
            return {event_kind::target_died};
        return {event_kind::completed};
    }

    // Unique per key, as targets want it.
    std::uint64_t attempt_of(const flow& it) const
    {
        return std::stoull(it.id.str().substr(1)) * 10 +
               static_cast<std::uint64_t>(it.machine.next().attempt);
    }

    void execute(const dispatch& it)
    {
        now_ += milliseconds(1);
        record(it.target.str(),
               history::executed{name_of(it.key), it.target, it.attempt});
    }

    void conclude(const flow& it)
    {
        const conclusion& end = it.machine.end();
        node& here = nodes_[it.node];
        here.table->finish(team, name_of(it.key), end, now_);
        if (end.reply.result == outcome::answered)
            record(here.name.str(),
                   history::answered{it.id, caller_id("c"), 0, "d"});
        else
            tell(it.key, it.node, it.id, end.reply.result);
        if (!store_works_)
            return;
        if (end.record) {
            journal_[it.key] = {here.name, end.reply};
            here.table->mark_durable(team, name_of(it.key));
        }
        const auto claimed = journal_.find(it.key);
        if (end.release_claim && claimed != journal_.end() &&
            claimed->second.holder == here.name && !claimed->second.reply)
            journal_.erase(claimed);
    }

    std::unique_ptr<history::recorder> history_;
    std::vector<node> nodes_;
    std::vector<flow> flows_;
    std::vector<dispatch> under_way_;
    std::vector<origin_token> origins_;
    std::map<int, journal_entry> journal_;
    std::map<int, bool> ran_or_sent_;
    random_source random_{1};
    instant now_ = from_nanoseconds(3'600'000'000'000);
    int requests_ = 0;
    int lives_ = 0;
    bool store_works_ = true;
};

} // namespace

TEST_GROUP(node_protocol){};

// A loaner return is sent to one node after the other while nodes die, are
// cut off from each other or stand still between two steps, the store is down
// or loses its answers, and targets run things late. It must be entered once,
// and whoever is told "not run" must be able to rely on it.
TEST(node_protocol, runs_once_and_says_not_run_truly)
{
    testing::check_property(
        {.name = "nodes", .seed = 51, .cases = 1000, .max_size = 200}, [] {
            protocol it;
            it.send(0, 0); // an empty history proves nothing
            const auto steps =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
            for (const int what : steps) {
                const auto n = *rc::gen::inRange<std::size_t>(0, node_count);
                const int key = *rc::gen::inRange(0, key_count);
                if (what < 8)
                    it.send(key, n);
                else if (what < 32)
                    it.step(n, *rc::gen::inRange(0, 6));
                else if (what < 34)
                    it.run_late(n);
                else if (what == 34)
                    it.kill_node(n);
                else if (what == 35)
                    it.cut(n);
                else if (what == 36)
                    it.break_store();
                else if (what == 37)
                    it.pass_time(key * 4);
            }
            const auto report = it.judge();
            RC_ASSERT(report.bad.empty());
            for (const auto rule :
                 {history::rule::at_most_once, history::rule::not_run_is_true})
                RC_ASSERT(report.broken[static_cast<std::size_t>(rule)] == 0U);
        });
}
