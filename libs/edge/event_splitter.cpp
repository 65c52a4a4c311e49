// Ids are compared only when they are numbers; others are passed on as they
// are.

#include "fennelladder/edge/event_splitter.hpp"

#include <charconv>

namespace fennelladder::edge {

namespace {

std::string_view id_of(std::string_view event)
{
    constexpr std::string_view name = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(name))
            continue;
        line.remove_prefix(name.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return line;
    }
    return {};
}

std::optional<std::uint64_t> number_of(std::string_view text)
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
    const std::string_view id = id_of(text);
    if (const auto number = number_of(id)) {
        if (last_number_ && *number <= *last_number_)
            return true;
        if (last_number_ && *number != *last_number_ + 1)
            return false;
        last_number_ = number;
    }
    if (!id.empty())
        last_id_ = std::string(id);
    ready_ += text;
    ++events_;
    return true;
}

bool event_splitter::feed(std::string_view bytes)
{
    constexpr std::string_view end_mark = "\n\n";
    const std::size_t searched =
        pending_.size() < end_mark.size() ? 0 : pending_.size() - 1;
    pending_ += bytes;
    std::size_t begin = 0;
    std::size_t from = searched;
    for (;;) {
        const auto end = pending_.find(end_mark, from);
        if (end == std::string::npos)
            break;
        const std::size_t next = end + end_mark.size();
        if (!add_event(std::string_view(pending_).substr(begin, next - begin)))
            return false;
        begin = next;
        from = next;
    }
    pending_.erase(0, begin);
    return pending_.size() <= max_event_bytes;
}

std::string event_splitter::take()
{
    std::string out;
    out.swap(ready_);
    return out;
}

} // namespace fennelladder::edge
