#include <apricothook/bench/apricothook_bench_core.hpp>

#include <apricothook/peers/apricothook_peer_codec.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

namespace Apricothook {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t DatagramHeaders = 28;
/** Header and signature of a sealed datagram: a bound, see docs/PEER-MESSAGES.md. */
constexpr std::size_t SealBytes = 70;

Settings settingsOf(const BenchScale &scale)
{
    const MemberUpdate self = benchUpdate(scale, 0);
    Settings settings;
    settings.id = self.instance.member;
    settings.vm = VmId("entry-vm");
    settings.dataCentre = self.dataCentre;
    settings.region = self.region;
    settings.peerAddress = self.peerAddress;
    settings.callerAddress = self.callerAddress;
    return settings;
}

} // namespace

BenchCore::BenchCore(const BenchScale &scale) : m_scale(scale)
{
    const CoreIdentity identity {
        settingsOf(scale), benchUpdate(scale, 0).instance.incarnation, {{1, "0123456789abcdef"}}};
    m_core = std::make_unique<Core>(
        identity, CorePortsSet {*this, *this, *this, *this, *this, m_random}, m_now);
    applyConfiguration(benchConfiguration(scale));
    pass(seconds(6));
    join();
    // Until the engines have their orders; news of the list go on being told at the larger sizes.
    pass(seconds(30));
}

BenchCore::~BenchCore() = default;

void BenchCore::applyConfiguration(const std::shared_ptr<const Configuration> &configuration)
{
    m_digest = {configuration->generation, configuration->textHash, 0};
    m_core->handle(ConfigurationReceived {configuration, std::make_shared<const std::string>()},
                   m_now);
    m_core->handle(PlatformReachability {true}, m_now);
}

void BenchCore::join()
{
    MemberList list {0, static_cast<std::uint32_t>(m_scale.daemons), m_digest, {}};
    for (std::size_t i = 1; i < m_scale.daemons; ++i)
        list.members.push_back(benchUpdate(m_scale, i));
    arrive(MemberId(benchMember(1)), list);
}

void BenchCore::begin(bool isTicketed)
{
    m_now += milliseconds(1);
    CallerRequest request;
    request.exchange = ExchangeId(++m_next);
    request.tokenHash = benchToken(m_next % m_scale.customers);
    request.service = ServiceId("service-0001");
    request.method = "POST";
    request.path = "/v1/completions";
    request.requestClass = ClassId("class-" + std::to_string(1 + m_next % 5));
    if (!isTicketed)
        request.key = RequestKey("order-" + std::to_string(m_next));
    request.body = std::make_shared<const std::string>(400, 'x');
    request.profile.model = ModelId("model-0001");
    request.profile.promptTokens = 400;
    request.profile.maximumTokens = 100;
    for (std::uint64_t block = 1; block <= MaximumPrefixes; ++block)
        request.profile.prefixes.push_back(PrefixHash((m_next % 50) * 100 + block));
    request.profile.fingerprint = Fingerprint(m_next);
    request.answer = std::make_shared<AnswerStream>();
    m_core->handle(std::move(request), m_now);
}

void BenchCore::settle()
{
    while (!m_letters.empty() || !m_orders.empty() || !m_engineOrders.empty()) {
        if (!m_engineOrders.empty()) {
            const EngineOrderEnded ended = m_engineOrders.front();
            m_engineOrders.pop_front();
            m_core->handle(ended, m_now);
            continue;
        }
        if (!m_letters.empty()) {
            const Letter letter = std::move(m_letters.front());
            m_letters.pop_front();
            reply(letter);
            continue;
        }
        const DispatchOrder order = std::move(m_orders.front());
        m_orders.pop_front();
        order.answer->begin({200, {}});
        order.answer->append("{}");
        m_core->handle(DispatchStarted {order.dispatch, milliseconds(100)}, m_now);
        if (m_isHolding)
            continue;
        order.answer->finish();
        DispatchEnded ended;
        ended.dispatch = order.dispatch;
        ended.status = 200;
        ended.outputTokens = 60;
        ended.firstByte = milliseconds(100);
        ended.streaming = seconds(1);
        m_core->handle(ended, m_now);
    }
}

void BenchCore::pass(Duration time)
{
    for (const Instant end = m_now + time; m_now < end;) {
        m_now += milliseconds(50);
        m_core->tick(m_now);
        settle();
    }
}

void BenchCore::arrive(const MemberId &from, PeerMessage message)
{
    const std::size_t number = std::stoul(from.text().substr(from.text().size() - 4));
    const MemberUpdate member = benchUpdate(m_scale, number);
    m_core->handle(PeerMessageReceived {member.instance, member.peerAddress, std::move(message)},
                   m_now);
}

void BenchCore::reply(const Letter &letter)
{
    if (const auto *probe = std::get_if<Probe>(&letter.message)) {
        arrive(letter.to, ProbeReply {probe->sequence, probe->subject, m_digest, {}});
    } else if (const auto *reserve = std::get_if<ReserveRequest>(&letter.message)) {
        ReserveReply reply;
        reply.attempt = reserve->attempt;
        reply.shard = reserve->shard;
        reply.target = TargetId("runner-" + std::string("0001"));
        reply.lease = seconds(10);
        reply.predictedFirstToken = milliseconds(100);
        reply.predictedEnd = seconds(2);
        arrive(letter.to, reply);
    } else if (const auto *grant = std::get_if<GrantRequest>(&letter.message)) {
        GrantReply reply;
        reply.attempt = grant->attempt;
        reply.key = grant->key;
        reply.holder = grant->attempt.entry;
        reply.generation = grant->generation;
        reply.target = grant->target;
        arrive(letter.to, reply);
    } else if (const auto *question = std::get_if<DigestRequest>(&letter.message)) {
        arrive(letter.to, DigestReply {question->sequence, m_digest});
    } else if (const auto *report = std::get_if<OutcomeReport>(&letter.message)) {
        arrive(letter.to, OutcomeAcknowledged {report->attempt, report->key});
    }
}

bool BenchCore::order(TargetOrder order)
{
    if (auto *dispatch = std::get_if<DispatchOrder>(&order)) {
        ++m_traffic.dispatched;
        m_orders.push_back(std::move(*dispatch));
    }
    if (const auto *engineOrder = std::get_if<EngineOrder>(&order))
        m_engineOrders.push_back({engineOrder->id, engineOrder->target, 200});
    return true;
}

void BenchCore::send(const MemberId &to, const Endpoint &, const PeerMessage &message)
{
    const std::size_t bytes = encode(message).size();
    ++m_traffic.messages;
    m_traffic.bytes += bytes;
    m_recipients[to] += bytes;
    m_letters.push_back({to, message});
}

void BenchCore::flush()
{
    for (const auto &[to, bytes] : m_recipients) {
        const std::uint64_t datagrams = 1 + bytes / 1100;
        m_traffic.datagrams += datagrams;
        m_traffic.wireBytes += bytes + datagrams * (SealBytes + DatagramHeaders);
    }
    m_recipients.clear();
}

void BenchCore::ended(const RequestSummary &summary)
{
    m_traffic.answered += !summary.refusal;
}

} // namespace Apricothook
