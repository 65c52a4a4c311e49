// An object API in memory: the core of the stand-in platform, and the fake
// that tests put behind the interface.
//
//     memory_object_store store;
//     store.put(object_key("a"), "1", write_condition::absent());
//
// Faults are brought about by wrapping it (see fault_object_store.hpp).

#ifndef FENNELLADDER_PLATFORM_MEMORY_OBJECT_STORE_HPP
#define FENNELLADDER_PLATFORM_MEMORY_OBJECT_STORE_HPP

#include "fennelladder/platform/object_store.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace fennelladder::platform {

/// Thread safe. Keeps the last `history_limit` changes for watches; a watch
/// from before that is told to list anew.
class memory_object_store final : public object_store
{
public:
    static constexpr std::size_t history_limit = 10'000;

    result<stored_object> get(const object_key& key) override;
    result<object_version> put(const object_key& key, std::string_view value,
                               write_condition condition) override;
    status erase(const object_key& key, write_condition condition) override;
    result<object_page> list(std::string_view prefix, const object_key& after,
                             std::size_t limit) override;
    result<change_page> watch(std::string_view prefix, std::uint64_t revision,
                              duration wait) override;

private:
    struct change
    {
        std::uint64_t revision;
        object_change what;
    };

    status check(const object_key& key, write_condition condition) const;
    void record(object_change what);
    change_page changes_since(std::string_view prefix,
                              std::uint64_t revision) const;

    // Every field below is guarded by mutex_. revision_ grows by one with
    // each write; an object's version is the revision of its last write.
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<object_key, stored_object> objects_;
    std::deque<change> history_;
    std::uint64_t revision_ = 0;
};

} // namespace fennelladder::platform

#endif
