#include <apricothook/text/internal/apricothook_object_reader.hpp>
#include <apricothook/text/internal/apricothook_section_readers.hpp>
#include <apricothook/text/internal/apricothook_text_references.hpp>
#include <apricothook/text/internal/apricothook_value_checks.hpp>

namespace Apricothook {

namespace {

constexpr Bounds<std::uint64_t> TierBounds {1, LowestTierRank};
constexpr Bounds<double> PatienceBounds {0.01, 86400};
constexpr Bounds<std::uint64_t> ExpectedTokenBounds {1, 1'000'000};

constexpr Word<Repeatability> RepeatabilityWords[] = {
    {"idempotent", Repeatability::Idempotent},
    {"deduplicated", Repeatability::Deduplicated},
    {"not-repeatable", Repeatability::NotRepeatable},
};

/**
 * A key that is forgotten while its request may still run would make a resend a new request: the
 * caller would see a fault ticket filed twice. A window as long as any patience prevents that.
 */
void checkPatience(ObjectReader &entry, Duration patience, Duration deduplicationWindow)
{
    if (patience <= deduplicationWindow)
        return;
    const double window = std::chrono::duration<double>(deduplicationWindow).count();
    entry.refuse("patienceSeconds", TextRule::PatienceBeyondWindow,
                 "keys are remembered for " + shortNumber(window) + " s only");
}

void readClass(ObjectReader &entry, TextReferences &references, Duration deduplicationWindow,
               RequestClass &requestClass)
{
    entry.readNewName("id", requestClass.id, references.classes);
    std::uint8_t rank = 1;
    if (entry.readWhole("tier", rank, TierBounds, Need::Required))
        requestClass.tier = Tier(rank);
    if (entry.readSeconds("patienceSeconds", requestClass.patience, PatienceBounds, Need::Required))
        checkPatience(entry, requestClass.patience, deduplicationWindow);
    entry.readWord("repeatability", requestClass.repeatability, RepeatabilityWords, Need::Optional);
    entry.readWhole("expectedTokens", requestClass.expectedTokens, ExpectedTokenBounds,
                    Need::Optional);
}

} // namespace

std::vector<RequestClass> readClasses(ObjectReader &root, TextReferences &references,
                                      Duration deduplicationWindow)
{
    std::vector<RequestClass> all;
    const bool isList = root.forEachObject("classes", Need::Required, [&](ObjectReader &entry) {
        readClass(entry, references, deduplicationWindow, all.emplace_back());
    });
    if (isList && all.empty())
        root.refuse("classes", TextRule::EmptyList, "every request is of a class");
    return all;
}

} // namespace Apricothook
