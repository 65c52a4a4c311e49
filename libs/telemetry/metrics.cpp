// Quantiles come from the extended P-square algorithm of Boost.Accumulators,
// which takes constant memory and constant time per value, but only estimates.
// Benchmarks that need exact quantiles keep all values and sort them.

#include "fennelladder/telemetry/metrics.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cassert>
#include <sstream>
#include <string_view>

namespace fennelladder::telemetry {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};

std::string escaped(const std::string& value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            text += '\\';
        if (c == '\n')
            text += "\\n";
        else
            text += c;
    }
    return text;
}

std::string format_labels(const labels& label_set)
{
    if (label_set.empty())
        return "";
    std::string text = "{";
    for (const label& it : label_set) {
        if (text.size() > 1)
            text += ",";
        text += it.name + "=\"" + escaped(it.value) + "\"";
    }
    return text + "}";
}

void write_type(std::ostream& out, std::string& last, const std::string& name,
                std::string_view type)
{
    if (name == last)
        return;
    out << "# TYPE " << name << ' ' << type << '\n';
    last = name;
}

} // namespace

struct summary::state
{
    using set = accumulators::accumulator_set<
        double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                            accumulators::tag::extended_p_square>>;

    set values{
        accumulators::extended_p_square_probabilities =
            std::vector<double>(probabilities.begin(), probabilities.end())};
};

summary::summary() : state_(std::make_unique<state>())
{}

summary::~summary() = default;

void summary::observe(double value)
{
    const std::lock_guard lock(mutex_);
    state_->values(value);
}

std::uint64_t summary::count() const
{
    const std::lock_guard lock(mutex_);
    return accumulators::count(state_->values);
}

double summary::sum() const
{
    const std::lock_guard lock(mutex_);
    return accumulators::sum(state_->values);
}

double summary::quantile(double probability) const
{
    const std::lock_guard lock(mutex_);
    if (accumulators::count(state_->values) == 0)
        return 0;
    const auto quantiles = accumulators::extended_p_square(state_->values);
    for (std::size_t n = 0; n < probabilities.size(); ++n) {
        if (probabilities[n] == probability)
            return quantiles[static_cast<std::ptrdiff_t>(n)];
    }
    assert(false);
    return 0;
}

template <class Metric>
Metric& metrics::find(table<Metric>& all, const std::string& name,
                      const labels& label_set)
{
    const std::lock_guard lock(mutex_);
    series_key key{name, label_set};
    auto it = all.find(key);
    if (it == all.end()) {
        if (all.size() >= max_series)
            key.second = {{"overflow", "true"}};
        it = all.try_emplace(std::move(key)).first;
        if (!it->second)
            it->second = std::make_unique<Metric>();
    }
    return *it->second;
}

counter& metrics::counter_of(const std::string& name, const labels& label_set)
{
    return find(counters_, name, label_set);
}

gauge& metrics::gauge_of(const std::string& name, const labels& label_set)
{
    return find(gauges_, name, label_set);
}

summary& metrics::summary_of(const std::string& name, const labels& label_set)
{
    return find(summaries_, name, label_set);
}

std::string metrics::to_prometheus() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    std::string last;
    for (const auto& [key, it] : counters_) {
        write_type(out, last, key.first, "counter");
        out << key.first << format_labels(key.second) << ' ' << it->value()
            << '\n';
    }
    for (const auto& [key, it] : gauges_) {
        write_type(out, last, key.first, "gauge");
        out << key.first << format_labels(key.second) << ' ' << it->value()
            << '\n';
    }
    for (const auto& [key, it] : summaries_) {
        write_type(out, last, key.first, "summary");
        for (const double probability : probabilities) {
            labels with = key.second;
            std::ostringstream number;
            number << probability;
            with.push_back({"quantile", number.str()});
            out << key.first << format_labels(with) << ' '
                << it->quantile(probability) << '\n';
        }
        out << key.first << "_sum" << format_labels(key.second) << ' '
            << it->sum() << '\n';
        out << key.first << "_count" << format_labels(key.second) << ' '
            << it->count() << '\n';
    }
    return out.str();
}

} // namespace fennelladder::telemetry
