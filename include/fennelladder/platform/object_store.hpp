// The platform's object API: the only place where anything lasts.
//
// Objects have a key, a value of up to a megabyte and a version that grows
// with each write. Writes can be made conditional, and a conditional write is
// the only arbiter of the whole system: whoever's condition holds has won.
//
//     auto made = store.put(key, value, write_condition::absent());
//     if (!made && made.error().code == error_code::ambiguous)
//         auto now = store.get(key); // look for one's own mark
//
// Caveats. A reply can be lost after the write took effect: put and erase
// then fail with `ambiguous`, and the caller has to read back before anything
// else. A watch can go silent for good, so whoever watches also lists anew
// from time to time. Each call counts against the platform's rates.

#ifndef FENNELLADDER_PLATFORM_OBJECT_STORE_HPP
#define FENNELLADDER_PLATFORM_OBJECT_STORE_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::platform {

/// Largest value the platform takes.
constexpr std::size_t max_value_bytes = 1'000'000;

using object_key = text_id<struct object_key_tag>;

/// An object as read.
struct stored_object
{
    object_key key;
    std::string value;
    object_version version;
};

/// When a write may take effect.
class write_condition
{
public:
    enum class kind : std::uint8_t
    {
        always,
        absent,
        version
    };

    static write_condition always() { return {kind::always, {}}; }

    /// Only if there is no such object.
    static write_condition absent() { return {kind::absent, {}}; }

    /// Only if the object's version is still this one.
    static write_condition unchanged(object_version version)
    {
        return {kind::version, version};
    }

    kind which() const { return kind_; }

    /// Meaningful when which() is kind::version.
    object_version version() const { return version_; }

private:
    write_condition(kind which, object_version version)
        : kind_(which), version_(version)
    {}

    kind kind_;
    object_version version_;
};

/// Part of a listing, in key order.
struct object_page
{
    std::vector<stored_object> objects;
    bool more = false;        ///< Go on after the last key.
    std::uint64_t revision{}; ///< Of the store, for watch().
};

/// What changed under a prefix since a revision. An erased object has an
/// empty value and `erased` set.
struct object_change
{
    stored_object object;
    bool erased = false;
};

/// Answer of a watch. `reset` says that the revision is too old: list anew.
struct change_page
{
    std::vector<object_change> changes;
    std::uint64_t revision{};
    bool reset = false;
};

/// Client of the object API. Implementations are thread safe; calls block for
/// at most the implementation's call timeout (watch: plus its own wait).
///
/// Errors of every call: `unavailable` (nothing happened) and `ambiguous`
/// (writes only: it may have happened); reads that time out say
/// `unavailable`.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Reads one object. Also fails with `not_found`.
    virtual result<stored_object> get(const object_key& key) = 0;

    /// Writes one object and returns its new version. Also fails with
    /// `conflict` (the condition did not hold) and `too_large`.
    virtual result<object_version> put(const object_key& key,
                                       std::string_view value,
                                       write_condition condition) = 0;

    /// Removes one object. Also fails with `conflict` and `not_found`.
    virtual status erase(const object_key& key, write_condition condition) = 0;

    /// Lists up to `limit` objects whose key starts with `prefix` and comes
    /// after `after`; values included. A page stays under a few megabytes.
    virtual result<object_page> list(std::string_view prefix,
                                     const object_key& after,
                                     std::size_t limit) = 0;

    /// Waits up to `wait` for changes under `prefix` after `revision`.
    /// An empty page means that the wait ran out.
    virtual result<change_page>
    watch(std::string_view prefix, std::uint64_t revision, duration wait) = 0;
};

} // namespace fennelladder::platform

#endif
