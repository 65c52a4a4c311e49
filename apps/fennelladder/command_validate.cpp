// `fennelladder validate FILE`: says everything that is wrong with a manifest.

#include "command.hpp"
#include "commands.hpp"
#include "manifest_file.hpp"

#include "fennelladder/manifest/parts.hpp"
#include "fennelladder/settings/settings.hpp"

#include <iostream>

namespace fennelladder::app {

namespace {

int validate(const std::string& path)
{
    const auto manifest = load_manifest(path);
    if (!manifest)
        return exit_bad_input;
    const auto pieces = manifest::split(*manifest, nullptr);
    if (!pieces) {
        std::cerr << path << ": " << pieces.error().message << '\n';
        return exit_bad_input;
    }
    std::cout << path << ": valid; " << manifest->teams.size() << " teams, "
              << manifest->budgets.size() << " budgets, "
              << manifest->targets.size() << " targets, "
              << pieces->parts.size() << " parts, content "
              << pieces->directory_hash << '\n';
    return exit_success;
}

} // namespace

int run_validate(int argc, char** argv)
{
    settings::settings wanted("validate",
                              "Checks a manifest and reports all findings.");
    wanted.positional("FILE", 1, 1, "the manifest (docs/MANIFEST.md)");
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    return validate(wanted.positionals()[0]);
}

} // namespace fennelladder::app
