#pragma once

#include <apricothook/homes/apricothook_home_choice.hpp>
#include <apricothook/homes/apricothook_ticket_reader.hpp>
#include <apricothook/homes/internal/apricothook_home_table.hpp>
#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <map>
#include <string_view>

namespace Apricothook {

/**
 * Says which daemons are the homes of a key; the proof is in docs/AT-MOST-ONCE.md.
 *
 * A key with a ticket has the ticket's life as its home. Any other key has one home by the
 * table over the roster in force within the customer's home region, and beside it the homes under
 * older rosters until those are known to have learned the change a deduplication window ago.
 */
class HomeMap
{
public:
    /** An old home that never says that it learned the change is asked for this many windows. */
    static constexpr int MaximumUnconfirmedWindows = 3;

    HomeMap(MemberId self, TicketReader reader);

    /** A configuration came into force here. True when the homes of some keys changed. */
    bool apply(const Configuration &configuration, Instant now);
    /** A member said, in any message, which generation it has in force. */
    void noteGeneration(const MemberId &member, Generation generation, Instant now);

    Result<HomeChoice, HomeError> homesOf(const RequestKey &key, const CustomerId &customer,
                                          Instant now) const;
    Generation generation() const { return m_generation; }
    const TicketReader &reader() const { return m_reader; }
    /** Versions of the roster that still decide homes. */
    std::size_t versions() const { return m_versions.size(); }

private:
    using RegionTables = std::map<RegionId, HomeTable>;

    /** Members by region, as one or more generations in a row had them. */
    struct Version
    {
        RegionTables byRegion;
        HomeTable all;
        /** The generation that replaced it, and when it came into force here. */
        Generation successor;
        std::optional<Instant> replacedAt;
        /** When each member was first known to have the successor in force. */
        std::map<MemberId, Instant> confirmed;
    };

    /** A home region that a customer has, or had until `replacedAt`. */
    struct CustomerRegion
    {
        RegionId region;
        std::optional<Instant> replacedAt;
    };

    Instant longestNeed(Instant replacedAt) const;
    bool isNeeded(const Version &version, const MemberId &home, Instant now) const;
    bool applyRoster(const FleetText &text, Instant now);
    bool applyCustomers(const FleetText &text, Instant now);
    void closeVersion(Instant now);
    void forgetOld(Instant now);
    std::vector<MemberId> rosterHomes(const RequestKey &key,
                                      const std::vector<CustomerRegion> &regions,
                                      Instant now) const;
    static const HomeTable &tableOf(const Version &version, const RegionId &region);

    MemberId m_self;
    TicketReader m_reader;
    Generation m_generation;
    Duration m_window = Policy().deduplicationWindow;
    std::vector<Version> m_versions;
    std::map<CustomerId, std::vector<CustomerRegion>> m_regions;
};

} // namespace Apricothook
