#pragma once

#include <apricothook/fleetview/apricothook_item_replica.hpp>
#include <apricothook/fleetview/apricothook_item_watcher.hpp>
#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/serving/apricothook_item_decoder.hpp>

#include <map>
#include <optional>

namespace Apricothook {

/**
 * Brings published items into force at the gateway.
 *
 * A configuration replaces only an older one. Entries of targets lapse while the service that holds
 * them is away, though the targets serve on; removals that are heard then, and shortly after, are
 * held until a living target has had time to register again.
 */
class PublishedState
{
public:
    /** Targets register again within about two seconds of the service's return. */
    static constexpr std::chrono::milliseconds RegisterAgainTime {2500};

    PublishedState(EventLoop &loop, Gateway &gateway, const ItemDecoder &decoder, LogWriter &log);
    ~PublishedState();
    PublishedState(const PublishedState &) = delete;
    PublishedState &operator=(const PublishedState &) = delete;

    void apply(const ItemUpdate &update);
    void setSourceState(SourceState state);
    const ItemReplica &replica() const { return m_replica; }
    bool hasConfiguration() const { return m_generation.has_value(); }

private:
    void onChange(const ItemChange &change);
    void takeConfiguration(const ItemChange &change);
    void takeTarget(const ItemChange &change);
    void removeTarget(const TargetId &target, Revision revision);
    bool mayHaveLapsed(Instant now) const;
    void reject(const ItemChange &change, const ItemFault &fault);

    EventLoop &m_loop;
    Gateway &m_gateway;
    const ItemDecoder &m_decoder;
    LogWriter &m_log;
    ItemReplica m_replica;
    std::optional<Generation> m_generation;
    std::optional<SourceState> m_sourceState;
    std::optional<Instant> m_sourceBack;
    /** Removals that wait, by target. */
    std::map<TargetId, TimerId> m_held;
};

} // namespace Apricothook
