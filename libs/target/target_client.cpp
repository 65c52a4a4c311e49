#include "fennelladder/target/target_client.hpp"

namespace fennelladder::target {

std::string_view to_string(dispatch_outcome outcome)
{
    switch (outcome) {
    case dispatch_outcome::never_dispatched:
        return "never_dispatched";
    case dispatch_outcome::rejected_before_run:
        return "rejected_before_run";
    case dispatch_outcome::ran:
        return "ran";
    case dispatch_outcome::interrupted:
        break;
    }
    return "interrupted";
}

std::string_view to_string(order_kind kind)
{
    switch (kind) {
    case order_kind::load_model:
        return "load_model";
    case order_kind::unload_model:
        return "unload_model";
    case order_kind::load_adapter:
        return "load_adapter";
    case order_kind::unload_adapter:
        return "unload_adapter";
    case order_kind::set_role:
        break;
    }
    return "set_role";
}

} // namespace fennelladder::target
