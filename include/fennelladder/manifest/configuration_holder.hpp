// Which configuration a node has in force, and whom it asks for a newer one.
//
// A pure state machine: events go in, fetches come out. The shell around it
// owns the watch, the connections and the clock:
//
//     configuration_holder holder(options, random, now);
//     holder.on_watch(root_bytes, now);               // from the watch
//     holder.on_announcement(peer, {generation, hash}); // from heartbeats
//     for (const fetch& it : holder.step(now))        // at next_step()
//         start(it);                                  // ... and later:
//     holder.on_answer(it.call, bytes_or_error, now);
//     slot.store(holder.in_force());
//
// Promises, whatever is lost, late, doubled, stale or damaged:
//   * the generation in force never goes down, nor does the highest seen;
//   * what is in force is what was accepted under its generation: the root
//     vouches for itself by checksum, each part by the hash that names it;
//   * no work is taken before there is a configuration, nor right after a
//     long pause until someone confirmed the one in force (or nobody could).
//
// News comes three ways, each enough by itself: the platform's watch, which
// may have gone silent; a poll; and peers' heartbeats, which also work while
// the platform is down. Parts come from peers that have them in force, else
// from the platform, whose load a change spreads over some seconds.
//
// Caveat: a peer is believed when its bytes hash right. Peers fail, but they
// don't lie.

#ifndef FENNELLADDER_MANIFEST_CONFIGURATION_HOLDER_HPP
#define FENNELLADDER_MANIFEST_CONFIGURATION_HOLDER_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/manifest/active_manifest.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fennelladder::manifest {

struct holder_options
{
    /// Mean time between looks at the root. With jitter a poll comes after at
    /// most one and a half times this, so a node whose watch is silent and
    /// whose peers are away is still within 13 s.
    duration poll_every = seconds(6);

    /// After this a call counts as failed; its answer is still used.
    duration call_timeout = seconds(2);

    /// Calls under way at one time.
    std::size_t max_calls = 4;

    /// Reads a second that the whole fleet may ask of the platform when a
    /// change is accepted.
    double fleet_reads_per_second = 200;

    /// Missing parts from which on the platform's listing is read in place of
    /// single parts: a few large pages.
    std::size_t list_from = 32;

    /// First and longest time for which a source that failed is left alone.
    duration first_backoff = milliseconds(250);
    duration longest_backoff = seconds(5);

    /// A longer time between two steps means that the node was paused.
    /// Precondition: longer than call_timeout.
    duration pause_length = seconds(5);

    /// How long a node that was paused waits for a confirmation.
    duration confirm_wait = seconds(2);
};

using call_number = number_id<struct call_number_tag>;

/// What a peer says it has in force.
struct announcement
{
    generation number;
    configuration_hash hash;
};

enum class fetch_kind : std::uint8_t
{
    root, ///< The root object; from a peer, the root that it has in force.
    part, ///< One part.
    parts ///< A page of the listing below part_prefix(); platform only.
};

/// A call that the shell is to make. It ends in on_answer() (root and part) or
/// on_page() (parts), once, in any order, however late.
struct fetch
{
    call_number call;
    fetch_kind what = fetch_kind::root;
    incarnation_id peer;        ///< Empty: ask the platform.
    part_hash part;             ///< Of kind `part`.
    platform::object_key after; ///< Of kind `parts`.

    bool from_platform() const { return peer.empty(); }
};

/// Something for the log.
struct holder_note
{
    int event = 0; ///< Number in docs/EVENTS.md.
    std::string message;
};

/// Calls made so far.
struct holder_counts
{
    std::uint64_t platform_calls = 0;
    std::uint64_t peer_calls = 0;
};

/// Not thread safe: the shell calls it under one lock, and hands in_force() to
/// an active_manifest_slot for everyone else. Memory: the configuration in
/// force and the parts that the next one has anew.
class configuration_holder
{
public:
    configuration_holder(holder_options options, random_source random,
                         instant now);

    /// The watch brought a new root.
    void on_watch(std::string_view root_bytes, instant now);

    /// A peer said what it has in force.
    void on_announcement(const incarnation_id& peer, const announcement& what);

    /// A peer left or died.
    void on_peer_gone(const incarnation_id& peer);

    /// Number of nodes, a hint that spreads the load on the platform.
    void set_fleet_size(std::size_t nodes) { fleet_size_ = nodes; }

    /// A call ended. Unknown calls are passed over.
    void on_answer(call_number call, const result<std::string>& bytes,
                   instant now);
    void on_page(call_number call, const result<platform::object_page>& page,
                 instant now);

    /// Calls to be made now. Call it at next_step() and after every event;
    /// much later than next_step() means that the node was paused.
    std::vector<fetch> step(instant now);

    /// When step() next has something to do, events aside.
    instant next_step() const;

    /// What is in force, or nullptr.
    std::shared_ptr<const active_manifest> in_force() const
    {
        return in_force_;
    }

    /// What heartbeats carry: generation 0 when nothing is in force.
    announcement announce() const;

    generation highest_seen() const { return highest_; }

    /// Whether new requests may be taken.
    bool may_take_work(instant now) const;

    const holder_counts& counts() const { return counts_; }

    /// Notes since the last time.
    std::vector<holder_note> take_notes();

private:
    // Someone who can be asked; left alone until `rested` after failures.
    struct source_state
    {
        announcement said;
        instant rested;
        int failures = 0;
    };

    struct candidate
    {
        root accepted;
        std::optional<directory> names;
        std::set<part_hash> missing;
        instant from_platform; ///< Not asked before.
        bool listed = false;   ///< The listing was read to its end.
        platform::object_key listed_to;
    };

    struct open_call
    {
        fetch what;
        instant deadline;
    };

    void accept_root(std::string_view bytes, const incarnation_id& from,
                     instant now);
    void consider(const root& accepted, instant now);
    void confirm(const root& accepted);
    void accept_part(const std::string& bytes);
    void load_names();
    void try_activate();
    part_bytes find_part(const part_hash& name) const;

    void expire_calls(instant now);
    void notice_pause(instant now);
    void fetch_roots(instant now, std::vector<fetch>& out);
    void fetch_parts(instant now, std::vector<fetch>& out);
    bool fetch_listing(instant now, std::vector<fetch>& out);
    void fetch_part(const part_hash& name, instant now,
                    std::vector<fetch>& out);
    bool start(fetch what, instant now, std::vector<fetch>& out);
    bool under_way(fetch_kind what, const incarnation_id& peer) const;
    bool part_under_way(const part_hash& name) const;
    std::optional<incarnation_id> pick_peer(instant now);
    void failed(const incarnation_id& source, instant now);
    void succeeded(const incarnation_id& source);
    source_state* find_source(const incarnation_id& source);
    void note(int event, std::string message);

    holder_options options_;
    random_source random_;
    std::size_t fleet_size_ = 1;

    // highest_ is the generation of the newest valid root ever held, and
    // highest_hash_ its hash. in_force_ is at most that and only ever
    // replaced by a higher one. candidate_, when set, is the newest root and
    // not in force yet; collected_ has parts for it that in_force_ lacks.
    std::shared_ptr<const active_manifest> in_force_;
    generation highest_;
    configuration_hash highest_hash_;
    std::optional<candidate> candidate_;
    part_map collected_;

    std::map<incarnation_id, source_state> peers_;
    source_state platform_;
    std::map<call_number, open_call> calls_;
    call_number last_call_;
    instant next_poll_;
    instant last_step_;

    // After a pause: unset again by a confirmation.
    std::optional<instant> unconfirmed_until_;
    bool ask_any_peer_ = false;

    holder_counts counts_;
    std::vector<holder_note> notes_;
};

} // namespace fennelladder::manifest

#endif
