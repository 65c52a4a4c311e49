// Events may arrive in any order, so add() only stores them and finish()
// evaluates each key. A request counts at the time of its end, and the meter
// requires samples in order of time, so the ends are sorted.

#include "fennelladder/report/history_burn.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::report {

using telemetry::request_end;
using telemetry::request_sample;
using telemetry::service_level_objective;

namespace {

duration longest_gap(const std::vector<instant>& sorted)
{
    duration longest{};
    for (std::size_t n = 1; n < sorted.size(); ++n)
        longest = std::max(longest, sorted[n] - sorted[n - 1]);
    return longest;
}

} // namespace

std::vector<service_level_objective>
default_objectives(const std::set<caller_kind>& kinds)
{
    std::vector<service_level_objective> objectives;
    objectives.reserve(kinds.size());
    for (const caller_kind& it : kinds) {
        service_level_objective objective;
        objective.name = it.str() + "-whole";
        objective.kind = it;
        objective.latency = duration::max();
        objectives.push_back(std::move(objective));
    }
    return objectives;
}

// Stores the events that matter here; add() uses only the time of others.
struct history_burn::visitor
{
    history_burn& self;
    instant at;

    void operator()(const history::sent& it) const
    {
        self.attempts_[it.request].key = it.key;
        key_state& key = self.keys_[it.key];
        key.team = it.team;
        key.kind = it.kind;
        key.idempotent = it.idempotent;
        key.sent = std::min(key.sent.value_or(at), at);
        self.kinds_.insert(it.kind);
    }

    void operator()(const history::chunk& it) const
    {
        self.attempts_[it.request].chunks.push_back(at);
    }

    void operator()(const history::answered& it) const
    {
        self.attempts_[it.request].answered = at;
    }

    void operator()(const history::not_run& it) const
    {
        self.attempts_[it.request].not_run = at;
    }

    void operator()(const history::refused& it) const
    {
        self.attempts_[it.request].not_run = at;
    }

    void operator()(const history::unknown& it) const
    {
        self.attempts_[it.request].unknown = at;
    }

    void operator()(const history::billed& it) const
    {
        self.keys_[it.key].bills.insert(it.bill.str());
    }

    void operator()(const history::executed& it) const
    {
        self.keys_[it.key].executions.emplace(it.target, it.attempt);
    }

    template <class Other>
    void operator()(const Other&) const
    {}
};

void history_burn::add(const history::event& it)
{
    last_event_at_ = std::max(last_event_at_, it.at);
    std::visit(visitor{*this, it.at}, it.body);
}

// The first complete answer counts, whichever attempt received it. Without
// one, a single attempt that may have run makes the key `missing`; an attempt
// without any outcome counts as one. Otherwise, if every attempt is known not
// to have run, the key is `refused`.
request_sample
history_burn::sample_of(const key_state& key,
                        const std::vector<const attempt_state*>& attempts) const
{
    request_sample sample;
    sample.team = key.team;
    sample.kind = key.kind;
    sample.doubled =
        key.bills.size() > 1 || (!key.idempotent && key.executions.size() > 1);
    const attempt_state* first_answered = nullptr;
    bool may_have_run = false;
    for (const attempt_state* it : attempts) {
        if (it->answered && (first_answered == nullptr ||
                             it->answered < first_answered->answered))
            first_answered = it;
        may_have_run |= it->unknown.has_value() || !it->not_run;
    }
    if (first_answered == nullptr) {
        sample.end = may_have_run ? request_end::missing : request_end::refused;
        return sample;
    }
    auto chunks = first_answered->chunks;
    std::ranges::sort(chunks);
    sample.total = *first_answered->answered - *key.sent;
    sample.first_byte =
        chunks.empty() ? sample.total : chunks.front() - *key.sent;
    sample.longest_gap = longest_gap(chunks);
    return sample;
}

telemetry::burn_snapshot
history_burn::finish(std::vector<service_level_objective> objectives) const
{
    std::unordered_map<request_key, std::vector<const attempt_state*>>
        attempts_by_key;
    std::unordered_map<request_key, instant> ends;
    for (const auto& [id, it] : attempts_) {
        if (it.key.empty())
            continue; // An outcome without an event that it was sent.
        attempts_by_key[it.key].push_back(&it);
        for (const auto& end : {it.answered, it.not_run, it.unknown}) {
            if (end)
                ends[it.key] = std::max(ends[it.key], *end);
        }
    }
    std::vector<std::pair<instant, request_sample>> samples;
    for (const auto& [key, attempts] : attempts_by_key) {
        const auto end = ends.find(key);
        samples.emplace_back(end == ends.end() ? last_event_at_ : end->second,
                             sample_of(keys_.at(key), attempts));
    }
    std::ranges::stable_sort(samples, {},
                             &std::pair<instant, request_sample>::first);
    telemetry::service_level_meter meter(std::move(objectives),
                                         {.max_snapshot_teams = SIZE_MAX});
    for (const auto& [at, sample] : samples)
        meter.add(sample, at);
    return meter.snapshot(last_event_at_);
}

} // namespace fennelladder::report
