#include <apricothook/text/internal/apricothook_object_reader.hpp>
#include <apricothook/text/internal/apricothook_section_readers.hpp>

namespace Apricothook {

namespace {

constexpr Bounds<double> DeduplicationWindowBounds {10, 86400};
constexpr Bounds<double> LookupKeepBounds {1, 300};
constexpr Bounds<std::uint64_t> BodyBounds {1024, 256ULL << 20};
constexpr Bounds<std::uint64_t> ConnectionBounds {1, 1'000'000};
constexpr Bounds<std::uint64_t> KeptAnswerBounds {0, 16ULL << 30};
constexpr Bounds<std::uint64_t> KeptKeyBounds {1, 100'000'000};
constexpr Bounds<std::uint64_t> WeightStoreBounds {1, 1ULL << 40};
constexpr Bounds<std::uint64_t> ShardBounds {1, 1024};

void readPolicyKeys(ObjectReader &entry, Policy &policy)
{
    entry.readSeconds("deduplicationWindowSeconds", policy.deduplicationWindow,
                      DeduplicationWindowBounds, Need::Optional);
    entry.readSeconds("lookupKeepSeconds", policy.lookupKeep, LookupKeepBounds, Need::Optional);
    entry.readWhole("maximumBodyBytes", policy.maximumBodyBytes, BodyBounds, Need::Optional);
    entry.readWhole("maximumConnections", policy.maximumConnections, ConnectionBounds,
                    Need::Optional);
    entry.readWhole("keptAnswerBytes", policy.keptAnswerBytes, KeptAnswerBounds, Need::Optional);
    entry.readWhole("keptKeys", policy.keptKeys, KeptKeyBounds, Need::Optional);
    entry.readWhole("weightStoreBytesPerSecond", policy.weightStoreBytesPerSecond,
                    WeightStoreBounds, Need::Optional);
    entry.readWhole("shardTargets", policy.shardTargets, ShardBounds, Need::Optional);
}

} // namespace

Policy readPolicy(ObjectReader &root)
{
    Policy policy;
    root.visitObject("policy", Need::Optional,
                     [&](ObjectReader &entry) { readPolicyKeys(entry, policy); });
    return policy;
}

} // namespace Apricothook
