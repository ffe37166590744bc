#pragma once

#include <apricothook/caller/internal/apricothook_body_budget.hpp>
#include <apricothook/model/apricothook_refusal.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Apricothook {

/** A body as it comes in, counted against the budget of the daemon from its first byte. */
class RequestBody
{
public:
    explicit RequestBody(std::shared_ptr<BodyBudget> budget) : m_budget(std::move(budget)) { }
    ~RequestBody() { drop(); }
    RequestBody(const RequestBody &) = delete;
    RequestBody &operator=(const RequestBody &) = delete;

    Result<void, RefusalReason> append(std::string_view bytes, std::uint64_t maximumBytes,
                                       std::uint64_t maximumHeldBytes);
    void drop();
    std::string_view bytes() const { return m_bytes; }
    /** Hands the body over; it stays in the budget until its last owner lets go. */
    std::shared_ptr<const std::string> hold();

private:
    std::shared_ptr<BodyBudget> m_budget;
    std::string m_bytes;
};

} // namespace Apricothook
