// A node's own part of the budgets it serves: reserve, settle, hold.
//
//     auto held = table.reserve(budget, worst, now);
//     if (!held)
//         return ask_for_more(held.error());
//     ... run the request ...
//     settlement done = table.settle(std::move(*held), actual);
//
// Of each budget the table keeps sums over the life of its entry:
//
//   capital = granted + taken - returned     what this node was entrusted with
//   engaged = used + reserved + given        what it has made of it
//
// Invariant: engaged <= min(capital, ceiling + taken). The ceiling is what
// this node has promised, to the journal or to a witness, not to exceed (see
// budget_books.hpp); whoever raises it here has to have that promise recorded
// first. What was transferred to it needs no promise: until the books know of
// the transfer, the giver's ceiling covers it. A reservation takes the worst
// case at once, so that no interleaving of requests spends more than there is,
// and an answer never has to be cut.
//
// A reservation that is neither settled nor released stays reserved for good:
// tokens in doubt are kept, never spent twice.
//
// Thread safe. Entries are spread over stripes with a mutex each; a call
// locks one stripe, takes no other lock inside and calls nobody, so that these
// are leaves of any lock order. Memory: about 250 bytes a budget with an
// entry; drop() removes one that is fully returned.

#ifndef FENNELLADDER_BUDGET_ALLOTMENT_TABLE_HPP
#define FENNELLADDER_BUDGET_ALLOTMENT_TABLE_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace fennelladder::budget {

struct allotment_entry;

/// Tokens set aside for one request. Moves, can't be copied.
class reservation
{
public:
    reservation() = default;

    reservation(reservation&& other) noexcept
        : entry_(std::exchange(other.entry_, nullptr)), stripe_(other.stripe_),
          held_(other.held_), amount_(std::exchange(other.amount_, tokens()))
    {}

    reservation& operator=(reservation&& other) noexcept
    {
        entry_ = std::exchange(other.entry_, nullptr);
        stripe_ = other.stripe_;
        held_ = other.held_;
        amount_ = std::exchange(other.amount_, tokens());
        return *this;
    }

    /// Worst case that was set aside; zero once settled.
    tokens amount() const { return amount_; }

    bool active() const { return entry_ != nullptr; }

private:
    friend class allotment_table;

    reservation(allotment_entry* entry, std::size_t stripe, tokens amount)
        : entry_(entry), stripe_(stripe), amount_(amount)
    {}

    allotment_entry* entry_ = nullptr;
    std::size_t stripe_ = 0;
    bool held_ = false; // Noted by hold().
    tokens amount_;
};

/// Why a reservation did not fit.
struct shortfall
{
    tokens short_by; ///< Missing capital; zero if only the ceiling is low.
    tokens ceiling_short_by; ///< By how much the ceiling has to rise.
};

/// What became of a reservation.
struct settlement
{
    tokens charged;
    /// The actual figure was above the worst case, and was cut down to it;
    /// a fault of the target or of the estimate, to be logged.
    bool clamped = false;
};

/// One budget's figures at a node.
struct allotment_level
{
    budget_id budget;
    tokens capital;
    tokens taken; ///< Part of capital.
    tokens used;
    tokens reserved;
    tokens given;
    tokens ceiling;
    /// Tokens wanted since the last poll: reserved and then settled, given
    /// to peers, and asked for in vain.
    tokens demand;
    tokens largest; ///< Largest single wish seen.
    instant last_used;

    tokens engaged() const { return used + reserved + given; }

    tokens available() const { return capital - engaged(); }

    /// Most that may be engaged without a further promise.
    tokens limit() const { return ceiling + taken; }
};

class allotment_table
{
public:
    /// Precondition: stripes is a power of two.
    explicit allotment_table(std::size_t stripes = 256);
    ~allotment_table();
    allotment_table(const allotment_table&) = delete;
    allotment_table& operator=(const allotment_table&) = delete;

    /// Sets `worst` aside. Precondition: worst >= 0.
    tl::expected<reservation, shortfall> reserve(const budget_id& budget,
                                                 tokens worst, instant now);

    /// Charges `actual` and frees the rest. Zero releases it all.
    /// Precondition: held.active(), actual >= 0.
    settlement settle(reservation held, tokens actual);

    /// Notes that its outcome is unknown; it stays reserved until settled.
    void hold(reservation& held);

    /// Takes in a grant: the books' cumulative sum, so that replies may come
    /// twice or out of order. Returns how much was new.
    tokens credit_grant(const budget_id& budget, tokens granted_total,
                        instant now);

    /// Takes in a transfer from a peer. Call once per transfer id.
    void credit_transfer(const budget_id& budget, tokens amount, instant now);

    /// Gives up to `amount` (at least `minimum`) to a peer, within capital
    /// and ceiling; zero if it can't.
    tokens debit_transfer(const budget_id& budget, tokens amount,
                          tokens minimum);

    /// Takes back a transfer that its taker will provably never credit.
    void refund_transfer(const budget_id& budget, tokens amount);

    /// Deducts what is returned to the free pool; at most what is available.
    /// Returns how much was deducted.
    tokens debit_return(const budget_id& budget, tokens amount);

    /// Undoes debit_return() when the books refused it.
    void refund_return(const budget_id& budget, tokens amount);

    /// Undoes the charge of a bill that was not charged (a duplicate, or
    /// uncollected). Precondition: amount was settled here.
    void uncharge(const budget_id& budget, tokens amount);

    /// Raises the ceiling; a lower one changes nothing. Precondition: the
    /// promise is recorded by the journal or a witness.
    void raise_ceiling(const budget_id& budget, tokens ceiling);

    /// Removes an entry that the books have closed. False if it is in use
    /// again; it has to be closed anew then.
    bool drop(const budget_id& budget);

    std::optional<allotment_level> level(const budget_id& budget) const;

    /// Figures of the budgets touched since the last poll; resets their
    /// demand. Order is not specified.
    std::vector<allotment_level> poll();

    /// Figures of all entries.
    std::vector<allotment_level> all() const;

    std::size_t size() const;

    /// Reservations noted by hold() and not settled yet, in tokens.
    tokens held() const;

private:
    struct stripe;

    stripe& stripe_of(std::uint64_t hash) const;
    template <class Change>
    auto change(const budget_id& budget, const Change& apply);
    template <class Change>
    auto change_if_there(const budget_id& budget, const Change& apply) const;

    std::size_t mask_;
    std::unique_ptr<stripe[]> stripes_;
};

} // namespace fennelladder::budget

#endif
