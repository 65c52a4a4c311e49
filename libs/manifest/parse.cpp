// The text becomes a JSON tree, the tables of fields read the tree into
// records, and a last pass checks what the records say of each other. All
// three go on after a fault. Each is linear in the size of the text.
//
// The JSON library keeps the last of two equal keys without a word, so that a
// repeated "teams" would silently drop the first one; key_watch looks at the
// keys while the library parses and reports the second.

#include "fennelladder/manifest/parse.hpp"

#include "fields.hpp"
#include "json_codec.hpp"
#include "references.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::manifest {

namespace {

class key_watch
{
public:
    explicit key_watch(finding_sink& sink) : sink_(sink) {}

    void on_event(json::parse_event_t event, const json& parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            count_element();
            open_.emplace_back();
            open_.back().array = event == json::parse_event_t::array_start;
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            open_.pop_back();
            break;
        case json::parse_event_t::key:
            on_key(parsed.get<std::string>());
            break;
        case json::parse_event_t::value:
            count_element();
            break;
        }
    }

private:
    struct level
    {
        bool array = false;
        std::size_t count = 0; ///< Elements begun, of an array.
        std::string key;       ///< The last one read, of an object.
        std::vector<std::string> keys;
    };

    void count_element()
    {
        if (!open_.empty() && open_.back().array)
            ++open_.back().count;
    }

    // Objects of a manifest have a dozen keys, so a list is searched. One
    // with thousands is no manifest; beyond the limit keys aren't compared.
    void on_key(std::string key)
    {
        constexpr std::size_t most_keys = 64;
        auto& keys = open_.back().keys;
        const bool repeated = std::ranges::find(keys, key) != keys.end();
        open_.back().key = key;
        if (repeated)
            sink_.add(event::manifest_duplicate, pointer(),
                      "this key stands in its object a second time");
        else if (keys.size() < most_keys)
            keys.push_back(std::move(key));
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
    const auto callback = [&](int, json::parse_event_t event, json& parsed) {
        keys.on_event(event, parsed);
        return true;
    };
    try {
        return json::parse(text, callback);
    } catch (const json::exception& ec) {
        const auto* syntax = dynamic_cast<const json::parse_error*>(&ec);
        const std::size_t byte = syntax != nullptr ? syntax->byte : 0;
        sink.add(event::manifest_syntax, line_of(text, byte), ec.what());
        return json(json::value_t::discarded);
    }
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
