#pragma once

#include <apricothook/configservice/apricothook_kept_answer_source.hpp>
#include <apricothook/configservice/apricothook_peer_rpc_server.hpp>
#include <apricothook/configservice/apricothook_platform_client.hpp>
#include <apricothook/configservice/apricothook_platform_event.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_hashing.hpp>
#include <apricothook/testsupport/apricothook_recording_event_sink.hpp>
#include <apricothook/testsupport/apricothook_recording_inbox.hpp>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace Apricothook {

class RealClock : public Clock
{
public:
    Instant now() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
    std::uint64_t wallMilliseconds() const override { return 1'700'000'000'000; }
};

/** Refuses any text that contains "bad". */
class FakeChecker : public TextChecker
{
public:
    Result<FleetText, TextFault> check(std::string_view text) const override
    {
        if (text.find("bad") != std::string_view::npos)
            return TextFault {1, "line 1"};
        return FleetText();
    }
};

class FakeAnswers : public KeptAnswerSource
{
public:
    std::shared_ptr<const KeptAnswer> keptAnswer(const RequestKey &key) override
    {
        return key == kept ? answer : nullptr;
    }
    RequestKey kept;
    std::shared_ptr<const KeptAnswer> answer;
};

/** A TCP port on the loopback that listens and never answers. */
class ListeningPort
{
public:
    ListeningPort() : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        static_cast<void>(::bind(m_socket, reinterpret_cast<sockaddr *>(&address), size));
        ::listen(m_socket, 4);
        ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~ListeningPort() { ::close(m_socket); }
    Endpoint endpoint() const { return {"127.0.0.1", m_port}; }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

inline Endpoint freeEndpoint()
{
    return ListeningPort().endpoint();
}

/** The platform: GET /v1/config, which holds a watch until something is published, and /v1/vms. */
class FakePlatform
{
public:
    FakePlatform() : m_endpoint(freeEndpoint())
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(m_endpoint.port);
        m_daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
                                    m_endpoint.port, nullptr, nullptr, &FakePlatform::serve, this,
                                    MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
    }
    ~FakePlatform()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
            m_condition.notify_all();
        }
        MHD_stop_daemon(m_daemon);
    }
    Endpoint endpoint() const { return m_endpoint; }
    void publish(std::uint64_t revision, std::string configBody)
    {
        const std::lock_guard lock(m_mutex);
        m_revision = revision;
        m_config = std::move(configBody);
        m_condition.notify_all();
    }
    void publishText(std::uint64_t revision, const std::string &text)
    {
        publish(revision,
                "{\"revision\":" + std::to_string(revision) + ",\"text\":\"" + text + "\"}");
    }
    void publishVms(std::string body)
    {
        const std::lock_guard lock(m_mutex);
        m_vms = std::move(body);
    }
    /** Answers with what it has, whatever is asked for. */
    std::atomic<bool> isStale {false};
    std::atomic<int> configReads {0};

private:
    static MHD_Result serve(void *self, MHD_Connection *connection, const char *url, const char *,
                            const char *, const char *, std::size_t *, void **)
    {
        return static_cast<FakePlatform *>(self)->answer(connection, url);
    }
    MHD_Result answer(MHD_Connection *connection, const std::string &url)
    {
        if (url == "/v1/vms") {
            const std::lock_guard lock(m_mutex);
            return send(connection, MHD_HTTP_OK, m_vms);
        }
        ++configReads;
        const std::uint64_t after = argument(connection, "after");
        std::unique_lock lock(m_mutex);
        const auto hasNews = [&] { return m_isStopping || isStale || m_revision > after; };
        m_condition.wait_for(lock, std::chrono::seconds(argument(connection, "wait")), hasNews);
        const bool isNews = isStale || m_revision > after;
        return send(connection, isNews ? MHD_HTTP_OK : MHD_HTTP_NOT_MODIFIED,
                    isNews ? m_config : "");
    }
    static std::uint64_t argument(MHD_Connection *connection, const char *name)
    {
        const char *value = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
        return value ? std::stoull(value) : 0;
    }
    static MHD_Result send(MHD_Connection *connection, unsigned status, const std::string &body)
    {
        MHD_Response *response = MHD_create_response_from_buffer(
            body.size(), const_cast<char *>(body.data()), MHD_RESPMEM_MUST_COPY);
        const MHD_Result result = MHD_queue_response(connection, status, response);
        MHD_destroy_response(response);
        return result;
    }

    Endpoint m_endpoint;
    MHD_Daemon *m_daemon = nullptr;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_isStopping = false;
    std::uint64_t m_revision = 0;
    std::string m_config;
    std::string m_vms = "{\"revision\":0,\"vms\":[]}";
};

/** A member that serves texts and kept answers on the loopback. */
struct ServingMember
{
    explicit ServingMember(PeerKeys keys) : seal(std::move(keys))
    {
        server.emplace(PeerRpcSurroundings {seal, shelf, answers, clock, events, counters},
                       endpoint);
        isListening = server->start();
    }
    Endpoint endpoint = freeEndpoint();
    RpcSeal seal;
    TextShelf shelf;
    FakeAnswers answers;
    RealClock clock;
    RecordingEventSink events;
    PlatformCounters counters;
    std::optional<PeerRpcServer> server;
    bool isListening = false;
};

inline PeerKeys testKeys(const char *secret = "0123456789abcdef")
{
    return {PeerKey {1, secret}};
}

/** A text of about `bytes` bytes in lines like those of a fleet text. */
inline std::string longText(std::size_t bytes)
{
    std::string text;
    for (std::size_t line = 0; text.size() < bytes; ++line)
        text += "    { \"id\": \"target-" + std::to_string(line)
            + "\", \"service\": \"maps\", \"address\": \"10.0.0.1:80\", \"slots\": 8 },\n";
    return text;
}

} // namespace Apricothook
