// Thrift structs to and from bytes, by the compact protocol.

#ifndef FENNELLADDER_LIBS_BUDGET_THRIFT_CODEC_HPP
#define FENNELLADDER_LIBS_BUDGET_THRIFT_CODEC_HPP

#include "fennelladder/base/error.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace fennelladder::budget {

using memory_buffer = apache::thrift::transport::TMemoryBuffer;
using compact_protocol =
    apache::thrift::protocol::TCompactProtocolT<memory_buffer>;

template <class Struct>
std::string to_bytes(const Struct& value)
{
    auto buffer = std::make_shared<memory_buffer>();
    compact_protocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Fails with `corrupt`: cut, garbled or of another kind.
template <class Struct>
result<Struct> from_bytes(std::string_view bytes)
{
    std::string copy(bytes);
    auto* data = reinterpret_cast<std::uint8_t*>(copy.data());
    auto buffer = std::make_shared<memory_buffer>(
        data, static_cast<std::uint32_t>(copy.size()));
    // A garbled length must not make us allocate more than there can be.
    const auto limit = static_cast<std::int32_t>(copy.size());
    compact_protocol protocol(buffer, limit, limit);
    Struct value;
    try {
        value.read(&protocol);
    } catch (const std::exception& ex) {
        return fail(error_code::corrupt, ex.what());
    }
    return value;
}

} // namespace fennelladder::budget

#endif
