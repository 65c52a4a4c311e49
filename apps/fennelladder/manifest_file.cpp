#include "manifest_file.hpp"

#include "fennelladder/manifest/parse.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace fennelladder::app {

std::optional<manifest::document> load_manifest(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    auto outcome = manifest::parse(text.str(), path);
    if (!outcome.ok())
        std::cerr << outcome.found.to_text();
    return std::move(outcome.manifest);
}

} // namespace fennelladder::app
