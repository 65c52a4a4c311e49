// Time until a target process sends the first byte of an answer, as a function
// of its load, estimated from the requests that a node sent there:
//
//     fixed time + tokens to read / read rate + running * delay
//                + (running above the knee) * extra delay
//
//     service_curve curve(service);          // prior: the service's curve
//     curve.observe({tokens, running, slots}, waited, now);
//     double seconds = curve.predicted_seconds({tokens, running, slots}, now);
//
// The four parameters are estimated by recursive least squares with a Gaussian
// prior (a Kalman filter without dynamics). The prior is the curve of the
// service, which is fed with the observations of all its targets, so that one
// or two requests tell the speed of a target.
//
// An observation that deviates by more than outlier_deviations is an outlier
// and is ignored: targets have short slow periods, and some prompts are cached
// unexpectedly. Outliers of the same sign that have lasted for change_after,
// without many usual observations between them, show that the target has
// changed; the estimate then starts from the prior's uncertainty again.
//
// Estimates age: the prediction moves to the prior's within forget_after, and
// the uncertainty grows to the prior's.
//
// The state is of constant size. Pure: the time is an argument. Not thread
// safe.

#ifndef FENNELLADDER_DISPATCH_SERVICE_CURVE_HPP
#define FENNELLADDER_DISPATCH_SERVICE_CURVE_HPP

#include "fennelladder/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace fennelladder::dispatch {

/// What a request finds at its target.
struct load_point
{
    double tokens = 0;       ///< To be read: of the prompt and ahead of it.
    int running = 0;         ///< Requests, without this one.
    std::uint32_t slots = 0; ///< 0: unknown, no knee.
};

/// Initial values of the curve of a service, and how estimates change.
struct service_curve_options
{
    /// Until a target is known, it has the rate of older engines.
    double tokens_per_ms = 50;
    duration fixed_time = milliseconds(50);
    duration delay_per_running = milliseconds(2);
    /// Share of the slots above which each request adds the extra delay.
    double knee = 0.75;
    /// Usual deviation of an observation: a constant and a share of it.
    duration deviation = milliseconds(5);
    double relative_deviation = 0.1;
    double outlier_deviations = 3;
    /// Longer than the slow periods of targets (some hundred milliseconds).
    duration change_after = seconds(1);
    duration forget_after = seconds(300);
};

class service_curve
{
public:
    /// A curve without observations, of a service.
    explicit service_curve(const service_curve_options& options = {});

    /// A curve without observations, of a target of the service whose curve is
    /// `prior`.
    static service_curve with_prior(const service_curve& prior, instant now);

    /// The first byte came `waited` after a request was sent.
    void observe(const load_point& at, duration waited, instant now);

    /// Predicted time to the first byte. At least a millisecond.
    double predicted_seconds(const load_point& at, instant now) const;

    double tokens_per_ms() const;
    duration fixed_time() const;
    duration delay_per_running() const;

    /// Observations taken into account since the last change of the target.
    std::uint32_t observations() const { return observations_; }

private:
    static constexpr std::size_t size = 4;
    /// Fixed time, of 1,000 tokens, of a running request, and of one above the
    /// knee; in milliseconds.
    using parameters = std::array<double, size>;
    using matrix = std::array<parameters, size>;

    parameters features(const load_point& at) const;
    parameters aged(instant now) const;
    double age_share(instant now) const;
    void age(instant now);
    bool is_ignored_outlier(double error, double variance, instant now);
    void correct(const parameters& x, double error, double variance);
    void reset_uncertainty();

    service_curve_options options_;
    parameters prior_{};
    parameters prior_variance_{};
    parameters value_{};
    matrix covariance_{};
    double noise_ = 1; ///< Measured variance, relative to the usual one.
    std::uint32_t observations_ = 0;
    instant observed_at_;
    /// Run of outliers with the same sign.
    instant outliers_since_;
    int outliers_ = 0; ///< Negative: faster than predicted.
};

} // namespace fennelladder::dispatch

#endif
