// Time is cut into slices of a twentieth of the window. Retries are counted
// over a whole window and one slice more, requests over a whole window and
// one slice less, so that rounding never allows too much.

#include "fennelladder/dispatch/retry_window.hpp"

#include <algorithm>

namespace fennelladder::dispatch {

retry_window::retry_window(retry_window_options options) : options_(options)
{}

retry_window::slice& retry_window::current(const service_id& service,
                                           instant now)
{
    auto& slices = services_[service].slices;
    const duration length = options_.window / slices_per_window;
    while (!slices.empty() &&
           now - slices.front().start > options_.window + length)
        slices.pop_front();
    if (slices.empty() || now - slices.back().start >= length)
        slices.push_back({now, 0, 0});
    return slices.back();
}

double retry_window::left(const service_id& service, std::size_t nodes,
                          instant now)
{
    current(service, now);
    const duration length = options_.window / slices_per_window;
    int requests = 0;
    int retries = 0;
    for (const slice& it : services_[service].slices) {
        retries += it.retries;
        if (now - it.start <= options_.window - length)
            requests += it.requests;
    }
    const double slack =
        options_.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    return (options_.share * requests + slack) * options_.caution - retries;
}

void retry_window::count_request(const service_id& service, instant now)
{
    ++current(service, now).requests;
}

bool retry_window::take_retry(const service_id& service, std::size_t nodes,
                              instant now)
{
    if (left(service, nodes, now) < 1)
        return false;
    ++current(service, now).retries;
    return true;
}

} // namespace fennelladder::dispatch
