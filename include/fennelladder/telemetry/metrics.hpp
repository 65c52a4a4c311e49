// Counters, gauges and summaries, served in the Prometheus text format.
//
//     metrics registry;
//     counter& answered = registry.counter_of(
//         "fennelladder_requests_total", {{"outcome", "answered"}});
//     answered.add();
//     std::string page = registry.to_prometheus();
//
// Look up a metric once and keep the reference: lookup locks the registry, use
// doesn't (a summary has a lock of its own). References stay valid as long as
// the registry. The number of series is bounded; further ones share an overflow
// series per name, so that an unbounded set of label values can't exhaust
// memory.

#ifndef FENNELLADDER_TELEMETRY_METRICS_HPP
#define FENNELLADDER_TELEMETRY_METRICS_HPP

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace fennelladder::telemetry {

/// One label of a series.
struct label
{
    std::string name;
    std::string value;

    friend auto operator<=>(const label&, const label&) = default;
};

using labels = std::vector<label>;

/// A monotonically increasing number. Thread safe.
class counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A number that can rise and fall. Thread safe.
class gauge
{
public:
    void set(std::int64_t value)
    {
        value_.store(value, std::memory_order_relaxed);
    }

    void add(std::int64_t amount)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }

    std::int64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> value_{0};
};

/// Count, sum and quantiles of a stream of values, in constant memory
/// (Boost.Accumulators, P-square). Thread safe.
class summary
{
public:
    summary();
    ~summary();
    summary(const summary&) = delete;
    summary& operator=(const summary&) = delete;

    /// Adds a value. Durations are in seconds.
    void observe(double value);

    std::uint64_t count() const;
    double sum() const;

    /// Estimated quantile; 0 without values. Precondition: `probability` is
    /// 0.5, 0.95 or 0.99.
    double quantile(double probability) const;

private:
    struct state;
    mutable std::mutex mutex_;
    std::unique_ptr<state> state_;
};

/// Registry of all series of a process. Thread safe.
class metrics
{
public:
    /// For counters, gauges and summaries each; overflow series not counted.
    static constexpr std::size_t max_series = 20'000;

    counter& counter_of(const std::string& name, const labels& label_set = {});
    gauge& gauge_of(const std::string& name, const labels& label_set = {});
    summary& summary_of(const std::string& name, const labels& label_set = {});

    /// All series in the Prometheus text format: counters, gauges, then
    /// summaries, each sorted by name.
    std::string to_prometheus() const;

private:
    using series_key = std::pair<std::string, labels>;

    template <class Metric>
    using table = std::map<series_key, std::unique_ptr<Metric>>;

    template <class Metric>
    Metric& find(table<Metric>& all, const std::string& name,
                 const labels& label_set);

    mutable std::mutex mutex_; // Guards the tables, not the metrics in them.
    table<counter> counters_;
    table<gauge> gauges_;
    table<summary> summaries_;
};

} // namespace fennelladder::telemetry

#endif
