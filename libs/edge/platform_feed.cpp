#include "platform_feed_fetch.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <iterator>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

/// Interval at which the node checks whether it has to ask the platform: a
/// twelfth of the smallest age limit in use.
constexpr duration check_period = milliseconds(100);

/// A watcher makes a full listing this often, in case its watch missed a
/// change.
constexpr duration relist_period = seconds(20);

/// A watch that fails sooner than this after its listing provides no more than
/// the listing did. Longer than any backoff after such a failure, so that a
/// store that fails every watch is listed about once in this time.
constexpr duration early_failure_window = seconds(1);

/// Minimum interval of listings that are caused by changes without a name.
constexpr duration unnamed_relist_period = seconds(2);

/// Consecutive failures after which the backoff no longer grows.
constexpr int max_backoff_failures = 8;

/// Interval of the cheap probes by a node that is cut off from the platform and
/// doesn't have to watch it.
constexpr duration probe_period = seconds(5);

/// Longest time that the configuration waits for an answer about targets. The
/// platform may answer everything except their listing; one more call in this
/// time is cheap.
constexpr duration max_wait_for_targets = seconds(5);

constexpr const char* stale_metric = "fennelladder_news_stale_total";

mesh::staleness_limits limits_of(const node_tables& tables,
                                 mesh::update_size size)
{
    return mesh::staleness_limits_for(tables.settings.update_bound(), size);
}

} // namespace

platform_feed::feed_state::feed_state(const char* name, node_tables& tables,
                                      mesh::staleness_limits limits)
    : what(name), duty(limits, tables.random.unit()), pause(tables.io)
{}

platform_feed::platform_feed(node_tables& tables, platform_client& client,
                             mesh_node& mesh)
    : tables_(tables), client_(client), mesh_(mesh),
      limits_(limits_of(tables, mesh::update_size::packets)),
      configuration_("configuration", tables,
                     limits_of(tables, mesh::update_size::bulk)),
      targets_("targets", tables, limits_),
      evacuations_("evacuations", tables, limits_), registration_(tables.io)
{}

void platform_feed::start()
{
    tables_.on_platform_answer = [this] { reset_backoff(); };
    tables_.on_store_era.push_back([this] { on_store_era(); });
    configuration_.last_attempt = tables_.now();
    spawn_lasting(
        tables_.io, [this] { return follow_targets(); }, "targets");
    spawn_lasting(
        tables_.io, [this] { return follow_configuration(); }, "configuration");
    if (tables_.settings.evacuation_bound)
        spawn_lasting(
            tables_.io, [this] { return follow_evacuations(); }, "evacuations");
    spawn_lasting(
        tables_.io, [this] { return register_node(); }, "registration");
    spawn_lasting(
        tables_.io, [this] { return record_versions(); }, "versions");
    tables_.read_recorded_versions = [this] {
        return read_recorded_versions();
    };
    spawn_lasting(
        tables_.io, [this] { return probe_platform(); }, "platform");
}

/// A watch without an answer doesn't show that the platform is unreachable,
/// since only the connection may have broken. The listing that follows shows
/// more.
void platform_feed::record_contact(const platform_reply& reply,
                                   platform_call name, call_kind kind)
{
    const std::string what(to_string(name));
    if (reply.reached() || kind == call_kind::listing)
        tables_.note_platform_contact(reply.reached(), what);
    if (!reply.reached())
        log_event(event::platform_call_failed,
                  {{"call", what},
                   {"outcome", std::string(to_string(reply.outcome))}});
}

// Decisions when to ask.

std::size_t platform_feed::rank(const feed_state& feed, bool reached) const
{
    return tables_.peers.rank(feed.what, reached, tables_.capacity(),
                              tables_.now());
}

/// The fields that the views of all feeds have in common.
mesh::watch_inputs platform_feed::view_of(const feed_state& feed) const
{
    mesh::watch_inputs out;
    out.rank = rank(feed, tables_.platform.reached);
    out.size = tables_.peers.classify_size(tables_.capacity(), tables_.now());
    return out;
}

/// Waits for one check period, or until the platform answers.
awaitable<void> platform_feed::wait_for_next_check(feed_state& feed)
{
    co_await sleep_on(feed.pause, check_period);
}

/// Called when any call of this node was answered. Guards against a node that
/// reaches the platform for its tokens but keeps a stale state until its
/// backoff is over.
void platform_feed::reset_backoff()
{
    if (!is_cut_off_)
        return;
    is_cut_off_ = false;
    for (feed_state* it : {&configuration_, &targets_, &evacuations_}) {
        it->failures = 0;
        it->next_attempt = instant();
        it->pause.cancel();
    }
}

/// A watch can't lead from one era to the next. Lists at once, since the state
/// of before is no longer confirmed by anybody.
void platform_feed::on_store_era()
{
    for (feed_state* it : {&configuration_, &targets_, &evacuations_}) {
        it->listed = false;
        it->listed_at = instant();
        it->failures = 0;
        it->early_watch_failures = 0;
        it->next_attempt = instant();
        it->pause.cancel();
    }
    registration_.cancel();
}

/// While the platform doesn't answer, the configuration feed lets the targets
/// feed call first, for at most `max_wait_for_targets`. Otherwise the transfer
/// of a megabyte of configuration could delay the update that a target leaves.
/// The other feeds wait only for their own backoff.
bool platform_feed::must_wait_for_targets(const feed_state& feed) const
{
    if (tables_.platform.reached || &feed != &configuration_)
        return false;
    return targets_.reason != mesh::watch_reason::none &&
           tables_.now() - feed.last_attempt < max_wait_for_targets;
}

bool platform_feed::is_backing_off(const feed_state& feed) const
{
    return tables_.now() < feed.next_attempt || must_wait_for_targets(feed);
}

void platform_feed::back_off(feed_state& feed, mesh::watch_reason reason)
{
    feed.duty.record_failure();
    feed.failures = std::min(feed.failures + 1, max_backoff_failures);
    feed.next_attempt =
        tables_.now() +
        mesh::retry_delay(tables_.random, feed.failures, reason);
    if (tables_.platform.reached)
        return;
    is_cut_off_ = true;
    for (feed_state* it : {&configuration_, &targets_, &evacuations_}) {
        it->failures = feed.failures;
        it->next_attempt = feed.next_attempt;
    }
}

void platform_feed::record_reason(feed_state& feed, mesh::watch_reason reason,
                                  const mesh::watch_inputs& view)
{
    const bool stale = reason == mesh::watch_reason::stale;
    if (stale == feed.stale)
        return;
    feed.stale = stale;
    if (!stale) {
        log_event(event::news_stale_over, {{"kind", feed.what}});
        return;
    }
    // An idle connection may be broken; a new one shows at once whether the
    // platform can be reached.
    client_.close_idle();
    tables_.metrics.counter_of(stale_metric, {{"kind", feed.what}}).add();
    const duration none(0);
    log_event(
        event::news_stale,
        {{"kind", feed.what},
         {"age_ms", milliseconds_text(view.age.value_or(none))},
         {"announced_ms", milliseconds_text(view.announced_for.value_or(none))},
         {"rank", std::to_string(view.rank)},
         {"platform_reached", tables_.platform.reached ? "true" : "false"}});
}

/// Returns true if a watch failed so soon after its listing that the next
/// listing has to wait. Guards against a store that answers listings but fails
/// watches at once: each listing would count as a success, and a megabyte would
/// be listed and parsed again without a pause.
bool platform_feed::record_watch_result(feed_state& feed, bool watched)
{
    const bool early = tables_.now() - feed.listed_at < early_failure_window;
    if (!early)
        feed.early_watch_failures = 0;
    if (watched || !early)
        return false;
    feed.early_watch_failures =
        std::min(feed.early_watch_failures + 1, max_backoff_failures);
    return true;
}

/// Makes a listing or a watch, whichever is due. Returns true on success.
awaitable<bool> platform_feed::list_or_watch(feed_state& feed,
                                             call_function list,
                                             call_function watch)
{
    if (feed.listed && tables_.now() - feed.listed_at < relist_period) {
        const bool watched = co_await (this->*watch)();
        feed.listed = watched;
        if (record_watch_result(feed, watched))
            co_return false;
        if (watched)
            co_return true;
    }
    // Also after a watch that failed late: the history may be gone, or only the
    // connection. The platform counts as unreachable only if this fails too.
    feed.listed = co_await (this->*list)();
    feed.listed_at = tables_.now();
    co_return feed.listed;
}

awaitable<void> platform_feed::follow(feed_state& feed, view_function make_view,
                                      call_function list, call_function watch)
{
    for (;;) {
        const mesh::watch_inputs view = (this->*make_view)();
        const mesh::watch_reason reason = feed.duty.decide(view);
        record_reason(feed, reason, view);
        feed.reason = reason;
        if (reason == mesh::watch_reason::none)
            feed.listed = false;
        if (reason == mesh::watch_reason::none || is_backing_off(feed)) {
            co_await wait_for_next_check(feed);
            continue;
        }
        const instant started = tables_.now();
        feed.last_attempt = started;
        feed.previous_age.reset();
        const bool succeeded = co_await list_or_watch(feed, list, watch);
        if (succeeded)
            record_success(feed, tables_.now() - started);
        else
            back_off(feed, reason);
    }
}

/// Updates the state of the feed after a successful call.
void platform_feed::record_success(feed_state& feed, duration elapsed)
{
    // The backoff is kept while watches fail: a successful listing doesn't show
    // that they work again.
    feed.failures = feed.early_watch_failures;
    feed.duty.record_success(elapsed, feed.previous_age, tables_.random);
    // Other nodes are about to ask too; an update saves them the call.
    if (feed.previous_age > feed.stale_after)
        tables_.broadcast_update();
}

/// Makes a cheap call from time to time if this node would have to watch if it
/// reached the platform.
awaitable<void> platform_feed::probe_platform()
{
    asio::steady_timer timer(tables_.io);
    for (;;) {
        co_await sleep_on(timer, jitter(tables_.random, probe_period));
        const bool is_asking =
            configuration_.reason != mesh::watch_reason::none ||
            targets_.reason != mesh::watch_reason::none ||
            evacuations_.reason != mesh::watch_reason::none;
        const std::size_t best =
            std::min(rank(configuration_, true), rank(targets_, true));
        if (!is_asking && mesh::should_probe(tables_.platform.reached, best))
            (void)co_await list_nodes();
    }
}

/// Waits longer after each consecutive failure.
awaitable<void> platform_feed::back_off_after_failure(int& failures)
{
    failures = std::min(failures + 1, max_backoff_failures);
    asio::steady_timer timer(tables_.io);
    co_await sleep_on(timer, mesh::retry_delay(tables_.random, failures,
                                               mesh::watch_reason::none));
}

void platform_feed::note_unreadable(unreadable_kind kind,
                                    const adapter::stored_object& object,
                                    const error& cause)
{
    tables_.unreadable.note(kind, object.name, object.revision, cause);
}

/// After a change without a name it is unknown which entry became invalid; only
/// a listing shows which ones are still valid.
void platform_feed::schedule_listing(feed_state& feed)
{
    feed.listed_at = std::min(feed.listed_at, tables_.now() - relist_period +
                                                  unnamed_relist_period);
}

/// Later pages may be newer than the first, whose revision is that of the
/// result: the next watch starts there and delivers all changes since.
awaitable<std::optional<platform_feed::timed<adapter::object_page>>>
platform_feed::list_all(platform_call name, adapter::object_kind kind)
{
    std::optional<timed<adapter::object_page>> out;
    std::string after;
    for (bool more = true; more;) {
        const std::string before = after;
        std::string target =
            adapter::list_target(kind, adapter::freshness::newest, after);
        auto page = co_await fetch(name, call_kind::listing, target,
                                   adapter::decode_page_in);
        if (!page)
            co_return std::nullopt;
        if (out && page->value.as_of.era() != out->value.as_of.era())
            co_return std::nullopt;
        for (const adapter::stored_object& it : page->value.objects)
            if (!it.name.empty())
                after = it.name;
        more = page->value.more && !page->value.objects.empty();
        // No object of the page has a name to continue from.
        if (more && after == before)
            co_return std::nullopt;
        if (!out) {
            out = std::move(page);
            continue;
        }
        std::ranges::move(page->value.objects,
                          std::back_inserter(out->value.objects));
    }
    co_return out;
}

} // namespace fennelladder::edge
