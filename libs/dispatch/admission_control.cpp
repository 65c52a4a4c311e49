#include "fennelladder/dispatch/admission_control.hpp"

#include <algorithm>
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

admission_control::admission_control(admission_options options)
    : options_(options), busy_(options.averaging), served_(options.averaging)
{}

void admission_control::note_busy(duration worked, instant now)
{
    busy_.add(to_seconds(worked), now);
    interval_worked_ += worked;
}

void admission_control::note_served(instant now)
{
    served_.add(1, now);
}

double admission_control::busy_share(instant now) const
{
    return std::min(busy_.at(now), 1.0);
}

void admission_control::note_backlog(duration waited, instant now)
{
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
    interval_busy_ = ratio(interval_worked_, now - interval_began_);
    interval_worked_ = duration(0);
    interval_began_ = now;
    if (!limiting_ && may_begin(now)) {
        limiting_ = true;
        last_refusal_ = now;
        for (auto& [team, it] : teams_)
            it.credited = now;
    }
    if (limiting_ && standing_ <= options_.max_backlog &&
        now - last_refusal_ >= options_.release)
        limiting_ = false;
    forget_idle_teams(now);
    if (limiting_)
        update_limit(now);
}

bool admission_control::may_begin(instant now) const
{
    return standing_ > options_.min_backlog &&
           interval_busy_ >= options_.begin_busy && first_request_ &&
           now - *first_request_ >= options_.warm_up;
}

void admission_control::update_limit(instant now)
{
    const double busy = std::max(busy_share(now), options_.min_busy);
    limit_ = served_.at(now) * options_.max_busy / busy;
    if (standing_ > options_.max_backlog)
        limit_ *=
            std::max(ratio(options_.max_backlog, standing_), max_step_down);
    limit_ = std::max(limit_, options_.min_limit);
    update_share(now);
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

double admission_control::full_allowance() const
{
    return std::max(share_ * to_seconds(options_.burst), min_allowance);
}

double admission_control::kept_for_urgent(int urgency) const
{
    const double rank =
        static_cast<double>(std::clamp(urgency, 0, least_urgent)) /
        least_urgent;
    return rank * options_.urgent_reserve * full_allowance();
}

void admission_control::credit(team_account& it, instant now) const
{
    it.allowance =
        std::min(it.allowance + share_ * to_seconds(now - it.credited),
                 full_allowance());
    it.credited = now;
}

/// Spreads those who come back at the rate at which the team is admitted.
duration admission_control::next_return(team_account& it, duration longest,
                                        instant now) const
{
    const instant soonest = now + options_.min_retry_after;
    it.last_return =
        std::max(soonest, it.last_return + from_seconds(1 / share_));
    if (it.last_return > now + longest)
        it.last_return = std::max(soonest, now);
    return std::min(it.last_return - now,
                    std::max(longest, options_.min_retry_after));
}

admission admission_control::admit(const team_id& team, int urgency,
                                   duration max_retry_after, instant now)
{
    if (!first_request_)
        first_request_ = now;
    team_account& it = account_of(team, now);
    it.demand.add(1, now);
    it.last_request = now;
    if (!limiting_)
        return {};
    credit(it, now);
    if (it.allowance >= 1 + kept_for_urgent(urgency)) {
        it.allowance -= 1;
        return {};
    }
    last_refusal_ = now;
    ++refusals_;
    return {false, next_return(it, max_retry_after, now)};
}

} // namespace fennelladder::dispatch
