#include "fennelladder/base/error.hpp"

namespace fennelladder {

std::string_view to_string(error_code code)
{
    switch (code) {
    case error_code::invalid:
        return "invalid";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::ambiguous:
        return "ambiguous";
    case error_code::timeout:
        return "timeout";
    case error_code::exhausted:
        return "exhausted";
    case error_code::refused:
        return "refused";
    case error_code::canceled:
        return "canceled";
    case error_code::too_large:
        return "too_large";
    case error_code::corrupt:
        return "corrupt";
    }
    return "unknown";
}

} // namespace fennelladder
