#include "apricothook_fake_fleet.hpp"

#include <apricothook/peers/apricothook_peer_codec.hpp>

#include <algorithm>
#include <numeric>

namespace Apricothook {

namespace {

/** IPv4 and UDP headers. */
constexpr std::size_t DatagramHeaders = 28;
constexpr std::uint16_t PeerPort = 7000;
constexpr std::size_t Seeds = 3;

Endpoint addressOf(std::size_t number)
{
    return {"10.0." + std::to_string(number / 200) + "." + std::to_string(1 + number % 200),
            PeerPort};
}

} // namespace

FakeFleet::FakeFleet(std::size_t size, std::vector<std::size_t> regions, std::uint64_t seed)
    : m_chance(seed)
{
    const std::size_t dataCentres = std::accumulate(regions.begin(), regions.end(), std::size_t());
    for (std::size_t i = 0; i < size && dataCentres > 0; ++i) {
        std::size_t place = i % dataCentres;
        const std::string dataCentre = "data-centre-" + std::to_string(place);
        std::size_t region = 0;
        while (place >= regions[region])
            place -= regions[region++];
        Member member;
        member.update.instance = {MemberId("entry-" + std::to_string(i)), Incarnation(1)};
        member.update.peerAddress = addressOf(i);
        member.update.callerAddress = {addressOf(i).address, 8080};
        member.update.dataCentre = DataCentreId(dataCentre);
        member.update.region = RegionId("region-" + std::to_string(region));
        member.isRunning = false;
        m_members.push_back(std::move(member));
        m_byAddress[addressOf(i)] = i;
    }
}

void FakeFleet::form()
{
    for (std::size_t i = 0; i < size(); ++i)
        start(i);
    runUntil(
        [this] {
            for (const Member &member : m_members)
                if (member.membership->live().size() != size())
                    return false;
            return true;
        },
        std::chrono::minutes(2));
    run(std::chrono::seconds(20));
}

void FakeFleet::start(std::size_t number, std::uint64_t incarnation)
{
    // As a wall clock gives it: the codec's largest form.
    constexpr std::uint64_t Epoch = 1'700'000'000'000;
    Member &member = m_members[number];
    member.update.instance.incarnation = Incarnation(Epoch + incarnation);
    member.random = std::make_unique<SeededRandom>(m_chance.next());
    member.events = std::make_unique<CountingSink>();
    member.membership = std::make_unique<Membership>(member.update, *member.random, *member.events);
    member.sealer
        = std::make_unique<PeerSealer>(member.update.instance, PeerKeys {{1, "0123456789abcdef"}});
    member.isRunning = true;
    std::vector<Endpoint> seeds;
    for (std::size_t seed = 0; seed < std::min<std::size_t>(size(), Seeds); ++seed)
        seeds.push_back(addressOf(seed));
    Mail mail;
    member.membership->start(seeds, m_now, mail);
    post(number, mail);
}

std::size_t FakeFleet::addLife(std::size_t number, std::uint64_t incarnation,
                               const Endpoint &address)
{
    Member member;
    member.update = m_members[number].update;
    member.update.peerAddress = address;
    m_members.push_back(std::move(member));
    m_byAddress[address] = size() - 1;
    start(size() - 1, incarnation);
    return size() - 1;
}

void FakeFleet::run(Duration time)
{
    const Instant end = m_now + time;
    while (m_now < end)
        step();
}

Duration FakeFleet::runUntil(const std::function<bool()> &holds, Duration limit)
{
    const Instant begin = m_now;
    while (m_now < begin + limit && !holds())
        run(Step * StepsPerTick);
    return m_now - begin;
}

void FakeFleet::leave(std::size_t number)
{
    Mail mail;
    m_members[number].membership->leave(m_now, mail);
    post(number, mail);
}

void FakeFleet::finish(std::size_t number)
{
    Mail mail;
    m_members[number].membership->finish(m_now, mail);
    post(number, mail);
    kill(number);
}

std::size_t FakeFleet::seenBy(std::size_t number) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < size(); ++i) {
        const Member &member = m_members[i];
        if (i == number || !member.isRunning)
            continue;
        const auto seen = member.membership->find(m_members[number].update.instance.member);
        count += seen && seen->instance == m_members[number].update.instance ? 1 : 0;
    }
    return count;
}

int FakeFleet::events(MembershipEvent event) const
{
    int count = 0;
    for (const Member &member : m_members)
        count += member.events->count(event);
    return count;
}

void FakeFleet::step()
{
    m_now += Step;
    ++m_steps;
    while (!m_letters.empty() && m_letters.begin()->first <= m_now) {
        const Letter letter = std::move(m_letters.begin()->second);
        m_letters.erase(m_letters.begin());
        deliver(letter);
    }
    for (std::size_t i = 0; i < size(); ++i) {
        if (!m_members[i].isRunning || m_isPaused[i] || (m_steps + i) % StepsPerTick != 0)
            continue;
        Mail mail;
        m_members[i].membership->tick(m_now, mail);
        post(i, mail);
    }
}

bool FakeFleet::isLost(std::size_t from, std::size_t to)
{
    return (network.connects && !network.connects(from, to)) || m_chance.uniform() < network.loss;
}

void FakeFleet::post(std::size_t from, Mail &mail)
{
    Member &sender = m_members[from];
    for (Addressed &letter : mail) {
        const std::size_t bytes = sender.sealer->seal(letter.to, encode(letter.message)).size();
        sender.largestDatagram = std::max(sender.largestDatagram, bytes);
        sender.bytesSent += bytes + DatagramHeaders;
        ++sender.datagramsSent;
        const auto to = m_byAddress.find(letter.address);
        if (to == m_byAddress.end() || isLost(from, to->second))
            continue;
        const int copies = m_chance.uniform() < network.duplicates ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto extra = static_cast<std::int64_t>(
                m_chance.uniform() * static_cast<double>(network.jitter.count()));
            const Instant due = m_now + Duration(1 + extra);
            m_letters.emplace(due, Letter {from, sender.update.instance, letter, due});
        }
    }
}

void FakeFleet::deliver(const Letter &letter)
{
    const std::size_t to = m_byAddress.at(letter.mail.address);
    Member &receiver = m_members[to];
    if (m_isPaused[to]) {
        m_letters.emplace(m_now + Step, letter);
        return;
    }
    const bool isMeant
        = letter.mail.to.isEmpty() || letter.mail.to == receiver.update.instance.member;
    if (!receiver.isRunning || !isMeant)
        return;
    Mail mail;
    const Endpoint &address = m_members[letter.from].update.peerAddress;
    std::visit(
        [&](const auto &message) {
            if constexpr (requires {
                              receiver.membership->handle(letter.sender, address, message, m_now,
                                                          mail);
                          })
                receiver.membership->handle(letter.sender, address, message, m_now, mail);
        },
        letter.mail.message);
    post(to, mail);
}

} // namespace Apricothook
