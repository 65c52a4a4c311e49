// Bodies of the platform's HTTP protocol, for its client and its stand-ins.
//
//     GET    /v1/objects/KEY             body = value, ETag: "VERSION"
//     PUT    /v1/objects/KEY             If-None-Match: * | If-Match: "VERSION"
//     DELETE /v1/objects/KEY             If-Match: "VERSION"
//     GET    /v1/objects?prefix=P&after=K&limit=N        object_page
//     GET    /v1/objects?prefix=P&watch=REV&wait_ms=MS   change_page
//     GET    /v1/hosts                                   host_page
//
// Pages of objects are CBOR, since values are any bytes; hosts are JSON.
// Statuses: 200, 204, 400, 404 (not_found), 412 (conflict), 413 (too_large),
// 429 and 503 (nothing happened). Any other status of a write says nothing
// about its effect.

#ifndef FENNELLADDER_PLATFORM_OBJECT_PROTOCOL_HPP
#define FENNELLADDER_PLATFORM_OBJECT_PROTOCOL_HPP

#include "fennelladder/platform/host_list.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <string>
#include <string_view>

namespace fennelladder::platform {

std::string encode_object_page(const object_page& page);
std::string encode_change_page(const change_page& page);
std::string encode_host_page(const host_page& page);

/// The decoders fail with `corrupt`. All functions are thread safe.
result<object_page> decode_object_page(std::string_view bytes);
result<change_page> decode_change_page(std::string_view bytes);
result<host_page> decode_host_page(std::string_view bytes);

/// A version as an ETag, and back; fails with `corrupt`.
std::string encode_etag(object_version version);
result<object_version> decode_etag(std::string_view text);

} // namespace fennelladder::platform

#endif
