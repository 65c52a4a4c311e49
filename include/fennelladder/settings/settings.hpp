// Settings of a subcommand, each read from a flag or an environment variable.
//
//     settings options("serve", "Runs one node.");
//     options.text("listen", "127.0.0.1:8080", "address for callers");
//     options.number({.name = "workers", .fallback = 256, .low = 1,
//                     .high = 4096, .unit = "threads", .help = "..."});
//     const auto parsed = options.parse(argc, argv);
//     if (parsed.stop)
//         return parsed.exit_code; // printed --help or findings
//     run(options.text_of("listen"), options.number_of("workers"));
//
// The flag --call-timeout corresponds to the environment variable
// FENNELLADDER_CALL_TIMEOUT; the flag takes precedence. All invalid settings
// are reported together, each with the flag or variable that set it, and the
// exit code is 2.

#ifndef FENNELLADDER_SETTINGS_SETTINGS_HPP
#define FENNELLADDER_SETTINGS_SETTINGS_HPP

#include "fennelladder/base/findings.hpp"
#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fennelladder::settings {

/// Declaration of an integer setting.
struct number_setting
{
    std::string name;              ///< Flag without dashes.
    std::int64_t fallback = 0;     ///< Default value.
    std::int64_t low = 0;          ///< Inclusive.
    std::int64_t high = INT64_MAX; ///< Inclusive.
    std::string unit;              ///< Shown in --help, such as "ms".
    std::string help;
};

/// Result of settings::parse().
struct parse_outcome
{
    bool stop = false; ///< --help was given, or a setting is invalid.
    int exit_code = 0;
    findings found;
};

/// Returns the value of an environment variable, or nullptr if it is unset.
using environment = std::function<const char*(const char*)>;

/// The settings of one subcommand. Declare all, call parse() once, then read
/// the values. Not thread safe before parse() has returned; read-only and
/// thread safe afterwards.
class settings
{
public:
    settings(std::string command, std::string summary);

    /// Declares a text setting without restrictions.
    void text(std::string name, std::string fallback, std::string help);

    /// Declares a setting that takes one of `values`; the first is the default.
    void choice(std::string name, std::vector<std::string> values,
                std::string help);

    /// Declares an integer setting.
    void number(number_setting setting);

    /// Declares a duration in whole milliseconds, from `low` to one day.
    void milliseconds(std::string name, std::int64_t fallback, std::string help,
                      std::int64_t low = 1);

    /// Declares a boolean flag, false by default. "true", "1" and "yes" set it;
    /// "false", "0", "no" and an empty value don't.
    void flag(std::string name, std::string help);

    /// Declares the positional arguments: at least `low`, at most `high`.
    void positional(std::string name, std::size_t low, std::size_t high,
                    std::string help);

    /// Reads flags and environment variables and validates them. Prints help
    /// to standard output and findings to standard error.
    parse_outcome parse(int argc, const char* const* argv,
                        const environment& variables);
    parse_outcome parse(int argc, const char* const* argv);

    /// Value of a setting. Precondition: parse() returned without `stop`, and
    /// `name` was declared with that type.
    const std::string& text_of(const std::string& name) const;
    std::int64_t number_of(const std::string& name) const;
    duration duration_of(const std::string& name) const;
    bool flag_of(const std::string& name) const;

    /// True if a flag or environment variable set the value.
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
        std::vector<std::string> values; // Of a choice.
        std::int64_t low = 0;            // Of a number, inclusive.
        std::int64_t high = 0;
        std::string value;
        std::string source; // Flag or variable that set the value, or empty.
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
    std::size_t min_positionals_ = 0;
    std::size_t max_positionals_ = 0;
    std::vector<std::string> positionals_;
};

/// Name of the environment variable for a flag: FENNELLADDER_CALL_TIMEOUT for
/// "call-timeout".
std::string variable_of(const std::string& flag);

} // namespace fennelladder::settings

#endif
