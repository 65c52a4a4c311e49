// Scalars. Each reader reports what is wrong and leaves the value alone, so
// that reading goes on and finds the rest.

#include "json_codec.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <utility>

namespace fennelladder::manifest {

void finding_sink::add(int event, std::string pointer, std::string message)
{
    if (found.all().size() > max_findings)
        return;
    if (found.all().size() == max_findings) {
        found.add({source, {}}, event, "there are more findings");
        return;
    }
    found.add({source, std::move(pointer)}, event, std::move(message));
}

cursor cursor::member(std::string_view key, const json& value,
                      const bounds& range) const
{
    cursor child(value, *sink_);
    child.parent_ = this;
    child.key_ = key;
    child.range_ = range;
    return child;
}

cursor cursor::element(std::size_t index) const
{
    cursor child((*value_)[index], *sink_);
    child.parent_ = this;
    child.index_ = index;
    child.range_ = range_;
    return child;
}

namespace {

// RFC 6901: ~ and / in a key are escaped.
std::string escape_key(std::string_view key)
{
    std::string text;
    for (const char c : key) {
        if (c == '~')
            text += "~0";
        else if (c == '/')
            text += "~1";
        else
            text += c;
    }
    return text;
}

template <class E>
struct spelling
{
    std::string_view text;
    E value;
};

constexpr auto weights =
    std::to_array<spelling<weight>>({{"overspend", weight::overspend},
                                     {"false_refusal", weight::false_refusal}});

constexpr auto target_kinds = std::to_array<spelling<target_kind>>(
    {{"engine", target_kind::engine}, {"service", target_kind::service}});

constexpr auto engine_roles =
    std::to_array<spelling<engine_role>>({{"mixed", engine_role::mixed},
                                          {"prefill", engine_role::prefill},
                                          {"decode", engine_role::decode}});

constexpr auto measures =
    std::to_array<spelling<measure>>({{"first_byte", measure::first_byte},
                                      {"inter_token", measure::inter_token},
                                      {"total", measure::total}});

struct unit
{
    std::string_view suffix;
    std::int64_t nanoseconds;
};

// Longest first: writing takes the first that divides evenly. "s" must stand
// behind "ms" and "us" for reading, which takes the first suffix that fits.
constexpr auto units = std::to_array<unit>({{"h", 3'600'000'000'000},
                                            {"m", 60'000'000'000},
                                            {"ms", 1'000'000},
                                            {"us", 1'000},
                                            {"ns", 1},
                                            {"s", 1'000'000'000}});

constexpr auto writing_order =
    std::to_array<std::string_view>({"h", "m", "s", "ms", "us", "ns"});

const unit* find_unit(std::string_view suffix)
{
    const auto it = std::ranges::find(units, suffix, &unit::suffix);
    return it == units.end() ? nullptr : &*it;
}

// The digits at the start of `text`, as a number; the rest goes to `rest`.
bool take_number(std::string_view text, std::int64_t& number,
                 std::string_view& rest)
{
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, number);
    rest = {stop, std::size_t(end - stop)};
    return ec == std::errc() && number >= 0;
}

bool in_range(const cursor& at, std::int64_t number)
{
    if (number >= at.range().least && number <= at.range().most)
        return true;
    at.report(event::manifest_out_of_range,
              "out of range: " + std::to_string(at.range().least) + " to " +
                  std::to_string(at.range().most));
    return false;
}

bool in_duration_range(const cursor& at, std::int64_t number)
{
    if (number >= at.range().least && number <= at.range().most)
        return true;
    const json least = write_scalar(duration(at.range().least));
    const json most = write_scalar(duration(at.range().most));
    at.report(event::manifest_out_of_range,
              "out of range: " + least.get<std::string>() + " to " +
                  most.get<std::string>());
    return false;
}

const std::string* read_text(const cursor& at)
{
    if (at.value().is_string())
        return &at.value().get_ref<const std::string&>();
    at.report(event::manifest_wrong_type, "not a text");
    return nullptr;
}

template <class E, std::size_t N>
void read_enum(const cursor& at, const std::array<spelling<E>, N>& spellings,
               E& value)
{
    const std::string* text = read_text(at);
    if (text == nullptr)
        return;
    std::string known;
    for (const spelling<E>& it : spellings) {
        if (it.text == *text) {
            value = it.value;
            return;
        }
        known += (known.empty() ? "" : ", ") + std::string(it.text);
    }
    at.report(event::manifest_out_of_range, "not one of: " + known);
}

template <class E, std::size_t N>
json write_enum(const std::array<spelling<E>, N>& spellings, E value)
{
    const auto it = std::ranges::find(spellings, value, &spelling<E>::value);
    return std::string(it->text);
}

bool is_name_character(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit ||
           std::string_view("._:@+-").find(c) != std::string_view::npos;
}

} // namespace

std::string cursor::pointer() const
{
    if (parent_ == nullptr)
        return {};
    const std::string last =
        index_ != no_index ? std::to_string(index_) : escape_key(key_);
    return parent_->pointer() + "/" + last;
}

void cursor::report(int event, std::string message) const
{
    sink_->add(event, pointer(), std::move(message));
}

void cursor::report_missing(int event, std::string message) const
{
    report(event, std::move(message));
    sink_->incomplete = true;
}

bool read_name(const cursor& at, std::string& name)
{
    constexpr std::size_t longest = 64;
    const std::string* text = read_text(at);
    if (text == nullptr)
        return false;
    if (text->empty() || text->size() > longest ||
        !std::ranges::all_of(*text, is_name_character)) {
        at.report(event::manifest_bad_format,
                  "not an id: 1 to 64 letters, digits and . _ : @ + -");
        return false;
    }
    name = *text;
    return true;
}

bool read_integer(const cursor& at, std::int64_t& number)
{
    const json& value = at.value();
    if (!value.is_number()) {
        at.report(event::manifest_wrong_type, "not a number");
        return false;
    }
    if (!value.is_number_integer()) {
        // Whole numbers beyond 64 bits arrive here as floating point.
        at.report(event::manifest_out_of_range,
                  "not a whole number of 64 bits");
        return false;
    }
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    const bool overflow = value.is_number_unsigned() &&
                          value.get<std::uint64_t>() > std::uint64_t(most);
    const auto found = overflow ? most : value.get<std::int64_t>();
    if (overflow || !in_range(at, found)) {
        if (overflow)
            at.report(event::manifest_out_of_range, "number overflows");
        return false;
    }
    number = found;
    return true;
}

std::string_view type_name(const bool&)
{
    return "boolean";
}

void read_scalar(const cursor& at, bool& value)
{
    if (at.value().is_boolean())
        value = at.value().get<bool>();
    else
        at.report(event::manifest_wrong_type, "not true or false");
}

json write_scalar(const bool& value)
{
    return value;
}

std::string_view type_name(const std::string&)
{
    return "text";
}

void read_scalar(const cursor& at, std::string& value)
{
    const std::string* text = read_text(at);
    if (text != nullptr)
        value = *text;
}

json write_scalar(const std::string& value)
{
    return value;
}

std::string_view type_name(const std::int64_t&)
{
    return "integer";
}

void read_scalar(const cursor& at, std::int64_t& value)
{
    read_integer(at, value);
}

json write_scalar(const std::int64_t& value)
{
    return value;
}

std::string_view type_name(const tokens&)
{
    return "tokens";
}

void read_scalar(const cursor& at, tokens& value)
{
    std::int64_t count = 0;
    if (read_integer(at, count))
        value = tokens(count);
}

json write_scalar(const tokens& value)
{
    return value.count();
}

std::string_view type_name(const duration&)
{
    return "duration";
}

void read_scalar(const cursor& at, duration& value)
{
    const std::string* text = read_text(at);
    if (text == nullptr)
        return;
    std::int64_t count = 0;
    std::int64_t total = 0;
    std::string_view suffix;
    const bool number = take_number(*text, count, suffix);
    const unit* scale = find_unit(suffix);
    if (!number || scale == nullptr) {
        at.report(event::manifest_bad_unit,
                  "not a duration such as \"250ms\": a whole number with one "
                  "of h, m, s, ms, us, ns");
        return;
    }
    if (__builtin_mul_overflow(count, scale->nanoseconds, &total)) {
        at.report(event::manifest_out_of_range, "duration overflows");
        return;
    }
    if (in_duration_range(at, total))
        value = duration(total);
}

json write_scalar(const duration& value)
{
    for (const std::string_view suffix : writing_order) {
        const std::int64_t scale = find_unit(suffix)->nanoseconds;
        if (value.count() != 0 && value.count() % scale == 0)
            return std::to_string(value.count() / scale) + std::string(suffix);
    }
    return "0s";
}

std::string_view type_name(const share&)
{
    return "percentage";
}

// "99.95%": up to four decimals, kept as parts per million.
void read_scalar(const cursor& at, share& value)
{
    constexpr std::size_t most_decimals = 4;
    const std::string* text = read_text(at);
    if (text == nullptr)
        return;
    std::int64_t whole = 0;
    std::int64_t fraction = 0;
    std::string_view rest;
    bool good = take_number(*text, whole, rest) && whole <= 100;
    if (good && rest.starts_with('.')) {
        const auto digits = rest.substr(1, rest.find('%') - 1);
        good = !digits.empty() && digits.size() <= most_decimals;
        if (good) {
            std::string padded(digits);
            padded.resize(most_decimals, '0');
            std::string_view after;
            good = padded.front() != '-' &&
                   take_number(padded, fraction, after) && after.empty();
            rest.remove_prefix(1 + digits.size());
        }
    }
    const std::int64_t parts = whole * 10'000 + fraction;
    if (!good || rest != "%" || parts > 1'000'000)
        return at.report(event::manifest_bad_unit,
                         "not a percentage such as \"99.5%\", from 0% to "
                         "100%, with at most four decimals");
    value.parts_per_million = parts;
}

json write_scalar(const share& value)
{
    std::string text = std::to_string(value.parts_per_million / 10'000);
    std::string decimals =
        std::to_string(10'000 + value.parts_per_million % 10'000).substr(1);
    while (!decimals.empty() && decimals.back() == '0')
        decimals.pop_back();
    if (!decimals.empty())
        text += "." + decimals;
    return text + "%";
}

std::string_view type_name(const endpoint&)
{
    return "endpoint";
}

void read_scalar(const cursor& at, endpoint& value)
{
    const std::string* text = read_text(at);
    if (text == nullptr)
        return;
    const auto colon = text->rfind(':');
    const bool split = colon != std::string::npos;
    std::string ip = split ? text->substr(0, colon) : std::string();
    const bool v6 = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (v6)
        ip = ip.substr(1, ip.size() - 2);
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    const bool numeric =
        inet_pton(v6 ? AF_INET6 : AF_INET, ip.c_str(), bytes.data()) == 1;
    std::int64_t port = 0;
    std::string_view rest;
    const bool good =
        split && numeric &&
        take_number(std::string_view(*text).substr(colon + 1), port, rest) &&
        rest.empty() && port >= 1 && port <= 65'535;
    if (!good)
        return at.report(event::manifest_bad_format,
                         "not an IP address with a port, such as "
                         "\"10.0.0.1:8000\" or \"[fd00::1]:8000\"");
    value = {std::move(ip), std::uint16_t(port)};
}

json write_scalar(const endpoint& value)
{
    return value.str();
}

std::string_view type_name(const weight&)
{
    return "overspend or false_refusal";
}

void read_scalar(const cursor& at, weight& value)
{
    read_enum(at, weights, value);
}

json write_scalar(const weight& value)
{
    return write_enum(weights, value);
}

std::string_view type_name(const target_kind&)
{
    return "engine or service";
}

void read_scalar(const cursor& at, target_kind& value)
{
    read_enum(at, target_kinds, value);
}

json write_scalar(const target_kind& value)
{
    return write_enum(target_kinds, value);
}

std::string_view type_name(const engine_role&)
{
    return "mixed, prefill or decode";
}

void read_scalar(const cursor& at, engine_role& value)
{
    read_enum(at, engine_roles, value);
}

json write_scalar(const engine_role& value)
{
    return write_enum(engine_roles, value);
}

std::string_view type_name(const measure&)
{
    return "first_byte, inter_token or total";
}

void read_scalar(const cursor& at, measure& value)
{
    read_enum(at, measures, value);
}

json write_scalar(const measure& value)
{
    return write_enum(measures, value);
}

} // namespace fennelladder::manifest
