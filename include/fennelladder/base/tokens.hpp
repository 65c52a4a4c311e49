// A count of tokens, the unit in which budgets are prepaid and spent.
//
// Signed, so that it can hold differences. Where an amount must not be
// negative, its declaration says so.
//
//     tokens upper_bound = tokens(prompt) + tokens(max_output);

#ifndef FENNELLADDER_BASE_TOKENS_HPP
#define FENNELLADDER_BASE_TOKENS_HPP

#include <compare>
#include <cstdint>
#include <ostream>

namespace fennelladder {

/// Number of tokens.
class tokens
{
public:
    constexpr tokens() = default;

    constexpr explicit tokens(std::int64_t count) : count_(count) {}

    constexpr std::int64_t count() const { return count_; }

    constexpr tokens& operator+=(tokens other)
    {
        count_ += other.count_;
        return *this;
    }

    constexpr tokens& operator-=(tokens other)
    {
        count_ -= other.count_;
        return *this;
    }

    friend constexpr tokens operator+(tokens a, tokens b) { return a += b; }

    friend constexpr tokens operator-(tokens a, tokens b) { return a -= b; }

    friend constexpr tokens operator-(tokens a) { return tokens(-a.count_); }

    friend constexpr auto operator<=>(tokens, tokens) = default;

    friend std::ostream& operator<<(std::ostream& out, tokens value)
    {
        return out << value.count_;
    }

private:
    std::int64_t count_ = 0;
};

} // namespace fennelladder

#endif
