#include "fennelladder/base/time.hpp"

#include <ctime>

namespace fennelladder {

std::string milliseconds_text(duration length)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

namespace {

/// Time since the host started, with the time that it was suspended.
duration since_boot()
{
    timespec it{};
    // Fails only for a clock that the kernel doesn't have.
    (void)::clock_gettime(CLOCK_BOOTTIME, &it);
    return std::chrono::seconds(it.tv_sec) +
           std::chrono::nanoseconds(it.tv_nsec);
}

} // namespace

system_clock::system_clock()
    : started_(since_boot()),
      offset_(std::chrono::system_clock::now().time_since_epoch())
{}

instant system_clock::now() const
{
    return instant(offset_ + (since_boot() - started_));
}

} // namespace fennelladder
