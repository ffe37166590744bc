#include <apricothook/configservice/apricothook_core_answer_source.hpp>

#include <future>
#include <utility>

namespace Apricothook {

namespace {

/** The core answers in microseconds; a longer wait would hold a thread of the few from others. */
constexpr Duration CorePatience = std::chrono::milliseconds(500);

} // namespace

std::shared_ptr<const KeptAnswer> CoreAnswerSource::keptAnswer(const RequestKey &key)
{
    auto promise = std::make_shared<std::promise<std::shared_ptr<const KeptAnswer>>>();
    auto answer = promise->get_future();
    if (!m_core.tryPost(KeptAnswerQuery {key, std::move(promise)}))
        return nullptr;
    if (answer.wait_for(CorePatience) != std::future_status::ready)
        return nullptr;
    try {
        return answer.get();
    } catch (const std::future_error &) {
        // The core dropped the question as it stopped.
        return nullptr;
    }
}

} // namespace Apricothook
