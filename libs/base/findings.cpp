#include "fennelladder/base/findings.hpp"

#include <utility>

namespace fennelladder {

void findings::add(source_place place, int event, std::string message)
{
    all_.push_back({std::move(place), event, std::move(message)});
}

void findings::add_all(const findings& other)
{
    all_.insert(all_.end(), other.all_.begin(), other.all_.end());
}

std::string findings::to_text() const
{
    std::string text;
    for (const finding& it : all_) {
        text += it.place.source;
        if (!it.place.inside.empty())
            text += " " + it.place.inside;
        text += ": " + it.message;
        text += " [event " + std::to_string(it.event) + "]\n";
    }
    return text;
}

} // namespace fennelladder
