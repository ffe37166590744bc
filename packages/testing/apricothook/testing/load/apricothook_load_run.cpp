#include <apricothook/testing/load/apricothook_load_run.hpp>

#include <apricothook/testing/apricothook_stand_in_json.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr Duration PollStep = std::chrono::milliseconds(2);
constexpr Duration ReadyLimit = std::chrono::seconds(10);
/** A caller stops waiting this long after its patience, so that late answers are seen. */
constexpr Duration GiveUpMargin = std::chrono::seconds(5);
constexpr Duration ResendPause = std::chrono::milliseconds(700);
constexpr Duration ProbeDelay = std::chrono::milliseconds(300);
constexpr int MostResends = 5;
constexpr std::size_t ShownBytes = 120;
constexpr std::uint32_t SlowBytesPerSecond = 2048;

Instant now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

std::string outcomeOf(const LoadAnswer &answer, const Json::Value &problem)
{
    if (problem["outcome"].isString())
        return problem["outcome"].asString();
    const bool isProven
        = answer.headers.contains("engine-not-run") || answer.headers.contains("service-not-run");
    return isProven ? "not-run" : "unknown";
}

Attempt attemptOf(const LoadRequest &request, const LoadAnswer &answer, bool isAbandoned)
{
    Attempt attempt;
    attempt.status = answer.status;
    attempt.firstByte = answer.firstByte;
    attempt.whole = answer.whole;
    if (answer.isGivenUp) {
        attempt.end = isAbandoned ? AttemptEnd::Abandoned : AttemptEnd::TimedOut;
    } else if (answer.status >= 300) {
        const Json::Value problem = jsonOf(answer.body);
        attempt.end = AttemptEnd::Refused;
        attempt.reason = problem["reason"].isString() ? problem["reason"].asString()
                                                      : std::to_string(answer.status);
        attempt.outcome = outcomeOf(answer, problem);
    } else if (answer.isComplete && request.isExpectedAnswer(answer.body)) {
        attempt.end = AttemptEnd::Whole;
        attempt.betweenTokens = answer.gaps;
    } else {
        attempt.end = request.isExpectedBeginning(answer.body) ? AttemptEnd::Broken
                                                               : AttemptEnd::WrongBytes;
        attempt.wrongBeginning = answer.body.substr(0, ShownBytes);
    }
    return attempt;
}

std::shared_ptr<const LoadRequest> withAnotherBody(const LoadRequest &request)
{
    auto other = std::make_shared<LoadRequest>(request);
    other->completion.prompt += " another";
    other->body
        = request.kind->isEngine() ? completionBody(other->completion) : request.body + " another";
    return other;
}

} // namespace

LoadRun::LoadRun(const LoadMix &mix, LoadPlan plan, LoadRouter &router)
    : m_plan(plan), m_router(router), m_source(mix, plan.seed), m_random(plan.seed + 1)
{
}

void LoadRun::run(const std::function<void(int, std::size_t)> &progress)
{
    if (!waitUntilReady())
        return;
    const Instant start = now();
    Instant next = start;
    int second = 0;
    for (Instant moment = start; moment < start + m_plan.length + m_plan.drain; moment = now()) {
        const Duration since = moment - start;
        const bool isBurst = since >= m_plan.burstStart && since < m_plan.burstEnd;
        const double rate = m_plan.rate * (isBurst ? m_plan.burstFactor : 1);
        while (next <= moment && since < m_plan.length) {
            arrive(moment);
            next += Duration(static_cast<std::int64_t>(m_source.gap(rate) * 1e6));
        }
        if (since >= m_plan.length && m_open == 0 && m_due.empty())
            break;
        runDue(moment);
        m_router.refresh(m_client, moment);
        m_client.poll(PollStep);
        if (since >= std::chrono::seconds(second + 1))
            progress(++second, m_open);
    }
}

bool LoadRun::waitUntilReady()
{
    const Instant limit = now() + ReadyLimit;
    while (!m_router.isReady() && now() < limit) {
        m_router.refresh(m_client, now());
        m_client.poll(PollStep);
    }
    return m_router.isReady();
}

void LoadRun::arrive(Instant now)
{
    const auto request = std::make_shared<const LoadRequest>(m_source.next());
    const LoadRoute route = m_router.route(*request->kind);
    const std::string own = std::to_string(m_plan.seed) + "-" + std::to_string(++m_count);
    const std::string key = route.ticket.empty() ? "load-" + own : route.ticket + "." + own;
    m_ledger.open(key, *request);
    m_deadlines[key] = now + request->patience();
    send({request, key, 0, false, false});
    if (request->isResent)
        later(ProbeDelay, [=, this] { send({request, key, 1, true, false}); });
    if (request->isConflicting)
        later(ProbeDelay, [=, this] { send({withAnotherBody(*request), key, 1, true, true}); });
}

void LoadRun::send(const AttemptPlan &plan)
{
    const LoadRequest &request = *plan.request;
    LoadCall call;
    call.method = "POST";
    call.url = m_router.route(*request.kind).url;
    call.headers
        = {"Authorization: Bearer " + request.kind->token,
           "Apricothook-Class: " + request.kind->requestClass, "Idempotency-Key: " + plan.key,
           "Content-Type: application/json", "Engine-Stream: " + plan.key};
    if (request.waitSeconds)
        call.headers.push_back("Prefer: wait=" + std::to_string(*request.waitSeconds));
    call.body = request.body;
    const bool isAbandoned = request.isAbandoned && plan.number == 0;
    call.giveUpAfter
        = isAbandoned ? Duration(50000 + m_random() % 900000) : request.patience() + GiveUpMargin;
    call.bytesPerSecond = request.isSlow ? SlowBytesPerSecond : 0;
    ++m_open;
    m_client.start(std::move(call),
                   [=, this](const LoadAnswer &answer) { onAnswer(plan, answer, isAbandoned); });
}

void LoadRun::onAnswer(const AttemptPlan &plan, const LoadAnswer &answer, bool isAbandoned)
{
    --m_open;
    Attempt attempt = attemptOf(*plan.request, answer, isAbandoned);
    attempt.isResend = plan.number > 0;
    attempt.isConflict = plan.isConflict;
    // The patience counts from the first attempt, whichever attempt brings the answer.
    const Instant sent = m_deadlines[plan.key] - plan.request->patience();
    if (attempt.end == AttemptEnd::Whole)
        attempt.whole = now() - sent;
    if (!plan.isProbe)
        resendLater(plan, attempt);
    m_ledger.add(plan.key, std::move(attempt));
}

void LoadRun::resendLater(const AttemptPlan &plan, const Attempt &attempt)
{
    const bool isWorthIt = attempt.end == AttemptEnd::Broken
        || (attempt.end == AttemptEnd::Refused
            && (attempt.outcome == "unknown" || attempt.reason == "already-running"));
    if (!isWorthIt || plan.number >= MostResends || now() + ResendPause > m_deadlines[plan.key])
        return;
    AttemptPlan next = plan;
    ++next.number;
    later(ResendPause, [next, this] { send(next); });
}

void LoadRun::later(Duration delay, std::function<void()> action)
{
    m_due.emplace(now() + delay, std::move(action));
}

void LoadRun::runDue(Instant now)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const auto action = m_due.extract(m_due.begin());
        action.mapped()();
    }
}

} // namespace Apricothook
