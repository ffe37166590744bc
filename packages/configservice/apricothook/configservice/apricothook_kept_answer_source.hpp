#pragma once

#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <memory>

namespace Apricothook {

/** Where a daemon's kept answers are asked for by the threads that serve other members. */
class KeptAnswerSource
{
public:
    virtual ~KeptAnswerSource() = default;
    /** Null when this daemon doesn't keep it, or couldn't say in time. */
    virtual std::shared_ptr<const KeptAnswer> keptAnswer(const RequestKey &key) = 0;
};

} // namespace Apricothook
