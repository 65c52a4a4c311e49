#include "fennelladder/budget/budget_books.hpp"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace fennelladder;
using namespace fennelladder::budget;

namespace {

const incarnation_id a("a.1");
const incarnation_id b("b.1");
const incarnation_id w("w.1");
const team_id team("team");
const budget_id fund("fund");

struct books_fixture : Utest
{
    budget_books books;
    std::uint64_t numbers = 0;

    books_fixture()
    {
        for (const incarnation_id& it : {a, b, w})
            books.apply(it, join{.witnesses = {w}, .at = {}});
    }

    outcome top_up(std::int64_t n, const std::string& id = "t1")
    {
        return books.apply(a, topup{team, fund, topup_id(id), tokens(n)});
    }

    outcome ask(const incarnation_id& who, std::int64_t n,
                std::int64_t ceiling = 0)
    {
        return books.apply(who, allot{.budget = fund,
                                      .wish = tokens(n),
                                      .minimum = tokens(1),
                                      .spread = 1,
                                      .ceiling = tokens(ceiling)});
    }

    bill charge(std::int64_t n, const std::string& key = "",
                std::int64_t at = 0)
    {
        ++numbers;
        return {.biller = {},
                .number = numbers,
                .team = team,
                .key = request_key(key.empty() ? "auto" : key),
                .keyed = !key.empty(),
                .budget = fund,
                .amount = tokens(n),
                .outcome = bill_outcome::answered,
                .at = from_nanoseconds(at),
                .answer = {}};
    }

    budget_view view() { return *books.find_budget(fund); }

    void check(std::int64_t free, std::int64_t spent)
    {
        LONGS_EQUAL(free, view().free.count());
        LONGS_EQUAL(spent, view().spent.count());
        CHECK(books.consistent());
    }
};

void check_verdict(verdict expected, const outcome& made)
{
    STRCMP_EQUAL(std::string(to_string(expected)).c_str(),
                 std::string(to_string(made.what)).c_str());
}

} // namespace

TEST_GROUP_BASE(budget_books, books_fixture){};

TEST(budget_books, grants_up_to_what_is_free)
{
    check_verdict(verdict::refused, ask(a, 10));
    top_up(100);
    LONGS_EQUAL(60, ask(a, 60).granted_total.count());
    LONGS_EQUAL(40, ask(b, 60).granted_total.count());
    check_verdict(verdict::refused, ask(a, 1));
    check(0, 0);
}

// A shrinking budget is spread: with eight that may want a slice, one wish
// for all of it gets an eighth, but never less than one request needs.
TEST(budget_books, spread_keeps_slices_small)
{
    top_up(800);
    allot wish{.budget = fund,
               .wish = tokens(800),
               .minimum = tokens(10),
               .spread = 8,
               .ceiling = {}};
    LONGS_EQUAL(100, books.apply(a, wish).granted_total.count());
    wish.minimum = tokens(300);
    LONGS_EQUAL(400, books.apply(a, wish).granted_total.count());
}

TEST(budget_books, topup_counts_once_per_id)
{
    check_verdict(verdict::applied, top_up(100, "t1"));
    check_verdict(verdict::duplicate, top_up(100, "t1"));
    check_verdict(verdict::applied, top_up(50, "t2"));
    check(150, 0);
    // An operator's tool repeats the first one after the second.
    check_verdict(verdict::duplicate, top_up(100, "t1"));
    check(150, 0);
}

// The same request is answered at two nodes, since its caller crossed over.
// Both send a bill; the team is charged once and the second node is told to
// credit its allotment.
TEST(budget_books, request_at_two_nodes_is_charged_once)
{
    top_up(100);
    ask(a, 50);
    ask(b, 50);
    check_verdict(verdict::applied, books.apply(a, charge(10, "k")));
    bill second = charge(12, "k");
    second.number = 1;
    check_verdict(verdict::duplicate, books.apply(b, second));
    check(0, 10);
    CHECK(books.find_key(team, request_key("k"))->holder == a);
}

// A node dies after it copied a bill to its peer. Both the journal's late
// append and the peer's flush arrive; the number makes them one.
TEST(budget_books, bill_brought_by_a_peer_counts_once)
{
    top_up(100);
    ask(a, 50);
    bill copy = charge(10);
    check_verdict(verdict::applied, books.apply(a, copy));
    copy.biller = a;
    check_verdict(verdict::replayed, books.apply(b, copy));
    check(50, 10);
}

// A holder is paused, and its host drops off the list. Another node asks to
// fence it. Nothing comes back before its witness has spoken, and then only
// what lies above the ceiling that the witness vouched for. The holder wakes
// and spends up to that ceiling: still within what was prepaid.
TEST(budget_books, fenced_holder_keeps_what_is_below_its_ceiling)
{
    top_up(100);
    ask(a, 80, 20);
    check_verdict(verdict::applied, books.apply(b, fence{a, "off the list"}));
    check(20, 0);
    LONGS_EQUAL(1, books.awaiting(w).size());
    check_verdict(verdict::refused, ask(a, 5));
    check_verdict(verdict::refused, books.apply(a, raise{fund, tokens(80)}));
    books.apply(w, fence_ack{a, {{fund, tokens(30)}}, true});
    check(70, 0);
    LONGS_EQUAL(70, ask(b, 70).granted_total.count());
    check_verdict(verdict::applied, books.apply(a, charge(30)));
    check(0, 30);
    CHECK(books.standing_of(a) == standing::settled);
}

TEST(budget_books, fence_lasts_while_a_witness_is_silent)
{
    top_up(100);
    ask(a, 80, 20);
    books.apply(a, join{.witnesses = {w, b}, .at = {}});
    books.apply(b, fence{a, "off the list"});
    books.apply(w, fence_ack{a, {}, true});
    CHECK(books.standing_of(a) == standing::fenced);
    check(20, 0);
    books.apply(b, fence_ack{a, {}, true});
    check(80, 0);
}

// An operator vouches for a dead node and is wrong: it had spent tokens, and
// its bills arrive from a peer after others got the tokens. The team is not
// charged beyond what it prepaid; the rest is listed for the operator.
TEST(budget_books, late_bill_after_an_operators_release)
{
    top_up(100);
    ask(a, 80, 80);
    check_verdict(verdict::refused, books.apply(b, release{a, "ann", "gone"}));
    books.apply(b, fence{a, "off the list"});
    books.apply(b, release{a, "ann", "burnt down"});
    check(100, 0);
    LONGS_EQUAL(80, view().released.count());
    ask(b, 95);
    check_verdict(verdict::applied, books.apply(a, charge(5)));
    check(0, 5);
    check_verdict(verdict::uncollected, books.apply(a, charge(7)));
    check(0, 5);
    LONGS_EQUAL(7, view().uncollected.count());
}

// A taker spends what it was given before anyone has reported the transfer;
// its bill comes first, then giver and taker both report.
TEST(budget_books, transfer_counts_once_in_any_order)
{
    top_up(100);
    ask(a, 100, 100);
    check_verdict(verdict::applied, books.apply(b, charge(30)));
    const transfer moved{{a, 1}, fund, b, tokens(40)};
    check_verdict(verdict::applied, books.apply(b, moved));
    check_verdict(verdict::replayed, books.apply(a, moved));
    check(0, 30);
    check_verdict(verdict::applied,
                  books.apply(b, give_back{fund, tokens(10), true}));
    check(10, 30);
    LONGS_EQUAL(1, view().holdings.size());
}

// After an outage a node can never leave in order: its tokens stay out. It got
// them from a node that had got them from a third, and its report came to the
// journal before that node's own.
TEST(budget_books, a_report_that_comes_too_early_counts)
{
    top_up(100);
    ask(a, 60, 60);
    const transfer first{{a, 1}, fund, b, tokens(50)};
    const transfer second{{b, 1}, fund, w, tokens(50)};
    check_verdict(verdict::applied, books.apply(w, second));
    check_verdict(verdict::applied, books.apply(b, first));
    check_verdict(verdict::replayed, books.apply(b, second));
    check_verdict(verdict::applied,
                  books.apply(w, give_back{fund, tokens(50), true}));
    check(90, 0);
}

// As above, but the node in between is settled, so that its tokens were
// reclaimed: it can't have given what the books don't know it had.
TEST(budget_books, a_settled_givers_report_counts_when_it_is_covered)
{
    top_up(100);
    ask(a, 60, 60);
    const transfer first{{a, 1}, fund, b, tokens(50)};
    const transfer second{{b, 1}, fund, w, tokens(50)};
    books.apply(a, fence{b, "gone"});
    check_verdict(verdict::applied, books.apply(w, fence_ack{b, {}, true}));
    check_verdict(verdict::refused, books.apply(w, second));
    check_verdict(verdict::applied, books.apply(b, first));
    check_verdict(verdict::applied, books.apply(w, second));
    check(40, 0);
}

// After an outage no node can leave in order: its give-backs are refused for
// good. a gave all to b and b gave a part back; a returned or spent that part
// before the reports came. a then seems to have had too little for the first
// transfer, and b, without it, nothing for the second.
TEST(budget_books, reports_never_wait_for_each_other)
{
    const transfer there{{a, 1}, fund, b, tokens(100)};
    const transfer back{{b, 1}, fund, a, tokens(60)};
    for (int n = 0; n < 8; ++n) {
        const bool spends = (n & 1) != 0;
        const bool back_first = (n & 2) != 0;
        const std::string id = "t" + std::to_string(n);
        books = budget_books();
        for (const incarnation_id& it : {a, b, w})
            books.apply(it, join{.witnesses = {w}, .at = {}});
        top_up(100, id);
        ask(a, 100, 100);
        if (spends)
            check_verdict(verdict::applied, books.apply(a, charge(60)));
        else
            check_verdict(verdict::applied,
                          books.apply(a, give_back{fund, tokens(60), true}));
        if ((n & 4) != 0)
            check_verdict(verdict::applied, books.apply(b, charge(10)));
        for (const transfer& it :
             {back_first ? back : there, back_first ? there : back}) {
            check_verdict(verdict::applied, books.apply(b, it));
            CHECK(books.consistent());
            CHECK(view().free <= tokens(spends ? 0 : 60));
        }
        const std::int64_t spent = (spends ? 60 : 0) + ((n & 4) != 0 ? 10 : 0);
        const std::int64_t rest = (n & 4) != 0 ? 30 : 40;
        check_verdict(verdict::applied,
                      books.apply(b, give_back{fund, tokens(rest), true}));
        check(100 - spent, spent);
        check_verdict(verdict::applied, books.apply(a, leave{}));
        check_verdict(verdict::applied, books.apply(b, leave{}));
    }
}

TEST(budget_books, entry_is_dropped_when_all_is_back_and_billed)
{
    top_up(100);
    ask(a, 50, 10);
    CHECK(!books.apply(a, give_back{fund, tokens(40), true}).closed);
    CHECK(books.apply(a, charge(10)).closed);
    check(90, 10);
    LONGS_EQUAL(0, view().holdings.size());
    LONGS_EQUAL(5, ask(a, 5).granted_total.count());
}

TEST(budget_books, claim_is_won_once_and_freed_by_not_run)
{
    top_up(100);
    const claim wish{team, request_key("k"), {}};
    check_verdict(verdict::applied, books.apply(a, wish));
    check_verdict(verdict::applied, books.apply(a, wish));
    const outcome lost = books.apply(b, wish);
    check_verdict(verdict::duplicate, lost);
    CHECK(lost.key_owner == a);
    bill free_again = charge(0, "k");
    free_again.outcome = bill_outcome::not_run;
    books.apply(a, free_again);
    check_verdict(verdict::applied, books.apply(b, wish));
}

// One node's clock runs a year ahead. Keys must not be forgotten for it, or
// a request that crossed over would be billed twice.
TEST(budget_books, one_wrong_clock_forgets_no_key)
{
    const std::int64_t hour = 3'600'000'000'000;
    top_up(100);
    ask(a, 50);
    ask(b, 50);
    books.apply(a, charge(1, "k", hour));
    bill ahead = charge(1, "other", 9000 * hour);
    books.apply(b, ahead);
    check_verdict(verdict::duplicate, books.apply(a, charge(1, "k", hour)));
    // When others have moved on, it is forgotten, and a bill of that age is
    // not charged any more.
    books.apply(w, claim{team, request_key("x"), from_nanoseconds(9 * hour)});
    CHECK(!books.find_key(team, request_key("k")));
    check_verdict(verdict::uncollected, books.apply(a, charge(1, "k", hour)));
}

TEST(budget_books, leaves_only_with_empty_hands)
{
    top_up(100);
    ask(a, 50);
    check_verdict(verdict::refused, books.apply(a, leave{}));
    books.apply(a, give_back{fund, tokens(50), true});
    CHECK(books.apply(a, leave{}).gone == a);
    check_verdict(verdict::refused, ask(a, 50));
}

TEST(budget_books, malformed_records_change_nothing)
{
    top_up(100);
    const std::string long_name(max_name_bytes + 1, 'x');
    const record_body bad[] = {
        topup{team, fund, topup_id("n"), tokens(-1)},
        topup{team, budget_id(long_name), topup_id("n"), tokens(1)},
        topup{team_id("other"), fund, topup_id("n"), tokens(1)},
        allot{fund, tokens(1), tokens(0), 1, {}},
        allot{fund, tokens(1), tokens(1), 0, {}},
        give_back{fund, tokens(1), false},
        raise{budget_id("none"), tokens(1)},
        bill{},
        transfer{{a, 1}, fund, a, tokens(1)},
        transfer{{a, 1}, fund, b, tokens(101)},
        fence{incarnation_id("nobody"), ""},
        release{a, "ann", ""}};
    const std::string before = books.encode();
    for (const record_body& it : bad) {
        CHECK(books.apply(a, it).what != verdict::applied);
        check(100, 0);
    }
    CHECK(before.size() >= books.encode().size() - 4);
}

TEST(budget_books, state_and_records_survive_their_stored_form)
{
    top_up(1000);
    ask(a, 500, 100);
    ask(b, 100, 10);
    books.apply(a, charge(10, "k", 5));
    books.apply(b, transfer{{a, 3}, fund, b, tokens(40)});
    books.apply(b, fence{a, "why"});
    const record_body records[] = {
        topup{team, fund, topup_id("n"), tokens(1)},
        allot{fund, tokens(9), tokens(2), 3, tokens(4)},
        give_back{fund, tokens(1), true},
        raise{fund, tokens(70)},
        charge(3, "k2", 9),
        claim{team, request_key("c"), from_nanoseconds(4)},
        transfer{{b, 1}, fund, a, tokens(1)},
        join{{w, b}, from_nanoseconds(2)},
        fence{a, "y"},
        fence_ack{a, {{fund, tokens(3)}}, true},
        release{a, "ann", "z"},
        leave{}};
    budget_books copy;
    CHECK(copy.decode(books.encode()).has_value());
    for (const record_body& it : records) {
        const auto read = decode_record(encode_record(it));
        CHECK(read.has_value());
        LONGS_EQUAL(it.index(), read->index());
        const outcome first = books.apply(w, it);
        const outcome second = copy.apply(w, *read);
        const auto reply = decode_outcome(encode_outcome(first));
        CHECK(reply->what == second.what && reply->free == second.free);
        CHECK(reply->granted_total == second.granted_total);
        CHECK(books.encode() == copy.encode());
    }
    const std::string whole = books.encode();
    for (std::size_t n = 0; n + 1 < whole.size(); n += 3)
        CHECK(!copy.decode(whole.substr(0, n)).has_value() || n == 0);
}
