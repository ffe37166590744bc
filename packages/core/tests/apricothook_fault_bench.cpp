#include <apricothook_fault_bench.hpp>
#include <apricothook_fault_bench_text.hpp>

#include <apricothook/homes/apricothook_home_map.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/steward/apricothook_shard_map.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr std::uint16_t FirstPort = 1000;
constexpr Duration WarmUpStep = std::chrono::milliseconds(500);
// More events without time passing than any cell needs: daemons send each other in circles.
constexpr std::size_t EndlessTurns = 100000;

const std::vector<TicketKey> &peerKeys()
{
    static const std::vector<TicketKey> keys {{1, "a secret of the test's peers"}};
    return keys;
}

/** The live daemons as all of them see each other once views have settled. */
struct SettledView : MemberView
{
    MemberInstance none;
    std::vector<MemberUpdate> members;
    const MemberInstance &self() const override { return none; }
    const std::vector<MemberUpdate> &live() const override { return members; }
    std::optional<MemberUpdate> find(const MemberId &) const override { return std::nullopt; }
    std::uint64_t version() const override { return 1; }
    double visibleShare() const override { return 1; }
};

} // namespace

// ---- Ports.

bool BenchPorts::order(TargetOrder order)
{
    return bench->targets.order(daemon, bench->m_daemons[daemon].life, std::move(order),
                                bench->m_now);
}

void BenchPorts::send(const MemberId &, const Endpoint &address, const PeerMessage &message)
{
    bench->send(daemon, address, message);
}

void BenchPorts::setWatching(bool isWatching, Generation after)
{
    bench->m_daemons[daemon].isWatching = isWatching;
    bench->m_daemons[daemon].seen = std::max(bench->m_daemons[daemon].seen, after);
}

void BenchPorts::readOnce(Generation after)
{
    bench->giveReading(daemon, after);
}

void BenchPorts::fetchText(const Endpoint &peer, Generation generation, std::uint64_t)
{
    const std::optional<std::size_t> holder = bench->daemonAt(peer);
    if (holder && bench->isLinked(daemon, *holder) && generation <= bench->published())
        (bench->holdsFetches ? bench->m_heldFetches : bench->m_events)
            .push_back({daemon, bench->m_daemons[daemon].life,
                        ConfigurationReceived {bench->m_texts[generation.value() - 1],
                                               std::make_shared<std::string>()}});
}

void BenchPorts::fetchAnswer(const Endpoint &peer, const RequestKey &key, ExchangeId exchange)
{
    FaultBench &to = *bench;
    const std::size_t reader = daemon;
    const std::optional<std::size_t> holder = to.daemonAt(peer);
    if (holder && to.isLinked(reader, *holder))
        to.m_later.push_back([&to, reader, holder = *holder, key, exchange] {
            to.fetchAnswer(reader, holder, key, exchange);
        });
    else
        to.m_events.push_back(
            {reader, to.m_daemons[reader].life, KeptAnswerFetched {exchange, {}}});
}

void BenchPorts::ended(const RequestSummary &summary)
{
    if (summary.refusal && summary.refusal->reason == RefusalReason::Shed)
        bench->m_sheds.push_back({bench->m_now, summary.tier});
}

std::uint64_t BenchPorts::next()
{
    constexpr std::uint64_t Multiplier = 6364136223846793005ULL;
    random = random * Multiplier + daemon + 1;
    return random >> 16;
}

// ---- Daemons.

FaultBench::FaultBench(std::size_t daemons) : m_text(firstText(daemons))
{
    m_daemons.resize(daemons);
    for (std::size_t i = 0; i < daemons; ++i) {
        m_daemons[i].id = m_text.roster[i].id;
        m_daemons[i].address = {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + i)};
    }
    publish();
    for (std::size_t i = 0; i < daemons; ++i)
        start(i);
    // Until the window of the text has passed, homes refuse keys that an earlier life may know.
    advance(m_text.policy.deduplicationWindow + std::chrono::seconds(2), WarmUpStep);
}

void FaultBench::start(std::size_t index)
{
    Daemon &daemon = m_daemons[index];
    ++daemon.life;
    daemon.isPaused = false;
    daemon.isWatching = false;
    daemon.seen = daemon.highest = Generation();
    daemon.ports = std::make_unique<BenchPorts>();
    daemon.ports->bench = this;
    daemon.ports->daemon = index;
    CoreIdentity identity;
    identity.settings.id = daemon.id;
    identity.settings.dataCentre = DataCentreId("dc");
    identity.settings.region = RegionId("r");
    identity.settings.peerAddress = daemon.address;
    for (const Daemon &other : m_daemons)
        identity.settings.seeds.push_back(other.address);
    identity.incarnation = Incarnation(daemon.life);
    identity.keys = peerKeys();
    BenchPorts &ports = *daemon.ports;
    daemon.core = std::make_unique<Core>(
        identity, CorePortsSet {ports, ports, ports, ports, ports, ports}, m_now);
}

void FaultBench::kill(std::size_t index)
{
    Daemon &daemon = m_daemons[index];
    daemon.core.reset();
    daemon.isWatching = false;
    targets.forgetDaemon(index);
    for (Call &call : m_calls) {
        const AnswerStream::State state = call.answer->state();
        const bool isOpen
            = state == AnswerStream::State::Waiting || state == AnswerStream::State::Open;
        call.isConnectionLost = call.isConnectionLost || (call.daemon == index && isOpen);
    }
}

void FaultBench::wake(std::size_t daemon)
{
    m_daemons[daemon].isPaused = false;
    settle();
}

std::size_t FaultBench::replace(std::size_t daemon)
{
    Daemon next;
    next.id = m_daemons[daemon].id;
    next.life = m_daemons[daemon].life;
    next.address = {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + m_daemons.size())};
    m_daemons.push_back(std::move(next));
    start(m_daemons.size() - 1);
    return m_daemons.size() - 1;
}

std::size_t FaultBench::joinAsSteward(const std::string &service)
{
    std::vector<MemberId> members;
    for (const Daemon &daemon : m_daemons)
        members.push_back(daemon.id);
    members.emplace_back();
    for (int i = 0; stewardWith(service, members) != members.back(); ++i)
        members.back() = MemberId("new" + std::to_string(i));
    Daemon next;
    next.id = members.back();
    next.address = {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + m_daemons.size())};
    m_daemons.push_back(std::move(next));
    start(m_daemons.size() - 1);
    return m_daemons.size() - 1;
}

MemberId FaultBench::stewardWith(const std::string &service,
                                 const std::vector<MemberId> &members) const
{
    SettledView view;
    for (const MemberId &id : members) {
        MemberUpdate member;
        member.instance = {id, Incarnation(1)};
        member.dataCentre = DataCentreId("dc");
        member.region = RegionId("r");
        view.members.push_back(member);
    }
    const ShardMap map(m_texts.back()->text);
    return map.stewardOf({ServiceId(service), RegionId("r"), 0}, view);
}

std::size_t FaultBench::stewardOf(const std::string &service) const
{
    std::vector<MemberId> members;
    for (const Daemon &daemon : m_daemons) {
        if (daemon.core)
            members.push_back(daemon.id);
    }
    const MemberId steward = stewardWith(service, members);
    return static_cast<std::size_t>(std::ranges::find(m_daemons, steward, &Daemon::id)
                                    - m_daemons.begin());
}

std::string FaultBench::keyAt(std::size_t home, std::size_t next) const
{
    Configuration without = *m_texts.back();
    std::erase_if(without.text.roster,
                  [&](const RosterEntry &entry) { return entry.id == m_daemons[home].id; });
    HomeMap now(MemberId("test"), TicketReader(peerKeys()));
    HomeMap later(MemberId("test"), TicketReader(peerKeys()));
    now.apply(*m_texts.back(), m_now);
    later.apply(without, m_now);
    for (int i = 0;; ++i) {
        std::string text = "k" + std::to_string(i);
        const RequestKey key(text + "@" + CustomerName);
        const CustomerId customer(CustomerName);
        const bool isUsed = std::ranges::find(m_calls, text, &Call::key) != m_calls.end();
        if (!isUsed && now.homesOf(key, customer, m_now).value().homes.front() == m_daemons[home].id
            && later.homesOf(key, customer, m_now).value().homes.front() == m_daemons[next].id)
            return text;
    }
}

std::string FaultBench::ticketKeyAt(std::size_t home)
{
    const auto answer = std::make_shared<AnswerStream>();
    core(home).handle(EntriesLookup {answer}, m_now);
    std::string document(answer->bytesWritten(), ' ');
    answer->read(document.data(), document.size());
    const std::string name = "\"ticket\":\"";
    const std::size_t begin = document.find(name) + name.size();
    return document.substr(begin, document.find('"', begin) - begin) + ".k"
        + std::to_string(m_calls.size());
}

// ---- Messages.

void FaultBench::send(std::size_t from, const Endpoint &to, const PeerMessage &message)
{
    if (const auto *request = std::get_if<GrantRequest>(&message))
        grantedTarget = request->target;
    const Mail mail {{m_daemons[from].id, Incarnation(m_daemons[from].life)}, from, to, message};
    const auto rule = m_rules.find(message.index());
    const bool isRuled = rule != m_rules.end() && rule->second.left > 0;
    if (isRuled)
        --rule->second.left;
    if (!isRuled || rule->second.rule == LinkRule::Double
        || rule->second.rule == LinkRule::LateCopy)
        m_wire.push_back(mail);
    if (isRuled && rule->second.rule == LinkRule::Double)
        m_wire.push_back(mail);
    if (isRuled && (rule->second.rule == LinkRule::Hold || rule->second.rule == LinkRule::LateCopy))
        m_held.push_back(mail);
}

void FaultBench::release()
{
    m_rules.clear();
    holdsFetches = false;
    std::ranges::move(m_heldFetches, std::back_inserter(m_events));
    m_heldFetches.clear();
    std::ranges::move(m_held, std::back_inserter(m_wire));
    m_held.clear();
    settle();
}

void FaultBench::releaseFirst()
{
    m_wire.push_back(m_held.front());
    m_held.erase(m_held.begin());
    settle();
}

void FaultBench::mend()
{
    m_sides.clear();
    m_cutLink.clear();
}

bool FaultBench::isLinked(std::size_t from, std::size_t to) const
{
    const bool isCutLink = from != to && m_cutLink.contains(from) && m_cutLink.contains(to);
    return m_daemons[to].core && !isCutLink && m_sides.contains(from) == m_sides.contains(to);
}

std::optional<std::size_t> FaultBench::daemonAt(const Endpoint &address) const
{
    const auto found = std::ranges::find(m_daemons, address, &Daemon::address);
    if (found == m_daemons.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - m_daemons.begin());
}

void FaultBench::deliver(const Mail &mail)
{
    const std::optional<std::size_t> to = daemonAt(mail.to);
    if (to && isLinked(mail.source, *to))
        give(*to, PeerMessageReceived {mail.from, m_daemons[mail.source].address, mail.message});
}

void FaultBench::give(std::size_t daemon, CoreEvent event)
{
    m_events.push_back({daemon, m_daemons[daemon].life, std::move(event)});
}

void FaultBench::settle()
{
    std::deque<EventFor> kept;
    std::size_t turns = 0;
    while (!m_wire.empty() || !m_events.empty() || !m_later.empty() || !targets.events.empty()) {
        if (++turns > EndlessTurns) {
            m_broken.push_back("messages go on without end");
            m_wire.clear();
            m_events.clear();
            break;
        }
        if (!m_wire.empty()) {
            const Mail mail = std::move(m_wire.front());
            m_wire.pop_front();
            deliver(mail);
        }
        std::ranges::move(targets.events, std::back_inserter(m_events));
        targets.events.clear();
        if (!m_later.empty()) {
            m_later.front()();
            m_later.pop_front();
        }
        if (m_events.empty())
            continue;
        EventFor next = std::move(m_events.front());
        m_events.pop_front();
        const Daemon &daemon = m_daemons[next.daemon];
        if (daemon.isPaused)
            kept.push_back(std::move(next));
        else if (daemon.core && daemon.life == next.life)
            daemon.core->handle(std::move(next.event), m_now);
    }
    m_events = std::move(kept);
    noteEnds();
}

// ---- Time.

void FaultBench::advance(Duration duration, Duration step)
{
    for (const Instant end = m_now + duration; m_now < end;) {
        m_now += step;
        readPlatform();
        targets.advance(m_now);
        settle();
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (!m_daemons[i].core || m_daemons[i].isPaused)
                continue;
            m_daemons[i].core->tick(m_now);
            settle();
            if (m_daemons[i].core->isDone())
                kill(i);
        }
        noteGenerations();
    }
}

void FaultBench::noteGenerations()
{
    for (Daemon &daemon : m_daemons) {
        if (!daemon.core)
            continue;
        const bool isFirst = daemon.highest == Generation();
        if (daemon.core->generation() < daemon.highest)
            m_broken.push_back("the generation fell at " + daemon.id.text());
        if (isFirst && daemon.core->isReady() && daemon.core->generation() < m_oldest)
            m_broken.push_back(daemon.id.text() + " began to serve an old generation");
        daemon.highest = daemon.core->generation();
    }
    m_oldest = published();
    for (const Daemon &daemon : m_daemons) {
        if (daemon.core && daemon.core->isReady())
            m_oldest = std::min(m_oldest, daemon.highest);
    }
}

void FaultBench::noteEnds()
{
    for (std::size_t i = 0; i < m_calls.size(); ++i) {
        if (m_calls[i].endedAt == Instant::max() && endOf(i) != CallEnd::Open)
            m_calls[i].endedAt = m_now;
    }
}

} // namespace Apricothook
