#pragma once

#include <apricothook/configuration/apricothook_configuration_action.hpp>
#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

struct CoreParts;

/** Does what the configuration keeper asks for; a new generation reaches every part in one turn. */
class ConfigurationApplier
{
public:
    explicit ConfigurationApplier(CoreParts &parts) : m_parts(parts) { }
    void perform(const ConfigurationAction &action, Instant now, Outbox &out);

private:
    void apply(const ApplyConfiguration &action, Instant now, Outbox &out);
    void apply(const ApplyVmList &action, Instant now, Outbox &out);
    void setLimits(const FleetText &text, Instant now);

    CoreParts &m_parts;
};

} // namespace Apricothook
