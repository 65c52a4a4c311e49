// A bucket whose name is also in the previous generation is shared with it,
// so a change of one team parses one bucket. Budgets are found by binary
// search over the lines of their bucket's bytes: lines are sorted by id, and
// an id has no character that JSON would escape.

#include "fennelladder/manifest/active_manifest.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::manifest {

namespace {

// The id of a line ["id",...].
std::string_view id_of_line(std::string_view line)
{
    constexpr std::size_t start = 2;
    return line.substr(start, line.find('"', start) - start);
}

// The line of `bytes` whose id is `id`, or an empty view.
std::string_view find_line(std::string_view bytes, std::string_view id)
{
    std::size_t low = 0; // Both are starts of lines or the end of bytes.
    std::size_t high = bytes.size();
    while (low < high) {
        const std::size_t middle = low + (high - low) / 2;
        const std::size_t before = bytes.rfind('\n', middle);
        const bool first = before == std::string_view::npos || before < low;
        std::size_t start = first ? low : before + 1;
        if (start >= high)
            start = low;
        const std::size_t end = bytes.find('\n', start);
        const auto line = bytes.substr(start, end - start);
        const auto found = id_of_line(line);
        if (found == id)
            return line;
        if (found < id)
            low = end + 1;
        else
            high = start;
    }
    return {};
}

template <class T>
const T* find_sorted(const std::vector<T>& list, std::string_view id)
{
    const auto it = std::ranges::lower_bound(list, id, {}, [](const T& one) {
        return std::string_view(one.id.str());
    });
    return it != list.end() && it->id.str() == id ? &*it : nullptr;
}

template <class T, class Id>
const T* find_linear(const std::vector<T>& list, const Id& id)
{
    const auto it = std::ranges::find(list, id, &T::id);
    return it == list.end() ? nullptr : &*it;
}

template <class T>
using buckets = std::vector<std::shared_ptr<const std::vector<T>>>;

// Parses the buckets named by `names`, but takes over those of the same name.
template <class T>
status load_table(const std::vector<part_hash>& names, const part_map& parts,
                  const std::vector<part_hash>* old_names,
                  const buckets<T>* old_buckets,
                  result<std::vector<T>> (*decode)(std::string_view),
                  buckets<T>& out)
{
    std::unordered_map<part_hash, std::size_t> old;
    if (old_names != nullptr) {
        for (std::size_t n = 0; n < old_names->size(); ++n)
            old.emplace((*old_names)[n], n);
    }
    out.reserve(names.size());
    for (const part_hash& name : names) {
        const auto same = old.find(name);
        if (same != old.end()) {
            out.push_back((*old_buckets)[same->second]);
            continue;
        }
        auto list = decode(*parts.at(name));
        if (!list)
            return tl::unexpected(list.error());
        if (!std::ranges::is_sorted(*list, {}, &T::id))
            return fail(error_code::corrupt, "rows out of order");
        out.push_back(std::make_shared<const std::vector<T>>(std::move(*list)));
    }
    return {};
}

// Every row of a bucket that is parsed on demand must be readable, or a
// look-up in the middle of a request would be the first to learn of it.
status check_budgets(const directory& names, const part_map& parts,
                     const part_map* old)
{
    for (const part_hash& name : names.budgets) {
        if (old != nullptr && old->contains(name))
            continue;
        const auto rows = decode_budgets(*parts.at(name));
        if (!rows)
            return tl::unexpected(rows.error());
        if (!std::ranges::is_sorted(*rows, {}, &budget::id))
            return fail(error_code::corrupt, "budgets out of order");
    }
    return {};
}

} // namespace

result<std::shared_ptr<const active_manifest>>
active_manifest::assemble(const root& accepted, const part_map& parts,
                          const active_manifest* previous)
{
    const std::shared_ptr<active_manifest> made(new active_manifest);
    made->root_ = accepted;
    made->hash_ = accepted.hash();
    const auto names_part = parts.find(accepted.directory);
    if (names_part == parts.end())
        return fail(error_code::corrupt, "no directory");
    auto names = decode_directory(*names_part->second);
    if (!names)
        return tl::unexpected(names.error());
    made->directory_ = std::move(*names);
    made->parts_.insert(*names_part);
    for (const part_hash& it : made->directory_.all()) {
        const auto part = parts.find(it);
        if (part == parts.end())
            return fail(error_code::corrupt, "no part " + it.str());
        made->parts_.insert(*part);
    }
    status ok = made->load_base(previous);
    if (ok)
        ok = made->load_teams(previous);
    if (ok)
        ok = made->load_targets(previous);
    if (ok)
        ok = check_budgets(made->directory_, made->parts_,
                           previous != nullptr ? &previous->parts_ : nullptr);
    if (!ok)
        return tl::unexpected(ok.error());
    return made;
}

status active_manifest::load_base(const active_manifest* previous)
{
    if (previous != nullptr && previous->directory_.base == directory_.base) {
        base_ = previous->base_;
        return {};
    }
    auto base = decode_base(*parts_.at(directory_.base));
    if (!base)
        return tl::unexpected(base.error());
    base_ = std::make_shared<const document>(std::move(*base));
    return {};
}

status active_manifest::load_teams(const active_manifest* previous)
{
    const bool any = previous != nullptr;
    return load_table<team>(
        directory_.teams, parts_, any ? &previous->directory_.teams : nullptr,
        any ? &previous->teams_ : nullptr, &decode_teams, teams_);
}

status active_manifest::load_targets(const active_manifest* previous)
{
    const bool any = previous != nullptr;
    return load_table<target>(directory_.targets, parts_,
                              any ? &previous->directory_.targets : nullptr,
                              any ? &previous->targets_ : nullptr,
                              &decode_targets, targets_);
}

const team* active_manifest::find_team(const team_id& id) const
{
    return find_sorted(*teams_[bucket_of(id.str(), teams_.size())], id.str());
}

const target* active_manifest::find_target(const target_id& id) const
{
    return find_sorted(*targets_[bucket_of(id.str(), targets_.size())],
                       id.str());
}

std::optional<budget> active_manifest::find_budget(const budget_id& id) const
{
    const auto& names = directory_.budgets;
    const part_hash& name = names[bucket_of(id.str(), names.size())];
    const auto line = find_line(*parts_.at(name), id.str());
    if (line.empty())
        return std::nullopt;
    auto found = decode_budget_row(line);
    return found ? std::optional(std::move(*found)) : std::nullopt;
}

const caller_kind_policy*
active_manifest::find_caller_kind(const caller_kind& id) const
{
    return find_linear(base_->caller_kinds, id);
}

const model* active_manifest::find_model(const model_id& id) const
{
    return find_linear(base_->models, id);
}

const service* active_manifest::find_service(const service_id& id) const
{
    return find_linear(base_->services, id);
}

const service_call* active_manifest::find_call(const service_id& id,
                                               const call_name& name) const
{
    const service* it = find_service(id);
    if (it == nullptr)
        return nullptr;
    const auto call = std::ranges::find(it->calls, name, &service_call::name);
    return call == it->calls.end() ? nullptr : &*call;
}

std::vector<const target*> active_manifest::targets() const
{
    std::vector<const target*> all;
    for (const auto& list : targets_) {
        for (const target& it : *list)
            all.push_back(&it);
    }
    return all;
}

std::vector<const team*> active_manifest::teams() const
{
    std::vector<const team*> all;
    for (const auto& list : teams_) {
        for (const team& it : *list)
            all.push_back(&it);
    }
    return all;
}

void active_manifest::for_each_budget(
    const std::function<void(const budget&)>& visit) const
{
    for (const part_hash& name : directory_.budgets) {
        const auto rows = decode_budgets(*parts_.at(name));
        if (!rows)
            continue; // assemble() has read them all.
        for (const budget& it : *rows)
            visit(it);
    }
}

std::size_t active_manifest::held_bytes() const
{
    std::size_t sum = 0;
    for (const auto& [name, bytes] : parts_)
        sum += bytes->size();
    return sum;
}

} // namespace fennelladder::manifest
