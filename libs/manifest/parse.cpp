// A first walk checks syntax and keys. Then the text becomes a JSON tree, the
// tables of fields read the tree into records, and a last pass checks what the
// records say of each other. All go on after a fault but the first, which
// can't. Each is linear in the size of the text.
//
// The JSON library keeps the last of two equal keys without a word, so that a
// repeated "teams" would silently drop the first one; hence the first walk.
// (The library's parse with a callback would do in one, but takes time
// quadratic in the length of a list: minutes for 350,000 budgets.)

#include "fennelladder/manifest/parse.hpp"

#include "fields.hpp"
#include "json_codec.hpp"
#include "references.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::manifest {

namespace {

// Walks the text without building anything.
class key_watch final : public json::json_sax_t
{
public:
    explicit key_watch(finding_sink& sink) : sink_(sink) {}

    bool null() override { return count_element(); }
    bool boolean(bool) override { return count_element(); }
    bool number_integer(number_integer_t) override { return count_element(); }
    bool number_unsigned(number_unsigned_t) override { return count_element(); }
    bool number_float(number_float_t, const string_t&) override
    {
        return count_element();
    }
    bool string(string_t&) override { return count_element(); }
    bool binary(binary_t&) override { return count_element(); }

    bool start_object(std::size_t) override { return open(false); }
    bool start_array(std::size_t) override { return open(true); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    // Objects of a manifest have a dozen keys, so a list is searched. One
    // with thousands is no manifest; beyond the limit keys aren't compared.
    bool key(string_t& name) override
    {
        constexpr std::size_t most_keys = 64;
        auto& keys = open_.back().keys;
        const bool repeated = std::ranges::find(keys, name) != keys.end();
        open_.back().key = name;
        if (repeated)
            sink_.add(event::manifest_duplicate, pointer(),
                      "this key stands in its object a second time");
        else if (keys.size() < most_keys)
            keys.push_back(name);
        return true;
    }

    bool parse_error(std::size_t byte, const std::string&,
                     const json::exception& ec) override
    {
        byte_ = byte;
        message_ = ec.what();
        return false;
    }

    /// Where and why parsing stopped, after it did.
    std::size_t byte() const { return byte_; }
    const std::string& message() const { return message_; }

private:
    struct level
    {
        bool array = false;
        std::size_t count = 0; ///< Elements begun, of an array.
        std::string key;       ///< The last one read, of an object.
        std::vector<std::string> keys;
    };

    bool open(bool array)
    {
        count_element();
        open_.emplace_back();
        open_.back().array = array;
        return true;
    }

    bool close()
    {
        open_.pop_back();
        return true;
    }

    bool count_element()
    {
        if (!open_.empty() && open_.back().array)
            ++open_.back().count;
        return true;
    }

    std::string pointer() const
    {
        std::string text;
        for (const level& it : open_)
            text += "/" + (it.array ? std::to_string(it.count - 1) : it.key);
        return text;
    }

    finding_sink& sink_;
    std::vector<level> open_;
    std::size_t byte_ = 0;
    std::string message_;
};

std::string line_of(std::string_view text, std::size_t byte)
{
    const auto end = text.begin() + std::ptrdiff_t(std::min(byte, text.size()));
    return "line " + std::to_string(1 + std::count(text.begin(), end, '\n'));
}

// The JSON tree; a discarded value after a syntax error.
json parse_tree(std::string_view text, finding_sink& sink)
{
    key_watch keys(sink);
    if (json::sax_parse(text, &keys))
        return json::parse(text);
    sink.add(event::manifest_syntax, line_of(text, keys.byte()),
             keys.message());
    return json(json::value_t::discarded);
}

template <class T>
void sort_by_id(std::vector<T>& list)
{
    std::ranges::stable_sort(list, {}, &T::id);
}

} // namespace

parse_outcome parse(std::string_view text, std::string_view source)
{
    parse_outcome outcome;
    finding_sink sink{outcome.found, std::string(source)};
    const json tree = parse_tree(text, sink);
    if (tree.is_discarded())
        return outcome;
    document manifest;
    codec<document>::read(cursor(tree, sink), manifest);
    check_references(manifest, sink);
    if (outcome.found.empty())
        outcome.manifest = std::move(manifest);
    return outcome;
}

void sort_lists(document& manifest)
{
    sort_by_id(manifest.caller_kinds);
    sort_by_id(manifest.objectives);
    sort_by_id(manifest.models);
    sort_by_id(manifest.services);
    sort_by_id(manifest.teams);
    sort_by_id(manifest.budgets);
    sort_by_id(manifest.targets);
}

std::string encode(const document& manifest)
{
    document sorted = manifest;
    sort_lists(sorted);
    return codec<document>::write(sorted).dump();
}

std::vector<schema_key> schema()
{
    std::vector<schema_key> keys;
    codec<document>::describe({}, keys);
    keys.erase(keys.begin()); // The document itself.
    return keys;
}

} // namespace fennelladder::manifest
