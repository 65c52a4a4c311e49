#include "fennelladder/dispatch/service_curve.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fennelladder::dispatch {

namespace {

constexpr double ms_per_second = 1000;
constexpr double tokens_per_unit = 1000;
constexpr double min_predicted_ms = 1;

/// Smallest values of the parameters: 5,000 tokens a millisecond is more than
/// any engine reads, and delays aren't negative.
constexpr std::array<double, 4> min_value{1, 0.2, 0, 0};

/// Standard deviations of a service's parameters around the initial ones.
constexpr std::array<double, 4> service_deviation{40, 15, 2, 4};

/// The same of a target's around those of its service: relative and least.
/// Speeds within a service differ by a factor of 2.7 (0.6 to 1.6).
constexpr std::array<double, 4> target_relative_deviation{0.1, 0.5, 0.2, 0.5};
constexpr std::array<double, 4> target_min_deviation{2, 0.5, 0.2, 1};

/// Least outliers that show a change of the target.
constexpr int min_outliers = 2;
/// More don't count, so that a few usual observations end any run.
constexpr int max_outliers = 16;

/// Weight of an observation in the measured noise, and its bounds.
constexpr double noise_weight = 0.03;
constexpr double max_noise = 25;
constexpr double min_noise = 0.25;

double squared(double value)
{
    return value * value;
}

template <class Values>
double product(const Values& a, const Values& b)
{
    return std::inner_product(a.begin(), a.end(), b.begin(), 0.0);
}

double in_ms(duration value)
{
    return to_seconds(value) * ms_per_second;
}

} // namespace

service_curve::service_curve(const service_curve_options& options)
    : options_(options), prior_{in_ms(options.fixed_time),
                                tokens_per_unit / options.tokens_per_ms,
                                in_ms(options.delay_per_running), 0},
      value_(prior_)
{
    std::ranges::transform(service_deviation, prior_variance_.begin(), squared);
    reset_uncertainty();
}

service_curve service_curve::with_prior(const service_curve& prior, instant now)
{
    service_curve out(prior.options_);
    out.prior_ = prior.aged(now);
    out.value_ = out.prior_;
    for (std::size_t i = 0; i < size; ++i)
        out.prior_variance_[i] =
            squared(std::max(out.prior_[i] * target_relative_deviation[i],
                             target_min_deviation[i]));
    out.reset_uncertainty();
    return out;
}

void service_curve::reset_uncertainty()
{
    covariance_ = {};
    for (std::size_t i = 0; i < size; ++i)
        covariance_[i][i] = prior_variance_[i];
    observations_ = 0;
}

service_curve::parameters service_curve::features(const load_point& at) const
{
    const double knee = options_.knee * at.slots;
    return {1, at.tokens / tokens_per_unit, static_cast<double>(at.running),
            at.slots > 0 ? std::max(at.running - knee, 0.0) : 0};
}

double service_curve::age_share(instant now) const
{
    if (observed_at_ == instant())
        return 0;
    return std::clamp(to_seconds(now - observed_at_) /
                          to_seconds(options_.forget_after),
                      0.0, 1.0);
}

service_curve::parameters service_curve::aged(instant now) const
{
    parameters out = value_;
    const double share = age_share(now);
    for (std::size_t i = 0; i < size; ++i)
        out[i] += share * (prior_[i] - out[i]);
    return out;
}

/// Moves the estimate and its uncertainty to the prior's.
void service_curve::age(instant now)
{
    const double share = age_share(now);
    value_ = aged(now);
    for (std::size_t i = 0; i < size; ++i)
        for (std::size_t j = 0; j < size; ++j)
            covariance_[i][j] +=
                share * ((i == j ? prior_variance_[i] : 0) - covariance_[i][j]);
    observed_at_ = std::max(observed_at_, now);
}

/// Whether to ignore this observation. A short prompt tells little about the
/// rate, so that a usual observation with an error of the same sign doesn't
/// end a run of outliers; one of the other sign halves it.
bool service_curve::is_ignored_outlier(double error, double variance,
                                       instant now)
{
    if (squared(error) <= squared(options_.outlier_deviations) * variance) {
        if (error * outliers_ < 0)
            outliers_ /= 2;
        return false;
    }
    const int sign = error > 0 ? 1 : -1;
    if (outliers_ * sign <= 0) {
        outliers_ = 0;
        outliers_since_ = now;
    }
    outliers_ = std::clamp(outliers_ + sign, -max_outliers, max_outliers);
    if (std::abs(outliers_) < min_outliers ||
        now - outliers_since_ < options_.change_after)
        return true;
    outliers_ = 0;
    reset_uncertainty();
    return false;
}

/// Kalman update with one observation.
void service_curve::correct(const parameters& x, double error, double variance)
{
    parameters gain{};
    for (std::size_t i = 0; i < size; ++i)
        gain[i] = product(covariance_[i], x);
    const double total = product(gain, x) + variance;
    const parameters projected = gain;
    for (std::size_t i = 0; i < size; ++i) {
        gain[i] /= total;
        value_[i] = std::max(value_[i] + gain[i] * error, min_value[i]);
    }
    for (std::size_t i = 0; i < size; ++i)
        for (std::size_t j = 0; j < size; ++j)
            covariance_[i][j] -= gain[i] * projected[j];
}

void service_curve::observe(const load_point& at, duration waited, instant now)
{
    age(now);
    const parameters x = features(at);
    const double predicted = std::max(product(value_, x), min_predicted_ms);
    const double error = in_ms(waited) - predicted;
    const double usual = squared(in_ms(options_.deviation)) +
                         squared(options_.relative_deviation * predicted);
    double uncertainty = 0;
    for (std::size_t i = 0; i < size; ++i)
        uncertainty += x[i] * product(covariance_[i], x);
    const double expected = uncertainty + usual * noise_;
    if (is_ignored_outlier(error, expected, now))
        return;
    const double limited = std::min(
        squared(error), squared(options_.outlier_deviations) * expected);
    noise_ +=
        noise_weight * (std::max(limited - uncertainty, 0.0) / usual - noise_);
    noise_ = std::clamp(noise_, min_noise, max_noise);
    correct(x, error, usual * noise_);
    ++observations_;
}

double service_curve::predicted_seconds(const load_point& at, instant now) const
{
    const parameters x = features(at);
    const double share = age_share(now);
    const double ms =
        (1 - share) * product(value_, x) + share * product(prior_, x);
    return std::max(ms, min_predicted_ms) / ms_per_second;
}

double service_curve::tokens_per_ms() const
{
    return tokens_per_unit / value_[1];
}

duration service_curve::fixed_time() const
{
    return from_seconds(value_[0] / ms_per_second);
}

duration service_curve::delay_per_running() const
{
    return from_seconds(value_[2] / ms_per_second);
}

} // namespace fennelladder::dispatch
