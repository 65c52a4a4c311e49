// Threads of a node beside its request workers: tasks that recur, and a queue
// of calls that may block.

#ifndef FENNELLADDER_LIBS_NODE_BACKGROUND_HPP
#define FENNELLADDER_LIBS_NODE_BACKGROUND_HPP

#include "fennelladder/base/time.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace fennelladder::node {

/// Runs each task again and again on a thread of its own, so that one that
/// blocks holds up no other. Thread safe.
class recurring_tasks
{
public:
    recurring_tasks() = default;

    /// Stops; waits for tasks under way.
    ~recurring_tasks() { stop(); }

    /// Runs `task` every `interval`, first at once.
    void add(duration interval, std::function<void()> task);

    /// No task begins after this returned. Safe to call twice.
    void stop();

private:
    void run(duration interval, const std::function<void()>& task);

    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false; // guarded by mutex_
    std::vector<std::thread> threads_;
};

/// Calls that may block, run by a few threads in the order they came. Bounded:
/// what doesn't fit is dropped and told, since every call made through it is
/// one that its owner repeats. Thread safe.
class call_queue
{
public:
    call_queue(std::size_t threads, std::size_t most);

    /// Stops; drops what waits.
    ~call_queue() { stop(); }

    /// False: full or stopped, and `call` was dropped.
    bool post(std::function<void()> call);

    void stop();

private:
    void serve();

    const std::size_t most_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> waiting_; // guarded by mutex_
    bool stopping_ = false;                     // guarded by mutex_
    std::vector<std::thread> threads_;
};

} // namespace fennelladder::node

#endif
