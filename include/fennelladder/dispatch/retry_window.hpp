// Keeps the retries that all nodes send to a service below the operator's
// limit, in every sliding window, without a message between nodes.
//
//     window.count_request(service, now);       // a caller's request came
//     if (window.take_retry(service, nodes, now))
//         ... send it once more ...
//
// The operator allows, over all nodes, a share of the requests plus a fixed
// slack. A node spends the share of the requests that came to itself, and of
// the slack its part by the number of nodes; so the sum over all nodes keeps
// the limit also while they can't hear each other.

#ifndef FENNELLADDER_DISPATCH_RETRY_WINDOW_HPP
#define FENNELLADDER_DISPATCH_RETRY_WINDOW_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace fennelladder::dispatch {

struct retry_window_options
{
    double share = 0.2; ///< Retries per request.
    double slack = 50;  ///< Retries beside the share, over all nodes.
    duration window = seconds(10);
    /// Part of the allowance that is used: the rest covers requests that the
    /// operator counts in another window than this node does.
    double caution = 0.8;
};

/// Not thread safe.
class retry_window
{
public:
    explicit retry_window(retry_window_options options);

    void count_request(const service_id& service, instant now);

    /// Takes one retry; false if none is left. `nodes`: how many share the
    /// slack, at least 1.
    bool take_retry(const service_id& service, std::size_t nodes, instant now);

    /// Retries left now.
    double left(const service_id& service, std::size_t nodes, instant now);

private:
    struct slice
    {
        instant start;
        int requests = 0;
        int retries = 0;
    };

    struct history
    {
        std::deque<slice> slices; ///< Oldest first, none older than a window.
    };

    slice& current(const service_id& service, instant now);

    static constexpr int slices_per_window = 20;

    retry_window_options options_;
    std::unordered_map<service_id, history> services_;
};

} // namespace fennelladder::dispatch

#endif
