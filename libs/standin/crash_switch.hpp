// Lets a handler of a web server end that same server, as a crash would.
//
// A server can't be stopped from its own threads, so a thread of the switch
// waits for the wish, ends the server, and starts it again later if asked to.

#ifndef FENNELLADDER_STANDIN_CRASH_SWITCH_HPP
#define FENNELLADDER_STANDIN_CRASH_SWITCH_HPP

#include "fennelladder/base/time.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

namespace fennelladder::standin {

/// Thread safe.
class crash_switch
{
public:
    /// `end` and `start` end the server and start it again. It is started
    /// `restart_after` a wished crash; not at all if that is zero.
    crash_switch(duration restart_after, std::function<void()> end,
                 std::function<void()> start)
        : restart_after_(restart_after), end_(std::move(end)),
          start_(std::move(start)), thread_([this] { run(); })
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
        end_();
        ++crashes_;
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
                start_();
        }
    }

    const duration restart_after_;
    const std::function<void()> end_;
    const std::function<void()> start_;
    std::atomic<std::uint32_t> crashes_ = 0;
    mutable std::mutex mutex_; // Guards the two flags.
    std::condition_variable changed_;
    bool stopping_ = false;
    bool tripped_ = false;
    std::thread thread_;
};

} // namespace fennelladder::standin

#endif
