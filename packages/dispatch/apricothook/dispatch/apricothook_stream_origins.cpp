#include <apricothook/dispatch/apricothook_stream_origins.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>

namespace Apricothook {

std::uint64_t streamHash(const RequestKey &request)
{
    return hashOf(request.text());
}

bool StreamOrigins::put(std::uint64_t stream, const StreamOrigin &origin, Instant until)
{
    const auto known = m_streams.find(stream);
    if (known == m_streams.end()) {
        const bool hadRoom = makeRoom();
        m_streams[stream] = {{origin, until}, false};
        m_byEnd.emplace(until, stream);
        return hadRoom;
    }
    Entry &entry = known->second;
    entry.isContradictory |= entry.remembered.origin != origin;
    m_byEnd.erase({entry.remembered.until, stream});
    entry.remembered.until = std::max(entry.remembered.until, until);
    m_byEnd.emplace(entry.remembered.until, stream);
    return true;
}

std::optional<RememberedOrigin> StreamOrigins::find(std::uint64_t stream, Instant now) const
{
    const auto known = m_streams.find(stream);
    if (known == m_streams.end() || known->second.isContradictory
        || known->second.remembered.until <= now)
        return std::nullopt;
    return known->second.remembered;
}

void StreamOrigins::review(Instant now)
{
    while (!m_byEnd.empty() && m_byEnd.begin()->first <= now) {
        m_streams.erase(m_byEnd.begin()->second);
        m_byEnd.erase(m_byEnd.begin());
    }
}

bool StreamOrigins::makeRoom()
{
    if (m_streams.size() < MaximumStreams)
        return true;
    m_streams.erase(m_byEnd.begin()->second);
    m_byEnd.erase(m_byEnd.begin());
    return false;
}

} // namespace Apricothook
