// Keeps requests from targets that they would crash.
//
// Now and then a target crashes on one request, or on a part that many prompts
// share. Its other requests break off as well, so a single death doesn't tell
// the cause. This table collects deaths and answers by mark (crash_record.hpp)
// and assesses a mark when a request with it is about to be sent:
//
//     for (const crash_mark& it : marks)
//         const assessment got = table.assess(it, marks, place, now);
//
//   - clear: send it.
//   - suspected: a target died, and nothing shows that the mark is harmless.
//     One such request may run at a time (run_leases.hpp).
//   - condemned: targets died in successive runs. One request may run as a
//     trial when `next_run` has come; the pause grows with each death.
//
// What clears a mark:
//
//   - A whole answer, by a target of the place where it died, after the death.
//     A part that crashes each target is never answered, while sound parts that
//     are in demand are answered all the time.
//   - An operator says that it is harmless.
//   - The cause is known: a condemned mark has the same deaths, and more of
//     them than this mark.
//
// Deaths count as rounds. Those of requests that were all sent before anybody
// could know of the first death are one round: a rack that loses its power is
// no stronger evidence than a single target. A run under a lease is a round by
// itself. One round makes a mark suspected, two make it condemned; one more
// each if the mark was answered shortly before, and one more if targets died
// at the same time on most of which no request with the mark ran.
//
// A part that was answered by one software version and not by another is
// assessed by place: deaths at other places count only while the place itself
// hasn't answered since.
//
// Nodes exchange records. Joining them is commutative and idempotent, so lost,
// repeated or reordered messages only delay what a node knows. Ages grow with
// each hop: a death is taken for later than it was and an answer for earlier,
// so that neither clears a mark wrongly.
//
// Not thread safe.

#ifndef FENNELLADDER_DISPATCH_QUARANTINE_HPP
#define FENNELLADDER_DISPATCH_QUARANTINE_HPP

#include "fennelladder/dispatch/crash_record.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace fennelladder::dispatch {

enum class suspicion : std::uint8_t
{
    clear,
    suspected,
    condemned
};

std::string_view to_string(suspicion value);

struct assessment
{
    suspicion level = suspicion::clear;
    int rounds = 0;         ///< Successive, as far as they count.
    std::size_t deaths = 0; ///< That count.
    instant next_run;       ///< Not before, if condemned.
    bool proven = false;    ///< Answered shortly before the first death.
};

struct quarantine_options
{
    /// Requests with a part that were sent up to this long after a death with
    /// it belong to the same round: time to notice the death, and to tell.
    duration news_time = milliseconds(500);
    /// Rounds that condemn a mark, and how long it pauses after them. The last
    /// value holds for all further rounds.
    int condemning_rounds = 2;
    std::array<duration, 4> pauses{seconds(10), minutes(1), minutes(3),
                                   minutes(10)};
    /// An answer counts as evidence for a mark this long.
    duration proof_retention = minutes(1);
    /// A record expires this long after its last death. Longer than any pause.
    duration retention = minutes(30);
    /// Targets that die within this time of each other, this many at least,
    /// have a common cause.
    duration coincidence_time = milliseconds(100);
    std::ptrdiff_t coincident_deaths = 3;
    std::size_t max_processes = 4096; ///< Whose death is remembered.
    std::size_t max_records = 16'384;
    std::size_t max_proofs = 16'384;
    std::size_t max_deaths = 64;     ///< Kept in a record.
    std::size_t max_deaths_told = 8; ///< In a record for peers.
};

/// A mark that isn't clear, for operators and logs.
struct quarantined_mark
{
    crash_record record;
    assessment state;
};

class quarantine
{
public:
    explicit quarantine(quarantine_options options = {});

    /// Assesses a mark for a request that has all of `marks` and would run at
    /// `place`. Other condemned marks explain deaths only if the request
    /// doesn't have them.
    assessment assess(const crash_mark& mark, std::span<const crash_mark> marks,
                      run_place place, instant now) const;

    /// The marks of a request that aren't clear.
    std::vector<crash_mark> suspects_of(std::span<const crash_mark> marks,
                                        run_place place, instant now) const;

    /// The request's worst mark; unset if all are clear.
    struct worst_mark
    {
        crash_mark mark;
        assessment state;
    };
    std::optional<worst_mark> worst_of(std::span<const crash_mark> marks,
                                       run_place place, instant now) const;

    /// Whether the mark was answered at the place within proof_retention, as
    /// far as this node saw or was told.
    bool is_proven(const crash_mark& mark, run_place place, instant now) const;

    /// Records a death. A death without a start time of its process (reported
    /// by nodes of earlier releases) matches any known death of the target.
    /// Returns whether it is new.
    bool note_death(const crash_mark& mark, const crash_death<instant>& death,
                    instant now);

    /// Records a whole answer to a request with these marks. Returns whether
    /// that cleared one.
    bool note_answer(std::span<const crash_mark> marks, run_place place,
                     instant now);

    /// Joins another node's record, received now. Returns whether it changed
    /// something.
    bool merge(const crash_record& record, instant now);

    /// Up to `limit` records to tell peers: condemned marks first, then those
    /// that changed within `span` and were told longest ago.
    std::vector<crash_record> take_news(duration span, std::size_t limit,
                                        instant now);

    /// The records of these marks, as far as there are any.
    std::vector<crash_record> records_of(std::span<const crash_mark> marks,
                                         instant now) const;

    /// For each of these marks a record with this death only, and its answers.
    std::vector<crash_record>
    records_of_death(std::span<const crash_mark> marks,
                     const crash_death<instant>& death, instant now) const;

    /// Marks that aren't clear, the worst first, at most `limit`.
    std::vector<quarantined_mark> list(std::size_t limit, instant now) const;

    /// An operator takes the mark for harmless: its deaths so far don't count
    /// any more, here and at nodes that are told. Returns whether it was known.
    bool forgive(const crash_mark& mark, instant now);

    /// Whether any mark is condemned, disregarding answers at other places.
    bool has_condemned() const { return !condemned_.empty(); }

    std::size_t size() const { return entries_.size(); }
    const quarantine_options& options() const { return options_; }

private:
    struct entry
    {
        std::vector<crash_death<instant>> deaths; ///< By `sent`.
        std::vector<crash_answer<instant>> answers;
        instant last_death;
        instant changed;
        instant told;
    };

    using death_list = std::vector<const crash_death<instant>*>;
    struct unexplained
    {
        death_list deaths;
        /// Most of them have another condemned mark in common, so that the two
        /// can't be told apart.
        bool has_equal = false;
    };

    using proof_map =
        std::unordered_map<crash_mark, std::vector<crash_answer<instant>>>;

    death_list open_deaths(const entry& it, run_place place) const;
    int count_rounds(const death_list& deaths, bool of_part) const;
    bool has_coincidence(const death_list& deaths) const;
    int excused_rounds(const death_list& deaths, bool proven) const;
    void note_process(const catalog::target_process& target, instant at);
    bool was_proven(const entry& it, const crash_death<instant>& first,
                    run_place place) const;
    bool is_condemned(const entry& it, bool of_part) const;
    void update_condemned(const crash_mark& mark, const entry& it);
    bool add_death(entry& it, const crash_death<instant>& death);
    void note_change(const crash_mark& mark, entry& it, instant now);
    void complete(const crash_mark& mark, entry& it, instant now);
    void trim(std::vector<crash_death<instant>>& deaths, std::size_t limit,
              bool of_part) const;
    unexplained without_known_cause(death_list deaths, const crash_mark& mark,
                                    std::span<const crash_mark> marks) const;
    crash_record told_record(const crash_mark& mark, const entry& it,
                             instant now) const;
    const std::vector<crash_answer<instant>>*
    proofs_of(const crash_mark& mark) const;
    void evict(instant now);

    quarantine_options options_;
    std::unordered_map<crash_mark, entry> entries_;
    std::unordered_set<crash_mark> condemned_; ///< By deaths without an answer.
    std::set<std::pair<instant, crash_mark>> by_change_; ///< All entries.
    /// All processes that died, whatever ran there, by time.
    std::multimap<instant, catalog::target_process> processes_;
    std::map<catalog::target_process, instant> died_;
    /// Answers by mark. When the newer map is full it becomes the older one.
    proof_map newer_proofs_;
    proof_map older_proofs_;
};

} // namespace fennelladder::dispatch

#endif
