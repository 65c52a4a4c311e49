#include "fennelladder/edge/tuning_options.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <limits>

namespace fennelladder::edge {

namespace {

/// One option: its name, how it is read and written as a number, and its range.
struct tuning_option
{
    std::string_view name;
    std::function<double(const tuning_options&)> get;
    std::function<void(tuning_options&, double)> set;
    double low = 0;
    double high = 1e9;
};

double as_number(duration value)
{
    return to_seconds(value) * 1000;
}

template <class Number>
double as_number(Number value)
{
    return static_cast<double>(value);
}

void assign(duration& to, double value)
{
    to = from_seconds(value / 1000);
}

template <class Number>
void assign(Number& to, double value)
{
    to = static_cast<Number>(value);
}

/// An option that is a member of a nested group.
template <class Group, class Member>
tuning_option option(std::string_view name, Group tuning_options::*group,
                     Member Group::*member)
{
    return {
        name,
        [=](const tuning_options& it) { return as_number(it.*group.*member); },
        [=](tuning_options& it, double value) {
            assign(it.*group.*member, value);
        }};
}

tuning_option option(std::string_view name, bool tuning_options::*member)
{
    return {name,
            [=](const tuning_options& it) { return as_number(it.*member); },
            [=](tuning_options& it, double value) { it.*member = value > 0; },
            0, 1};
}

const std::vector<tuning_option>& all_options()
{
    using options = tuning_options;
    using stock = prepaid::stock_options;
    using registry = dispatch::target_registry_options;
    using request = request_options;
    static const std::vector<tuning_option> all{
        option("stock.stockists", &options::stock, &stock::holders_per_team),
        option("stock.holders", &options::stock, &stock::holder_candidates),
        option("stock.horizon", &options::stock, &stock::horizon),
        option("stock.first-share", &options::stock, &stock::initial_share),
        option("stock.most-of-unspent", &options::stock,
               &stock::max_share_of_unspent),
        option("stock.refill-below", &options::stock, &stock::refill_below),
        option("stock.long-runway", &options::stock, &stock::long_runway),
        option("stock.write-pause", &options::stock, &stock::write_interval),
        option("stock.urgent-pause", &options::stock,
               &stock::urgent_write_interval),
        option("stock.conflict-pause", &options::stock,
               &stock::conflict_backoff),
        option("stock.outage-cover", &options::stock, &stock::outage_cover),
        option("stock.most-for-outage", &options::stock,
               &stock::max_share_for_outage),
        option("stock.loss-caution", &options::stock, &stock::loss_factor),
        option("stock.large-holders", &options::stock,
               &stock::large_hosts_only),
        option("tokens.ahead", &options::stock, &stock::request_ahead),
        option("tokens.keep-back", &options::urgency_reserve,
               &prepaid::urgency_reserve_options::span),
        option("tokens.lend", &options::requests_peer_tokens),
        option("tokens.wait", &options::requests, &request::token_wait_share),
        option("tokens.come-back", &options::requests,
               &request::retry_after_share),
        option("prompt.shared-weight", &options::registry,
               &registry::shared_weight),
        option("prompt.expect", &options::registry,
               &registry::predicts_part_holders),
        option("prompt.least-fetch", &options::registry,
               &registry::min_fetch_tokens),
        option("prompt.fetch-cost", &options::registry, &registry::fetch_cost),
        option("target.peer-load", &options::registry,
               &registry::counts_peer_load),
        option("target.service-curve", &options::registry,
               &registry::uses_service_curves),
        option("target.memory-bound", &options::registry,
               &registry::bounds_memory),
        option("target.per-running", &options::registry,
               &registry::delay_per_running),
        option("target.failure-cost", &options::registry,
               &registry::failure_cost),
        option("target.first-rest", &options::registry,
               &registry::initial_backoff),
        option("target.longest-rest", &options::registry,
               &registry::max_backoff),
        option("target.longest-quiet", &options::registry,
               &registry::max_silence),
        option("target.newest-weight", &options::registry,
               &registry::newest_weight),
        option("target.distance", &options::registry,
               &registry::remote_penalty),
        option("attempts.most-sends", &options::attempts,
               &dispatch::attempt_policy_options::max_sends),
        option("attempts.patience", &options::requests,
               &request::first_byte_timeout_factor),
        option("attempts.pause-patience", &options::requests,
               &request::stream_idle_timeout_factor),
        option("retries.caution", &options::retries,
               &dispatch::retry_budget_options::safety_factor),
        option("entry.headroom", &options::entry, &entry_options::headroom),
        option("entry.enough-near", &options::entry,
               &entry_options::min_near_nodes),
        option("connections.most-idle", &options::pool,
               &connection_pool_options::max_idle_per_target),
        option("news.mind-lateness", &options::refuses_when_late),
        option("news.by-datagram", &options::fetches_by_datagram),
        option("admission.limit", &options::refuses_beyond_capacity),
        option("link.measure", &options::measures_link),
        option("admission.refusal-share", &options::admission,
               &dispatch::admission_options::max_refusal_share),
    };
    return all;
}

std::string text_of(double value)
{
    constexpr std::size_t max_length = 32;
    std::string out(max_length, '\0');
    const auto end =
        std::to_chars(out.data(), out.data() + out.size(), value).ptr;
    out.resize(static_cast<std::size_t>(end - out.data()));
    return out;
}

} // namespace

status set_tuning_option(tuning_options& options, std::string_view text)
{
    const std::size_t separator = text.find('=');
    const std::string_view name = text.substr(0, separator);
    const auto it =
        std::ranges::find(all_options(), name, &tuning_option::name);
    if (separator == std::string_view::npos || it == all_options().end())
        return fail(error_code::invalid,
                    "unknown tuning option: " + std::string(text));
    const std::string_view digits = text.substr(separator + 1);
    double value = 0;
    const auto read =
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool fully_read =
        read.ec == std::errc() && read.ptr == digits.data() + digits.size();
    if (!fully_read || !(value >= it->low && value <= it->high))
        return fail(error_code::invalid,
                    "value isn't a number or out of range: " +
                        std::string(text));
    it->set(options, value);
    return {};
}

std::vector<std::string> list_tuning_options(const tuning_options& options)
{
    std::vector<std::string> out;
    for (const tuning_option& it : all_options())
        out.push_back(std::string(it.name) + "=" + text_of(it.get(options)));
    return out;
}

} // namespace fennelladder::edge
