// Ids are checked for order only if they are numbers; events with other ids are
// relayed unchecked.

#include "fennelladder/edge/event_splitter.hpp"

#include <charconv>
#include <utility>

namespace fennelladder::edge {

namespace {

constexpr std::string_view line_ends = "\r\n";

std::string_view event_id(std::string_view event)
{
    constexpr std::string_view id_field = "id:";
    constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
    if (event.starts_with(byte_order_mark))
        event.remove_prefix(byte_order_mark.size());
    while (!event.empty()) {
        const auto end = std::min(event.find_first_of(line_ends), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
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

/// Drops the first `next` bytes, which end with a line.
void event_splitter::forget_before(std::size_t next)
{
    incomplete_.erase(0, next);
    line_begin_ -= next;
    searched_ -= next;
}

/// Handles the line that ends before `line_end`; the next one begins at `next`.
/// Returns false if it ends an event that shows that another is missing.
bool event_splitter::end_line(std::size_t line_end, std::size_t next)
{
    const std::size_t begin = std::exchange(line_begin_, next);
    searched_ = next;
    if (begin < line_end) {
        has_field_ |= incomplete_[begin] != ':';
        return true;
    }
    const auto block = std::string_view(incomplete_).substr(0, next);
    bool in_order = true;
    if (std::exchange(has_field_, false))
        in_order = add_event(block);
    else
        complete_ += block; // Comments are relayed, but aren't events.
    forget_before(next);
    return in_order;
}

bool event_splitter::feed(std::string_view bytes)
{
    incomplete_ += bytes;
    for (;;) {
        const auto end = incomplete_.find_first_of(line_ends, searched_);
        if (end == std::string::npos)
            break;
        const bool ends_in_cr = incomplete_[end] == '\r';
        // The LF of a CR LF whose CR was the last byte of the input before.
        if (!ends_in_cr && after_cr_ && end == searched_) {
            after_cr_ = false;
            line_begin_ = searched_ = end + 1;
            continue;
        }
        const bool has_lf = ends_in_cr && end + 1 < incomplete_.size() &&
                            incomplete_[end + 1] == '\n';
        after_cr_ = ends_in_cr && !has_lf;
        if (!end_line(end, end + (has_lf ? 2 : 1)))
            return false;
    }
    after_cr_ = after_cr_ && searched_ == incomplete_.size();
    searched_ = incomplete_.size();
    return incomplete_.size() <= max_event_bytes;
}

void event_splitter::discard_incomplete()
{
    std::string().swap(incomplete_);
    line_begin_ = 0;
    searched_ = 0;
    has_field_ = false;
    after_cr_ = false;
}

std::string event_splitter::take()
{
    std::string out;
    out.swap(complete_);
    return out;
}

} // namespace fennelladder::edge
