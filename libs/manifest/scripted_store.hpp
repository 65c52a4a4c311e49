// Test support: an object store that calls a hook around every call, so that
// a test puts a fault or another actor's step at one exact place.

#ifndef FENNELLADDER_LIBS_MANIFEST_SCRIPTED_STORE_HPP
#define FENNELLADDER_LIBS_MANIFEST_SCRIPTED_STORE_HPP

#include "fennelladder/platform/object_store.hpp"

#include <functional>

namespace fennelladder::manifest {

/// What happens to one call.
enum class call_fate : std::uint8_t
{
    well,
    refused,     ///< `unavailable`, nothing happens.
    reply_lost,  ///< Takes effect and fails with `ambiguous`.
    request_lost ///< Fails with `ambiguous`, nothing happens.
};

/// Not thread safe.
class scripted_store final : public platform::object_store
{
public:
    using object_key = platform::object_key;

    explicit scripted_store(platform::object_store& inner) : inner_(inner) {}

    /// Decides the fate of write number `n` (from 0) to `key`; may act on the
    /// inner store before it is carried out.
    std::function<call_fate(int n, const object_key& key)> on_write;

    /// Likewise for reads; reply_lost counts as refused.
    std::function<call_fate(int n, const object_key& key)> on_read;

    int writes() const { return writes_; }

    result<platform::stored_object> get(const object_key& key) override
    {
        if (!reads(key))
            return fail(error_code::unavailable, "scripted");
        return inner_.get(key);
    }

    result<object_version> put(const object_key& key, std::string_view value,
                               platform::write_condition condition) override
    {
        const call_fate fate =
            on_write ? on_write(writes_, key) : call_fate::well;
        ++writes_;
        if (fate == call_fate::refused)
            return fail(error_code::unavailable, "scripted");
        if (fate == call_fate::request_lost)
            return fail(error_code::ambiguous, "scripted");
        auto put = inner_.put(key, value, condition);
        if (put && fate == call_fate::reply_lost)
            return fail(error_code::ambiguous, "scripted");
        return put;
    }

    status erase(const object_key& key,
                 platform::write_condition condition) override
    {
        const call_fate fate =
            on_write ? on_write(writes_, key) : call_fate::well;
        ++writes_;
        if (fate != call_fate::well)
            return fail(error_code::unavailable, "scripted");
        return inner_.erase(key, condition);
    }

    result<platform::object_page> list(std::string_view prefix,
                                       const object_key& after,
                                       std::size_t limit) override
    {
        if (!reads(after))
            return fail(error_code::unavailable, "scripted");
        return inner_.list(prefix, after, limit);
    }

    result<platform::change_page> watch(std::string_view prefix,
                                        std::uint64_t revision,
                                        duration wait) override
    {
        return inner_.watch(prefix, revision, wait);
    }

private:
    bool reads(const object_key& key)
    {
        return !on_read || on_read(reads_++, key) == call_fate::well;
    }

    platform::object_store& inner_;
    int reads_ = 0;
    int writes_ = 0;
};

} // namespace fennelladder::manifest

#endif
