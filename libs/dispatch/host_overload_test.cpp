// A model in virtual time of one host whose callers want more than it can do.
// Its processor runs one handler after the other, in the order in which they
// became ready. Callers leave when they have waited too long, and come back
// once after a refusal. Other hosts of the fleet cost it their heartbeats.

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/random.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/dispatch/admission_control.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

/// Share of the throughput at capacity that must be left under overload, and
/// share of the requests of a team below its fair share that must be served.
constexpr double required_share = 0.9;
constexpr double max_refusal_ms = 50;

constexpr double cores = 0.12;

// Processor time of one handler, in milliseconds of a whole core.
constexpr double accept_ms = 0.05;
constexpr double step_ms = 0.05;
constexpr double refusal_ms = 0.03;
constexpr double close_ms = 0.02;
constexpr double heartbeat_ms = 0.1;
constexpr double probe_ms = 0.002;

/// Handlers of a request besides accept and reading, and of a stream's events.
constexpr int request_steps = 22;
constexpr int stream_steps = 12;
constexpr int stream_events = 20;
constexpr double stream_share = 0.5;

// Times in seconds.
constexpr double hop_s = 0.002;    ///< A dial, or a round trip to a target.
constexpr double target_s = 0.03;  ///< Until a target answers.
constexpr double event_gap = 0.04; ///< Between two events of a stream.
constexpr double heartbeat_gap = 1.2;
constexpr double probe_gap = 0.05;
constexpr double request_time = 1.5; ///< That callers have, in all.
constexpr double stream_time = 10;
constexpr double longest_unread = 1;   ///< Callers leave if not read by then.
constexpr double time_share = 1.0 / 3; ///< They wait unread, or to come back.
constexpr double stream_patience = 2;
constexpr double begin_s = 10; ///< Counted from here, when all has settled.
constexpr double end_s = 40;

constexpr int small_teams = 3;
constexpr double small_share = 0.1; ///< Of the capacity, each.
const team_id flood("flood");

struct tally
{
    int asked = 0;
    int served = 0;
    int refused = 0;
    int left = 0;
};

struct request
{
    team_id team;
    bool streams = false;
    int urgency = 0;
    double first_sent = 0;
    double sent = 0;
    bool returns = false;
    bool counted = false;

    double end() const
    {
        return first_sent + (streams ? stream_time : request_time);
    }

    double patience() const
    {
        return std::min(longest_unread, (end() - sent) * time_share);
    }
};

class host_model
{
public:
    host_model(int hosts, std::uint64_t seed) : random_(seed)
    {
        if (hosts > 1)
            repeat(heartbeat_gap / (hosts - 1), heartbeat_ms);
        probe(0);
    }

    void add_team(const team_id& team, double per_second)
    {
        if (per_second > 0)
            arrive(team, per_second, random_.exponential(1 / per_second));
    }

    void run()
    {
        while (!ready_.empty() && ready_.top().at < end_s) {
            const job it = ready_.top();
            ready_.pop();
            const double start = std::max(it.at, free_at_);
            const double busy = it.work(start) / 1000 / cores;
            free_at_ = start + busy;
            note_busy(busy, free_at_);
        }
    }

    const tally& of(const team_id& team) { return tallies_[team.str()]; }

    double served_per_second() const
    {
        int sum = 0;
        for (const auto& [team, it] : tallies_)
            sum += it.served;
        return sum / (end_s - begin_s);
    }

    double slowest_refusal_ms() const { return slowest_refusal_ms_; }

private:
    /// Runs at `start`; returns its processor time in milliseconds of a core.
    using handler = std::function<double(double start)>;

    struct job
    {
        double at = 0; ///< Ready to run.
        std::uint64_t number = 0;
        handler work;

        bool operator<(const job& other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    static double after(double start, double cost_ms)
    {
        return start + cost_ms / 1000 / cores;
    }

    void at(double when, handler work)
    {
        ready_.push({when, ++number_, std::move(work)});
    }

    void repeat(double gap, double cost)
    {
        at(next_heartbeat_ += gap, [=, this](double) {
            repeat(gap, cost);
            return cost;
        });
    }

    void probe(double when)
    {
        at(when, [=, this](double start) {
            note_backlog(start - when, start);
            probe(std::max(when + probe_gap, start));
            return probe_ms;
        });
    }

    void arrive(const team_id& team, double per_second, double when)
    {
        request it;
        it.team = team;
        it.streams = random_.chance(stream_share);
        it.urgency = static_cast<int>(random_.below(3));
        it.first_sent = it.sent = when;
        it.counted = when >= begin_s;
        read(it);
        at(when, [=, this](double) {
            arrive(team, per_second,
                   when + random_.exponential(1 / per_second));
            return 0.0;
        });
    }

    tally& count(const request& it)
    {
        static tally unused;
        return it.counted ? tallies_[it.team.str()] : unused;
    }

    void read(const request& it)
    {
        if (!it.returns)
            ++count(it).asked;
        at(it.sent, [=, this](double start) {
            const double accept = it.returns ? 0 : accept_ms;
            if (start - it.sent > it.patience()) {
                ++count(it).left;
                return accept + close_ms;
            }
            const double cost = accept + step_ms;
            const double wait = (it.end() - start) * time_share;
            const double later = refused_for(it, wait, start);
            if (later > 0)
                refuse(it, std::min(later, wait), after(start, cost));
            else
                step(it, 0, after(start, cost));
            return cost;
        });
    }

    void refuse(const request& it, double later, double when)
    {
        at(when, [=, this](double start) {
            const double done = after(start, refusal_ms);
            slowest_refusal_ms_ =
                std::max(slowest_refusal_ms_, (done - when) * 1000);
            if (it.returns) {
                ++count(it).refused;
                return refusal_ms;
            }
            request again = it;
            again.returns = true;
            again.sent = done + later;
            read(again);
            return refusal_ms;
        });
    }

    void step(const request& it, int done, double when)
    {
        const int steps = it.streams ? stream_steps : request_steps;
        at(when, [=, this](double start) {
            const bool gone = start > it.end() ||
                              (it.streams && start - it.sent > stream_patience);
            if (gone) {
                ++count(it).left;
                return close_ms;
            }
            const double ended = after(start, step_ms);
            if (done + 1 < steps)
                step(it, done + 1,
                     ended + (done == steps / 2 ? target_s : hop_s));
            else if (it.streams)
                event(it, 0, start, ended + event_gap);
            else
                finish(it, ended);
            return step_ms;
        });
    }

    void event(const request& it, int done, double last, double when)
    {
        at(when, [=, this](double start) {
            if (start > it.end() || start - last > stream_patience) {
                ++count(it).left;
                return close_ms;
            }
            const double ended = after(start, step_ms);
            if (done + 1 < stream_events)
                event(it, done + 1, start, std::max(when + event_gap, ended));
            else
                finish(it, ended);
            return step_ms;
        });
    }

    void finish(const request& it, double when)
    {
        const bool in_time = when <= it.end();
        ++(in_time ? count(it).served : count(it).left);
        if (in_time)
            note_served(when);
    }

    static instant instant_at(double when)
    {
        return instant(seconds(100)) + from_seconds(when);
    }

    void note_busy(double busy, double now)
    {
        control_.note_busy(from_seconds(busy), instant_at(now));
    }

    void note_backlog(double waited, double now)
    {
        control_.note_backlog(from_seconds(waited), instant_at(now));
    }

    void note_served(double now) { control_.note_served(instant_at(now)); }

    /// Seconds after which the caller shall come back; 0: admitted.
    double refused_for(const request& it, double longest, double now)
    {
        const admission got = control_.admit(
            it.team, it.urgency, from_seconds(longest), instant_at(now));
        return got.admitted ? 0 : to_seconds(got.retry_after);
    }

    admission_control control_;
    random_source random_;
    std::priority_queue<job> ready_;
    std::uint64_t number_ = 0;
    double free_at_ = 0;
    double next_heartbeat_ = 0;
    double slowest_refusal_ms_ = 0;
    std::map<std::string, tally> tallies_;
};

team_id small(int number)
{
    return team_id("small-" + std::to_string(number));
}

/// Requests a second that the processor could serve if it did nothing else
/// besides its heartbeats.
double nominal_capacity(int hosts)
{
    const double mean_steps = stream_share * (stream_steps + stream_events) +
                              (1 - stream_share) * request_steps;
    const double heartbeats = (hosts - 1) / heartbeat_gap * heartbeat_ms;
    return (cores * 1000 - heartbeats) /
           (accept_ms + (1 + mean_steps) * step_ms);
}

host_model play(int hosts, double flood_multiple)
{
    const double capacity = nominal_capacity(hosts);
    host_model out(hosts, 1);
    out.add_team(flood, flood_multiple * capacity);
    for (int i = 0; i < small_teams; ++i)
        out.add_team(small(i), small_share * capacity);
    out.run();
    return out;
}

/// The most that the host serves at a load up to its capacity.
double served_at_capacity(int hosts)
{
    constexpr double small_load = small_teams * small_share;
    double out = 0;
    for (const double load : {0.8, 0.9, 1.0})
        out = std::max(out, play(hosts, load - small_load).served_per_second());
    return out;
}

void check_overload(int hosts, double flood_multiple)
{
    host_model it = play(hosts, flood_multiple);
    const double capacity = served_at_capacity(hosts);
    const std::string what =
        std::to_string(hosts) + " hosts, " + std::to_string(flood_multiple) +
        " times capacity: served " + std::to_string(it.served_per_second()) +
        " a second of " + std::to_string(capacity) + ", slowest refusal " +
        std::to_string(it.slowest_refusal_ms()) + " ms";
    CHECK_TEXT(it.served_per_second() >= required_share * capacity,
               what.c_str());
    CHECK_TEXT(it.slowest_refusal_ms() <= max_refusal_ms, what.c_str());
    for (int i = 0; i < small_teams; ++i) {
        const tally& one = it.of(small(i));
        const std::string team = what + "; " + small(i).str() + " served " +
                                 std::to_string(one.served) + " of " +
                                 std::to_string(one.asked) + ", refused " +
                                 std::to_string(one.refused) + ", left " +
                                 std::to_string(one.left);
        CHECK_TEXT(one.served >= required_share * one.asked, team.c_str());
    }
}

void check_all_overloads(int hosts)
{
    for (const double multiple : {1.0, 2.0, 5.0, 10.0})
        check_overload(hosts, multiple);
}

} // namespace

TEST_GROUP(host_overload){};

// Failure: callers beyond capacity slow each other down until all leave.
TEST(host_overload, serves_at_one_host)
{
    check_all_overloads(1);
}

// Failure: the same in a fleet of a few hosts.
TEST(host_overload, serves_at_8_hosts)
{
    check_all_overloads(8);
}

// Failure: the same where heartbeats take a part of the processor.
TEST(host_overload, serves_at_60_hosts)
{
    check_all_overloads(60);
}

// Failure: the same where heartbeats take a quarter of the processor.
TEST(host_overload, serves_at_340_hosts)
{
    check_all_overloads(340);
}
