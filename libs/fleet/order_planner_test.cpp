#include "fennelladder/fleet/order_planner.hpp"
#include "fennelladder/fleet/rollout_board.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::fleet;

namespace {

const model_ref v1{model_id("m"), model_version("v1")};
const model_ref v2{model_id("m"), model_version("v2")};
const adapter_id tickets("tickets");

engine_state holding(std::map<model_ref, loaded_model> models,
                     engine_role role = engine_role::mixed)
{
    return {role, std::move(models)};
}

engine_plan wanting(const model_ref& model, std::set<adapter_id> adapters = {},
                    std::uint32_t slots = 1)
{
    engine_plan out;
    out.target = target_id("e");
    out.models[model] = std::move(adapters);
    out.model_slots = slots;
    return out;
}

struct step_case
{
    const char* what;
    engine_plan wanted;
    engine_state state;
    step_kind kind;
    order_kind order = order_kind::load_model;
    const model_ref* model = nullptr;
    bool takes_away = false;
};

/// Others that serve v1 beside the engine that is to give it up.
struct cover_case
{
    const char* what;
    int serving; ///< Answer, and have v1.
    int claimed; ///< Have v1, but someone is taking them out.
    int silent;  ///< Planned for the model, don't answer.
    bool check_fencing;
    std::size_t minimum;
    bool covered;
};

} // namespace

TEST_GROUP(order_planner){};

TEST(order_planner, takes_the_step_that_keeps_most)
{
    using enum order_kind;
    const loaded_model ready;
    const loaded_model loading{load_phase::loading, {}};
    const loaded_model failed{load_phase::failed, {}};
    const loaded_model adapted{load_phase::ready, {tickets}};
    engine_plan decode = wanting(v1);
    decode.role = engine_role::decode;
    const model_ref other{model_id("n"), model_version("v1")};
    engine_plan two = wanting(v1);
    two.models[other] = {};
    const step_case cases[] = {
        {"as it should be", wanting(v1), holding({{v1, ready}}),
         step_kind::none},
        {"empty after a restart",
         wanting(v1),
         {},
         step_kind::order,
         load_model,
         &v1},
        {"two models on one engine", two, holding({{v1, ready}}),
         step_kind::order, load_model, &other},
        {"no room: unload first", wanting(v2), holding({{v1, ready}}),
         step_kind::order, unload_model, &v1, true},
        {"room: load beside", wanting(v2, {}, 2), holding({{v1, ready}}),
         step_kind::order, load_model, &v2},
        {"then unload the old", wanting(v2, {}, 2),
         holding({{v1, ready}, {v2, ready}}), step_kind::order, unload_model,
         &v1, true},
        {"at work", wanting(v2, {}, 2), holding({{v1, ready}, {v2, loading}}),
         step_kind::wait},
        {"failed", wanting(v2), holding({{v2, failed}}), step_kind::failed,
         load_model, &v2},
        {"what failed and isn't wanted takes nothing away", wanting(v1),
         holding({{v2, failed}}), step_kind::order, unload_model, &v2},
        {"adapter missing", wanting(v1, {tickets}), holding({{v1, ready}}),
         step_kind::order, load_adapter, &v1},
        {"adapter left over", wanting(v1), holding({{v1, adapted}}),
         step_kind::order, unload_adapter, &v1, true},
        {"role", decode, holding({{v1, ready}}), step_kind::order, change_role,
         nullptr, true},
    };
    for (const step_case& it : cases) {
        const order_step step = next_step(it.wanted, it.wanted, it.state);
        CHECK_TEXT(it.kind == step.what, it.what);
        const bool orders = it.kind == step_kind::order;
        CHECK_TEXT(!orders || it.order == step.order.kind, it.what);
        CHECK_TEXT(it.model == nullptr || *it.model == step.order.model,
                   it.what);
        CHECK_EQUAL_TEXT(it.takes_away, step.takes_away, it.what);
    }
}

TEST(order_planner, spares_only_what_others_serve)
{
    const cover_case cases[] = {
        {"alone", 0, 0, 0, true, 1, false},
        {"one other serves", 1, 0, 0, true, 1, true},
        {"the other one is being taken out", 0, 1, 0, true, 1, false},
        {"the other one doesn't answer", 0, 0, 1, true, 1, false},
        {"two are needed", 1, 0, 0, true, 2, false},
        {"two are needed and left", 2, 0, 0, true, 2, true},
        {"a late order may take the last one", 1, 0, 1, false, 1, false},
        {"one in reserve", 2, 0, 0, false, 1, true},
        {"two engines: no reserve can be had", 1, 0, 0, false, 1, true},
    };
    for (const cover_case& it : cases) {
        const need wanted{"team", {{v1, {}}, {v2, {}}}, it.minimum};
        engine_view self{wanting(v2), holding({{v1, {}}}), true};
        self.plan.checks_fencing = it.check_fencing;
        std::vector<engine_view> fleet = {self};
        for (int n = 0; n < it.serving + it.claimed + it.silent; ++n) {
            engine_view other = self;
            other.plan.target = target_id("o" + std::to_string(n));
            other.claimed = n >= it.serving && n < it.serving + it.claimed;
            if (n >= it.serving + it.claimed)
                other.state.reset();
            fleet.push_back(other);
        }
        engine_order order;
        order.kind = order_kind::unload_model;
        order.model = v1;
        const std::string name = uncovered_need({wanted}, fleet, self, order);
        STRCMP_EQUAL_TEXT(it.covered ? "" : "team", name.c_str(), it.what);
    }
}

// A team that may use v1 only loses with v1 what another team, which may use
// both, still has at the same engine.
TEST(order_planner, looks_at_each_need_by_itself)
{
    const engine_view self{wanting(v2, {}, 2), holding({{v1, {}}, {v2, {}}}),
                           true};
    engine_order order;
    order.kind = order_kind::unload_model;
    order.model = v1;
    const need both{"both", {{v1, {}}, {v2, {}}}, 1};
    const need old{"old", {{v1, {}}}, 1};
    STRCMP_EQUAL("", uncovered_need({both}, {self}, self, order).c_str());
    STRCMP_EQUAL("old",
                 uncovered_need({both, old}, {self}, self, order).c_str());
}

// Two issuers hold leases one after the other. What the later one noted of an
// engine is not overwritten by the earlier one.
TEST(order_planner, later_issuer_prevails_on_the_board)
{
    order_step step;
    step.order.target = target_id("e");
    step.loads = true;
    const auto later =
        admit({}, step, fencing_number(8), {}, instant(seconds(1)));
    CHECK(later.verdict == admission_verdict::granted);
    const auto earlier =
        admit(later.board, step, fencing_number(7), {}, instant(seconds(2)));
    CHECK(earlier.verdict == admission_verdict::outdated);
}
