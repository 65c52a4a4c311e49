// Catalogue of the numbered events that log lines and findings refer to.
//
// A released number is never reused for another event. docs/EVENTS.md lists the
// same events for operators; a test checks that neither list lacks an event of
// the other.
//
// Ranges: 1000 settings and process, 1100 manifest and configuration,
// 1200 platform, 1300 journal, 1400 budgets and bills, 1500 requests,
// 1600 routing and targets, 1700 membership and entry, 1800 orders to
// targets, 1900 peers, 2000 gateway, 2100 history.

#ifndef FENNELLADDER_TELEMETRY_EVENT_CATALOG_HPP
#define FENNELLADDER_TELEMETRY_EVENT_CATALOG_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace fennelladder::telemetry {

enum class severity : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/// Catalogue entry of an event.
struct event_description
{
    int number;
    severity level;
    std::string_view name;    ///< Stable, snake_case.
    std::string_view meaning; ///< One sentence for operators.
};

/// All events, sorted by number.
std::span<const event_description> event_catalog();

/// The entry of event `number`, or nullptr if there is none.
const event_description* find_event(int number);

/// Event numbers by name.
namespace event {
constexpr int setting_invalid = 1000;
constexpr int node_started = 1001;
constexpr int node_stopping = 1002;
constexpr int node_stopped = 1003;
constexpr int node_fenced = 1004;
constexpr int node_not_ready = 1005;
constexpr int node_left_unclean = 1006;
constexpr int node_failed = 1007;
constexpr int task_failed = 1008;
constexpr int wish_not_applied = 1490;
constexpr int manifest_syntax = 1100;
constexpr int manifest_unknown_key = 1101;
constexpr int manifest_missing_key = 1102;
constexpr int manifest_wrong_type = 1103;
constexpr int manifest_duplicate = 1104;
constexpr int manifest_dangling = 1105;
constexpr int manifest_out_of_range = 1106;
constexpr int manifest_bad_unit = 1107;
constexpr int manifest_bad_format = 1108;
constexpr int manifest_inconsistent = 1109;
constexpr int configuration_in_force = 1110;
constexpr int configuration_older_refused = 1111;
constexpr int configuration_contradiction = 1112;
constexpr int configuration_corrupt = 1113;
constexpr int configuration_after_pause = 1114;
constexpr int news_fetched = 1115;
constexpr int news_fetch_failed = 1116;
constexpr int news_stale = 1117;
constexpr int news_stale_over = 1118;
constexpr int loop_lagged = 1119;
constexpr int platform_well = 1200;
constexpr int platform_slow = 1201;
constexpr int platform_out = 1202;
constexpr int platform_calls_over_rate = 1203;
constexpr int store_era_entered = 1204;
constexpr int node_registered_again = 1205;
constexpr int journal_layout_differs = 1300;
constexpr int journal_corrupt = 1301;
constexpr int journal_writer_retired = 1302;
constexpr int journal_backlog = 1303;
constexpr int member_suspected = 1700;
constexpr int member_died = 1701;
constexpr int member_returned = 1702;
constexpr int host_name_doubled = 1703;
constexpr int node_was_paused = 1704;
constexpr int order_given = 1800;
constexpr int order_refused = 1801;
constexpr int order_failed = 1802;
constexpr int order_blocked = 1803;
constexpr int order_lease_taken = 1804;
constexpr int order_lease_lost = 1805;
constexpr int order_board_unreadable = 1806;
constexpr int engine_deviated = 1807;
constexpr int rollout_changed = 1808;
constexpr int rollout_stopped = 1809;
constexpr int request_unknown = 1500;
constexpr int key_reused = 1501;
constexpr int suspect_noted = 1502;
constexpr int suspect_cleared = 1503;
constexpr int request_quarantined = 1504;
constexpr int retries_exhausted = 1505;
constexpr int connection_silent = 1506;
constexpr int answer_crossed = 1507;
constexpr int request_keys_full = 1508;
constexpr int settings_reloaded = 1010;
constexpr int settings_unreadable = 1011;
constexpr int log_lines_dropped = 1012;
constexpr int configuration_unreadable = 1120;
constexpr int targets_changed = 1121;
constexpr int object_unreadable = 1122;
constexpr int news_late = 1123;
constexpr int news_late_over = 1124;
constexpr int evacuations_changed = 1125;
constexpr int link_full = 1126;
constexpr int link_free = 1127;
constexpr int news_by_datagram = 1130;
constexpr int platform_call_failed = 1210;
constexpr int platform_calls = 1211;
constexpr int tokens_allotted = 1410;
constexpr int tokens_moved = 1411;
constexpr int allotment_in_doubt = 1412;
constexpr int allotment_unreadable = 1413;
constexpr int tokens_stranded = 1414;
constexpr int tokens_held = 1415;
constexpr int tokens_lost = 1416;
constexpr int allotment_repaired = 1417;
constexpr int allotment_outdated = 1418;
constexpr int request_answered = 1510;
constexpr int request_refused = 1511;
constexpr int request_failed = 1512;
constexpr int caller_left = 1513;
constexpr int attempt_ended = 1514;
constexpr int call_rejected = 1515;
constexpr int answer_undelivered = 1516;
constexpr int request_unread = 1517;
constexpr int connection_not_taken = 1518;
constexpr int stream_resumed = 1519;
constexpr int request_suspected = 1520;
constexpr int exchange_displaced = 1521;
constexpr int answer_malformed = 1522;
constexpr int target_died = 1610;
constexpr int target_limited = 1611;
constexpr int target_leaving = 1612;
constexpr int target_rests = 1613;
constexpr int service_cut_off = 1614;
constexpr int service_reached = 1615;
constexpr int request_relayed = 1616;
constexpr int target_brittle = 1617;
constexpr int mark_condemned = 1618;
constexpr int mark_cleared = 1619;
constexpr int node_heard = 1710;
constexpr int node_state_changed = 1711;
constexpr int mesh_sent = 1712;
constexpr int call_invalid = 2000;
constexpr int history_unreadable = 2100;
constexpr int history_violation = 2101;
constexpr int history_lost = 2102;
} // namespace event

} // namespace fennelladder::telemetry

#endif
