// Implements the targets feed of platform_feed.

#include "platform_feed_fetch.hpp"

#include "platform/target_codec.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

using adapter::object_kind;

} // namespace

void platform_feed::confirm_targets(instant at, bool follows_all)
{
    targets_.previous_age = tables_.targets_freshness.age(tables_.now());
    tables_.confirm_targets(at, follows_all);
}

std::optional<catalog::target_change>
platform_feed::parse_target(const adapter::stored_object& object)
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

/// An entry that was valid and becomes unreadable counts as a removal. One that
/// was never valid is ignored, however often it is changed.
std::vector<catalog::target_change>
platform_feed::parse_changes(const adapter::watch_response& answer)
{
    std::vector<catalog::target_change> out;
    const auto is_known = [&](const target_id& id) {
        return tables_.targets.entries().contains(id) ||
               std::ranges::find(out, id, &catalog::target_change::id) !=
                   out.end();
    };
    for (const adapter::object_event& it : answer.events) {
        const target_id id(it.object.name);
        const auto change = it.deleted ? std::nullopt : parse_target(it.object);
        if (change)
            out.push_back(*change);
        else if (id.empty())
            schedule_listing(targets_);
        else if (it.deleted || is_known(id))
            out.push_back({id, std::nullopt, answer.as_of});
    }
    return out;
}

awaitable<bool> platform_feed::list_targets()
{
    const auto listed =
        co_await list_all(platform_call::list_targets, object_kind::targets);
    if (!listed)
        co_return false;
    std::vector<catalog::target_change> entries;
    for (const adapter::stored_object& it : listed->value.objects)
        if (const auto change = parse_target(it))
            entries.push_back(*change);
    const catalog::revision before = tables_.targets.latest_change();
    const bool known = tables_.targets.known();
    if (!tables_.targets.replace_all(entries, listed->value.as_of))
        co_return true;
    confirm_targets(listed->first_byte_at, false);
    if (!known || tables_.targets.latest_change() != before) {
        tables_.update_target_registry();
        tables_.broadcast_update();
    }
    co_return true;
}

awaitable<bool> platform_feed::watch_targets()
{
    std::string target = adapter::watch_target(
        object_kind::targets, tables_.targets.as_of(), limits_.watch_timeout);
    const auto answer =
        co_await fetch(platform_call::watch_targets, call_kind::watch, target,
                       adapter::decode_watch_in);
    if (!answer)
        co_return false;
    if (answer->value.as_of.era() != tables_.targets.as_of().era())
        co_return false;
    const auto changes = parse_changes(answer->value);
    if (!tables_.targets.apply(changes, answer->value.as_of))
        co_return true;
    tables_.versions.note_changes(changes, tables_.now());
    confirm_targets(answer->first_byte_at, true);
    if (!changes.empty()) {
        tables_.update_target_registry();
        tables_.broadcast_update();
    }
    co_return true;
}

mesh::watch_inputs platform_feed::view_targets()
{
    mesh::watch_inputs out = view_of(targets_);
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
