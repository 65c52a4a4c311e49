// The tables of fields of every record of the manifest; see fields.cpp.

#ifndef FENNELLADDER_LIBS_MANIFEST_FIELDS_HPP
#define FENNELLADDER_LIBS_MANIFEST_FIELDS_HPP

#include "fennelladder/manifest/document.hpp"
#include "json_codec.hpp"

namespace fennelladder::manifest {

#define FENNELLADDER_DECLARE_FIELDS(T)                                         \
    template <>                                                                \
    std::span<const field<T>> fields_of<T>()

FENNELLADDER_DECLARE_FIELDS(region);
FENNELLADDER_DECLARE_FIELDS(deployment);
FENNELLADDER_DECLARE_FIELDS(limits);
FENNELLADDER_DECLARE_FIELDS(caller_kind_policy);
FENNELLADDER_DECLARE_FIELDS(objective);
FENNELLADDER_DECLARE_FIELDS(model);
FENNELLADDER_DECLARE_FIELDS(service_call);
FENNELLADDER_DECLARE_FIELDS(service);
FENNELLADDER_DECLARE_FIELDS(model_grant);
FENNELLADDER_DECLARE_FIELDS(team);
FENNELLADDER_DECLARE_FIELDS(topup);
FENNELLADDER_DECLARE_FIELDS(budget);
FENNELLADDER_DECLARE_FIELDS(model_placement);
FENNELLADDER_DECLARE_FIELDS(target);
FENNELLADDER_DECLARE_FIELDS(document);

#undef FENNELLADDER_DECLARE_FIELDS

} // namespace fennelladder::manifest

#endif
