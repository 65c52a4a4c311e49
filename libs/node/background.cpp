#include "background.hpp"

namespace fennelladder::node {

void recurring_tasks::add(duration interval, std::function<void()> task)
{
    threads_.emplace_back(
        [this, interval, task = std::move(task)] { run(interval, task); });
}

void recurring_tasks::run(duration interval, const std::function<void()>& task)
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        task();
        lock.lock();
        stopped_.wait_for(lock, interval, [this] { return stopping_; });
    }
}

void recurring_tasks::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stopped_.notify_all();
    for (std::thread& it : threads_)
        it.join();
    threads_.clear();
}

call_queue::call_queue(std::size_t threads, std::size_t most) : most_(most)
{
    for (std::size_t n = 0; n < threads; ++n)
        threads_.emplace_back([this] { serve(); });
}

bool call_queue::post(std::function<void()> call)
{
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || waiting_.size() >= most_)
            return false;
        waiting_.push_back(std::move(call));
    }
    changed_.notify_one();
    return true;
}

void call_queue::serve()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
        if (stopping_)
            return;
        const auto call = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        call();
        lock.lock();
    }
}

void call_queue::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        waiting_.clear();
    }
    changed_.notify_all();
    for (std::thread& it : threads_)
        it.join();
    threads_.clear();
}

} // namespace fennelladder::node
