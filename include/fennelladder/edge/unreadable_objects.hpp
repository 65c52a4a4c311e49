// Counts objects, entries and messages that couldn't be parsed, and logs each
// once per cause.
//
//     tables.unreadable.note(unreadable_kind::target, object.name,
//                            object.changed, entry.error());
//
// An entry that another program writes in a different format is read again with
// every listing and changes with each of its heartbeats. Without deduplication,
// it would fill the log with identical lines.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_UNREADABLE_OBJECTS_HPP
#define FENNELLADDER_EDGE_UNREADABLE_OBJECTS_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/telemetry/metrics.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace fennelladder::edge {

enum class unreadable_kind : std::uint8_t
{
    configuration, ///< The last valid one stays in force.
    target,        ///< Treated as removed.
    evacuation,    ///< Without a name, so it applies to no data centre.
    node,          ///< Its address isn't used.
    allotment,     ///< The last valid record is kept; none is written.
    answer, ///< A complete response of the platform; the call is retried.
    message ///< A message of another node, or a part of one.
};

class unreadable_objects
{
public:
    explicit unreadable_objects(telemetry::metrics& metrics);

    /// Counts the object and logs it if the cause is new. `name` is the name of
    /// the object or the sender of the message. `changed` is the revision of
    /// the object, or 0 if unknown.
    void note(unreadable_kind kind, const std::string& name,
              catalog::revision changed, const error& cause);

    /// Number of calls of note() for this kind.
    std::uint64_t count(unreadable_kind kind) const;

private:
    telemetry::counter& counter_of(unreadable_kind kind) const;
    bool is_new_cause(unreadable_kind kind, const std::string& name,
                      const std::string& cause);

    telemetry::metrics& metrics_;
    /// Hash of the last logged cause, by kind and name.
    std::map<std::pair<unreadable_kind, std::string>, std::uint64_t> logged_;
};

} // namespace fennelladder::edge

#endif
