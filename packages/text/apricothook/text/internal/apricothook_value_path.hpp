#pragma once

#include <string>
#include <string_view>

namespace Apricothook {

/**
 * Where a value stands, as a chain of steps on the stack. The string is made only for errors, so
 * that a good text costs none.
 */
struct ValuePath
{
    const ValuePath *parent = nullptr;
    /** A key of an object; empty for an entry of a list and for the root. */
    std::string_view key;
    std::size_t index = 0;

    /** Such as "targets[3].slots"; "$" for the root. */
    std::string text() const;
};

} // namespace Apricothook
