// `fennelladder topup`: prepays tokens, once by id.

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

std::string drawn_name()
{
    std::random_device entropy;
    const std::uint64_t high = entropy();
    return to_hex(high << 32U | entropy());
}

settings::settings declare_settings()
{
    settings::settings wanted(
        "topup",
        "Prepays tokens of a budget, once by id. Nodes notice without being "
        "told: one that runs short asks the books again, within seconds.");
    wanted.text("platform", "http://127.0.0.1:7000",
                "URL of the platform's object API");
    wanted.text("team", "", "customer whose budget it is");
    wanted.text("budget", "", "budget, as named in the manifest");
    wanted.number({.name = "tokens",
                   .fallback = 0,
                   .low = 0,
                   .high = budget::max_amount.count(),
                   .unit = "tokens",
                   .help = "how many to add; at least 1"});
    wanted.text("id", "",
                "id of the payment; the same one again counts once (of a "
                "budget's newest 256). Without it one is drawn and shown");
    wanted.flag("unlisted", "also a budget that the accepted manifest doesn't "
                            "name");
    return wanted;
}

bool check(const settings::settings& given)
{
    bool good = true;
    for (const char* name : {"team", "budget"}) {
        if (given.text_of(name).empty()) {
            std::cerr << "topup: --" << name << " is missing\n";
            good = false;
        }
    }
    if (given.number_of("tokens") < 1) {
        std::cerr << "topup: --tokens is missing or below 1\n";
        good = false;
    }
    return good;
}

int report_failure(const error& why, const char* doing)
{
    std::cerr << "topup: " << doing << ": " << to_string(why.code) << ": "
              << why.message << '\n';
    return exit_failure;
}

// Guards against a slip of the pen: books open a budget of any name, and the
// tokens would lie where no request draws on them.
int check_listed(platform::object_store& store, const budget::topup& wish)
{
    const auto listed = read_budget(store, wish.budget);
    if (!listed)
        return report_failure(listed.error(), "reading the manifest");
    if (*listed && (*listed)->team == wish.team)
        return exit_success;
    std::cerr << "topup: the accepted manifest has no budget " << wish.budget
              << " of team " << wish.team << '\n';
    return exit_bad_input;
}

int print(const budget::outcome& made, const budget::topup& wish)
{
    std::cout << to_string(made.what) << ": ";
    switch (made.what) {
    case budget::verdict::applied:
        std::cout << wish.amount.count() << " tokens added to " << wish.budget
                  << ", id " << wish.id << "; free " << made.free.count()
                  << '\n';
        return exit_success;
    case budget::verdict::duplicate:
        std::cout << "id " << wish.id << " was booked earlier; nothing added; "
                  << "free " << made.free.count() << '\n';
        return exit_success;
    case budget::verdict::refused:
        std::cout << "the budget is another team's, or too large\n";
        return exit_failure;
    default:
        std::cout << "the books can't take these names or this amount\n";
        return exit_bad_input;
    }
}

int top_up(const settings::settings& given)
{
    http::client connections;
    platform::platform_client store(connections,
                                    {.url = given.text_of("platform")});
    const std::string& id = given.text_of("id");
    const budget::topup wish{.team = team_id(given.text_of("team")),
                             .budget = budget_id(given.text_of("budget")),
                             .id = topup_id(id.empty() ? drawn_name() : id),
                             .amount = tokens(given.number_of("tokens"))};
    if (id.empty())
        std::cout << "id " << wish.id << std::endl;
    if (!given.flag_of("unlisted")) {
        if (const int code = check_listed(store, wish); code != exit_success)
            return code;
    }
    const auto layout = journal::find_layout(store);
    if (!layout)
        return report_failure(layout.error(), "reading the journal's layout");
    const std::string name = drawn_name();
    const auto made =
        book_topup(store, *layout, wish, incarnation_id("topup." + name),
                   {.seed = std::stoull(name, nullptr, 16)});
    if (made)
        return print(*made, wish);
    if (made.error().code == error_code::ambiguous)
        std::cerr << "topup: it may be booked; run again with --id " << wish.id
                  << '\n';
    return report_failure(made.error(), "booking");
}

} // namespace

int run_topup(int argc, char** argv)
{
    settings::settings wanted = declare_settings();
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    return check(wanted) ? top_up(wanted) : exit_bad_input;
}

} // namespace fennelladder::app
