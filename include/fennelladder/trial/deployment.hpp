// The two deployments that a trial plays, cut down to what one machine runs.
//
//     deployment_plan plan = spoke_and_sprocket();
//     manifest::document wanted = make_manifest(plan, addresses);

#ifndef FENNELLADDER_TRIAL_DEPLOYMENT_HPP
#define FENNELLADDER_TRIAL_DEPLOYMENT_HPP

#include "fennelladder/manifest/document.hpp"

#include <string>
#include <vector>

namespace fennelladder::trial {

/// What one kind of caller asks for, in shares of its requests; what is left
/// of 1 are completions.
struct caller_plan
{
    caller_kind kind;
    std::int64_t priority = 0;
    duration deadline = seconds(60);
    double unrepeatable = 0; ///< Share of calls that must not run twice.
    double repeatable = 0;   ///< Share of calls that may.
    model_id model;          ///< Of the completions.
    std::int64_t max_output = 0;
    int callers = 0; ///< Asking at once.
};

/// A firm's deployment.
struct deployment_plan
{
    std::string name;
    manifest::weight weighs = manifest::weight::overspend;
    region_id region;
    std::vector<data_center_id> data_centers; ///< One node each.
    duration engine_step = milliseconds(2);
    std::vector<caller_plan> kinds; ///< Most urgent first.
    model_id long_model;            ///< Of the patient callers.
    int long_engines = 0;
    model_id short_model; ///< Of the urgent ones.
    int short_engines = 0;
    service_id service;
    int services = 2;
    std::string unrepeatable_call;
    std::string repeatable_call;
    int teams = 3;
    tokens prepaid; ///< Of each team's budget.
};

/// Spoke & Sprocket: mechanics and volunteers; weighs overspend more.
deployment_plan spoke_and_sprocket();

/// Chao Phraya: dispatchers and inspectors; weighs false refusals more.
deployment_plan chao_phraya();

/// Addresses of the targets that stand in, in the order of the plan.
struct target_addresses
{
    std::vector<int> long_engines; ///< Ports on 127.0.0.1.
    std::vector<int> short_engines;
    std::vector<int> services;
};

/// The manifest of a plan.
manifest::document make_manifest(const deployment_plan& plan,
                                 const target_addresses& at);

/// Ids that the manifest gives.
team_id team_of(int number);
budget_id budget_of(int number);
target_id long_engine(std::size_t number);
target_id short_engine(std::size_t number);
target_id service_host(std::size_t number);

} // namespace fennelladder::trial

#endif
