// Records are small join-semilattices: a map of deaths by id (the latest
// sighting of a death wins, the smallest ids are kept when there are too
// many), and the greatest time of an answer and of a refusal. Deaths not later
// than the last answer are dropped; since the latest sighting counts, it makes
// no difference whether that happens before or after a join. What a record says
// follows from its state alone, so nodes with the same records judge alike:
//
//     none counts                       clear
//     one counts, never answered        suspect: the witness runs it alone
//     one counts, answered before       clear, but one more condemns it
//     two or more count                 condemned
//
// Runs are indexed by their marks; finding the runs of a target goes through
// all runs of the node, which is only done when a target died.

#include "fennelladder/request/suspect_list.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <string>

namespace fennelladder::request {

namespace {

constexpr auto verdict_names = std::to_array<std::string_view>(
    {"free", "same_target", "alone", "wait", "elsewhere", "refused"});

constexpr std::uint64_t key_seed = 1;
constexpr std::uint64_t body_seed = 2;
constexpr std::uint64_t death_seed = 3;

// A refusal is noted at most this many times per record's memory, so that a
// caller in a loop doesn't turn into news for every node.
constexpr int refusals_noted = 16;

bool is_space(char it)
{
    return it == ' ' || it == '\n' || it == '\r' || it == '\t';
}

std::string without_layout(std::string_view body)
{
    std::string kept;
    kept.reserve(body.size());
    bool quoted = false;
    bool escaped = false;
    for (const char it : body) {
        if (!quoted && is_space(it))
            continue;
        kept += it;
        if (it == '"' && !escaped)
            quoted = !quoted;
        escaped = it == '\\' && !escaped;
    }
    return kept;
}

std::uint64_t death_id(const target_id& target, target_life life,
                       const incarnation_id& witness, instant now)
{
    const std::uint64_t hash = hash64(target.str(), death_seed);
    if (life != target_life())
        return hash64(to_hex(life.value()), hash);
    // The same target may die again under the same name; taking that for one
    // death would let a request kill it over and over.
    return hash64(witness.str() +
                      to_hex(static_cast<std::uint64_t>(to_nanoseconds(now))),
                  hash);
}

bool same_life(target_life a, target_life b)
{
    return a == b || a == target_life() || b == target_life();
}

bool counts(const target_death& it, const suspect_record& record)
{
    return it.at > record.answered;
}

std::uint64_t death_set_hash(const suspect_record& record)
{
    std::uint64_t hash = 0;
    for (const target_death& it : record.deaths) {
        if (counts(it, record))
            hash = hash64(to_hex(it.id), hash + 1);
    }
    return hash;
}

instant last_use(const suspect_record& record)
{
    instant last = std::max(record.refused, record.answered);
    for (const target_death& it : record.deaths)
        last = std::max(last, it.at);
    return last;
}

bool earlier(const target_death& a, const target_death& b)
{
    return std::tie(a.at, a.witness) < std::tie(b.at, b.witness);
}

void insert(std::vector<target_death>& deaths, const target_death& it)
{
    const auto at =
        std::ranges::lower_bound(deaths, it.id, {}, &target_death::id);
    if (at == deaths.end() || at->id != it.id) {
        deaths.insert(at, it);
        return;
    }
    if (earlier(*at, it))
        *at = it;
}

} // namespace

std::string_view to_string(run_verdict value)
{
    return verdict_names.at(static_cast<std::size_t>(value));
}

run_marks marks_of(const team_id& team, const request_key& key,
                   const model_id& model, std::string_view body)
{
    const std::uint64_t of_key =
        hash64(key.str(), hash64(team.str(), key_seed));
    const std::uint64_t of_body =
        hash64(without_layout(body), hash64(model.str(), body_seed));
    return {suspect_mark(of_key), suspect_mark(of_body)};
}

void join(suspect_record& into, const suspect_record& from)
{
    assert(into.mark == from.mark);
    into.answered = std::max(into.answered, from.answered);
    into.refused = std::max(into.refused, from.refused);
    for (const target_death& it : from.deaths)
        insert(into.deaths, it);
    std::erase_if(into.deaths, [&into](const target_death& it) {
        return !counts(it, into);
    });
    if (into.deaths.size() > suspect_list::deaths_kept)
        into.deaths.resize(suspect_list::deaths_kept);
}

suspect_list::suspect_list(incarnation_id self, suspect_list_options options)
    : self_(std::move(self)), options_(options),
      proved_(std::max<std::size_t>(options.proved_slots, 1))
{}

suspect_list::standing suspect_list::standing_of(const suspect_record& record)
{
    const auto n =
        std::ranges::count_if(record.deaths, [&record](const target_death& it) {
            return counts(it, record);
        });
    if (n >= 2)
        return standing::condemned;
    const bool answered_before = record.answered != instant();
    return n == 1 && !answered_before ? standing::suspect : standing::clear;
}

const target_death& suspect_list::first_death(const suspect_record& record)
{
    assert(!record.deaths.empty());
    return *std::ranges::min_element(record.deaths, earlier);
}

suspect_list::known_record* suspect_list::find(suspect_mark mark)
{
    const auto it = records_.find(mark);
    return it == records_.end() ? nullptr : &it->second;
}

suspect_list::known_record& suspect_list::touch(suspect_mark mark)
{
    known_record& it = records_[mark];
    it.record.mark = mark;
    it.changed = ++changes_;
    return it;
}

bool suspect_list::is_settled(const known_record& it, const peer_ack& ack)
{
    // A copy that runs at the peer only matters while this node waits to run
    // a suspect alone.
    const bool waits = standing_of(it.record) == standing::suspect;
    return ack.deaths == death_set_hash(it.record) && !(waits && ack.running);
}

bool suspect_list::may_run_alone(const known_record& it, instant now) const
{
    if (it.alone_now || copies_.contains(it.record.mark))
        return false;
    const duration age = now - first_death(it.record).at;
    if (options_.ack_patience && age >= *options_.ack_patience)
        return true;
    return std::ranges::all_of(peers_, [&](const incarnation_id& peer) {
        const auto ack = it.acks.find(peer);
        return ack != it.acks.end() && is_settled(it, ack->second);
    });
}

run_permit suspect_list::judge_record(known_record& it, instant now)
{
    run_permit permit;
    switch (standing_of(it.record)) {
    case standing::clear:
        return permit;
    case standing::condemned:
        permit.verdict = run_verdict::refused;
        if (now - it.record.refused > options_.memory / refusals_noted) {
            it.record.refused = now;
            it.changed = ++changes_;
        }
        return permit;
    case standing::suspect:
        break;
    }
    permit.owner = first_death(it.record).witness;
    if (permit.owner != self_) {
        permit.verdict = run_verdict::elsewhere;
        permit.retry_after = options_.elsewhere_hint;
        return permit;
    }
    // Two runs alone at once would be two more deaths. There is one witness,
    // and it begins the run only when no copy runs here or elsewhere.
    permit.verdict =
        may_run_alone(it, now) ? run_verdict::alone : run_verdict::wait;
    permit.retry_after = options_.wait_hint;
    return permit;
}

run_permit suspect_list::judge_copies(suspect_mark body) const
{
    run_permit permit;
    const auto copies = copies_.find(body);
    if (copies == copies_.end() || proved_at(body) != instant())
        return permit;
    // Copies of a body not proved yet share a target: if it is poison, one
    // target dies of all of them. Those begun and not placed yet were told
    // the same target, or are the first.
    permit.verdict = run_verdict::wait;
    permit.retry_after = options_.wait_hint;
    for (const run_number it : copies->second) {
        const run_state& run = runs_.at(it);
        if (run.doubted_since != instant()) {
            permit.verdict = run_verdict::wait;
            return permit;
        }
        if (run.target.empty())
            continue;
        permit.verdict = run_verdict::same_target;
        permit.target = run.target;
    }
    return permit;
}

run_permit suspect_list::begin(const run_marks& marks, instant now)
{
    const std::lock_guard lock(mutex_);
    end_earlier_attempt(marks);
    run_permit permit = judge_copies(marks.body);
    for (const suspect_mark mark : {marks.key, marks.body}) {
        known_record* it = find(mark);
        if (it == nullptr)
            continue;
        run_permit found = judge_record(*it, now);
        if (found.verdict > permit.verdict)
            permit = std::move(found);
    }
    const bool runs = permit.verdict < run_verdict::wait;
    if (runs)
        permit.run = add_run(marks, permit.verdict == run_verdict::alone);
    return permit;
}

// A request that was refused by one target asks again for the next one. If its
// first attempt still counted as a copy, it would be sent to the same target
// until its attempts are used up. One key has one run at a time, so an
// attempt of it that isn't in doubt is over.
void suspect_list::end_earlier_attempt(const run_marks& marks)
{
    const auto copies = copies_.find(marks.key);
    if (copies == copies_.end())
        return;
    const std::vector<run_number> earlier = copies->second;
    for (const run_number run : earlier) {
        const run_state& it = runs_.at(run);
        if (it.marks.body == marks.body && it.doubted_since == instant())
            remove_run(run);
    }
}

run_number suspect_list::add_run(const run_marks& marks, bool alone)
{
    last_run_ = last_run_.next();
    run_state& made = runs_[last_run_];
    made.marks = marks;
    made.alone = alone;
    for (const suspect_mark mark : {marks.key, marks.body}) {
        copies_[mark].push_back(last_run_);
        known_record* it = find(mark);
        if (alone && it != nullptr)
            it->alone_now = true;
    }
    return last_run_;
}

void suspect_list::remove_run(run_number run)
{
    const auto found = runs_.find(run);
    if (found == runs_.end())
        return;
    const run_state state = std::move(found->second);
    runs_.erase(found);
    for (const suspect_mark mark : {state.marks.key, state.marks.body}) {
        const auto copies = copies_.find(mark);
        std::erase(copies->second, run);
        if (copies->second.empty())
            copies_.erase(copies);
        known_record* it = find(mark);
        if (state.alone && it != nullptr)
            it->alone_now = false;
    }
}

void suspect_list::placed(run_number run, const target_id& target,
                          target_life life)
{
    const std::lock_guard lock(mutex_);
    run_state& it = runs_.at(run);
    it.target = target;
    it.life = life;
}

void suspect_list::ended(run_number run, run_end how, instant now)
{
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(run);
    if (found == runs_.end())
        return;
    if (how == run_end::lost && !found->second.target.empty()) {
        found->second.doubted_since = now;
        return;
    }
    if (how == run_end::answered)
        note_answer(found->second, now);
    remove_run(run);
}

void suspect_list::note_answer(const run_state& run, instant now)
{
    for (const suspect_mark mark : {run.marks.key, run.marks.body}) {
        if (known_record* it = find(mark)) {
            suspect_record answer;
            answer.mark = mark;
            answer.answered = now;
            join(it->record, answer);
            it->changed = ++changes_;
        }
    }
    set_proved(run.marks.body, now);
}

void suspect_list::set_proved(suspect_mark mark, instant at)
{
    proved_[mark.value() % proved_.size()] = {mark, at};
}

instant suspect_list::proved_at(suspect_mark mark) const
{
    const auto& [known, at] = proved_[mark.value() % proved_.size()];
    return known == mark ? at : instant();
}

void suspect_list::note_death(const run_state& run, instant now)
{
    for (const suspect_mark mark : {run.marks.key, run.marks.body}) {
        suspect_record news;
        news.mark = mark;
        news.answered = proved_at(mark);
        news.deaths = {
            {death_id(run.target, run.life, self_, now), now, self_}};
        known_record& it = touch(mark);
        it.witnessed = true;
        join(it.record, news);
    }
}

bool suspect_list::blame(const std::vector<run_number>& runs, instant now)
{
    for (const run_number run : runs) {
        note_death(runs_.at(run), now);
        remove_run(run);
    }
    return !runs.empty();
}

bool suspect_list::target_died(const target_id& target, target_life life,
                               instant now)
{
    const std::lock_guard lock(mutex_);
    std::vector<run_number> there;
    for (const auto& [run, it] : runs_) {
        if (it.target == target && same_life(it.life, life))
            there.push_back(run);
    }
    return blame(there, now);
}

bool suspect_list::target_alive(const target_id& target, target_life life,
                                instant now)
{
    const std::lock_guard lock(mutex_);
    std::vector<run_number> died;
    std::vector<run_number> over;
    for (const auto& [run, it] : runs_) {
        if (it.target != target)
            continue;
        // A target that crashed and was started anew answers a probe, too;
        // it is told apart by its life.
        if (!same_life(it.life, life))
            died.push_back(run);
        else if (it.doubted_since != instant())
            over.push_back(run);
    }
    for (const run_number run : over)
        remove_run(run);
    return blame(died, now);
}

void suspect_list::set_peers(std::set<incarnation_id> peers)
{
    const std::lock_guard lock(mutex_);
    peers.erase(self_);
    peers_ = std::move(peers);
    for (auto& [mark, it] : records_) {
        std::erase_if(it.acks, [this](const auto& ack) {
            return !peers_.contains(ack.first);
        });
    }
}

std::vector<suspect_record>
suspect_list::pending_for(const incarnation_id& peer) const
{
    const std::lock_guard lock(mutex_);
    std::vector<suspect_record> pending;
    for (const auto& [mark, it] : records_) {
        if (!it.witnessed)
            continue;
        const auto ack = it.acks.find(peer);
        if (ack == it.acks.end() || !is_settled(it, ack->second))
            pending.push_back(it.record);
    }
    return pending;
}

std::vector<suspect_ack>
suspect_list::merge(std::span<const suspect_record> records, instant now)
{
    const std::lock_guard lock(mutex_);
    std::vector<suspect_ack> acks;
    for (const suspect_record& it : records) {
        if (now - last_use(it) > options_.memory)
            continue;
        suspect_record news = it;
        news.answered = std::max(news.answered, proved_at(it.mark));
        known_record* old = find(it.mark);
        suspect_record joined = old != nullptr ? old->record : suspect_record();
        joined.mark = it.mark;
        join(joined, news);
        if (old == nullptr || !(joined == old->record))
            touch(it.mark).record = joined;
        acks.push_back({it.mark, death_set_hash(joined),
                        copies_.contains(it.mark), joined.answered});
    }
    forget_old(now);
    return acks;
}

void suspect_list::on_ack(const incarnation_id& peer,
                          std::span<const suspect_ack> acks)
{
    const std::lock_guard lock(mutex_);
    for (const suspect_ack& it : acks) {
        known_record* known = find(it.mark);
        if (known == nullptr)
            continue;
        if (it.answered > known->record.answered) {
            suspect_record news;
            news.mark = it.mark;
            news.answered = it.answered;
            join(known->record, news);
            known->changed = ++changes_;
        }
        if (peers_.contains(peer))
            known->acks[peer] = {it.deaths, it.running};
    }
}

std::pair<std::vector<suspect_record>, std::uint64_t>
suspect_list::changes_since(std::uint64_t cursor, std::size_t limit) const
{
    const std::lock_guard lock(mutex_);
    std::vector<const known_record*> changed;
    for (const auto& [mark, it] : records_) {
        if (it.changed > cursor)
            changed.push_back(&it);
    }
    std::ranges::sort(changed, {}, &known_record::changed);
    if (changed.size() > limit)
        changed.resize(limit);
    std::vector<suspect_record> records;
    for (const known_record* it : changed) {
        records.push_back(it->record);
        cursor = it->changed;
    }
    return {std::move(records), cursor};
}

bool suspect_list::forgive(suspect_mark mark, instant now)
{
    const std::lock_guard lock(mutex_);
    if (find(mark) == nullptr)
        return false;
    suspect_record answer;
    answer.mark = mark;
    answer.answered = now;
    known_record& it = touch(mark);
    it.witnessed = true; // this node tells the others
    join(it.record, answer);
    return true;
}

std::vector<quarantined_request> suspect_list::quarantined(instant now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<quarantined_request> all;
    for (const auto& [mark, it] : records_) {
        const standing found = standing_of(it.record);
        const bool old = now - last_use(it.record) > options_.memory;
        if (found != standing::clear && !old)
            all.push_back({it.record, found == standing::condemned});
    }
    return all;
}

bool suspect_list::expire(instant now)
{
    const std::lock_guard lock(mutex_);
    std::vector<run_number> overdue;
    for (const auto& [run, it] : runs_) {
        const bool doubted = it.doubted_since != instant();
        if (doubted && now - it.doubted_since > options_.doubt_limit)
            overdue.push_back(run);
    }
    const bool news = blame(overdue, now);
    forget_old(now);
    return news;
}

void suspect_list::forget_old(instant now)
{
    std::erase_if(records_, [&](const auto& item) {
        const suspect_record& it = item.second.record;
        const bool clear = it.deaths.empty();
        const duration age = now - last_use(it);
        return age > (clear ? options_.cleared_memory : options_.memory);
    });
    // Past the limit the least recently used go, cleared ones first, and
    // condemned ones last.
    while (records_.size() > options_.max_records) {
        const auto least =
            std::ranges::min_element(records_, {}, [](const auto& item) {
                const suspect_record& it = item.second.record;
                return std::pair(standing_of(it), last_use(it));
            });
        records_.erase(least);
    }
}

} // namespace fennelladder::request
