#pragma once

#include <apricothook/configservice/apricothook_platform_counters.hpp>
#include <apricothook/configservice/apricothook_platform_pace.hpp>
#include <apricothook/configservice/apricothook_rpc_seal.hpp>
#include <apricothook/configservice/apricothook_text_checker.hpp>
#include <apricothook/configservice/apricothook_text_shelf.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>
#include <apricothook/ports/apricothook_core_ports.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace Apricothook {

class AnswerFetcher;
class TextFetcher;
class TextWatch;
class VmWatch;

/** What the client stands on; all outlive it and are safe for several threads. */
struct PlatformSurroundings
{
    CoreInbox &core;
    const TextChecker &checker;
    RpcSeal &seal;
    TextShelf &shelf;
    const Clock &clock;
    EventSink &events;
    PlatformCounters &counters;
};

/**
 * Reads and watches the platform, and fetches texts and kept answers from other members, each in a
 * thread of its own. A text is parsed and checked here, off the core's thread. For each read the
 * core is given the news first and PlatformReachability after it.
 */
class PlatformClient : public PlatformPort
{
public:
    /** `seed` makes the jitter differ between daemons. */
    PlatformClient(PlatformSurroundings surroundings, const Endpoint &platform, std::uint64_t seed,
                   PlatformPaceLimits limits = {});
    ~PlatformClient() override;
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    void start();
    /** Ends every exchange that is under way; returns within about a second. */
    void stop();

    void setWatching(bool isWatching, Generation after) override;
    void readOnce(Generation after) override;
    void fetchText(const Endpoint &peer, Generation generation, std::uint64_t textHash) override;
    void fetchAnswer(const Endpoint &peer, const RequestKey &key, ExchangeId exchange) override;
    void offerText(Generation generation, std::uint64_t textHash,
                   std::shared_ptr<const std::string> text) override;

private:
    PlatformSurroundings m_surroundings;
    std::atomic<bool> m_stop {false};
    std::unique_ptr<TextWatch> m_textWatch;
    std::unique_ptr<VmWatch> m_vmWatch;
    std::unique_ptr<TextFetcher> m_textFetcher;
    std::unique_ptr<AnswerFetcher> m_answerFetcher;
};

} // namespace Apricothook
