#include "fennelladder/manifest/objectives.hpp"

namespace fennelladder::manifest {

namespace {

telemetry::latency_measure measure_of(measure it)
{
    switch (it) {
    case measure::first_byte:
        return telemetry::latency_measure::first_byte;
    case measure::inter_token:
        return telemetry::latency_measure::inter_token;
    case measure::total:
        break;
    }
    return telemetry::latency_measure::total;
}

} // namespace

std::vector<telemetry::service_level_objective>
service_levels_of(const std::vector<objective>& objectives)
{
    std::vector<telemetry::service_level_objective> made;
    made.reserve(objectives.size());
    for (const objective& it : objectives)
        made.push_back({it.id.str(), it.kind, measure_of(it.measures),
                        it.latency, it.target.value(), it.window});
    return made;
}

} // namespace fennelladder::manifest
