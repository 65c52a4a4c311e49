// Settings of a subcommand: each is a flag and an environment variable.
//
//     settings wanted("serve", "Runs one node.");
//     wanted.text("listen", "127.0.0.1:8080", "address for callers");
//     wanted.number({.name = "workers", .fallback = 256, .low = 1,
//                    .high = 4096, .unit = "threads", .help = "..."});
//     const auto parsed = wanted.parse(argc, argv);
//     if (parsed.stop)
//         return parsed.exit_code; // --help, or findings were printed
//     run(wanted.text_of("listen"), wanted.number_of("workers"));
//
// The flag --call-timeout is the variable FENNELLADDER_CALL_TIMEOUT; the flag
// wins. All bad settings are reported together, with the flag or variable
// that each came from, and the exit code is 2.

#ifndef FENNELLADDER_SETTINGS_SETTINGS_HPP
#define FENNELLADDER_SETTINGS_SETTINGS_HPP

#include "fennelladder/base/findings.hpp"
#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fennelladder::settings {

/// A whole number within bounds.
struct number_setting
{
    std::string name; ///< Flag without dashes.
    std::int64_t fallback = 0;
    std::int64_t low = 0;
    std::int64_t high = INT64_MAX;
    std::string unit; ///< Shown in --help, such as "ms".
    std::string help;
};

/// What parse() came to.
struct parse_outcome
{
    bool stop = false; ///< Help was asked for, or a setting is bad.
    int exit_code = 0;
    findings found;
};

/// Reads a variable of the environment; nullptr when it is unset.
using environment = std::function<const char*(const char*)>;

/// The settings of one subcommand. Declare all, parse once, then read. Not
/// thread safe until parsed, read-only and thread safe afterwards.
class settings
{
public:
    settings(std::string command, std::string summary);

    /// Declares a setting of any text.
    void text(std::string name, std::string fallback, std::string help);

    /// Declares a setting that is one of `values`; the first is the default.
    void choice(std::string name, std::vector<std::string> values,
                std::string help);

    /// Declares a whole number.
    void number(number_setting wanted);

    /// Declares a number of milliseconds from `low` to a day.
    void milliseconds(std::string name, std::int64_t fallback, std::string help,
                      std::int64_t low = 1);

    /// Declares a switch that is off unless given ("true", "1", "yes").
    void flag(std::string name, std::string help);

    /// Takes arguments without dashes; at least `low`, at most `high`.
    void positional(std::string name, std::size_t low, std::size_t high,
                    std::string help);

    /// Reads flags and variables. Prints help to standard output, findings to
    /// standard error.
    parse_outcome parse(int argc, const char* const* argv,
                        const environment& variables);
    parse_outcome parse(int argc, const char* const* argv);

    /// Values. Precondition: parsed without stop, and `name` was declared
    /// with that type.
    const std::string& text_of(const std::string& name) const;
    std::int64_t number_of(const std::string& name) const;
    duration duration_of(const std::string& name) const;
    bool flag_of(const std::string& name) const;

    /// True when a flag or variable gave the value.
    bool given(const std::string& name) const;

    const std::vector<std::string>& positionals() const { return positionals_; }

    /// The text that --help prints.
    std::string help() const;

private:
    enum class kind : std::uint8_t
    {
        text,
        choice,
        number,
        flag
    };

    struct entry
    {
        kind type;
        std::string name;
        std::string fallback;
        std::string unit;
        std::string help;
        std::vector<std::string> values; // of a choice
        std::int64_t low = 0;            // of a number
        std::int64_t high = 0;
        std::string value;
        std::string source;
    };

    const entry& find(const std::string& name) const;
    void check(const entry& it, findings& found) const;
    void read(int argc, const char* const* argv, const environment& variables,
              parse_outcome& outcome);

    std::string command_;
    std::string summary_;
    std::vector<entry> entries_;
    std::string positional_name_;
    std::string positional_help_;
    std::size_t positional_low_ = 0;
    std::size_t positional_high_ = 0;
    std::vector<std::string> positionals_;
};

/// The variable of a flag: "call-timeout" is FENNELLADDER_CALL_TIMEOUT.
std::string variable_of(const std::string& flag);

} // namespace fennelladder::settings

#endif
