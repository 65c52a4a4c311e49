// Addresses as text, before anything connects to them.
//
//     if (!is_ip_and_port(entry.address))
//         ... it names nothing that could be reached ...
//
// Thread safe.

#ifndef FENNELLADDER_BASE_ADDRESS_HPP
#define FENNELLADDER_BASE_ADDRESS_HPP

#include <string_view>

namespace fennelladder {

/// Whether `text` is the number of an IPv4 or IPv6 host, a colon, and a port
/// other than 0. Names of hosts aren't looked up, so they are none.
bool is_ip_and_port(std::string_view text);

} // namespace fennelladder

#endif
