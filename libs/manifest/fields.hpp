// The tables of fields of every record of the manifest; see fields.cpp.

#ifndef FENNELLADDER_LIBS_MANIFEST_FIELDS_HPP
#define FENNELLADDER_LIBS_MANIFEST_FIELDS_HPP

#include "fennelladder/manifest/document.hpp"
#include "json_codec.hpp"

namespace fennelladder::manifest {

template <>
std::span<const field<region>> fields_of<region>();

template <>
std::span<const field<deployment>> fields_of<deployment>();

template <>
std::span<const field<limits>> fields_of<limits>();

template <>
std::span<const field<caller_kind_policy>> fields_of<caller_kind_policy>();

template <>
std::span<const field<objective>> fields_of<objective>();

template <>
std::span<const field<model>> fields_of<model>();

template <>
std::span<const field<service_call>> fields_of<service_call>();

template <>
std::span<const field<service>> fields_of<service>();

template <>
std::span<const field<model_grant>> fields_of<model_grant>();

template <>
std::span<const field<team>> fields_of<team>();

template <>
std::span<const field<topup>> fields_of<topup>();

template <>
std::span<const field<budget>> fields_of<budget>();

template <>
std::span<const field<model_placement>> fields_of<model_placement>();

template <>
std::span<const field<target>> fields_of<target>();

template <>
std::span<const field<document>> fields_of<document>();

} // namespace fennelladder::manifest

#endif
