#pragma once

#include <apricothook/gateway/apricothook_caller_responder.hpp>
#include <apricothook/gateway/apricothook_gateway_context.hpp>
#include <apricothook/gateway/apricothook_request_outcome.hpp>
#include <apricothook/gateway/apricothook_shutdown_forecast.hpp>
#include <apricothook/gateway/internal/apricothook_attempt.hpp>
#include <apricothook/gateway/internal/apricothook_request_admission.hpp>
#include <apricothook/gateway/internal/apricothook_silence_retry.hpp>
#include <apricothook/gateway/internal/apricothook_stream_continuation.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Apricothook {

class AttemptLog;

/**
 * Forwards one request: admission, queueing for a target, relaying the response, and retries on
 * other targets where the route allows them.
 *
 * A request is reported as "not run" only if that is certain: no byte of it was sent, or every
 * target that received it stated that it didn't run it. Otherwise the caller is told that the
 * request may have run.
 */
class ForwardedRequest : public CallerRequestEvents, private AttemptEvents, private SilenceRetryHost
{
public:
    ForwardedRequest(GatewayContext &context, ExchangeId id, ReceivedRequest request,
                     CallerResponder &responder);
    ~ForwardedRequest() override;
    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

    ExchangeId id() const { return m_id; }
    void begin();
    void onPlaced(const TargetEntry &target, const SlotFill &fill);
    void onRefused(const RefusalDetails &facts);
    /** The limit of the customer, or of the target, granted or refused the request its units. */
    void onLimitDecided(const LimitDecision &decision);
    void onPermitDecided(const PermitDecision &decision);
    /** Another daemon knows what the stream began at that the request goes on with, or none does.
     */
    void onOriginDecided(const StreamOriginDecision &decision);
    /** Fails the attempt if it was sent to an earlier instance of the target. */
    /** `started`: start of the target's current instance, by the clocks of both VMs. */
    void onTargetRestarted(const TargetEntry &current, Instant started);
    /**
     * The process is asked to stop: refuses the request if no target has it and the process may end
     * before it is done.
     */
    void onProcessStops();
    /** The time to stop is over: answers the caller if there is no response yet. */
    void onProcessEnds();
    /** The process ends at once: breaks off what is still open. */
    void onProcessGone();
    void onCallerGone(std::string_view cause) override;
    void onCallerDrained() override;
    const RequestKey &key() const override { return m_admitted.fields.id; }

private:
    /** The part of the response that was sent to the caller. */
    enum class Progress { Nothing, Head, Ended };

    struct FailedResponse
    {
        ResponseHead head;
        std::string body;
    };

    WrittenRequest writeRequest(Attempt &attempt) override;
    void onResponseHead(Attempt &attempt, const ResponseHead &head,
                        const TargetResponseFields &fields) override;
    void onResponseBody(Attempt &attempt, std::string_view bytes) override;
    void onResponseComplete(Attempt &attempt) override;
    void onResponseFailed(Attempt &attempt, ChannelFailure failure) override;

    bool onTargetSilent(Duration silence, Duration limit) override;
    void placeBackup() override;
    void failBackup(bool hasArrived);
    /** The retry budget has been used up since the backup was begun. */
    void withdrawBackup();
    /** Records that the target may have been lost. */
    void recordSilence();
    /** Sends the request to a target beside the silent one. */
    void sendBackup(const TargetEntry &target);
    /** Ends the search for a backup, if there is one; returns whether there was. */
    bool refuseBackup(std::string_view cause);
    /** The attempt answers the caller from now on; the other one, if there is one, is ended. */
    void select(Attempt &attempt);
    void takeOver();
    void cancelBackup();
    bool isBackup(const Attempt &attempt) const { return m_silence.backup() == &attempt; }
    std::unique_ptr<Attempt> release(const Attempt &attempt);
    /** Cancels an attempt that its request no longer needs or waits for. */
    void cancelAttempt(std::unique_ptr<Attempt> attempt, TargetOutcome outcome);
    /** Whether no target has the request yet and the process ends before it is done. */
    bool outlastsProcess();
    void refuseAtShutdown();
    void cancelWithProcess(std::unique_ptr<Attempt> attempt);
    void cancelAtDeadline(std::unique_ptr<Attempt> attempt);
    void cancelForLeftCaller(std::unique_ptr<Attempt> attempt);

    /**
     * Sends the request, with a permit if its service has lost targets. If it is suspect, it takes
     * a unit of its trials instead, or waits.
     */
    void sendOrTry(const TargetEntry &target);
    void acquirePermit(const TargetEntry &target);
    void logPermit(const PermitDecision &decision);
    /** Reports what became of the permitted attempt, unless that is known already. */
    void reportPermit(Attempt &attempt, PermitUse use);
    static PermitUse permitUseOf(const Attempt &attempt, TargetOutcome outcome);
    void acquireTrialUnit(const TargetEntry &target, std::uint64_t trait);
    void onTrialUnitDecided(const LimitDecision &decision);
    void giveTrialUnitBack();
    /** The target didn't run the trial, or none was reached. */
    void withdrawTrial();
    void logTrial(const TrialDecision &suspicion, const LimitDecision &unit);
    /** Waits for the outcome of another trial, or refuses the request if that takes too long. */
    void holdOrRefuse(const TrialDecision &suspicion);
    void hold(const TrialDecision &suspicion);
    void refuseSuspect(const TrialDecision &suspicion);
    /** Records the outcome of the attempt for the suspicion of the request. */
    void recordCompleted(const Attempt &attempt);
    void recordDropped(const Attempt &attempt);
    static AnswerTimes answerTimes(const Attempt &attempt);
    /** Finds out first which version the request is bound to if it goes on with a stream. */
    void findOrigin();
    /** The targets that may still get the request. */
    TargetConstraint constraint() const;
    void acquireUnits();
    void onCustomerUnitsDecided(const LimitDecision &decision);
    /** Sends the request as soon as the target's limit allows it. */
    void acquireTargetUnit(const TargetEntry &target, const LimitedUnits &units);
    void onTargetUnitDecided(const LimitDecision &decision);
    void logTargetLimitReached(const TargetEntry &target, const LimitDecision &decision);
    /** Gives up the slot of a target that the request hasn't been sent to. */
    void releaseSlot(const TargetEntry &target);
    void reportTargetLimits(const Attempt &attempt, const TargetResponseFields &fields);
    /** Ends the attempts whose targets didn't run the request, though their responses go on. */
    void endRefusals();
    void start();
    void submit();
    /** Stops waiting for units or a target. */
    void stopWaiting();
    AttemptLog attemptLog();
    void failRestarted(Attempt &attempt);
    void send(const TargetEntry &target);
    std::unique_ptr<Attempt> makeAttempt(const TargetEntry &target);
    void startAttempt(Attempt &attempt);
    Duration firstEventTimeout() const;
    bool isStreaming(const Attempt &attempt) const;
    void forwardEvents(Attempt &attempt, std::string_view bytes);
    /** Updates the longest pause between events as the caller sees it. */
    void recordPause();
    void recordEvents(Attempt &attempt, const CompleteEvents &events);
    void forwardBufferedBody(Attempt &attempt);
    void forwardHead(const ResponseHead &head, BodyFraming framing);
    /** Stops reading the target while the caller is slow. */
    void limitUnsentBytes(Attempt &attempt);
    /** Enters what the attempts buffer of their responses. */
    void holdBufferedResponses();
    void completeStream(Attempt &attempt);
    void completeNonStream(Attempt &attempt);
    void onAttemptFailed(Attempt &attempt, TargetOutcome outcome, std::string_view cause);
    /** Goes on with the backup or with a new attempt, or ends the request. */
    void goOn(bool hasArrived);
    void endAttempt(std::unique_ptr<Attempt> attempt, TargetOutcome outcome);
    /** Why the request may not be sent to another target; empty if it may. */
    std::string_view retryObstacle() const;
    bool mayRetry();
    /** Takes one retry from the retry budget; false if it is used up. */
    bool takeRetryFromBudget(Instant now);
    void failRequest();
    void onDeadline();
    void sendLocalResponse(RequestOutcome outcome, unsigned status,
                           std::optional<Duration> retryAfter);
    void abort(RequestOutcome outcome);
    void finish(RequestOutcome outcome);
    void record(RequestOutcome outcome);
    void recordResponseTime(RequestOutcome outcome, Duration taken);

    GatewayContext &m_context;
    const ExchangeId m_id;
    /** Shared with connections that send its body. */
    const std::shared_ptr<const ReceivedRequest> m_shared;
    const ReceivedRequest &m_received;
    CallerResponder &m_responder;
    const Instant m_arrived;
    AdmittedRequest m_admitted;
    RequestRank m_rank;
    RequestTraits m_traits;
    TimerId m_deadlineTimer = 0;
    Progress m_progress = Progress::Nothing;
    bool m_waiting = false;
    bool m_waitsForUnits = false;
    /** The target one of whose limits has been asked for a unit. */
    std::optional<TargetEntry> m_limitedTarget;
    /** The target that the request is to be tried on; a unit of its trials has been asked for. */
    std::optional<TargetEntry> m_trialTarget;
    /** The trait that the request is tried for, from the request for a unit on. */
    std::uint64_t m_triedTrait = 0;
    /** The trial that the request is sent as. */
    std::optional<std::uint64_t> m_trial;
    /** The target that the request is to be sent to; a permit has been asked for. */
    std::optional<TargetEntry> m_permitTarget;
    /** The permit that the next attempt is sent with. */
    std::optional<std::uint64_t> m_permit;
    TimerId m_holdTimer = 0;
    TimerId m_notRunTimer = 0;
    Duration m_held {};
    /** The last decision of a target's limit. */
    std::optional<LimitDecision> m_targetUnit;
    /** How the slot of the last placement was filled. */
    SlotFill m_slotFill;
    /** A target may have run the request. */
    bool m_mayHaveRun = false;
    unsigned m_runs = 0;
    unsigned m_sends = 0;
    /** Those of the sends that reached no target, beside an attempt that goes on. */
    unsigned m_unconnectedBackups = 0;
    unsigned m_status = 0;
    std::set<TargetInstance> m_triedTargets;
    /** The attempt that answers the caller, unless a backup does so earlier. */
    std::unique_ptr<Attempt> m_attempt;
    SilenceRetry m_silence;
    /** A target's error response, forwarded if no other attempt succeeds. */
    std::optional<FailedResponse> m_failedResponse;
    /** Why the last attempt ended without a complete response. */
    std::string_view m_failureCause;
    std::optional<std::uint64_t> m_lastEvent;
    StreamContinuation m_continuation;
    std::optional<Instant> m_firstByteTime;
    std::optional<Instant> m_lastEventForwarded;
    /** Longest time between two forwarded events, over all attempts; unset before the second. */
    std::optional<Duration> m_longestPause;
    /** Set if the dispatcher refused the request. */
    std::optional<RefusalDetails> m_refusal;
    std::optional<LimitDecision> m_limitDecision;
    /** Set if the request is refused as suspect. */
    std::optional<TrialDecision> m_suspicion;
    /** The last forecast; set only while the process shuts down. */
    std::optional<ShutdownForecast> m_forecast;
};

} // namespace Apricothook
