// Validation errors of an input, with their locations.
//
// A check continues after the first error and collects all of them, so that a
// file can be corrected in one pass.
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

/// Location of a finding: a file, flag or variable, and a position inside it (a
/// JSON pointer, or "line 7"); the position may be empty.
struct source_place
{
    std::string source;
    std::string inside;
};

/// One error in an input.
struct finding
{
    source_place place;
    int event = 0; ///< Number in docs/EVENTS.md.
    std::string message;
};

/// Findings in the order of their detection. Not thread safe.
class findings
{
public:
    /// Adds a finding.
    void add(source_place place, int event, std::string message);

    /// Adds all findings of another check.
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
