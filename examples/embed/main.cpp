// Prepaid budgets in a program of your own, by the budget and journal
// libraries: prepays a budget, runs requests until it refuses, gives back what
// is left and prints the books. Put your own store behind object_store.

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

/// This node keeps the budget's stock; there is no other.
struct only_home final : home_directory
{
    std::vector<incarnation_id> homes_of(const budget_id&) const override
    {
        return {self};
    }
};

/// Puts what the agent wishes into the journal and tells it the outcomes. What
/// can't be committed now stays queued, so `out` must outlive the log.
void carry_out(agent_output& out, budget_agent& agent,
               journal::group_committer& log, instant now)
{
    while (!out.wishes.empty()) {
        for (const book_wish& wish : std::exchange(out.wishes, {}))
            (void)log.submit(
                record_type(wish.body), encode_record(wish.body),
                [&, wish, now](const journal::applied_record& it) {
                    const auto made = decode_outcome(it.reply);
                    agent.on_outcome(wish, made ? &*made : nullptr, now, out);
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
    const only_home homes;
    budget_agent agent(self, homes,
                       [](const budget_id&) { return shard_id(0); });
    instant now = from_nanoseconds(1'000'000'000);
    const record_body paid =
        topup{team, workshop, topup_id("invoice-7"), tokens(10'000)};
    (void)log.submit(record_type(paid), encode_record(paid), {}, now);
    std::int64_t answered = 0;
    for (int n = 0; n < 40; ++n, now += seconds(1)) {
        auto got = agent.admit(workshop, tokens(500), now, out);
        carry_out(out, agent, log, now);
        if (!got.held) // the journal may have granted tokens meanwhile
            got = agent.admit(workshop, tokens(500), now, out);
        if (!got.held)
            continue;
        const bill charge = {
            .team = team,
            .key = request_key("repair-guide-" + std::to_string(n)),
            .budget = workshop,
            .amount = tokens(400),
            .at = now};
        agent.finish(std::move(*got.held), charge, now);
        ++answered;
        agent.tick(now, out);
        carry_out(out, agent, log, now);
    }
    for (int n = 0; n < 100 && !agent.done(); ++n, now += seconds(1)) {
        agent.drain(now, out);
        agent.tick(now, out);
        carry_out(out, agent, log, now);
    }
    budget_report report;
    const auto ok = log.read([&report](const journal::fold& it) {
        report.add(books_of(it.state()));
    });
    std::cout << answered << " of 40 answered\n" << report.to_text();
    const budget_sums& sums = report.total();
    const bool whole = sums.spent + sums.free == tokens(10'000);
    return ok && whole && sums.spent == tokens(400 * answered) ? 0 : 1;
}
