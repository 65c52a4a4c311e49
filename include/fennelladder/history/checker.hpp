// Checks a history against the promises of the product.
//
//     history_report report = check_file("run.jsonl", {});
//     if (!report.bad.empty())
//         std::cerr << report.bad.to_text();   // the file is bad
//     for (const violation& it : report.violations)
//         std::cerr << to_string(it.broken) << ": " << it.message << '\n';
//
// or line by line, as from a recorder in memory:
//
//     checker check({});
//     for (const std::string& line : history->lines())
//         check.add_line(line);
//     CHECK(check.finish().holds());
//
// The rules are defined in docs/HISTORY.md. A rule is judged over the whole
// history and by the times in it, so the order of lines matters only between
// lines of equal time and between chunks of one request.
//
// Caveats. Nothing is guessed: in a bad file no rule is judged. Memory grows
// with the requests, dispatches, executions, bills and top-ups of a history
// (not with its chunks); docs/HISTORY.md gives a measured figure.

#ifndef FENNELLADDER_HISTORY_CHECKER_HPP
#define FENNELLADDER_HISTORY_CHECKER_HPP

#include "fennelladder/base/findings.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::history {

/// What has to hold, see docs/HISTORY.md.
enum class rule : std::uint8_t
{
    overspend,
    billed_once,
    whole_answer,
    own_answer,
    not_run_is_true,
    at_most_once,
    no_work_after_leaving,
    no_cut_on_shutdown,
    config_in_force,
    config_never_reverts,
    no_loss
};

constexpr std::size_t rule_count = 11;

/// The rule's name as users write it, such as "billed-once".
std::string_view to_string(rule which);

/// Number of a line in the history, from 1.
using line_number = std::uint32_t;

/// One breach of a rule.
struct violation
{
    rule broken;
    std::string message;
    std::vector<line_number> lines; ///< The fewest that show it, ascending.
};

/// How a history is judged.
struct check_options
{
    /// A target may get work for this long after it was seen leaving.
    duration leaving_grace = seconds(5);

    /// An accepted configuration must be in force after this.
    duration config_grace = seconds(13);

    /// Kinds of caller from the most to the least urgent; kinds that are not
    /// named come last, as equals. Empty: nobody counts as overtaken.
    std::vector<caller_kind> urgent_kinds = {};

    /// Most findings, and most violations of each rule, that are kept; what
    /// goes beyond is counted only.
    std::size_t kept = 10'000;
};

/// Waits of one kind of caller from sending to the first dispatch.
struct kind_figure
{
    caller_kind kind;
    std::size_t sent = 0;
    std::size_t dispatched = 0;
    duration wait_p50{};
    duration wait_p95{};
    duration wait_max{};

    /// Dispatched after a less urgent request which the same node was sent
    /// later.
    std::size_t overtaken = 0;
};

/// Numbers of a history, for a person's look at it.
struct history_counts
{
    std::size_t lines = 0;
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t refused = 0;
    std::size_t executions = 0;
    std::size_t bills = 0;
};

/// The outcome of a check.
struct history_report
{
    findings bad;               ///< Not empty: no rule was judged.
    std::size_t bad_beyond = 0; ///< Findings beyond the limit.
    std::vector<violation> violations;
    std::array<std::size_t, rule_count> broken{}; ///< Count of each rule.
    history_counts counts;
    std::vector<kind_figure> kinds; ///< The figure urgent-first.

    /// True when the history is readable and keeps all rules.
    bool holds() const { return bad.empty() && violations.empty(); }
};

/// Takes the lines of a history and judges them at the end. Not thread safe.
class checker
{
public:
    /// `source` names the history in findings.
    explicit checker(check_options options, std::string source = "history");
    ~checker();
    checker(const checker&) = delete;
    checker& operator=(const checker&) = delete;

    /// The next line, without its line feed.
    void add_line(std::string_view line);

    /// The next line could not be read at all.
    void add_unreadable(std::string why);

    /// Judges. Precondition: not called before.
    history_report finish();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Checks all lines of a stream. A line longer than 64 KiB is a finding.
history_report check_stream(std::istream& in, const check_options& options,
                            std::string source = "history");

/// Checks a file; one that can't be opened is a finding.
history_report check_file(const std::string& path,
                          const check_options& options);

/// The text of some lines of a history, by number.
using line_texts = std::map<line_number, std::string>;

/// The lines of a file that the report's violations name.
line_texts read_named_lines(const std::string& path,
                            const history_report& report);

/// The report for people; lines that `texts` has are shown.
std::string to_text(const history_report& report, const line_texts& texts = {});

/// The report as one JSON object: `holds`, `findings`, `violations` (`rule`,
/// `message`, `lines`), `counts` and `urgent_first`.
std::string to_json(const history_report& report);

} // namespace fennelladder::history

#endif
