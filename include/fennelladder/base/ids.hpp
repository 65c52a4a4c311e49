// Strong types for names and numbers that identify things.
//
// Each kind of id is a type of its own, so that a team can't be passed where
// a budget is expected. Ids can be compared, hashed and printed; they have no
// implicit conversions.
//
//     team_id team("spoke-and-sprocket");
//     std::unordered_map<budget_id, tokens> left;

#ifndef FENNELLADDER_BASE_IDS_HPP
#define FENNELLADDER_BASE_IDS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace fennelladder {

/// An id whose value is text. `Tag` only makes the types distinct.
template <class Tag>
class text_id
{
public:
    text_id() = default;

    explicit text_id(std::string text) : text_(std::move(text)) {}

    const std::string& str() const { return text_; }

    bool empty() const { return text_.empty(); }

    friend auto operator<=>(const text_id&, const text_id&) = default;

    friend std::ostream& operator<<(std::ostream& out, const text_id& id)
    {
        return out << id.text_;
    }

private:
    std::string text_;
};

/// An id or counter whose value is a number. `Tag` only makes the types
/// distinct.
template <class Tag>
class number_id
{
public:
    constexpr number_id() = default;

    constexpr explicit number_id(std::uint64_t value) : value_(value) {}

    constexpr std::uint64_t value() const { return value_; }

    /// The id after this one.
    constexpr number_id next() const { return number_id(value_ + 1); }

    friend constexpr auto operator<=>(const number_id&,
                                      const number_id&) = default;

    friend std::ostream& operator<<(std::ostream& out, const number_id& id)
    {
        return out << id.value_;
    }

private:
    std::uint64_t value_ = 0;
};

using team_id = text_id<struct team_tag>;
using budget_id = text_id<struct budget_tag>;
using target_id = text_id<struct target_tag>;
using host_id = text_id<struct host_tag>;
using data_center_id = text_id<struct data_center_tag>;
using region_id = text_id<struct region_tag>;
using model_id = text_id<struct model_tag>;
using model_version = text_id<struct model_version_tag>;
using adapter_id = text_id<struct adapter_tag>;
using service_id = text_id<struct service_tag>;
using caller_kind = text_id<struct caller_kind_tag>;
using caller_id = text_id<struct caller_tag>;
using topup_id = text_id<struct topup_tag>;
using apply_id = text_id<struct apply_tag>;

/// Identifies a request within its team. Chosen by the caller, or by the node
/// if there is no Idempotency-Key; all retries of a request carry the same key.
using request_key = text_id<struct request_key_tag>;

/// Identifies one arrival of a request at a node; retries with the same key
/// have different request ids.
using request_id = text_id<struct request_id_tag>;

/// One incarnation of a node process, its run from start to end: the host's
/// name, then a number that no later incarnation on that host reuses, such as
/// "austin-1.18c2f0a97b3d1e44".
using incarnation_id = text_id<struct incarnation_tag>;

/// Number of an accepted configuration; each accepted one increments it.
using generation = number_id<struct generation_tag>;

/// Version number of one object of the object API.
using object_version = number_id<struct object_version_tag>;

/// Partition of the keyspace that is served by one journal.
using shard_id = number_id<struct shard_tag>;

/// Fencing number of an order to a target.
using fencing_number = number_id<struct fencing_tag>;

} // namespace fennelladder

namespace std {

template <class Tag>
struct hash<fennelladder::text_id<Tag>>
{
    size_t operator()(const fennelladder::text_id<Tag>& id) const
    {
        return hash<string>()(id.str());
    }
};

template <class Tag>
struct hash<fennelladder::number_id<Tag>>
{
    size_t operator()(const fennelladder::number_id<Tag>& id) const
    {
        return hash<uint64_t>()(id.value());
    }
};

} // namespace std

#endif
