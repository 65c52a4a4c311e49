// Objects, entries and messages that couldn't be read: counted each time, and
// logged once each and cause.
//
//     tables.unreadable.note(unreadable_kind::target, object.name,
//                            object.changed, entry.error());
//
// An entry that another program writes in a format of its own is read again
// with each listing and changes with each of its heartbeats. Without a memory
// it would fill the log with one and the same line.
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
    configuration, ///< The last good one stays in force.
    target,        ///< Counts as gone.
    evacuation,    ///< Has no name, so says nothing of any data centre.
    node,          ///< Its address isn't used.
    allotment,     ///< The last good record stays; none is written.
    answer,        ///< A whole answer of the platform; it is asked again.
    message        ///< Of another node, or a part of it.
};

class unreadable_objects
{
public:
    explicit unreadable_objects(telemetry::metrics& metrics);

    /// `name` says which object it was, or who sent the message. `changed` is
    /// 0 if it isn't known.
    void note(unreadable_kind kind, const std::string& name,
              catalog::revision changed, const error& cause);

    std::uint64_t count(unreadable_kind kind) const;

private:
    telemetry::counter& counter_of(unreadable_kind kind) const;
    bool is_news(unreadable_kind kind, const std::string& name,
                 const std::string& cause);

    telemetry::metrics& metrics_;
    /// Hash of the cause that was logged last, by kind and name.
    std::map<std::pair<unreadable_kind, std::string>, std::uint64_t> logged_;
};

} // namespace fennelladder::edge

#endif
