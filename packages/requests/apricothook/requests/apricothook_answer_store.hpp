#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <memory>

namespace Apricothook {

/** Finished answers that this daemon keeps for requests that are sent again. */
class AnswerStore
{
public:
    virtual ~AnswerStore() = default;
    virtual void keep(const RequestKey &key, std::shared_ptr<const KeptAnswer> answer, Instant now)
        = 0;
    /** Null when it isn't kept, or no longer. */
    virtual std::shared_ptr<const KeptAnswer> find(const RequestKey &key, Instant now) = 0;
};

} // namespace Apricothook
