#pragma once

#include <apricothook/homes/apricothook_answer_keeper.hpp>
#include <apricothook/requests/apricothook_answer_store.hpp>
#include <apricothook/requests/apricothook_customer_key.hpp>

namespace Apricothook {

/** Kept answers by the key of the customer. */
class EntryAnswers : public AnswerStore
{
public:
    explicit EntryAnswers(AnswerKeeper &keeper) : m_keeper(keeper) { }
    void keep(const RequestKey &key, std::shared_ptr<const KeptAnswer> answer, Instant now) override
    {
        m_keeper.keep(key, customerOfKey(key), std::move(answer), now);
    }
    std::shared_ptr<const KeptAnswer> find(const RequestKey &key, Instant now) override
    {
        return m_keeper.find(key, customerOfKey(key), now);
    }

private:
    AnswerKeeper &m_keeper;
};

} // namespace Apricothook
