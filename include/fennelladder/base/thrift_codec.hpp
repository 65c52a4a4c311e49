// Encodes Thrift structures to bytes and decodes them, with the compact
// protocol.
//
//     std::string bytes = to_bytes(message);
//     result<wire::message> back = from_bytes<wire::message>(bytes);
//
// For sources that include generated code; public headers must not include
// this file.

#ifndef FENNELLADDER_BASE_THRIFT_CODEC_HPP
#define FENNELLADDER_BASE_THRIFT_CODEC_HPP

#include "fennelladder/base/error.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace fennelladder {

/// Encodes `value`. Thread safe.
template <class Struct>
std::string to_bytes(const Struct& value)
{
    using namespace apache::thrift;
    auto buf = std::make_shared<transport::TMemoryBuffer>();
    protocol::TCompactProtocolT<transport::TMemoryBuffer> out(buf);
    value.write(&out);
    return buf->getBufferAsString();
}

/// Decodes `bytes` into `value`. Fails with `corrupt` if the bytes are not such
/// a structure, or have a list of more than `max_elements`: Thrift allocates
/// memory for all elements before it reads the first, and an empty structure
/// that takes a hundred bytes in memory takes one byte on the wire. Thread
/// safe.
template <class Struct>
status from_bytes(std::string_view bytes, Struct& value,
                  std::int32_t max_elements = INT32_MAX)
{
    using namespace apache::thrift;
    std::string copy(bytes);
    auto* data = reinterpret_cast<std::uint8_t*>(copy.data());
    auto buf = std::make_shared<transport::TMemoryBuffer>(
        data, static_cast<std::uint32_t>(copy.size()));
    // A corrupt length must not cause an allocation for more elements than the
    // bytes can hold.
    const auto limit = static_cast<std::int32_t>(copy.size());
    protocol::TCompactProtocolT<transport::TMemoryBuffer> in(
        buf, limit, std::min(limit, max_elements));
    try {
        value.read(&in);
    } catch (const std::exception& failure) {
        return fail(error_code::corrupt, failure.what());
    }
    return {};
}

/// Decodes `bytes` and returns the structure; fails as above.
template <class Struct>
result<Struct> from_bytes(std::string_view bytes,
                          std::int32_t max_elements = INT32_MAX)
{
    Struct value;
    if (auto ok = from_bytes(bytes, value, max_elements); !ok)
        return tl::unexpected(ok.error());
    return value;
}

} // namespace fennelladder

#endif
