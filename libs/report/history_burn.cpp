// Events may come in any order, so they are only filed; finish() looks at each
// key once all are there. A request counts at the time of its end, and the
// meter wants time to go forward, so the ends are sorted.

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
    std::vector<service_level_objective> made;
    made.reserve(kinds.size());
    for (const caller_kind& it : kinds) {
        service_level_objective one;
        one.name = it.str() + "-whole";
        one.kind = it;
        one.latency = duration::max();
        made.push_back(std::move(one));
    }
    return made;
}

// Files the events that matter here; others only move the time.
struct history_burn::visitor
{
    history_burn& self;
    instant at;

    void operator()(const history::sent& it) const
    {
        self.requests_[it.request].key = it.key;
        key_state& key = self.keys_[it.key];
        key.team = it.team;
        key.kind = it.kind;
        key.idempotent = it.idempotent;
        key.sent = std::min(key.sent.value_or(at), at);
        self.kinds_.insert(it.kind);
    }

    void operator()(const history::chunk& it) const
    {
        self.requests_[it.request].chunks.push_back(at);
    }

    void operator()(const history::answered& it) const
    {
        self.requests_[it.request].answered = at;
    }

    void operator()(const history::not_run& it) const
    {
        self.requests_[it.request].not_run = at;
    }

    void operator()(const history::refused& it) const
    {
        self.requests_[it.request].not_run = at;
    }

    void operator()(const history::unknown& it) const
    {
        self.requests_[it.request].unknown = at;
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
    last_ = std::max(last_, it.at);
    std::visit(visitor{*this, it.at}, it.body);
}

// The first whole answer counts, whichever try brought it. Without one, a
// single try that may have run makes the key missing; otherwise it was refused
// if someone said so, and missing if nobody said anything.
request_sample
history_burn::sample_of(const key_state& key,
                        const std::vector<const request_state*>& tries) const
{
    request_sample made;
    made.team = key.team;
    made.kind = key.kind;
    made.doubled =
        key.bills.size() > 1 || (!key.idempotent && key.executions.size() > 1);
    const request_state* best = nullptr;
    bool silent = false;
    for (const request_state* it : tries) {
        if (it->answered && (best == nullptr || it->answered < best->answered))
            best = it;
        silent |= it->unknown.has_value() || !it->not_run;
    }
    if (best == nullptr) {
        made.end = silent ? request_end::missing : request_end::refused;
        return made;
    }
    auto chunks = best->chunks;
    std::ranges::sort(chunks);
    made.total = *best->answered - *key.sent;
    made.first_byte = chunks.empty() ? made.total : chunks.front() - *key.sent;
    made.longest_gap = longest_gap(chunks);
    return made;
}

telemetry::burn_snapshot
history_burn::finish(std::vector<service_level_objective> objectives) const
{
    std::unordered_map<request_key, std::vector<const request_state*>> tries;
    std::unordered_map<request_key, instant> ends;
    for (const auto& [id, it] : requests_) {
        if (it.key.empty())
            continue; // An outcome of a request that was never sent.
        tries[it.key].push_back(&it);
        for (const auto& end : {it.answered, it.not_run, it.unknown}) {
            if (end)
                ends[it.key] = std::max(ends[it.key], *end);
        }
    }
    std::vector<std::pair<instant, request_sample>> samples;
    for (const auto& [key, all] : tries) {
        const auto end = ends.find(key);
        samples.emplace_back(end == ends.end() ? last_ : end->second,
                             sample_of(keys_.at(key), all));
    }
    std::ranges::stable_sort(samples, {},
                             &std::pair<instant, request_sample>::first);
    telemetry::service_level_meter meter(std::move(objectives),
                                         {.teams_shown = SIZE_MAX});
    for (const auto& [at, sample] : samples)
        meter.add(sample, at);
    return meter.snapshot(last_);
}

} // namespace fennelladder::report
