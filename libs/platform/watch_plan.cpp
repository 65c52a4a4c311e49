// The plan is a small state machine: list, then watch until it is time to
// list again; a failure puts a pause in between, and a failed or reset watch
// a listing, since what happened meanwhile is not known.

#include "fennelladder/platform/watch_plan.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::platform {

watch_step watch_plan::next(instant now)
{
    if (now < pause_until_)
        return {watch_step::kind::pause, 0, pause_until_ - now};
    if (!listed_ || now >= relist_at_)
        return {watch_step::kind::list, 0, duration(0)};
    return {watch_step::kind::watch, revision_, options_.watch_wait};
}

void watch_plan::on_listed(std::uint64_t revision, instant now)
{
    listed_ = true;
    failures_ = 0;
    revision_ = revision;
    relist_at_ = now + jitter(random_, options_.relist_interval);
}

void watch_plan::on_watched(const change_page& page)
{
    failures_ = 0;
    listed_ = !page.reset;
    // Not max(): a store that was set back tells so by a reset.
    revision_ = page.revision;
}

void watch_plan::on_failed(instant now)
{
    listed_ = false;
    pause_until_ = now + backoff(random_, failures_, options_.first_backoff,
                                 options_.last_backoff);
    ++failures_;
}

bool object_mirror::take(const object_change& change)
{
    const stored_object& object = change.object;
    const auto it = versions_.find(object.key);
    const bool known = it != versions_.end();
    if (known && object.version <= it->second)
        return false;
    if (change.erased) {
        versions_.erase(object.key);
        return known;
    }
    versions_[object.key] = object.version;
    return true;
}

std::vector<object_change>
object_mirror::apply(const std::vector<object_change>& changes)
{
    std::vector<object_change> fresh;
    for (const object_change& it : changes) {
        if (take(it))
            fresh.push_back(it);
    }
    return fresh;
}

std::vector<object_change>
object_mirror::replace(std::vector<stored_object> listed)
{
    std::vector<object_change> fresh;
    std::map<object_key, object_version> gone = versions_;
    for (stored_object& it : listed) {
        gone.erase(it.key);
        object_change change{std::move(it), false};
        if (take(change))
            fresh.push_back(std::move(change));
    }
    for (const auto& [key, version] : gone) {
        versions_.erase(key);
        fresh.push_back({{key, {}, version}, true});
    }
    return fresh;
}

} // namespace fennelladder::platform
