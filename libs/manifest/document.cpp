#include "fennelladder/manifest/document.hpp"

namespace fennelladder::manifest {

std::string endpoint::str() const
{
    const bool v6 = ip.find(':') != std::string::npos;
    return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

tokens budget::prepaid() const
{
    tokens sum;
    for (const topup& it : topups)
        sum += it.amount;
    return sum;
}

} // namespace fennelladder::manifest
