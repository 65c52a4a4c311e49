#include "fennelladder/dispatch/run_leases.hpp"

#include <algorithm>
#include <vector>

namespace fennelladder::dispatch {

namespace {

/// Up to this many leases aren't searched for expired ones.
constexpr std::size_t kept_without_check = 256;

} // namespace

lease_reply run_leases::ask(const lease_holder& holder,
                            std::span<const crash_mark> marks, run_place place,
                            const quarantine& table, instant now)
{
    lease_reply out;
    std::vector<std::pair<crash_mark, bool>> needed;
    for (const crash_mark& it : marks) {
        const assessment got = table.assess(it, marks, place, now);
        if (got.level == suspicion::clear && table.is_proven(it, place, now))
            continue;
        const bool is_trial = got.level == suspicion::condemned;
        if (is_trial && now < got.next_run)
            out.retry_after = std::max(out.retry_after, got.next_run - now);
        needed.emplace_back(it, is_trial);
        const auto known = leases_.find(it);
        if (known == leases_.end() || known->second.holder == holder)
            continue;
        const lease& other = known->second;
        if (now < other.ends)
            out.retry_after = std::max(out.retry_after, options_.busy_retry);
        const instant next_trial = other.granted + options_.trial_interval;
        if (is_trial && other.is_trial && now < next_trial)
            out.retry_after = std::max(out.retry_after, next_trial - now);
    }
    out.granted = out.retry_after <= duration(0);
    if (!out.granted)
        return out;
    for (const auto& [mark, is_trial] : needed) {
        lease& it = leases_[mark];
        const bool again = it.holder == holder && now < it.ends;
        if (!again)
            it = {holder, now, now + options_.lifetime, is_trial};
    }
    evict(now);
    return out;
}

void run_leases::end(const lease_holder& holder, duration hold, instant now)
{
    for (auto row = leases_.begin(); row != leases_.end();) {
        lease& it = row->second;
        if (it.holder == holder)
            it.ends = std::min(it.ends, now + hold);
        const bool over = it.holder == holder && it.ends <= now;
        row = over && !it.is_trial ? leases_.erase(row) : std::next(row);
    }
}

void run_leases::evict(instant now)
{
    if (leases_.size() <= kept_without_check)
        return;
    std::erase_if(leases_, [&](const auto& it) {
        return it.second.ends <= now &&
               now - it.second.granted >= options_.trial_interval;
    });
    // Still full: which of them goes makes little difference.
    while (leases_.size() > options_.max_leases)
        leases_.erase(leases_.begin());
}

} // namespace fennelladder::dispatch
