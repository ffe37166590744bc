#pragma once

#include <apricothook/cli/apricothook_entry_client.hpp>

#include <string>

namespace Apricothook {

/** The JSON document at a URL; refused when the status isn't 200. Holds at most a megabyte. */
EntryAnswer httpGet(const std::string &url, long timeoutMilliseconds);

} // namespace Apricothook
