#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothook {

/** A connection that carries bytes in both directions; its owner receives StreamSocketEvents. */
class StreamConnection
{
public:
    virtual ~StreamConnection() = default;

    virtual void send(std::string_view bytes) = 0;
    /** Sends bytes that are shared until the kernel has taken them, instead of a copy of them. */
    virtual void send(std::shared_ptr<const std::string> bytes) = 0;
    /** While reading is off, flow control stops the peer once the receive window is full. */
    virtual void setReading(bool reading) = 0;
    /** Buffered bytes that haven't been handed to the network yet. */
    virtual std::size_t unsentBytes() const = 0;
    virtual bool isOpen() const = 0;
    /** Closes with a reset, so that a response without a length doesn't look complete. */
    virtual void abort() = 0;
};

} // namespace Apricothook
