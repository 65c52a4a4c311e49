#include "fennelladder/edge/busy_loop.hpp"

#include <algorithm>
#include <ctime>

namespace fennelladder::edge {

namespace {

/// Processor time that this thread has used.
duration processor_time()
{
    timespec out{};
    if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &out) != 0)
        return duration(0);
    return std::chrono::duration_cast<duration>(
        seconds(out.tv_sec) + std::chrono::nanoseconds(out.tv_nsec));
}

} // namespace

void run_measured(asio::io_context& io, const clock& time,
                  const work_listener& on_work)
{
    instant since = time.now();
    while (!io.stopped()) {
        if (io.poll_one() > 0) {
            const instant now = time.now();
            on_work(now - since, now);
            since = now;
            continue;
        }
        // Waits, and runs the first handler that becomes ready.
        const instant waits = time.now();
        const duration used = processor_time();
        io.run_one();
        const instant now = time.now();
        const duration worked = (waits - since) + processor_time() - used;
        on_work(std::clamp(worked, duration(0), now - since), now);
        since = now;
    }
}

} // namespace fennelladder::edge
