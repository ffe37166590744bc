#include <apricothook/caller/internal/apricothook_request_body.hpp>

#include <utility>

namespace Apricothook {

Result<void, RefusalReason> RequestBody::append(std::string_view bytes, std::uint64_t maximumBytes,
                                                std::uint64_t maximumHeldBytes)
{
    if (bytes.size() > maximumBytes || m_bytes.size() > maximumBytes - bytes.size())
        return RefusalReason::BodyTooLarge;
    if (!m_budget->take(bytes.size(), maximumHeldBytes))
        return RefusalReason::Overloaded;
    m_bytes.append(bytes);
    return Outcomes::success();
}

void RequestBody::drop()
{
    m_budget->giveBack(m_bytes.size());
    m_bytes = std::string();
}

std::shared_ptr<const std::string> RequestBody::hold()
{
    return holdBody(std::exchange(m_bytes, std::string()), m_budget);
}

} // namespace Apricothook
