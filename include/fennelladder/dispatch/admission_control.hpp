// Decides which requests a host accepts when its callers want more than its
// processor can do.
//
//     admission_control control;
//     control.note_busy(worked, now);       // by the event loop
//     control.note_backlog(waited, now);    // by a probe, every few tens of ms
//     auto it = control.admit(team, urgency, longest, now);
//     if (!it.admitted) ... refuse, Retry-After: it.retry_after
//     control.note_served(now);             // of each whole answer
//
// Measured are the share of time in which the event loop had work, and the
// standing backlog: how long a handler that is ready waits for its turn, as the
// least over an interval. One stall says nothing; a wait that doesn't go away
// shows more work than processor.
//
// Until the loop always has work and a standing backlog with it, all requests
// are admitted. From then on the host admits as many requests a second as it
// was able to answer at full load: the rate of whole answers divided by the
// share of time at work, less a reserve. All work counts that way, that of
// other tasks and of requests that were given up too, and streams by their
// whole life. A backlog that stays lowers the limit further. Limiting ends when
// for a while nothing had to be refused.
//
// Teams share the limit max-min fair: a team that asks for less than its share
// gets all it asks for, and the others share the rest evenly. Part of each
// team's allowance is kept for its urgent requests.
//
// Memory: bounded by max_teams. Pure computation. Not thread safe.

#ifndef FENNELLADDER_DISPATCH_ADMISSION_CONTROL_HPP
#define FENNELLADDER_DISPATCH_ADMISSION_CONTROL_HPP

#include "fennelladder/base/decaying_rate.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace fennelladder::dispatch {

struct admission_options
{
    /// Interval over which the least wait counts as standing, and after which
    /// the limit is computed anew.
    duration interval = milliseconds(250);
    /// Limiting begins if the loop has had work for this share of an interval,
    /// and a handler has always waited longer than min_backlog.
    double begin_busy = 0.95;
    duration min_backlog = milliseconds(5);
    /// A longer standing backlog lowers the limit.
    duration max_backlog = milliseconds(20);
    double max_busy = 0.95; ///< Aim while load is limited.
    double min_busy = 0.05; ///< A smaller share at work is taken for this.
    /// Time constant of the rates and of the share of time at work: about the
    /// life of a stream, since its work comes over its life.
    duration averaging = seconds(2);
    /// Waits measured in an interval, at least: a stall is one of them.
    int min_samples = 4;
    /// After its first request a host has to start up and to serve so long
    /// before it can tell what it is able to do.
    duration warm_up = seconds(2);
    /// Limiting ends after so long without a refusal.
    duration release = seconds(2);
    /// A team may save its share of so long for a burst.
    duration burst = milliseconds(500);
    /// Part of a full allowance that the least urgent requests leave.
    double urgent_reserve = 0.5;
    duration min_retry_after = milliseconds(300);
    double min_limit = 2; ///< Requests per second; below it, nothing is learnt.
    std::size_t max_teams = 1024;
};

/// Whether a request is admitted; if not, when its caller may come back.
struct admission
{
    bool admitted = true;
    duration retry_after{0};
};

/// Not thread safe.
class admission_control
{
public:
    explicit admission_control(admission_options options = {});

    /// The event loop worked for `worked` since the last call, wall time.
    void note_busy(duration worked, instant now);

    /// A handler that was ready waited so long for its turn.
    void note_backlog(duration waited, instant now);

    /// A caller got a whole answer. What callers gave up doesn't count: a host
    /// whose callers leave can do less than it accepts.
    void note_served(instant now);

    /// Decides about a request that was read now. `urgency` is 0 for the most
    /// urgent. `max_retry_after` is the longest that its caller can wait.
    admission admit(const team_id& team, int urgency, duration max_retry_after,
                    instant now);

    bool is_limiting() const { return limiting_; }

    /// Requests admitted per second, while is_limiting().
    double limit() const { return limit_; }

    duration standing_backlog() const { return standing_; }

    /// Share of time in which the event loop worked, of late.
    double busy_share(instant now) const;

    std::uint64_t refusals() const { return refusals_; }

    /// Teams remembered; those beyond the bound count as one.
    std::size_t teams() const { return teams_.size(); }

private:
    struct team_account
    {
        explicit team_account(duration averaging) : demand(averaging) {}

        decaying_rate demand; ///< Requests that came.
        double allowance = 0; ///< Requests that may be admitted now.
        instant credited;     ///< Allowance is credited up to here.
        instant last_request;
        instant last_return; ///< When the last one refused may come back.
    };

    void end_interval(instant now);
    void update_limit(instant now);
    bool may_begin(instant now) const;
    void update_share(instant now);
    void forget_idle_teams(instant now);
    team_account& account_of(const team_id& team, instant now);
    double full_allowance() const;
    double kept_for_urgent(int urgency) const;
    void credit(team_account& it, instant now) const;
    duration next_return(team_account& it, duration longest, instant now) const;

    const admission_options options_;
    decaying_rate busy_;
    decaying_rate served_;
    duration shortest_wait_ = duration::max(); ///< In this interval.
    int samples_ = 0;                          ///< Likewise.
    duration standing_{0};                     ///< Of the last interval.
    duration interval_worked_{0};              ///< Likewise.
    instant interval_began_;
    double interval_busy_ = 0; ///< Share of time at work, last interval.
    std::optional<instant> first_request_;
    bool limiting_ = false;
    instant last_refusal_;
    double limit_ = 0;
    double share_ = 0; ///< Requests per second of a team that wants more.
    std::uint64_t refusals_ = 0;
    std::unordered_map<team_id, team_account> teams_;
};

} // namespace fennelladder::dispatch

#endif
