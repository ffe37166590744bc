#pragma once

#include <apricothook/gateway/apricothook_caller_responder.hpp>
#include <apricothook/gateway/apricothook_event_stream_scanner.hpp>
#include <apricothook/gateway/apricothook_gateway_context.hpp>
#include <apricothook/gateway/apricothook_request_end.hpp>
#include <apricothook/gateway/internal/apricothook_attempt.hpp>
#include <apricothook/gateway/internal/apricothook_request_admission.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Apricothook {

/**
 * One request of a caller on its way: admission, waiting for a target, the target's answer, and
 * another target where the route allows it.
 *
 * "Not run" is said only while it is certain: no byte was sent, or every target that got the
 * request stated that it didn't run it. After anything else the caller hears that it may have run.
 */
class ForwardedRequest : public CallerRequestEvents, private TargetAnswerEvents
{
public:
    ForwardedRequest(GatewayContext &context, ExchangeId id, ReceivedRequest request,
                     CallerResponder &responder);
    ~ForwardedRequest() override;
    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

    ExchangeId id() const { return m_id; }
    void begin();
    void placed(const TargetEntry &target);
    void refused(const RefusalDetails &facts);
    /** The customer's limit has the request's units, or not. */
    void limitDecided(const LimitDecision &verdict);
    /** What an earlier start of the target had of the request is lost with it. */
    void targetRestarted(const TargetInstance &present);
    void onCallerGone() override;
    void onCallerDrained() override;

private:
    /** What the caller has of the answer. */
    enum class Progress { Nothing, Head, Ended };

    void onAnswerHead(const ResponseHead &head, const TargetResponseFields &verdict) override;
    void onAnswerBody(std::string_view bytes) override;
    void onAnswerComplete() override;
    void onAnswerFailed(ChannelFailure failure) override;

    /** True when the request was refused, as it crashes its targets. */
    bool refuseQuarantined();
    void takeUnits();
    void start();
    void offer();
    /** Neither for units nor for a target any longer. */
    void stopWaiting();
    void send(const TargetEntry &target);
    void watchSilence(Duration limit);
    Duration firstEventLimit() const;
    bool isStreaming() const;
    void passEvents(std::string_view bytes);
    void passLargeBody();
    void passOwnHead(BodyFraming framing);
    void completeStream();
    void completePlain();
    void attemptFailed(TargetOutcome outcome, std::string_view cause);
    void endAttempt(TargetOutcome outcome);
    bool mayTryAgain();
    /** Takes a repeated send from the retry budget, if that has one. */
    bool takeRetry(Instant now);
    void giveUp();
    void onDeadline();
    void answerOwn(RequestEnd end, unsigned status, std::optional<Duration> retryAfter);
    void abort(RequestEnd end);
    void finish(RequestEnd end);
    void record(RequestEnd end);

    GatewayContext &m_context;
    const ExchangeId m_id;
    const ReceivedRequest m_received;
    CallerResponder &m_responder;
    const Instant m_arrived;
    AdmittedRequest m_admitted;
    RequestRank m_rank;
    Fingerprint m_fingerprint;
    TimerId m_deadlineTimer = 0;
    Progress m_progress = Progress::Nothing;
    bool m_waiting = false;
    bool m_waitsForUnits = false;
    /** Some target may have run the request. */
    bool m_mayHaveRun = false;
    unsigned m_runs = 0;
    unsigned m_sends = 0;
    unsigned m_status = 0;
    std::set<TargetInstance> m_tried;
    std::optional<Attempt> m_attempt;
    /** A failure of a target that is passed on if nothing better comes. */
    std::optional<Attempt> m_failedAnswer;
    EventStreamScanner m_scanner;
    std::optional<std::uint64_t> m_lastEvent;
    std::optional<Instant> m_firstAnswer;
    /** Set when the dispatcher found no room. */
    std::optional<RefusalDetails> m_refusal;
    std::optional<LimitDecision> m_limit;
};

} // namespace Apricothook
