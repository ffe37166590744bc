#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <string>
#include <string_view>

namespace Apricothook {

enum class ItemKind {
    Configuration,
    Target,
    Evacuation, ///< Targets of the data centre get no requests while the item exists.
    Other,
};

/** Decoding error of a published item: the invalid field. */
struct ItemError
{
    std::string field;

    auto operator<=>(const ItemError &) const = default;
};

/** Interface that decodes published items of a platform's format into the project's types. */
class ItemDecoder
{
public:
    virtual ~ItemDecoder() = default;
    virtual ItemKind kindOf(std::string_view key) const = 0;
    virtual Result<ServingConfiguration, ItemError> configuration(std::string_view value) const = 0;
    virtual TargetId targetOfKey(std::string_view key) const = 0;
    /** Data centre named by the key of an evacuation. */
    virtual DataCentreId dataCentreOfKey(std::string_view key) const = 0;
    virtual Result<TargetEntry, ItemError> target(std::string_view key,
                                                  std::string_view value) const = 0;
};

} // namespace Apricothook
