// Which software version began each resumable stream.
//
// Targets of several software versions may serve a service side by side. What
// two versions write doesn't fit together, and targets don't check it, so a
// stream may be resumed only at a target of the version that began it, also
// when its caller comes back to another node because the first one died.
//
// The node that sends a request for a resumable stream to a target tells a few
// other nodes, before the target can answer:
//
//     origins.note({key, service, version, attempt}, now);
//     for (const host_id& it : stream_record_holders(key, hosts, 3))
//         ... send the record ...
//
// The node to which the caller comes back asks the nodes that rendezvous
// hashing ranks first for the stream, and decides:
//
//     switch (decide_resumption(evidence)) ...
//
// Not thread safe, but for the functions without state.

#ifndef FENNELLADDER_DISPATCH_STREAM_ORIGINS_HPP
#define FENNELLADDER_DISPATCH_STREAM_ORIGINS_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/dispatch/request_fingerprint.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fennelladder::dispatch {

/// Identifies a stream: one attempt of a caller.
using stream_key = number_id<struct stream_key_tag>;

/// `request` is the id of the caller's attempt. The team is part of the key: a
/// caller that states another team's id finds nothing.
stream_key stream_key_of(std::string_view request, const team_id& team);

/// The same for callers that don't name the attempt: by what a caller sends
/// again with each attempt. Streams that are asked for with the same words
/// share it; the one that began last counts.
stream_key stream_key_of(request_fingerprint content,
                         std::span<const std::uint64_t> prompt);

/// Where a stream began.
struct stream_origin
{
    stream_key key;
    service_id service;
    catalog::software_version version;
    /// Of the attempts of one request before its first event, which may have
    /// been sent to different versions, the last one counts. 0 in a record
    /// that isn't of one request.
    std::uint32_t attempt = 0;

    friend bool operator==(const stream_origin&,
                           const stream_origin&) = default;
};

/// A record as of now, with the time since it was made.
struct aged_origin
{
    stream_origin origin;
    duration age{0};
};

struct stream_origin_options
{
    /// How long a record is kept: longer than callers come back.
    duration retention = seconds(60);
    std::size_t max_records = 65'536; ///< The oldest ones are dropped.
};

class stream_origin_table
{
public:
    explicit stream_origin_table(stream_origin_options options = {});

    /// Adds a record that was made `age` ago, or replaces the known one, unless
    /// that has a later attempt, or the same and was made later.
    void note(const stream_origin& origin, instant now,
              duration age = duration(0));

    std::optional<aged_origin> find(stream_key key, instant now) const;

    /// Records made within `span`, the newest last.
    std::vector<aged_origin> recent(duration span, instant now) const;

    std::size_t size() const { return records_.size(); }
    const stream_origin_options& options() const { return options_; }

private:
    struct record
    {
        stream_origin origin;
        instant made;
    };

    void evict(instant now);

    stream_origin_options options_;
    std::unordered_map<stream_key, record> records_;
    std::deque<std::pair<stream_key, instant>> by_age_; ///< As added.
};

/// The software versions that a service had within some span, as far as known.
struct recent_versions
{
    std::set<catalog::software_version> versions;
    bool complete = false; ///< There were no others.

    /// Adds what another node knows.
    void merge(const recent_versions& other);

    /// The version, if there was only one as far as known.
    std::optional<catalog::software_version> only_known() const;

    /// The version, if there was only one.
    std::optional<catalog::software_version> only() const;
};

/// The software versions that each service had of late.
///
///     history.note_changes(changes, now);   // each change that was seen
///     history.sync(list.entries(), now);    // the list after them
///     history.confirm(at, true);            // the list was current at `at`
///
/// A version may come, begin streams and go while this process doesn't follow
/// the list, since it stands still or is cut off. It is then in no list. So the
/// history is known only since the last gap between two confirmations, unless
/// the changes within the gap were seen one by one.
class version_history
{
public:
    /// `max_gap` is shorter than any target is listed.
    version_history(duration span, duration max_gap)
        : span_(span), max_gap_(max_gap)
    {}

    /// Applies the list of targets. Call after each change of the list.
    void sync(const catalog::target_list::entry_map& listed, instant now);

    /// Adds the versions in changes of the list, which may be gone again.
    void note_changes(std::span<const catalog::target_change> changes,
                      instant now);

    /// Records that the list was current at `at`. `follows_all`: all changes
    /// before that were passed to note_changes(). Has no effect if a later
    /// confirmation is recorded.
    void confirm(instant at, bool follows_all);

    /// When the list was current last; unset if it never was.
    const std::optional<instant>& confirmed_at() const { return confirmed_at_; }

    /// The versions of the service within the span: complete if the list was
    /// followed for that long, or if earlier processes recorded what they knew
    /// and the list was followed since that was read.
    recent_versions of(const service_id& service, instant now) const;

    using version_map =
        std::map<service_id, std::set<catalog::software_version>>;

    /// Adds all versions that any process had recorded by `now`.
    void add_recorded(const version_map& recorded, instant now);

    /// Whether add_recorded() was called since the last gap.
    bool has_recorded() const
    {
        return recorded_at_ &&
               (!known_since_ || *known_since_ <= *recorded_at_);
    }

    /// Whether the list was followed for the whole span.
    bool covers_span(instant now) const
    {
        return is_followed(now) && now - *known_since_ >= span_;
    }

    /// The versions of all services within the span, as far as known.
    version_map all(instant now) const;

private:
    /// When a version was last listed; unset while it is.
    using last_listed =
        std::map<catalog::software_version, std::optional<instant>>;

    bool is_followed(instant now) const
    {
        return known_since_ && confirmed_at_ &&
               now - *confirmed_at_ <= max_gap_;
    }

    duration span_;
    duration max_gap_;
    std::optional<instant> known_since_; ///< Without a gap.
    std::optional<instant> confirmed_at_;
    std::map<service_id, last_listed> versions_;
    version_map recorded_;
    std::optional<instant> recorded_at_;
};

/// A node that may hold the record of a stream.
struct record_holder
{
    host_id host;
    data_center_id data_center;
};

/// The hosts that rendezvous hashing ranks first for the stream, at most
/// `most`, in different data centres as far as there are.
std::vector<host_id>
stream_record_holders(stream_key key, const std::vector<record_holder>& hosts,
                      std::size_t most);

/// What is known about a stream that its caller asks to resume.
struct resumption_evidence
{
    std::optional<stream_origin> origin; ///< From a record.
    recent_versions versions;            ///< As this node and others know them.
    /// The list of targets was confirmed after the caller had asked: a version
    /// that began the stream is listed there, or was before.
    bool list_confirmed = false;
    service_id service;          ///< Of the request's route.
    bool has_one_service = true; ///< The route has no other.
};

enum class resumption : std::uint8_t
{
    at_origin,     ///< At the version of the record.
    at_only,       ///< At the only version.
    wait_for_list, ///< At the only version, once the list is confirmed.
    other_service, ///< The route leads to another service now: refuse.
    unknown        ///< Any version may have begun it: refuse.
};

std::string_view to_string(resumption value);

resumption decide_resumption(const resumption_evidence& evidence);

} // namespace fennelladder::dispatch

#endif
