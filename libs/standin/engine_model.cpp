// A step is decided whole when it begins: who runs, whose prompt is prefilled
// and how long it takes; its effects show when it ends. Requests that come
// meanwhile wait for the next step, as they do on an engine.
//
// The cost of a step is linear in the sequences that run, and admission is
// logarithmic, so a run of minutes over hundreds of engines takes seconds.

#include "fennelladder/standin/engine_model.hpp"

#include <algorithm>
#include <cassert>

namespace fennelladder::standin {

engine_model::engine_model(const engine_options& options, std::uint64_t seed)
    : options_(options), random_(seed)
{
    assert(options.prefill_chunk > 0 && options.block_tokens > 0);
}

bool engine_model::submit(const engine_request& request, instant now)
{
    const auto most = request.prompt_tokens + request.output_tokens;
    if (sequences_.contains(request.id) ||
        blocks_for(most) > options_.memory_blocks)
        return false;
    sequence& it = sequences_[request.id];
    now_ = now;
    it.request = request;
    it.request.output_tokens = std::max(1U, request.output_tokens);
    const auto whole = request.prompt_tokens / options_.block_tokens;
    if (it.request.prefix.size() > whole)
        it.request.prefix.resize(whole);
    it.arrival = ++arrivals_;
    it.produced = std::min(request.resume_at, it.request.output_tokens - 1);
    waiting_.emplace(turn_of(it), request.id);
    if (!step_ends_)
        begin_step(now);
    return true;
}

std::optional<std::uint32_t> engine_model::cancel(std::uint64_t id, instant now)
{
    const auto known = sequences_.find(id);
    if (known == sequences_.end())
        return std::nullopt;
    now_ = now;
    const std::uint32_t produced = known->second.produced;
    running_.erase(turn_of(known->second));
    waiting_.erase(turn_of(known->second));
    free_memory(known->second);
    sequences_.erase(known);
    flush_events();
    return produced;
}

std::optional<instant> engine_model::next_step() const
{
    return step_ends_;
}

std::vector<engine_output> engine_model::advance(instant now)
{
    std::vector<engine_output> out;
    while (step_ends_ && *step_ends_ <= now) {
        const instant at = *step_ends_;
        now_ = at;
        sample(at);
        end_step(out);
        flush_events();
        begin_step(at);
    }
    sample(now);
    return out;
}

std::vector<engine_load> engine_model::take_reports(instant now)
{
    sample(now);
    std::vector<engine_load> seen;
    while (!reports_.empty() && reports_.front().first <= now) {
        seen.push_back(reports_.front().second);
        reports_.pop_front();
    }
    return seen;
}

std::vector<engine_cache_event> engine_model::take_cache_events(instant now)
{
    std::vector<engine_cache_event> seen;
    while (!events_.empty() && events_.front().first <= now) {
        seen.push_back(std::move(events_.front().second));
        events_.pop_front();
    }
    return seen;
}

std::uint32_t
engine_model::cached_blocks(std::span<const std::uint64_t> prefix) const
{
    std::uint32_t n = 0;
    while (n < prefix.size() && blocks_.contains(prefix[n]))
        ++n;
    return n;
}

void engine_model::import_blocks(std::span<const std::uint64_t> prefix,
                                 instant now)
{
    now_ = now;
    for (const std::uint64_t hash : prefix) {
        if (!blocks_.contains(hash) && !make_room(1))
            break;
        use_block(hash);
        release_block(hash);
    }
    flush_events();
}

void engine_model::restart(instant now)
{
    sequences_.clear();
    waiting_.clear();
    running_.clear();
    blocks_.clear();
    unused_.clear();
    own_blocks_ = 0;
    now_ = now;
    step_ends_.reset();
    pending_ = engine_cache_event();
    next_event_ = 1;
    engine_cache_event cleared;
    cleared.sequence = next_event_++;
    cleared.what = engine_cache_event::kind::cleared;
    events_.emplace_back(now + options_.event_lag, cleared);
}

engine_load engine_model::load(instant now) const
{
    engine_load seen;
    seen.taken_at = now;
    seen.running = static_cast<std::uint32_t>(running_.size());
    seen.waiting = static_cast<std::uint32_t>(waiting_.size());
    for (const auto& [at, id] : waiting_) {
        const sequence& it = sequences_.at(id);
        const auto cached =
            cached_blocks(it.request.prefix) * options_.block_tokens;
        seen.waiting_prefill_tokens +=
            it.request.prompt_tokens + it.produced - cached;
    }
    for (const auto& [at, id] : running_)
        seen.waiting_prefill_tokens += sequences_.at(id).prefill_left;
    seen.memory_used =
        static_cast<double>(sequence_blocks()) / options_.memory_blocks;
    return seen;
}

engine_model::turn engine_model::turn_of(const sequence& it)
{
    return {it.request.priority, it.arrival};
}

std::uint32_t engine_model::blocks_for(std::uint32_t tokens) const
{
    return (tokens + options_.block_tokens - 1) / options_.block_tokens;
}

std::uint32_t engine_model::sequence_blocks() const
{
    return own_blocks_ +
           static_cast<std::uint32_t>(blocks_.size() - unused_.size());
}

bool engine_model::make_room(std::uint32_t blocks)
{
    if (sequence_blocks() + blocks > options_.memory_blocks)
        return false;
    while (own_blocks_ + blocks_.size() + blocks > options_.memory_blocks)
        evict_oldest();
    return true;
}

void engine_model::evict_oldest()
{
    const std::uint64_t hash = unused_.front();
    unused_.pop_front();
    blocks_.erase(hash);
    note(engine_cache_event::kind::evicted, hash);
}

void engine_model::use_block(std::uint64_t hash)
{
    const auto [it, added] = blocks_.try_emplace(hash);
    if (added)
        note(engine_cache_event::kind::stored, hash);
    else if (it->second.users == 0)
        unused_.erase(it->second.unused);
    ++it->second.users;
}

void engine_model::release_block(std::uint64_t hash)
{
    block& it = blocks_.at(hash);
    if (--it.users == 0)
        it.unused = unused_.insert(unused_.end(), hash);
}

// Takes the memory for the prompt and what was produced; false if sequences
// hold too much of it.
bool engine_model::start(std::uint64_t id)
{
    sequence& it = sequences_.at(id);
    const std::uint32_t total = it.request.prompt_tokens + it.produced;
    const std::uint32_t matched = cached_blocks(it.request.prefix);
    for (std::uint32_t n = 0; n < matched; ++n)
        use_block(it.request.prefix[n]);
    const std::uint32_t needed = blocks_for(total + 1) - matched;
    if (!make_room(needed)) {
        for (std::uint32_t n = matched; n > 0; --n)
            release_block(it.request.prefix[n - 1]);
        return false;
    }
    it.shared.assign(it.request.prefix.begin(),
                     it.request.prefix.begin() + matched);
    it.own_blocks = needed;
    own_blocks_ += needed;
    // The last token of a prompt always runs: it yields the first output.
    it.cached_tokens =
        std::min(matched * options_.block_tokens, std::max(total, 1U) - 1);
    it.prefill_left = std::max(1U, total - it.cached_tokens);
    work_.cached_tokens += it.cached_tokens;
    waiting_.erase(turn_of(it));
    running_.emplace(turn_of(it), id);
    return true;
}

// The prompt is computed: its whole blocks are there for others.
void engine_model::publish(sequence& it)
{
    for (std::size_t n = it.shared.size(); n < it.request.prefix.size(); ++n) {
        const std::uint64_t hash = it.request.prefix[n];
        // Another sequence may have computed the same block meanwhile; then
        // this one's copy stays its own.
        if (blocks_.contains(hash))
            break;
        --it.own_blocks;
        --own_blocks_;
        use_block(hash);
        it.shared.push_back(hash);
    }
}

void engine_model::free_memory(sequence& it)
{
    own_blocks_ -= it.own_blocks;
    it.own_blocks = 0;
    // The end of the chain goes first, so that it is also evicted first.
    for (auto hash = it.shared.rbegin(); hash != it.shared.rend(); ++hash)
        release_block(*hash);
    it.shared.clear();
}

void engine_model::preempt(std::uint64_t id)
{
    sequence& it = sequences_.at(id);
    free_memory(it);
    it.prefill_left = 0;
    it.decoding = false;
    it.published = false;
    running_.erase(turn_of(it));
    waiting_.emplace(turn_of(it), id);
    ++work_.preemptions;
}

// The last in order of service among those of a lower priority than `after`.
std::optional<std::uint64_t> engine_model::last_running(turn after) const
{
    if (running_.empty() || running_.rbegin()->first.first <= after.first)
        return std::nullopt;
    return running_.rbegin()->second;
}

void engine_model::admit()
{
    while (!waiting_.empty()) {
        const auto [next, id] = *waiting_.begin();
        if (running_.size() < options_.slots && start(id))
            continue;
        const auto victim = last_running(next);
        if (!victim)
            return;
        preempt(*victim);
    }
}

void engine_model::begin_step(instant now)
{
    admit();
    if (running_.empty()) {
        step_ends_.reset();
        return;
    }
    std::uint32_t budget = options_.prefill_chunk;
    std::uint32_t decoding = 0;
    for (const auto& [at, id] : running_) {
        sequence& it = sequences_.at(id);
        const std::uint32_t part = std::min(budget, it.prefill_left);
        it.decoding = it.prefill_left == part;
        it.prefill_left -= part;
        budget -= part;
        decoding += it.decoding ? 1 : 0;
    }
    const std::uint32_t prefilled = options_.prefill_chunk - budget;
    const duration length = options_.step +
                            options_.step_per_sequence * decoding +
                            options_.prefill_per_token * prefilled;
    work_.prefilled_tokens += prefilled;
    work_.busy += length;
    ++work_.steps;
    step_ends_ = now + length;
}

void engine_model::end_step(std::vector<engine_output>& out)
{
    std::vector<std::uint64_t> ran;
    for (const auto& [at, id] : running_)
        ran.push_back(id);
    for (const std::uint64_t id : ran) {
        sequence& it = sequences_.at(id);
        // One that was preempted for memory during this loop makes no token.
        if (!it.decoding || !running_.contains(turn_of(it)))
            continue;
        put_out(out, it);
        if (it.produced >= it.request.output_tokens) {
            running_.erase(turn_of(it));
            free_memory(it);
            sequences_.erase(id);
        } else if (!grow(it)) {
            preempt(running_.rbegin()->second);
        }
    }
}

// Room for the next token; false if sequences hold all memory.
bool engine_model::grow(sequence& it)
{
    const auto held =
        it.own_blocks + static_cast<std::uint32_t>(it.shared.size());
    if (blocks_for(it.request.prompt_tokens + it.produced + 1) <= held)
        return true;
    if (!make_room(1))
        return false;
    ++it.own_blocks;
    ++own_blocks_;
    return true;
}

void engine_model::put_out(std::vector<engine_output>& out, sequence& it)
{
    engine_output made;
    made.id = it.request.id;
    made.at = *step_ends_;
    made.produced = ++it.produced;
    made.cached_tokens = it.cached_tokens;
    ++work_.generated_tokens;
    const bool first = !it.seen_first;
    if (!it.published)
        publish(it);
    it.published = true;
    if (first) {
        it.seen_first = true;
        made.what = engine_output::kind::first_token;
    }
    if (first || options_.every_token)
        out.push_back(made);
    if (it.produced >= it.request.output_tokens) {
        made.what = engine_output::kind::finished;
        out.push_back(made);
    }
}

void engine_model::note(engine_cache_event::kind what, std::uint64_t hash)
{
    if (!pending_.blocks.empty() && pending_.what != what)
        flush_events();
    pending_.what = what;
    pending_.blocks.push_back(hash);
}

void engine_model::flush_events()
{
    if (pending_.blocks.empty())
        return;
    pending_.sequence = next_event_++;
    if (!random_.chance(options_.event_loss))
        events_.emplace_back(now_ + options_.event_lag, std::move(pending_));
    pending_ = engine_cache_event();
}

void engine_model::sample(instant now)
{
    if (now < next_sample_)
        return;
    reports_.emplace_back(now + options_.report_lag, load(now));
    next_sample_ = now + options_.report_interval;
}

} // namespace fennelladder::standin
