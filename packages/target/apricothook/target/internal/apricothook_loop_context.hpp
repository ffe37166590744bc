#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>
#include <apricothook/target/apricothook_target_options.hpp>
#include <apricothook/target/internal/apricothook_loop_waker.hpp>

#include <memory>
#include <string>

#include <curl/curl.h>

namespace Apricothook {

/** What the loop lends to the activities that it runs. */
class LoopContext
{
public:
    virtual ~LoopContext() = default;
    virtual CURLM *multi() = 0;
    virtual Instant now() const = 0;
    virtual CoreInbox &inbox() = 0;
    virtual const TargetOptions &options() const = 0;
    virtual std::shared_ptr<LoopWaker> waker() = 0;
    /** Asks an engine to stop a stream; best effort, its answer isn't waited for. */
    virtual void cancelStream(const Endpoint &address, const std::string &streamId) = 0;
};

} // namespace Apricothook
