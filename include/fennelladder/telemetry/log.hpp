// Structured logging of numbered events, one line each.
//
//     log_event(event::node_started, {{"listen", address}});
//
// writes, depending on log_options, either one line
//
//     2026-01-02T03:04:05.678Z event=1001 name=node_started
//     level=info listen=127.0.0.1:8080
//
// or a JSON object with the same fields. Severity comes from the event
// catalogue. An empty value, or one with a blank, tab, newline, quote or equals
// sign, is quoted. Lines go to standard error through easylogging++ unless a
// sink is set.

#ifndef FENNELLADDER_TELEMETRY_LOG_HPP
#define FENNELLADDER_TELEMETRY_LOG_HPP

#include "fennelladder/telemetry/event_catalog.hpp"

#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace fennelladder::telemetry {

/// Format and verbosity of the log.
struct log_options
{
    bool json = false; ///< JSON objects instead of key=value text.
    severity min_severity = severity::info; ///< Events below it are dropped.
};

/// A field of a log line. Names are snake_case, and those of one line differ.
/// None is "event" or "name"; a field "level" of a JSON object replaces the
/// severity.
struct log_field
{
    std::string_view name;
    std::string value;
};

/// Applies `options` to all later lines. Thread safe; call it at start.
void configure_log(const log_options& options);

/// Receives formatted lines, without time stamp or newline, in place of
/// easylogging++, whose output blocks the caller when its reader is slow.
using log_sink =
    std::function<void(const event_description& what, std::string line)>;

/// Sends all later lines to `sink`. Not thread safe; call it at start.
void set_log_sink(log_sink sink);

/// Writes one line, unless the event's severity is below the configured one.
/// Precondition: `number` is in the catalogue. Thread safe.
void log_event(int number, std::initializer_list<log_field> fields = {});

/// The line that log_event() writes, without time stamp and newline.
std::string format_event(const event_description& what,
                         std::span<const log_field> fields, bool json);

} // namespace fennelladder::telemetry

#endif
