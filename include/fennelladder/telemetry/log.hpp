// Structured log: numbered events, one line each.
//
//     log_event(event::node_started, {{"listen", address}});
//
// writes, by setting, one line
//
//     2026-01-02T03:04:05.678Z event=1001 name=node_started
//     level=info listen=127.0.0.1:8080
//
// or the same as a JSON object. Severity comes from the event catalogue. A
// value with a blank, quote or equals sign is quoted. Lines go to standard
// error through easylogging++.

#ifndef FENNELLADDER_TELEMETRY_LOG_HPP
#define FENNELLADDER_TELEMETRY_LOG_HPP

#include "fennelladder/telemetry/event_catalog.hpp"

#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace fennelladder::telemetry {

/// How lines are written.
struct log_options
{
    bool json = false;
    severity lowest = severity::info; ///< Events below it are dropped.
};

/// One name and value of a line. Names are snake_case.
struct log_field
{
    std::string_view name;
    std::string value;
};

/// Sets how lines are written from now on. Thread safe; call it at start.
void configure_log(const log_options& options);

/// Takes finished lines (without time or line end) in place of
/// easylogging++, whose output blocks the caller when its reader is slow.
using log_sink =
    std::function<void(const event_description& what, std::string line)>;

/// Sends all lines to `sink` from now on. Not thread safe; call it at start.
void set_log_sink(log_sink sink);

/// Writes one line. Precondition: `number` is in the catalogue. Thread safe.
void log_event(int number, std::initializer_list<log_field> fields = {});

/// The line without its time, as log_event() writes it.
std::string format_event(const event_description& what,
                         std::span<const log_field> fields, bool json);

} // namespace fennelladder::telemetry

#endif
