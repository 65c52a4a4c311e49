// The rules of docs/HISTORY.md, each a function over the tables.

#ifndef FENNELLADDER_LIBS_HISTORY_RULES_HPP
#define FENNELLADDER_LIBS_HISTORY_RULES_HPP

#include "tables.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace fennelladder::history {

/// Takes what the rules find, and keeps no more of it than the options say.
class violation_log
{
public:
    violation_log(history_report& report, std::size_t kept)
        : report_(report), kept_(kept)
    {}

    /// Adds a breach; lines may come in any order, 0 stands for none.
    void add(rule broken, std::string message, std::vector<line_number> lines);

private:
    history_report& report_;
    std::size_t kept_;
};

using rule_check = void (*)(const history_tables&, const check_options&,
                            violation_log&);

// rules_books.cpp
void check_overspend(const history_tables& tables, const check_options&,
                     violation_log& log);
void check_billed_once(const history_tables& tables, const check_options&,
                       violation_log& log);

// rules_answers.cpp
void check_whole_answer(const history_tables& tables, const check_options&,
                        violation_log& log);
void check_own_answer(const history_tables& tables, const check_options&,
                      violation_log& log);
void check_no_loss(const history_tables& tables, const check_options&,
                   violation_log& log);
void check_no_cut_on_shutdown(const history_tables& tables,
                              const check_options&, violation_log& log);

// rules_executions.cpp
void check_not_run_is_true(const history_tables& tables, const check_options&,
                           violation_log& log);
void check_at_most_once(const history_tables& tables, const check_options&,
                        violation_log& log);
void check_no_work_after_leaving(const history_tables& tables,
                                 const check_options& options,
                                 violation_log& log);

// rules_configuration.cpp
void check_config_in_force(const history_tables& tables,
                           const check_options& options, violation_log& log);
void check_config_never_reverts(const history_tables& tables,
                                const check_options&, violation_log& log);

/// The figure urgent-first (urgency.cpp).
std::vector<kind_figure> measure_urgency(const history_tables& tables,
                                         const check_options& options);

/// Removes what `field` says is equal to the element before it.
// (clang 14 can't compile the subranges of libstdc++ 12, hence no
// std::ranges::unique.)
template <class Element, class Field>
void remove_repeated(std::vector<Element>& elements, Field field)
{
    const auto same = [&field](const Element& a, const Element& b) {
        return std::invoke(field, a) == std::invoke(field, b);
    };
    elements.erase(std::unique(elements.begin(), elements.end(), same),
                   elements.end());
}

/// Calls `visit(first, last)` for each run of elements that `same` holds
/// together. Precondition: such elements are neighbours.
template <class Element, class Same, class Visit>
void for_each_group(const std::vector<Element>& elements, Same same,
                    Visit visit)
{
    auto first = elements.begin();
    while (first != elements.end()) {
        auto last = first;
        while (last != elements.end() && same(*first, *last))
            ++last;
        visit(first, last);
        first = last;
    }
}

} // namespace fennelladder::history

#endif
