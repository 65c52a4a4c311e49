// A bucket whose name is also in the previous generation is shared with it,
// so a change of one team reads one bucket. Rows of teams and budgets stay
// bytes until they are asked for; assemble() reads each new one once, so that
// a look-up in the middle of a request is never the first to find it corrupt.

#include "fennelladder/manifest/active_manifest.hpp"

#include "row_search.hpp"
#include "team_bucket.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::manifest {

namespace {

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

// Teams kept parsed, in all and at least in each bucket: all of a small
// deployment's, a share of a large one's.
constexpr std::size_t kept_teams = 2'048;
constexpr std::size_t least_kept_teams = 16;

template <class Bucket>
using buckets = std::vector<std::shared_ptr<const Bucket>>;

// Makes the buckets named by `names`, but takes over those of the same name.
template <class Bucket, class Make>
status load_table(const std::vector<part_hash>& names,
                  const std::vector<part_hash>* old_names,
                  const buckets<Bucket>* old_buckets, const Make& make,
                  buckets<Bucket>& out)
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
        auto made = make(name);
        if (!made)
            return tl::unexpected(made.error());
        out.push_back(std::move(*made));
    }
    return {};
}

// Rows that can be read and stand in order of their ids.
template <class T>
result<std::vector<T>>
read_rows(const part_map& parts, const part_hash& name,
          result<std::vector<T>> (*decode)(std::string_view))
{
    auto rows = decode(*parts.at(name));
    if (rows && !std::ranges::is_sorted(*rows, {}, &T::id))
        return fail(error_code::corrupt, "rows out of order");
    return rows;
}

status check_budgets(const directory& names, const part_map& parts,
                     const part_map* old)
{
    for (const part_hash& name : names.budgets) {
        if (old != nullptr && old->contains(name))
            continue;
        const auto rows = read_rows<budget>(parts, name, &decode_budgets);
        if (!rows)
            return tl::unexpected(rows.error());
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
    using made = result<std::shared_ptr<const team_bucket>>;
    const std::size_t kept =
        std::max(least_kept_teams, kept_teams / directory_.teams.size());
    const auto make = [this, kept](const part_hash& name) -> made {
        const auto rows = read_rows<team>(parts_, name, &decode_teams);
        if (!rows)
            return tl::unexpected(rows.error());
        return std::make_shared<const team_bucket>(parts_.at(name), kept);
    };
    const bool any = previous != nullptr;
    return load_table<team_bucket>(
        directory_.teams, any ? &previous->directory_.teams : nullptr,
        any ? &previous->teams_ : nullptr, make, teams_);
}

status active_manifest::load_targets(const active_manifest* previous)
{
    using list = std::vector<target>;
    using made = result<std::shared_ptr<const list>>;
    const auto make = [this](const part_hash& name) -> made {
        auto rows = read_rows<target>(parts_, name, &decode_targets);
        if (!rows)
            return tl::unexpected(rows.error());
        return std::make_shared<const list>(std::move(*rows));
    };
    const bool any = previous != nullptr;
    return load_table<list>(
        directory_.targets, any ? &previous->directory_.targets : nullptr,
        any ? &previous->targets_ : nullptr, make, targets_);
}

std::shared_ptr<const team> active_manifest::find_team(const team_id& id) const
{
    return teams_[bucket_of(id.str(), teams_.size())]->find(id);
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
    const auto line = find_row(*parts_.at(name), id.str());
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

void active_manifest::for_each_team(
    const std::function<void(const team&)>& visit) const
{
    for (const auto& it : teams_) {
        const auto rows = decode_teams(it->bytes());
        if (!rows)
            continue; // assemble() has read them all.
        std::ranges::for_each(*rows, visit);
    }
}

void active_manifest::for_each_budget(
    const std::function<void(const budget&)>& visit) const
{
    for (const part_hash& name : directory_.budgets) {
        const auto rows = decode_budgets(*parts_.at(name));
        if (!rows)
            continue; // assemble() has read them all.
        std::ranges::for_each(*rows, visit);
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
