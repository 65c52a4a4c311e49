// When a connection that says nothing is given up, and how a connection that
// fell silent for good is told apart from a dead other end.
//
// Something between two ends can lose track of a connection: it stays open,
// carries nothing any more, and nobody gets an error, while new connections
// work. So each connection has a deadline for its next sign of life. When it
// passes, a fresh connection is tried: if that works the old one was silent,
// and is dropped and dialled anew; if not, the other end is gone.
//
//     progress_deadlines watch(limits_of(connection_kind::target), now);
//     watch.on_progress(now);                      // with each chunk
//     switch (watch.decide(now, probe)) {          // by watch.deadline()
//     case silence_verdict::keep: ...
//     case silence_verdict::probe: probe = dial(); ...
//     case silence_verdict::redial: ...            // machine: target_silent
//     case silence_verdict::give_up: ...           // machine: target_died
//     }
//
// Read what has arrived before deciding: after a pause of this process the
// deadline has passed while the chunks wait in the socket.
//
// The deadline is the connection's own: it doesn't grow with other traffic
// to the same host, whose health says nothing about this connection.

#ifndef FENNELLADDER_REQUEST_PROGRESS_DEADLINES_HPP
#define FENNELLADDER_REQUEST_PROGRESS_DEADLINES_HPP

#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fennelladder::request {

enum class connection_kind : std::uint8_t
{
    caller, ///< A caller's stream: progress is bytes it took.
    target, ///< A target's answer: progress is bytes or a keep-alive.
    peer,   ///< A standing connection; progress is a heartbeat.
    platform_call,
    platform_watch ///< Long silences are normal; re-listed on each redial.
};

struct progress_limits
{
    duration first{0};      ///< From the start to the first progress.
    duration next{0};       ///< From one progress to the next.
    duration probe_wait{0}; ///< From the first probe to giving up.
    /// Silent connections in a row that are dialled anew; one more and the
    /// other end counts as gone. Progress starts the count anew.
    int redials = 2;
};

/// Defaults by kind. Thread safe.
progress_limits limits_of(connection_kind kind);

enum class probe_result : std::uint8_t
{
    none,   ///< Not tried yet, or not answered yet.
    works,  ///< A fresh connection was answered.
    refused ///< The host says that nobody listens.
};

enum class silence_verdict : std::uint8_t
{
    keep,   ///< Nothing is overdue.
    probe,  ///< Overdue: try a fresh connection, if not under way yet.
    redial, ///< Drop the old connection; use a fresh one and resume.
    give_up ///< The other end is gone.
};

std::string_view to_string(silence_verdict value);

/// Not thread safe: belongs to who owns the connection.
class progress_deadlines
{
public:
    progress_deadlines(progress_limits limits, instant started);

    /// The other end gave a sign of life on this connection.
    void on_progress(instant now);

    /// What to do; `probe` is the result of the probe since the deadline
    /// passed. After `redial` the deadlines count from `now` again.
    silence_verdict decide(instant now, probe_result probe);

    /// When decide() may say something else than `keep`.
    instant deadline() const;

private:
    progress_limits limits_;
    instant last_;
    std::optional<instant> probing_since_; // set while overdue
    bool any_progress_ = false;            // since the last dial
    int redials_ = 0;                      // since the last progress
};

} // namespace fennelladder::request

#endif
