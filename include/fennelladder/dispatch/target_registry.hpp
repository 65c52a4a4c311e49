// State that a node keeps of the targets of all services, and the selection of
// a target for each request.
//
//     registry.sync(list.entries(), in_doubt, now);  // the platform's list
//     auto made = registry.choose(request, now, random);
//     target_use use = registry.started(*made, request, now);
//     ...
//     registry.first_byte(use, waited, now);
//     registry.finished(std::move(use), target_evidence::answered, now);
//
// choose() returns the target with the lowest cost, which is based on the
// predicted time to the first byte:
//
//     (prompt tokens that the target would have to prefill + tokens that other
//      requests have it prefill already) / prefill speed + time for the
//      requests running there,
//     times the target's recent slowness (measured / predicted time),
//     plus a penalty for its recently failed requests.
//
// With target_registry_options::uses_service_curves, the prediction for engines
// comes from measured curves (dispatch/service_curve.hpp) instead, and slowness
// isn't counted. Loads that peers report are up to 1.5 s old, and prompts are
// read within a tenth of a second, so the tokens that peers have a target read
// aren't counted. Nodes that see the same reports would all choose the same
// target until the next ones. Against this, the cost includes the work that
// this node itself recently sent to the target, and a random time, in
// proportion to the share of the load that other nodes cause. Engines admit
// urgent requests first, so that only tokens of requests that are at least as
// urgent count as ahead of a request, as far as this node sent them; less
// urgent ones avoid targets where urgent ones wait.
//
// With target_registry_options::bounds_memory, an engine isn't eligible if the
// tokens that the requests there may use at most, and those of the request,
// exceed its memory.
//
// A node knows from its own requests which target holds a shared part of a
// prompt. In addition, all nodes expect a part at the target that rendezvous
// hashing selects for it, so that nodes agree without exchanging messages and
// a part is prefilled once. When another target is the better choice, it is
// told to fetch the shared parts from the one that holds them: that takes
// milliseconds, while prefill takes a tenth of a second.
//
// The load that other nodes put on targets is known with a delay
// (set_peer_load). An unreachable target is excluded on this node's own
// evidence and probed with one request at a time. The platform's list may be
// stale: a target whose address turns out to belong to another incarnation is
// excluded at once.
//
// If no target of a service can be connected to, and no peer hears from any,
// requests are not sent there: each would wait for several connects that fail.
// The probes of lost targets find out when that is over.
//
// A target that only peers reach (see dispatch/reach_table.hpp) is eligible
// too: the choice then says that the request has to be relayed, and failures to
// connect to it from here don't exclude it.
//
// A request that resumes a stream may name the software version that began it.
// Only targets of that version are eligible, whatever else speaks for others.
//
// Targets of an evacuated data centre, and targets outside the regions that a
// request allows, are not eligible. A cold target is eligible only on the
// nodes assigned to it (dispatch/assignment_table.hpp), within their quotas.
// It is cold by its own signal, by its entry, or because the evacuation of its
// data centre ended. A target that answers again after it was unreachable may
// have restarted: until that is known, each assigned node sends it at most one
// request a second.
//
// A target may announce a limit on the requests from all nodes together. It is
// then eligible on its assigned nodes only, within their quotas, until an
// answer comes without the limit. Peers report the limits announced to them.
//
// A target may announce that it is brittle: it fails if it has to reject more
// than some requests in a second, of all nodes together. Nodes can't know its
// room at each moment, so each has a part of its slots and uses no more of it
// at a time. A node that has none, because there are more hosts than slots, may
// send one request at a time while less than half of the slots are known to be
// taken; not so a request that was rejected before, which would go from one
// full target to the next. The bound holds for the parts; one request of each
// of many such nodes at the same moment may exceed it. A target that rejected a
// request gets none from this node for a second. The targets of a service are
// taken for brittle once one of them says so, until they say otherwise.
//
// A target that announced in an answer that it is leaving is not eligible any
// more. One that rejected a request and asked for backoff is not eligible for
// that time, even if no other target is left; afterwards one request probes
// it, and others go there meanwhile only if all other targets are excluded.
//
// All state belongs to one process of a target. When a target restarts under
// its id, its state is reset; requests that end later at the previous process,
// and the load that peers have there, are ignored. A request counts at the
// entry that was listed when it started (dispatch/target_use.hpp), so an entry
// that was removed, or replaced, meanwhile gets no end of it. Signals of a
// process take precedence over its entry in the list and outlive that entry;
// see dispatch/signal_state.hpp.
//
// Cost: choose() is linear in the number of the service's targets. Not thread
// safe.

#ifndef FENNELLADDER_DISPATCH_TARGET_REGISTRY_HPP
#define FENNELLADDER_DISPATCH_TARGET_REGISTRY_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/catalog/configuration.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/dispatch/assignment_table.hpp"
#include "fennelladder/dispatch/reach_table.hpp"
#include "fennelladder/dispatch/service_curve.hpp"
#include "fennelladder/dispatch/signal_state.hpp"
#include "fennelladder/dispatch/target_use.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelladder::dispatch {

/// A part of a prompt, usually shared by several requests.
struct shared_part
{
    std::uint64_t id = 0;
    std::uint32_t size = 0; ///< Tokens.
};

/// What a request needs of a target.
struct routing_request
{
    service_id service;
    bool on_engine = false;
    std::vector<shared_part> prompt;  ///< In order; the last is unshared.
    std::uint32_t prompt_size = 0;    ///< Tokens, all parts and the rest.
    std::uint32_t max_tokens = 0;     ///< That it may use: prompt and answer.
    std::uint64_t target_memory = 0;  ///< Of an engine, in tokens; 0: unknown.
    int urgency = 0;                  ///< 0 is the most urgent.
    duration objective{0};            ///< Of the time to the first byte.
    catalog::allowed_regions regions; ///< Where it may run.
    std::vector<catalog::target_process> avoid; ///< Tried already.
    bool was_rejected = false; ///< By a target that it was sent to before.
    /// It may crash its target: the one with the fewest requests is chosen,
    /// whatever the cost.
    bool isolated = false;
    /// The software version that it may run at, to resume a stream; unset: any.
    std::optional<catalog::software_version> software;
};

/// What the end of a request shows about its target.
enum class target_evidence : std::uint8_t
{
    answered,    ///< It works.
    failed,      ///< It answered with an error of its own.
    broke,       ///< The connection ended before the answer did.
    silent,      ///< No bytes came until the timeout.
    unreachable, ///< No connection could be made.
    full,        ///< It rejected the request.
    other_life,  ///< Another incarnation or target has its address.
    nothing      ///< Stopped by this node: no evidence.
};

std::string_view to_string(target_evidence value);

/// Why a target isn't eligible. Ordered: the later the value, the closer the
/// target is to being eligible.
enum class no_target_reason : std::uint8_t
{
    /// No target is listed, or it is gone or was tried already.
    none_usable,
    too_large,       ///< The request may use more tokens than it holds.
    other_version,   ///< It can't resume the stream: another version began it.
    leaving,         ///< It announced that it is leaving.
    outside_regions, ///< Its region isn't allowed.
    evacuated,       ///< Its data centre is evacuated.
    cold,            ///< It is cold, and this node's quota is used up.
    unreached,       ///< Like all others of the service, by any node.
    backing_off,     ///< It asked this node for backoff.
    limited,         ///< It announced a limit; this node's quota is used up.
    no_room,         ///< It is brittle, and this node's places are taken.
    no_memory        ///< The requests there may use up its memory.
};

std::string_view to_string(no_target_reason value);

/// Capacity of a service's targets while they are cold.
struct cold_start_profile
{
    duration warm_up{0};     ///< How long a target is cold after its start.
    std::uint32_t limit = 0; ///< Requests in any second, from all nodes.
};

/// How many requests a node has running at a target.
struct target_load
{
    target_id target;
    std::uint32_t running = 0;
    std::uint32_t reading = 0; ///< Prompt tokens still to prefill.
    /// Of the process; unset from nodes of earlier releases.
    catalog::target_start start;
    /// Tokens that the requests may use at most. 0 if the peer doesn't report
    /// them: each request then counts as the average of the service here.
    std::uint64_t max_tokens = 0;
};

/// The request limit that a target announced, or the rejections a second that
/// it survives.
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
    assignment_options assignment;
    /// Prefill speed assumed of an engine, tokens a second; deviations show in
    /// the target's slowness. Known engines do 48 to 55 thousand.
    double prefill_speed = 50'000;
    /// Cost of fetching a token from another target, relative to its prefill:
    /// engines are linked at hundreds of gigabits a second, so it takes some
    /// milliseconds for a part whose prefill takes a tenth of a second.
    double fetch_cost = 0.05;
    /// A shared token that has to be prefilled again counts as this many: if
    /// it stays in one place, the next requests for it gain as well.
    double shared_weight = 3;
    /// Fewer tokens than this aren't worth a fetch.
    std::uint32_t min_fetch_tokens = 256;
    /// Time to the first byte that each request running on an engine adds.
    duration delay_per_running = milliseconds(2);
    /// Whether all nodes expect a shared part at the same target before any of
    /// them has sent it there.
    bool predicts_part_holders = true;
    /// Predicts with measured curves of each engine. Plain targets keep the
    /// rule above: their curves may not differ enough from their service's.
    bool uses_service_curves = false;
    /// Keeps the tokens of an engine's requests within its memory.
    bool bounds_memory = false;
    service_curve_options curve;
    /// With curves: cost of a second that this node recently had the target
    /// work, in seconds.
    double recent_work_weight = 4;
    duration recent_work_half_life = seconds(60);
    /// A target that got less recent work than the mean counts as this much
    /// below it at most: one that was not eligible before gets no burst.
    duration max_work_credit = milliseconds(50);
    /// With curves: mean of a random time added to each target's cost, if all
    /// load there is that of peers, whose latest requests aren't known yet.
    duration choice_spread = milliseconds(100);
    /// Whether the load of other nodes counts.
    bool counts_peer_load = true;
    /// Cost added for a target that fails all its requests, as a multiple of
    /// the request's objective.
    double failure_cost = 3;
    /// Service time assumed of a plain service's target.
    duration plain_service_time = milliseconds(50);
    /// Cost added for a target in another data centre: a round trip and the
    /// price of the traffic.
    duration remote_penalty = milliseconds(4);
    /// Weight of the newest observation in moving averages.
    double newest_weight = 0.25;
    /// Half-life of observed slowness and failures, so that a target that was
    /// avoided is tried again.
    duration average_half_life = seconds(3);
    /// Initial and longest backoff from an unreachable target.
    duration initial_backoff = milliseconds(300);
    duration max_backoff = seconds(3);
    /// A target that sends nothing for this long while requests wait for it
    /// gets no others as long as there is another target. A live one answers
    /// some request, or continues some stream, several times a second. 0: no
    /// such limit.
    duration max_silence = seconds(1);
    /// Backoff from a target that rejected a request.
    duration full_backoff = milliseconds(100);
    /// The same if it is brittle: the time in which rejections are counted.
    duration brittle_backoff = seconds(1);
    /// Share of a brittle target's slots below which nodes without a part of
    /// their own may use it.
    double shared_room = 0.5;
    /// How long a target that disappeared from the list while the platform was
    /// degraded stays eligible: entries that expired meanwhile come back within
    /// two seconds if the target is alive.
    duration lapsed_grace = milliseconds(1500);
    /// A part that was not used for this long counts as evicted.
    duration part_retention = seconds(20);
    std::size_t max_parts = 4096; ///< Remembered per target.
    reach_options reach;
};

class target_registry
{
public:
    explicit target_registry(target_registry_options options);
    target_registry(const target_registry&) = delete;
    target_registry& operator=(const target_registry&) = delete;
    target_registry(target_registry&&) = default;
    target_registry& operator=(target_registry&&) = default;

    /// Applies the platform's list. `list_in_doubt`: the platform was recently
    /// degraded, so missing entries may come back. Returns the previous entries
    /// of targets that restarted or moved to another address: connections made
    /// by these are stale.
    std::vector<catalog::target_entry>
    sync(const catalog::target_list::entry_map& listed, bool list_in_doubt,
         instant now);

    /// Sets the evacuated data centres. Targets of one whose evacuation ends
    /// count as cold from now: they may have restarted meanwhile, and their
    /// entries may not say so yet. Returns their number.
    std::size_t set_evacuated(std::vector<data_center_id> data_centers,
                              instant now);

    /// Targets of services without a profile never count as cold.
    void set_cold_start_profiles(
        std::unordered_map<service_id, cold_start_profile> profiles);

    /// The hosts that cold and limited targets may be assigned to, see
    /// assignment_table::set_hosts().
    void set_assignable_hosts(std::vector<host_id> first,
                              std::vector<host_id> rest = {});

    /// Applies the signals in an answer of the target. Returns which of them
    /// changed its state.
    signal_changes note_signals(const catalog::target_process& target,
                                const catalog::target_signals& signals,
                                instant now);

    /// Recent limit signals to this node, for its peers, from targets that
    /// announce a limit or did so a moment ago.
    std::vector<limit_signal> own_limits(instant now) const;

    /// Applies a peer's limit signals, as of `at`. Returns those that changed
    /// something here; signals older than the last one are ignored.
    std::vector<limit_signal>
    merge_peer_limits(const std::vector<limit_signal>& signals, instant at);

    /// The same for targets that are brittle.
    std::vector<limit_signal> own_brittle(instant now) const;
    std::vector<limit_signal>
    merge_peer_brittle(const std::vector<limit_signal>& signals, instant at);

    /// How long until the first target that asked for backoff is eligible
    /// again. Unset if a target of the request's service is eligible, or will
    /// be in a moment (cold or limited), or if none asked for backoff.
    /// `avoid` is ignored, since this is for the caller's next request.
    std::optional<duration> backoff_wait(const routing_request& request,
                                         instant now) const;

    /// Whether a target may take the request now or later: it has the version,
    /// stays, and is in a region that is allowed. `avoid` is ignored.
    bool may_take_later(const routing_request& request, instant now) const;

    /// For peers: targets that recently announced to this node that they are
    /// leaving, and whose entries don't say so. The newest, at most `most`.
    std::vector<catalog::target_process> own_leaving(std::size_t most,
                                                     instant now) const;

    /// Applies leaving targets reported by a peer. Returns those that are new
    /// here.
    std::vector<catalog::target_process>
    merge_peer_leaving(const std::vector<catalog::target_process>& targets,
                       instant now);

    /// The eligible target with the lowest cost, or nothing if there is none.
    std::optional<choice> choose(const routing_request& request, instant now,
                                 random_source& random);

    /// Why choose() finds nothing for this request, by the target that is
    /// closest to being eligible.
    no_target_reason why_no_target(const routing_request& request,
                                   instant now) const;

    /// A request is about to be sent. It counts at the target until its use
    /// ends. One whose process is no longer listed at the address chosen counts
    /// nowhere.
    [[nodiscard]] target_use started(const choice& made,
                                     const routing_request& of, instant now);

    /// The first byte came `waited` after sending, so the prefill is done.
    /// Later calls for the same use have no effect.
    void first_byte(target_use& use, duration waited, instant now);

    /// Bytes of an answer came, so the target is alive.
    void note_activity(const target_use& use, instant now);

    /// The request is over.
    void finished(target_use use, target_evidence evidence, instant now);

    /// Records evidence that doesn't come from a started request, such as a
    /// failed connection.
    void note_evidence(const catalog::target_process& target,
                       target_evidence evidence, instant now);

    /// A peer saw the process die at `died`. Ignored if this node heard from it
    /// since.
    void note_reported_death(const catalog::target_process& target,
                             instant died, instant now);

    /// Replaces the load that another node reported before.
    void set_peer_load(const host_id& peer, std::vector<target_load> load);
    void forget_peer(const host_id& peer);

    /// This node's load, for its peers.
    std::vector<target_load> own_load() const;

    /// True if the process may take new work now.
    bool may_use(const catalog::target_process& target, instant now) const;

    /// The same for the known process of this id.
    bool may_use(const target_id& target, instant now) const;

    /// True if this node may connect a peer to the target now. A cold target,
    /// whose requests are counted by the nodes it is assigned to, gets none.
    bool may_relay_to(const catalog::target_process& target, instant now) const;

    /// The entry of a target; unset if the target isn't known any more.
    std::optional<catalog::target_entry>
    entry_of(const target_id& target) const;

    /// Number of the service's targets; with `software`, of that version only.
    std::size_t count(const service_id& service,
                      const std::optional<catalog::software_version>& software =
                          std::nullopt) const;

    /// Which of these targets this node reaches.
    reach_table& reach() { return reach_; }
    const reach_table& reach() const { return reach_; }

private:
    struct decaying_average
    {
        double value = 0;
        instant at;
    };

    /// What is known of all targets of a service.
    struct service_state
    {
        service_curve curve;
        double mean_tokens = 0; ///< That requests may use.
    };

    struct target_state
    {
        catalog::target_entry entry;
        catalog::target_process process;     ///< That of `entry`.
        std::optional<instant> usable_until; ///< Left a list in doubt.
        bool gone = false;                   ///< Left the list.
        bool address_reused = false;         ///< By another process.
        /// Of this node. Shared with the uses that count there.
        std::shared_ptr<running_work> own = std::make_shared<running_work>();
        int peers_running = 0;
        std::int64_t peers_reading = 0;
        std::int64_t peers_max_tokens = 0; ///< As far as they report them.
        int peers_unreported = 0; ///< Their requests without such a report.
        service_state* service = nullptr;
        std::optional<service_curve> curve; ///< Once something was observed.
        /// Seconds of work that this node sent there recently, as of
        /// recent_work_epoch_.
        double recent_work = 0;
        decaying_average log_slowness; ///< Natural logarithm; 0: as predicted.
        decaying_average failure_rate; ///< 0 to 1.
        instant backoff_until;         ///< After a failed connect.
        instant full_until;            ///< After a rejection.
        /// When the last byte came, or when requests began to wait.
        instant silent_since;
        int consecutive_backoffs = 0;
        /// It asked for backoff and has served no request since.
        bool probe_pending = false;
        bool probe_running = false; ///< One request tests whether it works.
        std::unordered_map<std::uint64_t, instant> parts; ///< Last use.
        signal_state signals;
        instant maybe_cold_until; ///< It may have restarted unannounced.
        recent_sends sends;       ///< While this node has a quota for it.
    };

    /// An eligible target, while one is chosen.
    struct candidate
    {
        const target_state* state = nullptr;
        bool backing_off = false;
        std::uint32_t held = 0; ///< Tokens of the prompt.
    };

    using state_map = std::map<target_id, target_state>;
    using signal_for_peers =
        std::optional<rate_signal> (signal_state::*)(instant) const;

    double decayed(const decaying_average& of, instant now) const;
    void observe(decaying_average& of, double value, instant now) const;
    static bool is_gone(const target_state& it, instant now);
    static bool is_leaving(const target_state& it);
    bool is_evacuated(const target_state& it) const;
    bool usable(const target_state& it, instant now) const;
    std::optional<no_target_reason>
    exclusion_reason(const target_state& it, const routing_request& request,
                     instant now) const;
    const cold_start_profile* profile_of(const target_state& it) const;
    std::optional<std::uint32_t> cold_quota(const target_state& it,
                                            instant now) const;
    bool cold_quota_used_up(const target_state& it, instant now) const;
    std::optional<std::uint32_t> limited_quota(const target_state& it,
                                               instant now) const;
    bool limited_quota_used_up(const target_state& it, instant now) const;
    std::vector<limit_signal> signals_for_peers(signal_for_peers which,
                                                instant now) const;
    bool is_brittle(const target_state& it, instant now) const;
    bool has_room(const target_state& it, const routing_request& request,
                  instant now) const;
    bool is_outside(const target_state& it,
                    const routing_request& request) const;
    bool was_tried(const target_state& it,
                   const routing_request& request) const;
    void suspect_restart(target_state& it, instant now) const;
    bool is_backing_off(const target_state& it, instant now) const;
    static bool backoff_requested(const target_state& it, instant now);
    static void end_probe(target_state& it, instant now);
    bool is_relayed(const target_state& it) const;
    bool is_silent(const target_state& it, instant now) const;
    bool nobody_reaches(const service_id& service, instant now) const;
    std::uint32_t held_tokens(const target_state& it,
                              const routing_request& request,
                              bool expected_here, instant now) const;
    std::vector<candidate> candidates_for(const routing_request& request,
                                          const std::vector<target_state*>& all,
                                          instant now) const;
    const target_state*
    expected_holder(const std::vector<candidate>& candidates,
                    const routing_request& request) const;
    double predicted_seconds(const target_state& it,
                             const routing_request& request,
                             std::uint32_t reading) const;
    double cost(const target_state& it, const routing_request& request,
                double predicted, instant now) const;
    double cost_of_predicted(const target_state& it,
                             const routing_request& request, double predicted,
                             instant now) const;
    static double tokens_ahead(const target_state& it, int urgency);
    double curve_cost(const target_state& it, const routing_request& request,
                      std::uint32_t reading, instant now) const;
    double work_growth(instant now) const;
    void note_work(target_state& it, const choice& made, instant now);
    std::optional<no_target_reason>
    memory_exclusion(const target_state& it,
                     const routing_request& request) const;
    void learn(target_state& it, const choice& made, duration waited,
               instant now);
    void forget_services();
    void back_off(target_state& it, duration first, instant now);
    static void mark_active(target_state& it, instant now);
    void note_bytes(target_state& it, const choice& made, instant now);
    void trim_parts(target_state& it, instant now) const;
    /// Null unless this process is the known one of its id.
    target_state* find(const target_id& target, catalog::target_start start);
    target_state* find(const catalog::target_process& target);
    /// Null unless it is, and has the address that was chosen.
    target_state* find(const choice& made);
    target_state* find(const target_load& load);
    void apply_entry(target_state& it, const catalog::target_entry& entry,
                     instant now, std::vector<catalog::target_entry>& replaced);
    static void forget_address(target_state& it);
    void recount_peers();
    void add_peer(const std::vector<target_load>& load, int sign);

    target_registry_options options_;
    assignment_table assignments_;
    reach_table reach_;
    std::vector<data_center_id> evacuated_; ///< Sorted.
    std::unordered_map<service_id, cold_start_profile> profiles_;
    state_map targets_;
    std::unordered_map<service_id, service_state> services_;
    instant recent_work_epoch_;
    /// In order of their ids.
    std::unordered_map<service_id, std::vector<target_state*>> by_service_;
    std::map<host_id, std::vector<target_load>> peer_loads_;
    /// When a target of the service last announced that it is brittle.
    std::unordered_map<service_id, instant> brittle_services_;
};

/// The part of a prompt by which requests are routed to the same target: the
/// last shared one. Unset without a prompt.
std::optional<std::uint64_t> affinity_part(std::span<const shared_part> prompt);

} // namespace fennelladder::dispatch

#endif
