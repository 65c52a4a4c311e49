// What a node knows of the targets of all services, and where a request is
// best sent.
//
//     registry.sync(list.entries(), now);                // the platform's list
//     auto made = registry.choose(request, now, random);
//     registry.started(*made, request, now);
//     ...
//     registry.first_byte(*made, waited, now);
//     registry.finished(*made, true, target_evidence::answered, now);
//
// A choice is the target with the least predicted time until the first byte:
//
//     (tokens to read there that it doesn't hold + tokens that others have it
//      read already) / reading speed + time for what runs there,
//     times how much slower than predicted the target has lately been,
//     plus a penalty for its lately failed requests.
//
// Which target holds a shared part of a prompt is known from own requests;
// besides, all nodes expect it at the target that rendezvous hashing names
// for the part, so that nodes agree without a message and a part is read
// once. When another target is the better choice, it is told to fetch the
// shared parts from the one that holds them, which takes milliseconds where
// reading takes a tenth of a second.
//
// What others send is heard with a lag (set_peer_load). A failing target leaves
// the choice on first-hand evidence and is tried again with one request at a
// time. The list may lag: a target that says it is another life is dropped
// at once.
//
// Targets of an evacuated data centre, and those outside of the regions that a
// request names, are no choice. A cold target is one only for the nodes that
// carry its requests (dispatch/assignment_table.hpp), and for them as often as
// it bears. It is known to be cold by its own word or since its data centre's
// evacuation ended; a target that answers again after it couldn't be reached
// may have started anew, and gets one request a second from each of these nodes
// until that is known.
//
// A target may name a limit of requests from all nodes together. It is a choice
// for the nodes that carry its requests, as often as the limit allows, until an
// answer without the limit; what other nodes were told is heard from them.
//
// A target that said in an answer that it leaves is no choice any more. One
// that turned a request away and asked for rest is none for as long, whatever
// else is left; then one request finds out whether it works again, and others
// go there meanwhile only if all others are ruled out.
//
// What is known is known of one process. When a target starts again under its
// id, its row begins anew; what ends later at the process before, and loads
// that peers have there, are passed over. What a process said of itself goes
// before what the list says of it, and outlives its entry; see
// dispatch/signal_state.hpp.
//
// Cost: choose() is linear in the targets of the service. Not thread safe.

#ifndef FENNELLADDER_DISPATCH_TARGET_REGISTRY_HPP
#define FENNELLADDER_DISPATCH_TARGET_REGISTRY_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/catalog/configuration.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/dispatch/assignment_table.hpp"
#include "fennelladder/dispatch/signal_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelladder::dispatch {

/// A part of a prompt that several requests share.
struct shared_part
{
    std::uint64_t id = 0;
    std::uint32_t size = 0; ///< Tokens.
};

/// What a request asks of a target.
struct routing_request
{
    service_id service;
    bool on_engine = false;
    std::vector<shared_part> prompt;  ///< In order; the last is its own.
    std::uint32_t prompt_size = 0;    ///< Tokens, all parts and the rest.
    duration objective{0};            ///< To the first byte.
    catalog::allowed_regions regions; ///< Where it may run.
    std::vector<catalog::target_process> avoid; ///< Tried already.
};

/// Work given to a target, to be taken back with the same value.
struct assigned_work
{
    std::uint32_t reading = 0; ///< Prompt tokens to be read.
};

struct choice
{
    target_id target;
    catalog::target_start start; ///< Of the process that was chosen.
    std::string address;
    data_center_id data_center;
    assigned_work work;
    duration predicted{0}; ///< Until the first byte, on an average target.
    double cost = 0;       ///< Of the target chosen, in seconds.
    std::size_t candidates = 0;
    int running = 0; ///< There, as known when it was chosen.
    /// Address of a target that holds more of the prompt's shared parts; empty
    /// if there is nothing to gain.
    std::string fetch_from;

    catalog::target_process process() const { return {target, start}; }
};

/// What the end of a request says of its target.
enum class target_evidence : std::uint8_t
{
    answered,    ///< It works.
    failed,      ///< It answered with a failure of its own.
    broke,       ///< The connection ended before the answer did.
    silent,      ///< Nothing came for too long.
    unreachable, ///< No connection could be made.
    full,        ///< It turned the request away.
    other_life,  ///< Another life of a target has its address.
    nothing      ///< Stopped from this side: says nothing.
};

std::string_view to_string(target_evidence value);

/// Why no target can be chosen, the later the nearer it was to be one.
enum class no_target_reason : std::uint8_t
{
    none_usable,     ///< None is listed, or all are gone, or were tried.
    leaving,         ///< Those left say that they leave.
    outside_regions, ///< Those left are outside of the regions allowed.
    evacuated,       ///< Data centres of those left are evacuated.
    cold,            ///< Those left are cold and have got what they bear.
    backing_off,     ///< Those left asked this node for rest.
    limited          ///< Those left name limits and have got what these allow.
};

std::string_view to_string(no_target_reason value);

/// What a service's targets bear while they are cold.
struct cold_start_profile
{
    duration warm_up{0};     ///< From a target's start.
    std::uint32_t limit = 0; ///< Requests in any one second, from all nodes.
};

/// How many requests a node has running at a target.
struct target_load
{
    target_id target;
    std::uint32_t running = 0;
    std::uint32_t reading = 0; ///< Tokens still to be read before answers.
    /// Of the process; not said by nodes of earlier releases.
    catalog::target_start start;
};

/// A target's word on the limit of requests that it takes.
struct limit_signal
{
    target_id target;
    catalog::target_start start;
    std::optional<double> rate; ///< A second, from all nodes; unset: no limit.
    duration ago{0};
};

struct target_registry_options
{
    host_id self;
    data_center_id own_data_center;
    std::map<data_center_id, region_id> regions; ///< Of all data centres.
    assignment_options carriers;
    /// Reading speed assumed of an engine, tokens a second; what a target
    /// really does shows in its slowness. Of the engines measured so far,
    /// 48 to 55 thousand.
    double prefill_speed = 50'000;
    /// Fetching a token from another target, as a part of reading it: engines
    /// are linked at hundreds of gigabits a second, so some milliseconds for
    /// a part that takes a tenth of a second to read.
    double fetch_cost = 0.05;
    /// A shared token that has to be read again counts as this many: the next
    /// requests for it gain as well if it stays in one place.
    double shared_weight = 3;
    /// Fetching less than this is not worth the detour, tokens.
    std::uint32_t min_fetch_tokens = 256;
    /// Time to the first byte that each request running on an engine adds.
    duration delay_per_running = milliseconds(2);
    /// Whether all nodes expect a shared part at the same target before one of
    /// them has sent it there.
    bool predicts_part_holders = true;
    /// Whether what other nodes have running counts.
    bool counts_peer_load = true;
    /// A target that fails all its requests costs this many objectives more.
    double failure_cost = 3;
    /// Service time assumed of a plain service's target.
    duration plain_service_time = milliseconds(50);
    /// Added for a target in another data centre: a round trip and the price
    /// of the bytes.
    duration remote_penalty = milliseconds(4);
    /// Weight of the newest observation in averages.
    double newest_weight = 0.25;
    /// Slowness and failures lately seen are halved in this time, so that a
    /// target that was shunned is tried again.
    duration average_half_life = seconds(3);
    /// First and longest time that an unreachable target is left alone.
    duration initial_backoff = milliseconds(300);
    duration max_backoff = seconds(3);
    /// A target from which nothing came for so long, though requests wait for
    /// it, gets no others as long as there is another. One that is alive
    /// answers some request, or goes on with some stream, several times a
    /// second. 0: never.
    duration max_silence = seconds(1);
    /// A target that turned requests away gets none for this long.
    duration full_backoff = milliseconds(100);
    /// How long a target that left the list is still sent work if it left
    /// while the platform was unwell: entries that lapsed meanwhile come back
    /// within two seconds if the target lives.
    duration lapsed_grace = milliseconds(1500);
    /// A part that was not used for this long counts as gone.
    duration part_retention = seconds(20);
    std::size_t max_parts = 4096; ///< Remembered a target.
};

class target_registry
{
public:
    explicit target_registry(target_registry_options options);

    /// Takes the platform's list. `list_in_doubt`: the platform was unwell
    /// lately, so missing entries may come back. Returns the earlier entries
    /// of targets that started again or have another address: connections made
    /// by these are of no use.
    std::vector<catalog::target_entry>
    sync(const catalog::target_list::entry_map& listed, bool list_in_doubt,
         instant now);

    /// Evacuates these data centres, and no others. Targets of one that was
    /// evacuated count as cold from now: they may have started meanwhile, and
    /// their entries needn't say so yet. Returns their number.
    std::size_t set_evacuated(std::vector<data_center_id> data_centers,
                              instant now);

    /// Services that aren't among these have no cold targets.
    void set_cold_start_profiles(
        std::unordered_map<service_id, cold_start_profile> traits);

    /// The hosts that may carry requests of targets that bear few, see
    /// assignment_table::set_hosts().
    void set_assignable_hosts(std::vector<host_id> first,
                              std::vector<host_id> rest = {});

    /// Takes what an answer of the target says of the target itself. What of
    /// it is news.
    signal_changes note_signals(const catalog::target_process& target,
                                const catalog::target_signals& said,
                                instant now);

    /// Words that this node has got lately of targets that name a limit, or
    /// did so a moment ago, for its peers.
    std::vector<limit_signal> own_limits(instant now) const;

    /// The same from a peer, as of `at`. Those that are news here; older words
    /// than the last are passed over.
    std::vector<limit_signal>
    merge_peer_limits(const std::vector<limit_signal>& words, instant at);

    /// How long it takes until a target that asked for rest may be chosen, if
    /// all others of the request's service that could be are no choice for
    /// longer than a moment; unset if one is, or if none will be. What was
    /// tried already counts as well: this is for the caller's next request.
    std::optional<duration> backoff_wait(const routing_request& request,
                                         instant now) const;

    /// Targets that have told this node lately that they leave, and whose
    /// entries don't say so, for its peers; the newest of them, at most `most`.
    std::vector<catalog::target_process> own_leaving(std::size_t most,
                                                     instant now) const;

    /// The same from a peer. Those that are news here.
    std::vector<catalog::target_process>
    merge_peer_leaving(const std::vector<catalog::target_process>& targets,
                       instant now);

    /// The best target, or nothing when the service has none to offer.
    std::optional<choice> choose(const routing_request& request, instant now,
                                 random_source& random);

    /// Why choose() finds nothing for this request, by the target that was
    /// nearest to be chosen.
    no_target_reason why_no_target(const routing_request& request,
                                   instant now) const;

    /// A request was sent. Every started() is followed by one finished() with
    /// the same choice.
    void started(const choice& made, const routing_request& of, instant now);

    /// The first byte came `waited` after sending; its prompt is read.
    void first_byte(const choice& made, duration waited, instant now);

    /// Bytes of an answer came: the target is alive.
    void note_activity(const catalog::target_process& target, instant now);

    /// The request is over; `read` says whether first_byte() was called.
    void finished(const choice& made, bool read, target_evidence evidence,
                  instant now);

    /// No request was started, but this was learned (a connection failed).
    void note_evidence(const catalog::target_process& target,
                       target_evidence evidence, instant now);

    /// Another node's load, replacing what it said before.
    void set_peer_load(const host_id& peer, std::vector<target_load> load);
    void forget_peer(const host_id& peer);

    /// What this node has running, for its peers.
    std::vector<target_load> own_load() const;

    /// True if the target may take new work now.
    bool may_use(const target_id& target, instant now) const;

    /// The entry of a target that is still known.
    std::optional<catalog::target_entry>
    entry_of(const target_id& target) const;

    std::size_t count(const service_id& service) const;

private:
    struct decaying_average
    {
        double value = 0;
        instant at;
    };

    struct target_state
    {
        catalog::target_entry entry;
        std::optional<instant> usable_until; ///< Left the list in doubt.
        bool gone = false;                   ///< Left the list.
        bool address_reused = false;         ///< Its address is another's.
        int running = 0;
        std::int64_t reading = 0;
        int peers_running = 0;
        std::int64_t peers_reading = 0;
        decaying_average log_slowness; ///< Natural logarithm; 0: as predicted.
        decaying_average failures;     ///< Share, 0 to 1.
        instant backoff_until;
        int awaiting_first_byte = 0; ///< Requests without a first byte.
        instant
            silent_since; ///< Nothing came since, or nothing was waited for.
        int consecutive_backoffs = 0; ///< In a row.
        bool probe_pending =
            false; ///< It had asked for rest and took none since.
        bool probe_running = false; ///< One request finds out whether it works.
        std::unordered_map<std::uint64_t, instant> parts; ///< Last use.
        signal_state signals;     ///< By the process itself.
        instant maybe_cold_until; ///< It may have started anew, unannounced.
        recent_sends sends;       ///< While it is rationed.
    };

    using state_map = std::map<target_id, target_state>;

    double decayed(const decaying_average& of, instant now) const;
    void observe(decaying_average& of, double value, instant now) const;
    static bool is_gone(const target_state& it, instant now);
    static bool is_leaving(const target_state& it);
    bool is_evacuated(const target_state& it) const;
    bool usable(const target_state& it, instant now) const;
    std::optional<no_target_reason>
    exclusion_reason(const target_state& it, const routing_request& request,
                     instant now) const;
    const cold_start_profile* traits_of(const target_state& it) const;
    std::optional<std::uint32_t> cold_quota(const target_state& it,
                                            instant now) const;
    bool cold_quota_used_up(const target_state& it, instant now) const;
    std::optional<std::uint32_t> limited_quota(const target_state& it,
                                               instant now) const;
    bool limited_quota_used_up(const target_state& it, instant now) const;
    bool is_outside(const target_state& it,
                    const routing_request& request) const;
    bool was_tried(const target_state& it,
                   const routing_request& request) const;
    void suspect_restart(target_state& it, instant now) const;
    bool is_backing_off(const target_state& it, instant now) const;
    static bool backoff_requested(const target_state& it, instant now);
    static void end_probe(target_state& it, instant now);
    bool is_silent(const target_state& it, instant now) const;
    std::uint32_t held_tokens(const target_state& it,
                              const routing_request& request,
                              bool expected_here, instant now) const;
    const target_state*
    expected_holder(const std::vector<target_state*>& candidates,
                    const routing_request& request, instant now) const;
    double predicted_seconds(const target_state& it,
                             const routing_request& request,
                             std::uint32_t reading) const;
    double cost(const target_state& it, const routing_request& request,
                double predicted, instant now) const;
    void back_off(target_state& it, duration first, instant now);
    static void mark_active(target_state& it, instant now);
    void trim_parts(target_state& it, instant now) const;
    /// Null unless this process is the one that is known of its id.
    target_state* find(const catalog::target_process& target);
    target_state* find(const target_load& load);
    static void apply_entry(target_state& it,
                            const catalog::target_entry& entry, instant now,
                            std::vector<catalog::target_entry>& replaced);
    static void forget_address(target_state& it);
    void recount_peers();
    void add_peer(const std::vector<target_load>& load, int sign);

    target_registry_options options_;
    assignment_table carriers_;
    std::vector<data_center_id> evacuated_; ///< Sorted.
    std::unordered_map<service_id, cold_start_profile> cold_traits_;
    state_map targets_;
    std::unordered_map<service_id, std::vector<target_id>> by_service_;
    std::map<host_id, std::vector<target_load>> peer_loads_;
};

/// The part of a prompt by which requests are brought together: the last one
/// that is not the request's own. Nothing without a prompt.
std::optional<std::uint64_t> affinity_part(std::span<const shared_part> prompt);

} // namespace fennelladder::dispatch

#endif
