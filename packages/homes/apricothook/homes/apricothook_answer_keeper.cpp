#include <apricothook/homes/apricothook_answer_keeper.hpp>

namespace Apricothook {

namespace {

/** Nodes, pointers and counters of one kept answer, beside its bytes. */
constexpr std::uint64_t OverheadBytes = 256;

std::uint64_t bytesOf(const RequestKey &key, const KeptAnswer &answer)
{
    std::uint64_t bytes = OverheadBytes + 2 * key.text().size() + answer.body.size();
    for (const Header &header : answer.head.headers)
        bytes += sizeof(Header) + header.name.size() + header.value.size();
    return bytes;
}

} // namespace

AnswerKeeper::AnswerKeeper(AnswerKeeperLimits limits) : m_limits(limits) { }

void AnswerKeeper::setLimits(AnswerKeeperLimits limits, Instant now)
{
    m_limits = limits;
    while (m_bytes > m_limits.bytes)
        dropOldest();
    expire(now);
}

bool AnswerKeeper::keep(const RequestKey &key, const CustomerId &customer,
                        std::shared_ptr<const KeptAnswer> answer, Instant now)
{
    expire(now);
    const std::uint64_t bytes = bytesOf(key, *answer);
    if (bytes > m_limits.bytes)
        return false;
    if (m_byKey.contains(key))
        return true;
    while (m_bytes + bytes > m_limits.bytes)
        dropOldest();
    m_kept.push_back({key, customer, std::move(answer), bytes, now});
    m_byKey.emplace(key, std::prev(m_kept.end()));
    m_bytes += bytes;
    return true;
}

std::shared_ptr<const KeptAnswer> AnswerKeeper::find(const RequestKey &key,
                                                     const CustomerId &customer, Instant now) const
{
    const auto found = m_byKey.find(key);
    if (found == m_byKey.end())
        return nullptr;
    const Kept &kept = *found->second;
    // Keys are the callers' choice, and two customers may choose the same.
    if (kept.customer != customer || kept.finishedAt + m_limits.window <= now)
        return nullptr;
    return kept.answer;
}

void AnswerKeeper::expire(Instant now)
{
    while (!m_kept.empty() && m_kept.front().finishedAt + m_limits.window <= now)
        dropOldest();
}

void AnswerKeeper::dropOldest()
{
    m_bytes -= m_kept.front().bytes;
    m_byKey.erase(m_kept.front().key);
    m_kept.pop_front();
}

} // namespace Apricothook
