// The books of one shard's budgets: a deterministic fold of its records.
//
//     budget_books books;
//     outcome made = books.apply(me, join{});
//     made = books.apply(me, allot{.budget = b, .wish = tokens(5000),
//                                  .minimum = tokens(100)});
//     if (made.what == verdict::applied)
//         table.credit_grant(b, made.granted_total);
//
// What always holds, whatever comes in whatever order:
//
//   (1) the sum of what holders may still have or have spent is at most what
//       was topped up: sum(effective) <= topped_up, and
//   (2) spent <= topped_up, and
//   (3) a request key of a caller is charged at most once, and
//   (4) a number of a bill or transfer takes effect at most once.
//
// `effective` is the capital that the fold believes a holder can ever use:
// granted + taken - returned for a holder in good standing; at most its
// ceiling once it is fenced; what it has billed and given once released.
//
// Reclaiming. Tokens come back to the free pool on proof only, never because
// time has passed:
//   * the holder returned them (give_back), or
//   * the holder is fenced and each of its witnesses has said, durably, that
//     it vouches for no further ceiling. The holder's promise is that it uses
//     nothing above a ceiling that the journal or a witness has recorded, so
//     what lies above the highest of them is unspent, and stays so also when
//     the holder was only paused and wakes: to go higher it needs a record,
//     and the fold and every witness refuse it. Or
//   * an operator said so (release). That is the operator's risk: a bill that
//     shows up afterwards is paid from the free pool, and what the pool can't
//     pay is not charged to the team but listed as `uncollected`.
// What a fenced holder has below its ceiling, and has not billed, is stranded.
//
// Caveats. Top-up ids are remembered (the newest 256 of a budget), request
// keys for books_options::key_retention after they were folded; a keyed bill
// that is older than that is not charged (`uncollected`), since nobody can
// tell any more whether it is a second one. Memory: about 250 bytes a keyed
// request, 100 a budget, 64 a holding.
//
// Not thread safe.

#ifndef FENNELLADDER_BUDGET_BUDGET_BOOKS_HPP
#define FENNELLADDER_BUDGET_BUDGET_BOOKS_HPP

#include "fennelladder/budget/records.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fennelladder::budget {

/// Limits of the fold. All folders of a shard must use the same.
struct books_options
{
    /// How long a caller's key is remembered after its bill was folded.
    /// Longer than the longest partition a bill may wait out.
    duration key_retention = hours(2);

    /// Most keys remembered; the oldest go first.
    std::size_t max_keys = 500'000;
};

/// What the fold did with a record.
enum class verdict : std::uint8_t
{
    applied,
    replayed,    ///< Bill or transfer number seen before; nothing done.
    duplicate,   ///< Known top-up id, billed key, or key claimed by another.
    refused,     ///< Not enough free, unknown budget, or a fenced holder.
    uncollected, ///< A bill that can't be charged; see the file comment.
    invalid      ///< Malformed; nothing done.
};

/// The stable name of a verdict.
std::string_view to_string(verdict what);

/// Whether a holder may still get tokens.
enum class standing : std::uint8_t
{
    good,
    fenced,   ///< Gets nothing; witnesses not all heard.
    settled,  ///< All witnesses heard; all above its ceiling reclaimed.
    released, ///< An operator's word.
    unknown   ///< Not joined.
};

/// A verdict, and what the sender needs to go on.
struct outcome
{
    verdict what = verdict::invalid;

    /// Granted to the sender from this budget since it opened its entry.
    /// Cumulative, so that a reply can be lost or come twice.
    tokens granted_total;

    tokens free;             ///< Left in the budget's free pool.
    std::uint32_t holders{}; ///< Holders with an entry in this budget.
    bool closed = false;     ///< The sender's entry was dropped.
    incarnation_id gone;     ///< Not empty: nothing more may come of it.
    standing sender = standing::unknown; ///< The sender's.
    incarnation_id key_owner;            ///< Claim: who holds the key.
};

/// What became of a request key.
struct key_record
{
    incarnation_id holder;
    bool billed = false; ///< False: claimed only.
    tokens amount;
    bill_outcome outcome = bill_outcome::unknown;
    std::string answer;
};

/// One holder's part of a budget.
struct holding
{
    incarnation_id holder;
    standing state = standing::good;
    tokens effective; ///< May hold or have used.
    tokens spent;     ///< Billed.
    tokens stranded;  ///< Neither billed nor usable by anyone.
};

/// One budget, for reports and look-ups.
struct budget_view
{
    budget_id budget;
    team_id team;
    tokens topped_up;
    tokens spent;
    tokens free;
    tokens uncollected; ///< Ran, but is not charged.
    tokens released;    ///< Reclaimed on an operator's word.
    std::vector<holding> holdings;
};

/// Numbers seen of one sender: all up to `low`, and some above. Numbers that
/// fall more than `limit` behind count as seen.
class number_window
{
public:
    static constexpr std::uint64_t limit = 16'384;

    /// Whether `number` is new; remembers it.
    bool insert(std::uint64_t number);

    /// Whether `number` was seen.
    bool contains(std::uint64_t number) const
    {
        return number <= low_ || above_.contains(number);
    }

    std::uint64_t low() const { return low_; }

    const std::set<std::uint64_t>& above() const { return above_; }

    /// Restores a window.
    void restore(std::uint64_t low, std::set<std::uint64_t> above);

private:
    std::uint64_t low_ = 0;
    std::set<std::uint64_t> above_;
};

class budget_books
{
public:
    explicit budget_books(const books_options& options = {});

    /// Folds one record. Never fails; see outcome::what.
    outcome apply(const incarnation_id& sender, const record_body& body);

    /// What became of a caller's key, or nothing if it is not known.
    std::optional<key_record> find_key(const team_id& team,
                                       const request_key& key) const;

    /// One budget with its holdings.
    std::optional<budget_view> find_budget(const budget_id& budget) const;

    /// Calls `visit` for each budget in order of its id.
    void for_each(const std::function<void(const budget_view&)>& visit) const;

    standing standing_of(const incarnation_id& holder) const;

    /// Witnesses that a fenced holder still waits for.
    std::vector<incarnation_id> awaited(const incarnation_id& holder) const;

    /// Fenced holders for which `witness` has not given its word yet.
    std::vector<incarnation_id> awaiting(const incarnation_id& witness) const;

    std::size_t key_count() const { return keys_.size(); }

    /// The whole state in its stored form; equal states encode equally.
    std::string encode() const;

    /// Replaces the state. Fails with `corrupt` and changes nothing then.
    status decode(std::string_view bytes);

    /// Whether the invariants of the file comment hold. For tests; costs a
    /// walk over everything.
    bool consistent() const;

private:
    // One life of a node, as far as this shard knows it.
    struct holder_entry
    {
        incarnation_id id;
        number_window bills;
        number_window transfers; // given
        std::vector<incarnation_id> witnesses;
        standing state = standing::good;
        std::set<incarnation_id> waiting; // witnesses not heard, if fenced
        std::int64_t last_at = 0;
        std::string reason;
    };

    // Sums over the life of the holder's entry. Invariant: all >= 0, and
    // returned <= granted + taken. What was taken may be used without a
    // promise, so the limit once fenced is ceiling + taken.
    struct holding_entry
    {
        std::uint32_t holder = 0;
        std::int64_t granted = 0;
        std::int64_t taken = 0;
        std::int64_t returned = 0;
        std::int64_t given = 0;
        std::int64_t billed = 0;
        std::int64_t ceiling = 0;
        bool closing = false;
    };

    struct budget_entry
    {
        team_id team;
        std::int64_t topped_up = 0;
        std::int64_t spent = 0;
        std::int64_t uncollected = 0;
        std::int64_t released = 0;
        // Sum of effective() over holdings, plus spent of dropped ones.
        std::int64_t committed = 0;
        std::deque<topup_id> topup_ids;
        std::vector<holding_entry> holdings;

        std::int64_t free() const { return topped_up - committed; }
    };

    struct key_entry
    {
        bool billed = false;
        std::uint32_t holder = 0;
        std::int64_t amount = 0;
        bill_outcome outcome = bill_outcome::unknown;
        std::int64_t expires = 0;
        std::string answer;
    };

    using budget_map = std::map<budget_id, budget_entry>;

    outcome apply_one(std::uint32_t holder, const topup& wish);
    outcome apply_one(std::uint32_t holder, const allot& wish);
    outcome apply_one(std::uint32_t holder, const give_back& wish);
    outcome apply_one(std::uint32_t holder, const raise& wish);
    outcome apply_one(std::uint32_t holder, const bill& wish);
    outcome apply_one(std::uint32_t holder, const claim& wish);
    outcome apply_one(std::uint32_t holder, const transfer& wish);
    outcome apply_one(std::uint32_t holder, const join& wish);
    outcome apply_one(std::uint32_t holder, const fence& wish);
    outcome apply_one(std::uint32_t holder, const fence_ack& wish);
    outcome apply_one(std::uint32_t holder, const release& wish);
    outcome apply_one(std::uint32_t holder, const leave& wish);

    std::int64_t effective(const holding_entry& it) const;
    std::int64_t stranded(const holding_entry& it) const;
    budget_view view(const budget_id& id, const budget_entry& entry) const;
    outcome answer(const budget_entry& entry, std::uint32_t holder,
                   verdict what) const;
    bool charge(budget_entry& entry, std::uint32_t holder, std::int64_t n);
    bool drop_if_done(budget_entry& entry, std::uint32_t holder);
    std::int64_t committed(const budget_entry& entry) const;
    bool fits(const budget_entry& entry) const;
    void recommit(budget_entry& entry) const;
    void settle_holder(std::uint32_t holder, standing state);
    std::uint32_t intern(const incarnation_id& id);
    std::optional<std::uint32_t> find_holder(const incarnation_id& id) const;
    void observe_time(std::uint32_t holder, instant at);
    void remember_key(const std::string& key, key_entry entry);
    void forget_old_keys();
    void forget_holders();
    void renumber_holders(const std::vector<bool>& needed);

    static constexpr std::uint32_t no_holder = 0xffffffff;

    books_options options_;
    budget_map budgets_;
    std::vector<holder_entry> holders_;
    std::unordered_map<incarnation_id, std::uint32_t> holder_index_;
    std::unordered_map<std::string, key_entry> keys_;
    // Keys in the order in which they expire; may name keys that are gone.
    std::deque<std::pair<std::int64_t, std::string>> expiry_;
    // The fold's time: the second newest of the holders' times, so that one
    // wrong clock alone can't make the fold forget keys. Never goes back.
    std::int64_t head_ = 0;
    std::uint32_t newest_ = no_holder; // Whose time is the newest.
};

/// Stored form of an outcome, as the journal's reply. Thread safe.
std::string encode_outcome(const outcome& made);

/// Reads a reply. Fails with `corrupt`. Thread safe.
result<outcome> decode_outcome(std::string_view bytes);

} // namespace fennelladder::budget

#endif
