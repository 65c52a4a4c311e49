// Decides which requests a host accepts when its callers want more than its
// processor or its link can do.
//
//     admission_control control;
//     control.note_busy(worked, now);            // by the event loop
//     control.note_backlog(waited, now);         // by a probe
//     control.note_link(sent, received, now);    // shares in use
//     auto it = control.admit(team, urgency, longest, now, bytes);
//     if (!it.admitted) ... refuse, Retry-After: it.retry_after
//     control.note_served(now, {bytes, received, sent});  // whole answers
//     control.max_accepts_per_second()           // bound on new connections
//
// Measured are the share of time in which the event loop had work, the standing
// backlog (how long a handler that is ready waits for its turn, as the least
// over an interval: a single stall doesn't raise it), and the utilisation of
// the link in each direction.
//
// Until the loop always has work and a standing backlog with it, or a direction
// of the link is full, all requests are admitted. From then on the limit
// follows the busiest resource: whole answers a second divided by the
// resource's share in use, times the share aimed at. All work counts that way,
// that of refusals and of requests that were given up too. A backlog that stays
// lowers the limit further. Limiting ends when for a while nothing had to be
// refused.
//
// A request costs one unit if the processor is the busiest, and its expected
// bytes over those of the mean request if the link is: the bytes that it
// states, and what served requests were seen to add.
//
// Teams share the limit max-min fair: a team that asks for less than its share
// gets all it asks for, and the others share the rest evenly. Part of the
// allowance of a team that asks for more is kept for urgent requests, and part
// for requests of at most twice the mean size.
//
// Refusals cost as well, and the bytes of what is refused fill the incoming
// link. Only connections that aren't accepted cost nothing, so new connections
// are bounded to those that are served and a few more, which may take a fixed
// share of the busiest resource.
//
// A gap without any measurement (the process was suspended) discards what was
// measured: all requests are admitted until an interval shows overload again.
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
#include <string_view>
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
    /// The same for a direction of the link. Limiting also begins if its share
    /// in use is at least begin_link over an interval.
    double max_link = 0.9;
    double begin_link = 0.95;
    /// After so long without a measurement all of them are discarded.
    duration max_gap = seconds(2);
    /// Processor time of a refusal and of its return, relative to that of a
    /// request served. Estimated, see docs/notes/overload-of-a-host.md.
    double refusal_cost = 0.15;
    /// Share of the busiest resource that refusals may take before fewer
    /// connections are accepted. A larger one lets the host choose urgent
    /// requests and small teams among more that come on new connections; it
    /// then serves fewer in all.
    double max_refusal_share = 0.02;
    /// Connections that are accepted in any case: a second, and relative to
    /// the limit.
    double min_accepts = 8;
    double min_accept_share = 0.25;
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
    /// The same for requests of more than large_size times the mean cost.
    double small_reserve = 0.25;
    double large_size = 2;
    /// A team that asks for less than its share may take its allowance of this
    /// time ahead: few requests a second don't come evenly.
    duration max_advance = seconds(2);
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

/// Bytes that a served request took on the link, with its answer.
struct served_bytes
{
    std::uint64_t stated = 0; ///< As given to admit().
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

/// What the limit follows.
enum class host_resource
{
    processor,
    link_sent,
    link_received
};

std::string_view to_string(host_resource it);

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
    void note_served(instant now, const served_bytes& bytes = {});

    /// Utilisation of the link since the last call, in each direction: 0 to 1,
    /// and above if more is queued than it carries. To be called a few times in
    /// each interval; without calls the link isn't taken into account.
    void note_link(double sent_share, double received_share, instant now);

    /// A new connection was accepted.
    void note_accepted(instant now) { accepted_.add(1, now); }

    /// Connections wait that weren't accepted for max_accepts_per_second().
    void note_not_accepted(instant now) { last_refusal_ = now; }

    /// Decides about a request whose head was read now. `urgency` is 0 for the
    /// most urgent. `max_retry_after` is the longest that its caller can wait;
    /// `bytes` are those of head and body as stated, 0 if unknown.
    admission admit(const team_id& team, int urgency, duration max_retry_after,
                    instant now, std::uint64_t bytes = 0);

    bool is_limiting() const { return limiting_; }

    /// Requests of the mean cost admitted per second, while is_limiting().
    double limit() const { return limit_; }

    /// The resource that the limit follows, while is_limiting().
    host_resource busiest() const { return busiest_; }

    /// New connections to accept per second; unset: no bound. What comes on
    /// connections that are kept leaves fewer for new ones.
    std::optional<double> max_accepts_per_second(instant now) const;

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

        decaying_rate demand; ///< Cost of the requests that came.
        double allowance = 0; ///< Cost that may be admitted now.
        instant credited;     ///< Allowance is credited up to here.
        instant last_request;
    };

    /// One direction of the link.
    struct link_direction
    {
        explicit link_direction(duration averaging)
            : used(averaging), served(averaging)
        {}

        decaying_rate used;        ///< Seconds in use.
        decaying_rate served;      ///< Bytes of requests that were served.
        double added = 0;          ///< Mean bytes beyond those stated.
        double interval_used = 0;  ///< Seconds in use, this interval.
        double interval_share = 0; ///< Of the last interval.
    };

    void discard_after_gap(instant now);
    void end_interval(instant now);
    void update_limit(instant now);
    bool may_begin(instant now) const;
    bool processor_is_full() const;
    bool link_is_full() const;
    double limit_by(const link_direction& it, instant now) const;
    void update_share(instant now);
    void forget_idle_teams(instant now);
    team_account& account_of(const team_id& team, instant now);
    const link_direction& busiest_direction() const;
    double cost_of(std::uint64_t bytes) const;
    double full_allowance() const;
    double needed_for(int urgency, double cost) const;
    bool may_take_ahead(const team_account& it, double cost, instant now) const;
    void credit(team_account& it, instant now) const;
    duration next_return(duration longest);

    admission_options options_;
    decaying_rate busy_;
    decaying_rate served_;
    decaying_rate asked_;
    decaying_rate refused_;
    decaying_rate accepted_; ///< Connections.
    link_direction sent_;
    link_direction received_;
    std::optional<instant> link_noted_;
    std::optional<instant> last_note_;
    double mean_stated_ = 0; ///< Bytes stated, of the requests that came.
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
    host_resource busiest_ = host_resource::processor;
    double share_ = 0; ///< Cost per second of a team that wants more.
    double return_phase_ = 0;
    std::uint64_t refusals_ = 0;
    std::unordered_map<team_id, team_account> teams_;
};

} // namespace fennelladder::dispatch

#endif
