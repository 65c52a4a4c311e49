#include "fennelladder/edge/platform_feed.hpp"

#include "fennelladder/telemetry/log.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/target_codec.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fennelladder::edge {

namespace {

using adapter::freshness;
using adapter::object_kind;
using telemetry::log_event;
namespace event = telemetry::event;

/// Nodes that watch each kind. Three, so that two may be lost at once and
/// the change still arrives at once.
constexpr std::size_t watchers = 3;

/// A watch that fell silent costs this long at most.
constexpr duration watch_wait = seconds(5);
constexpr duration watch_limit = watch_wait + milliseconds(1200);
constexpr duration list_limit = milliseconds(1500);

/// Between two looks whether this node has become a watcher.
constexpr duration rank_period = milliseconds(200);

/// A watcher lists anew this often, in case its watch missed something.
constexpr duration relist_period = seconds(20);

/// Between tries: doubled up to the longest.
constexpr duration first_pause = milliseconds(100);
constexpr duration longest_pause = seconds(1);

constexpr const char* address_field = "peer_address";

} // namespace

platform_feed::platform_feed(node_tables& tables, platform_client& client,
                             mesh_node& mesh)
    : tables_(tables), client_(client), mesh_(mesh)
{}

void platform_feed::start()
{
    spawn(tables_.io, follow_configuration());
    spawn(tables_.io, follow_targets());
    spawn(tables_.io, register_node());
}

void platform_feed::note(const platform_reply& reply, const char* what)
{
    tables_.note_contact(reply.reached(), what);
    if (!reply.reached())
        log_event(event::platform_call_failed,
                  {{"call", what},
                   {"outcome", std::string(to_string(reply.outcome))}});
}

template <class Answer>
awaitable<std::optional<Answer>>
platform_feed::fetch(const char* what, std::string target, duration limit,
                     result<Answer> (*decode)(const std::string&))
{
    const auto got = co_await client_.call(http::verb::get, target, "", limit);
    note(got, what);
    if (got.outcome != call_outcome::done)
        co_return std::nullopt;
    auto read = decode(got.body);
    if (!read) {
        log_event(event::configuration_unreadable,
                  {{"source", what}, {"reason", read.error().message}});
        co_return std::nullopt;
    }
    co_return std::move(*read);
}

bool platform_feed::is_watcher(std::string_view what)
{
    return tables_.nodes.rank(what, tables_.contact.reached, tables_.capacity(),
                              tables_.now()) < watchers;
}

awaitable<void> platform_feed::pause_after(bool success, int& failures)
{
    failures = success ? 0 : std::min(failures + 1, 6);
    asio::steady_timer timer(tables_.io);
    const duration wait =
        success ? rank_period
                : backoff(tables_.random, failures, first_pause, longest_pause);
    co_await sleep_on(timer, wait);
}

// Configuration.

bool platform_feed::take_configuration(const adapter::stored_object& object)
{
    if (object.name != adapter::configuration_name)
        return true;
    auto parts = adapter::decode_configuration(object.content);
    if (!parts) {
        log_event(event::configuration_unreadable,
                  {{"source", "platform"},
                   {"revision", std::to_string(object.changed.value())},
                   {"reason", parts.error().message}});
        return false;
    }
    if (tables_.take_configuration(std::move(*parts), object.content.dump(),
                                   "platform"))
        tables_.spread_news();
    return true;
}

awaitable<bool> platform_feed::list_configuration()
{
    std::string target =
        adapter::list_target(object_kind::configuration, freshness::newest, "");
    const auto page = co_await fetch("list configuration", target, list_limit,
                                     adapter::decode_page);
    if (!page)
        co_return false;
    for (const adapter::stored_object& it : page->objects)
        take_configuration(it);
    configuration_as_of_ = page->as_of;
    configuration_listed_ = tables_.now();
    tables_.confirm_configuration(tables_.now());
    co_return true;
}

awaitable<bool> platform_feed::watch_configuration()
{
    std::string target = adapter::watch_target(
        object_kind::configuration, configuration_as_of_, watch_wait);
    const auto news = co_await fetch("watch configuration", target, watch_limit,
                                     adapter::decode_watch);
    if (!news) {
        configuration_as_of_ = catalog::revision();
        co_return false;
    }
    for (const adapter::object_event& it : news->events)
        if (!it.gone)
            take_configuration(it.object);
    configuration_as_of_ = news->as_of;
    tables_.confirm_configuration(tables_.now());
    co_return true;
}

awaitable<void> platform_feed::follow_configuration()
{
    int failures = 0;
    for (;;) {
        const bool first = tables_.config == nullptr;
        if (!first && !is_watcher("configuration")) {
            configuration_as_of_ = catalog::revision();
            co_await pause_after(true, failures);
            continue;
        }
        const bool relist =
            configuration_as_of_ == catalog::revision() ||
            tables_.now() - configuration_listed_ > relist_period;
        bool fine = false;
        if (relist)
            fine = co_await list_configuration();
        else
            fine = co_await watch_configuration();
        // The operator may not have written the first one yet.
        if (!fine || tables_.config == nullptr)
            co_await pause_after(false, failures);
        else
            failures = 0;
    }
}

// Targets.

void platform_feed::add_target(const adapter::stored_object& object,
                               catalog::revision changed,
                               std::vector<catalog::target_change>& out)
{
    auto entry = adapter::decode_target(object.name, object.content);
    if (entry)
        out.push_back({entry->id, *entry, changed});
    else
        log_event(event::configuration_unreadable,
                  {{"source", object.name}, {"reason", entry.error().message}});
}

awaitable<bool> platform_feed::list_targets()
{
    std::vector<catalog::target_change> entries;
    std::string after;
    std::optional<catalog::revision> as_of;
    for (bool more = true; more;) {
        std::string target = adapter::list_target(object_kind::targets,
                                                  freshness::newest, after);
        const auto page = co_await fetch("list targets", target, list_limit,
                                         adapter::decode_page);
        if (!page)
            co_return false;
        for (const adapter::stored_object& it : page->objects) {
            add_target(it, it.changed, entries);
            after = it.name;
        }
        // Later pages may be newer; what changed since the first is watched
        // from there.
        if (!as_of)
            as_of = page->as_of;
        more = page->more && !page->objects.empty();
    }
    const catalog::revision before = tables_.targets.latest_change();
    const bool known = tables_.targets.known();
    if (!tables_.targets.replace_all(entries, *as_of))
        co_return true;
    targets_listed_ = tables_.now();
    tables_.confirm_targets(tables_.now());
    if (!known || tables_.targets.latest_change() != before) {
        tables_.list_changed();
        tables_.spread_news();
    }
    co_return true;
}

awaitable<bool> platform_feed::watch_targets()
{
    std::string target = adapter::watch_target(
        object_kind::targets, tables_.targets.as_of(), watch_wait);
    const auto news = co_await fetch("watch targets", target, watch_limit,
                                     adapter::decode_watch);
    if (!news)
        co_return false;
    std::vector<catalog::target_change> changes;
    for (const adapter::object_event& it : news->events) {
        if (it.gone)
            changes.push_back(
                {target_id(it.object.name), std::nullopt, news->as_of});
        else
            add_target(it.object, it.object.changed, changes);
    }
    if (!tables_.targets.apply(changes, news->as_of))
        co_return true;
    tables_.confirm_targets(tables_.now());
    if (!changes.empty()) {
        tables_.list_changed();
        tables_.spread_news();
    }
    co_return true;
}

awaitable<void> platform_feed::follow_targets()
{
    int failures = 0;
    bool listed = false;
    for (;;) {
        if (tables_.targets.known() && !is_watcher("targets")) {
            listed = false;
            co_await pause_after(true, failures);
            continue;
        }
        const bool relist =
            !listed || tables_.now() - targets_listed_ > relist_period;
        bool fine = false;
        if (relist)
            fine = co_await list_targets();
        else
            fine = co_await watch_targets();
        listed = fine;
        if (!fine)
            co_await pause_after(false, failures);
        else
            failures = 0;
    }
}

// Where the nodes are.

awaitable<bool> platform_feed::list_nodes()
{
    std::string after;
    for (bool more = true; more;) {
        std::string target = adapter::list_target(
            object_kind::nodes, freshness::maybe_stale, after);
        const auto page = co_await fetch("list nodes", target, list_limit,
                                         adapter::decode_page);
        if (!page)
            co_return false;
        std::vector<std::string> addresses;
        for (const adapter::stored_object& it : page->objects) {
            if (it.content.is_object())
                addresses.push_back(it.content.value(address_field, ""));
            after = it.name;
        }
        mesh_.introduce(addresses);
        more = page->more && !page->objects.empty();
    }
    co_return true;
}

/// Seeds may be stale or down: then nodes find each other here.
awaitable<void> platform_feed::register_node()
{
    const std::string& name = tables_.settings.host.str();
    const nlohmann::json content{{address_field, mesh_.address()}};
    int failures = 0;
    for (;;) {
        std::string target = adapter::create_target(object_kind::nodes);
        std::string body =
            adapter::encode_object(name, catalog::revision(), content);
        auto got =
            co_await client_.call(http::verb::post, target, body, list_limit);
        if (got.outcome == call_outcome::conflict) {
            const auto there = adapter::decode_object(got.body);
            if (there && there->content == content)
                break;
            target = adapter::object_target(object_kind::nodes, name,
                                            freshness::newest);
            got = co_await client_.call(http::verb::put, target, body,
                                        list_limit);
        }
        if (got.outcome == call_outcome::done)
            break;
        co_await pause_after(false, failures);
    }
    bool listed = false;
    while (!listed) {
        listed = co_await list_nodes();
        if (!listed)
            co_await pause_after(false, failures);
    }
}

} // namespace fennelladder::edge
