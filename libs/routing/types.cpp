// A wildcard stands only in a request's version: an adapter changes what a
// model answers, so a request for the bare model must not get one.

#include "fennelladder/routing/types.hpp"

namespace fennelladder::routing {

bool serves(const capability& loaded, const capability& needed)
{
    return loaded.service == needed.service && loaded.model == needed.model &&
           loaded.adapter == needed.adapter &&
           (needed.version.empty() || loaded.version == needed.version);
}

} // namespace fennelladder::routing
