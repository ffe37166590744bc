#pragma once

#include <string>
#include <string_view>

namespace Apricothook {

/** The body in gzip format (RFC 1952), compressed with little processor time. */
std::string gzipCompressed(std::string_view body);

} // namespace Apricothook
