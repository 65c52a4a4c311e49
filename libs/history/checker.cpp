// Reads lines into the tables, then runs the table of rules over them.

#include "fennelladder/history/checker.hpp"

#include "event_reader.hpp"
#include "fennelladder/telemetry/event_catalog.hpp"
#include "rules.hpp"
#include "tables.hpp"

#include <algorithm>
#include <cassert>
#include <fstream>
#include <limits>
#include <utility>

namespace fennelladder::history {

namespace {

struct rule_entry
{
    std::string_view name;
    rule_check check;
};

// In the order of enum rule.
constexpr auto rules = std::to_array<rule_entry>({
    {"overspend", check_overspend},
    {"billed-once", check_billed_once},
    {"whole-answer", check_whole_answer},
    {"own-answer", check_own_answer},
    {"not-run-is-true", check_not_run_is_true},
    {"at-most-once", check_at_most_once},
    {"no-work-after-leaving", check_no_work_after_leaving},
    {"no-cut-on-shutdown", check_no_cut_on_shutdown},
    {"config-in-force", check_config_in_force},
    {"config-never-reverts", check_config_never_reverts},
    {"no-loss", check_no_loss},
});
static_assert(rules.size() == rule_count);

history_counts count(const history_tables& tables)
{
    history_counts counts;
    counts.lines = tables.lines;
    counts.requests = tables.requests.size();
    counts.executions = tables.executions.size();
    counts.bills = tables.bills.size();
    for (const request_record& it : tables.requests) {
        counts.answered += it.answered.happened() ? 1 : 0;
        counts.not_run += it.not_run.happened() ? 1 : 0;
        counts.unknown += it.unknown.happened() ? 1 : 0;
        counts.refused += it.refused.happened() ? 1 : 0;
    }
    return counts;
}

} // namespace

std::string_view to_string(rule which)
{
    return rules[static_cast<std::size_t>(which)].name;
}

void violation_log::add(rule broken, std::string message,
                        std::vector<line_number> lines)
{
    std::size_t& count = report_.broken[static_cast<std::size_t>(broken)];
    ++count;
    if (count > kept_)
        return;
    std::ranges::sort(lines);
    remove_repeated(lines, std::identity());
    if (!lines.empty() && lines.front() == 0)
        lines.erase(lines.begin());
    report_.violations.push_back(
        {broken, std::move(message), std::move(lines)});
}

struct checker::state
{
    state(check_options checked, std::string name)
        : options(std::move(checked)), source(std::move(name)),
          writer(tables, faults)
    {}

    void add_fault(std::string message)
    {
        faults.push_back({lines, std::move(message)});
    }

    void count_line()
    {
        assert(lines < std::numeric_limits<line_number>::max());
        ++lines;
    }

    const check_options options;
    const std::string source;
    history_tables tables;
    std::vector<contradiction> faults;
    table_writer writer;
    event_reader reader;
    line_number lines = 0;
};

checker::checker(check_options options, std::string source)
    : state_(std::make_unique<state>(std::move(options), std::move(source)))
{}

checker::~checker() = default;

void checker::add_line(std::string_view line)
{
    state_->count_line();
    const auto read = state_->reader.read(line);
    if (read)
        state_->writer.add(state_->lines, *read);
    else
        state_->add_fault(read.error().message);
}

void checker::add_unreadable(std::string why)
{
    state_->count_line();
    state_->add_fault(std::move(why));
}

history_report checker::finish()
{
    state& it = *state_;
    // A line that could not be read may be the one that another line misses,
    // so what is missing is looked for in readable files only.
    if (it.faults.empty())
        it.writer.finish();
    if (it.lines == 0)
        it.add_fault("the history holds no event");
    history_report report;
    report.counts = count(it.tables);
    std::ranges::stable_sort(it.faults, {}, &contradiction::line);
    const std::size_t kept = std::min(it.faults.size(), it.options.kept);
    report.bad_beyond = it.faults.size() - kept;
    for (std::size_t n = 0; n < kept; ++n)
        report.bad.add({it.source, "line " + std::to_string(it.faults[n].line)},
                       telemetry::event::history_unreadable,
                       it.faults[n].message);
    if (!report.bad.empty())
        return report;
    violation_log log(report, it.options.kept);
    for (const rule_entry& entry : rules)
        entry.check(it.tables, it.options, log);
    report.kinds = measure_urgency(it.tables, it.options);
    return report;
}

namespace {

// Longer than any line that the format can need.
constexpr std::size_t max_line_bytes = 65'536;

/// Feeds a stream to a checker in pieces of bounded size.
void add_all_lines(std::istream& in, checker& check)
{
    std::string line(max_line_bytes + 1, '\0');
    while (in) {
        in.getline(line.data(), static_cast<std::streamsize>(line.size()));
        const auto n = static_cast<std::size_t>(in.gcount());
        if (in.eof()) {
            if (n > 0)
                check.add_line({line.data(), n});
            return;
        }
        if (in.fail()) {
            in.clear();
            in.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
            check.add_unreadable("longer than 65536 bytes");
            continue;
        }
        check.add_line({line.data(), n - 1});
    }
}

} // namespace

history_report check_stream(std::istream& in, const check_options& options,
                            std::string source)
{
    checker check(options, std::move(source));
    add_all_lines(in, check);
    return check.finish();
}

history_report check_file(const std::string& path, const check_options& options)
{
    std::ifstream in(path, std::ios::binary);
    if (in)
        return check_stream(in, options, path);
    history_report report;
    report.bad.add({path, ""}, telemetry::event::history_unreadable,
                   "can't be opened");
    return report;
}

} // namespace fennelladder::history
