#include "fennelladder/base/time.hpp"

#include <ctime>

namespace fennelladder {

std::string milliseconds_text(duration length)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

namespace {

/// Time since the machine booted, including the time that it was suspended.
duration since_boot()
{
    timespec it{};
    // Fails only if the kernel doesn't support this clock.
    (void)::clock_gettime(CLOCK_BOOTTIME, &it);
    return std::chrono::seconds(it.tv_sec) +
           std::chrono::nanoseconds(it.tv_nsec);
}

} // namespace

system_clock::system_clock()
    : boot_time_at_start_(since_boot()),
      wall_time_at_start_(std::chrono::system_clock::now().time_since_epoch())
{}

instant system_clock::now() const
{
    return instant(wall_time_at_start_ + (since_boot() - boot_time_at_start_));
}

} // namespace fennelladder
