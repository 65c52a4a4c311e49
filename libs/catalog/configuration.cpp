// Routes of one host name are sorted by descending prefix length, so that the
// first match is the longest.

#include "fennelladder/catalog/configuration.hpp"

#include <algorithm>
#include <cctype>

namespace fennelladder::catalog {

std::string normalize_host_name(std::string_view host_name)
{
    const auto colon = host_name.rfind(':');
    if (colon != std::string_view::npos &&
        host_name.find(']', colon) == std::string_view::npos)
        host_name = host_name.substr(0, colon);
    std::string out(host_name);
    std::ranges::transform(out, out.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return out;
}

namespace {

/// Intersects `to` with `other`; an empty `other` allows any region.
void narrow(allowed_regions& to, const std::vector<region_id>& other)
{
    if (other.empty())
        return;
    if (!to) {
        to = other;
        return;
    }
    std::erase_if(*to, [&](const region_id& it) {
        return std::ranges::find(other, it) == other.end();
    });
}

} // namespace

allowed_regions regions_for(const route& matched, const team* payer)
{
    allowed_regions out;
    narrow(out, matched.regions);
    if (payer != nullptr)
        narrow(out, payer->regions);
    return out;
}

configuration::configuration(configuration_parts parts)
    : parts_(std::move(parts))
{
    for (std::size_t i = 0; i < parts_.routes.size(); ++i) {
        route& it = parts_.routes[i];
        it.host_name = normalize_host_name(it.host_name);
        by_host_[it.host_name].push_back(i);
    }
    for (auto& [host, routes] : by_host_)
        std::ranges::stable_sort(routes, std::greater<>(), [this](auto i) {
            return parts_.routes[i].path_prefix.size();
        });
    for (std::size_t i = 0; i < parts_.teams.size(); ++i) {
        by_team_[parts_.teams[i].id] = i;
        for (const std::string& key : parts_.teams[i].keys)
            by_key_[key] = i;
    }
    for (std::size_t i = 0; i < parts_.services.size(); ++i)
        by_service_[parts_.services[i].id] = i;
}

const route* configuration::find_route(std::string_view host_name,
                                       std::string_view path) const
{
    const auto it = by_host_.find(normalize_host_name(host_name));
    if (it == by_host_.end())
        return nullptr;
    for (const std::size_t i : it->second)
        if (path.starts_with(parts_.routes[i].path_prefix))
            return &parts_.routes[i];
    return nullptr;
}

allowed_regions configuration::regions_of_host(std::string_view host_name) const
{
    allowed_regions out;
    const auto it = by_host_.find(normalize_host_name(host_name));
    if (it == by_host_.end())
        return out;
    for (const std::size_t i : it->second)
        narrow(out, parts_.routes[i].regions);
    return out;
}

const team* configuration::find_team_by_key(std::string_view key) const
{
    const auto it = by_key_.find(std::string(key));
    return it == by_key_.end() ? nullptr : &parts_.teams[it->second];
}

const team* configuration::find_team(const team_id& id) const
{
    const auto it = by_team_.find(id);
    return it == by_team_.end() ? nullptr : &parts_.teams[it->second];
}

const service* configuration::find_service(const service_id& id) const
{
    const auto it = by_service_.find(id);
    return it == by_service_.end() ? nullptr : &parts_.services[it->second];
}

} // namespace fennelladder::catalog
