#pragma once

#include <apricothook/homes/apricothook_home_map.hpp>
#include <apricothook/homes/apricothook_homes_event.hpp>
#include <apricothook/homes/internal/apricothook_key_store.hpp>
#include <apricothook/homes/internal/apricothook_name_table.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_member_view.hpp>

namespace Apricothook {

/** Numbers of a home, from the policy in force. */
struct KeyHomeLimits
{
    Duration window = Policy().deduplicationWindow;
    std::size_t keptKeys = Policy().keptKeys;
    /** Exchanges per key whose closed attempts are remembered. */
    std::size_t closedExchanges = 32;
    auto operator<=>(const KeyHomeLimits &) const = default;
};

/**
 * The home of keys: grants the dispatch of each key once; the proof is in docs/AT-MOST-ONCE.md.
 *
 * What an entry must keep to: it numbers the attempts of an exchange from 1; it dispatches an
 * attempt at most once, within its patience, which is shorter than the window, and only after every
 * home that homesOf() or a WrongHome reply named for it replied Granted; in otherHomes it names
 * only homes that it asks; it asks for attempt n + 1 of an exchange only after it proved that
 * attempt n did not run; it never dispatches an attempt that it reported; and it resends an
 * OutcomeReport until it is acknowledged.
 */
class KeyHome
{
public:
    KeyHome(const HomeMap &map, const MemberView &members, EventSink &events, KeyHomeLimits limits,
            Instant startedAt);

    /**
     * The first call takes the place of the constructor's limits. After it a longer window holds at
     * once; a shorter one only for a later life, as the longer one was promised.
     */
    void setLimits(const KeyHomeLimits &limits, Instant now);

    void handle(const MemberId &from, const GrantRequest &request, Instant now, Outbox &out);
    void handle(const MemberId &from, const OutcomeReport &report, Instant now, Outbox &out);
    void handle(const MemberId &from, const KeyQuery &query, Instant now, Outbox &out) const;

    /** Drops keys whose time is over; handle() does so too. */
    void expire(Instant now);
    /** Until the memory covers a whole window; zero when it does. */
    Duration untilMemoryWhole(Instant now) const;
    std::size_t keptKeys() const { return m_store.size(); }

private:
    /** Whether this life may decide on a key, and whether it may have forgotten it. */
    struct Standing
    {
        bool isHome = false;
        /** The key may be older than this life, or than what it still remembers. */
        bool mayBeForgotten = false;
        std::vector<MemberId> homes;
    };

    Standing standingOf(const RequestKey &key, const CustomerId &customer, Instant now) const;
    Standing ticketStanding(const Ticket &ticket, Instant now) const;
    bool asksAllHomes(const GrantRequest &request, const Standing &standing) const;
    GrantVerdict decide(const GrantRequest &request, const Standing &standing, Instant now,
                        const KeyRecord *&known);
    GrantVerdict decideNew(const GrantRequest &request, const Standing &standing, Instant now,
                           const KeyRecord *&known);
    GrantVerdict decideKnown(const GrantRequest &request, KeyRecord &record,
                             const Standing &standing, Instant now);
    GrantVerdict decideClosed(const GrantRequest &request, KeyRecord &record, Instant now);
    GrantVerdict grant(const GrantRequest &request, KeyRecord &record, Instant now);
    GrantVerdict verdictOf(const KeyRecord &record) const;
    bool isOther(const GrantRequest &request, const KeyRecord &record);
    void apply(const OutcomeReport &report, KeyRecord &record, Instant now);
    void close(KeyRecord &record, const ExchangeRef &attempt);
    bool isHolderAlive(const KeyRecord &record) const;
    ExchangeRef refOf(const AttemptId &attempt);
    void record(HomesEvent event, const RequestKey &key, std::string details);

    const HomeMap &m_map;
    const MemberView &m_members;
    EventSink &m_events;
    KeyHomeLimits m_limits;
    Instant m_startedAt;
    bool m_isConfigured = false;
    /** Tickets from before this moment may have keys whose records are gone. */
    Instant m_forgottenBefore = Instant::min();
    KeyStore m_store;
    NameTable<CustomerId> m_customers;
    NameTable<TargetId> m_targets;
    NameTable<MemberInstance> m_lives;
};

} // namespace Apricothook
