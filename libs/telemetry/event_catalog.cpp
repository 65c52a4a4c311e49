// Entries may be listed in any order; the table is sorted at compile time. A
// test compares it with docs/EVENTS.md.

#include "fennelladder/telemetry/event_catalog.hpp"

#include <algorithm>
#include <array>

namespace fennelladder::telemetry {

namespace {

constexpr auto unsorted_catalog = std::to_array<event_description>({
    {event::setting_invalid, severity::error, "setting_invalid",
     "A flag or environment variable has a value that can't be used."},
    {event::node_started, severity::info, "node_started",
     "The node serves callers."},
    {event::node_stopping, severity::info, "node_stopping",
     "A graceful shutdown began: new work is refused."},
    {event::node_stopped, severity::info, "node_stopped",
     "The node finished its streams, returned its tokens and exits."},
    {event::node_fenced, severity::error, "node_fenced",
     "The books take nothing more from this life of the node: start it anew."},
    {event::node_not_ready, severity::warning, "node_not_ready",
     "The node takes no work yet; the message says what it waits for."},
    {event::node_left_unclean, severity::error, "node_left_unclean",
     "The node left before all was returned; the message says what was not."},
    {event::node_failed, severity::error, "node_failed",
     "An error left the node's work incomplete; its process ends and is "
     "restarted."},
    {event::task_failed, severity::error, "task_failed",
     "An unexpected error ended one task, such as a caller's connection; the "
     "node goes on."},
    {event::wish_not_applied, severity::debug, "wish_not_applied",
     "The ledger did not apply a record of this node; the verdict says why."},
    {event::manifest_syntax, severity::error, "manifest_syntax",
     "The manifest is not JSON."},
    {event::manifest_unknown_key, severity::error, "manifest_unknown_key",
     "The manifest has a key that the schema does not know."},
    {event::manifest_missing_key, severity::error, "manifest_missing_key",
     "A required key is missing from the manifest."},
    {event::manifest_wrong_type, severity::error, "manifest_wrong_type",
     "A value of the manifest has the wrong type."},
    {event::manifest_duplicate, severity::error, "manifest_duplicate",
     "An id, reference, address or key occurs twice in the manifest."},
    {event::manifest_dangling, severity::error, "manifest_dangling",
     "The manifest refers to something that it does not define."},
    {event::manifest_out_of_range, severity::error, "manifest_out_of_range",
     "A number, sum or choice of the manifest is out of its range."},
    {event::manifest_bad_unit, severity::error, "manifest_bad_unit",
     "A duration or percentage of the manifest lacks its unit or is misspelt."},
    {event::manifest_bad_format, severity::error, "manifest_bad_format",
     "An id or address of the manifest is misspelt."},
    {event::manifest_inconsistent, severity::error, "manifest_inconsistent",
     "Parts of the manifest contradict each other, or nothing serves what is "
     "granted."},
    {event::configuration_in_force, severity::info, "configuration_in_force",
     "The node decides by this generation from now on."},
    {event::configuration_older_refused, severity::warning,
     "configuration_older_refused",
     "A watch, peer or the platform offered a generation below the highest "
     "seen; it is ignored."},
    {event::configuration_contradiction, severity::error,
     "configuration_contradiction",
     "Two configurations carry one generation; the one seen first holds. Was "
     "the platform wiped or restored?"},
    {event::configuration_corrupt, severity::error, "configuration_corrupt",
     "A root or part does not match its hash or can not be read; it is fetched "
     "from elsewhere."},
    {event::configuration_after_pause, severity::warning,
     "configuration_after_pause",
     "The node was paused and asks whether its configuration is still the "
     "newest before it takes new work."},
    {event::news_fetched, severity::info, "news_fetched",
     "Targets or a configuration came from a peer that knew more."},
    {event::news_fetch_failed, severity::warning, "news_fetch_failed",
     "A peer that announced targets or a configuration couldn't be reached, "
     "stopped answering, or sent invalid data; the node asks another one."},
    {event::news_stale, severity::warning, "news_stale",
     "The node's targets, configuration or evacuations are old and "
     "unconfirmed; it now asks the platform itself."},
    {event::loop_lagged, severity::warning, "loop_lagged",
     "The node's event loop stalled: it parsed something large, or the host "
     "gave it no processor time."},
    {event::news_stale_over, severity::info, "news_stale_over",
     "The node's state is no longer stale; it leaves asking the platform to "
     "other nodes again."},
    {event::platform_well, severity::info, "platform_well",
     "The platform answers again in time."},
    {event::platform_slow, severity::warning, "platform_slow",
     "The platform answers, but late."},
    {event::platform_out, severity::warning, "platform_out",
     "The platform doesn't answer or rejects calls; the node keeps serving."},
    {event::platform_calls_over_rate, severity::warning,
     "platform_calls_over_rate",
     "A call to the platform was not made because the node has used its share "
     "of the permitted call rate."},
    {event::store_era_entered, severity::warning, "store_era_entered",
     "The store was restored from an older copy; what it acknowledged since "
     "may "
     "be lost, and revisions of before are no longer compared."},
    {event::node_registered_again, severity::info, "node_registered_again",
     "The node writes its address again after the store was restored."},
    {event::journal_layout_differs, severity::warning, "journal_layout_differs",
     "The setting for the journal's shards or slots differs from the stored "
     "one, which holds."},
    {event::journal_corrupt, severity::error, "journal_corrupt",
     "An object of the journal can't be read; its shard is halted."},
    {event::journal_writer_retired, severity::error, "journal_writer_retired",
     "A shard says that this incarnation is over; the node must be "
     "restarted."},
    {event::journal_backlog, severity::warning, "journal_backlog",
     "Records wait in memory because the platform can't be written to."},
    {event::member_suspected, severity::info, "member_suspected",
     "A node didn't answer a probe, nor the probes of others; it leaves the "
     "entry answers."},
    {event::member_died, severity::warning, "member_died",
     "A node didn't object to being suspected and counts as dead."},
    {event::member_returned, severity::info, "member_returned",
     "A node that was suspected or dead is back."},
    {event::host_name_doubled, severity::error, "host_name_doubled",
     "Another process runs under this node's host name."},
    {event::node_was_paused, severity::warning, "node_was_paused",
     "This node's process was paused for seconds; it abandons its "
     "outstanding probes of other nodes."},
    {event::order_given, severity::info, "order_given",
     "An order was given to an engine; reading it back shows whether it took "
     "effect."},
    {event::order_refused, severity::warning, "order_refused",
     "An engine refused an order: its fencing number is old, or the engine "
     "can't."},
    {event::order_failed, severity::warning, "order_failed",
     "A load failed at an engine; it is tried again later."},
    {event::order_blocked, severity::warning, "order_blocked",
     "An order waits, since too few engines would be left to serve a team."},
    {event::order_lease_taken, severity::info, "order_lease_taken",
     "This node gives the orders to a group of engines."},
    {event::order_lease_lost, severity::warning, "order_lease_lost",
     "Another node took over a group of engines before this one handed it "
     "back."},
    {event::order_board_unreadable, severity::error, "order_board_unreadable",
     "The record of roll-outs can't be read; no engine is taken out of "
     "service."},
    {event::engine_deviated, severity::warning, "engine_deviated",
     "An engine left its intended state (a restart, or a late order) and is "
     "brought back to it."},
    {event::rollout_changed, severity::info, "rollout_changed",
     "A roll-out advanced a step, or an engine left it."},
    {event::rollout_stopped, severity::error, "rollout_stopped",
     "A new model version failed to load; the roll-out stops."},
    {event::request_unknown, severity::info, "request_unknown",
     "A request ended as unknown: it may have run."},
    {event::key_reused, severity::warning, "key_reused",
     "A caller used a request key for a second body."},
    {event::suspect_noted, severity::warning, "suspect_noted",
     "A target died; a request that ran there may run once more, alone."},
    {event::suspect_cleared, severity::info, "suspect_cleared",
     "A suspected request was answered and is no longer suspected."},
    {event::request_quarantined, severity::error, "request_quarantined",
     "Two targets died while running a request; it is refused from now on."},
    {event::retries_exhausted, severity::warning, "retries_exhausted",
     "The budget of retries is used up; requests fail at their first error."},
    {event::connection_silent, severity::warning, "connection_silent",
     "A connection stopped answering while a new one works; it was replaced."},
    {event::answer_crossed, severity::warning, "answer_crossed",
     "A target sent part of another request's answer; none of it was relayed."},
    {event::request_keys_full, severity::warning, "request_keys_full",
     "The node remembers as many request keys as it may; new ones are "
     "refused."},
    {event::settings_reloaded, severity::info, "settings_reloaded",
     "The settings file was read again; what changed is in force."},
    {event::settings_unreadable, severity::error, "settings_unreadable",
     "The settings file can't be read or is invalid; the present settings "
     "stay in force."},
    {event::log_lines_dropped, severity::warning, "log_lines_dropped",
     "Lines were dropped to keep the log's volume bounded; the counts are by "
     "event."},
    {event::configuration_unreadable, severity::error,
     "configuration_unreadable",
     "A configuration can't be decoded; the last good one stays in force."},
    {event::object_unreadable, severity::warning, "object_unreadable",
     "A target's or node's entry, an answer or a message can't be decoded; it "
     "is ignored, and all others stay valid."},
    {event::news_late, severity::warning, "news_late",
     "Changes reach the node too late, as on a full link: it takes no callers "
     "until they are in time again."},
    {event::news_late_over, severity::info, "news_late_over",
     "Changes reach the node in time again; it takes callers."},
    {event::link_full, severity::warning, "link_full",
     "The host's own link is full: connections aren't made in time, which "
     "shows nothing about targets and peers."},
    {event::link_free, severity::info, "link_free",
     "The host's own link is no longer full."},
    {event::evacuations_changed, severity::info, "evacuations_changed",
     "Other data centres are evacuated: targets there get no new work."},
    {event::news_by_datagram, severity::info, "news_by_datagram",
     "A configuration came from a peer by datagrams, since connections to "
     "peers failed or the node's link is full."},
    {event::targets_changed, severity::info, "targets_changed",
     "The list of targets changed."},
    {event::platform_call_failed, severity::warning, "platform_call_failed",
     "A call to the platform failed; the message says how."},
    {event::platform_calls, severity::info, "platform_calls",
     "Calls that the node made of the platform since the last such line."},
    {event::tokens_allotted, severity::info, "tokens_allotted",
     "Tokens were taken out of the platform's record for this node to spend."},
    {event::tokens_moved, severity::info, "tokens_moved",
     "Tokens went from one node to another."},
    {event::allotment_in_doubt, severity::warning, "allotment_in_doubt",
     "A write of the allotment record got no answer; it is read back before "
     "anything is spent."},
    {event::allotment_unreadable, severity::error, "allotment_unreadable",
     "The allotment record can't be decoded; nothing is taken out of it."},
    {event::tokens_stranded, severity::warning, "tokens_stranded",
     "Tokens are lost to their team: the node couldn't hand them over to "
     "another node."},
    {event::tokens_held, severity::info, "tokens_held",
     "What the node holds of all teams' tokens, every ten seconds."},
    {event::tokens_lost, severity::warning, "tokens_lost",
     "Another node's process ended without handing over its tokens; the "
     "amount is the last that it reported."},
    {event::allotment_repaired, severity::warning, "allotment_repaired",
     "The record of allotments was written again with all draws that are "
     "known, "
     "after the store was restored."},
    {event::allotment_outdated, severity::warning, "allotment_outdated",
     "The record of allotments is of before the store was restored; nobody "
     "draws "
     "until it is repaired."},
    {event::request_answered, severity::info, "request_answered",
     "A request got its whole answer."},
    {event::request_refused, severity::warning, "request_refused",
     "A request was refused before it ran at any target."},
    {event::request_failed, severity::warning, "request_failed",
     "A request ended without its whole answer and may have run."},
    {event::caller_left, severity::info, "caller_left",
     "A caller went away before its answer was complete; its target's work was "
     "stopped."},
    {event::attempt_ended, severity::info, "attempt_ended",
     "One attempt at a target ended without a whole answer; the line says what "
     "follows."},
    {event::answer_undelivered, severity::warning, "answer_undelivered",
     "A request's connection ended before its whole answer was delivered, and "
     "not by its caller as far as the node saw; the line says how."},
    {event::request_unread, severity::info, "request_unread",
     "A caller's connection ended before its request was read whole."},
    {event::connection_not_taken, severity::warning, "connection_not_taken",
     "A caller's connection was not accepted: the host has reached its limit "
     "of connections, or the system allows no more."},
    {event::stream_resumed, severity::info, "stream_resumed",
     "A caller asked for the rest of a stream; the line says which software "
     "version began it, and who knew."},
    {event::request_suspected, severity::info, "request_suspected",
     "A request has a mark (itself, or a part of its prompt) that may crash "
     "targets; the line says what is known of it, and whether the request was "
     "refused or runs alone with it."},
    {event::exchange_displaced, severity::warning, "exchange_displaced",
     "A caller's request, or a response that its caller doesn't read, gave way "
     "to others that need its memory or its connection's place; a request was "
     "refused as not run, a response was cut off."},
    {event::answer_malformed, severity::warning, "answer_malformed",
     "What a target or the platform answered isn't proper HTTP; it was not "
     "used "
     "or passed on, or cut where that showed."},
    {event::call_rejected, severity::info, "call_rejected",
     "A request was rejected as invalid: no such route, no valid key, or a "
     "malformed request."},
    {event::target_died, severity::warning, "target_died",
     "A target broke off its answers and can't be reached; the requests that "
     "ran there are suspected of causing it."},
    {event::target_limited, severity::info, "target_limited",
     "A target changed or removed its limit on requests per second from all "
     "nodes together."},
    {event::target_leaving, severity::info, "target_leaving",
     "A target says in its answers that it leaves, whatever its entry says."},
    {event::target_rests, severity::info, "target_rests",
     "A target rejected a request and asked this node to send none for a "
     "while."},
    {event::service_cut_off, severity::warning, "service_cut_off",
     "The node lost its links to at least half of a service's targets while "
     "peers reach them; requests go through peers."},
    {event::service_reached, severity::info, "service_reached",
     "The node reaches most targets of a service again, or no peer does "
     "either; requests go there directly."},
    {event::request_relayed, severity::info, "request_relayed",
     "The node connected a peer to a target that the peer doesn't reach."},
    {event::target_brittle, severity::info, "target_brittle",
     "A target says in its answers how many rejections a second it survives, "
     "or "
     "that it survives any number."},
    {event::mark_condemned, severity::warning, "mark_condemned",
     "Targets crashed in successive runs with a mark, a request or a part of "
     "prompts; no request with it is sent until its next trial."},
    {event::mark_cleared, severity::info, "mark_cleared",
     "A condemned mark was answered, explained by another one, or cleared by "
     "an operator."},
    {event::node_heard, severity::info, "node_heard",
     "Another node, or a new life of it, was heard for the first time."},
    {event::node_state_changed, severity::info, "node_state_changed",
     "Another node became ready or began to leave, or its configuration "
     "changed."},
    {event::mesh_sent, severity::info, "mesh_sent",
     "Bytes and datagrams that the node sent to others since the last such "
     "line."},
    {event::call_invalid, severity::info, "call_invalid",
     "A caller's request can't be read; nothing ran and nothing is charged."},
    {event::history_unreadable, severity::error, "history_unreadable",
     "A history can't be judged: a line is malformed or contradicts another."},
    {event::history_violation, severity::error, "history_violation",
     "A history breaks one of the rules in docs/HISTORY.md."},
    {event::history_lost, severity::error, "history_lost",
     "Lines of a history could not be written, so it proves nothing."},
});

constexpr auto catalog = [] {
    auto sorted = unsorted_catalog;
    std::ranges::sort(sorted, {}, &event_description::number);
    return sorted;
}();

} // namespace

std::span<const event_description> event_catalog()
{
    return catalog;
}

const event_description* find_event(int number)
{
    const auto it = std::ranges::lower_bound(catalog, number, {},
                                             &event_description::number);
    return it != catalog.end() && it->number == number ? &*it : nullptr;
}

} // namespace fennelladder::telemetry
