#include "fennelladder/mesh/update_lateness.hpp"

#include "fennelladder/base/part_of.hpp"

#include <algorithm>

namespace fennelladder::mesh {

namespace {

/// Messages are compared over this long: every peer of a small fleet sends
/// twice in it, and a large one's send some ten.
constexpr duration window_length = milliseconds(500);

/// Of the bound. What is older is too old to send a request by: the request
/// waits on the same link, and the target hears of it later still.
constexpr double usable_part = 0.75;

/// Of the bound. A shorter way is no link that is full.
constexpr double least_delay_part = 0.25;

} // namespace

void update_lateness::note(duration delay, instant now)
{
    if (now - now_.began >= window_length) {
        before_ = now_;
        now_ = {now, std::nullopt};
    }
    now_.least = std::min(now_.least.value_or(delay), delay);
}

/// What was seen last holds for as long as the bound: on a link that is full
/// some messages are lost.
std::optional<duration> update_lateness::delay(instant now) const
{
    std::optional<duration> out;
    for (const window& it : {before_, now_})
        if (it.least && now - it.began < bound_)
            out = std::min(out.value_or(*it.least), *it.least);
    return out;
}

std::optional<duration> update_lateness::max_delay(instant now) const
{
    std::optional<duration> out;
    for (const window& it : {before_, now_})
        if (it.least && now - it.began < bound_)
            out = std::max(out.value_or(*it.least), *it.least);
    return out;
}

bool update_lateness::is_overdue(std::optional<duration> age) const
{
    return age && *age > part_of(bound_, usable_part);
}

bool update_lateness::is_late(std::optional<duration> age, instant now) const
{
    const auto way = delay(now);
    if (!age || !way || *way < part_of(bound_, least_delay_part))
        return false;
    const duration limit = part_of(bound_, usable_part);
    return *age > limit && *age - *way <= limit;
}

} // namespace fennelladder::mesh
