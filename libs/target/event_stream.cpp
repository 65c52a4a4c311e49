// Lines end in LF, with or without a CR before it; an empty line ends an
// event. Several data lines of one event are joined by LF.

#include "event_stream.hpp"

namespace fennelladder::target {

bool event_stream::add(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        line_ += bytes.substr(0, end);
        if (line_.size() > max_event_bytes)
            return false;
        if (end == std::string_view::npos)
            return true;
        bytes.remove_prefix(end + 1);
        if (line_.ends_with('\r'))
            line_.pop_back();
        const bool going_on = take_line(line_);
        line_.clear();
        if (!going_on)
            return false;
    }
    return true;
}

bool event_stream::take_line(std::string_view line)
{
    constexpr std::string_view field = "data:";
    if (line.empty()) {
        const bool going_on = data_.empty() || on_event_(data_);
        data_.clear();
        return going_on;
    }
    if (!line.starts_with(field))
        return true;
    line.remove_prefix(field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (!data_.empty())
        data_ += '\n';
    data_ += line;
    return data_.size() <= max_event_bytes;
}

} // namespace fennelladder::target
