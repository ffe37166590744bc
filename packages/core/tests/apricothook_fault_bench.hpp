#pragma once

#include <apricothook/core/apricothook_core.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/ports/apricothook_core_ports.hpp>
#include <apricothook/requests/apricothook_request_observer.hpp>
#include <apricothook_fake_targets.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Apricothook {

class FaultBench;

/** The ports of one daemon of the bench: each hands on what it is given. */
struct BenchPorts : TargetPort, PeerPort, PlatformPort, EventSink, RequestObserver, RandomSource
{
    FaultBench *bench = nullptr;
    std::size_t daemon = 0;
    std::uint64_t random = 0;

    bool order(TargetOrder order) override;
    void send(const MemberId &to, const Endpoint &address, const PeerMessage &message) override;
    void setWatching(bool isWatching, Generation after) override;
    void readOnce(Generation after) override;
    void fetchText(const Endpoint &peer, Generation generation, std::uint64_t hash) override;
    void fetchAnswer(const Endpoint &peer, const RequestKey &key, ExchangeId exchange) override;
    void offerText(Generation, std::uint64_t, std::shared_ptr<const std::string>) override { }
    void record(const DecisionEvent &) override { }
    void ended(const RequestSummary &summary) override;
    std::uint64_t next() override;
};

enum class LinkRule {
    Drop,
    Double,
    Hold,
    LateCopy, ///< Arrives, and a copy of it when release() is called.
};

/** One caller's request and what came of it. */
struct Call
{
    std::size_t daemon = 0;
    std::string key; ///< Empty: the entry mints one.
    std::string body;
    std::string service;
    std::string requestClass = "default";
    ExchangeId exchange;
    std::shared_ptr<AnswerStream> answer;
    bool isConnectionLost = false;
    bool hasLeft = false;
    Instant sentAt {};
    Instant endedAt = Instant::max();
};

enum class CallEnd { Open, Answered, NotRun, Unknown, Cut, ConnectionLost };

/**
 * Real decision cores, joined in memory: messages arrive at once unless a rule says otherwise,
 * time passes only in advance(). Not a model of a network: each fault is one call.
 */
class FaultBench
{
public:
    explicit FaultBench(std::size_t daemons = 4);

    // ---- Daemons.
    void start(std::size_t daemon);
    void kill(std::size_t daemon);
    void pause(std::size_t daemon) { m_daemons[daemon].isPaused = true; }
    void wake(std::size_t daemon);
    void stop(std::size_t daemon) { give(daemon, StopRequested()); }
    bool isAlive(std::size_t daemon) const { return m_daemons[daemon].core != nullptr; }
    Core &core(std::size_t daemon) { return *m_daemons[daemon].core; }
    std::size_t size() const { return m_daemons.size(); }
    /** A new life of the daemon on another VM, while the old one may be paused. Its number. */
    std::size_t replace(std::size_t daemon);
    /** A daemon that isn't in the roster, which becomes the steward of the service. Its number. */
    std::size_t joinAsSteward(const std::string &service);
    std::size_t stewardOf(const std::string &service) const;
    /** A key without a ticket whose home this is, and `next` once the roster lacks this one. */
    std::string keyAt(std::size_t home, std::size_t next) const;
    /** A key with a ticket of the daemon. */
    std::string ticketKeyAt(std::size_t home);

    // ---- Messages.
    template <typename Message>
    void rule(LinkRule rule, std::size_t count = SIZE_MAX)
    {
        m_rules[PeerMessage(Message()).index()] = {rule, count};
    }
    template <typename Message>
    std::size_t held() const
    {
        const std::size_t kind = PeerMessage(Message()).index();
        return static_cast<std::size_t>(
            std::count_if(m_held.begin(), m_held.end(),
                          [kind](const Mail &mail) { return mail.message.index() == kind; }));
    }
    /** Ends all rules; what was held arrives now. */
    void release();
    /** The first message that was held arrives; rules go on. */
    void releaseFirst();
    /** What is held will never arrive. */
    void dropHeld() { m_held.clear(); }
    void doubleHeld() { m_held.insert(m_held.end(), m_held.begin(), m_held.end()); }
    /** These daemons and all others hear nothing of each other. */
    void cut(const std::vector<std::size_t> &side) { m_sides = {side.begin(), side.end()}; }
    void cutLink(std::size_t one, std::size_t other) { m_cutLink = {one, other}; }
    void mend();

    // ---- Callers.
    std::size_t call(std::size_t daemon, const std::string &key, const std::string &body,
                     const std::string &service, const std::string &requestClass = "default");
    void leave(std::size_t call);
    CallEnd endOf(std::size_t call) const;
    const Call &callAt(std::size_t call) const { return m_calls[call]; }
    std::string bytesOf(std::size_t call);

    // ---- Platform.
    FleetText &text() { return m_text; }
    void publish();
    void setLeavingVms(const std::vector<VmId> &vms);
    bool isPlatformUp = true;
    /** Whether watchers hear of what is published. */
    bool tellsWatchers = true;
    /** Texts that daemons fetch from each other arrive when release() is called. */
    bool holdsFetches = false;
    /** What a stale platform still gives; none: the newest. */
    std::optional<Generation> staleAt;
    /** Gives the daemon what was published last, as if it alone had read it. */
    void giveText(std::size_t daemon);
    Generation published() const { return Generation(m_texts.size()); }

    FakeTargets targets;
    /** The target of the latest request for a grant between two daemons. */
    TargetId grantedTarget;
    /** Time passes; every daemon that runs is ticked at each step. */
    void advance(Duration duration, Duration step = std::chrono::milliseconds(50));
    /** Lets everything that is under way arrive, without time passing. */
    void settle();
    /** Broken promises, one line each; empty when all were kept. */
    std::vector<std::string> brokenPromises();
    Instant now() const { return m_now; }

private:
    friend struct BenchPorts;
    struct Daemon
    {
        MemberId id;
        Endpoint address;
        std::uint64_t life = 0;
        std::unique_ptr<Core> core;
        std::unique_ptr<BenchPorts> ports;
        bool isPaused = false;
        bool isWatching = false;
        Generation seen;    ///< Last text that the platform gave.
        Generation highest; ///< In force at this life.
    };
    struct Mail
    {
        MemberInstance from;
        std::size_t source = 0;
        Endpoint to;
        PeerMessage message;
    };
    struct RuleState
    {
        LinkRule rule = LinkRule::Drop;
        std::size_t left = 0;
    };
    struct Shed
    {
        Instant at {};
        Tier tier;
    };

    void give(std::size_t daemon, CoreEvent event);
    void giveReading(std::size_t daemon, Generation after);
    void send(std::size_t from, const Endpoint &to, const PeerMessage &message);
    void deliver(const Mail &mail);
    std::optional<std::size_t> daemonAt(const Endpoint &address) const;
    bool isLinked(std::size_t from, std::size_t to) const;
    void readPlatform();
    void fetchAnswer(std::size_t reader, std::size_t holder, const RequestKey &key,
                     ExchangeId exchange);
    void noteGenerations();
    void noteEnds();
    bool hasRunOfEarlierCall(const Call &refused, bool isConflict) const;
    void checkCall(std::size_t call, std::vector<std::string> &broken);
    std::string keyOf(const Call &call) const;
    MemberId stewardWith(const std::string &service, const std::vector<MemberId> &members) const;

    Instant m_now {std::chrono::hours(1)};
    std::vector<Daemon> m_daemons;
    std::deque<Mail> m_wire;
    std::vector<Mail> m_held;
    std::map<std::size_t, RuleState> m_rules;
    std::set<std::size_t> m_sides;
    std::set<std::size_t> m_cutLink;
    std::deque<EventFor> m_events;
    std::deque<std::function<void()>> m_later;
    std::deque<EventFor> m_heldFetches;
    std::vector<Call> m_calls;
    std::map<std::size_t, std::string> m_bytes;
    FleetText m_text;
    std::vector<std::shared_ptr<const Configuration>> m_texts;
    VmList m_vms;
    std::vector<Shed> m_sheds;
    std::vector<std::string> m_broken;
    Generation m_oldest; ///< Among the daemons that serve.
};

} // namespace Apricothook
