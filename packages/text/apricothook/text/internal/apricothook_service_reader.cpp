#include <apricothook/text/internal/apricothook_circular_dependencies.hpp>
#include <apricothook/text/internal/apricothook_object_reader.hpp>
#include <apricothook/text/internal/apricothook_section_readers.hpp>
#include <apricothook/text/internal/apricothook_text_references.hpp>

namespace Apricothook {

namespace {

constexpr Word<ServiceKind> KindWords[] = {
    {"engine", ServiceKind::Engine},
    {"plain", ServiceKind::Plain},
};

/** A service may depend on one that comes later, so all names are known before any reference. */
void readNames(ObjectReader &root, TextReferences &references, std::vector<Service> &services)
{
    root.forEachObject("services", Need::Required, [&](ObjectReader &entry) {
        Service &service = services.emplace_back();
        entry.readNewName("id", service.id, references.services);
        if (entry.readWord("kind", service.kind, KindWords, Need::Required))
            references.kindOf.emplace(service.id, service.kind);
        entry.has("dependsOn");
    });
}

void readDependencies(ObjectReader &root, const TextReferences &references,
                      std::vector<Service> &services)
{
    std::size_t index = 0;
    root.forEach("services", Need::Optional, [&](const Json::Value &value, const ValuePath &path) {
        if (!value.isObject())
            return;
        ObjectReader entry(root.reading(), value, path);
        entry.readReferences("dependsOn", services[index++].dependsOn, references.services,
                             Need::Optional);
    });
}

void refuseCircles(ObjectReader &root, const std::vector<Service> &services)
{
    const std::vector<DependencyCircle> circles = circularDependenciesOf(services);
    std::size_t index = 0;
    root.forEach("services", Need::Optional, [&](const Json::Value &value, const ValuePath &path) {
        if (!value.isObject())
            return;
        ObjectReader entry(root.reading(), value, path);
        for (const DependencyCircle &circle : circles) {
            if (circle.front() == index)
                entry.refuse("dependsOn", TextRule::CircularDependency, describe(circle, services));
        }
        ++index;
    });
}

} // namespace

std::vector<Service> readServices(ObjectReader &root, TextReferences &references)
{
    std::vector<Service> services;
    readNames(root, references, services);
    readDependencies(root, references, services);
    refuseCircles(root, services);
    return services;
}

} // namespace Apricothook
