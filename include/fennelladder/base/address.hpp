// Validates textual addresses before they are used to connect.
//
//     if (!is_ip_and_port(entry.address))
//         ... no connection to it is possible ...
//
// Thread safe.

#ifndef FENNELLADDER_BASE_ADDRESS_HPP
#define FENNELLADDER_BASE_ADDRESS_HPP

#include <string_view>

namespace fennelladder {

/// Whether `text` is a numeric IPv4 or IPv6 address, a colon, and a port other
/// than 0. Host names are not resolved, so they are not accepted.
bool is_ip_and_port(std::string_view text);

} // namespace fennelladder

#endif
