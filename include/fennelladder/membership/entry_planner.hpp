// Which of the fleet's addresses a caller should use.
//
//     entry_planner planner(options);
//     planner.update(table, now);                // when the table changed
//     entry_answer answer = planner.answer({caller, data_center}, now);
//
// Callers are spread by weighted rendezvous hashing: the same caller gets the
// same nodes as long as those are fit, and a node that comes or goes moves
// only the callers that it gains or loses.
//
// The rule for callers. Use the first address. On a refused or broken
// connection, or no connection within 300 ms, go on to the next address with
// the same Idempotency-Key, and come back to the first only with a new answer.
// Ask any address for a new answer before `valid_for` has run out, and when
// half of the addresses failed. Addresses past their validity may still be
// used to ask. So a lost node costs a caller one connect timeout.
//
// Caveats. The answer is a hint: each node can serve every caller. If too few
// members are fit, suspects, members that the host list calls leaving and at
// last draining ones fill up the answer: a wrong view gives worse addresses
// rather than none.

#ifndef FENNELLADDER_MEMBERSHIP_ENTRY_PLANNER_HPP
#define FENNELLADDER_MEMBERSHIP_ENTRY_PLANNER_HPP

#include "fennelladder/membership/member_table.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace fennelladder::membership {

struct entry_options
{
    std::size_t addresses = 3;          ///< In one answer.
    duration valid_for = seconds(20);   ///< Spread by a quarter per caller.
    duration load_memory = seconds(20); ///< Older loads count as average.
    duration settle = seconds(2);       ///< Doubles with each recent flap.
    duration longest_settle = minutes(1);
};

struct entry_request
{
    caller_id caller;
    data_center_id data_center; ///< Where the caller is; may be empty.
    region_id region;           ///< Likewise.
};

/// One address, best first in an answer.
struct entry_address
{
    host_id host;
    std::string address;   ///< "IP:port".
    incarnation_id origin; ///< The life that binds request keys.
    data_center_id data_center;
};

struct entry_answer
{
    std::vector<entry_address> addresses;
    duration valid_for{};
};

/// Answers of many callers from one view of the table. update() must not run
/// beside answer(); answer() may run in many threads.
class entry_planner
{
public:
    explicit entry_planner(const entry_options& options) : options_(options) {}

    /// Takes over what the table knows, this node included. O(members).
    void update(const member_table& table, instant now);

    /// The addresses for one caller. O(members).
    entry_answer answer(const entry_request& request) const;

private:
    // How fit a member is: lower tiers come first, whatever their weight.
    enum class tier : std::uint8_t
    {
        fit,
        unsettled, ///< Back from suspicion a moment ago.
        leaving,   ///< The host list says so; the member doesn't.
        suspect,
        draining
    };

    struct candidate
    {
        tier fitness;
        double weight; ///< Above 0.
        std::uint64_t hash;
        region_id region;
        entry_address address;
    };

    struct ranked
    {
        const candidate* who;
        int distance; ///< 0 same data center, 1 same region, 2 elsewhere.
        double score;
    };

    void add(const member& row, instant now);
    tier fitness_of(const member& row, instant now) const;
    double weight_of(const member& row, instant now) const;
    std::vector<ranked> rank(const entry_request& request) const;

    entry_options options_;
    std::vector<candidate> candidates_;
};

} // namespace fennelladder::membership

#endif
