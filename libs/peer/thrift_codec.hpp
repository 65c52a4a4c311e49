// Thrift structures to and from bytes by the compact protocol.

#ifndef FENNELLADDER_LIBS_PEER_THRIFT_CODEC_HPP
#define FENNELLADDER_LIBS_PEER_THRIFT_CODEC_HPP

#include "fennelladder/base/error.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace fennelladder::peer {

template <class Message>
std::string to_bytes(const Message& message)
{
    using namespace apache::thrift;
    auto buf = std::make_shared<transport::TMemoryBuffer>();
    protocol::TCompactProtocolT<transport::TMemoryBuffer> out(buf);
    message.write(&out);
    return buf->getBufferAsString();
}

/// Fails with `corrupt` on bytes that are no such message.
template <class Message>
status from_bytes(std::string_view bytes, Message& message)
{
    using namespace apache::thrift;
    // The buffer is only read, whatever its type says.
    auto* start =
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    auto buf = std::make_shared<transport::TMemoryBuffer>(
        start, static_cast<std::uint32_t>(bytes.size()));
    protocol::TCompactProtocolT<transport::TMemoryBuffer> in(buf);
    try {
        message.read(&in);
    } catch (const std::exception& failure) {
        return fail(error_code::corrupt, failure.what());
    }
    return {};
}

} // namespace fennelladder::peer

#endif
