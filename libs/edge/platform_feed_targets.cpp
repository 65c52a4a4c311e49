// The part of platform_feed that follows the list of targets.

#include "platform_feed_fetch.hpp"

#include "platform/target_codec.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

using adapter::freshness;
using adapter::object_kind;

} // namespace

void platform_feed::confirm_targets(instant at)
{
    targets_.age_before = tables_.targets_freshness.age(tables_.now());
    tables_.confirm_targets(at);
}

std::optional<catalog::target_change>
platform_feed::target_of(const adapter::stored_object& object)
{
    auto entry = object.content.and_then([&](const nlohmann::json& spec) {
        return adapter::decode_target(object.name, spec);
    });
    if (!entry) {
        note_unreadable(unreadable_kind::target, object, entry.error());
        return std::nullopt;
    }
    return catalog::target_change{entry->id, *entry, object.revision};
}

/// An entry that was good and turns unreadable is a removal; one that never
/// was good is nothing, however often its writer changes it.
std::vector<catalog::target_change>
platform_feed::changes_of(const adapter::watch_response& news)
{
    std::vector<catalog::target_change> out;
    const auto is_known = [&](const target_id& id) {
        return tables_.targets.entries().contains(id) ||
               std::ranges::find(out, id, &catalog::target_change::id) !=
                   out.end();
    };
    for (const adapter::object_event& it : news.events) {
        const target_id id(it.object.name);
        const auto change = it.deleted ? std::nullopt : target_of(it.object);
        if (change)
            out.push_back(*change);
        else if (id.empty())
            list_soon(targets_);
        else if (it.deleted || is_known(id))
            out.push_back({id, std::nullopt, news.as_of});
    }
    return out;
}

awaitable<bool> platform_feed::list_targets()
{
    std::vector<catalog::target_change> entries;
    std::string after;
    std::optional<catalog::revision> as_of;
    instant begun;
    for (bool more = true; more;) {
        const std::string before = after;
        std::string target = adapter::list_target(object_kind::targets,
                                                  freshness::newest, after);
        const auto page =
            co_await fetch(call_name::list_targets, call_kind::listing, target,
                           adapter::decode_page);
        if (!page)
            co_return false;
        for (const adapter::stored_object& it : page->value.objects) {
            if (const auto change = target_of(it))
                entries.push_back(*change);
            if (!it.name.empty())
                after = it.name;
        }
        // Later pages may be newer; what changed since the first is watched
        // from there.
        if (!as_of) {
            as_of = page->value.as_of;
            begun = page->begun;
        }
        more = page->value.more && !page->value.objects.empty();
        // Nothing on the page says where to go on.
        if (more && after == before)
            co_return false;
    }
    const catalog::revision before = tables_.targets.latest_change();
    const bool known = tables_.targets.known();
    if (!tables_.targets.replace_all(entries, *as_of))
        co_return true;
    confirm_targets(begun);
    if (!known || tables_.targets.latest_change() != before) {
        tables_.list_changed();
        tables_.spread_news();
    }
    co_return true;
}

awaitable<bool> platform_feed::watch_targets()
{
    std::string target = adapter::watch_target(
        object_kind::targets, tables_.targets.as_of(), limits_.watch_wait);
    const auto news = co_await fetch(call_name::watch_targets, call_kind::watch,
                                     target, adapter::decode_watch);
    if (!news)
        co_return false;
    const auto changes = changes_of(news->value);
    if (!tables_.targets.apply(changes, news->value.as_of))
        co_return true;
    confirm_targets(news->begun);
    if (!changes.empty()) {
        tables_.list_changed();
        tables_.spread_news();
    }
    co_return true;
}

mesh::news_view platform_feed::view_targets()
{
    mesh::news_view out = view_of(targets_);
    out.age = tables_.targets_freshness.age(tables_.now());
    return out;
}

awaitable<void> platform_feed::follow_targets()
{
    co_await follow(targets_, &platform_feed::view_targets,
                    &platform_feed::list_targets,
                    &platform_feed::watch_targets);
}

} // namespace fennelladder::edge
