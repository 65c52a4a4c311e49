// How typed values are read from and written to JSON, with findings.
//
// One table of fields per record (fields.hpp) is at once its reader, its
// writer and its part of the schema, so the three can't differ. A cursor is a
// place in the JSON text; it knows its JSON pointer, and builds it only when
// there is something to report.

#ifndef FENNELLADDER_LIBS_MANIFEST_JSON_CODEC_HPP
#define FENNELLADDER_LIBS_MANIFEST_JSON_CODEC_HPP

#include "fennelladder/base/findings.hpp"
#include "fennelladder/manifest/parse.hpp"
#include "fennelladder/telemetry/event_catalog.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::manifest {

using nlohmann::json;
namespace event = telemetry::event;

/// Range of a number, both ends included; durations in nanoseconds.
struct bounds
{
    std::int64_t least = 0;
    std::int64_t most = std::numeric_limits<std::int64_t>::max();
};

/// Where the findings of one text go.
struct finding_sink
{
    findings& found;
    std::string source;

    /// A list, record or key could not be read at all, so that what refers to
    /// its contents can't be judged.
    bool incomplete = false;

    void add(int event, std::string pointer, std::string message);
};

/// A place in a JSON text. Lives on the stack of the reader; a child must not
/// outlive its parent.
class cursor
{
public:
    cursor(const json& value, finding_sink& sink) : value_(&value), sink_(&sink)
    {}

    /// Member `key` of this object, whose number has to be within `range`.
    cursor member(std::string_view key, const json& value,
                  const bounds& range) const;

    /// Element `index` of this array.
    cursor element(std::size_t index) const;

    const json& value() const { return *value_; }

    const bounds& range() const { return range_; }

    std::string pointer() const;

    /// Reports a finding here.
    void report(int event, std::string message) const;

    /// Reports that what should be here is missing as a whole.
    void report_missing(int event, std::string message) const;

private:
    static constexpr std::size_t no_index = std::size_t(-1);

    const json* value_;
    finding_sink* sink_;
    const cursor* parent_ = nullptr;
    std::string_view key_;
    std::size_t index_ = no_index;
    bounds range_;
};

/// How a T is read, written and described. On a finding, read() leaves the
/// value as it was.
template <class T>
struct codec;

/// One field of a record of type T.
template <class T>
struct field
{
    std::string_view key;
    bool required;
    bounds range;
    void (*read)(const cursor& at, T& record);
    json (*write)(const T& record);
    void (*describe)(const schema_key& key, std::vector<schema_key>& keys);
};

/// The fields of a record; specialised in fields.cpp.
template <class T>
std::span<const field<T>> fields_of();

template <class T>
struct member_of;

template <class C, class M>
struct member_of<M C::*>
{
    using record = C;
    using value = M;
};

/// The field that is kept in `Member`.
template <auto Member>
constexpr auto make_field(std::string_view key, bool required,
                          bounds range = {})
{
    using record = typename member_of<decltype(Member)>::record;
    using value = typename member_of<decltype(Member)>::value;
    return field<record>{
        key,
        required,
        range,
        [](const cursor& at, record& it) {
            codec<value>::read(at, it.*Member);
        },
        [](const record& it) { return codec<value>::write(it.*Member); },
        &codec<value>::describe};
}

/// Adds `key` to the schema with the type of a value without members.
template <class T>
void describe_scalar(const schema_key& key, std::vector<schema_key>& keys)
{
    keys.push_back({key.pointer, std::string(codec<T>::type()), key.required});
}

// Records.
template <class T>
struct codec
{
    static std::string_view type() { return "object"; }

    static void read(const cursor& at, T& record)
    {
        if (!at.value().is_object())
            return at.report_missing(event::manifest_wrong_type,
                                     "not an object");
        report_unknown(at);
        for (const field<T>& it : fields_of<T>()) {
            const auto found = at.value().find(it.key);
            if (found != at.value().end())
                it.read(at.member(it.key, *found, it.range), record);
            else if (it.required)
                at.report_missing(event::manifest_missing_key,
                                  "no key \"" + std::string(it.key) + "\"");
        }
    }

    static json write(const T& record)
    {
        json object = json::object();
        for (const field<T>& it : fields_of<T>())
            object[std::string(it.key)] = it.write(record);
        return object;
    }

    static void describe(const schema_key& key, std::vector<schema_key>& keys)
    {
        describe_scalar<T>(key, keys);
        for (const field<T>& it : fields_of<T>()) {
            it.describe(
                {key.pointer + "/" + std::string(it.key), {}, it.required},
                keys);
        }
    }

private:
    static void report_unknown(const cursor& at)
    {
        for (const auto& [key, value] : at.value().items()) {
            const std::string& name = key;
            const auto same = [&](const auto& it) { return it.key == name; };
            if (std::ranges::none_of(fields_of<T>(), same))
                at.member(name, value, {})
                    .report(event::manifest_unknown_key, "unknown key");
        }
    }
};

template <class T>
struct codec<std::vector<T>>
{
    static std::string_view type() { return "list"; }

    static void read(const cursor& at, std::vector<T>& list)
    {
        if (!at.value().is_array())
            return at.report_missing(event::manifest_wrong_type, "not a list");
        list.clear();
        list.reserve(at.value().size());
        for (std::size_t n = 0; n < at.value().size(); ++n)
            codec<T>::read(at.element(n), list.emplace_back());
    }

    static json write(const std::vector<T>& list)
    {
        json array = json::array();
        for (const T& it : list)
            array.push_back(codec<T>::write(it));
        return array;
    }

    static void describe(const schema_key& key, std::vector<schema_key>& keys)
    {
        keys.push_back({key.pointer, "list", key.required});
        codec<T>::describe({key.pointer + "/*", {}, false}, keys);
    }
};

/// Reads an id: 1 to 64 letters, digits and `. _ : @ + -`.
bool read_name(const cursor& at, std::string& name);

template <class Tag>
struct codec<text_id<Tag>>
{
    static std::string_view type() { return "id"; }

    static void read(const cursor& at, text_id<Tag>& id)
    {
        std::string name;
        if (read_name(at, name))
            id = text_id<Tag>(std::move(name));
    }

    static json write(const text_id<Tag>& id) { return id.str(); }

    static void describe(const schema_key& key, std::vector<schema_key>& keys)
    {
        describe_scalar<text_id<Tag>>(key, keys);
    }
};

/// Reads a whole number within the cursor's range.
bool read_integer(const cursor& at, std::int64_t& number);

// Types that are one JSON value: how each is read, written and named. On a
// finding, read_scalar() leaves the value as it was.
void read_scalar(const cursor& at, bool& value);
json write_scalar(const bool& value);
std::string_view type_name(const bool& value);
void read_scalar(const cursor& at, std::string& value);
json write_scalar(const std::string& value);
std::string_view type_name(const std::string& value);
void read_scalar(const cursor& at, std::int64_t& value);
json write_scalar(const std::int64_t& value);
std::string_view type_name(const std::int64_t& value);
void read_scalar(const cursor& at, tokens& value);
json write_scalar(const tokens& value);
std::string_view type_name(const tokens& value);
void read_scalar(const cursor& at, duration& value);
json write_scalar(const duration& value);
std::string_view type_name(const duration& value);
void read_scalar(const cursor& at, share& value);
json write_scalar(const share& value);
std::string_view type_name(const share& value);
void read_scalar(const cursor& at, endpoint& value);
json write_scalar(const endpoint& value);
std::string_view type_name(const endpoint& value);
void read_scalar(const cursor& at, weight& value);
json write_scalar(const weight& value);
std::string_view type_name(const weight& value);
void read_scalar(const cursor& at, target_kind& value);
json write_scalar(const target_kind& value);
std::string_view type_name(const target_kind& value);
void read_scalar(const cursor& at, engine_role& value);
json write_scalar(const engine_role& value);
std::string_view type_name(const engine_role& value);
void read_scalar(const cursor& at, measure& value);
json write_scalar(const measure& value);
std::string_view type_name(const measure& value);

template <class T>
concept scalar = requires(const cursor& at, T& value)
{
    read_scalar(at, value);
};

template <scalar T>
struct codec<T>
{
    static std::string_view type() { return type_name(T{}); }

    static void read(const cursor& at, T& value) { read_scalar(at, value); }

    static json write(const T& value) { return write_scalar(value); }

    static void describe(const schema_key& key, std::vector<schema_key>& keys)
    {
        describe_scalar<T>(key, keys);
    }
};

} // namespace fennelladder::manifest

#endif
