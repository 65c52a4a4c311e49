// A trial: callers of both kinds against a whole fleet, faults in the middle,
// and the history of it all judged by the checker.
//
//     trial_result end = run_trial(chao_phraya(), {.requests = 400,
//         .faults = {fault::node_death}, .seed = 7}, time);
//     std::cout << to_text({end});

#ifndef FENNELLADDER_TRIAL_TRIAL_HPP
#define FENNELLADDER_TRIAL_TRIAL_HPP

#include "fennelladder/trial/fleet.hpp"

#include <string>
#include <vector>

namespace fennelladder::trial {

struct trial_options
{
    int requests = 400; ///< Of all callers together.
    std::vector<fault> faults;
    std::uint64_t seed = 1;
    std::string history; ///< File to write it to; empty: memory only.
};

/// Latency of one kind of caller, seconds; exact quantiles.
struct kind_latency
{
    caller_kind kind;
    std::size_t answered = 0;
    double first_p50 = 0;
    double first_p95 = 0;
    double first_p99 = 0;
    double end_p50 = 0;
    double end_p95 = 0;
    double end_p99 = 0;
};

struct budget_figure
{
    budget_id budget;
    tokens prepaid;
    tokens spent; ///< Billed, by the history.
};

struct trial_result
{
    std::string deployment;
    std::vector<fault> faults;
    std::string failure; ///< Not empty: it could not be run.

    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t asks = 0;
    std::size_t duplicate_executions = 0; ///< Of calls that must not repeat.
    std::size_t billed = 0;               ///< Keys.
    std::size_t double_billed = 0;
    std::int64_t overspent_tokens = 0;
    std::size_t false_refusals = 0; ///< Asks refused with tokens left.
    std::size_t cut_streams = 0;    ///< Callers left with a part.
    std::size_t cut_asks = 0;       ///< Streams cut and then recovered.
    std::size_t wrong_answers = 0;  ///< Answers that are not the request's.
    std::uint32_t target_crashes = 0;
    std::size_t violations = 0; ///< By the history checker.
    bool clean_shutdown = false;
    std::string checker_text; ///< The checker's report if it found some.
    std::vector<kind_latency> kinds;
    std::vector<budget_figure> budgets;
    std::vector<std::string> fault_notes; ///< What each fault did.

    /// True when no promise was broken.
    bool holds() const;
};

/// Runs one trial; takes seconds of wall time. Thread safe.
trial_result run_trial(const deployment_plan& plan,
                       const trial_options& options, const clock& time);

/// Tables for people.
std::string to_text(const std::vector<trial_result>& results);

/// One JSON object: the sums, and each deployment's figures.
std::string to_json(const std::vector<trial_result>& results);

} // namespace fennelladder::trial

#endif
