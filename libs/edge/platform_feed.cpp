#include "fennelladder/edge/platform_feed.hpp"

#include "fennelladder/base/address.hpp"
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

/// After a watch's wait. The platform answers within milliseconds of it.
constexpr duration silence_after_wait = milliseconds(500);

/// Until the head of a listing.
constexpr duration list_limit = milliseconds(1500);

/// Between two looks whether this node has to ask: a twelfth of the smallest
/// limit on age in use.
constexpr duration look_period = milliseconds(100);

/// A watcher lists anew this often, in case its watch missed something.
constexpr duration relist_period = seconds(20);

/// A watch that fails sooner after the listing it goes on from tells nothing
/// that the listing didn't. Longer than any pause after it, so that a store
/// that answers no watch is listed about once in this time.
constexpr duration early_failure = seconds(1);

/// At most so often because of a change that doesn't say of which target.
constexpr duration unnamed_relist_period = seconds(2);

/// Failures in a row that still lengthen a pause.
constexpr int most_failures = 8;

/// Between two cheap calls of a node that is cut off and not needed.
constexpr duration probe_period = seconds(5);

/// That a configuration waits for targets to be answered. A platform may
/// answer everything but their listing; one call more in this time is cheap.
constexpr duration longest_hold = seconds(5);

constexpr const char* stale_metric = "fennelladder_news_stale_total";

mesh::news_limits limits_of(const node_tables& tables, mesh::news_size size)
{
    return mesh::news_limits_for(tables.settings.news_bound(), size);
}

constexpr const char* address_field = "peer_address";

} // namespace

platform_feed::news_kind::news_kind(const char* name, node_tables& tables,
                                    mesh::news_limits limits)
    : what(name), duty(limits, tables.random.unit()), pause(tables.io)
{}

platform_feed::platform_feed(node_tables& tables, platform_client& client,
                             mesh_node& mesh)
    : tables_(tables), client_(client), mesh_(mesh),
      limits_(limits_of(tables, mesh::news_size::packets)),
      configuration_("configuration", tables,
                     limits_of(tables, mesh::news_size::bulk)),
      targets_("targets", tables, limits_)
{}

void platform_feed::start()
{
    tables_.platform_answered = [this] { on_answer(); };
    configuration_.tried_at = tables_.now();
    spawn(tables_.io, follow_targets());
    spawn(tables_.io, follow_configuration());
    spawn(tables_.io, register_node());
    spawn(tables_.io, probe());
}

/// A watch that isn't answered says little of the platform: the connection may
/// be what is broken. The listing that follows it says more.
void platform_feed::note(const platform_reply& reply, call_name name,
                         call_kind kind)
{
    const std::string what(to_string(name));
    if (reply.reached() || kind == call_kind::listing)
        tables_.note_contact(reply.reached(), what);
    if (!reply.reached())
        log_event(event::platform_call_failed,
                  {{"call", what},
                   {"outcome", std::string(to_string(reply.outcome))}});
}

template <class Answer>
awaitable<std::optional<platform_feed::dated<Answer>>>
platform_feed::fetch(call_name name, call_kind kind, std::string target,
                     result<Answer> (*decode)(const std::string&))
{
    const duration limit = kind == call_kind::watch
                               ? limits_.watch_wait + silence_after_wait
                               : list_limit;
    const auto got =
        co_await client_.call(name, http::verb::get, target, "", limit);
    note(got, name, kind);
    if (got.outcome != call_outcome::done)
        co_return std::nullopt;
    auto read = decode(got.body);
    if (!read) {
        tables_.unreadable.note(unreadable_kind::answer,
                                std::string(to_string(name)),
                                catalog::revision(), read.error());
        co_return std::nullopt;
    }
    co_return dated<Answer>{std::move(*read), got.begun};
}

// When to ask.

std::size_t platform_feed::rank(const news_kind& kind, bool reached) const
{
    return tables_.nodes.rank(kind.what, reached, tables_.capacity(),
                              tables_.now());
}

/// Waits a look's length, or less if the platform answers before.
awaitable<void> platform_feed::rest(news_kind& kind)
{
    co_await sleep_on(kind.pause, look_period);
}

/// A call of any part was answered, so nothing needs to be waited for. Guards
/// against a node that reaches the platform for its tokens and goes on with
/// old news until its pause is over.
void platform_feed::on_answer()
{
    if (!cut_off_)
        return;
    cut_off_ = false;
    for (news_kind* it : {&configuration_, &targets_}) {
        it->failures = 0;
        it->next_try = instant();
        it->pause.cancel();
    }
}

/// While the platform doesn't answer, the targets try for both kinds. Guards
/// against a leaving that isn't heard of since a configuration of a megabyte
/// comes: targets wait for nothing but their own pause.
bool platform_feed::waits_for_targets(const news_kind& kind) const
{
    if (tables_.contact.reached || &kind == &targets_)
        return false;
    return targets_.reason != mesh::watch_reason::none &&
           tables_.now() - kind.tried_at < longest_hold;
}

bool platform_feed::held_back(const news_kind& kind) const
{
    return tables_.now() < kind.next_try || waits_for_targets(kind);
}

void platform_feed::hold_back(news_kind& kind, mesh::watch_reason reason)
{
    kind.duty.failed();
    kind.failures = std::min(kind.failures + 1, most_failures);
    kind.next_try = tables_.now() + mesh::pause_after_failures(
                                        tables_.random, kind.failures, reason);
    if (tables_.contact.reached)
        return;
    cut_off_ = true;
    for (news_kind* it : {&configuration_, &targets_}) {
        it->failures = kind.failures;
        it->next_try = kind.next_try;
    }
}

void platform_feed::note_reason(news_kind& kind, mesh::watch_reason reason,
                                const mesh::news_view& view)
{
    const bool stale = reason == mesh::watch_reason::stale;
    if (stale == kind.stale)
        return;
    kind.stale = stale;
    if (!stale) {
        log_event(event::news_stale_over, {{"kind", kind.what}});
        return;
    }
    // A kept connection may be what is broken; a new one shows at once.
    client_.drop_kept();
    tables_.metrics.counter_of(stale_metric, {{"kind", kind.what}}).add();
    const duration none(0);
    log_event(
        event::news_stale,
        {{"kind", kind.what},
         {"age_ms", milliseconds_text(view.age.value_or(none))},
         {"announced_ms", milliseconds_text(view.announced_for.value_or(none))},
         {"rank", std::to_string(view.rank)},
         {"platform_reached", tables_.contact.reached ? "true" : "false"}});
}

/// True if a watch failed so soon after its listing that the next listing has
/// to wait. Guards against a store that answers listings and fails watches at
/// once: each listing would count as all is well, and a megabyte would be
/// listed and read without a pause.
bool platform_feed::note_watch_end(news_kind& kind, bool watched)
{
    const bool early = tables_.now() - kind.listed_at < early_failure;
    if (!early)
        kind.lost_watches = 0;
    if (watched || !early)
        return false;
    kind.lost_watches = std::min(kind.lost_watches + 1, most_failures);
    return true;
}

/// Lists or watches, whichever is due.
awaitable<bool> platform_feed::ask(news_kind& kind, call_function list,
                                   call_function watch)
{
    if (kind.listed && tables_.now() - kind.listed_at < relist_period) {
        const bool watched = co_await (this->*watch)();
        kind.listed = watched;
        if (note_watch_end(kind, watched))
            co_return false;
        if (watched)
            co_return true;
    }
    // Also after a watch that failed late: the history may be gone, or just
    // the one connection. Only if this fails too the platform isn't reached.
    kind.listed = co_await (this->*list)();
    kind.listed_at = tables_.now();
    co_return kind.listed;
}

awaitable<void> platform_feed::follow(news_kind& kind, view_function look,
                                      call_function list, call_function watch)
{
    for (;;) {
        const mesh::news_view view = (this->*look)();
        const mesh::watch_reason reason = kind.duty.decide(view);
        note_reason(kind, reason, view);
        kind.reason = reason;
        if (reason == mesh::watch_reason::none)
            kind.listed = false;
        if (reason == mesh::watch_reason::none || held_back(kind)) {
            co_await rest(kind);
            continue;
        }
        const instant begun = tables_.now();
        kind.tried_at = begun;
        kind.age_before.reset();
        const bool fine = co_await ask(kind, list, watch);
        if (fine)
            settle(kind, tables_.now() - begun);
        else
            hold_back(kind, reason);
    }
}

/// After an answer.
void platform_feed::settle(news_kind& kind, duration elapsed)
{
    // A listing doesn't show that watches work again.
    kind.failures = kind.lost_watches;
    kind.duty.answered(elapsed, kind.age_before, tables_.random);
    // Others are about to ask as well; hearing of it spares them the call.
    if (kind.age_before > kind.stale_after)
        tables_.spread_news();
}

/// Makes a call that costs little where this node would watch if it reached
/// the platform.
awaitable<void> platform_feed::probe()
{
    asio::steady_timer timer(tables_.io);
    for (;;) {
        co_await sleep_on(timer, jitter(tables_.random, probe_period));
        const bool tries_anyway =
            configuration_.reason != mesh::watch_reason::none ||
            targets_.reason != mesh::watch_reason::none;
        const std::size_t best =
            std::min(rank(configuration_, true), rank(targets_, true));
        if (!tries_anyway && mesh::should_probe(tables_.contact.reached, best))
            (void)co_await list_nodes();
    }
}

/// Waits longer after each failure in a row.
awaitable<void> platform_feed::pause_after_failure(int& failures)
{
    failures = std::min(failures + 1, most_failures);
    asio::steady_timer timer(tables_.io);
    co_await sleep_on(timer,
                      mesh::pause_after_failures(tables_.random, failures,
                                                 mesh::watch_reason::none));
}

void platform_feed::note_unreadable(unreadable_kind kind,
                                    const adapter::stored_object& object,
                                    const error& cause)
{
    tables_.unreadable.note(kind, object.name, object.changed, cause);
}

// Configuration.

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
        if (!it.gone)
            take_configuration(it.object);
    configuration_as_of_ = news->value.as_of;
    confirm_configuration(news->begun);
    co_return true;
}

/// What both kinds' views have in common.
mesh::news_view platform_feed::view_of(const news_kind& kind) const
{
    mesh::news_view out;
    out.rank = rank(kind, tables_.contact.reached);
    out.size = tables_.nodes.place_by_size(tables_.capacity(), tables_.now());
    return out;
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

// Targets.

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
    return catalog::target_change{entry->id, *entry, object.changed};
}

/// An entry that was good and turns unreadable is a removal; one that never
/// was good is nothing, however often its writer changes it.
std::vector<catalog::target_change>
platform_feed::changes_of(const adapter::watch_answer& news)
{
    std::vector<catalog::target_change> out;
    const auto is_known = [&](const target_id& id) {
        return tables_.targets.entries().contains(id) ||
               std::ranges::find(out, id, &catalog::target_change::id) !=
                   out.end();
    };
    for (const adapter::object_event& it : news.events) {
        const target_id id(it.object.name);
        const auto change = it.gone ? std::nullopt : target_of(it.object);
        if (change)
            out.push_back(*change);
        else if (id.empty())
            list_targets_soon();
        else if (it.gone || is_known(id))
            out.push_back({id, std::nullopt, news.as_of});
    }
    return out;
}

/// A change without a name leaves open which entry isn't good any more: only
/// those that a listing still holds are.
void platform_feed::list_targets_soon()
{
    targets_.listed_at =
        std::min(targets_.listed_at,
                 tables_.now() - relist_period + unnamed_relist_period);
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

// Where the nodes are.

std::optional<std::string>
platform_feed::address_of(const adapter::stored_object& object)
{
    const auto address = object.content.and_then(
        [](const nlohmann::json& it) -> result<std::string> {
            const auto found = it.find(address_field);
            const bool is_text = found != it.end() && found->is_string();
            std::string text = is_text ? found->get<std::string>() : "";
            if (!is_ip_and_port(text))
                return fail(error_code::corrupt, "not an address");
            return text;
        });
    if (!address) {
        note_unreadable(unreadable_kind::node, object, address.error());
        return std::nullopt;
    }
    return *address;
}

awaitable<bool> platform_feed::list_nodes()
{
    std::string after;
    for (bool more = true; more;) {
        std::string target = adapter::list_target(
            object_kind::nodes, freshness::maybe_stale, after);
        const auto page =
            co_await fetch(call_name::list_nodes, call_kind::listing, target,
                           adapter::decode_page);
        if (!page)
            co_return false;
        const std::string before = after;
        std::vector<std::string> addresses;
        for (const adapter::stored_object& it : page->value.objects) {
            if (const auto address = address_of(it))
                addresses.push_back(*address);
            if (!it.name.empty())
                after = it.name;
        }
        mesh_.introduce(addresses);
        more = page->value.more && after != before;
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
            co_await client_.call(call_name::register_node, http::verb::post,
                                  target, body, list_limit);
        if (got.outcome == call_outcome::conflict) {
            const auto there = adapter::decode_object(got.body);
            if (there && there->content && *there->content == content)
                break;
            target = adapter::object_target(object_kind::nodes, name,
                                            freshness::newest);
            got =
                co_await client_.call(call_name::register_node, http::verb::put,
                                      target, body, list_limit);
        }
        if (got.outcome == call_outcome::done)
            break;
        co_await pause_after_failure(failures);
    }
    bool listed = false;
    while (!listed) {
        listed = co_await list_nodes();
        if (!listed)
            co_await pause_after_failure(failures);
    }
}

} // namespace fennelladder::edge
