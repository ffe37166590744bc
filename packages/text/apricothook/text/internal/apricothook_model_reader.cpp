#include <apricothook/text/internal/apricothook_object_reader.hpp>
#include <apricothook/text/internal/apricothook_section_readers.hpp>
#include <apricothook/text/internal/apricothook_text_references.hpp>

namespace Apricothook {

namespace {

constexpr Bounds<std::uint64_t> WeightBounds {1, 1ULL << 44};

void readModel(ObjectReader &entry, TextReferences &references, Model &model)
{
    entry.readNewName("id", model.id, references.models);
    entry.readName("version", model.version, Need::Required);
    entry.readWhole("weightBytes", model.weightBytes, WeightBounds, Need::Required);
    entry.readNames("adapters", model.adapters, nullptr, Need::Optional);
}

} // namespace

std::vector<Model> readModels(ObjectReader &root, TextReferences &references)
{
    std::vector<Model> all;
    root.forEachObject("models", Need::Optional, [&](ObjectReader &entry) {
        readModel(entry, references, all.emplace_back());
    });
    return all;
}

} // namespace Apricothook
