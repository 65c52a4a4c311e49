// Findings of a check: what is wrong with an input and where, all together.
//
// A check goes on after the first fault and collects the rest, so that a
// person mends a file in one round.
//
//     findings found;
//     if (budget < 0)
//         found.add({"teams.json", "/teams/0/budget"}, event, "negative");
//     if (!found.empty())
//         std::cerr << found.to_text();

#ifndef FENNELLADDER_BASE_FINDINGS_HPP
#define FENNELLADDER_BASE_FINDINGS_HPP

#include <string>
#include <vector>

namespace fennelladder {

/// Where a finding is: a file, flag or variable, and a place inside it (a
/// JSON pointer, or "line 7"); the place may be empty.
struct source_place
{
    std::string source;
    std::string inside;
};

/// One fault of an input.
struct finding
{
    source_place place;
    int event = 0; ///< Number in docs/EVENTS.md.
    std::string message;
};

/// Faults in the order found. Not thread safe.
class findings
{
public:
    /// Adds a fault.
    void add(source_place place, int event, std::string message);

    /// Adds all faults of another check.
    void add_all(const findings& other);

    bool empty() const { return all_.empty(); }

    const std::vector<finding>& all() const { return all_; }

    /// One line each: "SOURCE INSIDE: message [event N]".
    std::string to_text() const;

private:
    std::vector<finding> all_;
};

} // namespace fennelladder

#endif
