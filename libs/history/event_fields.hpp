// The fields of each event, written down once: the writer and the reader of
// JSON lines both walk this list, so that they can't disagree.

#ifndef FENNELLADDER_LIBS_HISTORY_EVENT_FIELDS_HPP
#define FENNELLADDER_LIBS_HISTORY_EVENT_FIELDS_HPP

#include "fennelladder/history/event.hpp"

namespace fennelladder::history {

/// Calls `visit(name, member)` for each field of the event, in file order.
template <class Event, class Visit>
void visit_fields(Event& it, Visit&& visit)
{
    using kind = std::remove_const_t<Event>;
    if constexpr (std::is_same_v<kind, prepaid>) {
        visit("budget", it.budget);
        visit("tokens", it.amount);
        visit("topup", it.topup);
    } else if constexpr (std::is_same_v<kind, sent>) {
        visit("request", it.request);
        visit("team", it.team);
        visit("budget", it.budget);
        visit("key", it.key);
        visit("kind", it.kind);
        visit("idempotent", it.idempotent);
        visit("caller", it.caller);
    } else if constexpr (std::is_same_v<kind, dispatched>) {
        visit("request", it.request);
        visit("key", it.key);
        visit("target", it.target);
        visit("attempt", it.attempt);
    } else if constexpr (std::is_same_v<kind, executed>) {
        visit("key", it.key);
        visit("target", it.target);
        visit("attempt", it.attempt);
    } else if constexpr (std::is_same_v<kind, chunk>) {
        visit("request", it.request);
        visit("caller", it.caller);
        visit("offset", it.offset);
        visit("bytes", it.bytes);
        visit("digest", it.digest);
    } else if constexpr (std::is_same_v<kind, answered>) {
        visit("request", it.request);
        visit("caller", it.caller);
        visit("length", it.length);
        visit("digest", it.digest);
    } else if constexpr (std::is_same_v<kind, not_run> ||
                         std::is_same_v<kind, unknown>) {
        visit("request", it.request);
    } else if constexpr (std::is_same_v<kind, billed>) {
        visit("key", it.key);
        visit("budget", it.budget);
        visit("tokens", it.amount);
        visit("bill", it.bill);
    } else if constexpr (std::is_same_v<kind, refused>) {
        visit("request", it.request);
        visit("budget", it.budget);
    } else if constexpr (std::is_same_v<kind, target_leaving>) {
        visit("target", it.target);
    } else if constexpr (std::is_same_v<kind, config_accepted> ||
                         std::is_same_v<kind, config_in_force>) {
        visit("generation", it.generation);
        visit("hash", it.hash);
    }
}

} // namespace fennelladder::history

#endif
