// One flush: take what waits; hand own wishes to the first node in rank that
// answers, or append them here together with what others handed over; give
// the outcomes to whoever waits for them.
//
// Own wishes stay queued until their outcome is known, so a flush that fails
// anywhere changes nothing: the next one sends the same records again. Groups
// of others are only held for one flush, since their writers keep them; so an
// outage fills no memory on behalf of others.
//
// Cost: a flush copies its records once; memory is bounded by the options'
// max_pending_bytes, twice.

#include "fennelladder/journal/group_committer.hpp"

#include <algorithm>
#include <cassert>

namespace fennelladder::journal {

namespace {

// How soon a runner notices a wish whose flush is due earlier than the ones it
// waits for.
constexpr duration poll_interval = milliseconds(5);

std::size_t payload_bytes(const std::vector<record>& records)
{
    std::size_t bytes = 0;
    for (const record& it : records)
        bytes += it.payload.size();
    return bytes;
}

bool answers(const std::vector<applied_record>& made,
             const std::vector<record>& asked)
{
    return std::ranges::equal(made, asked,
                              [](const applied_record& a, const record& b) {
                                  return a.mark.sequence == b.mark.sequence &&
                                         a.mark.writer == b.mark.writer;
                              });
}

} // namespace

// --- outage gate -----------------------------------------------------------

outage_gate::outage_gate(std::uint64_t seed, duration first, duration limit)
    : first_(first), limit_(limit), random_(seed), interval_(first)
{}

bool outage_gate::may_try(instant now)
{
    const std::lock_guard lock(mutex_);
    if (!down_)
        return true;
    if (now < next_)
        return false;
    // The one that got through keeps the others waiting till it is back.
    next_ = now + jitter(random_, interval_);
    return true;
}

void outage_gate::note(bool reached, instant now)
{
    const std::lock_guard lock(mutex_);
    if (reached) {
        down_ = false;
        return;
    }
    interval_ = down_ ? std::min(interval_ * 2, limit_) : first_;
    down_ = true;
    next_ = now + jitter(random_, interval_);
}

instant outage_gate::next_try() const
{
    const std::lock_guard lock(mutex_);
    return next_;
}

group_committer::group_committer(platform::object_store& store,
                                 const journal_layout& layout, shard_id shard,
                                 incarnation_id self, state_factory factory,
                                 owner_ranking owners, forwarder* peers,
                                 std::uint64_t seed, committer_options options)
    : shard_(shard), self_(std::move(self)), owners_(std::move(owners)),
      peers_(peers), options_(std::move(options)),
      log_(store, layout, shard, std::move(factory), seed, options_.log),
      random_(seed ^ shard.value())
{
    assert(options_.max_pending <= mark_window);
}

// --- queueing --------------------------------------------------------------

void group_committer::shorten_due(instant now)
{
    if (retrying_)
        return;
    const bool full =
        figures_.pending_bytes + group_bytes_ >= options_.log.max_segment_bytes;
    const duration interval =
        owner_ ? options_.flush_interval : options_.forward_interval;
    due_ = std::min(due_, full ? now : now + interval);
}

result<std::uint64_t> group_committer::submit(int type, std::string payload,
                                              callback done, instant now)
{
    if (payload.size() > max_payload_bytes)
        return fail(error_code::too_large, "payload of a record");
    const std::lock_guard lock(queue_mutex_);
    if (pending_.size() >= options_.max_pending ||
        figures_.pending_bytes + payload.size() > options_.max_pending_bytes) {
        ++figures_.turned_away;
        return fail(error_code::exhausted, "too many wishes wait");
    }
    const std::uint64_t sequence = next_sequence_++;
    figures_.pending_bytes += payload.size();
    record wish{{self_, sequence, 0, 0}, type, std::move(payload)};
    pending_.push_back({std::move(wish), std::move(done), now});
    shorten_due(now);
    return sequence;
}

status group_committer::gather(std::vector<record> records, group_callback done,
                               instant now)
{
    for (const record& it : records) {
        if (it.payload.size() > max_payload_bytes)
            return fail(error_code::too_large, "payload of a record");
    }
    const std::size_t bytes = payload_bytes(records);
    const std::lock_guard lock(queue_mutex_);
    if (group_bytes_ + bytes > options_.max_pending_bytes) {
        figures_.turned_away += records.size();
        return fail(error_code::exhausted, "too many wishes wait");
    }
    group_bytes_ += bytes;
    groups_.push_back({std::move(records), std::move(done)});
    shorten_due(now);
    return {};
}

instant group_committer::next_due() const
{
    const std::lock_guard lock(queue_mutex_);
    return due_;
}

std::vector<record> group_committer::pending() const
{
    const std::lock_guard lock(queue_mutex_);
    std::vector<record> records;
    records.reserve(pending_.size());
    for (const waiting_wish& it : pending_)
        records.push_back(it.wish);
    for (record& it : records)
        it.mark.opened_at = opened_at_.value_or(0);
    return records;
}

committer_figures group_committer::figures() const
{
    const std::lock_guard lock(queue_mutex_);
    committer_figures now = figures_;
    now.pending = pending_.size();
    now.oldest = pending_.empty() ? instant() : pending_.front().since;
    return now;
}

// --- flushing --------------------------------------------------------------

void group_committer::tick(instant now)
{
    if (next_due() <= now)
        (void)flush(now);
}

status group_committer::flush(instant now)
{
    status ok;
    calls_to_make calls;
    {
        const std::lock_guard lock(flush_mutex_);
        flush_work work = take_work();
        if (!work.own.empty() || !work.groups.empty())
            ok = run(work, now, calls);
        reschedule(ok, now);
    }
    for (const auto& it : calls)
        it();
    return ok;
}

group_committer::flush_work group_committer::take_work()
{
    const std::lock_guard lock(queue_mutex_);
    flush_work work;
    work.own.reserve(pending_.size());
    for (const waiting_wish& it : pending_) {
        work.own.push_back(it.wish);
        work.own.back().mark.acknowledged =
            pending_.front().wish.mark.sequence - 1;
    }
    work.groups.assign(std::move_iterator(groups_.begin()),
                       std::move_iterator(groups_.end()));
    groups_.clear();
    group_bytes_ = 0;
    due_ = instant::max();
    return work;
}

// A writer says from which position on it writes, the same in all its
// records; see fold.hpp.
status group_committer::open_marks(instant now)
{
    if (opened_at_)
        return {};
    return try_store(
        [this]() -> status {
            auto position = log_.read_checkpoint_position();
            if (!position)
                return tl::unexpected(position.error());
            const std::lock_guard lock(queue_mutex_);
            opened_at_ = *position;
            return {};
        },
        now);
}

// Calls the store unless it is known to be down.
status group_committer::try_store(const std::function<status()>& call,
                                  instant now)
{
    outage_gate* const gate = options_.gate.get();
    if (gate != nullptr && !gate->may_try(now))
        return fail(error_code::unavailable, "the store is down");
    auto ok = call();
    const bool reached = ok || (ok.error().code != error_code::unavailable &&
                                ok.error().code != error_code::ambiguous);
    if (gate != nullptr)
        gate->note(reached, now);
    return ok;
}

status group_committer::run(flush_work& work, instant now, calls_to_make& calls)
{
    if (auto ok = open_marks(now); !ok) {
        fail_groups(work, ok.error(), calls);
        return ok;
    }
    for (record& it : work.own)
        it.mark.opened_at = *opened_at_;
    const auto ranking = owners_ ? owners_() : std::vector<incarnation_id>();
    const bool owner = ranking.empty() || ranking.front() == self_;
    {
        const std::lock_guard lock(queue_mutex_);
        owner_ = owner;
    }
    if (!owner && work.groups.empty()) {
        auto made = forward_own(work.own, ranking, now);
        if (made) {
            resolve_own(*made, calls);
            if (now - last_append_ > options_.idle_close)
                log_.close();
            return {};
        }
    }
    auto made = append_here(work, owner, now);
    if (!made) {
        fail_groups(work, made.error(), calls);
        return tl::unexpected(made.error());
    }
    auto next = made->begin() + static_cast<std::ptrdiff_t>(work.own.size());
    for (waiting_group& it : work.groups) {
        const auto end = next + static_cast<std::ptrdiff_t>(it.records.size());
        calls.push_back([done = std::move(it.done),
                         part = outcomes(next, end)] { done(part); });
        next = end;
    }
    made->resize(work.own.size());
    resolve_own(*made, calls);
    return {};
}

result<group_committer::outcomes>
group_committer::forward_own(const std::vector<record>& own,
                             const std::vector<incarnation_id>& ranking,
                             instant now)
{
    std::erase_if(silent_until_,
                  [now](const auto& it) { return it.second <= now; });
    for (const incarnation_id& it : ranking) {
        if (it == self_ || peers_ == nullptr)
            break;
        if (silent_until_.contains(it))
            continue;
        auto made = peers_->forward(it, shard_, own);
        const bool good = made && answers(*made, own);
        const std::lock_guard lock(queue_mutex_);
        if (good) {
            ++figures_.forwarded;
            return made;
        }
        ++figures_.fallbacks;
        silent_until_[it] = now + options_.owner_retry;
    }
    return fail(error_code::unavailable, "no other node took the wishes");
}

result<group_committer::outcomes>
group_committer::append_here(const flush_work& work, bool owner, instant now)
{
    std::vector<record> records = work.own;
    for (const waiting_group& it : work.groups)
        records.insert(records.end(), it.records.begin(), it.records.end());
    outcomes made;
    auto ok = try_store(
        [&]() -> status {
            auto appended = log_.append(std::move(records));
            if (!appended)
                return tl::unexpected(appended.error());
            made = *std::move(appended);
            return {};
        },
        now);
    if (ok) {
        last_append_ = now;
        tend_checkpoint(owner);
    }
    const std::lock_guard lock(queue_mutex_);
    if (!ok)
        return tl::unexpected(ok.error());
    ++figures_.appended;
    return made;
}

// Others leave the checkpoint to the owner, which makes it at half of the ring,
// until it seems that the owner doesn't see to it. A checkpoint that fails is
// due again after the next flush.
void group_committer::tend_checkpoint(bool owner)
{
    if (log_.wants_checkpoint() && (owner || log_.ring_use() >= 0.75))
        (void)log_.checkpoint();
}

void group_committer::resolve_own(const outcomes& made, calls_to_make& calls)
{
    const std::lock_guard lock(queue_mutex_);
    for (const applied_record& it : made) {
        waiting_wish& first = pending_.front();
        assert(first.wish.mark.sequence == it.mark.sequence);
        figures_.pending_bytes -= first.wish.payload.size();
        ++figures_.committed;
        if (first.done)
            calls.push_back([done = std::move(first.done), it] { done(it); });
        pending_.pop_front();
    }
}

void group_committer::fail_groups(flush_work& work, const error& why,
                                  calls_to_make& calls)
{
    for (waiting_group& it : work.groups)
        calls.push_back(
            [done = std::move(it.done), why] { done(tl::unexpected(why)); });
}

void group_committer::reschedule(const status& ok, instant now)
{
    failed_flushes_ = ok ? 0 : failed_flushes_ + 1;
    const std::lock_guard lock(queue_mutex_);
    figures_.calls = log_.calls();
    figures_.failures += !ok;
    figures_.last_failure = ok ? -1 : static_cast<int>(ok.error().code);
    retrying_ = !ok;
    if (!ok) {
        due_ = now + backoff(random_, failed_flushes_ - 1, options_.first_retry,
                             options_.retry_limit);
    } else if (!pending_.empty()) {
        shorten_due(now); // submitted during the flush
    }
}

status group_committer::read(const std::function<void(const fold&)>& look)
{
    const std::lock_guard lock(flush_mutex_);
    auto read = log_.refresh();
    if (!read)
        return tl::unexpected(read.error());
    look(log_.folded());
    return {};
}

// --- runner ----------------------------------------------------------------

commit_runner::commit_runner(std::vector<group_committer*> committers,
                             const clock& time, std::size_t threads)
    : committers_(std::move(committers)), clock_(time)
{
    assert(threads > 0);
    for (std::size_t n = 0; n < threads; ++n)
        threads_.emplace_back([this, n, threads] { serve(n, threads); });
}

commit_runner::~commit_runner()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stopped_.notify_all();
    for (std::thread& it : threads_)
        it.join();
}

void commit_runner::serve(std::size_t first, std::size_t step)
{
    while (true) {
        instant due = instant::max();
        for (std::size_t n = first; n < committers_.size(); n += step) {
            committers_[n]->tick(clock_.now());
            due = std::min(due, committers_[n]->next_due());
        }
        const instant now = clock_.now();
        const duration wait =
            std::clamp(due - now, duration(1), duration(poll_interval));
        std::unique_lock lock(mutex_);
        if (stopped_.wait_for(lock, wait, [this] { return stopping_; }))
            return;
    }
}

} // namespace fennelladder::journal
