// Runs the node's event loop and measures the time in which it has work.
//
//     run_measured(io, clock, [&](duration worked, instant now) {
//         control.note_busy(worked, now);
//     });
//
// The time in which the loop waits for something to do is idle; all other time
// is work, also what the host's scheduler takes from the process. So the
// measure holds however the processor is shared. Of the first handler after a
// wait, only the processor time is known, which counts as work. Work is
// reported after each handler, so that it counts in the interval in which it
// was done.
//
// Preconditions: only one thread runs `io`.

#ifndef FENNELLADDER_EDGE_BUSY_LOOP_HPP
#define FENNELLADDER_EDGE_BUSY_LOOP_HPP

#include "fennelladder/edge/io.hpp"

#include <functional>

namespace fennelladder::edge {

/// Called with the time at work since the last call.
using work_listener = std::function<void(duration worked, instant now)>;

/// Runs handlers of `io` until it is stopped or has nothing left to do.
/// Exceptions of handlers pass through.
void run_measured(asio::io_context& io, const clock& time,
                  const work_listener& on_work);

} // namespace fennelladder::edge

#endif
