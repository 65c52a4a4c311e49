// Compares the retries of all nodes of a fleet with the operator's limit in
// every window, while nodes die and restart and callers move between them.

#include "fennelladder/base/random.hpp"
#include "fennelladder/dispatch/retry_budget.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

const service_id llm("llm");
constexpr instant start = instant(seconds(100));

/// Time until a restarted node knows the others.
constexpr double discovery_s = 1;

struct fleet_options
{
    std::size_t nodes = 8;
    double requests_per_second = 92;
    retry_budget_options retries{
        .share = 0.2, .slack = 56, .window = seconds(10)};
};

/// Nodes that send all the retries they may while targets fail.
class fleet
{
public:
    explicit fleet(fleet_options options) : options_(options)
    {
        nodes_.assign(options_.nodes, {options_.retries});
    }

    /// Requests come to the nodes in proportion to `weights`.
    void run_until(double until_s, const std::vector<double>& weights,
                   bool targets_fail, random_source& random)
    {
        while (now_ < until_s) {
            now_ += random.exponential(1 / options_.requests_per_second);
            update_known_hosts();
            node& it = pick(weights, random);
            it.retries.count_request(llm, at());
            requests_.push_back(now_);
            if (targets_fail)
                send_retries();
        }
    }

    /// The node's process ends and a new one starts.
    void restart(std::size_t n) { nodes_[n] = {options_.retries, now_}; }

    /// The node counts `hosts` hosts from now on, once it knows the others.
    void set_known_hosts(std::size_t n, std::size_t hosts)
    {
        nodes_[n].known = hosts;
    }

    /// By how many retries the worst window exceeds the limit; at most 0 if the
    /// limit holds. The limit is based on the requests of the window, of the
    /// one before, or of the one half a window before, whichever are most.
    double worst_excess() const
    {
        double out = -1e9;
        for (const double from : retries_)
            out = std::max(out, count(retries_, from) - allowed_from(from));
        return out;
    }

    /// Share of the limit used by the window from `from_s` on.
    double used_share(double from_s) const
    {
        return count(retries_, from_s) / allowed_from(from_s);
    }

private:
    struct node
    {
        retry_budget retries;
        double started = -1e9;
        std::size_t known = 0; ///< Hosts that it counts; 0: all.

        node(retry_budget_options options, double at = -1e9)
            : retries(options), started(at)
        {}
    };

    instant at() const { return start + from_seconds(now_); }

    node& pick(const std::vector<double>& weights, random_source& random)
    {
        double total = 0;
        for (const double it : weights)
            total += it;
        double draw = random.unit() * total;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            draw -= weights[i];
            if (draw < 0)
                return nodes_[i];
        }
        return nodes_.back();
    }

    void update_known_hosts()
    {
        for (node& it : nodes_) {
            const bool knows_others = now_ - it.started >= discovery_s;
            const std::size_t known = it.known ? it.known : nodes_.size();
            it.retries.set_hosts(knows_others ? known : 0, at());
        }
    }

    void send_retries()
    {
        for (node& it : nodes_)
            while (it.retries.take_retry(llm, at()))
                retries_.push_back(now_);
    }

    double allowed_from(double from) const
    {
        const double window = to_seconds(options_.retries.window);
        const double most =
            std::max({count(requests_, from), count(requests_, from - window),
                      count(requests_, from - window / 2)});
        return options_.retries.share * most + options_.retries.slack;
    }

    double count(const std::vector<double>& in, double from) const
    {
        const double window = to_seconds(options_.retries.window);
        return static_cast<double>(std::ranges::lower_bound(in, from + window) -
                                   std::ranges::lower_bound(in, from));
    }

    fleet_options options_;
    std::vector<node> nodes_;
    double now_ = 0;
    std::vector<double> requests_;
    std::vector<double> retries_;
};

void check_limit(const fleet& all, const std::string& label = "")
{
    const int excess = static_cast<int>(all.worst_excess());
    CHECK_TEXT(excess <= 0,
               (label + std::to_string(excess) + " too many").c_str());
}

const std::vector<double> everywhere(8, 1);
const std::vector<double> first_half{1, 1, 1, 1, 0, 0, 0, 0};
const std::vector<double> second_half{0, 0, 0, 0, 1, 1, 1, 1};

} // namespace

TEST_GROUP(retry_fleet)
{
    random_source random{1};
    fleet all{{}};
};

// Requests must not earn retries twice: at the node that died and at the nodes
// that its callers use afterwards.
TEST(retry_fleet, callers_of_dead_nodes_earn_no_second_budget)
{
    all.run_until(20, everywhere, false, random);
    all.run_until(21, everywhere, true, random);
    all.run_until(40, first_half, true, random);
    check_limit(all);
}

// A restarted process must not spend again what the previous one has spent in
// the same window.
TEST(retry_fleet, restart_earns_no_second_budget)
{
    all.run_until(20, everywhere, false, random);
    all.run_until(21, everywhere, true, random);
    for (std::size_t i = 0; i < 8; ++i)
        all.restart(i);
    all.run_until(40, everywhere, true, random);
    check_limit(all);
}

// Most nodes restart twice while targets reject requests and the retry budget
// is being spent.
TEST(retry_fleet, restarts_during_retries_keep_the_limit)
{
    all.run_until(20, everywhere, false, random);
    for (const double at_s : {24.0, 27.0}) {
        all.run_until(at_s, everywhere, true, random);
        for (std::size_t i = 0; i < 7; ++i)
            all.restart(i);
    }
    all.run_until(45, everywhere, true, random);
    check_limit(all);
}

// Nodes that have just started and know no others must not each take the slack
// of the whole fleet.
TEST(retry_fleet, nodes_without_known_hosts_take_no_slack)
{
    all.run_until(20, everywhere, false, random);
    for (std::size_t i = 0; i < 5; ++i)
        all.restart(i);
    all.run_until(40, everywhere, true, random);
    check_limit(all);
}

// Callers move between nodes while targets fail, as the entry answers that they
// follow may cause.
TEST(retry_fleet, moving_callers_earn_no_second_budget)
{
    all.run_until(20, first_half, false, random);
    all.run_until(20.5, first_half, true, random);
    all.run_until(40, second_half, true, random);
    check_limit(all);
}

// Nodes restart in one half of a partitioned fleet and know only that half,
// while the others still count all hosts.
TEST(retry_fleet, restarts_in_a_partition_keep_the_limit)
{
    all.run_until(20, everywhere, false, random);
    for (std::size_t i = 0; i < 4; ++i) {
        all.restart(i);
        all.set_known_hosts(i, 4);
    }
    all.run_until(60, everywhere, true, random);
    check_limit(all);
}

// Nodes join, and half of the fleet doesn't learn of them.
TEST(retry_fleet, unnoticed_joins_keep_the_limit)
{
    for (std::size_t i = 0; i < 4; ++i)
        all.set_known_hosts(i, 5);
    all.run_until(60, everywhere, true, random);
    check_limit(all);
}

// Random sequences of restarts, moves of callers and failures.
TEST(retry_fleet, random_events_keep_the_limit)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        random_source draw(seed);
        fleet one({});
        double until = 0;
        while (until < 60) {
            until += 0.2 + draw.unit() * 5;
            std::vector<double> weights(8);
            for (double& it : weights)
                it = 0.01 + (draw.unit() < 0.5 ? draw.unit() : 0);
            one.run_until(until, weights, draw.unit() < 0.5, draw);
            for (std::size_t i = 0; i < 8; ++i)
                if (draw.unit() < 0.3)
                    one.restart(i);
        }
        check_limit(one, "seed " + std::to_string(seed) + ": ");
    }
}

// Guards against keeping the limit by sending almost no retries.
TEST(retry_fleet, most_of_the_limit_is_used_without_deaths)
{
    all.run_until(20, everywhere, false, random);
    all.run_until(40, everywhere, true, random);
    check_limit(all);
    CHECK(all.used_share(20) > 0.75);
}
