// `fennelladder bench journal`: cost and latency of the journal.
//
// Three parts. Groups: a fleet in virtual time commits records of 64 bytes.
// Reports platform calls, bytes and latency for each flush interval, compared
// with two alternatives in the same run: the state of a shard as one object
// that is written whole, conditional on its version, and one conditional write
// per record. Cost: CPU time per record, at four batch sizes. Recovery: calls,
// bytes and time of a reader without any state, by log length and by size of
// the state.
//
// The shards' owners are real committers. Other nodes are simulated by the
// records that reach the owner: batched for the forward interval, and delivered
// one network delay later. A platform call takes a fixed time, added to the
// time at which the committer flushed.

#include "benches.hpp"
#include "command.hpp"

#include "fennelladder/journal/group_committer.hpp"
#include "fennelladder/settings/settings.hpp"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace fennelladder::app {

namespace {

using namespace fennelladder::journal;
using nlohmann::json;

constexpr std::size_t payload_bytes = 64;
constexpr duration network_delay = milliseconds(1);
constexpr duration platform_call_time = milliseconds(5);
constexpr instant start = from_nanoseconds(1'000'000'000);

/// A store that keeps no history of changes, so that the memory of a benchmark
/// is that of the objects. Not thread safe.
class current_object_store final : public platform::object_store
{
public:
    result<platform::stored_object>
    get(const platform::object_key& key) override
    {
        const auto it = objects_.find(key);
        if (it == objects_.end())
            return fail(error_code::not_found, key.str());
        return it->second;
    }

    result<object_version> put(const platform::object_key& key,
                               std::string_view value,
                               platform::write_condition condition) override
    {
        using kind = platform::write_condition::kind;
        if (value.size() > platform::max_value_bytes)
            return fail(error_code::too_large, key.str());
        platform::stored_object& stored = objects_[key];
        const bool exists = stored.version.value() > 0;
        if (condition.which() == kind::absent && exists)
            return fail(error_code::conflict, key.str());
        if (condition.which() == kind::version &&
            stored.version != condition.version())
            return fail(error_code::conflict, key.str());
        stored = {key, std::string(value), object_version(++revision_)};
        return stored.version;
    }

    status erase(const platform::object_key& key,
                 platform::write_condition /*condition*/) override
    {
        objects_.erase(key);
        return {};
    }

    result<platform::object_page> list(std::string_view prefix,
                                       const platform::object_key& after,
                                       std::size_t limit) override
    {
        constexpr std::size_t page_bytes = 4'000'000;
        platform::object_page page;
        std::size_t bytes = 0;
        const platform::object_key first{std::string(prefix)};
        auto it = after < first ? objects_.lower_bound(first)
                                : objects_.upper_bound(after);
        for (; it != objects_.end() && it->first.str().starts_with(prefix);
             ++it) {
            page.more = page.objects.size() >= limit || bytes >= page_bytes;
            if (page.more)
                break;
            bytes += it->second.value.size();
            page.objects.push_back(it->second);
        }
        return page;
    }

    result<platform::change_page> watch(std::string_view /*prefix*/,
                                        std::uint64_t /*revision*/,
                                        duration /*wait*/) override
    {
        return fail(error_code::unavailable,
                    "the benchmark's store has no watches");
    }

private:
    std::map<platform::object_key, platform::stored_object> objects_;
    std::uint64_t revision_ = 0;
};

/// A state of accounts of 24 bytes each. A record adds 1 to the account that
/// its payload selects.
class accounts final : public folded_state
{
public:
    explicit accounts(std::size_t count) : all_(count) {}

    verdict apply(const record& added) override
    {
        std::uint64_t at = 0;
        std::memcpy(&at, added.payload.data(), sizeof(at));
        account& it = all_[at % all_.size()];
        it.spent += 1;
        it.last = added.mark.sequence;
        return {true, {}, {}};
    }

    std::string encode() const override
    {
        std::string bytes(all_.size() * sizeof(account), '\0');
        std::memcpy(bytes.data(), all_.data(), bytes.size());
        return bytes;
    }

    status decode(std::string_view bytes) override
    {
        if (bytes.size() != all_.size() * sizeof(account))
            return fail(error_code::corrupt, "size of accounts");
        std::memcpy(all_.data(), bytes.data(), bytes.size());
        return {};
    }

private:
    struct account
    {
        std::uint64_t spent = 0;
        std::uint64_t last = 0;
        std::uint64_t spare = 0;
    };

    std::vector<account> all_;
};

state_factory make_accounts(std::size_t count)
{
    return [count] { return std::make_unique<accounts>(count); };
}

std::string random_payload(random_source& random)
{
    std::string payload(payload_bytes, '\0');
    const std::uint64_t account = random.bits();
    std::memcpy(payload.data(), &account, sizeof(account));
    return payload;
}

/// Sizes of a simulated fleet.
struct fleet_size
{
    std::uint64_t nodes = 0;
    std::uint32_t shards = 0;
    double records_per_second = 0;
    std::size_t budgets = 0;
    duration length = {};

    std::size_t budgets_per_shard() const
    {
        return std::max<std::size_t>(budgets / shards, 1);
    }
};

double percentile(std::vector<duration>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    const double last = static_cast<double>(sorted.size() - 1);
    const auto at = static_cast<std::size_t>(share * last);
    return to_seconds(sorted[at]) * 1e3;
}

/// Simulates a fleet whose nodes forward their records to the shards' owners.
class group_run
{
public:
    group_run(const fleet_size& size, duration flush_interval)
        : size_(size), random_(7), next_(size.nodes * size.shards, 0),
          waiting_(size.nodes * size.shards)
    {
        options_.flush_interval = flush_interval;
        options_.max_pending_bytes = 50'000'000;
        const journal_layout layout{"bench", size.shards, 4096};
        for (std::uint32_t n = 0; n < size.shards; ++n)
            owners_.push_back(std::make_unique<group_committer>(
                store_, layout, shard_id(n), incarnation_id("owner"),
                make_accounts(size.budgets_per_shard()), owner_ranking(),
                nullptr, n, options_));
    }

    json run()
    {
        const double mean = 1 / size_.records_per_second;
        instant next_record = start;
        const instant end = start + size_.length;
        for (instant now = start; now < end; now += milliseconds(1)) {
            for (; next_record <= now;
                 next_record += from_seconds(random_.exponential(mean)))
                add_record(next_record);
            forward_records(now);
            for (auto& it : owners_)
                tick(*it, now);
        }
        return report();
    }

private:
    struct group
    {
        std::vector<record> records;
        std::vector<instant> since;
    };

    struct message
    {
        instant arrives;
        std::size_t shard;
        group what;
    };

    void add_record(instant now)
    {
        const std::uint64_t node = random_.below(size_.nodes);
        const std::uint64_t shard = random_.below(size_.shards);
        const std::size_t at = node * size_.shards + shard;
        group& it = waiting_[at];
        if (it.records.empty())
            due_.emplace(now + options_.forward_interval, at);
        const std::uint64_t sequence = ++next_[at];
        const record_mark mark{incarnation_id("host-" + std::to_string(node) +
                                              ".18c2f0a97b3d1e44"),
                               sequence, sequence - it.records.size() - 1, 0};
        it.records.push_back({mark, 1, random_payload(random_)});
        it.since.push_back(now);
    }

    void forward_records(instant now)
    {
        while (!due_.empty() && due_.begin()->first <= now) {
            const std::size_t at = due_.begin()->second;
            due_.erase(due_.begin());
            in_flight_.push_back({now + network_delay, at % size_.shards,
                                  std::exchange(waiting_[at], {})});
        }
        while (!in_flight_.empty() && in_flight_.front().arrives <= now) {
            message it = std::move(in_flight_.front());
            in_flight_.pop_front();
            auto on_committed = [this,
                                 since = std::move(it.what.since)](auto made) {
                if (made)
                    committed_.insert(committed_.end(), since.begin(),
                                      since.end());
                else
                    ++failed_;
            };
            if (!owners_[it.shard]->gather(std::move(it.what.records),
                                           std::move(on_committed), now))
                ++failed_;
        }
    }

    // Writers learn the outcome of a flush when its calls have finished.
    void tick(group_committer& owner, instant now)
    {
        const std::uint64_t before = owner.figures().calls.append;
        owner.tick(now);
        const std::uint64_t calls = owner.figures().calls.append - before;
        const duration commit_delay =
            platform_call_time *
                static_cast<std::int64_t>(std::max<std::uint64_t>(calls, 1)) +
            network_delay;
        for (const instant since : committed_)
            latencies_.push_back(now + commit_delay - since);
        committed_.clear();
    }

    json report()
    {
        journal_calls calls;
        for (const auto& it : owners_)
            calls += it->figures().calls;
        const double seconds = to_seconds(size_.length);
        const auto rate = [seconds](std::uint64_t count) {
            return static_cast<double>(count) / seconds;
        };
        std::ranges::sort(latencies_);
        return {
            {"way", "journal"},
            {"flush_ms", to_seconds(options_.flush_interval) * 1e3},
            {"records_per_second", rate(latencies_.size())},
            {"failed_groups", failed_},
            {"calls_per_second", rate(calls.total())},
            {"writes_per_second", rate(calls.writes())},
            {"segments_per_second", rate(calls.append)},
            {"checkpoint_writes_per_second",
             rate(calls.root + calls.chunk + calls.erase)},
            {"bytes_written_per_second", rate(calls.bytes_written)},
            {"latency_ms_p50", percentile(latencies_, 0.5)},
            {"latency_ms_p99", percentile(latencies_, 0.99)},
        };
    }

    fleet_size size_;
    committer_options options_;
    current_object_store store_;
    random_source random_;
    std::vector<std::unique_ptr<group_committer>> owners_;
    std::vector<std::uint64_t> next_; // per node and shard
    std::vector<group> waiting_;      // per node and shard
    std::multimap<instant, std::size_t> due_;
    std::deque<message> in_flight_;
    std::vector<instant> committed_; // by the current tick
    std::vector<duration> latencies_;
    std::uint64_t failed_ = 0;
};

/// Commits the same records by writing a shard's whole state as one object.
json run_whole_state(const fleet_size& size, duration flush_interval)
{
    current_object_store store;
    random_source random(7);
    const auto state = make_accounts(size.budgets_per_shard())();
    const platform::object_key key("state");
    std::uint64_t writes = 0;
    std::uint64_t bytes = 0;
    std::uint64_t refused = 0;
    const double group =
        size.records_per_second / size.shards * to_seconds(flush_interval);
    object_version version;
    double due = 0;
    // Runs one shard and scales the result, since all shards are alike.
    for (duration at{}; at < size.length; at += flush_interval) {
        for (due += group; due >= 1; due -= 1)
            state->apply(
                {{incarnation_id("w"), 1, 0, 0}, 1, random_payload(random)});
        const std::string value = state->encode();
        const auto made =
            store.put(key, value,
                      version.value() == 0
                          ? platform::write_condition::absent()
                          : platform::write_condition::unchanged(version));
        ++writes;
        bytes += value.size();
        if (made)
            version = *made;
        else
            ++refused;
    }
    const double scale = size.shards / to_seconds(size.length);
    return {{"way", "whole_state"},
            {"flush_ms", to_seconds(flush_interval) * 1e3},
            {"calls_per_second", static_cast<double>(writes) * scale},
            {"writes_per_second", static_cast<double>(writes) * scale},
            {"refused_writes", refused},
            {"bytes_written_per_second", static_cast<double>(bytes) * scale}};
}

/// Commits the same records with one conditional write each.
json run_write_per_record(const fleet_size& size)
{
    current_object_store store;
    random_source random(7);
    const auto count = static_cast<std::uint64_t>(size.records_per_second);
    std::uint64_t bytes = 0;
    std::uint64_t made = 0;
    for (std::uint64_t n = 0; n < count; ++n) { // records of 1 s
        const std::string value = random_payload(random);
        made += store
                    .put(platform::object_key("r" + std::to_string(n)), value,
                         platform::write_condition::absent())
                    .has_value();
        bytes += value.size();
    }
    return {{"way", "write_per_record"},
            {"calls_per_second", made},
            {"writes_per_second", made},
            {"bytes_written_per_second", bytes}};
}

double milliseconds_since(std::chrono::steady_clock::time_point began)
{
    const auto elapsed = std::chrono::steady_clock::now() - began;
    return std::chrono::duration<double, std::milli>(elapsed).count();
}

struct filled_log
{
    current_object_store store;
    journal_layout layout{"bench", 1, 4096};
    std::size_t budgets = 1000;
    std::uint64_t next = 1;
    random_source random{7};

    shard_log open()
    {
        return {store, layout, shard_id(0), make_accounts(budgets), 1};
    }

    /// Appends segments and returns the time in milliseconds; -1 on failure.
    double fill(shard_log& log, std::size_t segments, std::size_t batch)
    {
        double elapsed_ms = 0;
        for (std::size_t n = 0; n < segments; ++n) {
            std::vector<record> records_to_append;
            for (std::size_t k = 0; k < batch; ++k, ++next)
                records_to_append.push_back(
                    {{incarnation_id("host-1.18c2f0a97b3d1e44"), next,
                      next - k - 1, 0},
                     1,
                     random_payload(random)});
            const auto began = std::chrono::steady_clock::now();
            if (!log.append(std::move(records_to_append)))
                return -1;
            elapsed_ms += milliseconds_since(began);
        }
        return elapsed_ms;
    }
};

json measure_cost(std::size_t batch)
{
    constexpr std::size_t records = 100'000;
    const std::size_t segments = std::min<std::size_t>(records / batch, 4000);
    filled_log made;
    shard_log log = made.open();
    const double append_ms = made.fill(log, segments, batch);
    shard_log reader = made.open();
    const auto began = std::chrono::steady_clock::now();
    const bool read = reader.recover().has_value();
    const double elapsed_ms = milliseconds_since(began);
    const double per_record = 1e6 / static_cast<double>(segments * batch);
    return {
        {"records_per_segment", batch},
        {"ok", read && reader.position() == segments},
        {"append_ns_per_record", append_ms * per_record},
        {"decode_and_fold_ns_per_record", elapsed_ms * per_record},
        {"bytes_per_record", static_cast<double>(log.calls().bytes_written) /
                                 static_cast<double>(segments * batch)}};
}

json measure_recovery(std::size_t segments, std::size_t budgets)
{
    filled_log made;
    made.budgets = budgets;
    shard_log log = made.open();
    const bool filled = made.fill(log, 1, 26) >= 0;
    const bool checkpointed = log.checkpoint().has_value();
    made.fill(log, segments, 26);
    shard_log reader = made.open();
    const auto began = std::chrono::steady_clock::now();
    const bool read = reader.recover().has_value();
    const double elapsed_ms = milliseconds_since(began);
    return {{"segments", segments},
            {"budgets", budgets},
            {"ok", filled && checkpointed && read &&
                       reader.position() == segments + 1},
            {"ms", elapsed_ms},
            {"calls", reader.calls().total()},
            {"bytes_read", reader.calls().bytes_read}};
}

json measure(const fleet_size& size)
{
    json report;
    report["fleet"] = {{"nodes", size.nodes},
                       {"shards", size.shards},
                       {"records_per_second", size.records_per_second},
                       {"budgets", size.budgets},
                       {"virtual_seconds", to_seconds(size.length)}};
    for (const int ms : {20, 50, 100, 250}) {
        report["groups"].push_back(group_run(size, milliseconds(ms)).run());
        report["groups"].push_back(run_whole_state(size, milliseconds(ms)));
    }
    report["groups"].push_back(run_write_per_record(size));
    for (const std::size_t batch : {1, 10, 100, 1000})
        report["cost"].push_back(measure_cost(batch));
    for (const std::size_t segments : {16, 64, 256, 1024})
        report["recovery"].push_back(measure_recovery(segments, 20'000));
    for (const std::size_t budgets : {1'000, 10'000, 100'000, 350'000})
        report["recovery"].push_back(measure_recovery(16, budgets));
    return report;
}

void print_text(const json& report)
{
    for (const auto& [part, rows] : report.items()) {
        std::cout << part << '\n';
        if (!rows.is_array()) {
            std::cout << "  " << rows.dump() << '\n';
            continue;
        }
        for (const json& row : rows)
            std::cout << "  " << row.dump() << '\n';
    }
}

} // namespace

int run_bench_journal(int argc, char** argv)
{
    settings::settings flags(
        "bench journal", "Platform calls, bytes and latency of the journal.");
    flags.choice("format", {"text", "json"}, "format of the results");
    flags.number({.name = "nodes",
                  .fallback = 340,
                  .low = 1,
                  .high = 1000,
                  .unit = "nodes",
                  .help = "nodes that write"});
    flags.number({.name = "shards",
                  .fallback = 16,
                  .low = 1,
                  .high = 256,
                  .unit = "shards",
                  .help = "shards of the journal"});
    flags.number({.name = "records",
                  .fallback = 4200,
                  .low = 1,
                  .high = 100'000,
                  .unit = "records/s",
                  .help = "records per second of the whole fleet"});
    flags.number({.name = "budgets",
                  .fallback = 350'000,
                  .low = 1,
                  .high = 2'000'000,
                  .unit = "budgets",
                  .help = "budgets of the whole fleet"});
    flags.number({.name = "seconds",
                  .fallback = 60,
                  .low = 1,
                  .high = 3600,
                  .unit = "s",
                  .help = "virtual time of a fleet's run"});
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    fleet_size size;
    size.nodes = static_cast<std::uint64_t>(flags.number_of("nodes"));
    size.shards = static_cast<std::uint32_t>(flags.number_of("shards"));
    size.records_per_second = static_cast<double>(flags.number_of("records"));
    size.budgets = static_cast<std::size_t>(flags.number_of("budgets"));
    size.length = seconds(flags.number_of("seconds"));
    const json report = measure(size);
    if (flags.text_of("format") == "json")
        std::cout << report.dump(2) << '\n';
    else
        print_text(report);
    return exit_success;
}

} // namespace fennelladder::app
