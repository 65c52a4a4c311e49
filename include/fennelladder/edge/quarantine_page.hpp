// What operators see and change of the requests and parts of prompts that crash
// targets, over HTTP.
//
//     GET  /quarantine                 the marks that aren't clear, as JSON
//     POST /quarantine/part/ID         take a part for harmless, everywhere
//     POST /quarantine/request/ID      the same for a request
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_QUARANTINE_PAGE_HPP
#define FENNELLADDER_EDGE_QUARANTINE_PAGE_HPP

#include "fennelladder/edge/quarantine_exchange.hpp"
#include "fennelladder/edge/simple_server.hpp"

#include <optional>
#include <string_view>

namespace fennelladder::edge {

/// Whether the request is for this page.
bool is_for_quarantine(const simple_request& request);

/// The mark in a path such as "/quarantine/part/1f"; unset if there is none.
std::optional<dispatch::crash_mark> mark_in_path(std::string_view path);

/// Answers a request for the page. Precondition: is_for_quarantine().
simple_response answer_quarantine(const node_tables& tables,
                                  quarantine_exchange& exchange,
                                  const simple_request& request);

} // namespace fennelladder::edge

#endif
