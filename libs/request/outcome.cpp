#include "fennelladder/request/outcome.hpp"

#include <array>

namespace fennelladder::request {

namespace {

constexpr auto outcome_names =
    std::to_array<std::string_view>({"answered", "not_run", "unknown"});

constexpr auto code_names = std::to_array<std::string_view>(
    {"ok", "answered_before", "budget_exhausted", "overloaded", "shutting_down",
     "store_unavailable", "deadline_passed", "caller_left", "target_refused",
     "target_lost", "stream_cut", "ran_and_failed", "suspected",
     "claimed_elsewhere", "origin_lost", "key_reused", "too_many_keys"});

static_assert(code_names.size() ==
              static_cast<std::size_t>(reply_code::too_many_keys) + 1);

} // namespace

std::string_view to_string(outcome value)
{
    return outcome_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(reply_code value)
{
    return code_names.at(static_cast<std::size_t>(value));
}

} // namespace fennelladder::request
