#include "configuration_codec.hpp"

#include "wire_values.hpp"

namespace fennelladder::mesh {

wire::ConfigurationAsk to_wire(const configuration_question& from)
{
    wire::ConfigurationAsk out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number);
    out.version = to_signed(from.version.value());
    out.missing = to_signed(from.missing.to_ullong());
    out.text = to_signed(from.text_hash);
    return out;
}

wire::ConfigurationPart to_wire(const configuration_part& from)
{
    wire::ConfigurationPart out;
    out.life = to_signed(from.incarnation.value());
    out.number = to_signed(from.number);
    out.version = to_signed(from.version.value());
    out.text = to_signed(from.text_hash);
    out.part = static_cast<std::int32_t>(from.part);
    out.parts = static_cast<std::int32_t>(from.parts);
    out.bytes = from.bytes;
    return out;
}

std::optional<configuration_question>
from_wire(const wire::ConfigurationAsk& from)
{
    const part_set missing(static_cast<std::uint64_t>(from.missing));
    if (from.version <= 0 || missing.none())
        return std::nullopt;
    return configuration_question{
        id_of<node_incarnation>(from.life),
        static_cast<std::uint64_t>(from.number),
        id_of<catalog::configuration_version>(from.version), missing,
        static_cast<std::uint64_t>(from.text)};
}

std::optional<configuration_part> from_wire(const wire::ConfigurationPart& from)
{
    constexpr auto most = static_cast<std::int32_t>(max_configuration_parts);
    const bool is_valid = from.version > 0 && from.parts <= most &&
                          from.part >= 0 && from.part < from.parts &&
                          !from.bytes.empty() &&
                          from.bytes.size() <= max_part_bytes;
    if (!is_valid)
        return std::nullopt;
    return configuration_part{
        id_of<node_incarnation>(from.life),
        static_cast<std::uint64_t>(from.number),
        id_of<catalog::configuration_version>(from.version),
        static_cast<std::uint64_t>(from.text),
        static_cast<std::uint32_t>(from.part),
        static_cast<std::uint32_t>(from.parts),
        from.bytes};
}

} // namespace fennelladder::mesh
