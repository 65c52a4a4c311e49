// One thread sleeps until the model's next step ends, lets the model advance
// and wakes the threads whose sequences got a token. A sequence that fell
// behind sees several tokens at once.

#include "engine_driver.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::standin {

engine_driver::engine_driver(const engine_options& options, std::uint64_t seed,
                             std::uint32_t queue_limit)
    : queue_limit_(queue_limit), model_(options, seed)
{
    last_load_ = model_.load(clock_.now());
    thread_ = std::thread([this] { run(); });
}

engine_driver::~engine_driver()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    thread_.join();
}

engine_driver::ticket engine_driver::submit(engine_request request)
{
    const std::lock_guard lock(mutex_);
    const instant now = clock_.now();
    if (down_ || model_.load(now).waiting >= queue_limit_)
        return nullptr;
    request.id = ++last_id_;
    take_outputs(now);
    if (!model_.submit(request, now))
        return nullptr;
    auto made = std::make_shared<engine_sequence>();
    made->id_ = request.id;
    made->seen_ = request.resume_at;
    made->made_ = request.resume_at;
    sequences_[request.id] = made;
    changed_.notify_all();
    return made;
}

bool engine_driver::wait(engine_sequence& it)
{
    std::unique_lock lock(mutex_);
    it.changed_.wait(
        lock, [&] { return it.lost_ || it.finished_ || it.made_ > it.seen_; });
    it.seen_ = it.made_;
    return !it.lost_;
}

bool engine_driver::finished(const engine_sequence& it) const
{
    const std::lock_guard lock(mutex_);
    return it.finished_ && it.seen_ == it.made_;
}

void engine_driver::leave(engine_sequence& it)
{
    const std::lock_guard lock(mutex_);
    const instant now = clock_.now();
    take_outputs(now);
    model_.cancel(it.id_, now);
    sequences_.erase(it.id_);
    changed_.notify_all();
}

engine_load engine_driver::load(duration& age)
{
    const std::lock_guard lock(mutex_);
    const instant now = clock_.now();
    take_outputs(now);
    const auto reports = model_.take_reports(now);
    if (!reports.empty())
        last_load_ = reports.back();
    age = now - last_load_.taken_at;
    return last_load_;
}

std::vector<engine_cache_event> engine_driver::events(std::uint64_t after)
{
    const std::lock_guard lock(mutex_);
    for (auto& it : model_.take_cache_events(clock_.now()))
        events_.push_back(std::move(it));
    while (events_.size() > max_events)
        events_.pop_front();
    std::vector<engine_cache_event> out;
    std::ranges::copy_if(events_, std::back_inserter(out),
                         [&](const auto& it) { return it.sequence > after; });
    return out;
}

std::uint32_t
engine_driver::cached_blocks(std::span<const std::uint64_t> prefix) const
{
    const std::lock_guard lock(mutex_);
    return model_.cached_blocks(prefix);
}

void engine_driver::import_blocks(std::span<const std::uint64_t> prefix)
{
    const std::lock_guard lock(mutex_);
    const instant now = clock_.now();
    take_outputs(now);
    model_.import_blocks(prefix, now);
}

void engine_driver::take_down()
{
    const std::lock_guard lock(mutex_);
    down_ = true;
    model_.restart(clock_.now());
    events_.clear();
    for (const auto& [id, it] : sequences_) {
        it->lost_ = true;
        it->changed_.notify_all();
    }
    sequences_.clear();
}

void engine_driver::bring_up()
{
    const std::lock_guard lock(mutex_);
    down_ = false;
}

engine_work engine_driver::work() const
{
    const std::lock_guard lock(mutex_);
    return model_.work();
}

// Precondition: mutex_ is held.
void engine_driver::take_outputs(instant now)
{
    for (const engine_output& out : model_.advance(now)) {
        const auto it = sequences_.find(out.id);
        if (it == sequences_.end())
            continue;
        it->second->made_ = out.produced;
        it->second->cached_ = out.cached_tokens;
        it->second->finished_ = out.what == engine_output::kind::finished;
        it->second->changed_.notify_all();
    }
}

void engine_driver::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const auto at = model_.next_step();
        const instant now = clock_.now();
        if (!at)
            changed_.wait(lock);
        else if (*at > now)
            changed_.wait_for(lock, *at - now);
        else
            take_outputs(now);
    }
}

} // namespace fennelladder::standin
