// Callers run until all requests are done. Faults begin when a quarter of the
// requests were begun and end when three fifths were, so that each trial shows
// the time before, during and after.

#include "fennelladder/trial/trial.hpp"

#include "fennelladder/history/checker.hpp"
#include "fennelladder/standin/answer.hpp"
#include "fennelladder/trial/caller.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <map>
#include <set>
#include <sstream>
#include <thread>

namespace fennelladder::trial {

namespace {

constexpr double faults_begin = 0.25;
constexpr double faults_end = 0.6;
constexpr duration look_interval = milliseconds(5);
constexpr duration settle_time = milliseconds(800);
constexpr int poison_sends = 5;

struct done_call
{
    wanted_call wanted;
    call_outcome end;
};

// Everything that the callers of one trial share.
struct run_state
{
    fleet& target;
    const trial_options& options;
    const clock& time;
    history::recorder* history;
    http::client connections{http::client_options{}};
    std::atomic<int> begun{0};
    std::mutex mutex;
    std::vector<done_call> done; // guarded by mutex

    void add(done_call it)
    {
        const std::lock_guard lock(mutex);
        done.push_back(std::move(it));
    }
};

wanted_call draw_call(const deployment_plan& plan, const caller_plan& kind,
                      int number, random_source& random)
{
    wanted_call it;
    const int team =
        static_cast<int>(random.below(static_cast<std::uint64_t>(plan.teams)));
    it.team = team_of(team);
    it.budget = budget_of(team);
    it.kind = kind.kind;
    it.key = request_key(kind.kind.str() + "-" + std::to_string(number));
    const double draw = random.unit();
    if (draw < kind.unrepeatable + kind.repeatable) {
        it.repeatable = draw >= kind.unrepeatable;
        it.service = plan.service;
        it.call = it.repeatable ? plan.repeatable_call : plan.unrepeatable_call;
        it.body = R"({"number":)" + std::to_string(number) + "}";
        return it;
    }
    it.model = kind.model;
    it.max_output = kind.max_output;
    // Many requests share their beginning, as handbooks do.
    it.prompt = "Handbook " + std::to_string(random.below(4)) +
                std::string(600, '.') + " question " + std::to_string(number);
    return it;
}

bool is_right(const wanted_call& wanted, const call_outcome& end)
{
    const auto key = history::global_key(wanted.team, end.key);
    const std::string right =
        wanted.model.empty()
            ? standin::service_answer(key, wanted.call, wanted.body)
            : standin::answer_text(
                  key, wanted.prompt,
                  static_cast<std::uint32_t>(wanted.max_output));
    return end.text == right;
}

void call_until_done(run_state& run, const caller_plan& kind, int number)
{
    const deployment_plan& plan = run.target.plan();
    const auto seed =
        run.options.seed * 1'000 + static_cast<std::uint64_t>(number);
    random_source random(seed);
    caller one(
        {.time = run.time,
         .connections = run.connections,
         .history = run.history,
         .addresses = [&run] { return run.target.addresses(); },
         .data_center = plan.data_centers[static_cast<std::size_t>(number) %
                                          plan.data_centers.size()],
         .name = caller_id(kind.kind.str() + std::to_string(number)),
         .seed = seed + 1});
    while (true) {
        const int turn = run.begun.fetch_add(1);
        if (turn >= run.options.requests)
            return;
        const auto wanted = draw_call(plan, kind, turn, random);
        run.add({wanted, one.perform(wanted)});
    }
}

// The poison request: sent again and again, under new keys and to any node.
void send_poison(run_state& run)
{
    const deployment_plan& plan = run.target.plan();
    caller one({.time = run.time,
                .connections = run.connections,
                .history = run.history,
                .addresses = [&run] { return run.target.addresses(); },
                .data_center = plan.data_centers.front(),
                .name = caller_id("poisoner"),
                .seed = run.options.seed + 77});
    for (int n = 0; n < poison_sends; ++n) {
        wanted_call it;
        it.team = team_of(0);
        it.budget = budget_of(0);
        it.kind = plan.kinds.back().kind;
        it.key = request_key("poison-" + std::to_string(n));
        it.model = plan.long_model;
        it.prompt = "draw up the <poison> list";
        it.max_output = 8;
        it.patience = seconds(15);
        run.add({it, one.perform(it)});
    }
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto at = static_cast<std::size_t>(
        std::lround(share * static_cast<double>(values.size() - 1)));
    return values[at];
}

void sum_up_kind(const caller_plan& kind, const std::vector<done_call>& done,
                 trial_result& out)
{
    std::vector<double> first;
    std::vector<double> whole;
    for (const done_call& it : done) {
        if (it.wanted.kind != kind.kind ||
            it.end.result != request::outcome::answered)
            continue;
        first.push_back(to_seconds(it.end.first_byte));
        whole.push_back(to_seconds(it.end.total));
    }
    kind_latency row;
    row.kind = kind.kind;
    row.answered = whole.size();
    row.first_p50 = quantile(first, 0.5);
    row.first_p95 = quantile(first, 0.95);
    row.first_p99 = quantile(first, 0.99);
    row.end_p50 = quantile(whole, 0.5);
    row.end_p95 = quantile(whole, 0.95);
    row.end_p99 = quantile(whole, 0.99);
    out.kinds.push_back(row);
}

void sum_up_calls(const std::vector<done_call>& done, trial_result& out)
{
    for (const done_call& it : done) {
        ++out.requests;
        out.asks += static_cast<std::size_t>(it.end.asks);
        out.false_refusals += static_cast<std::size_t>(it.end.refusals);
        out.cut_asks += static_cast<std::size_t>(it.end.cuts);
        out.cut_streams += it.end.short_cut;
        switch (it.end.result) {
        case request::outcome::answered:
            ++out.answered;
            out.wrong_answers += !is_right(it.wanted, it.end);
            break;
        case request::outcome::not_run:
            ++out.not_run;
            break;
        case request::outcome::unknown:
            ++out.unknown;
            break;
        }
    }
}

void sum_up_executions(const fleet& target, trial_result& out)
{
    std::map<std::string, int> runs;
    for (const standin::execution& it : target.executions()) {
        const bool call = !it.call.empty();
        const bool once = it.call == target.plan().unrepeatable_call;
        if (call && once && it.phase == standin::execution_phase::started)
            ++runs[it.key.str()];
    }
    for (const auto& [key, count] : runs)
        out.duplicate_executions += static_cast<std::size_t>(count - 1);
}

void sum_up_bills(const deployment_plan& plan,
                  const std::vector<std::string>& lines, trial_result& out)
{
    std::map<std::string, std::set<std::string>> bills;
    std::map<std::string, tokens> spent;
    std::set<std::string> counted;
    for (const std::string& line : lines) {
        const auto it = history::parse_event(line);
        if (!it)
            continue;
        const auto* bill = std::get_if<history::billed>(&it->body);
        if (bill == nullptr || !counted.insert(bill->bill.str()).second)
            continue;
        bills[bill->key.str()].insert(bill->bill.str());
        spent[bill->budget.str()] += bill->amount;
    }
    out.billed = bills.size();
    for (const auto& [key, ids] : bills)
        out.double_billed += ids.size() - 1;
    for (int n = 0; n < plan.teams; ++n) {
        const auto used = spent[budget_of(n).str()];
        out.budgets.push_back({budget_of(n), plan.prepaid, used});
        const auto over = used - plan.prepaid;
        out.overspent_tokens += std::max<std::int64_t>(over.count(), 0);
    }
}

void check_history(const std::vector<std::string>& lines, trial_result& out)
{
    history::checker judge({});
    for (const std::string& it : lines)
        judge.add_line(it);
    const auto report = judge.finish();
    out.violations = report.violations.size() + report.bad.all().size();
    if (report.holds())
        return;
    history::line_texts texts;
    for (const auto& it : report.violations) {
        for (const auto line : it.lines)
            texts[line] = lines[static_cast<std::size_t>(line) - 1];
    }
    out.checker_text = history::to_text(report, texts);
}

void note_fault(const fleet& target, fault what, trial_result& out)
{
    if (what == fault::none)
        return;
    std::ostringstream text;
    text << to_string(what) << ": " << out.cut_asks
         << " answers cut and asked for again, " << out.asks << " asks for "
         << out.requests << " requests";
    if (what == fault::poison)
        text << ", " << target.crashes() << " targets died of it";
    out.fault_notes.push_back(text.str());
}

// Runs the callers, and the faults beside them.
void run_callers(run_state& run)
{
    std::vector<std::thread> callers;
    int number = 0;
    for (const caller_plan& kind : run.target.plan().kinds) {
        for (int n = 0; n < kind.callers; ++n) {
            callers.emplace_back(
                [&run, &kind, number] { call_until_done(run, kind, number); });
            ++number;
        }
    }
    const auto wait_for = [&](double share) {
        const int goal =
            static_cast<int>(share * static_cast<double>(run.options.requests));
        while (run.begun < goal)
            std::this_thread::sleep_for(look_interval);
    };
    wait_for(faults_begin);
    std::thread poisoner;
    for (const fault it : run.options.faults) {
        if (it == fault::poison)
            poisoner = std::thread([&run] { send_poison(run); });
        run.target.begin(it);
    }
    wait_for(faults_end);
    for (const fault it : run.options.faults)
        run.target.end(it);
    for (std::thread& it : callers)
        it.join();
    if (poisoner.joinable())
        poisoner.join();
}

void write_lines(const std::string& path, const std::vector<std::string>& lines)
{
    std::ofstream out(path, std::ios::app);
    for (const std::string& it : lines)
        out << it << '\n';
}

} // namespace

bool trial_result::holds() const
{
    return failure.empty() && duplicate_executions == 0 && double_billed == 0 &&
           overspent_tokens == 0 && cut_streams == 0 && wrong_answers == 0 &&
           violations == 0;
}

trial_result run_trial(const deployment_plan& plan,
                       const trial_options& options, const clock& time)
{
    trial_result out;
    out.deployment = plan.name;
    out.faults = options.faults;
    auto recorder = history::recorder::open({});
    auto made = fleet::start(
        plan, {.seed = options.seed, .history = recorder->get()}, time);
    if (!made) {
        out.failure = made.error().message;
        return out;
    }
    fleet& target = **made;
    run_state run{.target = target,
                  .options = options,
                  .time = time,
                  .history = recorder->get()};
    run_callers(run);
    std::this_thread::sleep_for(settle_time);
    out.clean_shutdown = target.shut_down();
    const auto lines = (*recorder)->lines();
    sum_up_calls(run.done, out);
    for (const caller_plan& it : plan.kinds)
        sum_up_kind(it, run.done, out);
    sum_up_executions(target, out);
    sum_up_bills(plan, lines, out);
    check_history(lines, out);
    out.target_crashes = target.crashes();
    for (const fault it : options.faults)
        note_fault(target, it, out);
    if (!options.history.empty())
        write_lines(options.history, lines);
    return out;
}

} // namespace fennelladder::trial
