// `fennelladder validate FILE`: reports all errors in a manifest.

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
    const auto encoded = manifest::split(*manifest, nullptr);
    if (!encoded) {
        std::cerr << path << ": " << encoded.error().message << '\n';
        return exit_bad_input;
    }
    std::cout << path << ": valid; " << manifest->teams.size() << " teams, "
              << manifest->budgets.size() << " budgets, "
              << manifest->targets.size() << " targets, "
              << encoded->parts.size() << " parts, content "
              << encoded->directory_hash << '\n';
    return exit_success;
}

} // namespace

int run_validate(int argc, char** argv)
{
    settings::settings flags("validate",
                             "Checks a manifest and reports all findings.");
    flags.positional("FILE", 1, 1, "the manifest (docs/MANIFEST.md)");
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    return validate(flags.positionals()[0]);
}

} // namespace fennelladder::app
