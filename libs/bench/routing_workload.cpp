// Every draw is a search in a cumulative distribution made once.

#include "fennelladder/bench/routing_workload.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace fennelladder::bench {

namespace {

constexpr double document_exponent = 0.9;
constexpr double model_exponent = 0.8;
constexpr std::uint32_t callers = 400;

// Ten teams, a few of them large.
std::vector<double> ten_teams()
{
    return {30, 20, 15, 10, 5, 5, 5, 4, 3, 3};
}

deployment make_spoke_and_sprocket()
{
    deployment it;
    it.name = "spoke_and_sprocket";
    it.team_weights = ten_teams();
    it.kinds = {
        {.name = "ticket",
         .rank = 0,
         .share = 0.20,
         .own_tokens = 128,
         .output_tokens = 24,
         .deadline = seconds(2)},
        {.name = "loaner_return",
         .rank = 0,
         .share = 0.05,
         .own_tokens = 96,
         .output_tokens = 16,
         .deadline = seconds(2)},
        {.name = "lookup",
         .rank = 1,
         .share = 0.45,
         .document_tokens = 512,
         .documents = 200,
         .own_tokens = 64,
         .output_tokens = 60,
         .deadline = seconds(8)},
        {.name = "tag",
         .rank = 1,
         .share = 0.15,
         .own_tokens = 128,
         .output_tokens = 20,
         .deadline = seconds(8)},
        {.name = "guide",
         .rank = 2,
         .share = 0.15,
         .document_tokens = 2048,
         .documents = 60,
         .own_tokens = 128,
         .output_tokens = 700,
         .deadline = seconds(60),
         .resumable = true},
    };
    return it;
}

deployment make_chao_phraya()
{
    deployment it;
    it.name = "chao_phraya";
    it.workers = 23;
    it.one_way = microseconds(500);
    it.step = milliseconds(3);
    it.team_weights = ten_teams();
    it.kinds = {
        {.name = "readiness",
         .rank = 0,
         .share = 0.25,
         .instruction_tokens = 320,
         .document_tokens = 256,
         .documents = 40,
         .own_tokens = 64,
         .output_tokens = 32,
         .deadline = seconds(2)},
        {.name = "clearance",
         .rank = 0,
         .share = 0.08,
         .instruction_tokens = 320,
         .own_tokens = 128,
         .output_tokens = 24,
         .deadline = seconds(2)},
        {.name = "checklist",
         .rank = 1,
         .share = 0.42,
         .instruction_tokens = 320,
         .document_tokens = 1024,
         .documents = 120,
         .own_tokens = 96,
         .output_tokens = 200,
         .deadline = seconds(30),
         .resumable = true},
        {.name = "draft",
         .rank = 2,
         .share = 0.25,
         .instruction_tokens = 320,
         .document_tokens = 1024,
         .documents = 120,
         .own_tokens = 512,
         .output_tokens = 600,
         .deadline = seconds(90),
         .resumable = true},
    };
    return it;
}

deployment make_two_years_on()
{
    deployment it;
    it.name = "two_years_on";
    it.workers = 600;
    it.reserved = 60;
    it.nodes = 40;
    it.data_centers = 6;
    it.models = 37;
    it.step = milliseconds(3);
    for (int n = 1; n <= 200; ++n)
        it.team_weights.push_back(1.0 / n);
    it.kinds = {
        {.name = "urgent",
         .rank = 0,
         .share = 0.25,
         .document_tokens = 256,
         .documents = 40,
         .own_tokens = 96,
         .output_tokens = 32,
         .deadline = seconds(2)},
        {.name = "short",
         .rank = 1,
         .share = 0.50,
         .document_tokens = 768,
         .documents = 150,
         .own_tokens = 96,
         .output_tokens = 160,
         .deadline = seconds(20)},
        {.name = "long",
         .rank = 2,
         .share = 0.25,
         .document_tokens = 1536,
         .documents = 100,
         .own_tokens = 256,
         .output_tokens = 700,
         .deadline = seconds(90),
         .resumable = true},
    };
    return it;
}

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    const std::array<std::uint64_t, 2> both = {a, b};
    return hash64({reinterpret_cast<const char*>(both.data()), sizeof both});
}

std::vector<double> cumulate(std::vector<double> weights)
{
    std::partial_sum(weights.begin(), weights.end(), weights.begin());
    return weights;
}

} // namespace

const deployment& spoke_and_sprocket()
{
    static const deployment it = make_spoke_and_sprocket();
    return it;
}

const deployment& chao_phraya()
{
    static const deployment it = make_chao_phraya();
    return it;
}

const deployment& two_years_on()
{
    static const deployment it = make_two_years_on();
    return it;
}

const deployment* find_deployment(const std::string& name)
{
    for (const deployment* it :
         {&spoke_and_sprocket(), &chao_phraya(), &two_years_on()}) {
        if (it->name == name)
            return it;
    }
    return nullptr;
}

routing::capability capability_of(std::uint32_t model)
{
    routing::capability it;
    it.model = model_id("m" + std::to_string(model));
    it.version = model_version("1");
    return it;
}

std::vector<std::uint32_t> workers_per_model(const deployment& firm)
{
    std::vector<double> weights;
    weights.reserve(firm.models);
    for (std::uint32_t n = 0; n < firm.models; ++n)
        weights.push_back(std::pow(n + 1, -model_exponent));
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<std::uint32_t> share;
    share.reserve(weights.size());
    for (const double weight : weights)
        share.push_back(std::max(
            1U, static_cast<std::uint32_t>(weight / sum * firm.workers)));
    // Rounding leaves some over: the most popular models get them.
    const auto given = std::accumulate(share.begin(), share.end(), 0U);
    for (std::uint32_t n = 0; given + n < firm.workers; ++n)
        ++share[n % share.size()];
    return share;
}

workload::workload(const deployment& firm, std::uint64_t seed)
    : firm_(firm), random_(seed), teams_(cumulate(firm.team_weights)),
      models_(zipf(firm.models, model_exponent))
{
    std::vector<double> shares;
    for (const request_kind& it : firm.kinds) {
        shares.push_back(it.share);
        documents_.push_back(
            zipf(std::max(1U, it.documents), document_exponent));
    }
    kinds_ = cumulate(shares);
}

planned_request workload::draw()
{
    planned_request next;
    const std::size_t kind = pick(kinds_);
    const request_kind& it = firm_.kinds[kind];
    next.kind = static_cast<std::uint32_t>(kind);
    next.model = static_cast<std::uint32_t>(pick(models_));
    const std::size_t team = pick(teams_);
    const auto caller = mix(team, random_.below(callers));
    next.node = static_cast<std::uint32_t>(caller % firm_.nodes);
    const double length =
        it.output_tokens * (0.5 + std::min(random_.exponential(0.5), 2.0));
    next.output_tokens = std::max(1U, static_cast<std::uint32_t>(length));

    routing::route_request& route = next.route;
    route.needs = capability_of(next.model);
    route.team = team_id("team" + std::to_string(team));
    route.rank = it.rank;
    const auto own =
        static_cast<std::uint32_t>(it.own_tokens * (0.5 + random_.unit()));
    route.prompt_tokens = it.instruction_tokens + it.document_tokens + own;
    // The router knows the kind's mean, not what the answer will come to.
    route.output_tokens = it.output_tokens;
    route.resumable = it.resumable;
    route.prefix = prefix(kind, next.model, route.prompt_tokens);
    return next;
}

std::vector<double> workload::zipf(std::uint32_t n, double exponent)
{
    std::vector<double> weights;
    weights.reserve(n);
    for (std::uint32_t it = 1; it <= n; ++it)
        weights.push_back(std::pow(it, -exponent));
    return cumulate(weights);
}

std::size_t workload::pick(const std::vector<double>& cumulative)
{
    const double at = random_.unit() * cumulative.back();
    const auto it = std::ranges::upper_bound(cumulative, at);
    return std::min<std::size_t>(
        static_cast<std::size_t>(it - cumulative.begin()),
        cumulative.size() - 1);
}

std::vector<routing::block_hash> workload::prefix(std::size_t kind,
                                                  std::uint32_t model,
                                                  std::uint32_t prompt_tokens)
{
    const request_kind& it = firm_.kinds[kind];
    const std::uint64_t document = pick(documents_[kind]);
    const std::uint64_t own = random_.bits();
    std::vector<routing::block_hash> chain;
    std::uint64_t last = mix(kind + 1, model);
    for (std::uint32_t end = block_tokens; end <= prompt_tokens;
         end += block_tokens) {
        if (end > it.instruction_tokens)
            last = mix(last, document);
        if (end > it.instruction_tokens + it.document_tokens)
            last = mix(last, own);
        last = mix(last, end);
        chain.push_back(last);
    }
    return chain;
}

} // namespace fennelladder::bench
