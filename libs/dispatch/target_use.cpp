#include "fennelladder/dispatch/target_use.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fennelladder::dispatch {

target_use::target_use(choice made, std::shared_ptr<running_work> counted)
    : made_(std::move(made)), counted_(std::move(counted))
{
    if (!counted_)
        return;
    ++counted_->requests;
    counted_->max_tokens += made_.work.max_tokens;
    count_waiting(1);
}

void target_use::count_waiting(int sign)
{
    running_work& it = *counted_;
    const auto reading = sign * static_cast<std::int64_t>(made_.work.reading);
    const auto level = static_cast<std::size_t>(
        std::clamp<int>(made_.work.urgency, 0, urgency_levels - 1));
    it.awaiting_first_byte += sign;
    it.reading += reading;
    it.reading_by_urgency[level] += reading;
    it.waiting_by_urgency[level] += sign;
}

bool target_use::end_waiting()
{
    const bool waited = std::exchange(waits_, false);
    if (waited && counted_)
        count_waiting(-1);
    return waited;
}

void target_use::end()
{
    if (!counted_)
        return;
    (void)end_waiting();
    assert(counted_->requests > 0);
    --counted_->requests;
    counted_->max_tokens -= made_.work.max_tokens;
    counted_.reset();
}

} // namespace fennelladder::dispatch
