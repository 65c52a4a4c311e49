// The manifest: everything operators ask of the fleet, as typed values.
//
// The operators' pipeline generates it as JSON (docs/MANIFEST.md); nobody
// edits live settings. parse() in parse.hpp turns the text into a `document`
// or into all findings at once, so code that holds a document may rely on
// what is said here: ids are unique within their list, every reference names
// something that exists, numbers are within their ranges.
//
//     auto parsed = manifest::parse(text, "manifest.json");
//     if (!parsed.ok())
//         std::cerr << parsed.found.to_text();
//
// Caveat: a document holds all budgets, 350,000 of them at the size designed
// for. It belongs to `validate` and `apply`; a node keeps an active_manifest
// (active_manifest.hpp), which is a tenth of the size.

#ifndef FENNELLADDER_MANIFEST_DOCUMENT_HPP
#define FENNELLADDER_MANIFEST_DOCUMENT_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelladder::manifest {

using objective_id = text_id<struct objective_tag>;

/// Name of one call of a plain service, such as "clearance".
using call_name = text_id<struct call_name_tag>;

/// A share in parts per million; written as a percentage ("99.5%").
struct share
{
    std::int64_t parts_per_million = 0; ///< 0 to 1,000,000.

    double value() const { return double(parts_per_million) / 1e6; }

    friend auto operator<=>(const share&, const share&) = default;
};

/// An IP address and a port; written "10.0.0.1:8000" or "[fd00::1]:8000".
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    /// As written in the manifest.
    std::string str() const;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Which mistake costs the deployment more. It changes how tokens are spread
/// and how long a short request waits, never the bound on spending.
enum class weight : std::uint8_t
{
    overspend,
    false_refusal
};

/// What stands behind a target's address.
enum class target_kind : std::uint8_t
{
    engine, ///< A model engine.
    service ///< A plain service.
};

/// Which phase of a completion an engine works on.
enum class engine_role : std::uint8_t
{
    mixed,
    prefill,
    decode
};

/// What an objective measures of a request.
enum class measure : std::uint8_t
{
    first_byte,  ///< Request received to first byte of the answer.
    inter_token, ///< Longest gap between two parts of the answer.
    total        ///< Request received to last byte of the answer.
};

struct region
{
    region_id id;
    std::vector<data_center_id> data_centers;

    bool operator==(const region&) const = default;
};

/// Who runs the fleet and where.
struct deployment
{
    std::string name;
    weight weighs = weight::overspend;
    std::vector<region> regions;

    bool operator==(const deployment&) const = default;
};

/// Bounds on requests and pace of the fleet's own work.
struct limits
{
    tokens max_prompt_tokens{32'768};
    tokens max_output_tokens{4'096};
    std::int64_t max_body_bytes = 1'048'576;

    /// Executions of one idempotent request, the first included.
    std::int64_t max_attempts = 3;

    /// Retries allowed as a share of live requests.
    share retry_share{100'000};

    /// How long a caller may keep an entry answer.
    duration entry_validity = seconds(30);

    /// A departed host's allotments are reclaimed this long after its proof.
    duration reclaim_grace = hours(1);

    /// Model loads from the weight store at one time, fleet-wide.
    std::int64_t weight_loads = 4;

    bool operator==(const limits&) const = default;
};

/// What a kind of caller (mechanic, dispatcher, ...) is entitled to.
struct caller_kind_policy
{
    caller_kind id;
    std::int64_t priority = 0;        ///< 0 to 9; lower is more urgent.
    duration deadline = seconds(300); ///< Of a request that names none.

    bool operator==(const caller_kind_policy&) const = default;
};

/// A service-level objective: `target` of the requests of `kind` are answered
/// whole, once, and within `latency` by `measures`; looked at over `window`.
struct objective
{
    objective_id id;
    caller_kind kind;
    measure measures = measure::total;
    duration latency{};
    share target;
    duration window = hours(24 * 28);

    bool operator==(const objective&) const = default;
};

/// A model that engines can load.
struct model
{
    model_id id;
    std::vector<model_version> versions;
    std::vector<adapter_id> adapters;

    bool operator==(const model&) const = default;
};

/// One call of a plain service.
struct service_call
{
    call_name name;
    bool idempotent = false; ///< False: it must never run twice.
    duration timeout{};
    tokens cost; ///< Charged to the budget when it ran.

    bool operator==(const service_call&) const = default;
};

/// A plain service, which is routed to but makes no tokens.
struct service
{
    service_id id;
    std::vector<service_call> calls;

    bool operator==(const service&) const = default;
};

/// Permission to use versions and adapters of a model.
struct model_grant
{
    model_id model;
    std::vector<model_version> versions; ///< The first is the default.
    std::vector<adapter_id> adapters;

    bool operator==(const model_grant&) const = default;
};

/// A customer's team: what it may use, and which callers it has.
struct team
{
    team_id id;
    std::vector<caller_kind> caller_kinds;
    std::vector<model_grant> models;
    std::vector<service_id> services;

    bool operator==(const team&) const = default;
};

/// A payment. Its id makes it count once, however often it is sent.
struct topup
{
    topup_id id;
    tokens amount;

    bool operator==(const topup&) const = default;
};

/// A prepaid budget. Top-ups add up, together with those that `topup` booked.
struct budget
{
    budget_id id;
    team_id team;
    std::vector<topup> topups;

    /// Sum of the top-ups; parse() has made sure that it doesn't overflow.
    tokens prepaid() const;

    bool operator==(const budget&) const = default;
};

/// A model that an engine is to keep loaded.
struct model_placement
{
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters;

    bool operator==(const model_placement&) const = default;
};

/// A back end: an engine with its desired state, or a plain service's server.
struct target
{
    target_id id;
    endpoint address;
    data_center_id data_center;
    target_kind kind = target_kind::engine;
    std::int64_t concurrency = 1; ///< Requests it works on at one time.
    bool checks_fencing = false;  ///< Refuses orders with an old number.
    engine_role role = engine_role::mixed;
    std::vector<model_placement> models; ///< Engines only.
    std::vector<service_id> services;    ///< Plain services only.

    bool operator==(const target&) const = default;
};

/// The whole manifest.
struct document
{
    manifest::deployment deployment;
    manifest::limits limits;
    std::vector<caller_kind_policy> caller_kinds;
    std::vector<objective> objectives;
    std::vector<model> models;
    std::vector<service> services;
    std::vector<team> teams;
    std::vector<budget> budgets;
    std::vector<target> targets;

    bool operator==(const document&) const = default;
};

/// Largest amount of tokens that a budget may hold: exact in every JSON
/// reader, and sums of a thousand of them don't overflow.
constexpr std::int64_t max_budget_tokens = std::int64_t(1) << 53U;

} // namespace fennelladder::manifest

#endif
