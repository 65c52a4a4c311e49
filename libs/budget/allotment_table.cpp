// A striped hash table of entries that never move.
//
// The hash of a budget's id is computed once a call: its high bits pick the
// stripe, its low bits the bucket. An entry's address is stable, so that a
// reservation carries it and settling needs no second look-up; drop() refuses
// while anything is reserved, which keeps the address good. A touched entry is
// put on its stripe's list once, so that a poll costs what was touched, not
// what there is.

#include "fennelladder/budget/allotment_table.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <mutex>
#include <string_view>
#include <unordered_map>

namespace fennelladder::budget {

// Invariants: all sums >= 0; engaged() <= min(capital(), ceiling + taken)
// except that a refused return or an uncollected bill may be put back at any
// time, which only adds room.
struct allotment_entry
{
    std::int64_t granted = 0;
    std::int64_t taken = 0;
    std::int64_t returned = 0;
    std::int64_t given = 0;
    std::int64_t used = 0;
    std::int64_t reserved = 0;
    std::int64_t ceiling = 0;
    std::int64_t demand = 0;
    std::int64_t largest = 0;
    std::int64_t held = 0;
    instant last_used;
    bool touched = false;
    const budget_id* id = nullptr; // Key of this entry in its map.

    std::int64_t capital() const { return granted + taken - returned; }

    std::int64_t engaged() const { return used + reserved + given; }

    std::int64_t available() const { return capital() - engaged(); }

    std::int64_t room() const
    {
        return std::min(capital(), ceiling + taken) - engaged();
    }
};

namespace {

struct hashed_id
{
    std::string_view id;
    std::uint64_t hash;
};

struct id_hash
{
    using is_transparent = void;

    std::size_t operator()(const hashed_id& key) const { return key.hash; }

    std::size_t operator()(const budget_id& id) const
    {
        return hash64(id.str());
    }
};

struct id_equal
{
    using is_transparent = void;

    bool operator()(const budget_id& a, const budget_id& b) const
    {
        return a == b;
    }

    bool operator()(const hashed_id& a, const budget_id& b) const
    {
        return a.id == b.str();
    }

    bool operator()(const budget_id& a, const hashed_id& b) const
    {
        return a.str() == b.id;
    }
};

using entry_map =
    std::unordered_map<budget_id, allotment_entry, id_hash, id_equal>;

allotment_level to_level(const budget_id& budget, const allotment_entry& it)
{
    return {.budget = budget,
            .capital = tokens(it.capital()),
            .taken = tokens(it.taken),
            .used = tokens(it.used),
            .reserved = tokens(it.reserved),
            .given = tokens(it.given),
            .ceiling = tokens(it.ceiling),
            .demand = tokens(it.demand),
            .largest = tokens(it.largest),
            .last_used = it.last_used};
}

} // namespace

struct alignas(64) allotment_table::stripe
{
    mutable std::mutex mutex;
    entry_map entries;
    std::vector<allotment_entry*> touched; // Those with `touched` set.
    std::int64_t held = 0;

    void touch(allotment_entry& it)
    {
        if (it.touched)
            return;
        it.touched = true;
        touched.push_back(&it);
    }
};

allotment_table::allotment_table(std::size_t stripes)
    : mask_(stripes - 1), stripes_(std::make_unique<stripe[]>(stripes))
{
    assert(std::has_single_bit(stripes));
}

allotment_table::~allotment_table() = default;

allotment_table::stripe& allotment_table::stripe_of(std::uint64_t hash) const
{
    return stripes_[(hash >> 40) & mask_];
}

// Applies a change to the entry of `budget`, made if there is none.
template <class Change>
auto allotment_table::change(const budget_id& budget, const Change& apply)
{
    const hashed_id key{budget.str(), hash64(budget.str())};
    stripe& part = stripe_of(key.hash);
    const std::lock_guard lock(part.mutex);
    auto it = part.entries.find(key);
    if (it == part.entries.end()) {
        it = part.entries.try_emplace(budget).first;
        it->second.id = &it->first;
    }
    part.touch(it->second);
    return apply(it->second, part);
}

// Applies a change, or returns the default of its result without an entry.
template <class Change>
auto allotment_table::change_if_there(const budget_id& budget,
                                      const Change& apply) const
{
    const hashed_id key{budget.str(), hash64(budget.str())};
    stripe& part = stripe_of(key.hash);
    const std::lock_guard lock(part.mutex);
    const auto it = part.entries.find(key);
    if (it == part.entries.end())
        return decltype(apply(it->second, part))();
    part.touch(it->second);
    return apply(it->second, part);
}

tl::expected<reservation, shortfall>
allotment_table::reserve(const budget_id& budget, tokens worst, instant now)
{
    using answer = tl::expected<reservation, shortfall>;
    assert(worst >= tokens(0));
    return change(budget, [&](allotment_entry& it, stripe& part) -> answer {
        const std::int64_t n = worst.count();
        it.last_used = now;
        it.largest = std::max(it.largest, n);
        if (n > it.room()) {
            it.demand += n;
            const std::int64_t ceiling_room =
                it.ceiling + it.taken - it.engaged();
            return tl::unexpected<shortfall>(
                shortfall{tokens(std::max<std::int64_t>(0, n - it.available())),
                          tokens(std::max<std::int64_t>(0, n - ceiling_room))});
        }
        it.reserved += n;
        const auto index = static_cast<std::size_t>(&part - stripes_.get());
        return reservation(&it, index, worst);
    });
}

settlement allotment_table::settle(reservation held, tokens actual)
{
    assert(held.active() && actual >= tokens(0));
    stripe& part = stripes_[held.stripe_];
    settlement made;
    made.clamped = actual > held.amount_;
    made.charged = std::min(actual, held.amount_);
    const std::lock_guard lock(part.mutex);
    allotment_entry& it = *held.entry_;
    it.reserved -= held.amount_.count();
    it.used += made.charged.count();
    it.demand += made.charged.count();
    if (held.held_) {
        it.held -= held.amount_.count();
        part.held -= held.amount_.count();
    }
    part.touch(it);
    assert(it.reserved >= 0 && it.engaged() <= it.capital());
    return made;
}

void allotment_table::hold(reservation& held)
{
    if (held.held_)
        return;
    held.held_ = true;
    stripe& part = stripes_[held.stripe_];
    const std::lock_guard lock(part.mutex);
    held.entry_->held += held.amount_.count();
    part.held += held.amount_.count();
}

tokens allotment_table::credit_grant(const budget_id& budget,
                                     tokens granted_total, instant now)
{
    return change(budget, [&](allotment_entry& it, stripe&) {
        const std::int64_t fresh =
            std::max<std::int64_t>(0, granted_total.count() - it.granted);
        it.granted += fresh;
        it.last_used = std::max(it.last_used, now);
        return tokens(fresh);
    });
}

void allotment_table::credit_transfer(const budget_id& budget, tokens amount,
                                      instant now)
{
    change(budget, [&](allotment_entry& it, stripe&) {
        it.taken += amount.count();
        it.last_used = std::max(it.last_used, now);
    });
}

tokens allotment_table::debit_transfer(const budget_id& budget, tokens amount,
                                       tokens minimum)
{
    return change_if_there(budget, [&](allotment_entry& it, stripe&) {
        const std::int64_t n = std::min(amount.count(), it.room());
        if (n < minimum.count() || n <= 0)
            return tokens(0);
        it.given += n;
        it.demand += n;
        return tokens(n);
    });
}

void allotment_table::refund_transfer(const budget_id& budget, tokens amount)
{
    change_if_there(budget, [&](allotment_entry& it, stripe&) {
        assert(it.given >= amount.count());
        it.given -= amount.count();
    });
}

tokens allotment_table::debit_return(const budget_id& budget, tokens amount)
{
    return change_if_there(budget, [&](allotment_entry& it, stripe&) {
        const std::int64_t n = std::clamp<std::int64_t>(
            amount.count(), 0, std::max<std::int64_t>(0, it.available()));
        it.returned += n;
        return tokens(n);
    });
}

void allotment_table::refund_return(const budget_id& budget, tokens amount)
{
    change_if_there(budget, [&](allotment_entry& it, stripe&) {
        it.returned -= amount.count();
    });
}

void allotment_table::uncharge(const budget_id& budget, tokens amount)
{
    change_if_there(budget, [&](allotment_entry& it, stripe&) {
        assert(it.used >= amount.count());
        it.used -= amount.count();
    });
}

void allotment_table::raise_ceiling(const budget_id& budget, tokens ceiling)
{
    change_if_there(budget, [&](allotment_entry& it, stripe&) {
        it.ceiling = std::max(it.ceiling, ceiling.count());
    });
}

bool allotment_table::drop(const budget_id& budget)
{
    const hashed_id key{budget.str(), hash64(budget.str())};
    stripe& part = stripe_of(key.hash);
    const std::lock_guard lock(part.mutex);
    const auto it = part.entries.find(key);
    if (it == part.entries.end())
        return true;
    if (it->second.available() != 0 || it->second.reserved != 0)
        return false;
    std::erase(part.touched, &it->second);
    part.entries.erase(it);
    return true;
}

std::optional<allotment_level>
allotment_table::level(const budget_id& budget) const
{
    const hashed_id key{budget.str(), hash64(budget.str())};
    const stripe& part = stripe_of(key.hash);
    const std::lock_guard lock(part.mutex);
    const auto it = part.entries.find(key);
    if (it == part.entries.end())
        return std::nullopt;
    return to_level(it->first, it->second);
}

std::vector<allotment_level> allotment_table::poll()
{
    std::vector<allotment_level> made;
    for (std::size_t n = 0; n <= mask_; ++n) {
        stripe& part = stripes_[n];
        const std::lock_guard lock(part.mutex);
        for (allotment_entry* it : part.touched) {
            made.push_back(to_level(*it->id, *it));
            it->touched = false;
            it->demand = 0;
        }
        part.touched.clear();
    }
    return made;
}

std::vector<allotment_level> allotment_table::all() const
{
    std::vector<allotment_level> made;
    for (std::size_t n = 0; n <= mask_; ++n) {
        const stripe& part = stripes_[n];
        const std::lock_guard lock(part.mutex);
        for (const auto& [budget, it] : part.entries)
            made.push_back(to_level(budget, it));
    }
    return made;
}

std::size_t allotment_table::size() const
{
    std::size_t n = 0;
    for (std::size_t i = 0; i <= mask_; ++i) {
        const std::lock_guard lock(stripes_[i].mutex);
        n += stripes_[i].entries.size();
    }
    return n;
}

tokens allotment_table::held() const
{
    std::int64_t sum = 0;
    for (std::size_t n = 0; n <= mask_; ++n) {
        const std::lock_guard lock(stripes_[n].mutex);
        sum += stripes_[n].held;
    }
    return tokens(sum);
}

} // namespace fennelladder::budget
