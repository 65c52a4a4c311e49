// The part of platform_feed that follows the operator's evacuations.
//
// An entry counts by its name alone, whatever it holds: an evacuation that was
// asked for mustn't be missed since its content can't be read.

#include "platform_feed_fetch.hpp"

#include "fennelladder/telemetry/log.hpp"

namespace fennelladder::edge {

namespace {

using adapter::freshness;
using adapter::object_kind;

bool is_data_center(const adapter::stored_object& object)
{
    return !object.name.empty() &&
           object.name.size() <= catalog::longest_target_text;
}

} // namespace

void platform_feed::confirm_evacuations(instant at)
{
    evacuations_.age_before = tables_.evacuations_freshness.age(tables_.now());
    tables_.confirm_evacuations(at);
}

void platform_feed::take_evacuations(catalog::evacuation_state state,
                                     instant begun)
{
    if (state.data_centers.size() > catalog::most_evacuations)
        note_unreadable(unreadable_kind::evacuation, {},
                        {error_code::corrupt, "too many"});
    if (tables_.take_evacuations(std::move(state), "platform"))
        tables_.spread_news();
    confirm_evacuations(begun);
}

awaitable<bool> platform_feed::list_evacuations()
{
    std::string target =
        adapter::list_target(object_kind::evacuations, freshness::newest, "");
    const auto page =
        co_await fetch(call_name::list_evacuations, call_kind::listing, target,
                       adapter::decode_page);
    if (!page)
        co_return false;
    catalog::evacuation_state state{{}, page->value.as_of};
    for (const adapter::stored_object& it : page->value.objects) {
        if (is_data_center(it))
            state.data_centers.emplace_back(it.name);
        else
            note_unreadable(unreadable_kind::evacuation, it,
                            {error_code::corrupt, "no name"});
    }
    take_evacuations(std::move(state), page->begun);
    co_return true;
}

awaitable<bool> platform_feed::watch_evacuations()
{
    // Another node's word may come meanwhile; the changes follow on this.
    catalog::evacuation_list known = tables_.evacuations;
    std::string target = adapter::watch_target(
        object_kind::evacuations, known.as_of(), limits_.watch_wait);
    const auto news =
        co_await fetch(call_name::watch_evacuations, call_kind::watch, target,
                       adapter::decode_watch);
    if (!news)
        co_return false;
    std::vector<catalog::evacuation_change> changes;
    for (const adapter::object_event& it : news->value.events) {
        if (is_data_center(it.object))
            changes.push_back({data_center_id(it.object.name), !it.deleted});
        else
            list_soon(evacuations_);
    }
    known.apply(changes, news->value.as_of);
    take_evacuations(known.state(), news->begun);
    co_return true;
}

mesh::news_view platform_feed::view_evacuations()
{
    mesh::news_view out = view_of(evacuations_);
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
