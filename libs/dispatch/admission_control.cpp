#include "fennelladder/dispatch/admission_control.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace fennelladder::dispatch {

namespace {

/// From this urgency on, all requests rank alike.
constexpr int least_urgent = 2;

/// The least that a team's full allowance holds, in requests: one to admit and
/// one to keep for urgent ones.
constexpr double min_allowance = 2;

/// Bounds by which one interval's backlog lowers the limit.
constexpr double max_step_down = 0.5;

/// Weight of the newest request in means over requests.
constexpr double newest_weight = 0.005;

/// Steps of the golden ratio divide an interval evenly, however many are taken.
constexpr double return_step = 0.381966;

/// Part of the time that a refused caller can wait over which returns spread;
/// the earlier part is left out, so that the flood comes back late.
constexpr double return_spread = 0.5;

/// A refused caller comes back once, and sends its request again.
constexpr double sends_per_refused_request = 2;

void move_mean(double& mean, double value)
{
    mean = mean == 0 ? value : mean + newest_weight * (value - mean);
}

double ratio(duration part, duration whole)
{
    return to_seconds(part) / to_seconds(whole);
}

/// The share at which teams that want `demands` use up `limit`, each getting
/// the share or its demand if that is less.
double max_min_share(std::vector<double> demands, double limit)
{
    std::ranges::sort(demands);
    double left = limit;
    auto teams = static_cast<double>(demands.size());
    for (const double it : demands) {
        if (it * teams >= left)
            break;
        left -= it;
        --teams;
    }
    return teams > 0 ? left / teams : limit;
}

} // namespace

std::string_view to_string(host_resource it)
{
    switch (it) {
    case host_resource::processor:
        return "processor";
    case host_resource::link_sent:
        return "link_sent";
    case host_resource::link_received:
        return "link_received";
    }
    return "";
}

admission_control::admission_control(admission_options options)
    : options_(options), busy_(options.averaging), served_(options.averaging),
      asked_(options.averaging), refused_(options.averaging),
      accepted_(options.averaging), sent_(options.averaging),
      received_(options.averaging)
{}

/// Failure it guards against: after a suspension, the time that passed counts
/// as one interval at no or at full load.
void admission_control::discard_after_gap(instant now)
{
    const bool gap = last_note_ && now - *last_note_ > options_.max_gap;
    last_note_ = now;
    if (!gap)
        return;
    limiting_ = false;
    busy_ = decaying_rate(options_.averaging);
    served_ = decaying_rate(options_.averaging);
    asked_ = decaying_rate(options_.averaging);
    refused_ = decaying_rate(options_.averaging);
    accepted_ = decaying_rate(options_.averaging);
    sent_ = link_direction(options_.averaging);
    received_ = link_direction(options_.averaging);
    link_noted_.reset();
    shortest_wait_ = duration::max();
    samples_ = 0;
    standing_ = duration(0);
    interval_worked_ = duration(0);
    interval_began_ = now;
    interval_busy_ = 0;
    if (first_request_)
        first_request_ = now;
}

void admission_control::note_busy(duration worked, instant now)
{
    discard_after_gap(now);
    busy_.add(to_seconds(worked), now);
    interval_worked_ += worked;
}

void admission_control::note_served(instant now, const served_bytes& bytes)
{
    served_.add(1, now);
    const auto note = [&](link_direction& it, std::uint64_t took) {
        if (took == 0)
            return;
        const auto all = static_cast<double>(took);
        it.served.add(all, now);
        move_mean(it.added,
                  std::max(all - static_cast<double>(bytes.stated), 0.0));
    };
    note(sent_, bytes.sent);
    note(received_, bytes.received);
}

void admission_control::note_link(double sent_share, double received_share,
                                  instant now)
{
    discard_after_gap(now);
    const double length = link_noted_ ? to_seconds(now - *link_noted_) : 0;
    link_noted_ = now;
    const auto note = [&](link_direction& it, double share) {
        const double used = std::max(share, 0.0) * length;
        it.used.add(used, now);
        it.interval_used += used;
    };
    note(sent_, sent_share);
    note(received_, received_share);
}

double admission_control::busy_share(instant now) const
{
    return std::min(busy_.at(now), 1.0);
}

void admission_control::note_backlog(duration waited, instant now)
{
    discard_after_gap(now);
    shortest_wait_ = std::min(shortest_wait_, waited);
    ++samples_;
    if (now - interval_began_ >= options_.interval &&
        samples_ >= options_.min_samples)
        end_interval(now);
}

void admission_control::end_interval(instant now)
{
    standing_ = shortest_wait_;
    shortest_wait_ = duration::max();
    samples_ = 0;
    const duration length = now - interval_began_;
    interval_busy_ = ratio(interval_worked_, length);
    interval_worked_ = duration(0);
    for (link_direction* it : {&sent_, &received_}) {
        it->interval_share = it->interval_used / to_seconds(length);
        it->interval_used = 0;
    }
    interval_began_ = now;
    if (!limiting_ && may_begin(now)) {
        limiting_ = true;
        last_refusal_ = now;
        for (auto& [team, it] : teams_)
            it.credited = now;
    }
    if (limiting_ && standing_ <= options_.max_backlog && !link_is_full() &&
        now - last_refusal_ >= options_.release)
        limiting_ = false;
    forget_idle_teams(now);
    if (limiting_)
        update_limit(now);
}

bool admission_control::processor_is_full() const
{
    return standing_ > options_.min_backlog &&
           interval_busy_ >= options_.begin_busy;
}

bool admission_control::link_is_full() const
{
    return std::max(sent_.interval_share, received_.interval_share) >=
           options_.begin_link;
}

bool admission_control::may_begin(instant now) const
{
    return (processor_is_full() || link_is_full()) && first_request_ &&
           now - *first_request_ >= options_.warm_up;
}

/// Requests of the mean cost a second at the share aimed at.
double admission_control::limit_by(const link_direction& it, instant now) const
{
    const double mean = mean_stated_ + it.added;
    const double share = it.used.at(now);
    if (mean <= 0 || share < options_.min_busy)
        return std::numeric_limits<double>::max();
    return it.served.at(now) / mean * options_.max_link / share;
}

void admission_control::update_limit(instant now)
{
    const double busy = std::max(busy_share(now), options_.min_busy);
    limit_ = served_.at(now) * options_.max_busy / busy;
    busiest_ = host_resource::processor;
    double most_used = busy / options_.max_busy;
    const auto consider = [&](const link_direction& it, host_resource name) {
        const double used = it.used.at(now) / options_.max_link;
        if (used <= most_used)
            return;
        most_used = used;
        limit_ = limit_by(it, now);
        busiest_ = name;
    };
    consider(sent_, host_resource::link_sent);
    consider(received_, host_resource::link_received);
    if (standing_ > options_.max_backlog)
        limit_ *=
            std::max(ratio(options_.max_backlog, standing_), max_step_down);
    limit_ = std::max(limit_, options_.min_limit);
    update_share(now);
}

std::optional<double>
admission_control::max_accepts_per_second(instant now) const
{
    if (!limiting_)
        return std::nullopt;
    double refusal_cost = options_.refusal_cost;
    if (busiest_ == host_resource::link_received && mean_stated_ > 0)
        refusal_cost = sends_per_refused_request * mean_stated_ /
                       (mean_stated_ + received_.added);
    const double all = limit_ * (1 + options_.max_refusal_share / refusal_cost);
    // Returns come on kept connections, and count with their refusals.
    const double returns = refused_.at(now) / sends_per_refused_request;
    const double kept =
        std::max(asked_.at(now) - accepted_.at(now) - returns, 0.0);
    return std::max(
        {all - kept, limit_ * options_.min_accept_share, options_.min_accepts});
}

void admission_control::update_share(instant now)
{
    std::vector<double> demands;
    demands.reserve(teams_.size());
    for (const auto& [team, it] : teams_)
        demands.push_back(it.demand.at(now));
    share_ = max_min_share(std::move(demands), limit_);
}

void admission_control::forget_idle_teams(instant now)
{
    std::erase_if(teams_, [&](const auto& it) {
        return now - it.second.last_request > 2 * options_.averaging;
    });
}

admission_control::team_account&
admission_control::account_of(const team_id& team, instant now)
{
    // Teams beyond the bound share one account.
    const bool full = teams_.size() >= options_.max_teams;
    const team_id key = full && !teams_.contains(team) ? team_id() : team;
    const auto [it, added] = teams_.try_emplace(key, options_.averaging);
    if (added) {
        it->second.credited = now;
        it->second.allowance = full_allowance();
    }
    return it->second;
}

const admission_control::link_direction&
admission_control::busiest_direction() const
{
    return busiest_ == host_resource::link_sent ? sent_ : received_;
}

/// In requests of the mean cost.
double admission_control::cost_of(std::uint64_t bytes) const
{
    const double added = busiest_direction().added;
    if (!limiting_ || busiest_ == host_resource::processor || bytes == 0 ||
        mean_stated_ <= 0)
        return 1;
    return (static_cast<double>(bytes) + added) / (mean_stated_ + added);
}

double admission_control::full_allowance() const
{
    return std::max(share_ * to_seconds(options_.burst), min_allowance);
}

/// Allowance that admits such a request. A full one admits any, so that large
/// requests of little urgency are admitted in the end.
double admission_control::needed_for(int urgency, double cost) const
{
    const double rank =
        static_cast<double>(std::clamp(urgency, 0, least_urgent)) /
        least_urgent;
    double kept = rank * options_.urgent_reserve;
    if (cost > options_.large_size)
        kept += options_.small_reserve;
    return std::min(cost + kept * full_allowance(), full_allowance());
}

/// Whether a team that asks for less than its share is admitted without an
/// allowance. Failure it guards against: where shares are a few requests a
/// second, two that come together are refused.
bool admission_control::may_take_ahead(const team_account& it, double cost,
                                       instant now) const
{
    const double most = std::max(share_ * to_seconds(options_.max_advance),
                                 min_allowance + cost);
    return it.demand.at(now) <= share_ && it.allowance - cost >= -most;
}

void admission_control::credit(team_account& it, instant now) const
{
    it.allowance =
        std::min(it.allowance + share_ * to_seconds(now - it.credited),
                 full_allowance());
    it.credited = now;
}

/// Spreads returns evenly over the later part of the time that callers have:
/// what comes back sooner meets the same load.
duration admission_control::next_return(duration longest)
{
    return_phase_ = std::fmod(return_phase_ + return_step, 1.0);
    const double part = 1 - return_spread * (1 - return_phase_);
    return std::max(from_seconds(to_seconds(longest) * part),
                    options_.min_retry_after);
}

admission admission_control::admit(const team_id& team, int urgency,
                                   duration max_retry_after, instant now,
                                   std::uint64_t bytes)
{
    if (!first_request_)
        first_request_ = now;
    if (bytes > 0)
        move_mean(mean_stated_, static_cast<double>(bytes));
    const double cost = cost_of(bytes);
    team_account& it = account_of(team, now);
    it.demand.add(cost, now);
    asked_.add(1, now);
    it.last_request = now;
    if (!limiting_)
        return {};
    credit(it, now);
    if (it.allowance >= needed_for(urgency, cost) ||
        may_take_ahead(it, cost, now)) {
        it.allowance -= cost;
        return {};
    }
    last_refusal_ = now;
    refused_.add(1, now);
    ++refusals_;
    return {false, next_return(max_retry_after)};
}

} // namespace fennelladder::dispatch
