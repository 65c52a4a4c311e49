#include "fennelladder/edge/host_shares.hpp"

#include "fennelladder/catalog/configuration.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

namespace {

adapter::host_settings host(std::uint32_t memory_mb, std::uint32_t descriptors)
{
    adapter::host_settings out;
    out.memory_mb = memory_mb;
    out.descriptors = descriptors;
    return out;
}

/// Hosts that deployments have, the smallest first.
const adapter::host_settings hosts[] = {host(88, 4'100),  host(96, 3'075),
                                        host(110, 4'100), host(160, 4'100),
                                        host(260, 4'100), host(512, 8'192)};

} // namespace

TEST_GROUP(host_shares){};

// Failure: the limits of a small host refuse a caller that keeps to those of
// the configuration.
TEST(host_shares, the_largest_body_fits_beside_the_heads_of_all_connections)
{
    constexpr std::size_t largest_body = 4'194'304;
    constexpr std::size_t usual_head = 4'096 + 2'048 + 20 * 96;
    for (const auto& it : hosts) {
        const caller_server_limits limits = limits_for(it);
        CHECK(2 * largest_body + limits.connections * usual_head <=
              limits.buffered_bytes);
        CHECK(2 * largest_body <= limits.body_bytes);
        CHECK(limits.body_bytes < limits.buffered_bytes);
        UNSIGNED_LONGS_EQUAL(600, limits.requests);
    }
}

// Failure: what each listener may hold adds up to more than the host has.
TEST(host_shares, all_shares_together_fit_the_host)
{
    constexpr std::size_t relay = 65'536;
    constexpr std::size_t connection = 24'576;
    constexpr std::size_t simple = 65'536;
    constexpr std::size_t listeners = 3;
    for (const auto& it : hosts) {
        const caller_server_limits limits = limits_for(it);
        const std::size_t memory = std::size_t(it.memory_mb) * 1'000'000;
        CHECK(limits.connections * connection + limits.buffered_bytes +
                  relays_for(it) * relay +
                  listeners * simple_connections_for(it) * simple <
              memory * 5 / 6);
        CHECK(limits.connections + limits.requests + peer_connections_for(it) +
                  relays_for(it) + listeners * simple_connections_for(it) <=
              sockets_of(it));
    }
}

TEST(host_shares, a_host_with_few_descriptors_still_serves)
{
    const auto small = host(48, 40);
    CHECK(limits_for(small).connections >= 5);
    CHECK(limits_for(small).requests >= 5);
    CHECK(peer_connections_for(small) >= 1);
}
