// Recognizes a request that its caller sends again, with another id.

#ifndef FENNELLADDER_DISPATCH_REQUEST_FINGERPRINT_HPP
#define FENNELLADDER_DISPATCH_REQUEST_FINGERPRINT_HPP

#include "fennelladder/base/ids.hpp"

#include <string_view>

namespace fennelladder::dispatch {

/// Identifies a request by what its caller would send again.
using request_fingerprint = number_id<struct request_fingerprint_tag>;

/// Computes the fingerprint of a request. Thread safe.
request_fingerprint fingerprint_of(std::string_view method,
                                   std::string_view path, const team_id& team,
                                   std::string_view body);

} // namespace fennelladder::dispatch

#endif
