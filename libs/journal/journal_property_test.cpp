#include "test_support.hpp"

#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <rapidcheck.h>

using namespace fennelladder;
using namespace fennelladder::journal;

namespace {

/// A node that writes: it keeps what it hasn't heard of, and sends it again.
struct writer
{
    std::string name;
    std::unique_ptr<shard_log> log;
    std::uint64_t next = 1;
    std::vector<record> waiting;
    bool busy = false;
};

/// Writers over one store that fails by chance. Whenever a writer calls the
/// store, others may do whole operations first, as deep as there are writers;
/// so each is paused between any two of its calls for any length.
class interleaved_run
{
public:
    interleaved_run(std::uint64_t seed, int writers, double trouble,
                    int operations)
        : random_(seed), trouble_(trouble), operations_(operations)
    {
        store_.plan = [this](call_kind kind) { return plan(kind); };
        for (int n = 0; n < writers; ++n) {
            writers_.emplace_back().name = "w" + std::to_string(n) + ".0";
            restart(writers_.back());
        }
    }

    /// One operation of some writer, and what comes between its calls; each
    /// uses up one of the run's operations.
    void step()
    {
        if (operations_ == 0)
            return;
        --operations_;
        writer& who = writers_[random_.below(writers_.size())];
        if (who.busy)
            return;
        who.busy = true;
        try {
            act(who);
        } catch (const crashed&) {
            // The next life has another name, and what the last one had not
            // heard of it doesn't know either.
            who.name += '0';
            who.waiting.clear();
            who.next = 1;
            restart(who);
        }
        who.busy = false;
    }

    void work()
    {
        while (operations_ > 0)
            step();
    }

    /// All faults end; everyone sends what it still waits for.
    void settle()
    {
        trouble_ = 0;
        for (writer& it : writers_) {
            it.busy = true;
            append(it, 1);
            it.busy = false;
        }
    }

    void check()
    {
        store_.plan = {};
        const digest_state expected = replay(store_.segments);
        shard_log fresh = open_log(store_, options());
        RC_ASSERT(fresh.recover().has_value());
        RC_ASSERT(encoded(fresh) == expected.encode());
        for (const std::string& it : told_)
            RC_ASSERT(expected.seen.contains(it));
        for (writer& it : writers_) {
            RC_ASSERT(it.log->refresh().has_value());
            RC_ASSERT(encoded(*it.log) == expected.encode());
            RC_ASSERT(it.waiting.empty());
        }
    }

private:
    static shard_log_options options()
    {
        shard_log_options made = quick_options();
        made.inline_state_bytes = 150;
        made.chunk_bytes = 400;
        made.checkpoint_segments = 3;
        made.max_segment_bytes = 300;
        made.read_ahead = 3;
        return made;
    }

    void restart(writer& who)
    {
        who.log = std::make_unique<shard_log>(open_log(store_, options()));
    }

    fault plan(call_kind kind)
    {
        if (random_.chance(0.15))
            step();
        if (!random_.chance(trouble_))
            return fault::none;
        constexpr fault faults[] = {fault::refuse,       fault::lose_request,
                                    fault::lose_reply,   fault::lose_reply,
                                    fault::delay,        fault::delay,
                                    fault::crash_before, fault::crash_after};
        const fault what = faults[random_.below(std::size(faults))];
        const bool crash =
            what == fault::crash_before || what == fault::crash_after;
        return crash && kind == call_kind::read ? fault::none : what;
    }

    void act(writer& who)
    {
        const std::uint64_t pick = random_.below(10);
        if (pick < 7)
            append(who, 1 + random_.below(4));
        else if (pick < 8)
            (void)who.log->refresh();
        else if (who.log->is_open())
            (void)who.log->checkpoint();
    }

    void append(writer& who, std::uint64_t count)
    {
        for (; count > 0; --count) {
            const std::string payload(random_.below(60), 'p');
            who.waiting.push_back(wish(who.name, who.next++, payload));
        }
        const auto made = who.log->append(who.waiting);
        if (!made)
            return; // sent again with the next ones
        RC_ASSERT(made->size() == who.waiting.size());
        for (std::size_t n = 0; n < made->size(); ++n) {
            const record& sent = who.waiting[n];
            const bool even = sent.payload.size() % 2 == 0;
            RC_ASSERT((*made)[n].outcome == (even ? record_outcome::accepted
                                                  : record_outcome::refused));
            told_.push_back(who.name + '#' +
                            std::to_string(sent.mark.sequence));
        }
        who.waiting.clear();
    }

    faulty_store store_;
    random_source random_;
    double trouble_;
    int operations_;
    std::vector<writer> writers_;
    std::vector<std::string> told_;
};

} // namespace

TEST_GROUP(journal_property){};

// Any number of nodes append, read, checkpoint, pause, crash and come back
// while the store refuses, loses and delays. Whatever the order, the fold is
// that of the log's records, each counted once, for everyone; and what a
// writer was told is in it.
TEST(journal_property, any_interleaving_equals_the_fold_of_the_log)
{
    testing::check_property(
        {.name = "any interleaving", .seed = 4711, .cases = 400}, [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const auto writers = *rc::gen::inRange(1, 6);
            const auto percent = *rc::gen::element(0, 5, 20, 50);
            const auto steps = *rc::gen::inRange(1, 150);
            interleaved_run run(seed, writers, percent / 100.0, steps);
            run.work();
            run.settle();
            run.check();
        });
}
