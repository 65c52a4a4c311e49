// One engine is brought a step further at each read-back: read, compare with
// the plan, give at most one order, read again. Nothing is remembered about
// orders that were given, so a lost order, a lost reply, an engine that
// restarted and a stale order of someone else are all the same case: the
// engine isn't as it should be, and gets the next order.
//
// What is taken away is claimed on the board first, and only then the other
// engines are read back to see whether the fleet can spare it. Two issuers
// can't both go on: the later claim sees the earlier one, and a claimed
// engine doesn't count as serving.
//
// Cost. A quiet group: one lease write per renew_after, one board read per
// board_every, one read-back per engine and watch_every.

#include "fennelladder/fleet/order_issuer.hpp"

#include "fennelladder/base/hash.hpp"
#include "fennelladder/telemetry/event_catalog.hpp"

#include <algorithm>

namespace fennelladder::fleet {

namespace {

namespace event = telemetry::event;
using platform::write_condition;

constexpr std::size_t max_events = 256;
constexpr std::size_t max_rivals = 64;

rollout_context context_of(const issuer_input& input)
{
    rollout_context out;
    out.in_force = input.in_force;
    std::map<model_id, model_version> versions;
    for (const engine_plan& plan : input.plans) {
        out.targets.insert(plan.target);
        for (const auto& [ref, adapters] : plan.models) {
            const auto [it, first] = versions.emplace(ref.model, ref.version);
            if (!first && it->second != ref.version)
                out.split.insert(ref.model);
        }
    }
    return out;
}

std::string describe(const engine_order& order)
{
    std::string out(to_string(order.kind));
    if (order.kind == order_kind::change_role)
        return out + ' ' + std::string(to_string(order.role));
    out += ' ' + order.model.model.str() + '@' + order.model.version.str();
    if (!order.adapter.empty())
        out += '+' + order.adapter.str();
    return out;
}

} // namespace

order_issuer::order_issuer(platform::object_store& store,
                           engine_orders& engines, const clock& clock,
                           incarnation_id self, const issuer_options& options,
                           std::uint64_t seed)
    : store_(store), engines_(engines), clock_(clock), self_(std::move(self)),
      options_(options), random_(seed)
{}

std::size_t order_issuer::group_of(const target_id& target) const
{
    return hash64(target.str()) % options_.groups;
}

std::string order_issuer::group_salt(std::size_t group)
{
    return "orders/" + std::to_string(group);
}

platform::object_key order_issuer::lease_key(std::size_t group) const
{
    return platform::object_key(options_.prefix + "lease/" +
                                std::to_string(group));
}

platform::object_key order_issuer::board_key() const
{
    return platform::object_key(options_.prefix + "board");
}

// Unlike any other value ever written, so that reading it back shows whether
// a write whose reply was lost took effect.
std::string order_issuer::lease_value()
{
    return self_.str() + ' ' + std::to_string(++writes_);
}

void order_issuer::report(int number, const target_id& target, std::string text)
{
    if (events_.size() < max_events)
        events_.push_back({number, target, std::move(text)});
}

std::vector<issuer_event> order_issuer::take_events()
{
    return std::exchange(events_, {});
}

std::vector<std::size_t> order_issuer::held_groups() const
{
    std::vector<std::size_t> out;
    for (const auto& [group, lease] : leases_) {
        if (lease.held)
            out.push_back(group);
    }
    return out;
}

std::vector<engine_report> order_issuer::reports() const
{
    std::vector<engine_report> out;
    for (const auto& [target, track] : tracks_)
        out.push_back(track.report);
    return out;
}

void order_issuer::step(const issuer_input& input)
{
    context_ = context_of(input);
    std::set<std::size_t> groups;
    for (const engine_plan& it : input.plans)
        groups.insert(group_of(it.target));
    for (const std::size_t group : groups)
        keep_lease(group, input.preferred(group));
    std::erase_if(tracks_, [&](const auto& it) {
        return !context_.targets.contains(it.first) ||
               !leases_[group_of(it.first)].held;
    });
    if (held_groups().empty() || !load_board(options_.board_every))
        return;
    work_on_all(input);
}

// Guards against engines that are silent and time out one after the other
// (a rack is gone): the leases would lapse meanwhile, and the engines that
// come later in the list would never be reached.
void order_issuer::work_on_all(const issuer_input& input)
{
    const instant start = clock_.now();
    const std::size_t count = input.plans.size();
    const std::size_t first = count == 0 ? 0 : first_plan_ % count;
    for (std::size_t n = 0; n < count; ++n) {
        const std::size_t i = (first + n) % count;
        first_plan_ = i;
        if (clock_.now() - start >= options_.step_limit)
            return;
        const engine_plan& it = input.plans[i];
        if (lease_is_fresh(leases_[group_of(it.target)]))
            work_on(it, input);
    }
}

// Leases.

void order_issuer::keep_lease(std::size_t group, bool preferred)
{
    group_lease& lease = leases_[group];
    const instant now = clock_.now();
    if (lease.held && !preferred) {
        write_lease(group, lease, std::string());
        lease.held = false;
        return;
    }
    if (lease.held) {
        if (now - lease.renewed_at >= options_.renew_after)
            write_lease(group, lease, lease_value());
        return;
    }
    if (!preferred || now < lease.next_try)
        return;
    lease.next_try = now + jitter(random_, options_.renew_after / 2);
    look_at_lease(group, lease);
    const bool lapsed = now - lease.seen_at >= options_.lease;
    if (lease.free || lapsed) {
        if (write_lease(group, lease, lease_value()))
            report(event::order_lease_taken, {}, std::to_string(group));
    }
}

// Whether a lease has lapsed is told by its version not changing for the
// length of the lease by our own clock; nobody else's clock matters.
void order_issuer::look_at_lease(std::size_t group, group_lease& lease)
{
    const auto got = store_.get(lease_key(group));
    const instant now = clock_.now();
    lease.free = false;
    if (!got) {
        const bool absent = got.error().code == error_code::not_found;
        lease.free = absent;
        lease.exists = lease.exists && !absent;
        if (!absent)
            lease.seen_at = now;
        return;
    }
    const bool same = lease.exists && got->version == lease.version;
    if (!same)
        lease.seen_at = now;
    lease.exists = true;
    lease.version = got->version;
    lease.value = got->value;
    // Our own mark without holding it: the reply to our write was lost.
    const bool ours = got->value.starts_with(self_.str() + ' ');
    lease.free = got->value.empty() || ours;
}

bool order_issuer::write_lease(std::size_t group, group_lease& lease,
                               const std::string& value)
{
    const instant start = clock_.now();
    const auto key = lease_key(group);
    const auto condition = lease.exists
                               ? write_condition::unchanged(lease.version)
                               : write_condition::absent();
    auto put = store_.put(key, value, condition);
    // A lost reply: the write may have taken effect. If it did, the object
    // has our value, which nobody else ever writes.
    if (!put && put.error().code == error_code::ambiguous) {
        const auto got = store_.get(key);
        if (got && !value.empty() && got->value == value)
            put = got->version;
    }
    if (put) {
        lease.held = !value.empty();
        lease.exists = true;
        lease.version = *put;
        lease.value = value;
        lease.seen_at = start;
        lease.renewed_at = start;
        return true;
    }
    if (put.error().code == error_code::conflict)
        lose(group, lease);
    return false;
}

void order_issuer::lose(std::size_t group, group_lease& lease)
{
    if (lease.held)
        report(event::order_lease_lost, {}, std::to_string(group));
    lease.held = false;
    lease.exists = false;
    lease.seen_at = clock_.now();
}

// Half of the lease: someone else takes it after the whole at the earliest.
// It's no proof (we may be paused right after looking); see the header.
bool order_issuer::lease_is_fresh(const group_lease& lease) const
{
    return lease.held && clock_.now() - lease.renewed_at < options_.lease / 2;
}

void order_issuer::release_all()
{
    for (auto& [group, lease] : leases_) {
        if (lease.held)
            write_lease(group, lease, std::string());
        lease.held = false;
    }
}

// The board.

bool order_issuer::load_board(duration at_most_old)
{
    const instant now = clock_.now();
    if (board_known_ && now - board_read_at_ < at_most_old)
        return true;
    const auto got = store_.get(board_key());
    const bool absent = !got && got.error().code == error_code::not_found;
    if (!got && !absent) {
        board_known_ = false;
        return false;
    }
    board_exists_ = !absent;
    board_read_at_ = now;
    board_known_ = true;
    board_ = {};
    if (absent)
        return true;
    auto board = decode_board(got->value);
    board_version_ = got->version;
    board_known_ = board.has_value();
    if (!board) {
        report(event::order_board_unreadable, {}, board.error().message);
        return false;
    }
    board_ = std::move(*board);
    return true;
}

bool order_issuer::write_board(const rollout_board& next)
{
    const auto condition = board_exists_
                               ? write_condition::unchanged(board_version_)
                               : write_condition::absent();
    const auto put = store_.put(board_key(), encode(next), condition);
    // On a conflict someone else wrote; on a lost reply we don't know. In
    // both cases it's read again before anything is done on its strength,
    // and our own entry, if it's there, is found and kept.
    if (!put) {
        board_known_ = false;
        return false;
    }
    board_ = next;
    board_version_ = *put;
    board_exists_ = true;
    board_read_at_ = clock_.now();
    return true;
}

// Engines.

void order_issuer::work_on(const engine_plan& plan, const issuer_input& input)
{
    engine_track& track = tracks_[plan.target];
    track.report.target = plan.target;
    if (clock_.now() < track.next_read || !board_known_)
        return;
    track.next_read = clock_.now() + jitter(random_, options_.read_every);
    const auto state = engines_.read_back(plan.target);
    track.report.answers = state.has_value();
    if (!state) {
        work_on_silent(plan, track);
        return;
    }
    track.silent_since.reset();
    rollout_board noted = board_;
    if (note_plan(noted, plan, *state, context_) && !write_board(noted))
        return;
    const engine_plan wanted = effective_plan(board_, plan, *state);
    const order_step step = next_step(wanted, plan, *state);
    track.report.step = step.what;
    if (step.what == step_kind::none) {
        settle(plan, wanted, *state, track);
        return;
    }
    note_deviation(wanted, track);
    if (step.what == step_kind::failed || keeps_vanishing(step, track))
        retry_load(plan, *state, step, input, track);
    else if (step.what == step_kind::order)
        take_step(plan, *state, step, input, track);
}

// Guards against an engine that takes a load, drops the model again without
// a word, and would be asked for ever.
bool order_issuer::keeps_vanishing(const order_step& step,
                                   const engine_track& track) const
{
    if (step.what != step_kind::order ||
        step.order.kind != order_kind::load_model)
        return false;
    const auto it = track.attempts.find(step.order.model);
    return it != track.attempts.end() && it->second >= options_.load_attempts;
}

void order_issuer::note_deviation(const engine_plan& wanted,
                                  engine_track& track)
{
    const bool was_stable = track.stable >= options_.stable_after;
    if (was_stable && track.settled == wanted)
        report(event::engine_deviated, wanted.target, "brought back");
    track.stable = 0;
}

void order_issuer::work_on_silent(const engine_plan& plan, engine_track& track)
{
    const instant now = clock_.now();
    track.stable = 0;
    track.report.step = step_kind::wait;
    wait_for(track, "the engine doesn't answer");
    if (!track.silent_since)
        track.silent_since = now;
    if (now - *track.silent_since < options_.death_grace)
        return;
    track.next_read = now + jitter(random_, options_.watch_every);
    if (!load_board(options_.read_every))
        return;
    rollout_board noted = board_;
    bool changed = note_silent(noted, plan.target);
    // Silent since we took something of it in hand: the version may have
    // killed it, and must not be tried on the next one.
    for (const auto& [ref, adapters] : plan.models) {
        const auto work = noted.work.find(plan.target);
        const auto rollout = noted.rollouts.find(ref.model);
        const bool soaking = rollout != noted.rollouts.end() &&
                             rollout->second.canary == plan.target &&
                             !rollout->second.canary_passed;
        const bool loading = work != noted.work.end() && work->second.loading;
        if (loading || soaking)
            changed |= note_failed(noted, plan.target, ref, "went silent");
    }
    // A dead engine must not keep a slot of the weight store.
    if (const auto it = noted.work.find(plan.target);
        it != noted.work.end() && it->second.loading) {
        it->second.loading = false;
        changed = true;
    }
    if (changed && write_board(noted))
        report(event::rollout_changed, plan.target, "engine went silent");
}

void order_issuer::retry_load(const engine_plan& plan,
                              const engine_state& state, order_step step,
                              const issuer_input& input, engine_track& track)
{
    const instant now = clock_.now();
    if (!load_board(options_.read_every))
        return;
    rollout_board noted = board_;
    const std::string reason = "load failed";
    if (note_failed(noted, plan.target, step.order.model, reason)) {
        if (write_board(noted))
            report(event::rollout_stopped, plan.target, describe(step.order));
        return;
    }
    const bool early =
        track.failed_before && now - track.last_failure < options_.retry_failed;
    if (early) {
        wait_for(track, "a load failed a short while ago");
        return;
    }
    report(event::order_failed, plan.target, describe(step.order));
    track.failed_before = true;
    track.last_failure = now;
    step.what = step_kind::order;
    take_step(plan, state, step, input, track);
}

void order_issuer::take_step(const engine_plan& plan, const engine_state& state,
                             const order_step& step, const issuer_input& input,
                             engine_track& track)
{
    const group_lease& lease = leases_[group_of(plan.target)];
    const fencing_number fence(lease.version.value());
    const bool shared = step.takes_away || step.loads;
    if (shared && !claim(step, fence, track))
        return;
    if (step.takes_away && !spare(plan, state, step, input, track))
        return;
    wait_for(track, {});
    give(plan, step.order, track);
}

void order_issuer::wait_for(engine_track& track, std::string what)
{
    track.report.waiting_for = std::move(what);
}

bool order_issuer::claim(const order_step& step, fencing_number fence,
                         engine_track& track)
{
    if (!load_board(options_.read_every / 2))
        return false;
    const admission answer =
        admit(board_, step, fence, options_.limits, clock_.now());
    if (answer.verdict != admission_verdict::granted) {
        wait_for(track, std::string(to_string(answer.verdict)));
        return false;
    }
    return write_board(answer.board);
}

std::vector<engine_view>
order_issuer::views_of_rivals(const engine_plan& plan,
                              const engine_state& state,
                              const issuer_input& input)
{
    std::set<model_id> models;
    for (const auto& [ref, it] : state.models)
        models.insert(ref.model);
    std::vector<engine_view> out;
    for (const engine_plan& it : input.plans) {
        const bool shares = std::ranges::any_of(it.models, [&](const auto& m) {
            return models.contains(m.first.model);
        });
        if (!shares || out.size() >= max_rivals)
            continue;
        engine_view view;
        view.plan = it;
        const auto work = board_.work.find(it.target);
        view.claimed = work != board_.work.end() && work->second.unavailable;
        if (it.target != plan.target && !view.claimed) {
            if (auto got = engines_.read_back(it.target))
                view.state = std::move(*got);
        }
        out.push_back(std::move(view));
    }
    return out;
}

bool order_issuer::spare(const engine_plan& plan, const engine_state& state,
                         const order_step& step, const issuer_input& input,
                         engine_track& track)
{
    const auto rivals = views_of_rivals(plan, state, input);
    const engine_view target{plan, state, true};
    const std::string need =
        uncovered_need(input.needs, rivals, target, step.order);
    if (need.empty())
        return true;
    const std::string text = "without it too few engines serve " + need;
    if (track.report.waiting_for != text)
        report(event::order_blocked, plan.target, text);
    wait_for(track, text);
    release_claim(plan.target);
    return false;
}

void order_issuer::release_claim(const target_id& target)
{
    rollout_board next = board_;
    if (next.work.erase(target) > 0)
        write_board(next);
}

void order_issuer::give(const engine_plan& plan, const engine_order& order,
                        engine_track& track)
{
    const group_lease& lease = leases_[group_of(plan.target)];
    // The calls before this one may have taken long.
    if (!lease_is_fresh(lease))
        return;
    engine_order fenced = order;
    fenced.fence = fencing_number(lease.version.value());
    const status given = engines_.give(fenced);
    if (given && order.kind == order_kind::load_model)
        ++track.attempts[order.model];
    const bool refused = !given && given.error().code == error_code::refused;
    report(refused ? event::order_refused : event::order_given, plan.target,
           describe(order));
    const duration wait =
        refused ? options_.watch_every : options_.read_every / 2;
    track.next_read = clock_.now() + jitter(random_, wait);
}

void order_issuer::settle(const engine_plan& plan, const engine_plan& wanted,
                          const engine_state& state, engine_track& track)
{
    wait_for(track, {});
    ++track.stable;
    track.failed_before = false;
    track.attempts.clear();
    track.settled = wanted;
    if (track.stable >= options_.stable_after)
        track.next_read = clock_.now() + jitter(random_, options_.watch_every);
    rollout_board noted = board_;
    const bool news =
        note_done(noted, plan, state, options_.limits, clock_.now());
    if (news && write_board(noted))
        report(event::rollout_changed, plan.target, "holds what it should");
}

} // namespace fennelladder::fleet
