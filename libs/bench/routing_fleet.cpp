// A discrete-event simulation: a heap of timed events, handled in order of
// time, then of their making. Engines put in an event for the end of each of
// their steps; everything else is a message on its way or a periodic look.
//
// Requests sent in the warm-up load the fleet but are not counted. When the
// measured time is over no more are sent, and the run goes on until all are
// answered or `longest_drain` has passed; what is open then counts as late.

#include "fennelladder/bench/routing_fleet.hpp"

#include "fennelladder/bench/routing_policy.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <deque>
#include <map>
#include <queue>

namespace fennelladder::bench {

namespace {

using namespace routing;
using standin::engine_model;
using standin::engine_output;

constexpr duration look_interval = milliseconds(25);
constexpr duration poll_interval = milliseconds(20);
constexpr duration longest_drain = seconds(120);
constexpr instant epoch = instant(seconds(1));

enum class event_kind : std::uint8_t
{
    arrive,      // a request at its node
    reach,       // a request at its engine
    step,        // an engine's step ends
    first_token, // at the node
    finish,      // at the node
    stop,        // a preempted request's stop at its engine
    stopped,     // the answer to it, at the node
    look,        // nodes take an engine's reports and cache events
    poll         // a node looks whether it can go on
};

struct event
{
    instant at;
    std::uint64_t order;
    event_kind what;
    std::uint64_t subject; // flight, engine or node, by kind
    std::uint32_t value = 0;
    std::uint32_t cached = 0;

    friend bool operator>(const event& a, const event& b)
    {
        return std::pair(a.at, a.order) > std::pair(b.at, b.order);
    }
};

// One request, from its sending to its end.
struct travel
{
    planned_request plan;
    instant sent;
    bool counted = false;
    std::uint32_t engine = 0;
    std::uint32_t attempt = 0;
    std::uint32_t produced = 0; // relayed to the caller
    std::uint32_t cached = 0;
    std::uint32_t cached_first = 0;
    bool granted = false;
    instant dispatched;
    duration attempt_first_token{};
    instant granted_at;
    instant first_token;
    instant finished;
    bool done = false;
    bool was_shed = false;
};

double milliseconds_of(duration length)
{
    return to_seconds(length) * 1000;
}

time_summary summarize(std::vector<double>& all)
{
    if (all.empty())
        return {};
    std::ranges::sort(all);
    const auto at = [&](double share) {
        const auto n = static_cast<double>(all.size());
        return all[static_cast<std::size_t>(
            std::min(n - 1, std::ceil(share * n) - 1))];
    };
    return {at(0.50), at(0.95), at(0.99)};
}

class fleet
{
public:
    explicit fleet(const fleet_options& options)
        : options_(options), firm_(*options.firm),
          workload_(*options.firm, options.seed), random_(options.seed + 1)
    {
        make_engines();
        make_nodes();
    }

    fleet_outcome run();

private:
    void make_engines();
    void make_nodes();
    void push(instant at, event_kind what, std::uint64_t subject,
              std::uint32_t value = 0, std::uint32_t cached = 0);
    void handle(const event& it);
    void send_new(instant now);
    void arrive(flight request, instant now);
    void reach(flight request, instant now);
    void step(std::uint64_t engine, instant now);
    void see(std::uint64_t engine, const engine_output& made);
    void finish(const event& it, instant now);
    void stop(flight request, instant now);
    void look(std::uint64_t engine, instant now);
    void carry_out(std::uint32_t node, const node_actions& todo, instant now);
    void end(travel& it, instant now);
    duration way(std::uint32_t node, std::uint32_t engine) const;
    void watch(std::uint64_t engine);
    std::uint64_t attempt_id(flight request) const;
    void count_wrong_sheds(std::vector<kind_outcome>& kinds) const;
    fleet_outcome outcome();

    instant last_sent() const
    {
        return epoch + options_.warm_up + options_.length;
    }

    fleet_options options_;
    const deployment& firm_;
    workload workload_;
    random_source random_;
    std::vector<engine_model> engines_;
    std::vector<instant> watched_; // end of the step that has its event
    std::vector<std::uint32_t> models_;
    std::vector<std::unique_ptr<entry_node>> nodes_;
    std::deque<travel> travels_; // references stay valid
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    std::uint64_t open_ = 0;
    double preempted_ = 0;
};

void fleet::make_engines()
{
    options_.engine.step = firm_.step;
    options_.engine.block_tokens = block_tokens;
    options_.engine.every_token = false;
    const auto shares = workers_per_model(firm_);
    for (std::uint32_t model = 0; model < shares.size(); ++model)
        models_.insert(models_.end(), shares[model], model);
    for (std::uint32_t n = 0; n < firm_.workers; ++n) {
        engines_.emplace_back(options_.engine, random_.bits());
        watched_.push_back(instant());
        // Engines take their samples at different times.
        push(epoch + look_interval * n / firm_.workers, event_kind::look, n);
    }
}

void fleet::make_nodes()
{
    const standin::engine_options& engine = options_.engine;
    for (std::uint32_t n = 0; n < firm_.nodes; ++n) {
        scheduler_options own = options_.routing;
        own.choice.block_tokens = block_tokens;
        own.table.own_data_center =
            data_center_id(std::to_string(n % firm_.data_centers));
        own.table.far = firm_.one_way;
        nodes_.push_back(make_node(options_.policy, own, random_.bits()));
        for (std::uint32_t it = 0; it < firm_.workers; ++it) {
            target_info info;
            info.id = target_id(std::to_string(it));
            info.data_center =
                data_center_id(std::to_string(it % firm_.data_centers));
            info.loaded = {capability_of(models_[it])};
            info.speed.step = engine.step;
            info.speed.step_per_sequence = engine.step_per_sequence;
            info.speed.prefill_per_token = engine.prefill_per_token;
            info.speed.prefill_chunk = engine.prefill_chunk;
            info.speed.slots = engine.slots;
            // The first ones: spread over the data centers, as the firms'.
            info.reserved_up_to = it < firm_.reserved ? 0 : priority_levels;
            nodes_.back()->add_target(info, epoch);
        }
        push(epoch + poll_interval * n / firm_.nodes, event_kind::poll, n);
    }
}

void fleet::push(instant at, event_kind what, std::uint64_t subject,
                 std::uint32_t value, std::uint32_t cached)
{
    events_.push({at, ++order_, what, subject, value, cached});
}

fleet_outcome fleet::run()
{
    if (options_.closed > 0) {
        for (std::uint32_t n = 0; n < options_.closed; ++n)
            send_new(epoch);
    } else {
        instant at = epoch;
        while (at < last_sent()) {
            send_new(at);
            at += from_seconds(random_.exponential(1 / options_.rate));
        }
    }
    while (!events_.empty()) {
        const event next = events_.top();
        events_.pop();
        const bool over = next.at >= last_sent() && open_ == 0;
        if (over || next.at > last_sent() + longest_drain)
            break;
        if (options_.closed > 0 && next.at >= last_sent())
            break;
        handle(next);
    }
    return outcome();
}

void fleet::handle(const event& it)
{
    switch (it.what) {
    case event_kind::arrive:
        arrive(it.subject, it.at);
        break;
    case event_kind::reach:
        reach(it.subject, it.at);
        break;
    case event_kind::step:
        step(it.subject, it.at);
        break;
    case event_kind::first_token: {
        travel& of = travels_[it.subject];
        of.attempt_first_token = it.at - of.dispatched;
        of.cached = it.cached;
        if (of.first_token == instant())
            of.first_token = it.at + firm_.client_one_way;
        break;
    }
    case event_kind::finish:
        finish(it, it.at);
        break;
    case event_kind::stop:
        stop(it.subject, it.at);
        break;
    case event_kind::stopped: {
        travel& of = travels_[it.subject];
        of.produced = it.value;
        node_actions todo;
        nodes_[of.plan.node]->preempted(it.subject, it.value, it.at, todo);
        carry_out(of.plan.node, todo, it.at);
        break;
    }
    case event_kind::look:
        look(it.subject, it.at);
        push(it.at + look_interval, event_kind::look, it.subject);
        break;
    case event_kind::poll: {
        node_actions todo;
        nodes_[it.subject]->poll(it.at, todo);
        carry_out(static_cast<std::uint32_t>(it.subject), todo, it.at);
        push(it.at + poll_interval, event_kind::poll, it.subject);
        break;
    }
    }
}

void fleet::send_new(instant now)
{
    travel it;
    it.plan = workload_.draw();
    it.sent = now;
    it.counted = now >= epoch + options_.warm_up && now < last_sent();
    it.plan.route.deadline = now + firm_.kinds[it.plan.kind].deadline;
    travels_.push_back(std::move(it));
    ++open_;
    push(now + firm_.client_one_way, event_kind::arrive, travels_.size() - 1);
}

void fleet::arrive(flight request, instant now)
{
    const std::uint32_t node = travels_[request].plan.node;
    node_actions todo;
    nodes_[node]->submit(request, travels_[request].plan.route, now, todo);
    carry_out(node, todo, now);
}

void fleet::reach(flight request, instant now)
{
    travel& it = travels_[request];
    standin::engine_request made;
    made.id = attempt_id(request);
    made.priority = it.plan.route.rank;
    made.prompt_tokens = it.plan.route.prompt_tokens;
    made.output_tokens = it.plan.output_tokens;
    made.resume_at = it.produced;
    made.prefix = it.plan.route.prefix;
    const bool taken = engines_[it.engine].submit(made, now);
    assert(taken);
    watch(it.engine);
}

void fleet::step(std::uint64_t engine, instant now)
{
    for (const engine_output& it : engines_[engine].advance(now))
        see(engine, it);
    watch(engine);
}

void fleet::see(std::uint64_t engine, const engine_output& made)
{
    const flight request = made.id >> 8U;
    const travel& it = travels_[request];
    const instant at =
        made.at + way(it.plan.node, static_cast<std::uint32_t>(engine));
    const bool first = made.what == engine_output::kind::first_token;
    push(at, first ? event_kind::first_token : event_kind::finish, request,
         made.produced, made.cached_tokens);
}

void fleet::finish(const event& it, instant now)
{
    travel& of = travels_[it.subject];
    attempt_result result;
    result.first_token = of.attempt_first_token;
    result.output_tokens = it.value;
    result.cached_tokens = it.cached;
    result.cached_known = true;
    of.cached_first = it.cached;
    of.finished = now + firm_.client_one_way;
    end(of, now);
    node_actions todo;
    nodes_[of.plan.node]->finished(it.subject, result, now, todo);
    carry_out(of.plan.node, todo, now);
}

void fleet::stop(flight request, instant now)
{
    travel& it = travels_[request];
    // One that ended meanwhile needs no stop: its end is on the way.
    const auto produced = engines_[it.engine].cancel(attempt_id(request), now);
    if (!produced)
        return;
    push(now + way(it.plan.node, it.engine), event_kind::stopped, request,
         *produced);
    ++it.attempt;
}

void fleet::look(std::uint64_t engine, instant now)
{
    const target_id id(std::to_string(engine));
    for (const auto& it : engines_[engine].take_reports(now)) {
        const load_report load = {it.taken_at, it.running, it.waiting,
                                  it.waiting_prefill_tokens, it.memory_used};
        for (const auto& node : nodes_)
            node->load_reported(id, load, now);
    }
    for (const auto& it : engines_[engine].take_cache_events(now)) {
        cache_event seen;
        seen.sequence = it.sequence;
        seen.what = static_cast<cache_event::kind>(it.what);
        seen.blocks = it.blocks;
        for (const auto& node : nodes_)
            node->cache_changed(id, seen);
    }
}

void fleet::carry_out(std::uint32_t node, const node_actions& todo, instant now)
{
    for (const auto& [request, target] : todo.sent) {
        travel& it = travels_[request];
        it.engine = static_cast<std::uint32_t>(std::stoul(target.str()));
        it.dispatched = now;
        if (!it.granted)
            it.granted_at = now;
        it.granted = true;
        push(now + way(node, it.engine), event_kind::reach, request);
    }
    for (const flight request : todo.preempted) {
        ++preempted_;
        push(now + way(node, travels_[request].engine), event_kind::stop,
             request);
    }
    for (const flight request : todo.shed) {
        travels_[request].was_shed = true;
        end(travels_[request], now);
    }
}

void fleet::end(travel& it, instant now)
{
    it.done = true;
    --open_;
    if (options_.closed > 0)
        send_new(now);
}

duration fleet::way(std::uint32_t node, std::uint32_t engine) const
{
    const bool same = node % firm_.data_centers == engine % firm_.data_centers;
    return same ? duration(0) : firm_.one_way;
}

void fleet::watch(std::uint64_t engine)
{
    const auto at = engines_[engine].next_step();
    if (!at || *at == watched_[engine])
        return;
    watched_[engine] = *at;
    push(*at, event_kind::step, engine);
}

std::uint64_t fleet::attempt_id(flight request) const
{
    return request << 8U | (travels_[request].attempt & 0xffU);
}

void fleet::count_wrong_sheds(std::vector<kind_outcome>& kinds) const
{
    // Per node, team and kind: granted requests in order of arrival.
    std::map<std::tuple<std::uint32_t, team_id, std::uint32_t>,
             std::vector<const travel*>>
        granted;
    const auto group = [](const travel& it) {
        return std::tuple(it.plan.node, it.plan.route.team, it.plan.kind);
    };
    for (const travel& it : travels_) {
        if (it.granted)
            granted[group(it)].push_back(&it);
    }
    for (const travel& it : travels_) {
        if (!it.was_shed || !it.counted)
            continue;
        const prediction whole =
            chooser::predict_idle(it.plan.route, {.step = firm_.step},
                                  it.plan.route.prompt_tokens - 1);
        const instant latest =
            it.plan.route.deadline - from_seconds(whole.completion);
        const auto& same = granted[group(it)];
        const bool fitted = std::ranges::any_of(same, [&](const travel* other) {
            return other->sent > it.sent && other->granted_at <= latest;
        });
        kinds[it.plan.kind].shed_though_fit += fitted ? 1 : 0;
    }
}

fleet_outcome fleet::outcome()
{
    fleet_outcome seen;
    for (const request_kind& it : firm_.kinds)
        seen.kinds.push_back({.name = it.name});
    count_wrong_sheds(seen.kinds);
    seen.all.name = "all";
    seen.urgent.name = "urgent";
    // Each request counts for its kind, for all, and if so for the urgent.
    std::vector<kind_outcome*> groups;
    for (kind_outcome& it : seen.kinds)
        groups.push_back(&it);
    const std::size_t all = groups.size();
    groups.push_back(&seen.all);
    const std::size_t urgent = groups.size();
    groups.push_back(&seen.urgent);
    std::vector<std::vector<double>> first(groups.size());
    std::vector<std::vector<double>> whole(groups.size());
    std::uint64_t answered_ever = 0;
    double prompt = 0;
    double cached = 0;
    for (const travel& it : travels_) {
        answered_ever += it.finished != instant() ? 1 : 0;
        if (!it.counted || (options_.closed > 0 && !it.done))
            continue;
        const duration allowed = firm_.kinds[it.plan.kind].deadline;
        std::vector<std::size_t> counted = {it.plan.kind, all};
        if (firm_.kinds[it.plan.kind].rank == 0)
            counted.push_back(urgent);
        for (const std::size_t n : counted) {
            kind_outcome& of = *groups[n];
            ++of.requests;
            of.shed += it.was_shed ? 1 : 0;
            const bool started = it.first_token != instant();
            first[n].push_back(
                milliseconds_of(started ? it.first_token - it.sent : allowed));
            if (it.finished == instant()) {
                of.late += it.was_shed ? 0 : 1;
                continue;
            }
            ++of.answered;
            of.late += it.finished - it.sent > allowed ? 1 : 0;
            whole[n].push_back(milliseconds_of(it.finished - it.sent));
        }
        if (it.finished != instant()) {
            prompt += it.plan.route.prompt_tokens;
            cached += std::min(it.cached_first, it.plan.route.prompt_tokens);
        }
    }
    for (std::size_t n = 0; n < groups.size(); ++n) {
        groups[n]->first_token = summarize(first[n]);
        groups[n]->completion = summarize(whole[n]);
    }
    for (const kind_outcome& it : seen.kinds)
        seen.all.shed_though_fit += it.shed_though_fit;
    standin::engine_work work;
    for (const engine_model& it : engines_) {
        work.busy += it.work().busy;
        work.prefilled_tokens += it.work().prefilled_tokens;
        work.preemptions += it.work().preemptions;
    }
    const double length = to_seconds(options_.length);
    const double answers =
        std::max<double>(1, static_cast<double>(answered_ever));
    seen.answers_per_second = static_cast<double>(seen.all.answered) / length;
    seen.in_time_per_second =
        static_cast<double>(seen.all.requests - seen.all.shed - seen.all.late) /
        length;
    seen.hit_share = prompt > 0 ? cached / prompt : 0;
    seen.engine_ms_per_answer = milliseconds_of(work.busy) / answers;
    seen.prefilled_per_answer =
        static_cast<double>(work.prefilled_tokens) / answers;
    seen.preempted_by_nodes = preempted_;
    seen.preempted_by_engines = static_cast<double>(work.preemptions);
    return seen;
}

} // namespace

fleet_outcome simulate(const fleet_options& options)
{
    assert(options.firm != nullptr && options.rate > 0);
    return fleet(options).run();
}

} // namespace fennelladder::bench
