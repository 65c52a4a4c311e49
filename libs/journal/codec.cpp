// A frame is: xxHash64 of all that follows, seeded with the kind (8 bytes,
// little endian); a number (8 bytes, little endian); a struct in Thrift's
// compact protocol. The number stands outside the struct, so that a reader
// that only wants to know which segment a slot holds decodes nothing.
//
// The checksum is tested before Thrift sees a byte, so damage in the store
// never reaches the decoder. Bytes made on purpose do; the decoder's message
// size is limited to theirs, and everything it throws becomes `corrupt`.

#include "codec.hpp"

#include "fennelladder/base/hash.hpp"

#include <exception>
#include <map>
#include <memory>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace fennelladder::journal {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t word_bytes = 8;
constexpr std::size_t head_bytes = 2 * word_bytes;

void set_bytes(std::string& bytes, std::size_t at, std::uint64_t value)
{
    for (std::size_t n = at; n < at + word_bytes; ++n) {
        bytes[n] = static_cast<char>(value & 0xff);
        value >>= 8;
    }
}

std::uint64_t from_bytes(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (std::size_t n = word_bytes; n > 0; --n)
        value = value << 8 | static_cast<unsigned char>(bytes[n - 1]);
    return value;
}

std::uint64_t checksum(object_kind kind, std::string_view bytes)
{
    return hash64(bytes, static_cast<std::uint64_t>(kind));
}

template <class Struct>
std::string pack_as(object_kind kind, std::uint64_t number, const Struct& value)
{
    // The head is patched in afterwards: states are large, copies too.
    auto buffer = std::make_shared<TMemoryBuffer>();
    const std::uint8_t head[head_bytes] = {};
    buffer->write(head, head_bytes);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    std::string bytes = buffer->getBufferAsString();
    set_bytes(bytes, word_bytes, number);
    const auto rest = std::string_view(bytes).substr(word_bytes);
    set_bytes(bytes, 0, checksum(kind, rest));
    return bytes;
}

template <class Struct>
status unpack_as(object_kind kind, std::string_view bytes, Struct& value)
{
    const auto opened = open_frame(kind, bytes);
    if (!opened)
        return tl::unexpected(opened.error());
    const auto size = static_cast<std::uint32_t>(opened->body.size());
    try {
        // Thrift takes the bytes without const, but only observes them.
        auto* data = reinterpret_cast<std::uint8_t*>(
            const_cast<char*>(opened->body.data()));
        auto limits =
            std::make_shared<TConfiguration>(static_cast<int>(size) + 1);
        auto buffer = std::make_shared<TMemoryBuffer>(
            data, size, TMemoryBuffer::OBSERVE, limits);
        TCompactProtocolT<TMemoryBuffer> protocol(
            buffer, static_cast<std::int32_t>(size),
            static_cast<std::int32_t>(size));
        value.read(&protocol);
    } catch (const std::exception& ec) {
        return fail(error_code::corrupt, ec.what());
    }
    if (value.version < 1 || value.version > stored_version)
        return fail(error_code::corrupt, "version " +
                                             std::to_string(value.version) +
                                             " is not one this build can read");
    return {};
}

} // namespace

result<frame> open_frame(object_kind kind, std::string_view bytes)
{
    if (bytes.size() < head_bytes)
        return fail(error_code::corrupt, "shorter than a frame");
    const std::string_view rest = bytes.substr(word_bytes);
    if (from_bytes(bytes) != checksum(kind, rest))
        return fail(error_code::corrupt, "checksum does not match");
    return frame{from_bytes(rest), rest.substr(word_bytes)};
}

std::string pack(std::uint64_t number, const wire::segment& value)
{
    return pack_as(object_kind::segment, number, value);
}

std::string pack(std::uint64_t number, const wire::fold_state& value)
{
    return pack_as(object_kind::state, number, value);
}

std::string pack(std::uint64_t number, const wire::checkpoint_root& value)
{
    return pack_as(object_kind::root, number, value);
}

std::string pack(std::uint64_t number, const wire::layout& value)
{
    return pack_as(object_kind::layout, number, value);
}

status unpack(std::string_view bytes, wire::segment& value)
{
    return unpack_as(object_kind::segment, bytes, value);
}

status unpack(std::string_view bytes, wire::fold_state& value)
{
    return unpack_as(object_kind::state, bytes, value);
}

status unpack(std::string_view bytes, wire::checkpoint_root& value)
{
    return unpack_as(object_kind::root, bytes, value);
}

status unpack(std::string_view bytes, wire::layout& value)
{
    return unpack_as(object_kind::layout, bytes, value);
}

std::size_t encoded_size(const record& wish)
{
    constexpr std::size_t most_of_numbers = 64; // varints and field headers
    return wish.payload.size() + wish.mark.writer.str().size() +
           most_of_numbers;
}

std::string encode_segment(std::uint64_t number,
                           const std::vector<record>& records)
{
    wire::segment segment;
    segment.version = stored_version;
    std::map<std::pair<incarnation_id, std::uint64_t>, std::int32_t> places;
    segment.entries.reserve(records.size());
    for (const record& it : records) {
        const auto next = static_cast<std::int32_t>(segment.writers.size());
        const auto [place, fresh] = places.try_emplace(
            std::pair(it.mark.writer, it.mark.opened_at), next);
        if (fresh) {
            wire::writer writer;
            writer.incarnation = it.mark.writer.str();
            writer.opened_at = static_cast<std::int64_t>(it.mark.opened_at);
            segment.writers.push_back(std::move(writer));
        }
        wire::entry& entry = segment.entries.emplace_back();
        entry.writer = place->second;
        entry.sequence = static_cast<std::int64_t>(it.mark.sequence);
        entry.acknowledged = static_cast<std::int64_t>(it.mark.acknowledged);
        entry.type = it.type;
        entry.payload = it.payload;
    }
    return pack(number, segment);
}

result<std::vector<record>> decode_segment(std::string_view bytes)
{
    wire::segment segment;
    if (auto ok = unpack(bytes, segment); !ok)
        return tl::unexpected(ok.error());
    std::vector<record> records;
    records.reserve(segment.entries.size());
    for (wire::entry& it : segment.entries) {
        if (it.writer < 0 ||
            static_cast<std::size_t>(it.writer) >= segment.writers.size())
            return fail(error_code::corrupt, "record of no writer");
        const wire::writer& from =
            segment.writers[static_cast<std::size_t>(it.writer)];
        record& wish = records.emplace_back();
        wish.mark.writer = incarnation_id(from.incarnation);
        wish.mark.opened_at = static_cast<std::uint64_t>(from.opened_at);
        wish.mark.sequence = static_cast<std::uint64_t>(it.sequence);
        wish.mark.acknowledged = static_cast<std::uint64_t>(it.acknowledged);
        wish.type = it.type;
        wish.payload = std::move(it.payload);
    }
    return records;
}

} // namespace fennelladder::journal
