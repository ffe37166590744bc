#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <string>

namespace Apricothook {

/** What the orders to engines must know of the rest of the daemon. */
class OrderContext
{
public:
    virtual ~OrderContext() = default;
    /** Whether this daemon is the steward of the target's shard, and so sends its orders. */
    virtual bool isMine(const TargetId &target) const = 0;
    /** Whether work that uses the model still runs, or is reserved, at the target. */
    virtual bool isInUse(const TargetId &target, const ModelId &model) const = 0;
};

} // namespace Apricothook
