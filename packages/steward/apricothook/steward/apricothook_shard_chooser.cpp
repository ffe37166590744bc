#include <apricothook/steward/apricothook_shard_chooser.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

/** A summary older than this says nothing any more. */
constexpr Duration SummaryLife = std::chrono::seconds(3);
/** Longer wait that a shard with the prompt's prefix may have and still come first. */
constexpr Duration AffinitySlack = std::chrono::milliseconds(200);

/** Jump consistent hashing (Lamping and Veach, 2014): few keys move when a bucket is added. */
std::size_t jumpIndex(std::uint64_t key, std::size_t buckets)
{
    constexpr std::uint64_t Multiplier = 2862933555777941757ULL;
    constexpr double Scale = 2147483648.0;
    std::int64_t index = -1;
    std::int64_t next = 0;
    while (next < static_cast<std::int64_t>(buckets)) {
        index = next;
        key = key * Multiplier + 1;
        const double step = Scale / static_cast<double>((key >> 33) + 1);
        next = static_cast<std::int64_t>(static_cast<double>(index + 1) * step);
    }
    return static_cast<std::size_t>(index);
}

void addOnce(std::vector<ShardId> &list, const ShardId &shard)
{
    if (std::find(list.begin(), list.end(), shard) == list.end())
        list.push_back(shard);
}

} // namespace

ShardChooser::ShardChooser(RegionId ownRegion, RandomSource &random)
    : m_ownRegion(std::move(ownRegion)), m_random(random)
{
}

void ShardChooser::learn(const ShardSummary &summary, Instant now)
{
    m_known[summary.shard] = Known {summary, now};
}

void ShardChooser::learnFull(const ShardId &shard, Duration retryAfter, Instant now)
{
    Known &known = m_known[shard];
    known.summary.shard = shard;
    known.summary.freeSlots = 0;
    known.summary.wait = std::max(known.summary.wait, retryAfter);
    known.heard = now;
}

void ShardChooser::forgetOthers(const ShardMap &map)
{
    std::erase_if(m_known, [&](const auto &entry) { return !map.find(entry.first); });
}

std::vector<ShardId> ShardChooser::choose(const ShardMap &map, const ShardQuestion &question,
                                          Instant now)
{
    std::vector<ShardId> chosen;
    for (const RegionId &region : regionsByDistance(map, question.service)) {
        const std::vector<ShardId> &shards = map.shardsOf(question.service, region, question.model);
        if (shards.empty())
            continue;
        std::vector<ShardId> some = drawn(shards, question.firstPrefix, now);
        // A far region takes the last place only, so that a near one is never passed over.
        if (!chosen.empty() && chosen.size() >= MaximumShards)
            chosen.pop_back();
        for (const ShardId &shard : some) {
            if (chosen.size() < MaximumShards)
                chosen.push_back(shard);
        }
    }
    return chosen;
}

std::vector<RegionId> ShardChooser::regionsByDistance(const ShardMap &map,
                                                      const ServiceId &service) const
{
    std::vector<RegionId> regions = map.regionsOf(service);
    std::stable_partition(regions.begin(), regions.end(),
                          [&](const RegionId &region) { return region == m_ownRegion; });
    return regions;
}

std::vector<ShardId> ShardChooser::drawn(const std::vector<ShardId> &shards, PrefixHash prefix,
                                         Instant now)
{
    std::vector<ShardId> list;
    const bool hasPrefix = prefix != PrefixHash();
    if (hasPrefix)
        list.push_back(shards[jumpIndex(prefix.value(), shards.size())]);
    // Two at random, not the best of all: the summaries lag, and everyone would herd to the best.
    const std::size_t first = m_random.next() % shards.size();
    addOnce(list, shards[first]);
    if (shards.size() > 1) {
        const std::size_t offset = 1 + m_random.next() % (shards.size() - 1);
        addOnce(list, shards[(first + offset) % shards.size()]);
    }
    const ShardId affine = hasPrefix ? list.front() : ShardId();
    std::stable_sort(list.begin(), list.end(), [&](const ShardId &a, const ShardId &b) {
        const Duration left = waitOf(a, now) - (a == affine ? AffinitySlack : Duration());
        const Duration right = waitOf(b, now) - (b == affine ? AffinitySlack : Duration());
        return left < right;
    });
    return list;
}

Duration ShardChooser::waitOf(const ShardId &shard, Instant now) const
{
    const auto known = m_known.find(shard);
    if (known == m_known.end() || now - known->second.heard >= SummaryLife)
        return Duration();
    const Duration left
        = SummaryLife - std::chrono::duration_cast<Duration>(now - known->second.heard);
    const double share
        = static_cast<double>(left.count()) / static_cast<double>(SummaryLife.count());
    const double wait = static_cast<double>(known->second.summary.wait.count());
    return Duration(static_cast<Duration::rep>(wait * share));
}

} // namespace Apricothook
