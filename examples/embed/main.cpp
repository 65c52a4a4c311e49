// Shows how a program embeds prepaid budgets with the budget and journal
// libraries: it tops up a budget, admits requests until the budget is used up,
// returns the remaining tokens and prints the books. A real program implements
// platform::object_store on its own storage.

#include "fennelladder/budget/books_state.hpp"
#include "fennelladder/budget/budget_agent.hpp"
#include "fennelladder/budget/report.hpp"
#include "fennelladder/journal/group_committer.hpp"
#include "fennelladder/platform/memory_object_store.hpp"

#include <iostream>
#include <utility>

using namespace fennelladder;
using namespace fennelladder::budget;

namespace {

const budget_id workshop("workshop");
const team_id team("spoke-and-sprocket");
const incarnation_id self("example-1.1");

/// Makes this node, the only one, the stock holder of every budget.
struct single_home final : home_directory
{
    std::vector<incarnation_id> homes_of(const budget_id&) const override
    {
        return {self};
    }
};

/// Submits the records that the agent requests to the journal and reports their
/// outcomes to the agent. Records that can't be committed now stay queued with
/// a reference to `out`, so `out` must outlive `log`.
void commit_requests(agent_output& out, budget_agent& agent,
                     journal::group_committer& log, instant now)
{
    while (!out.wishes.empty()) {
        for (const book_wish& wish : std::exchange(out.wishes, {}))
            (void)log.submit(
                record_type(wish.body), encode_record(wish.body),
                [&, wish, now](const journal::applied_record& it) {
                    const auto outcome = decode_outcome(it.reply);
                    agent.on_outcome(wish, outcome ? &*outcome : nullptr, now,
                                     out);
                },
                now);
        (void)log.flush(now);
    }
}

} // namespace

int main()
{
    platform::memory_object_store store;
    const journal::journal_layout layout{"example", 1, 64};
    agent_output out;
    journal::group_committer log(store, layout, shard_id(0), self,
                                 books_factory(), {}, nullptr, 1);
    const single_home homes;
    budget_agent agent(self, homes,
                       [](const budget_id&) { return shard_id(0); });
    instant now = from_nanoseconds(1'000'000'000);
    const record_body paid =
        topup{team, workshop, topup_id("invoice-7"), tokens(10'000)};
    (void)log.submit(record_type(paid), encode_record(paid), {}, now);
    std::int64_t answered = 0;
    for (int n = 0; n < 40; ++n, now += seconds(1)) {
        auto admission = agent.admit(workshop, tokens(500), now, out);
        commit_requests(out, agent, log, now);
        if (!admission.held) // commit_requests() may have brought a token grant
            admission = agent.admit(workshop, tokens(500), now, out);
        if (!admission.held)
            continue;
        const bill charge = {
            .team = team,
            .key = request_key("repair-guide-" + std::to_string(n)),
            .budget = workshop,
            .amount = tokens(400),
            .at = now};
        agent.finish(std::move(*admission.held), charge, now);
        ++answered;
        agent.tick(now, out);
        commit_requests(out, agent, log, now);
    }
    for (int n = 0; n < 100 && !agent.done(); ++n, now += seconds(1)) {
        agent.drain(now, out);
        agent.tick(now, out);
        commit_requests(out, agent, log, now);
    }
    budget_report report;
    const auto ok = log.read([&report](const journal::fold& it) {
        report.add(books_of(it.state()));
    });
    std::cout << answered << " of 40 answered\n" << report.to_text();
    const budget_sums& sums = report.total();
    const bool balanced = sums.spent + sums.free == tokens(10'000);
    return ok && balanced && sums.spent == tokens(400 * answered) ? 0 : 1;
}
