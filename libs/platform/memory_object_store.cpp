// One map under one mutex; a bounded history of changes serves the watches.
// Every call costs O(log n) but for list and watch, which cost what they
// return plus the history scanned.

#include "fennelladder/platform/memory_object_store.hpp"

namespace fennelladder::platform {

namespace {

constexpr std::size_t max_page_bytes = 4'000'000;

bool starts_with(const object_key& key, std::string_view prefix)
{
    return std::string_view(key.str()).starts_with(prefix);
}

} // namespace

result<stored_object> memory_object_store::get(const object_key& key)
{
    const std::lock_guard lock(mutex_);
    const auto it = objects_.find(key);
    if (it == objects_.end())
        return fail(error_code::not_found, "no object " + key.str());
    return it->second;
}

status memory_object_store::check(const object_key& key,
                                  write_condition condition) const
{
    const auto it = objects_.find(key);
    const bool exists = it != objects_.end();
    switch (condition.which()) {
    case write_condition::kind::always:
        return {};
    case write_condition::kind::absent:
        if (!exists)
            return {};
        break;
    case write_condition::kind::version:
        if (exists && it->second.version == condition.version())
            return {};
        break;
    }
    return fail(error_code::conflict, "condition on " + key.str());
}

void memory_object_store::record(object_change what)
{
    history_.push_back({revision_, std::move(what)});
    if (history_.size() > history_limit)
        history_.pop_front();
    changed_.notify_all();
}

result<object_version> memory_object_store::put(const object_key& key,
                                                std::string_view value,
                                                write_condition condition)
{
    if (value.size() > max_value_bytes)
        return fail(error_code::too_large, "value of " + key.str());
    const std::lock_guard lock(mutex_);
    if (auto ok = check(key, condition); !ok)
        return tl::unexpected(ok.error());
    ++revision_;
    stored_object object{key, std::string(value), object_version(revision_)};
    objects_[key] = object;
    record({std::move(object), false});
    return object_version(revision_);
}

status memory_object_store::erase(const object_key& key,
                                  write_condition condition)
{
    const std::lock_guard lock(mutex_);
    if (objects_.find(key) == objects_.end())
        return fail(error_code::not_found, "no object " + key.str());
    if (auto ok = check(key, condition); !ok)
        return ok;
    ++revision_;
    objects_.erase(key);
    record({{key, {}, object_version(revision_)}, true});
    return {};
}

result<object_page> memory_object_store::list(std::string_view prefix,
                                              const object_key& after,
                                              std::size_t limit)
{
    const std::lock_guard lock(mutex_);
    object_page page;
    page.revision = revision_;
    std::size_t bytes = 0;
    auto it = objects_.lower_bound(object_key(std::string(prefix)));
    if (!after.empty() && !(after < object_key(std::string(prefix))))
        it = objects_.upper_bound(after);
    for (; it != objects_.end() && starts_with(it->first, prefix); ++it) {
        if (page.objects.size() >= limit || bytes > max_page_bytes) {
            page.more = true;
            break;
        }
        bytes += it->second.value.size();
        page.objects.push_back(it->second);
    }
    return page;
}

change_page memory_object_store::changes_since(std::string_view prefix,
                                               std::uint64_t revision) const
{
    change_page page;
    page.revision = revision_;
    const bool lost = !history_.empty() &&
                      history_.front().revision > revision + 1 &&
                      revision < revision_;
    if (lost || revision > revision_) {
        page.reset = true;
        return page;
    }
    for (const change& it : history_) {
        if (it.revision > revision && starts_with(it.what.object.key, prefix))
            page.changes.push_back(it.what);
    }
    return page;
}

result<change_page> memory_object_store::watch(std::string_view prefix,
                                               std::uint64_t revision,
                                               duration wait)
{
    const auto until = std::chrono::steady_clock::now() + wait;
    std::unique_lock lock(mutex_);
    while (true) {
        change_page page = changes_since(prefix, revision);
        if (page.reset || !page.changes.empty())
            return page;
        if (changed_.wait_until(lock, until) == std::cv_status::timeout)
            return changes_since(prefix, revision);
    }
}

} // namespace fennelladder::platform
