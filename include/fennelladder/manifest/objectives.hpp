// The manifest's service-level objectives as telemetry takes them.
//
//     meter.set_objectives(service_levels_of(config->objectives()));

#ifndef FENNELLADDER_MANIFEST_OBJECTIVES_HPP
#define FENNELLADDER_MANIFEST_OBJECTIVES_HPP

#include "fennelladder/manifest/document.hpp"
#include "fennelladder/telemetry/service_level.hpp"

#include <vector>

namespace fennelladder::manifest {

/// One for each objective, in the same order. Thread safe.
std::vector<telemetry::service_level_objective>
service_levels_of(const std::vector<objective>& objectives);

} // namespace fennelladder::manifest

#endif
