// One pass collects what is defined, a second looks up what is referred to.
// Both are linear in the size of the manifest. An id that could not be read
// is empty and was reported already, so it is neither defined nor looked up.
// When a whole list or record could not be read, only duplicates are reported:
// references into it would all look dangling and bury the one real fault.

#include "references.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace fennelladder::manifest {

namespace {

std::string at(const std::string& list, std::size_t index)
{
    return list + "/" + std::to_string(index);
}

// What a model offers, or what targets serve of it.
struct offered
{
    std::unordered_set<model_version> versions;
    std::unordered_set<adapter_id> adapters;
};

class checker
{
public:
    checker(const document& manifest, finding_sink& sink)
        : manifest_(manifest), sink_(sink)
    {}

    void run()
    {
        check_deployment();
        check_kinds();
        check_models();
        check_services();
        check_targets();
        check_teams();
        check_budgets();
    }

private:
    // Adds the ids of a list of records to `known`; reports repeated ones.
    template <class T, class Id>
    void define(const std::vector<T>& list, Id T::*id,
                const std::string& pointer, const std::string& key,
                std::unordered_set<Id>& known)
    {
        for (std::size_t n = 0; n < list.size(); ++n)
            define_one(list[n].*id, at(pointer, n) + "/" + key, known);
    }

    template <class Id>
    void define_ids(const std::vector<Id>& list, const std::string& pointer,
                    std::unordered_set<Id>& known)
    {
        for (std::size_t n = 0; n < list.size(); ++n)
            define_one(list[n], at(pointer, n), known);
    }

    template <class Id>
    void define_one(const Id& id, const std::string& pointer,
                    std::unordered_set<Id>& known)
    {
        if (!id.empty() && !known.insert(id).second)
            sink_.add(event::manifest_duplicate, pointer,
                      "\"" + id.str() + "\" stands here a second time");
    }

    void report_reference(int event, std::string pointer, std::string message)
    {
        if (!sink_.incomplete)
            sink_.add(event, std::move(pointer), std::move(message));
    }

    template <class Id>
    void refer(const Id& id, const std::unordered_set<Id>& known,
               const std::string& pointer, const std::string& what)
    {
        if (id.empty() || known.contains(id))
            return;
        report_reference(event::manifest_dangling, pointer,
                         "there is no " + what + " \"" + id.str() + "\"");
    }

    // A list of references: each known, none twice.
    template <class Id>
    void refer_all(const std::vector<Id>& list,
                   const std::unordered_set<Id>& known,
                   const std::string& pointer, const std::string& what)
    {
        std::unordered_set<Id> seen;
        define_ids(list, pointer, seen);
        for (std::size_t n = 0; n < list.size(); ++n)
            refer(list[n], known, at(pointer, n), what);
    }

    template <class T>
    void not_empty(const std::vector<T>& list, const std::string& pointer)
    {
        if (list.empty())
            sink_.add(event::manifest_inconsistent, pointer,
                      "must not be empty");
    }

    void check_deployment()
    {
        const auto& regions = manifest_.deployment.regions;
        const std::string pointer = "/deployment/regions";
        std::unordered_set<region_id> known;
        define(regions, &region::id, pointer, "id", known);
        for (std::size_t n = 0; n < regions.size(); ++n)
            define_ids(regions[n].data_centers,
                       at(pointer, n) + "/data_centers", data_centers_);
    }

    void check_kinds()
    {
        define(manifest_.caller_kinds, &caller_kind_policy::id, "/caller_kinds",
               "id", kinds_);
        std::unordered_set<objective_id> known;
        const auto& list = manifest_.objectives;
        define(list, &objective::id, "/objectives", "id", known);
        for (std::size_t n = 0; n < list.size(); ++n)
            refer(list[n].kind, kinds_, at("/objectives", n) + "/caller_kind",
                  "caller kind");
    }

    void check_models()
    {
        const auto& list = manifest_.models;
        std::unordered_set<model_id> known;
        define(list, &model::id, "/models", "id", known);
        for (std::size_t n = 0; n < list.size(); ++n) {
            const std::string pointer = at("/models", n);
            offered& here = models_[list[n].id];
            not_empty(list[n].versions, pointer + "/versions");
            define_ids(list[n].versions, pointer + "/versions", here.versions);
            define_ids(list[n].adapters, pointer + "/adapters", here.adapters);
        }
    }

    void check_services()
    {
        const auto& list = manifest_.services;
        define(list, &service::id, "/services", "id", services_);
        for (std::size_t n = 0; n < list.size(); ++n) {
            const std::string pointer = at("/services", n) + "/calls";
            std::unordered_set<call_name> calls;
            define(list[n].calls, &service_call::name, pointer, "name", calls);
            not_empty(list[n].calls, pointer);
        }
    }

    // The model that a grant or placement names, or nullptr.
    const offered* find_model(const model_id& id, const std::string& pointer)
    {
        const auto it = models_.find(id);
        if (it != models_.end() || id.empty())
            return it != models_.end() ? &it->second : nullptr;
        report_reference(event::manifest_dangling, pointer,
                         "there is no model \"" + id.str() + "\"");
        return nullptr;
    }

    void check_placement(const model_placement& it, const std::string& pointer)
    {
        const offered* known = find_model(it.model, pointer + "/model");
        if (known == nullptr)
            return;
        refer(it.version, known->versions, pointer + "/version",
              "version of this model");
        refer_all(it.adapters, known->adapters, pointer + "/adapters",
                  "adapter of this model");
        served_[it.model].versions.insert(it.version);
    }

    void check_target(const target& it, const std::string& pointer)
    {
        refer(it.data_center, data_centers_, pointer + "/data_center",
              "data center");
        std::set<std::pair<model_id, model_version>> seen;
        for (std::size_t n = 0; n < it.models.size(); ++n) {
            const model_placement& placed = it.models[n];
            const std::string place = at(pointer + "/models", n);
            check_placement(placed, place);
            if (!seen.insert({placed.model, placed.version}).second)
                sink_.add(event::manifest_duplicate, place,
                          "this version is placed here a second time");
        }
        refer_all(it.services, services_, pointer + "/services", "service");
        served_services_.insert(it.services.begin(), it.services.end());
        if (it.kind == target_kind::engine && !it.services.empty())
            sink_.add(event::manifest_inconsistent, pointer + "/services",
                      "an engine serves no plain services");
        if (it.kind == target_kind::service && !it.models.empty())
            sink_.add(event::manifest_inconsistent, pointer + "/models",
                      "a plain service's server loads no models");
    }

    void check_targets()
    {
        const auto& list = manifest_.targets;
        std::unordered_set<target_id> known;
        define(list, &target::id, "/targets", "id", known);
        std::set<endpoint> addresses;
        for (std::size_t n = 0; n < list.size(); ++n) {
            const std::string pointer = at("/targets", n);
            check_target(list[n], pointer);
            if (list[n].address.port != 0 &&
                !addresses.insert(list[n].address).second)
                sink_.add(event::manifest_duplicate, pointer + "/address",
                          "another target has this address");
        }
    }

    // A team that may use what no target serves would only ever be told
    // "not run", so that is a mistake of the manifest.
    void check_grant(const model_grant& it, const std::string& pointer)
    {
        not_empty(it.versions, pointer + "/versions");
        const offered* known = find_model(it.model, pointer + "/model");
        if (known == nullptr)
            return;
        refer_all(it.versions, known->versions, pointer + "/versions",
                  "version of this model");
        refer_all(it.adapters, known->adapters, pointer + "/adapters",
                  "adapter of this model");
        const offered& served = served_[it.model];
        for (std::size_t n = 0; n < it.versions.size(); ++n) {
            if (known->versions.contains(it.versions[n]) &&
                !served.versions.contains(it.versions[n]))
                report_reference(event::manifest_inconsistent,
                                 at(pointer + "/versions", n),
                                 "no target serves this version");
        }
    }

    void check_team(const team& it, const std::string& pointer)
    {
        refer_all(it.caller_kinds, kinds_, pointer + "/caller_kinds",
                  "caller kind");
        std::unordered_set<model_id> granted;
        for (std::size_t n = 0; n < it.models.size(); ++n) {
            const std::string place = at(pointer + "/models", n);
            check_grant(it.models[n], place);
            define_one(it.models[n].model, place + "/model", granted);
        }
        refer_all(it.services, services_, pointer + "/services", "service");
        for (std::size_t n = 0; n < it.services.size(); ++n) {
            if (services_.contains(it.services[n]) &&
                !served_services_.contains(it.services[n]))
                report_reference(event::manifest_inconsistent,
                                 at(pointer + "/services", n),
                                 "no target serves this service");
        }
    }

    void check_teams()
    {
        define(manifest_.teams, &team::id, "/teams", "id", teams_);
        for (std::size_t n = 0; n < manifest_.teams.size(); ++n)
            check_team(manifest_.teams[n], at("/teams", n));
    }

    void check_budgets()
    {
        const auto& list = manifest_.budgets;
        std::unordered_set<budget_id> known;
        define(list, &budget::id, "/budgets", "id", known);
        for (std::size_t n = 0; n < list.size(); ++n) {
            const std::string pointer = at("/budgets", n);
            refer(list[n].team, teams_, pointer + "/team", "team");
            check_topups(list[n], pointer + "/topups");
        }
    }

    void check_topups(const budget& it, const std::string& pointer)
    {
        std::unordered_set<topup_id> known;
        define(it.topups, &topup::id, pointer, "id", known);
        std::int64_t sum = 0;
        for (const topup& paid : it.topups) {
            // Two numbers of up to 2^53 can't overflow here.
            sum += paid.amount.count();
            if (sum > max_budget_tokens) {
                sink_.add(event::manifest_out_of_range, pointer,
                          "the top-ups add up to more than " +
                              std::to_string(max_budget_tokens) + " tokens");
                return;
            }
        }
    }

    const document& manifest_;
    finding_sink& sink_;
    std::unordered_set<data_center_id> data_centers_;
    std::unordered_set<caller_kind> kinds_;
    std::unordered_map<model_id, offered> models_;
    std::unordered_map<model_id, offered> served_;
    std::unordered_set<service_id> services_;
    std::unordered_set<service_id> served_services_;
    std::unordered_set<team_id> teams_;
};

} // namespace

void check_references(const document& manifest, finding_sink& sink)
{
    checker(manifest, sink).run();
}

} // namespace fennelladder::manifest
