// The fleets and request mixes that routing is measured with.
//
//     const deployment& firm = spoke_and_sprocket();
//     workload mix(firm, seed);
//     planned_request next = mix.draw();
//
// Shares, lengths and deadlines are our estimates of the two firms' work: the
// firms gave the numbers of workers, step times, distances and teams, and
// which kinds of call come first.

#ifndef FENNELLADDER_BENCH_ROUTING_WORKLOAD_HPP
#define FENNELLADDER_BENCH_ROUTING_WORKLOAD_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/routing/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelladder::bench {

/// One kind of call. A prompt is the kind's instructions, then one document
/// of a collection whose popularity follows Zipf's law, then its own part.
struct request_kind
{
    std::string name;
    routing::priority rank = 0;
    double share = 0; ///< Of all requests.
    std::uint32_t instruction_tokens = 256;
    std::uint32_t document_tokens = 0;
    std::uint32_t documents = 0;
    std::uint32_t own_tokens = 64;
    std::uint32_t output_tokens = 64; ///< Mean; lengths vary around it.
    duration deadline = seconds(5);   ///< For the whole answer.
    bool resumable = false;
};

/// A fleet with its callers.
struct deployment
{
    std::string name;
    std::uint32_t workers = 13;
    std::uint32_t reserved = 3; ///< Of them set aside for rank 0.
    std::uint32_t nodes = 8;
    std::uint32_t data_centers = 3;
    std::uint32_t models = 1; ///< Each worker has one.
    duration one_way = microseconds(1500);
    duration client_one_way = milliseconds(1);
    duration step = milliseconds(2);
    std::vector<double> team_weights;
    std::vector<request_kind> kinds;
};

/// Bench assistance and shop desk: 13 workers, steps of 2 ms.
const deployment& spoke_and_sprocket();

/// Inspection assistant and harbour dispatch: 23 workers, steps of 3 ms.
const deployment& chao_phraya();

/// The size planned for two years on: 600 workers, 37 models.
const deployment& two_years_on();

/// The deployment of that name, or nullptr.
const deployment* find_deployment(const std::string& name);

/// A request before it is sent.
struct planned_request
{
    std::uint32_t kind = 0;
    std::uint32_t model = 0;
    std::uint32_t node = 0;          ///< Where its caller connects.
    std::uint32_t output_tokens = 0; ///< What the answer will come to.
    routing::route_request route;    ///< Without deadline.
};

/// Tokens of a block of a prompt.
constexpr std::uint32_t block_tokens = 64;

/// The model that a deployment's worker or request names.
routing::capability capability_of(std::uint32_t model);

/// Workers per model, in proportion to the models' popularity.
std::vector<std::uint32_t> workers_per_model(const deployment& firm);

/// Draws requests. Same seed, same requests. Not thread safe.
class workload
{
public:
    workload(const deployment& firm, std::uint64_t seed);

    planned_request draw();

private:
    static std::vector<double> zipf(std::uint32_t n, double exponent);
    std::size_t pick(const std::vector<double>& cumulative);
    std::vector<routing::block_hash>
    prefix(std::size_t kind, std::uint32_t model, std::uint32_t prompt_tokens);

    const deployment& firm_;
    random_source random_;
    std::vector<double> kinds_;
    std::vector<double> teams_;
    std::vector<double> models_;
    std::vector<std::vector<double>> documents_;
};

} // namespace fennelladder::bench

#endif
