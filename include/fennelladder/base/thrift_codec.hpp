// Thrift structures to and from bytes by the compact protocol.
//
//     std::string bytes = to_bytes(message);
//     result<wire::message> back = from_bytes<wire::message>(bytes);
//
// Included by sources that hold generated code, never by public headers.

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

/// The structure's bytes. Thread safe.
template <class Struct>
std::string to_bytes(const Struct& value)
{
    using namespace apache::thrift;
    auto buf = std::make_shared<transport::TMemoryBuffer>();
    protocol::TCompactProtocolT<transport::TMemoryBuffer> out(buf);
    value.write(&out);
    return buf->getBufferAsString();
}

/// Reads `value`. Fails with `corrupt` on bytes that are no such structure, or
/// hold a list of more than `most_elements`: memory for all is taken before the
/// first is read, and an empty structure of a hundred bytes takes one byte on
/// the wire. Thread safe.
template <class Struct>
status from_bytes(std::string_view bytes, Struct& value,
                  std::int32_t most_elements = INT32_MAX)
{
    using namespace apache::thrift;
    std::string copy(bytes);
    auto* data = reinterpret_cast<std::uint8_t*>(copy.data());
    auto buf = std::make_shared<transport::TMemoryBuffer>(
        data, static_cast<std::uint32_t>(copy.size()));
    // A garbled length must not make us allocate more than there can be.
    const auto limit = static_cast<std::int32_t>(copy.size());
    protocol::TCompactProtocolT<transport::TMemoryBuffer> in(
        buf, limit, std::min(limit, most_elements));
    try {
        value.read(&in);
    } catch (const std::exception& failure) {
        return fail(error_code::corrupt, failure.what());
    }
    return {};
}

/// The same, as a value.
template <class Struct>
result<Struct> from_bytes(std::string_view bytes,
                          std::int32_t most_elements = INT32_MAX)
{
    Struct value;
    if (auto ok = from_bytes(bytes, value, most_elements); !ok)
        return tl::unexpected(ok.error());
    return value;
}

} // namespace fennelladder

#endif
