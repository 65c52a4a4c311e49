// What the checker remembers of a history: small records in vectors, names
// replaced by indexes. The rules (rules.hpp) read them when all lines are in.

#ifndef FENNELLADDER_LIBS_HISTORY_TABLES_HPP
#define FENNELLADDER_LIBS_HISTORY_TABLES_HPP

#include "fennelladder/history/checker.hpp"
#include "fennelladder/history/event.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fennelladder::history {

enum class request_index : std::uint32_t
{
};
enum class key_index : std::uint32_t
{
};
enum class budget_index : std::uint32_t
{
};
enum class target_index : std::uint32_t
{
};
enum class node_index : std::uint32_t
{
};
enum class caller_index : std::uint32_t
{
};
enum class kind_index : std::uint32_t
{
};
enum class team_index : std::uint32_t
{
};
enum class bill_index : std::uint32_t
{
};
enum class topup_index : std::uint32_t
{
};

/// Position of an index in the vector of its records.
template <class Index>
constexpr std::size_t position(Index it)
{
    return static_cast<std::size_t>(it);
}

/// Names and the indexes given to them, in order of appearance.
template <class Index>
class name_table
{
public:
    /// The index of a name; a new one at first sight.
    Index index_of(std::string_view name)
    {
        const auto it = indexes_.find(name);
        if (it != indexes_.end())
            return it->second;
        const auto index = static_cast<Index>(names_.size());
        names_.emplace_back(name);
        indexes_.emplace(names_.back(), index);
        return index;
    }

    /// The index of a name that was seen.
    std::optional<Index> find(std::string_view name) const
    {
        const auto it = indexes_.find(name);
        if (it == indexes_.end())
            return std::nullopt;
        return it->second;
    }

    const std::string& name(Index index) const
    {
        return names_[position(index)];
    }

    std::size_t size() const { return names_.size(); }

private:
    std::deque<std::string> names_; // Its elements never move.
    std::unordered_map<std::string_view, Index> indexes_;
};

/// When and where something happened. Line 0: it did not.
struct mark
{
    instant at;
    line_number line = 0;

    bool happened() const { return line != 0; }

    friend auto operator<=>(const mark&, const mark&) = default;
};

struct request_record
{
    mark first_seen; ///< In any event.
    mark sent;
    node_index node{};
    key_index key{};
    kind_index kind{};
    caller_index caller{};
    mark first_dispatch;

    // Chunks so far, in the order of their lines.
    mark last_chunk;
    std::uint64_t chunks = 0;
    std::uint64_t received_up_to = 0;
    bool chunks_fit = true; ///< No gap, no overlap so far.
    std::string digest;     ///< Of the last chunk.

    mark answered;
    std::uint64_t length = 0;
    std::string answer_digest;
    mark not_run;
    mark unknown;
    mark refused;

    /// The caller was told that it did not run.
    bool told_not_run() const
    {
        return not_run.happened() || refused.happened();
    }
};

struct key_record
{
    mark sent; ///< The first request with it.
    team_index team{};
    bool idempotent = false;
};

/// A run of a key at a target, or a node's order to run it.
struct run_record
{
    mark when;
    key_index key{};
    target_index target{};
    std::uint64_t attempt = 0;
};

struct dispatch_record : run_record
{
    request_index request{};
    node_index node{};
};

struct bill_record
{
    mark when;
    bill_index bill{};
    key_index key{};
    budget_index budget{};
    tokens amount;
};

struct topup_record
{
    mark when;
    budget_index budget{};
    tokens amount;
};

struct config_record
{
    mark when;
    fennelladder::generation generation;
    std::string hash;
};

struct node_record
{
    mark first_seen;
    bool serves = false; ///< It wrote something that only nodes write.
    std::vector<config_record> in_force;
    std::vector<mark> shutdown_begins;
    std::vector<mark> shutdown_ends;
    std::vector<mark> deaths;
};

/// Two chunks of one request that don't fit together, or two answers.
struct answer_fault
{
    request_index request{};
    line_number earlier = 0; ///< 0: the fault is at the first chunk.
    line_number later = 0;
    std::string_view what;
};

/// A caller that got part of an answer, not (yet) known to be the right one.
struct receipt
{
    request_index request{};
    caller_index caller{};
    line_number line = 0;
};

/// All that is remembered; filled by `table_writer`.
struct history_tables
{
    name_table<request_index> request_names;
    name_table<key_index> key_names;
    name_table<budget_index> budget_names;
    name_table<target_index> target_names;
    name_table<node_index> node_names;
    name_table<caller_index> caller_names;
    name_table<kind_index> kind_names;
    name_table<team_index> team_names;
    name_table<bill_index> bill_names;
    name_table<topup_index> topup_names;

    // Each has as many elements as its name table.
    std::vector<request_record> requests;
    std::vector<key_record> keys;
    std::vector<node_record> nodes;
    std::vector<mark> leaving;        ///< First announcement, by target.
    std::vector<topup_record> topups; ///< Earliest line of each.

    std::vector<dispatch_record> dispatches;
    std::vector<run_record> executions;
    std::vector<bill_record> bills;
    std::vector<config_record> accepted;
    std::vector<answer_fault> answer_faults;
    std::vector<receipt> receipts;
    std::size_t lines = 0;
    instant last; ///< The latest time in the history.

    const request_record& at(request_index it) const
    {
        return requests[position(it)];
    }

    const key_record& at(key_index it) const { return keys[position(it)]; }

    const node_record& at(node_index it) const { return nodes[position(it)]; }
};

/// A contradiction between lines, found while they are read.
struct contradiction
{
    line_number line = 0;
    std::string message;
};

/// Fills the tables event by event.
class table_writer
{
public:
    table_writer(history_tables& tables,
                 std::vector<contradiction>& contradictions)
        : tables_(tables), contradictions_(contradictions)
    {}

    /// The event of the line with that number.
    void add(line_number line, const event& it);

    /// When all lines are in: looks for what only then can be missing.
    void finish();

private:
    void take(const prepaid& it);
    void take(const sent& it);
    void take(const dispatched& it);
    void take(const executed& it);
    void take(const chunk& it);
    void take(const answered& it);
    void take(const not_run& it);
    void take(const unknown& it);
    void take(const billed& it);
    void take(const refused& it);
    void take(const target_leaving& it);
    void take(const config_accepted& it);
    void take(const config_in_force& it);
    void take(const shutdown_begin& it);
    void take(const shutdown_end& it);
    void take(const died& it);

    request_index find_request(const request_id& id);
    request_record& request(const request_id& id);
    key_index find_key(const request_key& key);
    node_record& serving_node();
    void take_receipt(request_index index, const caller_id& caller);
    void contradict(line_number line, std::string message);

    history_tables& tables_;
    std::vector<contradiction>& contradictions_;

    // The line that is being taken.
    mark now_;
    node_index node_{};
};

} // namespace fennelladder::history

#endif
