#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/eventloop/apricothook_stream_socket.hpp>

#include <memory>
#include <optional>

namespace Apricothook {

/** A connection to a target that is being opened, and the way that it takes. */
struct OpeningConnection
{
    std::unique_ptr<StreamConnection> connection;
    /** The daemon that carries the connection's bytes; empty on this daemon's own path. */
    std::optional<Endpoint> relay;
    /** Time after which the attempt to connect is given up. */
    Duration timeout {};
};

/** Opens connections to targets. */
class TargetConnector
{
public:
    virtual ~TargetConnector() = default;
    /** `request`: the id of the caller's request for which the connection is opened. */
    virtual OpeningConnection open(const TargetEntry &target, const RequestKey &request,
                                   StreamSocketEvents &events)
        = 0;
    /** Whether an idle connection that took the given way may carry another request. */
    virtual bool isUsable(const TargetEntry &target,
                          const std::optional<Endpoint> &relay) const = 0;
};

} // namespace Apricothook
