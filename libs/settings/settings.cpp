// cxxopts only splits the command line. All values are read as text and
// validated here, so that all errors are reported together instead of only the
// first one that cxxopts would throw.

#include "fennelladder/settings/settings.hpp"

#include "fennelladder/telemetry/event_catalog.hpp"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace fennelladder::settings {

namespace {

constexpr int exit_bad_input = 2;
constexpr std::int64_t day_in_milliseconds = 86'400'000;
constexpr std::size_t help_column = 34;

bool parse_number(const std::string& text, std::int64_t& value)
{
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc() && stop == end;
}

bool is_true(const std::string& text)
{
    return text == "true" || text == "1" || text == "yes";
}

bool is_false(const std::string& text)
{
    return text.empty() || text == "false" || text == "0" || text == "no";
}

std::string joined(const std::vector<std::string>& values)
{
    std::string text;
    for (const std::string& it : values)
        text += (text.empty() ? "" : "|") + it;
    return text;
}

void add_finding(findings& found, const std::string& place, std::string message)
{
    found.add({place, ""}, telemetry::event::setting_invalid,
              std::move(message));
}

} // namespace

std::string variable_of(const std::string& flag)
{
    std::string name = "FENNELLADDER_";
    for (const char c : flag) {
        const auto letter = static_cast<unsigned char>(c);
        name += c == '-' ? '_' : static_cast<char>(std::toupper(letter));
    }
    return name;
}

settings::settings(std::string command, std::string summary)
    : command_(std::move(command)), summary_(std::move(summary))
{}

void settings::text(std::string name, std::string fallback, std::string help)
{
    entries_.push_back({.type = kind::text,
                        .name = std::move(name),
                        .fallback = std::move(fallback),
                        .unit = "text",
                        .help = std::move(help)});
}

void settings::choice(std::string name, std::vector<std::string> values,
                      std::string help)
{
    assert(!values.empty());
    entry setting{.type = kind::choice,
                  .name = std::move(name),
                  .fallback = values.front(),
                  .unit = joined(values),
                  .help = std::move(help)};
    setting.values = std::move(values);
    entries_.push_back(std::move(setting));
}

void settings::number(number_setting setting)
{
    entries_.push_back({.type = kind::number,
                        .name = std::move(setting.name),
                        .fallback = std::to_string(setting.fallback),
                        .unit = std::move(setting.unit),
                        .help = std::move(setting.help),
                        .low = setting.low,
                        .high = setting.high});
}

void settings::milliseconds(std::string name, std::int64_t fallback,
                            std::string help, std::int64_t low)
{
    number({.name = std::move(name),
            .fallback = fallback,
            .low = low,
            .high = day_in_milliseconds,
            .unit = "ms",
            .help = std::move(help)});
}

void settings::flag(std::string name, std::string help)
{
    entries_.push_back({.type = kind::flag,
                        .name = std::move(name),
                        .fallback = "false",
                        .unit = "",
                        .help = std::move(help)});
}

void settings::positional(std::string name, std::size_t low, std::size_t high,
                          std::string help)
{
    positional_name_ = std::move(name);
    min_positionals_ = low;
    max_positionals_ = high;
    positional_help_ = std::move(help);
}

void settings::check(const entry& it, findings& found) const
{
    std::int64_t value = 0;
    switch (it.type) {
    case kind::text:
        return;
    case kind::choice:
        if (std::ranges::find(it.values, it.value) == it.values.end())
            add_finding(found, it.source,
                        "'" + it.value + "' is not one of " + it.unit);
        return;
    case kind::number:
        if (!parse_number(it.value, value)) {
            add_finding(found, it.source,
                        "'" + it.value + "' is not a whole number");
        } else if (value < it.low || value > it.high) {
            add_finding(found, it.source,
                        it.value + " is not within " + std::to_string(it.low) +
                            " to " + std::to_string(it.high) + " " + it.unit);
        }
        return;
    case kind::flag:
        if (!is_true(it.value) && !is_false(it.value))
            add_finding(found, it.source,
                        "'" + it.value + "' is not true or false");
        return;
    }
}

void settings::read(int argc, const char* const* argv,
                    const environment& variables, parse_outcome& outcome)
{
    cxxopts::Options options(command_, summary_);
    options.allow_unrecognised_options();
    options.add_options()("help", "");
    options.add_options()("positional", "",
                          cxxopts::value<std::vector<std::string>>());
    for (const entry& it : entries_) {
        auto value = cxxopts::value<std::string>();
        if (it.type == kind::flag)
            value->implicit_value("true");
        options.add_options()(it.name, "", value);
    }
    options.parse_positional("positional");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << help();
        outcome.stop = true;
        return;
    }
    for (const std::string& it : parsed.unmatched())
        add_finding(outcome.found, it, "unknown option of command " + command_);
    for (entry& it : entries_) {
        it.value = it.fallback;
        const std::string variable = variable_of(it.name);
        if (const char* text = variables(variable.c_str())) {
            it.value = text;
            it.source = variable;
        }
        if (parsed.count(it.name) > 0) {
            it.value = parsed[it.name].as<std::string>();
            it.source = "--" + it.name;
        }
    }
    if (parsed.count("positional") > 0)
        positionals_ = parsed["positional"].as<std::vector<std::string>>();
}

parse_outcome settings::parse(int argc, const char* const* argv,
                              const environment& variables)
{
    parse_outcome outcome;
    try {
        read(argc, argv, variables, outcome);
    } catch (const cxxopts::exceptions::exception& failure) {
        add_finding(outcome.found, command_, failure.what());
    }
    if (outcome.stop)
        return outcome;
    for (const entry& it : entries_)
        check(it, outcome.found);
    if (positionals_.size() < min_positionals_)
        add_finding(outcome.found, command_,
                    "missing argument: " + positional_name_);
    if (positionals_.size() > max_positionals_)
        add_finding(outcome.found, positionals_.back(), "unexpected argument");
    if (!outcome.found.empty()) {
        outcome.stop = true;
        outcome.exit_code = exit_bad_input;
        std::cerr << outcome.found.to_text();
    }
    return outcome;
}

parse_outcome settings::parse(int argc, const char* const* argv)
{
    return parse(argc, argv,
                 [](const char* name) { return std::getenv(name); });
}

const settings::entry& settings::find(const std::string& name) const
{
    const auto it = std::ranges::find(entries_, name, &entry::name);
    assert(it != entries_.end());
    return *it;
}

const std::string& settings::text_of(const std::string& name) const
{
    return find(name).value;
}

std::int64_t settings::number_of(const std::string& name) const
{
    std::int64_t value = 0;
    parse_number(find(name).value, value);
    return value;
}

duration settings::duration_of(const std::string& name) const
{
    return fennelladder::milliseconds(number_of(name));
}

bool settings::flag_of(const std::string& name) const
{
    return is_true(find(name).value);
}

bool settings::given(const std::string& name) const
{
    return !find(name).source.empty();
}

std::string settings::help() const
{
    std::string text = "usage: fennelladder " + command_ + " [options]";
    if (!positional_name_.empty())
        text += " " + positional_name_;
    text += "\n\n" + summary_ + "\n";
    if (!positional_name_.empty())
        text += "\n  " + positional_name_ + ": " + positional_help_ + "\n";
    text +=
        "\nEach option can also be set by an environment variable, such as " +
        variable_of(entries_.empty() ? "format" : entries_.front().name) +
        "; the option takes precedence.\n\n";
    for (const entry& it : entries_) {
        std::string left = "  --" + it.name;
        if (!it.unit.empty())
            left += " " + it.unit;
        left.resize(std::max(left.size() + 2, help_column), ' ');
        text += left + it.help;
        if (it.type != kind::flag)
            text += " [" + it.fallback + "]";
        text += "\n";
    }
    return text;
}

} // namespace fennelladder::settings
