#include <apricothook_fault_bench.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

// A shed is a broken promise when lower work begins this soon after it; floors fall later.
constexpr Duration ShedMemory = std::chrono::seconds(1);
// Three attempts of each of two calls; more would spend the retries of other requests.
constexpr int MaximumRefusedOrders = 6;

} // namespace

// ---- Callers.

std::size_t FaultBench::call(std::size_t daemon, const std::string &key, const std::string &body,
                             const std::string &service, const std::string &requestClass)
{
    Call call {daemon,
               key,
               body,
               service,
               requestClass,
               ExchangeId(m_calls.size() + 1),
               std::make_shared<AnswerStream>(),
               !isAlive(daemon),
               false,
               m_now};
    CallerRequest request;
    request.exchange = call.exchange;
    request.tokenHash = "token";
    request.service = ServiceId(service);
    request.method = "POST";
    request.path = "/";
    request.requestClass = ClassId(requestClass);
    request.key = RequestKey(key);
    request.body = std::make_shared<const std::string>(body);
    request.profile.promptTokens = 10;
    request.profile.fingerprint = Fingerprint(hashOf(body));
    request.answer = call.answer;
    m_calls.push_back(call);
    if (isAlive(daemon))
        give(daemon, std::move(request));
    settle();
    return m_calls.size() - 1;
}

void FaultBench::leave(std::size_t index)
{
    Call &call = m_calls[index];
    call.hasLeft = true;
    call.answer->abandon();
    give(call.daemon, CallerGone {call.exchange});
    settle();
}

CallEnd FaultBench::endOf(std::size_t index) const
{
    const Call &call = m_calls[index];
    if (call.isConnectionLost)
        return CallEnd::ConnectionLost;
    switch (call.answer->state()) {
    case AnswerStream::State::Finished:
        return CallEnd::Answered;
    case AnswerStream::State::Aborted:
        return CallEnd::Cut;
    case AnswerStream::State::Refused:
        return call.answer->refusal()->outcome == Outcome::NotRun ? CallEnd::NotRun
                                                                  : CallEnd::Unknown;
    default:
        return CallEnd::Open;
    }
}

std::string FaultBench::bytesOf(std::size_t index)
{
    std::string &bytes = m_bytes[index];
    char buffer[256];
    while (const std::size_t taken = m_calls[index].answer->read(buffer, sizeof buffer))
        bytes.append(buffer, taken);
    return bytes;
}

// ---- Platform.

void FaultBench::publish()
{
    auto next = std::make_shared<Configuration>();
    next->generation = Generation(m_texts.size() + 1);
    next->textHash = m_texts.size() + 1;
    next->text = m_text;
    m_texts.push_back(std::move(next));
}

void FaultBench::giveText(std::size_t daemon)
{
    give(daemon, ConfigurationReceived {m_texts.back(), std::make_shared<std::string>()});
    settle();
}

void FaultBench::setLeavingVms(const std::vector<VmId> &vms)
{
    m_vms = {m_vms.revision + 1, vms};
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i].core && m_daemons[i].isWatching && isPlatformUp)
            give(i, VmListReceived {m_vms});
    }
    settle();
}

void FaultBench::giveReading(std::size_t daemon, Generation after)
{
    const Generation newest = staleAt.value_or(published());
    if (isPlatformUp && newest > after) {
        m_daemons[daemon].seen = newest;
        give(daemon,
             ConfigurationReceived {m_texts[newest.value() - 1], std::make_shared<std::string>()});
    }
    give(daemon, PlatformReachability {isPlatformUp});
}

void FaultBench::readPlatform()
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        const Daemon &daemon = m_daemons[i];
        const bool hasNews = !isPlatformUp || staleAt.value_or(published()) > daemon.seen;
        if (daemon.core && daemon.isWatching && tellsWatchers && hasNews)
            giveReading(i, daemon.seen);
    }
}

void FaultBench::fetchAnswer(std::size_t reader, std::size_t holder, const RequestKey &key,
                             ExchangeId exchange)
{
    KeptAnswerQuery asked {key,
                           std::make_shared<std::promise<std::shared_ptr<const KeptAnswer>>>()};
    std::shared_ptr<const KeptAnswer> kept;
    if (m_daemons[holder].core && !m_daemons[holder].isPaused) {
        auto answer = asked.answer->get_future();
        core(holder).handle(asked, m_now);
        kept = answer.get();
    }
    give(reader, KeptAnswerFetched {exchange, kept});
}

// ---- Promises.

std::string FaultBench::keyOf(const Call &call) const
{
    return call.key.empty() ? call.answer->key().text() : call.key;
}

void FaultBench::checkCall(std::size_t index, std::vector<std::string> &broken)
{
    const Call &call = m_calls[index];
    const CallEnd end = endOf(index);
    const std::string name = "call " + std::to_string(index);
    const std::string key = keyOf(call);
    const std::string whole = FakeTargets::answerTo(call.body);
    const std::string bytes = bytesOf(index);
    if (end == CallEnd::Open && isAlive(call.daemon) && !call.hasLeft)
        broken.push_back(name + " has no end");
    if (end == CallEnd::Answered && !call.hasLeft && bytes != whole)
        broken.push_back(name + " was answered with '" + bytes + "'");
    if (whole.substr(0, bytes.size()) != bytes)
        broken.push_back(name + " got bytes of another answer");
    const bool isConflict
        = end == CallEnd::NotRun && call.answer->refusal()->reason == RefusalReason::KeyConflict;
    if (end == CallEnd::NotRun && !key.empty() && hasRunOfEarlierCall(call, isConflict))
        broken.push_back(name + " was told 'not run' of a key that ran");
}

bool FaultBench::hasRunOfEarlierCall(const Call &refused, bool isConflict) const
{
    // What was sent after the refusal is another matter: it may run.
    return std::ranges::any_of(targets.runs, [&](const FakeTargets::Run &run) {
        const auto call
            = std::ranges::find(m_calls, run.readers.front().order.answer, &Call::answer);
        return run.key == keyOf(refused) && call->sentAt <= refused.endedAt
            && (!isConflict || run.body == refused.body);
    });
}

std::vector<std::string> FaultBench::brokenPromises()
{
    std::vector<std::string> broken = m_broken;
    if (targets.refusedOrders > MaximumRefusedOrders)
        broken.push_back("a full ring was tried " + std::to_string(targets.refusedOrders)
                         + " times");
    for (const FakeTargets::Run &run : targets.runs) {
        if (targets.runsOf(run.key) > 1)
            broken.push_back("key " + run.key + " ran more than once");
        const auto call = std::ranges::find_if(
            m_calls, [&](const Call &candidate) { return keyOf(candidate) == run.key; });
        const std::uint8_t tier = call->requestClass == "low" ? 3 : 1;
        for (const Shed &shed : m_sheds) {
            if (shed.tier.isAbove(Tier(tier)) && run.began > shed.at
                && run.began < shed.at + ShedMemory)
                broken.push_back("key " + run.key + " began after higher work was shed");
        }
    }
    for (std::size_t i = 0; i < m_calls.size(); ++i)
        checkCall(i, broken);
    return broken;
}

} // namespace Apricothook
