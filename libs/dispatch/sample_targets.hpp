// Sample target entries for tests.

#ifndef FENNELLADDER_DISPATCH_SAMPLE_TARGETS_HPP
#define FENNELLADDER_DISPATCH_SAMPLE_TARGETS_HPP

#include "fennelladder/catalog/target_entry.hpp"

#include <string>

namespace fennelladder::dispatch {

/// Engine number `n` of service "llm".
inline catalog::target_entry sample_engine(int n, std::uint32_t slots)
{
    catalog::target_entry out;
    out.id = target_id("i-" + std::to_string(n));
    out.service = service_id("llm");
    out.address = "10.0.0." + std::to_string(n) + ":80";
    out.slots = slots;
    return out;
}

} // namespace fennelladder::dispatch

#endif
