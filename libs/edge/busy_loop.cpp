#include "fennelladder/edge/busy_loop.hpp"

namespace fennelladder::edge {

namespace {

/// Handlers that run between two looks at the clock.
constexpr int handlers_per_look = 32;

/// Runs what is ready, up to a number of handlers. Returns false if nothing is
/// left that is ready.
bool run_ready(asio::io_context& io)
{
    for (int i = 0; i < handlers_per_look; ++i)
        if (io.poll_one() == 0)
            return false;
    return true;
}

} // namespace

void run_measured(asio::io_context& io, const clock& time,
                  const work_listener& on_work)
{
    instant since = time.now();
    while (!io.stopped()) {
        const bool more = run_ready(io);
        const instant now = time.now();
        on_work(now - since, now);
        since = now;
        if (more)
            continue;
        // Waits, and runs the first handler that becomes ready.
        io.run_one();
        since = time.now();
    }
}

} // namespace fennelladder::edge
