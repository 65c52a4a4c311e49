#include "fennelladder/edge/platform_feed.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

/// Between two looks whether this node has to ask: a twelfth of the smallest
/// limit on age in use.
constexpr duration look_period = milliseconds(100);

/// A watcher lists anew this often, in case its watch missed something.
constexpr duration relist_period = seconds(20);

/// A watch that fails sooner after the listing it goes on from tells nothing
/// that the listing didn't. Longer than any pause after it, so that a store
/// that answers no watch is listed about once in this time.
constexpr duration early_failure = seconds(1);

/// At most so often because of a change that doesn't say of what.
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
    return mesh::news_limits_for(tables.settings.update_bound(), size);
}

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
      targets_("targets", tables, limits_),
      evacuations_("evacuations", tables, limits_)
{}

void platform_feed::start()
{
    tables_.platform_answered = [this] { on_answer(); };
    configuration_.tried_at = tables_.now();
    spawn(tables_.io, follow_targets());
    spawn(tables_.io, follow_configuration());
    if (tables_.settings.evacuation_bound)
        spawn(tables_.io, follow_evacuations());
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

// When to ask.

std::size_t platform_feed::rank(const news_kind& kind, bool reached) const
{
    return tables_.nodes.rank(kind.what, reached, tables_.capacity(),
                              tables_.now());
}

/// What the views of all kinds have in common.
mesh::news_view platform_feed::view_of(const news_kind& kind) const
{
    mesh::news_view out;
    out.rank = rank(kind, tables_.contact.reached);
    out.size = tables_.nodes.place_by_size(tables_.capacity(), tables_.now());
    return out;
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
    for (news_kind* it : {&configuration_, &targets_, &evacuations_}) {
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
    if (tables_.contact.reached || &kind != &configuration_)
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
    for (news_kind* it : {&configuration_, &targets_, &evacuations_}) {
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
            targets_.reason != mesh::watch_reason::none ||
            evacuations_.reason != mesh::watch_reason::none;
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
    tables_.unreadable.note(kind, object.name, object.revision, cause);
}

/// A change without a name leaves open which entry isn't good any more: only
/// those that a listing still holds are.
void platform_feed::list_soon(news_kind& kind)
{
    kind.listed_at = std::min(kind.listed_at, tables_.now() - relist_period +
                                                  unnamed_relist_period);
}

} // namespace fennelladder::edge
