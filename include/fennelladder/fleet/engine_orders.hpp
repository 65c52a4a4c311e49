// What an engine holds, what it should hold, and the orders that lead from
// one to the other.
//
// An order is idempotent: loading what is loaded or unloading what isn't there
// changes nothing. It is verified by reading the engine back, never by the
// reply to the order, which can be lost.
//
// Caveat. Some engines refuse an order whose fencing number is below one they
// have seen; others ignore it, and an order that was held up on the way can
// still take effect there at any later time. So an engine is read back for
// good, and corrected whenever it deviates.

#ifndef FENNELLADDER_FLEET_ENGINE_ORDERS_HPP
#define FENNELLADDER_FLEET_ENGINE_ORDERS_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace fennelladder::fleet {

/// The part of the work that an engine does.
enum class engine_role : std::uint8_t
{
    mixed,
    prefill,
    decode
};

std::string_view to_string(engine_role role);

/// One version of a model.
struct model_ref
{
    model_id model;
    model_version version;

    friend auto operator<=>(const model_ref&, const model_ref&) = default;
};

enum class load_phase : std::uint8_t
{
    loading,
    ready,
    failed
};

struct loaded_model
{
    load_phase phase = load_phase::ready;
    std::set<adapter_id> adapters; ///< Those that can be used.
};

/// An engine as read back.
struct engine_state
{
    engine_role role = engine_role::mixed;
    std::map<model_ref, loaded_model> models;
};

/// What an engine should hold by the configuration in force.
struct engine_plan
{
    target_id target;
    engine_role role = engine_role::mixed;
    std::map<model_ref, std::set<adapter_id>> models;
    /// Versions that fit side by side; as many as `models` fit in any case.
    std::uint32_t model_slots = 1;
    bool checks_fencing = true;

    friend bool operator==(const engine_plan&, const engine_plan&) = default;
};

enum class order_kind : std::uint8_t
{
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
    change_role
};

std::string_view to_string(order_kind kind);

/// An order; `model`, `adapter` and `role` as the kind needs them.
struct engine_order
{
    order_kind kind = order_kind::load_model;
    target_id target;
    fencing_number fence;
    model_ref model;
    adapter_id adapter;
    engine_role role = engine_role::mixed;
};

/// Way to the engines. Implementations are called from one thread and return
/// within a second or so.
class engine_orders
{
public:
    virtual ~engine_orders() = default;

    /// Gives an order. Success says that the engine took it, not that it is
    /// done. Errors: `refused` (old fencing number, or it can't), `unavailable`
    /// (it did not arrive), `ambiguous` (it may have).
    virtual status give(const engine_order& order) = 0;

    /// Reads what the engine holds now. Errors: `unavailable`.
    virtual result<engine_state> read_back(const target_id& target) = 0;
};

} // namespace fennelladder::fleet

#endif
