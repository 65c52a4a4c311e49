// Transfers of tokens between two nodes' allotments, without the store.
//
//     // taker                              // giver
//     transfer_ask ask = mine.ask(...);
//                         -- ask -->
//                                          transfer_reply reply =
//                                              theirs.give(ask, most, shard);
//                         <-- reply --
//     mine.accept(reply, now);
//                         -- confirm -->
//                                          theirs.confirm(confirm);
//
// The giver deducts before it replies, and the taker credits an ask once, so
// that whatever is lost, doubled or late, tokens may be missing for a while
// but there are never more of them:
//   * ask lost, or reply lost: the taker sends the same ask again and gets the
//     same reply. If it gives up, it first forgets the ask (a late reply is
//     ignored from then on) and confirms that it has credited nothing; only
//     then does the giver take the tokens back.
//   * ask doubled or late: the giver knows its number, open or closed.
//   * taker dead: the tokens stay deducted at the giver, that is stranded.
//   * giver dead: the taker has the tokens or not; it reports what it has.
// The books learn of a transfer from the taker, or from the giver when the
// taker is gone (take_over).
//
// Not thread safe; the table it works on is. Memory: an entry for each
// transfer that is not confirmed, at most transfer_options::max_open.

#ifndef FENNELLADDER_BUDGET_TRANSFER_LEDGER_HPP
#define FENNELLADDER_BUDGET_TRANSFER_LEDGER_HPP

#include "fennelladder/budget/allotment_table.hpp"
#include "fennelladder/budget/budget_books.hpp"
#include "fennelladder/budget/records.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelladder::budget {

/// A taker's wish. `number` counts the taker's asks to this giver from 1.
struct transfer_ask
{
    incarnation_id taker;
    incarnation_id giver;
    std::uint64_t number = 0;
    budget_id budget;
    tokens wish;
    tokens need; ///< What a waiting request lacks; less helps a little.
};

/// The giver's answer; amount zero: nothing was given.
struct transfer_reply
{
    std::uint64_t ask = 0;
    transfer_id id;
    tokens amount;
    bool more_soon = false; ///< Ask anew in a moment: more is on its way.
};

/// The taker's last word on an ask.
struct transfer_confirm
{
    incarnation_id taker;
    incarnation_id giver;
    std::uint64_t ask = 0;
    bool credited = false;
};

struct transfer_options
{
    /// Most transfers that may be open on either side.
    std::size_t max_open = 20'000;

    /// After this long without a reply the same ask is sent again.
    duration repeat_after = milliseconds(200);

    /// A word that was not taken is sent again after this long, doubled each
    /// time up to `word_limit`.
    duration word_again = seconds(1);
    duration word_limit = minutes(1);

    /// After this long the taker gives up.
    duration give_up_after = seconds(5);
};

class transfer_ledger
{
public:
    /// `table` must outlive the ledger.
    transfer_ledger(const incarnation_id& self, allotment_table& table,
                    const transfer_options& options = {});

    // -- as giver

    /// Answers an ask: gives up to `most`, or nothing. The same ask gets the
    /// same answer. `shard` is the budget's.
    transfer_reply give(const transfer_ask& ask, tokens most, shard_id shard);

    /// Takes the taker's last word; may come any number of times.
    void confirm(const transfer_confirm& word);

    /// Transfers that a taker, now gone, has confirmed; to be reported to the
    /// books by this node. Reporting one that the taker reported is harmless.
    std::vector<transfer> take_over(const incarnation_id& taker) const;

    /// Tokens given and not confirmed: stranded if the takers are gone.
    tokens unconfirmed() const;

    // -- as taker

    /// Makes an ask to be sent. One with number 0 must not be sent: too many
    /// are open.
    transfer_ask ask(const incarnation_id& giver, const budget_id& budget,
                     tokens wish, tokens need, instant now);

    /// Credits a reply if its ask is open. Returns what was credited.
    tokens accept(const transfer_reply& reply, instant now);

    /// Asks to send again. Those too old are given up first.
    std::vector<transfer_ask> repeats(instant now);

    /// Words to send to givers now; each comes again every
    /// transfer_options::word_again until confirmed() says that its giver has
    /// it.
    std::vector<transfer_confirm> confirms(instant now);
    void confirmed(const transfer_confirm& word);

    /// Transfers credited that the books have not been told of. Each comes
    /// once, and again if reported() says that it did not get through.
    std::vector<transfer> reports();
    void reported(const transfer& moved, bool taken);

    /// True while a gift from this budget awaits the taker's last word, or a
    /// transfer to it is not in the books.
    bool moving(const budget_id& budget) const;

    /// Transfers credited and not yet in the books.
    std::size_t unreported() const
    {
        return to_report_.size() + in_report_.size();
    }

    /// Open asks for a budget.
    bool asking(const budget_id& budget) const;

private:
    struct gift
    {
        transfer moved;
        bool confirmed = false;
    };

    struct taker_state
    {
        number_window closed; // asks that will be answered no more
        std::map<std::uint64_t, gift> open;
        std::deque<transfer> credited; // newest last, bounded
    };

    struct open_ask
    {
        transfer_ask sent;
        instant first;
        instant last;
    };

    using ask_key = std::pair<incarnation_id, std::uint64_t>;

    void close_ask(const ask_key& key);
    void keep_word(const ask_key& key, bool credited, instant now);

    incarnation_id self_;
    allotment_table& table_;
    transfer_options options_;

    std::unordered_map<incarnation_id, taker_state> takers_;
    std::unordered_map<shard_id, std::uint64_t> next_transfer_;
    std::size_t open_gifts_ = 0;
    std::unordered_map<budget_id, std::size_t> giving_; // open, by budget

    std::map<ask_key, open_ask> asks_;
    std::unordered_map<incarnation_id, std::uint64_t> next_ask_;
    std::unordered_map<budget_id, int> asking_;
    // The last word on an ask, kept until its giver has it.
    struct open_word
    {
        bool credited = false;
        duration wait{}; // until it is sent again
    };

    std::map<ask_key, open_word> words_;
    // Words by when they are due; entries of words that are done are stale.
    std::multimap<instant, ask_key> due_;
    // By the budget too, for a giver counts its transfers shard by shard. By
    // the id alone, of two reports for two shards one would be lost, and its
    // tokens could be neither billed nor given back.
    using report_key = std::pair<budget_id, transfer_id>;
    std::map<report_key, transfer> to_report_;
    std::map<report_key, transfer> in_report_;
};

} // namespace fennelladder::budget

#endif
