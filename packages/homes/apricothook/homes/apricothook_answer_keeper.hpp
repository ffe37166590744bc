#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <list>
#include <memory>
#include <unordered_map>

namespace Apricothook {

struct AnswerKeeperLimits
{
    /** Bytes of all kept answers, their headers and keys included. */
    std::uint64_t bytes = 64ULL << 20;
    /** How long an answer is kept after it finished. */
    Duration window = std::chrono::seconds(600);
    auto operator<=>(const AnswerKeeperLimits &) const = default;
};

/** Keeps finished answers at their entry for callers that send a request again. */
class AnswerKeeper
{
public:
    explicit AnswerKeeper(AnswerKeeperLimits limits);

    void setLimits(AnswerKeeperLimits limits, Instant now);
    /** Keeps an answer; the first of a key stays. False when it is larger than all the room. */
    bool keep(const RequestKey &key, const CustomerId &customer,
              std::shared_ptr<const KeptAnswer> answer, Instant now);
    /** Null when it isn't kept, or belongs to another customer. */
    std::shared_ptr<const KeptAnswer> find(const RequestKey &key, const CustomerId &customer,
                                           Instant now) const;
    /** Drops answers whose time is over; keep() does so too. */
    void expire(Instant now);
    std::uint64_t bytes() const { return m_bytes; }
    std::size_t size() const { return m_byKey.size(); }

private:
    struct Kept
    {
        RequestKey key;
        CustomerId customer;
        std::shared_ptr<const KeptAnswer> answer;
        std::uint64_t bytes = 0;
        Instant finishedAt {};
    };

    void dropOldest();

    AnswerKeeperLimits m_limits;
    std::uint64_t m_bytes = 0;
    /** The one that finished first stands first. */
    std::list<Kept> m_kept;
    std::unordered_map<RequestKey, std::list<Kept>::iterator> m_byKey;
};

} // namespace Apricothook
