#pragma once

#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/paths/apricothook_relay_peers.hpp>
#include <apricothook/paths/apricothook_relay_protocol.hpp>

#include <map>
#include <optional>
#include <vector>

namespace Apricothook {

/**
 * Selects the daemons through which this one reaches targets.
 *
 * A daemon that was cut off together with this one may not know it yet, and a request that is
 * handed to it may be lost. Requests therefore go only through daemons that have lately been found
 * to reach a target.
 */
class RelaySelection
{
public:
    /** Time for which a daemon that reached a target is taken to reach others too. */
    static constexpr std::chrono::seconds ProofTime {10};
    /** Time for which a daemon isn't used after it couldn't help. */
    static constexpr std::chrono::seconds FailurePause {1};

    RelaySelection(DataCentreId own, RandomSource &random)
        : m_ownDataCentre(std::move(own)), m_random(random)
    {
    }

    /**
     * The daemon for a connection to a target in the data centre; empty if none of the candidates
     * is known to reach targets.
     */
    std::optional<Endpoint> choose(const std::vector<RelayCandidate> &candidates,
                                   const DataCentreId &target, Instant now);
    /**
     * Up to `most` daemons to ask whether they reach a target, from as many data centres as
     * possible: daemons of one data centre are often cut off together.
     */
    std::vector<Endpoint> choosePanel(const std::vector<RelayCandidate> &candidates,
                                      std::size_t most);
    void record(const Endpoint &relay, RelayOutcome outcome, Instant now);
    /** A connection through the daemon broke off. */
    void recordBroken(const Endpoint &relay) { m_states[relay].proven.reset(); }

private:
    struct State
    {
        std::optional<Instant> proven;
        Instant pausedUntil {};
    };

    bool isProven(const Endpoint &relay, Instant now) const;
    /** Number of crossings between data centres on the way to the target. */
    int crossings(const RelayCandidate &candidate, const DataCentreId &target) const;

    const DataCentreId m_ownDataCentre;
    RandomSource &m_random;
    std::map<Endpoint, State> m_states;
};

} // namespace Apricothook
