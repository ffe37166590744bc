#pragma once

#include <apricothook/configservice/apricothook_kept_answer_source.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>

namespace Apricothook {

/** Asks the decision core, and waits for it a bounded time. */
class CoreAnswerSource : public KeptAnswerSource
{
public:
    explicit CoreAnswerSource(CoreInbox &core) : m_core(core) { }
    std::shared_ptr<const KeptAnswer> keptAnswer(const RequestKey &key) override;

private:
    CoreInbox &m_core;
};

} // namespace Apricothook
