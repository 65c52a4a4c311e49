// How trials are told.

#include "fennelladder/trial/trial.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

namespace fennelladder::trial {

namespace {

using nlohmann::ordered_json;

std::string in_milliseconds(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%9.1f", value * 1e3);
    return text;
}

std::string names_of(const std::vector<fault>& faults)
{
    std::string text;
    for (const fault it : faults)
        text += (text.empty() ? "" : ",") + std::string(to_string(it));
    return text.empty() ? "none" : text;
}

void write_outcomes(std::ostream& out, const trial_result& it)
{
    const std::pair<const char*, std::int64_t> rows[] = {
        {"requests", it.requests},
        {"answered", it.answered},
        {"not_run", it.not_run},
        {"unknown", it.unknown},
        {"duplicate executions", it.duplicate_executions},
        {"billed", it.billed},
        {"double billed", it.double_billed},
        {"overspent tokens", it.overspent_tokens},
        {"false refusals", it.false_refusals},
        {"cut streams", it.cut_streams},
        {"wrong answers", it.wrong_answers},
        {"history violations", it.violations}};
    for (const auto& [name, value] : rows) {
        char line[64];
        std::snprintf(line, sizeof line, "  %-22s %10lld\n", name,
                      static_cast<long long>(value));
        out << line;
    }
}

void write_latencies(std::ostream& out, const trial_result& it)
{
    out << "  caller          answered  first byte ms: p50       p95       "
           "p99   end ms: p50       p95       p99\n";
    for (const kind_latency& row : it.kinds) {
        char name[48];
        std::snprintf(name, sizeof name, "  %-16s %7zu           ",
                      row.kind.str().c_str(), row.answered);
        out << name << in_milliseconds(row.first_p50) << ' '
            << in_milliseconds(row.first_p95) << ' '
            << in_milliseconds(row.first_p99) << "   "
            << in_milliseconds(row.end_p50) << ' '
            << in_milliseconds(row.end_p95) << ' '
            << in_milliseconds(row.end_p99) << '\n';
    }
}

void write_result(std::ostream& out, const trial_result& it)
{
    out << it.deployment << "  (faults: " << names_of(it.faults) << ")\n";
    if (!it.failure.empty()) {
        out << "  could not be run: " << it.failure << "\n\n";
        return;
    }
    write_outcomes(out, it);
    write_latencies(out, it);
    out << "  budget            prepaid     spent\n";
    for (const budget_figure& row : it.budgets) {
        char line[80];
        std::snprintf(line, sizeof line, "  %-14s %10lld %9lld\n",
                      row.budget.str().c_str(),
                      static_cast<long long>(row.prepaid.count()),
                      static_cast<long long>(row.spent.count()));
        out << line;
    }
    for (const std::string& note : it.fault_notes)
        out << "  " << note << '\n';
    if (!it.checker_text.empty())
        out << it.checker_text;
    out << '\n';
}

ordered_json facts_of(const trial_result& it)
{
    ordered_json out;
    out["deployment"] = it.deployment;
    out["faults"] = names_of(it.faults);
    if (!it.failure.empty())
        out["failure"] = it.failure;
    out["requests"] = it.requests;
    out["answered"] = it.answered;
    out["not_run"] = it.not_run;
    out["unknown"] = it.unknown;
    out["duplicate_executions"] = it.duplicate_executions;
    out["billed"] = it.billed;
    out["double_billed"] = it.double_billed;
    out["overspent_tokens"] = it.overspent_tokens;
    out["false_refusals"] = it.false_refusals;
    out["cut_streams"] = it.cut_streams;
    out["recovered_cuts"] = it.cut_asks;
    out["wrong_answers"] = it.wrong_answers;
    out["target_crashes"] = it.target_crashes;
    out["history_violations"] = it.violations;
    out["clean_shutdown"] = it.clean_shutdown;
    ordered_json kinds = ordered_json::array();
    for (const kind_latency& row : it.kinds)
        kinds.push_back({{"caller_kind", row.kind.str()},
                         {"answered", row.answered},
                         {"first_byte_seconds",
                          {{"p50", row.first_p50},
                           {"p95", row.first_p95},
                           {"p99", row.first_p99}}},
                         {"end_seconds",
                          {{"p50", row.end_p50},
                           {"p95", row.end_p95},
                           {"p99", row.end_p99}}}});
    out["caller_kinds"] = std::move(kinds);
    return out;
}

} // namespace

std::string to_text(const std::vector<trial_result>& results)
{
    std::ostringstream out;
    for (const trial_result& it : results)
        write_result(out, it);
    return out.str();
}

std::string to_json(const std::vector<trial_result>& results)
{
    ordered_json out;
    for (const char* name :
         {"requests", "answered", "not_run", "unknown", "duplicate_executions",
          "billed", "double_billed", "overspent_tokens", "false_refusals",
          "cut_streams", "wrong_answers", "history_violations"})
        out[name] = 0;
    bool holds = true;
    ordered_json each = ordered_json::array();
    for (const trial_result& it : results) {
        ordered_json facts = facts_of(it);
        for (auto& [name, sum] : out.items())
            sum = sum.get<std::int64_t>() + facts[name].get<std::int64_t>();
        holds = holds && it.holds();
        each.push_back(std::move(facts));
    }
    out["holds"] = holds;
    out["deployments"] = std::move(each);
    return out.dump(2);
}

} // namespace fennelladder::trial
