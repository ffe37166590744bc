#include <apricothook/core/apricothook_core.hpp>

#include <apricothook/core/internal/apricothook_core_turn.hpp>

namespace Apricothook {

Core::Core(const CoreIdentity &identity, const CorePortsSet &ports, Instant now)
    : m_turn(std::make_unique<CoreTurn>(identity, ports, now))
{
}

Core::~Core() = default;

void Core::handle(CoreEvent event, Instant now)
{
    m_turn->handle(event, now);
}

void Core::tick(Instant now)
{
    m_turn->tick(now);
}

Instant Core::nextDue() const
{
    return m_turn->nextDue();
}

bool Core::isReady() const
{
    const DrainPlan::Stage stage = m_turn->drain().stage();
    const bool isServing = stage == DrainPlan::Stage::Serving || stage == DrainPlan::Stage::Leaving;
    return isServing && m_turn->parts().keeper.isReady();
}

bool Core::isDone() const
{
    return m_turn->drain().stage() == DrainPlan::Stage::Done;
}

Generation Core::generation() const
{
    return m_turn->parts().keeper.digest().generation;
}

const Policy &Core::policy() const
{
    static const Policy defaults;
    const std::shared_ptr<const Configuration> &inForce = m_turn->parts().keeper.inForce();
    return inForce ? inForce->text.policy : defaults;
}

std::size_t Core::activeExchanges() const
{
    return m_turn->parts().flow.activeExchanges();
}

} // namespace Apricothook
