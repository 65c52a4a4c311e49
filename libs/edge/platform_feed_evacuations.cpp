// Implements the evacuations feed of platform_feed.
//
// An entry is identified by its name alone, whatever it contains: a requested
// evacuation mustn't be missed because its content can't be parsed.

#include "platform_feed_fetch.hpp"

#include "fennelladder/telemetry/log.hpp"

namespace fennelladder::edge {

namespace {

using adapter::object_kind;

bool is_data_center(const adapter::stored_object& object)
{
    return !object.name.empty() &&
           object.name.size() <= catalog::max_target_id_bytes;
}

} // namespace

void platform_feed::confirm_evacuations(instant at)
{
    evacuations_.previous_age =
        tables_.evacuations_freshness.age(tables_.now());
    tables_.confirm_evacuations(at);
}

void platform_feed::apply_evacuations(catalog::evacuation_state state,
                                      instant first_byte_at)
{
    if (state.data_centers.size() > catalog::max_evacuations)
        note_unreadable(unreadable_kind::evacuation, {},
                        {error_code::corrupt, "too many"});
    if (tables_.apply_evacuations(std::move(state), "platform"))
        tables_.broadcast_update();
    confirm_evacuations(first_byte_at);
}

awaitable<bool> platform_feed::list_evacuations()
{
    const auto listed = co_await list_all(platform_call::list_evacuations,
                                          object_kind::evacuations);
    if (!listed)
        co_return false;
    catalog::evacuation_state state{{}, listed->value.as_of};
    for (const adapter::stored_object& it : listed->value.objects) {
        if (is_data_center(it))
            state.data_centers.emplace_back(it.name);
        else
            note_unreadable(unreadable_kind::evacuation, it,
                            {error_code::corrupt, "no name"});
    }
    apply_evacuations(std::move(state), listed->first_byte_at);
    co_return true;
}

awaitable<bool> platform_feed::watch_evacuations()
{
    // The changes apply to this state. A peer may update the tables while the
    // watch waits.
    catalog::evacuation_list known = tables_.evacuations;
    std::string target = adapter::watch_target(
        object_kind::evacuations, known.as_of(), limits_.watch_timeout);
    const auto answer =
        co_await fetch(platform_call::watch_evacuations, call_kind::watch,
                       target, adapter::decode_watch_in);
    if (!answer)
        co_return false;
    if (answer->value.as_of.era() != known.as_of().era())
        co_return false;
    std::vector<catalog::evacuation_change> changes;
    for (const adapter::object_event& it : answer->value.events) {
        if (is_data_center(it.object))
            changes.push_back({data_center_id(it.object.name), !it.deleted});
        else
            schedule_listing(evacuations_);
    }
    known.apply(changes, answer->value.as_of);
    apply_evacuations(known.state(), answer->first_byte_at);
    co_return true;
}

mesh::watch_inputs platform_feed::view_evacuations()
{
    mesh::watch_inputs out = view_of(evacuations_);
    out.age = tables_.evacuations_freshness.age(tables_.now());
    return out;
}

awaitable<void> platform_feed::follow_evacuations()
{
    co_await follow(evacuations_, &platform_feed::view_evacuations,
                    &platform_feed::list_evacuations,
                    &platform_feed::watch_evacuations);
}

} // namespace fennelladder::edge
