#include "fennelladder/membership/member.hpp"

#include "fennelladder/base/hash.hpp"

namespace fennelladder::membership {

std::string_view to_string(member_state state)
{
    switch (state) {
    case member_state::joining:
        return "joining";
    case member_state::serving:
        return "serving";
    case member_state::draining:
        return "draining";
    case member_state::gone:
        return "gone";
    }
    return "unknown";
}

std::string_view to_string(member_health health)
{
    switch (health) {
    case member_health::alive:
        return "alive";
    case member_health::suspect:
        return "suspect";
    case member_health::dead:
        return "dead";
    }
    return "unknown";
}

std::uint32_t life_tag(const incarnation_id& life)
{
    return static_cast<std::uint32_t>(hash64(life.str()));
}

} // namespace fennelladder::membership
