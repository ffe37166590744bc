#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <string>
#include <string_view>

namespace Apricothook {

enum class ItemKind {
    Configuration,
    Target,
    Evacuation, ///< While it is there, its data centre's targets get nothing.
    Other,
};

/** A published item that can't be read: the field that is wrong. */
struct ItemFault
{
    std::string field;

    auto operator<=>(const ItemFault &) const = default;
};

/** Reads published items into the project's types; their formats behind one interface. */
class ItemDecoder
{
public:
    virtual ~ItemDecoder() = default;
    virtual ItemKind kindOf(std::string_view key) const = 0;
    virtual Result<ServingConfiguration, ItemFault> configuration(std::string_view value) const = 0;
    virtual TargetId targetOfKey(std::string_view key) const = 0;
    /** Of an evacuation's key. */
    virtual DataCentreId dataCentreOfKey(std::string_view key) const = 0;
    virtual Result<TargetEntry, ItemFault> target(std::string_view key,
                                                  std::string_view value) const = 0;
};

} // namespace Apricothook
