#include "fennelladder/prepaid/outage_memory.hpp"

#include <algorithm>

namespace fennelladder::prepaid {

void outage_memory::note(bool reached, instant now)
{
    if (!reached) {
        began_ = began_.value_or(now);
        return;
    }
    if (began_ && now - *began_ >= options_.least)
        past_.push_back({*began_, now});
    began_.reset();
    std::erase_if(past_, [&](const outage& it) {
        return now - it.ended > options_.memory;
    });
}

duration outage_memory::longest(instant now) const
{
    duration out(0);
    if (began_ && now - *began_ >= options_.least)
        out = now - *began_;
    for (const outage& it : past_)
        if (now - it.ended <= options_.memory)
            out = std::max(out, it.ended - it.began);
    return out;
}

} // namespace fennelladder::prepaid
