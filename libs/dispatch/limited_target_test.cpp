// Checks what all nodes of a fleet together send to a target that announces a
// limit. Allowed in any 4 s: one and a half times the limit plus 5 requests,
// from nodes that have known the limit for half a second.

#include "sample_targets.hpp"

#include "fennelladder/base/random.hpp"
#include "fennelladder/dispatch/target_registry.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

const service_id llm("llm");
const target_id limited("i-1");
constexpr instant start = instant(seconds(100));

/// Nodes may need this long after the first answer with the limit.
constexpr double grace_s = 3;
constexpr double window_s = 4;

host_id host(std::size_t n)
{
    return host_id("host-" + std::to_string(n));
}

catalog::target_signals signals_of(std::optional<double> rate)
{
    return {.rate_limit = rate, .is_latest = true};
}

struct fleet_options
{
    std::size_t nodes = 8;
    double requests_per_second = 50;
    double rate = 1; ///< The announced limit.
};

/// A fleet with one target, which announces its limit in each answer from 0 s
/// until `ends_s`. Every quarter of a second each node receives the limit
/// signals that the others had a quarter of a second before.
class fleet
{
public:
    explicit fleet(fleet_options options) : options_(options)
    {
        for (std::size_t i = 0; i < options.nodes; ++i)
            hosts_.push_back(host(i));
        for (std::size_t i = 0; i < options.nodes; ++i)
            nodes_.push_back(make(i, hosts_));
    }

    double ends_s = 1e9;

    void run_until(double until_s, random_source& random)
    {
        while (now_ < until_s) {
            now_ += random.exponential(1 / options_.requests_per_second);
            exchange_signals();
            send(nodes_[random.below(nodes_.size())], random);
        }
    }

    /// The node restarts and knows these hosts.
    void restart(std::size_t n, std::vector<host_id> known)
    {
        nodes_[n] = make(n, std::move(known));
    }

    const std::vector<host_id>& hosts() const { return hosts_; }

    /// The most requests in any window, of those that count.
    int worst_window() const
    {
        int out = 0;
        for (const double from : counted_)
            if (from >= grace_s)
                out = std::max(out, sent(counted_, from));
        return out;
    }

    int allowed() const
    {
        return static_cast<int>(1.5 * options_.rate * window_s + 5);
    }

    /// All requests that the target got in the window from `from_s` on.
    int got(double from_s) const { return sent(all_, from_s); }

private:
    struct node
    {
        target_registry registry;
        double informed_s = 1e9; ///< First answer with the limit.
    };

    node make(std::size_t n, std::vector<host_id> known) const
    {
        target_registry_options options;
        options.self = host(n);
        node out{target_registry(options)};
        out.registry.sync({{limited, sample_engine(1, 24)}}, false, start);
        out.registry.set_assignable_hosts(std::move(known));
        return out;
    }

    instant at() const { return start + from_seconds(now_); }

    void exchange_signals()
    {
        if (now_ < next_exchange_s_)
            return;
        next_exchange_s_ = now_ + exchange_period_s;
        for (const auto& signals : signals_)
            for (node& it : nodes_)
                it.registry.merge_peer_limits(signals, signals_at_);
        signals_.clear();
        signals_at_ = at();
        for (const node& it : nodes_)
            signals_.push_back(it.registry.own_limits(at()));
    }

    void send(node& by, random_source& random)
    {
        routing_request request;
        request.service = llm;
        const auto made = by.registry.choose(request, at(), random);
        if (!made)
            return;
        by.registry.finished(by.registry.started(*made, request, at()),
                             target_evidence::answered, at());
        all_.push_back(now_);
        if (now_ >= by.informed_s + 0.5)
            counted_.push_back(now_);
        const bool announces = now_ < ends_s;
        by.registry.note_signals(
            {limited, {}},
            signals_of(announces ? std::optional(options_.rate) : std::nullopt),
            at());
        if (announces)
            by.informed_s = std::min(by.informed_s, now_);
    }

    static constexpr double exchange_period_s = 0.25;

    static int sent(const std::vector<double>& in, double from)
    {
        return static_cast<int>(std::ranges::lower_bound(in, from + window_s) -
                                std::ranges::lower_bound(in, from));
    }

    fleet_options options_;
    std::vector<host_id> hosts_;
    std::vector<node> nodes_;
    std::vector<std::vector<limit_signal>> signals_; ///< In flight.
    instant signals_at_;
    double next_exchange_s_ = 0;
    double now_ = 0;
    std::vector<double> all_;
    std::vector<double> counted_;
};

void check_limit(const fleet& all)
{
    CHECK_TEXT(all.worst_window() <= all.allowed(),
               (std::to_string(all.worst_window()) + " requests, " +
                std::to_string(all.allowed()) + " allowed")
                   .c_str());
}

} // namespace

TEST_GROUP(limited_target)
{
    random_source random{1};
};

// Guards against a fleet that ignores an announced limit.
TEST(limited_target, limit_holds_for_all_nodes_together)
{
    for (const std::size_t nodes : {1, 3, 8, 83, 340})
        for (const double rate : {0.0, 0.4, 1.0, 1.3, 7.5, 30.0}) {
            fleet all({.nodes = nodes, .rate = rate});
            all.run_until(40, random);
            check_limit(all);
        }
}

// Guards against keeping the limit by sending nothing.
TEST(limited_target, limit_is_used)
{
    for (const double rate : {1.0, 1.3, 7.5, 30.0}) {
        fleet all({.rate = rate});
        all.run_until(40, random);
        CHECK(all.got(20) >= rate * window_s / 2);
    }
}

// Nodes that restart in a partition know only half of the fleet. They must keep
// the limit, too.
TEST(limited_target, restarts_with_partial_views_keep_the_limit)
{
    for (const double rate : {1.0, 1.3, 7.5}) {
        fleet all({.rate = rate});
        const std::vector<host_id> half(all.hosts().begin(),
                                        all.hosts().begin() + 4);
        all.run_until(10, random);
        for (std::size_t n = 0; n < 8; n += 2)
            all.restart(n, half);
        all.run_until(40, random);
        check_limit(all);
    }
}

// A target whose limit has ended must get requests again.
TEST(limited_target, gets_full_load_once_the_limit_has_ended)
{
    fleet all({});
    all.ends_s = 20;
    all.run_until(30, random);
    CHECK(all.got(14) <= all.allowed());
    CHECK(all.got(24) >= 150);
}

// A limit signal that is older than the last one must not restore the limit.
TEST(limited_target, older_signal_is_ignored)
{
    target_registry registry({.self = host(0)});
    registry.sync({{limited, sample_engine(1, 24)}}, false, start);
    const auto note = [&](std::optional<double> rate, instant at) {
        return registry.note_signals({limited, {}}, signals_of(rate), at)
            .rate_limit;
    };
    CHECK(note(1.0, start));
    CHECK(note(std::nullopt, start + seconds(2)));
    const limit_signal late{limited, {}, 1.0, seconds(1)};
    CHECK(registry.merge_peer_limits({late}, start + seconds(2)).empty());
    UNSIGNED_LONGS_EQUAL(
        1, registry.merge_peer_limits({late}, start + seconds(4)).size());
}
