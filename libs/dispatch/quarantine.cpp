#include "fennelladder/dispatch/quarantine.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>

namespace fennelladder::dispatch {

namespace {

constexpr run_place unknown_place{};

/// Share of a mark's deaths that it has in common with another one if the two
/// can't be told apart. Not all: some deaths may not have been heard of yet.
constexpr double min_shared = 0.5;

instant sent_at(const crash_death<instant>& it)
{
    return it.at - it.ran;
}

/// Whether the answer says something of the death, for a run at `place`.
/// Operators clear marks at all places.
bool is_comparable(const crash_answer<instant>& answer,
                   const crash_death<instant>& death, run_place place)
{
    return answer.place == death.place || death.place == unknown_place ||
           answer.place == place || answer.place == unknown_place;
}

/// Whether the answer shows that the target didn't die of the mark.
bool clears(const crash_answer<instant>& answer,
            const crash_death<instant>& death, run_place place)
{
    return answer.at >= death.at && is_comparable(answer, death, place);
}

/// Joins an answer into a list that has one of each place.
bool join_answer(std::vector<crash_answer<instant>>& into,
                 const crash_answer<instant>& answer)
{
    const auto known =
        std::ranges::find(into, answer.place, &crash_answer<instant>::place);
    if (known == into.end()) {
        into.push_back(answer);
        return true;
    }
    if (known->at >= answer.at)
        return false;
    known->at = answer.at;
    return true;
}

crash_record aged_record(const crash_mark& mark,
                         std::span<const crash_death<instant>> deaths,
                         std::span<const crash_answer<instant>> answers,
                         instant now)
{
    crash_record out;
    out.mark = mark;
    for (const crash_death<instant>& it : deaths)
        out.deaths.push_back(
            {it.target, it.place, now - it.at, it.ran, it.leased});
    for (const crash_answer<instant>& it : answers)
        out.answers.push_back({it.place, now - it.at});
    return out;
}

} // namespace

std::string crash_mark::text() const
{
    return (is_part ? "part " : "request ") + to_hex(value);
}

run_place place_of(const service_id& service,
                   const catalog::software_version& software)
{
    constexpr std::uint64_t mask = 0x7fffffff;
    // 0 stands for an unknown place.
    return run_place((hash64(software.str(), hash64(service.str())) & mask) |
                     1U);
}

std::string_view to_string(suspicion value)
{
    switch (value) {
    case suspicion::clear:
        return "clear";
    case suspicion::suspected:
        return "suspected";
    case suspicion::condemned:
        return "condemned";
    }
    return "unknown";
}

quarantine::quarantine(quarantine_options options) : options_(options)
{}

/// The deaths that no answer clears, in the order in which the requests were
/// sent.
quarantine::death_list quarantine::open_deaths(const entry& it,
                                               run_place place) const
{
    death_list out;
    for (const crash_death<instant>& death : it.deaths) {
        const bool cleared =
            std::ranges::any_of(it.answers, [&](const auto& answer) {
                return clears(answer, death, place);
            });
        if (!cleared)
            out.push_back(&death);
    }
    return out;
}

/// Precondition: `deaths` is ordered by the time of sending.
int quarantine::count_rounds(const death_list& deaths, bool of_part) const
{
    // A second attempt of one request is sent after the first one's death.
    const duration news_time = of_part ? options_.news_time : duration(0);
    int out = 0;
    instant first_death;
    for (const crash_death<instant>* it : deaths) {
        const bool is_next =
            out == 0 || it->leased || sent_at(*it) > first_death + news_time;
        first_death = is_next ? it->at : std::min(first_death, it->at);
        out += is_next;
    }
    return out;
}

const std::vector<crash_answer<instant>>*
quarantine::proofs_of(const crash_mark& mark) const
{
    for (const proof_map* it : {&newer_proofs_, &older_proofs_})
        if (const auto found = it->find(mark); found != it->end())
            return &found->second;
    return nullptr;
}

bool quarantine::is_proven(const crash_mark& mark, run_place place,
                           instant now) const
{
    const auto is_proof = [&](const crash_answer<instant>& it) {
        return it.place == place && now - it.at < options_.proof_retention;
    };
    const auto* own = proofs_of(mark);
    if (own != nullptr && std::ranges::any_of(*own, is_proof))
        return true;
    const auto known = entries_.find(mark);
    return known != entries_.end() &&
           std::ranges::any_of(known->second.answers, is_proof);
}

/// Whether the mark was answered shortly before its first open death.
bool quarantine::was_proven(const entry& it, const crash_death<instant>& first,
                            run_place place) const
{
    return std::ranges::any_of(it.answers, [&](const auto& answer) {
        return answer.at + options_.proof_retention > first.at &&
               is_comparable(answer, first, place);
    });
}

/// Whether one of the deaths came together with those of other targets, on most
/// of which no request with the mark ran.
bool quarantine::has_coincidence(const death_list& deaths) const
{
    const auto is_near = [&](instant a, instant b) {
        return std::max(a, b) - std::min(a, b) <= options_.coincidence_time;
    };
    return std::ranges::any_of(deaths, [&](const auto* death) {
        const auto from =
            processes_.lower_bound(death->at - options_.coincidence_time);
        const auto to =
            processes_.upper_bound(death->at + options_.coincidence_time);
        const auto all = std::distance(from, to);
        const auto own = std::ranges::count_if(
            deaths, [&](const auto* it) { return is_near(it->at, death->at); });
        // A record may have dropped deaths of those that it has many of.
        const bool has_all =
            own < static_cast<std::ptrdiff_t>(options_.max_deaths_told);
        return all >= options_.coincident_deaths && has_all && own * 2 < all;
    });
}

/// Rounds that don't count against the mark. `proven`: it was answered shortly
/// before the first of them.
int quarantine::excused_rounds(const death_list& deaths, bool proven) const
{
    return (proven ? 1 : 0) + (has_coincidence(deaths) ? 1 : 0);
}

/// Records when the process died, by the earliest report.
void quarantine::note_process(const catalog::target_process& target, instant at)
{
    const auto known = died_.find(target);
    if (known != died_.end() && known->second <= at)
        return;
    if (known != died_.end()) {
        const auto [from, to] = processes_.equal_range(known->second);
        processes_.erase(std::find_if(
            from, to, [&](const auto& it) { return it.second == target; }));
    }
    died_[target] = at;
    processes_.emplace(at, target);
    while (processes_.size() > options_.max_processes) {
        died_.erase(processes_.begin()->second);
        processes_.erase(processes_.begin());
    }
}

/// Leaves out the deaths whose cause is a condemned mark that the request
/// doesn't have, and with which more targets died.
quarantine::unexplained
quarantine::without_known_cause(death_list deaths, const crash_mark& mark,
                                std::span<const crash_mark> marks) const
{
    unexplained out{std::move(deaths)};
    for (const crash_mark& other : condemned_) {
        if (other == mark || out.deaths.empty() ||
            std::ranges::find(marks, other) != marks.end())
            continue;
        const entry& cause = entries_.at(other);
        const death_list known = open_deaths(cause, unknown_place);
        const auto is_known = [&](const crash_death<instant>* death) {
            return std::ranges::any_of(known, [&](const auto* it) {
                return it->target == death->target;
            });
        };
        if (known.size() > out.deaths.size()) {
            std::erase_if(out.deaths, is_known);
            continue;
        }
        const auto shared = std::ranges::count_if(out.deaths, is_known);
        // A run without the other mark tells the two apart.
        const bool told_apart =
            std::ranges::any_of(out.deaths, [&](const auto* it) {
                return it->leased && !is_known(it);
            });
        const auto most = static_cast<double>(out.deaths.size());
        out.has_equal |=
            !told_apart && static_cast<double>(shared) >= min_shared * most;
    }
    return out;
}

assessment quarantine::assess(const crash_mark& mark,
                              std::span<const crash_mark> marks,
                              run_place place, instant now) const
{
    assessment out;
    const auto known = entries_.find(mark);
    if (known == entries_.end() ||
        now - known->second.last_death >= options_.retention)
        return out;
    const entry& it = known->second;
    death_list all = open_deaths(it, place);
    if (all.empty())
        return out;
    out.proven = was_proven(it, *all.front(), place);
    const auto [deaths, has_equal] =
        without_known_cause(std::move(all), mark, marks);
    out.deaths = deaths.size();
    out.rounds = count_rounds(deaths, mark.is_part);
    const int counted = out.rounds - excused_rounds(deaths, out.proven);
    if (counted <= 0)
        return out;
    out.level = counted < options_.condemning_rounds || has_equal
                    ? suspicion::suspected
                    : suspicion::condemned;
    if (out.level != suspicion::condemned)
        return out;
    instant last;
    for (const crash_death<instant>* death : deaths)
        last = std::max(last, death->at);
    const auto pause =
        static_cast<std::size_t>(counted - options_.condemning_rounds);
    out.next_run =
        last + options_.pauses.at(std::min(pause, options_.pauses.size() - 1));
    return out;
}

std::vector<crash_mark>
quarantine::suspects_of(std::span<const crash_mark> marks, run_place place,
                        instant now) const
{
    std::vector<crash_mark> out;
    for (const crash_mark& it : marks)
        if (assess(it, marks, place, now).level != suspicion::clear)
            out.push_back(it);
    return out;
}

std::optional<quarantine::worst_mark>
quarantine::worst_of(std::span<const crash_mark> marks, run_place place,
                     instant now) const
{
    std::optional<worst_mark> out;
    for (const crash_mark& it : marks) {
        const assessment got = assess(it, marks, place, now);
        const auto order = [](const assessment& of) {
            return std::tuple(of.level, of.next_run, of.deaths);
        };
        if (got.level != suspicion::clear &&
            (!out || order(got) > order(out->state)))
            out = {it, got};
    }
    return out;
}

bool quarantine::is_condemned(const entry& it, bool of_part) const
{
    const death_list deaths = open_deaths(it, unknown_place);
    if (deaths.empty())
        return false;
    const bool proven = was_proven(it, *deaths.front(), unknown_place);
    return count_rounds(deaths, of_part) - excused_rounds(deaths, proven) >=
           options_.condemning_rounds;
}

void quarantine::update_condemned(const crash_mark& mark, const entry& it)
{
    if (is_condemned(it, mark.is_part))
        condemned_.insert(mark);
    else
        condemned_.erase(mark);
}

/// Adds a death or joins it with the one of the same process. Returns whether
/// that changed the entry.
bool quarantine::add_death(entry& it, const crash_death<instant>& death)
{
    note_process(death.target, death.at);
    const bool has_start = catalog::is_known(death.target.start);
    const auto same = std::ranges::find_if(it.deaths, [&](const auto& known) {
        const bool comparable =
            has_start && catalog::is_known(known.target.start);
        return known.target.id == death.target.id &&
               (!comparable || known.target.start == death.target.start);
    });
    if (same == it.deaths.end()) {
        it.deaths.push_back(death);
        it.last_death = std::max(it.last_death, death.at);
        return true;
    }
    const crash_death<instant> before = *same;
    const instant sent = std::min(sent_at(before), sent_at(death));
    same->at = std::min(before.at, death.at);
    same->ran = same->at - sent;
    same->leased |= death.leased;
    if (has_start)
        same->target.start = death.target.start;
    if (before.place == unknown_place)
        same->place = death.place;
    return same->leased != before.leased || same->target != before.target ||
           same->place != before.place;
}

/// Orders the deaths, and drops some that add no round if there are too many.
void quarantine::trim(std::vector<crash_death<instant>>& deaths,
                      std::size_t limit, bool of_part) const
{
    std::ranges::stable_sort(deaths, {}, [](const auto& death) {
        return std::pair(sent_at(death), death.target);
    });
    while (deaths.size() > limit) {
        death_list all;
        for (const auto& death : deaths)
            all.push_back(&death);
        const int rounds = count_rounds(all, of_part);
        std::size_t dropped = deaths.size() - 1;
        for (; dropped > 0; --dropped) {
            death_list rest = all;
            rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(dropped));
            if (count_rounds(rest, of_part) == rounds)
                break;
        }
        deaths.erase(deaths.begin() + static_cast<std::ptrdiff_t>(dropped));
    }
}

void quarantine::note_change(const crash_mark& mark, entry& it, instant now)
{
    by_change_.erase({it.changed, mark});
    it.changed = now;
    by_change_.emplace(now, mark);
}

/// Takes in a change of the entry's deaths or answers. The entry may be
/// evicted.
void quarantine::complete(const crash_mark& mark, entry& it, instant now)
{
    note_change(mark, it, now);
    if (const auto* own = proofs_of(mark))
        for (const crash_answer<instant>& answer : *own)
            join_answer(it.answers, answer);
    trim(it.deaths, options_.max_deaths, mark.is_part);
    update_condemned(mark, it);
    evict(now);
}

bool quarantine::note_death(const crash_mark& mark,
                            const crash_death<instant>& death, instant now)
{
    entry& it = entries_[mark];
    const bool changed = add_death(it, death);
    if (changed)
        complete(mark, it, now);
    return changed;
}

bool quarantine::note_answer(std::span<const crash_mark> marks, run_place place,
                             instant now)
{
    bool out = false;
    for (const crash_mark& mark : marks) {
        if (mark.is_part) {
            if (newer_proofs_.size() >= options_.max_proofs / 2) {
                older_proofs_ = std::move(newer_proofs_);
                newer_proofs_.clear();
            }
            join_answer(newer_proofs_[mark], {place, now});
        }
        const auto known = entries_.find(mark);
        if (known == entries_.end() ||
            open_deaths(known->second, place).empty())
            continue;
        join_answer(known->second.answers, {place, now});
        note_change(mark, known->second, now);
        update_condemned(mark, known->second);
        out = true;
    }
    return out;
}

bool quarantine::merge(const crash_record& record, instant now)
{
    const bool is_known = entries_.contains(record.mark);
    if (!is_known && record.deaths.empty())
        return false;
    entry& it = entries_[record.mark];
    bool changed = false;
    for (const crash_answer<duration>& answer : record.answers)
        changed |= join_answer(it.answers, {answer.place, now - answer.at});
    for (const crash_death<duration>& death : record.deaths) {
        const crash_death<instant> here{
            death.target, death.place, now - death.at, death.ran, death.leased};
        changed |= add_death(it, here);
    }
    if (changed)
        complete(record.mark, it, now);
    return changed;
}

/// The record for peers: of too many deaths, the first of the newest rounds.
crash_record quarantine::told_record(const crash_mark& mark, const entry& it,
                                     instant now) const
{
    std::vector<crash_death<instant>> few = it.deaths;
    trim(few, options_.max_deaths_told, mark.is_part);
    return aged_record(mark, few, it.answers, now);
}

std::vector<crash_record> quarantine::take_news(duration span,
                                                std::size_t limit, instant now)
{
    struct row
    {
        bool is_first;
        instant told;
        crash_mark mark;
    };
    std::vector<row> all;
    for (const crash_mark& it : condemned_)
        all.push_back({true, entries_.at(it).told, it});
    for (auto it = by_change_.rbegin();
         it != by_change_.rend() && now - it->first < span; ++it)
        if (!condemned_.contains(it->second))
            all.push_back({false, entries_.at(it->second).told, it->second});
    const std::size_t n = std::min(limit, all.size());
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(n);
    std::ranges::partial_sort(all, end, {}, [](const row& it) {
        return std::tuple(!it.is_first, it.told, it.mark);
    });
    std::vector<crash_record> out;
    for (auto it = all.begin(); it != end; ++it) {
        entry& told = entries_.at(it->mark);
        told.told = now;
        out.push_back(told_record(it->mark, told, now));
    }
    return out;
}

std::vector<crash_record>
quarantine::records_of(std::span<const crash_mark> marks, instant now) const
{
    std::vector<crash_record> out;
    for (const crash_mark& mark : marks)
        if (const auto known = entries_.find(mark); known != entries_.end())
            out.push_back(told_record(mark, known->second, now));
    return out;
}

std::vector<crash_record>
quarantine::records_of_death(std::span<const crash_mark> marks,
                             const crash_death<instant>& death,
                             instant now) const
{
    std::vector<crash_record> out;
    const std::span<const crash_death<instant>> one(&death, 1);
    for (const crash_mark& mark : marks) {
        const auto known = entries_.find(mark);
        out.push_back(known == entries_.end()
                          ? aged_record(mark, one, {}, now)
                          : aged_record(mark, one, known->second.answers, now));
    }
    return out;
}

std::vector<quarantined_mark> quarantine::list(std::size_t limit,
                                               instant now) const
{
    std::vector<quarantined_mark> out;
    for (const auto& [mark, it] : entries_) {
        const assessment state = assess(mark, {}, unknown_place, now);
        if (state.level != suspicion::clear)
            out.push_back({told_record(mark, it, now), state});
    }
    std::ranges::sort(out, std::greater<>(), [](const auto& it) {
        return std::tuple(it.state.level, it.state.deaths, it.record.mark);
    });
    if (out.size() > limit)
        out.resize(limit);
    return out;
}

bool quarantine::forgive(const crash_mark& mark, instant now)
{
    const auto known = entries_.find(mark);
    if (known == entries_.end())
        return false;
    join_answer(known->second.answers, {unknown_place, now});
    note_change(mark, known->second, now);
    update_condemned(mark, known->second);
    return true;
}

/// Condemned marks are the last to go.
void quarantine::evict(instant now)
{
    if (entries_.size() <= options_.max_records)
        return;
    struct row
    {
        bool condemned;
        instant last_death;
        crash_mark mark;
    };
    std::vector<row> all;
    for (const auto& [mark, it] : entries_) {
        const bool expired = now - it.last_death >= options_.retention;
        all.push_back(
            {!expired && condemned_.contains(mark), it.last_death, mark});
    }
    const std::size_t n = all.size() - options_.max_records * 7 / 8;
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(n);
    std::ranges::nth_element(all, end, {}, [](const row& it) {
        return std::tuple(it.condemned, it.last_death, it.mark);
    });
    for (auto it = all.begin(); it != end; ++it) {
        condemned_.erase(it->mark);
        by_change_.erase({entries_.at(it->mark).changed, it->mark});
        entries_.erase(it->mark);
    }
}

} // namespace fennelladder::dispatch
