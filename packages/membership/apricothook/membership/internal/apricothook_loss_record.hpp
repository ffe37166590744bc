#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>

namespace Apricothook {

/**
 * The members lost by failure detection in the last LossWindow, and what they suggest.
 *
 * More than a third of the fleet lost is taken for a network partition: each side then uses only
 * its share of what both can reach. Losses that all lie in one data centre and are at most half of
 * the fleet are taken for the death of that data centre, whose targets are gone with it.
 */
class LossRecord
{
public:
    void add(const MemberId &member, const DataCentreId &dataCentre, Instant now);
    /** The member is back, or a new process has its name. */
    void remove(const MemberId &member);
    /** Share of the fleet that is visible, in (0, 1]. */
    double share(std::size_t visible, Instant now);

private:
    struct Loss
    {
        DataCentreId dataCentre;
        Instant at {};
    };

    bool isOneDataCentre() const;

    std::map<MemberId, Loss> m_losses;
};

} // namespace Apricothook
