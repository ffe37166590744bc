#pragma once

#include <apricothook/eventloop/apricothook_listener.hpp>

#include <string_view>

namespace Apricothook {

/** A UDP socket on an event loop. */
class DatagramSocket : private DescriptorEvents
{
public:
    /** Receive buffer size; a longer datagram is truncated and fails to parse. */
    static constexpr std::size_t MaxDatagramBytes = 8192;
    using ReceiveHandler = std::function<void(std::string_view bytes)>;

    static Result<std::unique_ptr<DatagramSocket>, ListenError>
    open(EventLoop &loop, const Endpoint &address, ReceiveHandler received);
    ~DatagramSocket() override;
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /** Drops the datagram if the kernel doesn't accept it; UDP may lose it anyway. */
    void send(const Endpoint &to, std::string_view bytes);

private:
    DatagramSocket(EventLoop &loop, int descriptor, ReceiveHandler received);
    void onReadable() override;
    void onWritable() override { }

    EventLoop &m_loop;
    const int m_descriptor;
    ReceiveHandler m_receiveHandler;
};

} // namespace Apricothook
