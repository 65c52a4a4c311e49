#include "fennelladder/prepaid/outage_tracker.hpp"

#include <algorithm>

namespace fennelladder::prepaid {

void outage_tracker::note(bool reached, instant now)
{
    if (!reached) {
        began_ = began_.value_or(now);
        return;
    }
    if (began_ && now - *began_ >= options_.min_length)
        past_outages_.push_back({*began_, now});
    began_.reset();
    std::erase_if(past_outages_, [&](const outage& it) {
        return now - it.ended > options_.retention;
    });
}

duration outage_tracker::longest(instant now) const
{
    duration out(0);
    if (began_ && now - *began_ >= options_.min_length)
        out = now - *began_;
    for (const outage& it : past_outages_)
        if (now - it.ended <= options_.retention)
            out = std::max(out, it.ended - it.began);
    return out;
}

} // namespace fennelladder::prepaid
