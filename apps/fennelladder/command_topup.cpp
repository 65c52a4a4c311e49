// `fennelladder topup`: adds prepaid tokens to a budget, idempotent by id.

#include "books_reader.hpp"
#include "command.hpp"
#include "commands.hpp"

#include "fennelladder/base/hash.hpp"
#include "fennelladder/http/client.hpp"
#include "fennelladder/platform/platform_client.hpp"
#include "fennelladder/settings/settings.hpp"

#include <iostream>
#include <random>

namespace fennelladder::app {

namespace {

std::string random_name()
{
    std::random_device entropy;
    const std::uint64_t high = entropy();
    return to_hex(high << 32U | entropy());
}

settings::settings declare_flags()
{
    settings::settings flags(
        "topup",
        "Adds prepaid tokens to a budget, idempotent by id. Nodes need not be "
        "told: one that runs short reads the books again within seconds.");
    flags.text("platform", "http://127.0.0.1:7000",
               "URL of the platform's object API");
    flags.text("team", "", "team that owns the budget");
    flags.text("budget", "", "the budget's id in the manifest");
    flags.number({.name = "tokens",
                  .fallback = 0,
                  .low = 0,
                  .high = budget::max_amount.count(),
                  .unit = "tokens",
                  .help = "tokens to add; at least 1"});
    flags.text("id", "",
               "id of the payment; repeated use counts once (among a budget's "
               "newest 256 ids). Without it a random one is used and printed");
    flags.flag("unlisted", "allow a budget that isn't in the accepted "
                           "manifest");
    return flags;
}

bool check_flags(const settings::settings& flags)
{
    bool valid = true;
    for (const char* name : {"team", "budget"}) {
        if (flags.text_of(name).empty()) {
            std::cerr << "topup: --" << name << " is missing\n";
            valid = false;
        }
    }
    if (flags.number_of("tokens") < 1) {
        std::cerr << "topup: --tokens is missing or below 1\n";
        valid = false;
    }
    return valid;
}

int report_failure(const error& why, const char* operation)
{
    std::cerr << "topup: " << operation << ": " << to_string(why.code) << ": "
              << why.message << '\n';
    return exit_failure;
}

// Guards against a mistyped id: the books create a budget under any id, and no
// request would ever draw on its tokens.
int check_listed(platform::object_store& store, const budget::topup& topup)
{
    const auto listed = read_budget(store, topup.budget);
    if (!listed)
        return report_failure(listed.error(), "reading the manifest");
    if (*listed && (*listed)->team == topup.team)
        return exit_success;
    std::cerr << "topup: the accepted manifest has no budget " << topup.budget
              << " of team " << topup.team << '\n';
    return exit_bad_input;
}

int print(const budget::outcome& made, const budget::topup& topup)
{
    std::cout << to_string(made.what) << ": ";
    switch (made.what) {
    case budget::verdict::applied:
        std::cout << topup.amount.count() << " tokens added to " << topup.budget
                  << ", id " << topup.id << "; free " << made.free.count()
                  << '\n';
        return exit_success;
    case budget::verdict::duplicate:
        std::cout << "id " << topup.id << " is already booked; nothing added; "
                  << "free " << made.free.count() << '\n';
        return exit_success;
    case budget::verdict::refused:
        std::cout << "the budget belongs to another team or would exceed the "
                     "largest amount\n";
        return exit_failure;
    default:
        std::cout << "the team, budget, id or amount is invalid\n";
        return exit_bad_input;
    }
}

int top_up(const settings::settings& flags)
{
    http::client connections;
    platform::platform_client store(connections,
                                    {.url = flags.text_of("platform")});
    const std::string& id = flags.text_of("id");
    const budget::topup topup{.team = team_id(flags.text_of("team")),
                              .budget = budget_id(flags.text_of("budget")),
                              .id = topup_id(id.empty() ? random_name() : id),
                              .amount = tokens(flags.number_of("tokens"))};
    if (id.empty())
        std::cout << "id " << topup.id << std::endl;
    if (!flags.flag_of("unlisted")) {
        if (const int code = check_listed(store, topup); code != exit_success)
            return code;
    }
    const auto layout = journal::find_layout(store);
    if (!layout)
        return report_failure(layout.error(), "reading the journal's layout");
    const std::string name = random_name();
    const auto made =
        book_topup(store, *layout, topup, incarnation_id("topup." + name),
                   {.seed = std::stoull(name, nullptr, 16)});
    if (made)
        return print(*made, topup);
    if (made.error().code == error_code::ambiguous)
        std::cerr << "topup: the top-up may be booked; run again with --id "
                  << topup.id << '\n';
    return report_failure(made.error(), "booking");
}

} // namespace

int run_topup(int argc, char** argv)
{
    settings::settings flags = declare_flags();
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    return check_flags(flags) ? top_up(flags) : exit_bad_input;
}

} // namespace fennelladder::app
