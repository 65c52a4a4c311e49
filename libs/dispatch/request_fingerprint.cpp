#include "fennelladder/dispatch/request_fingerprint.hpp"

#include "fennelladder/base/hash.hpp"

#include <cstdint>

namespace fennelladder::dispatch {

request_fingerprint fingerprint_of(std::string_view method,
                                   std::string_view path, const team_id& team,
                                   std::string_view body)
{
    std::uint64_t out = hash64(method);
    out = hash64(path, out);
    out = hash64(team.str(), out);
    return request_fingerprint(hash64(body, out));
}

} // namespace fennelladder::dispatch
