// The thread asks the plan what to do and does it. A listing in pages is taken
// in only when its last page came; its revision is that of the first page, so
// that changes between pages show up in the watch after it.

#include "fennelladder/platform/prefix_follower.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fennelladder::platform {

prefix_follower::prefix_follower(object_store& store, const clock& time,
                                 prefix_follower_options options,
                                 receiver on_change)
    : store_(store), time_(time), options_(std::move(options)),
      on_change_(std::move(on_change)),
      plan_(options_.plan, random_source(options_.seed)),
      last_success_(time.now()), thread_([this] { run(); })
{}

prefix_follower::~prefix_follower()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    thread_.join();
}

void prefix_follower::wake()
{
    const std::lock_guard lock(mutex_);
    woken_ = true;
    changed_.notify_all();
}

duration prefix_follower::staleness() const
{
    return time_.now() - last_success_.load();
}

void prefix_follower::run()
{
    while (true) {
        bool woken = false;
        {
            const std::lock_guard lock(mutex_);
            if (stopping_)
                return;
            woken = std::exchange(woken_, false);
        }
        const watch_step step = plan_.next(time_.now());
        if (woken || step.what == watch_step::kind::list)
            list();
        else if (step.what == watch_step::kind::watch)
            watch(step);
        else
            pause(step.wait);
    }
}

void prefix_follower::list()
{
    std::vector<stored_object> all;
    std::uint64_t revision = 0;
    bool more = true;
    for (bool first = true; more; first = false) {
        const object_key after = first ? object_key() : all.back().key;
        auto page = store_.list(options_.prefix, after, options_.page_size);
        if (!page)
            return plan_.on_failed(time_.now());
        if (first)
            revision = page->revision;
        more = page->more && !page->objects.empty();
        std::ranges::move(page->objects, std::back_inserter(all));
    }
    plan_.on_listed(revision, time_.now());
    on_success();
    tell(mirror_.replace(std::move(all)));
}

void prefix_follower::watch(const watch_step& step)
{
    const auto page = store_.watch(options_.prefix, step.revision, step.wait);
    if (!page)
        return plan_.on_failed(time_.now());
    plan_.on_watched(*page);
    on_success();
    if (!page->reset)
        tell(mirror_.apply(page->changes));
}

void prefix_follower::pause(duration length)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, length, [this] { return stopping_ || woken_; });
}

void prefix_follower::tell(const std::vector<object_change>& changes)
{
    for (const object_change& it : changes)
        on_change_(it);
}

void prefix_follower::on_success()
{
    last_success_ = time_.now();
}

} // namespace fennelladder::platform
