#include <apricothook/caller/internal/apricothook_body_budget.hpp>

#include <utility>

namespace Apricothook {

bool BodyBudget::take(std::uint64_t bytes, std::uint64_t limit)
{
    if (m_held.fetch_add(bytes) + bytes <= limit)
        return true;
    m_held -= bytes;
    return false;
}

std::shared_ptr<const std::string> holdBody(std::string body, std::shared_ptr<BodyBudget> budget)
{
    const auto giveBack = [budget = std::move(budget)](const std::string *held) {
        budget->giveBack(held->size());
        delete held;
    };
    return {new std::string(std::move(body)), giveBack};
}

} // namespace Apricothook
