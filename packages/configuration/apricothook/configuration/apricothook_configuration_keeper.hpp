#pragma once

#include <apricothook/configuration/apricothook_configuration_action.hpp>
#include <apricothook/configuration/apricothook_configuration_event.hpp>
#include <apricothook/configuration/apricothook_configuration_limits.hpp>
#include <apricothook/configuration/apricothook_join_barrier.hpp>
#include <apricothook/configuration/apricothook_member_sample.hpp>
#include <apricothook/configuration/apricothook_text_claims.hpp>
#include <apricothook/configuration/apricothook_text_fetch.hpp>
#include <apricothook/configuration/apricothook_vm_list_keeper.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/ports/apricothook_core_event.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Apricothook {

/** What the keeper stands on; all outlive it. */
struct ConfigurationSurroundings
{
    const MemberView &members;
    EventSink &events;
    RandomSource &random;
};

/**
 * Keeps the configuration in force: takes candidates from the platform and from peers, puts only
 * ever higher generations in force, tells others, and joins a fleet without bringing an old
 * configuration back. Safe against loss, doubling and reordering of everything that it is given.
 */
class ConfigurationKeeper
{
public:
    /** `seeds`: how many other daemons the settings name to join through. */
    ConfigurationKeeper(ConfigurationSurroundings surroundings, DataCentreId dataCentre,
                        std::size_t seeds, Instant start, ConfigurationLimits limits = {});

    /** Call at least every second, and often (every 100 ms) while it isn't ready. */
    void tick(Instant now, ConfigurationOutput &out);

    // ---- From the platform's thread.
    void arrived(const ConfigurationReceived &candidate, Instant now, ConfigurationOutput &out);
    void rejected(const ConfigurationRejected &candidate, Instant now, ConfigurationOutput &out);
    void vmsArrived(const VmList &list, ConfigurationOutput &out);
    void platformReachability(const PlatformReachability &news, Instant now,
                              ConfigurationOutput &out);

    // ---- From peers.
    /** Any digest that a member sent: on a probe, its reply, a member list. */
    void digestSeen(const MemberUpdate &from, const StateDigest &digest, Instant now,
                    ConfigurationOutput &out);
    void digestRequested(const MemberId &from, const DigestRequest &request,
                         ConfigurationOutput &out) const;
    /** Solicited or not; a notice of news has sequence 0. */
    void digestReplied(const MemberUpdate &from, const DigestReply &reply, Instant now,
                       ConfigurationOutput &out);
    void vmListRequested(const MemberId &from, const VmListRequest &request,
                         ConfigurationOutput &out) const;

    // ---- State.
    /** False until a configuration is in force: refuse with NotConfigured. */
    bool isReady() const { return m_inForce != nullptr; }
    /** Null until ready. */
    const std::shared_ptr<const Configuration> &inForce() const { return m_inForce; }
    const VmList &vmList() const { return m_vms.list(); }
    /** What rides on every probe. */
    StateDigest digest() const;
    bool isWatching() const { return m_isWatching; }

private:
    void record(ConfigurationEvent event, const std::string &details);
    bool isNewest(const TextName &text);
    void settle(Instant now, ConfigurationOutput &out);
    bool mayServe(Instant now) const;
    void adopt(ConfigurationOutput &out);
    void tellOthers(const PeerMessage &news, ConfigurationOutput &out);
    void fetchNewest(const MemberId &teller, Instant now, ConfigurationOutput &out);
    void askAgain(Instant now, ConfigurationOutput &out);
    void askMembers(ConfigurationOutput &out);
    void chooseWatching(ConfigurationOutput &out);
    void noticeLateWake(Instant now, ConfigurationOutput &out);
    std::size_t others() const;
    Generation floorOfInterest() const;

    ConfigurationSurroundings m_surroundings;
    DataCentreId m_dataCentre;
    ConfigurationLimits m_limits;
    JoinBarrier m_barrier;
    TextClaims m_claims;
    TextFetch m_fetch;
    VmListKeeper m_vms;

    /** The highest that passed every check; waits here until this daemon may serve. */
    std::shared_ptr<const Configuration> m_candidate;
    std::shared_ptr<const std::string> m_candidateText;
    std::shared_ptr<const Configuration> m_inForce;

    std::set<TextName> m_reportedTwins;
    bool m_isWatching = false;
    std::optional<bool> m_isPlatformReachable;
    std::optional<std::uint64_t> m_watchVersion;
    Duration m_askWait {};
    Instant m_nextAsk {};
    std::optional<Instant> m_lastTick;
};

} // namespace Apricothook
