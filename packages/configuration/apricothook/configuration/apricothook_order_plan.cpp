#include <apricothook/configuration/apricothook_order_plan.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace Apricothook {

namespace {

/** A text comes into force some seconds apart at the daemons, and so do their turns. */
constexpr Duration UnloadMargin = std::chrono::seconds(10);

std::string_view nameOf(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    case EngineRole::Serve:
        break;
    }
    return "serve";
}

std::set<ServiceId> engineServices(const FleetText &text)
{
    std::set<ServiceId> services;
    for (const Service &service : text.services) {
        if (service.kind == ServiceKind::Engine)
            services.insert(service.id);
    }
    return services;
}

std::set<ModelId> allModels(const FleetText &current, const FleetText *previous)
{
    std::set<ModelId> models;
    for (const Model &model : current.models)
        models.insert(model.id);
    if (previous) {
        for (const Model &model : previous->models)
            models.insert(model.id);
    }
    return models;
}

void addLoads(TargetPlan &plan, const FleetText &text, const Target &target,
              const LoadSchedule &schedule)
{
    for (const ModelId &id : target.models) {
        const Model *model = findModel(text, id);
        if (!model)
            continue;
        plan.orders.push_back({EngineOrderKind::LoadModel, id.text(), model->version, "",
                               model->weightBytes,
                               schedule.turnOf({target.id, id, model->version})});
        for (const std::string &adapter : model->adapters)
            plan.orders.push_back({EngineOrderKind::LoadAdapter, adapter, model->version, id.text(),
                                   0, std::nullopt});
    }
}

void addUnloads(TargetPlan &plan, const std::set<ModelId> &models, const Target &target,
                const LoadSchedule &schedule)
{
    for (const ModelId &model : models) {
        if (std::find(target.models.begin(), target.models.end(), model) != target.models.end())
            continue;
        const std::optional<Instant> loaded = schedule.endOf(model);
        const auto turn = loaded ? std::optional(*loaded + UnloadMargin) : std::nullopt;
        plan.orders.push_back({EngineOrderKind::UnloadModel, model.text(), "", "", 0, turn});
    }
}

} // namespace

std::vector<TargetPlan> planOrders(const FleetText &current, const FleetText *previous,
                                   const LoadSchedule &schedule)
{
    const std::set<ServiceId> engines = engineServices(current);
    const std::set<ModelId> models = allModels(current, previous);
    std::vector<TargetPlan> plans;
    for (const Target &target : current.targets) {
        if (!engines.contains(target.service))
            continue;
        TargetPlan plan {target.id, target.address, target.checksFencing, {}};
        plan.orders.push_back(
            {EngineOrderKind::SetRole, std::string(nameOf(target.role)), "", "", 0, std::nullopt});
        addLoads(plan, current, target, schedule);
        addUnloads(plan, models, target, schedule);
        plans.push_back(std::move(plan));
    }
    return plans;
}

} // namespace Apricothook
