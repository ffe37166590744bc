#pragma once

#include <apricothook/cli/apricothook_entry_failure.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <json/value.h>

#include <string>

namespace Apricothook {

using EntryAnswer = Result<Json::Value, EntryFailure>;

/** What the command line asks of a daemon; read-only. */
class EntryClient
{
public:
    virtual ~EntryClient() = default;
    /** GET /v1/entries: an object. */
    virtual EntryAnswer entries() = 0;
    /** JSON-RPC method "status": an object. */
    virtual EntryAnswer status() = 0;
    /** JSON-RPC method "explain" with the key of a request: an object. */
    virtual EntryAnswer explain(const std::string &key) = 0;
};

} // namespace Apricothook
