// Ids are checked for order only if they are numbers; events with other ids are
// relayed unchecked.

#include "fennelladder/edge/event_splitter.hpp"

#include <charconv>

namespace fennelladder::edge {

namespace {

std::string_view event_id(std::string_view event)
{
    constexpr std::string_view id_field = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return line;
    }
    return {};
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t out = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc() || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return out;
}

} // namespace

bool event_splitter::add_event(std::string_view text)
{
    const std::string_view id = event_id(text);
    if (const auto number = parse_number(id)) {
        if (last_sequence_ && *number <= *last_sequence_)
            return true;
        if (last_sequence_ && *number != *last_sequence_ + 1)
            return false;
        last_sequence_ = number;
    }
    if (!id.empty())
        last_id_ = std::string(id);
    complete_ += text;
    ++events_;
    return true;
}

bool event_splitter::feed(std::string_view bytes)
{
    constexpr std::string_view event_end = "\n\n";
    const std::size_t searched =
        incomplete_.size() < event_end.size() ? 0 : incomplete_.size() - 1;
    incomplete_ += bytes;
    std::size_t begin = 0;
    std::size_t from = searched;
    for (;;) {
        const auto end = incomplete_.find(event_end, from);
        if (end == std::string::npos)
            break;
        const std::size_t next = end + event_end.size();
        if (!add_event(
                std::string_view(incomplete_).substr(begin, next - begin)))
            return false;
        begin = next;
        from = next;
    }
    incomplete_.erase(0, begin);
    return incomplete_.size() <= max_event_bytes;
}

std::string event_splitter::take()
{
    std::string out;
    out.swap(complete_);
    return out;
}

} // namespace fennelladder::edge
