// The platform's list of hosts: which are live and which are leaving.
//
//     result<host_page> now = list.hosts();
//
// Caveats. The list lags behind by seconds and may be wrong. It is a hint:
// nothing may be unsafe because of it.

#ifndef FENNELLADDER_PLATFORM_HOST_LIST_HPP
#define FENNELLADDER_PLATFORM_HOST_LIST_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelladder::platform {

/// A host as the platform lists it; one that is gone is not listed.
struct listed_host
{
    host_id host;
    std::string address; ///< "IP:port" where the host's process listens.
    data_center_id data_center;
    region_id region;
    bool leaving = false; ///< It will be taken away soon.

    friend bool operator==(const listed_host&, const listed_host&) = default;
};

/// All hosts, in no particular order.
struct host_page
{
    std::vector<listed_host> hosts;
    std::uint64_t revision = 0; ///< Grows when the list changes.
};

/// Client of the host list. Implementations are thread safe.
class host_list
{
public:
    virtual ~host_list() = default;

    /// The list as the platform has it now. Fails with `unavailable`, or
    /// `corrupt` if the answer can't be read.
    virtual result<host_page> hosts() = 0;
};

} // namespace fennelladder::platform

#endif
