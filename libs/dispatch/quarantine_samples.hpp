// Marks, places and deaths for tests of the quarantine.

#ifndef FENNELLADDER_DISPATCH_QUARANTINE_SAMPLES_HPP
#define FENNELLADDER_DISPATCH_QUARANTINE_SAMPLES_HPP

#include "fennelladder/dispatch/quarantine.hpp"

#include <string>

namespace fennelladder::dispatch {

inline constexpr instant start = instant(seconds(1000));
inline const crash_mark bad = crash_mark::of_part(0xbad);
inline const crash_mark other = crash_mark::of_part(0x07);
inline const crash_mark first = crash_mark::of_part(0xa1);
inline const run_place v1 =
    place_of(service_id("s"), catalog::software_version("v1"));
inline const run_place v2 =
    place_of(service_id("s"), catalog::software_version("v2"));

inline instant at(double s)
{
    return start + from_seconds(s);
}

/// The death of target `id` at `s`, of a request that ran there for 0.1 s.
inline crash_death<instant> death(const std::string& id, double s,
                                  bool leased = false, run_place place = v1)
{
    return {{target_id(id), catalog::target_start(1)},
            place,
            at(s),
            milliseconds(100),
            leased};
}

inline suspicion level_of(const quarantine& table, const crash_mark& mark,
                          double s, run_place place = v1)
{
    return table.assess(mark, {}, place, at(s)).level;
}

} // namespace fennelladder::dispatch

#endif
