#include <apricothook/core/internal/apricothook_configuration_applier.hpp>

#include <apricothook/core/apricothook_core_event.hpp>
#include <apricothook/core/internal/apricothook_core_parts.hpp>

namespace Apricothook {

void ConfigurationApplier::perform(const ConfigurationAction &action, Instant now, Outbox &out)
{
    PlatformPort &platform = m_parts.ports.platform;
    if (const auto *application = std::get_if<ApplyConfiguration>(&action))
        apply(*application, now, out);
    else if (const auto *list = std::get_if<ApplyVmList>(&action))
        apply(*list, now, out);
    else if (const auto *fetch = std::get_if<FetchText>(&action))
        platform.fetchText(fetch->peer, fetch->generation, fetch->textHash);
    else if (const auto *watching = std::get_if<SetWatching>(&action))
        platform.setWatching(watching->isWatching, watching->after);
    else if (const auto *read = std::get_if<ReadPlatform>(&action))
        platform.readOnce(read->after);
}

void ConfigurationApplier::apply(const ApplyConfiguration &action, Instant now, Outbox &out)
{
    const Configuration &configuration = *action.configuration;
    m_parts.homeMap.apply(configuration, now);
    setLimits(configuration.text, now);
    m_parts.steward.applyConfiguration(action.configuration, now, out);
    m_parts.router.configurationApplied();
    m_parts.homes.configurationApplied(configuration.text);
    m_parts.flow.applyConfiguration(action.configuration);
    m_parts.flow.membersChanged(now, out);
    m_parts.orders.applied(action.configuration, action.isFleetNew, now);
    m_parts.members.setDigest(m_parts.keeper.digest());
    m_parts.ports.platform.offerText(configuration.generation, configuration.textHash, action.text);
    m_parts.events.record({static_cast<int>(DaemonEvent::ConfigurationApplied), RequestKey(),
                           "generation=" + std::to_string(configuration.generation.value())});
}

void ConfigurationApplier::apply(const ApplyVmList &action, Instant now, Outbox &out)
{
    m_parts.steward.setLeavingVms(action.list.leaving, now, out);
    m_parts.flow.setLeavingVms(action.list.leaving);
    m_parts.members.setDigest(m_parts.keeper.digest());
}

void ConfigurationApplier::setLimits(const FleetText &text, Instant now)
{
    const Policy &policy = text.policy;
    KeyHomeLimits keys;
    keys.window = policy.deduplicationWindow;
    keys.keptKeys = policy.keptKeys;
    m_parts.keyHome.setLimits(keys, now);
    m_parts.keptAnswers.setLimits({policy.keptAnswerBytes, policy.deduplicationWindow}, now);
    m_parts.limits.setLimits(limitsOf(text));
}

} // namespace Apricothook
