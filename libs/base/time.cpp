#include "fennelladder/base/time.hpp"

namespace fennelladder {

std::string milliseconds_text(duration length)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

system_clock::system_clock()
    : started_(std::chrono::steady_clock::now()),
      offset_(std::chrono::system_clock::now().time_since_epoch())
{}

instant system_clock::now() const
{
    return instant(offset_ + (std::chrono::steady_clock::now() - started_));
}

} // namespace fennelladder
