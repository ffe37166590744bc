#pragma once

#include <apricothook/ports/apricothook_target_event.hpp>
#include <apricothook/ports/apricothook_target_order.hpp>
#include <apricothook/target/internal/apricothook_activity.hpp>
#include <apricothook/target/internal/apricothook_event_scanner.hpp>
#include <apricothook/target/internal/apricothook_http_exchange.hpp>
#include <apricothook/target/internal/apricothook_loop_context.hpp>
#include <apricothook/target/internal/apricothook_room_signal.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Apricothook {

/**
 * One dispatch: the request, sent at most once, and for engines the resumes of its stream. It ends
 * in one DispatchEnded. It never refuses or cuts the answer: what the caller sees is the core's
 * decision.
 */
class Dispatch : public Activity, private HttpExchangeOwner
{
public:
    Dispatch(LoopContext &context, DispatchOrder order);

    /** The end of an order of which nothing was sent and nothing will be. */
    static DispatchEnded neverBegun(const DispatchOrder &order);

    void onTurn(Instant now) override;
    /** Cancels the work at the engine too, when it may have begun there. */
    void cancel() override;
    bool hasEnded() const override { return m_hasEnded; }

private:
    /** What is done with the body of the answer that is coming. */
    enum class Reading {
        Discard, ///< A refusal's, or that of a resume that failed.
        Plain,   ///< Passed on; its framing alone tells whether it is whole.
        Stream,  ///< An event stream, passed on; only its last event makes it whole.
        Gone,    ///< The engine no longer has the stream that was begun.
        Unwanted,
    };

    bool mayBegin() override;
    void onSent() override;
    void onHead(const AnswerHead &head) override;
    BodyVerdict onBody(std::string_view bytes) override;
    void onEnded(const ExchangeEnd &end) override;

    void send();
    void resume();
    void begin(HttpRequest request);
    HttpRequest request() const;
    HttpRequest resumeRequest();
    Reading readingOfRequest(const AnswerHead &head);
    Reading readingOfResume(const AnswerHead &head);
    void noteBytes();
    bool isAnswerWhole() const;
    bool isSilent(Instant now) const;
    bool canResume() const;
    void giveRoom(Instant now);
    void breakOff(RunEnd why);
    void cancelAtEngine();
    void end(RunEnd end);

    LoopContext &m_context;
    DispatchOrder m_order;
    std::shared_ptr<RoomSignal> m_signal;
    EventScanner m_scanner;
    std::unique_ptr<HttpExchange> m_exchange;
    bool m_hasEnded = false;

    // ---- What is known of the request, over all connections.
    bool m_wasSent = false;
    bool m_isLate = false;
    bool m_isProvenNotRun = false;
    bool m_isResumable = false;
    int m_status = 0;
    std::optional<std::string> m_boot;
    std::uint64_t m_bytes = 0;
    std::optional<Instant> m_firstByteAt;
    Duration m_firstByte {};

    // ---- The present connection.
    bool m_isResuming = false;
    Reading m_reading = Reading::Discard;
    bool m_isPaused = false;
    bool m_hasBytes = false;
    /** Bytes asked for once more, only for the scanner; the answer has them. */
    std::size_t m_overlap = 0;
    Instant m_begunAt {};
    Instant m_sentAt {};
    Instant m_lastByteAt {};

    // ---- Resumes.
    std::uint32_t m_resumes = 0;
    std::uint32_t m_triesWithoutProgress = 0;
    std::optional<Instant> m_nextTry;
};

} // namespace Apricothook
