#include "fennelladder/mesh/answer_budget.hpp"

#include "fennelladder/mesh/configuration_parts.hpp"

#include <algorithm>

namespace fennelladder::mesh {

namespace {

/// The rest is for callers.
constexpr double link_share = 0.1;
constexpr double bits_per_byte = 8;

/// One whole answer.
constexpr double burst_bytes = max_parts_per_answer * max_packet_bytes;

} // namespace

answer_budget::answer_budget(double link_bits_per_second)
    : bytes_per_second_(link_bits_per_second / bits_per_byte * link_share),
      left_(burst_bytes)
{}

bool answer_budget::take(std::size_t bytes, instant now)
{
    const duration elapsed = std::max(now - filled_.value_or(now), duration(0));
    filled_ = std::max(now, filled_.value_or(now));
    left_ =
        std::min(left_ + to_seconds(elapsed) * bytes_per_second_, burst_bytes);
    const auto wanted = static_cast<double>(bytes);
    if (wanted > left_)
        return false;
    left_ -= wanted;
    return true;
}

} // namespace fennelladder::mesh
