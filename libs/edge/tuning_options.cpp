#include "fennelladder/edge/tuning_options.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <limits>

namespace fennelladder::edge {

namespace {

/// One setting: how it is read and written as a number.
struct decision
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

/// A member of a group of the options.
template <class Group, class Member>
decision of(std::string_view name, Group tuning_options::*group,
            Member Group::*member)
{
    return {
        name,
        [=](const tuning_options& it) { return as_number(it.*group.*member); },
        [=](tuning_options& it, double value) {
            assign(it.*group.*member, value);
        }};
}

decision of(std::string_view name, bool tuning_options::*member)
{
    return {name,
            [=](const tuning_options& it) { return as_number(it.*member); },
            [=](tuning_options& it, double value) { it.*member = value > 0; },
            0, 1};
}

const std::vector<decision>& decisions()
{
    using options = tuning_options;
    using stock = prepaid::stock_options;
    using registry = dispatch::target_book_options;
    using request = request_options;
    static const std::vector<decision> all{
        of("stock.stockists", &options::stock, &stock::stockists),
        of("stock.holders", &options::stock, &stock::holders),
        of("stock.horizon", &options::stock, &stock::horizon),
        of("stock.first-share", &options::stock, &stock::first_share),
        of("stock.most-of-unspent", &options::stock, &stock::most_of_unspent),
        of("stock.refill-below", &options::stock, &stock::refill_below),
        of("stock.long-runway", &options::stock, &stock::long_runway),
        of("stock.write-pause", &options::stock, &stock::write_pause),
        of("stock.urgent-pause", &options::stock, &stock::urgent_pause),
        of("stock.conflict-pause", &options::stock, &stock::conflict_pause),
        of("stock.outage-cover", &options::stock, &stock::outage_cover),
        of("stock.most-for-outage", &options::stock, &stock::most_for_outage),
        of("stock.loss-caution", &options::stock, &stock::loss_caution),
        of("stock.large-holders", &options::stock, &stock::large_holders),
        of("tokens.ahead", &options::stock, &stock::ahead),
        of("tokens.keep-back", &options::ration,
           &prepaid::ration_options::span),
        of("tokens.lend", &options::requests_peer_tokens),
        of("tokens.wait", &options::requests, &request::token_wait_share),
        of("tokens.come-back", &options::requests, &request::retry_after_share),
        of("prompt.shared-weight", &options::registry,
           &registry::shared_weight),
        of("prompt.expect", &options::registry, &registry::expects_parts),
        of("prompt.least-fetch", &options::registry, &registry::least_fetch),
        of("prompt.fetch-cost", &options::registry, &registry::fetch_cost),
        of("target.peer-load", &options::registry, &registry::counts_peers),
        of("target.per-running", &options::registry, &registry::per_running),
        of("target.failure-cost", &options::registry, &registry::failure_cost),
        of("target.first-rest", &options::registry, &registry::first_rest),
        of("target.longest-rest", &options::registry, &registry::longest_rest),
        of("target.longest-quiet", &options::registry,
           &registry::longest_quiet),
        of("target.newest-weight", &options::registry,
           &registry::newest_weight),
        of("target.distance", &options::registry, &registry::distance),
        of("attempts.most-sends", &options::attempts,
           &dispatch::attempt_policy_options::most_sends),
        of("attempts.patience", &options::requests,
           &request::first_byte_timeout_factor),
        of("attempts.pause-patience", &options::requests,
           &request::stream_idle_timeout_factor),
        of("retries.caution", &options::retries,
           &dispatch::retry_allowance_options::caution),
        of("entry.headroom", &options::entry, &entry_options::headroom),
        of("entry.enough-near", &options::entry,
           &entry_options::min_near_nodes),
        of("connections.most-idle", &options::pool,
           &target_pool_options::most_idle),
        of("news.mind-lateness", &options::refuses_when_late),
    };
    return all;
}

std::string text_of(double value)
{
    constexpr std::size_t longest = 32;
    std::string out(longest, '\0');
    const auto end =
        std::to_chars(out.data(), out.data() + out.size(), value).ptr;
    out.resize(static_cast<std::size_t>(end - out.data()));
    return out;
}

} // namespace

status set_tuning_option(tuning_options& options, std::string_view text)
{
    const std::size_t sign = text.find('=');
    const std::string_view name = text.substr(0, sign);
    const auto it = std::ranges::find(decisions(), name, &decision::name);
    if (sign == std::string_view::npos || it == decisions().end())
        return fail(error_code::invalid,
                    "no such decision: " + std::string(text));
    const std::string_view digits = text.substr(sign + 1);
    double value = 0;
    const auto read =
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool whole =
        read.ec == std::errc() && read.ptr == digits.data() + digits.size();
    if (!whole || !(value >= it->low && value <= it->high))
        return fail(error_code::invalid, "not a value: " + std::string(text));
    it->set(options, value);
    return {};
}

std::vector<std::string> list_tuning_options(const tuning_options& options)
{
    std::vector<std::string> out;
    for (const decision& it : decisions())
        out.push_back(std::string(it.name) + "=" + text_of(it.get(options)));
    return out;
}

} // namespace fennelladder::edge
