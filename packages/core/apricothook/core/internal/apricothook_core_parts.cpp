#include <apricothook/core/internal/apricothook_core_parts.hpp>

namespace Apricothook {

namespace {

MemberUpdate selfOf(const CoreIdentity &identity)
{
    const Settings &settings = identity.settings;
    MemberUpdate self;
    self.instance = {settings.id, identity.incarnation};
    self.peerAddress = settings.peerAddress;
    self.callerAddress = settings.callerAddress;
    self.dataCentre = settings.dataCentre;
    self.region = settings.region;
    return self;
}

} // namespace

CoreParts::CoreParts(const CoreIdentity &who, const CorePortsSet &through, Instant start)
    : identity(who)
    , ports(through)
    , events(through.events)
    , members(selfOf(who), through.random, events)
    , lookup(members, through.random)
    , keeper({members, events, through.random}, who.settings.dataCentre, who.settings.seeds.size(),
             start)
    , orders({members, events, through.random})
    , steward(members, events)
    , issuer({who.settings.id, who.incarnation}, who.keys.front())
    , homeMap(who.settings.id, TicketReader(who.keys))
    , keyHome(homeMap, members, events, {}, start)
    , keptAnswers(AnswerKeeperLimits())
    , suspects(members, through.random, events)
    , limits(members)
    , router(steward, members, who.settings.region, through.random)
    , homes(homeMap, members, issuer, through.random)
    , gate(limits, suspects)
    , answers(keptAnswers)
    , flow({members, router, homes, gate, answers, through.targets, through.platform, events,
            through.observer})
{
}

} // namespace Apricothook
