#include <apricothook/bench/apricothook_allocation_count.hpp>
#include <apricothook/bench/apricothook_bench_case.hpp>
#include <apricothook/bench/apricothook_bench_fakes.hpp>
#include <apricothook/membership/apricothook_lookup.hpp>
#include <apricothook/membership/apricothook_membership.hpp>
#include <apricothook/peers/apricothook_peer_codec.hpp>
#include <apricothook/peers/apricothook_peer_seal.hpp>

namespace Apricothook {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t DatagramHeaders = 28;

/** One period of a member of a settled fleet: ticks, its probe answered, and one probe to answer.
 */
class GossipSubject : public BenchSubject
{
public:
    explicit GossipSubject(const BenchScale &scale)
        : m_scale(scale)
        , m_membership(benchUpdate(scale, 0), m_random, m_events)
        , m_sealer(benchUpdate(scale, 0).instance, PeerKeys {{1, "0123456789abcdef"}})
    {
        const std::int64_t before = allocationsNow().liveBytes;
        m_membership.start({}, m_now, m_mail);
        MemberList list {0, static_cast<std::uint32_t>(scale.daemons), {}, {}};
        for (std::size_t i = 0; i < scale.daemons; ++i)
            list.members.push_back(benchUpdate(scale, i));
        const MemberUpdate teller = benchUpdate(scale, 1);
        m_membership.handle(teller.instance, teller.peerAddress, list, m_now, m_mail);
        m_mail.clear();
        m_mail.shrink_to_fit();
        list.members = {};
        m_bytes = static_cast<double>(allocationsNow().liveBytes - before)
            / static_cast<double>(scale.daemons);
        calmDown();
    }
    void prepare() override { ++m_rounds; }
    /** The news that came with the list are told on; after this nothing is left to tell. */
    void calmDown()
    {
        for (std::size_t round = 0; round < 600; ++round) {
            prepare();
            operate();
        }
        m_rounds = m_messages = m_sent = 0;
    }
    void operate() override
    {
        for (int tick = 0; tick < 10; ++tick) {
            m_now += milliseconds(100);
            m_membership.tick(m_now, m_mail);
            answer();
        }
        const MemberUpdate prober = benchUpdate(m_scale, 1 + m_rounds % (m_scale.daemons - 1));
        m_membership.handle(prober.instance, prober.peerAddress,
                            Probe {m_rounds, m_membership.self().member, {}, {prober}}, m_now,
                            m_mail);
        answer();
    }
    std::vector<BenchFigure> figures() const override
    {
        const auto rounds = static_cast<double>(m_rounds);
        return {{"stateBytesPerMember", m_bytes},
                {"messages", static_cast<double>(m_messages) / rounds},
                {"wireBytes", static_cast<double>(m_sent) / rounds},
                {"live", static_cast<double>(m_membership.live().size())}};
    }

private:
    void answer()
    {
        const Mail mail = std::move(m_mail);
        m_mail.clear();
        for (const Addressed &letter : mail) {
            ++m_messages;
            m_sent += m_sealer.seal(letter.to, encode(letter.message)).size() + DatagramHeaders;
            const auto *probe = std::get_if<Probe>(&letter.message);
            const auto member = probe ? m_membership.find(probe->subject) : std::nullopt;
            if (member)
                m_membership.handle(member->instance, member->peerAddress,
                                    ProbeReply {probe->sequence, probe->subject, {}, {*member}},
                                    m_now, m_mail);
        }
    }

    BenchScale m_scale;
    BenchRandom m_random;
    SilentEvents m_events;
    Membership m_membership;
    PeerSealer m_sealer;
    Instant m_now = BenchStart;
    Mail m_mail;
    std::uint64_t m_rounds = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_sent = 0;
    double m_bytes = 0;
};

class LookupSubject : public BenchSubject
{
public:
    explicit LookupSubject(const BenchScale &scale)
        : m_members(scale), m_lookup(m_members, m_random)
    {
    }
    void operate() override
    {
        m_entries = m_lookup.answer(std::chrono::seconds(10)).entries.size();
    }
    std::vector<BenchFigure> figures() const override
    {
        return {{"entries", static_cast<double>(m_entries)}};
    }

private:
    BenchRandom m_random;
    BenchMembers m_members;
    Lookup m_lookup;
    std::size_t m_entries = 0;
};

} // namespace

void addMemberCases(BenchCases &cases)
{
    cases.push_back({"gossip-round", "daemons", FleetSizes, 300, [](std::size_t size) {
                         return std::make_unique<GossipSubject>(BenchScale::of(size));
                     }});
    cases.push_back({"lookup", "daemons", FleetSizes, 1000, [](std::size_t size) {
                         return std::make_unique<LookupSubject>(BenchScale::of(size));
                     }});
}

} // namespace Apricothook
