#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <functional>
#include <memory>

namespace Apricothook {

/** Sizes of the kernel's buffers of a connection in bytes; zero: as the system likes. */
struct BufferSizes
{
    /** For bytes that are received and not yet read. */
    std::uint32_t receive = 0;
    /** For bytes that are sent and not yet acknowledged. */
    std::uint32_t send = 0;

    auto operator<=>(const BufferSizes &) const = default;
};

/** The errno value from opening a listening address. */
struct ListenError
{
    Endpoint address;
    int errorNumber = 0;
};

/** Accepts TCP connections at an address and passes on their descriptors. */
class Listener : private DescriptorEvents
{
public:
    using AcceptHandler = std::function<void(int descriptor)>;
    /** Called with the errno value if the process has no room for the connections that wait. */
    using ExhaustionHandler = std::function<void(int errorNumber)>;
    /** Connections wait so long before they are accepted again after the process had no room. */
    static constexpr std::chrono::milliseconds ExhaustionPause {100};

    static Result<std::unique_ptr<Listener>, ListenError>
    open(EventLoop &loop, const Endpoint &address, AcceptHandler accepted,
         ExhaustionHandler exhausted = {}, const BufferSizes &buffers = {});
    ~Listener() override;
    /** The bound port; chosen by the system if the address has port zero. */
    std::uint16_t port() const;
    /** Accepts all connections that wait. */
    void acceptWaiting();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

private:
    Listener(EventLoop &loop, int descriptor, AcceptHandler accepted, ExhaustionHandler exhausted);
    void onReadable() override;
    /** Whether a connection waited. */
    bool acceptOne();
    void pause(int errorNumber);
    void onWritable() override { }

    EventLoop &m_loop;
    const int m_descriptor;
    AcceptHandler m_acceptHandler;
    ExhaustionHandler m_exhaustionHandler;
    TimerId m_pause = 0;
};

} // namespace Apricothook
