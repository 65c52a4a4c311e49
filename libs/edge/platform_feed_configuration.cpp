// Implements the configuration feed of platform_feed.

#include "platform_feed_fetch.hpp"

#include "platform/configuration_codec.hpp"

namespace fennelladder::edge {

namespace {

using adapter::freshness;
using adapter::object_kind;

} // namespace

/// Also called if the newest configuration can't be parsed. Otherwise its age
/// would make every node of the fleet list and watch, and none could parse more
/// of it than the two that watch anyway. These get the operator's next change
/// at once.
void platform_feed::confirm_configuration(instant at)
{
    configuration_.previous_age =
        tables_.configuration_freshness.age(tables_.now());
    tables_.confirm_configuration(at);
    // The platform has nothing newer, whatever peers have announced.
    tables_.configuration_announced.reset();
}

/// Checked before parsing the rest. Guards against a small host that blocks its
/// callers while it parses a megabyte that it already has.
bool platform_feed::is_in_force(const adapter::stored_object& object) const
{
    const auto version =
        object.content.and_then(adapter::decode_configuration_version);
    return version && tables_.config != nullptr &&
           *version <= tables_.config->version();
}

bool platform_feed::apply_configuration(const adapter::stored_object& object)
{
    if (object.name != adapter::configuration_name || is_in_force(object))
        return true;
    auto parts = object.content.and_then(adapter::decode_configuration);
    if (!parts) {
        note_unreadable(unreadable_kind::configuration, object, parts.error());
        return false;
    }
    if (tables_.apply_configuration(std::move(*parts), object.content->dump(),
                                    "platform"))
        tables_.broadcast_update();
    return true;
}

awaitable<bool> platform_feed::list_configuration()
{
    std::string target =
        adapter::list_target(object_kind::configuration, freshness::newest, "");
    const auto page =
        co_await fetch(platform_call::list_configuration, call_kind::listing,
                       target, adapter::decode_page_in);
    if (!page)
        co_return false;
    for (const adapter::stored_object& it : page->value.objects)
        apply_configuration(it);
    configuration_as_of_ = page->value.as_of;
    confirm_configuration(page->first_byte_at);
    // Fails if the operator hasn't written the first configuration yet.
    co_return tables_.config != nullptr;
}

awaitable<bool> platform_feed::watch_configuration()
{
    std::string target =
        adapter::watch_target(object_kind::configuration, configuration_as_of_,
                              limits_.watch_timeout);
    const auto answer =
        co_await fetch(platform_call::watch_configuration, call_kind::watch,
                       target, adapter::decode_watch_in);
    if (!answer)
        co_return false;
    if (answer->value.as_of.era() != configuration_as_of_.era())
        co_return false;
    for (const adapter::object_event& it : answer->value.events)
        if (!it.deleted)
            apply_configuration(it.object);
    configuration_as_of_ = answer->value.as_of;
    confirm_configuration(answer->first_byte_at);
    co_return true;
}

mesh::watch_inputs platform_feed::view_configuration()
{
    const instant now = tables_.now();
    mesh::watch_inputs out = view_of(configuration_);
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
