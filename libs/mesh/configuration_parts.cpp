#include "fennelladder/mesh/configuration_parts.hpp"

#include "fennelladder/base/hash.hpp"

#include <utility>

namespace fennelladder::mesh {

static_assert(max_configuration_parts * max_part_bytes >=
              max_datagram_configuration);

packed_configuration::packed_configuration(catalog::configuration_version of,
                                           std::string text)
    : version(of), bytes(std::move(text)), text_hash(hash64(bytes))
{}

std::vector<configuration_part>
answer_to(const configuration_question& question,
          const packed_configuration& own)
{
    std::vector<configuration_part> out;
    const std::size_t size = own.bytes.size();
    if (own.version < question.version || size > max_datagram_configuration)
        return out;
    const bool is_same_text =
        own.version == question.version && own.text_hash == question.text_hash;
    const part_set missing = is_same_text ? question.missing : part_set().set();
    const std::size_t parts = (size + max_part_bytes - 1) / max_part_bytes;
    for (std::size_t i = 0; i < parts; ++i)
        if (missing.test(i) && out.size() < max_parts_per_answer)
            out.push_back(
                {question.incarnation, question.number, own.version,
                 own.text_hash, static_cast<std::uint32_t>(i),
                 static_cast<std::uint32_t>(parts),
                 own.bytes.substr(i * max_part_bytes, max_part_bytes)});
    return out;
}

bool configuration_assembly::is_of_this_text(
    const configuration_part& from) const
{
    return from.version == version_ && from.text_hash == text_hash_ &&
           from.parts == parts_;
}

bool configuration_assembly::add(const configuration_part& from, instant now)
{
    const bool is_valid = from.parts <= max_configuration_parts &&
                          from.part < from.parts && !from.bytes.empty() &&
                          from.bytes.size() <= max_part_bytes;
    if (!is_valid)
        return false;
    if (!is_of_this_text(from)) {
        if (from.version <= version_ && !is_stalled(now))
            return false;
        clear();
        version_ = from.version;
        text_hash_ = from.text_hash;
        parts_ = from.parts;
    }
    std::string& to = bytes_.at(from.part);
    if (!to.empty())
        return false;
    to = from.bytes;
    last_new_ = now;
    return true;
}

bool configuration_assembly::is_stalled(instant now) const
{
    return parts_ == 0 || now - last_new_ >= assembly_stall_time;
}

part_set configuration_assembly::missing() const
{
    part_set out;
    if (parts_ == 0)
        return out.set();
    for (std::size_t i = 0; i < parts_; ++i)
        out.set(i, bytes_.at(i).empty());
    return out;
}

bool configuration_assembly::is_complete() const
{
    return parts_ > 0 && missing().none();
}

std::optional<std::string> configuration_assembly::take()
{
    std::string out;
    for (const std::string& it : bytes_)
        out += it;
    const bool is_whole = hash64(out) == text_hash_;
    clear();
    if (!is_whole)
        return std::nullopt;
    return out;
}

void configuration_assembly::clear()
{
    version_ = {};
    text_hash_ = 0;
    parts_ = 0;
    bytes_.fill({});
}

} // namespace fennelladder::mesh
