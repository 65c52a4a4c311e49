#include "fennelladder/mesh/update_lateness.hpp"

#include "fennelladder/base/part_of.hpp"

#include <algorithm>

namespace fennelladder::mesh {

namespace {

/// Length of a window. Within it, every peer of a small fleet sends twice, and
/// the peers of a large fleet send some ten messages in all.
constexpr duration window_length = milliseconds(500);

/// Fraction of the bound. Older data is too old to route a request by: the
/// request is queued on the same link and reaches the target even later.
constexpr double max_age_fraction = 0.75;

/// Fraction of the bound. A shorter transit delay doesn't indicate a saturated
/// link.
constexpr double min_delay_fraction = 0.25;

} // namespace

void update_lateness::note(duration delay, instant now)
{
    if (now - current_.start >= window_length) {
        previous_ = current_;
        current_ = {now, std::nullopt};
    }
    current_.least = std::min(current_.least.value_or(delay), delay);
}

/// Samples stay valid for the length of the bound, since a saturated link loses
/// some messages.
std::optional<duration> update_lateness::delay(instant now) const
{
    std::optional<duration> out;
    for (const window& it : {previous_, current_})
        if (it.least && now - it.start < bound_)
            out = std::min(out.value_or(*it.least), *it.least);
    return out;
}

std::optional<duration> update_lateness::max_delay(instant now) const
{
    std::optional<duration> out;
    for (const window& it : {previous_, current_})
        if (it.least && now - it.start < bound_)
            out = std::max(out.value_or(*it.least), *it.least);
    return out;
}

bool update_lateness::is_overdue(std::optional<duration> age) const
{
    return age && *age > part_of(bound_, max_age_fraction);
}

bool update_lateness::is_late(std::optional<duration> age, instant now) const
{
    const auto transit = delay(now);
    if (!age || !transit || *transit < part_of(bound_, min_delay_fraction))
        return false;
    const duration limit = part_of(bound_, max_age_fraction);
    return *age > limit && *age - *transit <= limit;
}

} // namespace fennelladder::mesh
