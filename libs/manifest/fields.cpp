// The tables of fields: the schema of the manifest. docs/MANIFEST.md explains
// each key; a test holds the two to each other.

#include "fields.hpp"

#include <array>

namespace fennelladder::manifest {

namespace {

constexpr bool required = true;
constexpr bool optional = false;

constexpr std::int64_t second = 1'000'000'000;
constexpr std::int64_t hour = 3'600 * second;
constexpr std::int64_t day = 24 * hour;
constexpr bounds token_range{0, max_budget_tokens};
constexpr bounds latency_range{1'000, hour};

} // namespace

template <>
std::span<const field<region>> fields_of<region>()
{
    static constexpr std::array table{
        make_field<&region::id>("id", required),
        make_field<&region::data_centers>("data_centers", required)};
    return table;
}

template <>
std::span<const field<deployment>> fields_of<deployment>()
{
    static constexpr std::array table{
        make_field<&deployment::name>("name", required),
        make_field<&deployment::weighs>("weight", required),
        make_field<&deployment::regions>("regions", required)};
    return table;
}

template <>
std::span<const field<limits>> fields_of<limits>()
{
    static constexpr std::array table{
        make_field<&limits::max_prompt_tokens>("max_prompt_tokens", optional,
                                               {1, 10'000'000}),
        make_field<&limits::max_output_tokens>("max_output_tokens", optional,
                                               {1, 10'000'000}),
        make_field<&limits::max_body_bytes>("max_body_bytes", optional,
                                            {1'024, 64'000'000}),
        make_field<&limits::max_attempts>("max_attempts", optional, {1, 10}),
        make_field<&limits::retry_share>("retry_share", optional),
        make_field<&limits::entry_validity>("entry_validity", optional,
                                            {second, hour}),
        make_field<&limits::reclaim_grace>("reclaim_grace", optional,
                                           {second, 7 * day}),
        make_field<&limits::weight_loads>("weight_loads", optional,
                                          {1, 1'000})};
    return table;
}

template <>
std::span<const field<caller_kind_policy>> fields_of<caller_kind_policy>()
{
    static constexpr std::array table{
        make_field<&caller_kind_policy::id>("id", required),
        make_field<&caller_kind_policy::priority>("priority", required, {0, 9}),
        make_field<&caller_kind_policy::deadline>("deadline", optional,
                                                  latency_range)};
    return table;
}

template <>
std::span<const field<objective>> fields_of<objective>()
{
    static constexpr std::array table{
        make_field<&objective::id>("id", required),
        make_field<&objective::kind>("caller_kind", required),
        make_field<&objective::measures>("measure", required),
        make_field<&objective::latency>("latency", required, latency_range),
        make_field<&objective::target>("target", required),
        make_field<&objective::window>("window", optional, {hour, 90 * day})};
    return table;
}

template <>
std::span<const field<model>> fields_of<model>()
{
    static constexpr std::array table{
        make_field<&model::id>("id", required),
        make_field<&model::versions>("versions", required),
        make_field<&model::adapters>("adapters", optional)};
    return table;
}

template <>
std::span<const field<service_call>> fields_of<service_call>()
{
    static constexpr std::array table{
        make_field<&service_call::name>("name", required),
        make_field<&service_call::idempotent>("idempotent", required),
        make_field<&service_call::timeout>("timeout", required, latency_range),
        make_field<&service_call::cost>("tokens", required, token_range)};
    return table;
}

template <>
std::span<const field<service>> fields_of<service>()
{
    static constexpr std::array table{
        make_field<&service::id>("id", required),
        make_field<&service::calls>("calls", required)};
    return table;
}

template <>
std::span<const field<model_grant>> fields_of<model_grant>()
{
    static constexpr std::array table{
        make_field<&model_grant::model>("model", required),
        make_field<&model_grant::versions>("versions", required),
        make_field<&model_grant::adapters>("adapters", optional)};
    return table;
}

template <>
std::span<const field<team>> fields_of<team>()
{
    static constexpr std::array table{
        make_field<&team::id>("id", required),
        make_field<&team::caller_kinds>("caller_kinds", required),
        make_field<&team::models>("models", optional),
        make_field<&team::services>("services", optional)};
    return table;
}

template <>
std::span<const field<topup>> fields_of<topup>()
{
    static constexpr std::array table{
        make_field<&topup::id>("id", required),
        make_field<&topup::amount>("tokens", required, {1, max_budget_tokens})};
    return table;
}

template <>
std::span<const field<budget>> fields_of<budget>()
{
    static constexpr std::array table{
        make_field<&budget::id>("id", required),
        make_field<&budget::team>("team", required),
        make_field<&budget::topups>("topups", optional)};
    return table;
}

template <>
std::span<const field<model_placement>> fields_of<model_placement>()
{
    static constexpr std::array table{
        make_field<&model_placement::model>("model", required),
        make_field<&model_placement::version>("version", required),
        make_field<&model_placement::adapters>("adapters", optional)};
    return table;
}

template <>
std::span<const field<target>> fields_of<target>()
{
    static constexpr std::array table{
        make_field<&target::id>("id", required),
        make_field<&target::address>("address", required),
        make_field<&target::data_center>("data_center", required),
        make_field<&target::kind>("kind", required),
        make_field<&target::concurrency>("concurrency", required, {1, 100'000}),
        make_field<&target::checks_fencing>("checks_fencing", required),
        make_field<&target::role>("role", optional),
        make_field<&target::models>("models", optional),
        make_field<&target::services>("services", optional)};
    return table;
}

template <>
std::span<const field<document>> fields_of<document>()
{
    static constexpr std::array table{
        make_field<&document::deployment>("deployment", required),
        make_field<&document::limits>("limits", optional),
        make_field<&document::caller_kinds>("caller_kinds", required),
        make_field<&document::objectives>("objectives", optional),
        make_field<&document::models>("models", optional),
        make_field<&document::services>("services", optional),
        make_field<&document::teams>("teams", required),
        make_field<&document::budgets>("budgets", required),
        make_field<&document::targets>("targets", required)};
    return table;
}

} // namespace fennelladder::manifest
