// Lets a handler of a web server end that same server, as a crash would.
//
// A server can't be stopped from its own threads, so a thread of its own
// waits for the wish, ends the server, and starts it again later if asked to.

#ifndef FENNELLADDER_STANDIN_CRASH_SWITCH_HPP
#define FENNELLADDER_STANDIN_CRASH_SWITCH_HPP

#include "fennelladder/base/time.hpp"
#include "web_server.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace fennelladder::standin {

/// Thread safe.
class crash_switch
{
public:
    /// `on_crash` runs after the server ended, before it starts again.
    crash_switch(web_server& server, duration restart_after,
                 std::function<void()> on_crash)
        : server_(server), restart_after_(restart_after),
          on_crash_(std::move(on_crash)), thread_([this] { run(); })
    {}

    ~crash_switch() { stop(); }

    crash_switch(const crash_switch&) = delete;
    crash_switch& operator=(const crash_switch&) = delete;

    /// Ignores wishes from now on. Call from one thread.
    void stop()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        changed_.notify_all();
        if (thread_.joinable())
            thread_.join();
    }

    /// Wishes a crash; for handlers, which then return.
    void trip()
    {
        const std::lock_guard lock(mutex_);
        tripped_ = true;
        changed_.notify_all();
    }

    /// Crashes now, on the calling thread. Not for handlers.
    void crash()
    {
        server_.abort();
        ++crashes_;
        on_crash_();
    }

    /// True once a crash is wished, until it has happened.
    bool tripped() const
    {
        const std::lock_guard lock(mutex_);
        return tripped_;
    }

    std::uint32_t crashes() const { return crashes_; }

private:
    void run()
    {
        std::unique_lock lock(mutex_);
        while (true) {
            changed_.wait(lock, [this] { return stopping_ || tripped_; });
            if (stopping_)
                return;
            lock.unlock();
            crash();
            lock.lock();
            tripped_ = false;
            if (restart_after_ > duration(0) &&
                !changed_.wait_for(lock, restart_after_,
                                   [this] { return stopping_; }))
                server_.start();
        }
    }

    web_server& server_;
    const duration restart_after_;
    const std::function<void()> on_crash_;
    std::atomic<std::uint32_t> crashes_ = 0;
    mutable std::mutex mutex_; // Guards the two flags.
    std::condition_variable changed_;
    bool stopping_ = false;
    bool tripped_ = false;
    std::thread thread_;
};

} // namespace fennelladder::standin

#endif
