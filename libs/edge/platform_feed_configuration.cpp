// The part of platform_feed that follows the configuration.

#include "platform_feed_fetch.hpp"

#include "platform/configuration_codec.hpp"

namespace fennelladder::edge {

namespace {

using adapter::freshness;
using adapter::object_kind;

} // namespace

/// Also when the newest one can't be read. Its age would otherwise make every
/// node of the fleet list and watch, and none would read more in it than the
/// two that do so anyway; the operator's next change reaches those at once.
void platform_feed::confirm_configuration(instant at)
{
    configuration_.age_before =
        tables_.configuration_freshness.age(tables_.now());
    tables_.confirm_configuration(at);
    // Whatever was announced, the platform has nothing newer.
    tables_.configuration_announced.reset();
}

/// Guards against a small host that reads a megabyte, and keeps its callers
/// waiting, to find what it has.
bool platform_feed::is_in_force(const adapter::stored_object& object) const
{
    const auto version =
        object.content.and_then(adapter::decode_configuration_version);
    return version && tables_.config != nullptr &&
           *version <= tables_.config->version();
}

bool platform_feed::take_configuration(const adapter::stored_object& object)
{
    if (object.name != adapter::configuration_name || is_in_force(object))
        return true;
    auto parts = object.content.and_then(adapter::decode_configuration);
    if (!parts) {
        note_unreadable(unreadable_kind::configuration, object, parts.error());
        return false;
    }
    if (tables_.take_configuration(std::move(*parts), object.content->dump(),
                                   "platform"))
        tables_.spread_news();
    return true;
}

awaitable<bool> platform_feed::list_configuration()
{
    std::string target =
        adapter::list_target(object_kind::configuration, freshness::newest, "");
    const auto page =
        co_await fetch(call_name::list_configuration, call_kind::listing,
                       target, adapter::decode_page);
    if (!page)
        co_return false;
    for (const adapter::stored_object& it : page->value.objects)
        take_configuration(it);
    configuration_as_of_ = page->value.as_of;
    confirm_configuration(page->begun);
    // The operator may not have written the first one yet.
    co_return tables_.config != nullptr;
}

awaitable<bool> platform_feed::watch_configuration()
{
    std::string target = adapter::watch_target(
        object_kind::configuration, configuration_as_of_, limits_.watch_wait);
    const auto news =
        co_await fetch(call_name::watch_configuration, call_kind::watch, target,
                       adapter::decode_watch);
    if (!news)
        co_return false;
    for (const adapter::object_event& it : news->value.events)
        if (!it.deleted)
            take_configuration(it.object);
    configuration_as_of_ = news->value.as_of;
    confirm_configuration(news->begun);
    co_return true;
}

mesh::news_view platform_feed::view_configuration()
{
    const instant now = tables_.now();
    mesh::news_view out = view_of(configuration_);
    out.age = tables_.configuration_freshness.age(now);
    if (tables_.configuration_announced)
        out.announced_for = now - *tables_.configuration_announced;
    return out;
}

awaitable<void> platform_feed::follow_configuration()
{
    co_await follow(configuration_, &platform_feed::view_configuration,
                    &platform_feed::list_configuration,
                    &platform_feed::watch_configuration);
}

} // namespace fennelladder::edge
