// `fennelladder apply FILE`: makes a manifest the accepted configuration.

#include "command.hpp"
#include "commands.hpp"
#include "manifest_file.hpp"

#include "fennelladder/base/hash.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/http/client.hpp"
#include "fennelladder/manifest/apply.hpp"
#include "fennelladder/manifest/rollout.hpp"
#include "fennelladder/platform/platform_client.hpp"
#include "fennelladder/settings/settings.hpp"

#include <iostream>
#include <random>
#include <thread>

namespace fennelladder::app {

namespace {

void pause(duration length)
{
    std::this_thread::sleep_for(length);
}

// Random, since operators who start at the same time need different ids.
apply_id random_apply_id()
{
    std::random_device entropy;
    const std::uint64_t high = entropy();
    return apply_id(to_hex(high << 32U | entropy()));
}

settings::settings declare_flags()
{
    settings::settings flags(
        "apply", "Makes a manifest the accepted configuration of the fleet.");
    flags.positional("FILE", 1, 1, "the manifest (docs/MANIFEST.md)");
    flags.text("platform", "http://127.0.0.1:7000",
               "URL of the platform's object API");
    flags.number({.name = "base",
                  .fallback = -1,
                  .low = -1,
                  .unit = "generation",
                  .help = "fail unless this generation is the accepted one; -1 "
                          "uses the one accepted at start"});
    flags.text("apply-id", "",
               "id of this change; pass the same one to retry after an "
               "ambiguous failure (default: random)");
    flags.text("who", "operator",
               "name shown to operators who apply at the same time");
    flags.flag("wait", "wait until the manifest is in force on every node");
    flags.milliseconds("wait-limit", 60'000, "longest time that --wait waits");
    flags.flag("collect", "afterwards remove parts that no configuration "
                          "refers to");
    return flags;
}

manifest::apply_request make_request(const settings::settings& flags,
                                     manifest::document manifest, instant now)
{
    manifest::apply_request request;
    request.manifest = std::move(manifest);
    if (flags.number_of("base") >= 0)
        request.base = generation(std::uint64_t(flags.number_of("base")));
    const std::string& id = flags.text_of("apply-id");
    request.apply = id.empty() ? random_apply_id() : apply_id(id);
    request.who = flags.text_of("who");
    request.at = now;
    return request;
}

void print_receipt(const manifest::apply_receipt& it, const apply_id& id)
{
    if (it.unchanged)
        std::cout << "unchanged: generation " << it.number
                  << " has the same content\n";
    else if (it.found_by_apply_id)
        std::cout << "accepted as generation " << it.number
                  << ", found by its apply id " << id << '\n';
    else
        std::cout << "accepted as generation " << it.number << ", hash "
                  << it.hash << ", apply id " << id << "; " << it.parts_sent
                  << " parts, " << it.bytes_sent << " bytes\n";
}

int wait_until_in_force(platform::object_store& store, generation wanted,
                        duration limit)
{
    const system_clock clock;
    const instant until = clock.now() + limit;
    manifest::rollout progress{wanted, {}};
    while (true) {
        const auto nodes = manifest::read_statuses(store);
        if (nodes)
            progress = manifest::rollout_of(*nodes, wanted, clock.now());
        else
            std::cerr << "reading node statuses: " << nodes.error().message
                      << '\n';
        if (nodes && progress.complete())
            break;
        std::cout << progress.reached() << " of " << progress.expected()
                  << " nodes\n";
        if (clock.now() > until)
            break;
        pause(seconds(1));
    }
    std::cout << manifest::to_table(progress, clock.now());
    return progress.complete() ? exit_success : exit_failure;
}

int apply(const settings::settings& flags)
{
    auto manifest = load_manifest(flags.positionals()[0]);
    if (!manifest)
        return exit_bad_input;
    http::client connections;
    platform::platform_client store(connections,
                                    {.url = flags.text_of("platform")});
    const auto request =
        make_request(flags, std::move(*manifest), system_clock().now());
    manifest::applier applier(store, {}, pause);
    const auto receipt = applier.apply(request);
    if (!receipt) {
        const error& why = receipt.error();
        std::cerr << "apply: " << to_string(why.code) << ": " << why.message
                  << '\n';
        if (why.code == error_code::ambiguous)
            std::cerr << "run again with --apply-id " << request.apply
                      << " to learn its outcome\n";
        return why.code == error_code::too_large ? exit_bad_input
                                                 : exit_failure;
    }
    print_receipt(*receipt, request.apply);
    if (flags.flag_of("collect")) {
        const auto erased = applier.collect_orphans();
        if (erased)
            std::cout << "removed " << *erased << " orphans\n";
        else
            std::cerr << "collect: " << erased.error().message << '\n';
    }
    if (flags.flag_of("wait"))
        return wait_until_in_force(store, receipt->number,
                                   flags.duration_of("wait-limit"));
    return exit_success;
}

} // namespace

int run_apply(int argc, char** argv)
{
    settings::settings flags = declare_flags();
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    return apply(flags);
}

} // namespace fennelladder::app
