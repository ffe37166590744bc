#include <apricothook/text/apricothook_fleet_text_parser.hpp>

#include <apricothook/text/internal/apricothook_object_reader.hpp>
#include <apricothook/text/internal/apricothook_section_readers.hpp>
#include <apricothook/text/internal/apricothook_text_references.hpp>

namespace Apricothook {

namespace {

FleetText readSections(ObjectReader &root)
{
    FleetText text;
    TextReferences references;
    text.policy = readPolicy(root);
    text.dataCentres = readDataCentres(root, references);
    text.roster = readRoster(root, references);
    text.models = readModels(root, references);
    text.services = readServices(root, references);
    text.targets = readTargets(root, references);
    text.customers = readCustomers(root, references);
    text.classes = readClasses(root, references, text.policy.deduplicationWindow);
    return text;
}

} // namespace

Result<FleetText, std::vector<TextError>> parseFleetText(std::string_view text)
{
    const Result<TextDocument, TextError> document = TextDocument::parse(text);
    if (!document)
        return std::vector<TextError> {document.error()};
    TextReading reading(document.value());
    const ValuePath path;
    ObjectReader root(reading, document.value().root(), path);
    FleetText fleet = readSections(root);
    root.refuseUnknownKeys();
    if (!reading.isGood())
        return reading.takeErrors();
    return fleet;
}

} // namespace Apricothook
