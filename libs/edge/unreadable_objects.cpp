#include "fennelladder/edge/unreadable_objects.hpp"

#include "fennelladder/base/hash.hpp"
#include "fennelladder/telemetry/log.hpp"

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

constexpr const char* metric = "fennelladder_unreadable_objects_total";

/// Objects remembered. If there are more, all are forgotten and may be logged
/// once again, subject to the log's own rate limit.
constexpr std::size_t max_remembered = 1'024;

/// Longest name or cause in the log, in bytes. Both come from other programs.
constexpr std::size_t max_text_bytes = 200;

const char* name_of(unreadable_kind kind)
{
    switch (kind) {
    case unreadable_kind::configuration:
        return "configuration";
    case unreadable_kind::target:
        return "target";
    case unreadable_kind::evacuation:
        return "evacuation";
    case unreadable_kind::node:
        return "node";
    case unreadable_kind::allotment:
        return "allotment";
    case unreadable_kind::answer:
        return "answer";
    case unreadable_kind::message:
        return "message";
    }
    return "";
}

int event_of(unreadable_kind kind)
{
    switch (kind) {
    case unreadable_kind::configuration:
        return event::configuration_unreadable;
    case unreadable_kind::allotment:
        return event::allotment_unreadable;
    default:
        return event::object_unreadable;
    }
}

} // namespace

unreadable_objects::unreadable_objects(telemetry::metrics& metrics)
    : metrics_(metrics)
{}

telemetry::counter& unreadable_objects::counter_of(unreadable_kind kind) const
{
    return metrics_.counter_of(metric, {{"kind", name_of(kind)}});
}

std::uint64_t unreadable_objects::count(unreadable_kind kind) const
{
    return counter_of(kind).value();
}

bool unreadable_objects::is_new_cause(unreadable_kind kind,
                                      const std::string& name,
                                      const std::string& cause)
{
    if (logged_.size() >= max_remembered)
        logged_.clear();
    const std::uint64_t hash = hash64(cause);
    const auto [it, is_new] = logged_.try_emplace({kind, name}, hash);
    if (!is_new && it->second == hash)
        return false;
    it->second = hash;
    return true;
}

void unreadable_objects::note(unreadable_kind kind, const std::string& name,
                              catalog::revision changed, const error& cause)
{
    counter_of(kind).add();
    const std::string short_name = name.substr(0, max_text_bytes);
    const std::string short_cause = cause.message.substr(0, max_text_bytes);
    if (!is_new_cause(kind, short_name, short_cause))
        return;
    log_event(event_of(kind), {{"kind", name_of(kind)},
                               {"object", short_name},
                               {"revision", std::to_string(changed.value())},
                               {"reason", short_cause}});
}

} // namespace fennelladder::edge
