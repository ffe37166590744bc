#pragma once

#include <apricothook/requests/apricothook_request_flow.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Apricothook {

/** Fakes of everything that a request flow stands on; every value is set by the test. */
struct FlowFakes : MemberView,
                   ShardRouter,
                   HomeDirectory,
                   AdmissionGate,
                   AnswerStore,
                   TargetPort,
                   PlatformPort,
                   EventSink,
                   RequestObserver
{
    MemberInstance life {MemberId("entry"), Incarnation(1)};
    std::vector<MemberUpdate> members;
    std::vector<ShardId> shardList {{ServiceId("engines"), RegionId("r"), 0}};
    std::map<ShardId, MemberId> stewards;
    std::vector<MemberId> homeMembers {MemberId("home")};
    bool isHomeGone = false;
    std::vector<MemberId> witnesses {MemberId("w1"), MemberId("w2")};
    bool isSuspect = false;
    std::optional<Refusal> limit;
    std::map<RequestKey, std::shared_ptr<const KeptAnswer>> kept;
    std::vector<TargetOrder> orders;
    bool isTargetPortFull = false;
    std::vector<RequestKey> fetched;
    std::vector<DecisionEvent> recorded;
    std::vector<RequestSummary> summaries;
    int minted = 0;

    const MemberInstance &self() const override { return life; }
    const std::vector<MemberUpdate> &live() const override { return members; }
    std::optional<MemberUpdate> find(const MemberId &member) const override
    {
        MemberUpdate update;
        update.instance = {member, Incarnation(1)};
        return update;
    }
    std::uint64_t version() const override { return 0; }
    double visibleShare() const override { return 1; }
    std::vector<ShardId> shardsFor(const ServiceId &, const RequestProfile &, Instant) override
    {
        return shardList;
    }
    std::vector<ShardId> shards() const override { return shardList; }
    MemberId stewardOf(const ShardId &shard) override
    {
        const auto found = stewards.find(shard);
        return found == stewards.end() ? MemberId("steward") : found->second;
    }
    Result<std::vector<MemberId>, KeyProblem> homesOf(const RequestKey &, const CustomerId &,
                                                      Instant) override
    {
        if (isHomeGone)
            return KeyProblem::HomeGone;
        return homeMembers;
    }
    std::vector<MemberId> witnessesOf(const RequestKey &, const CustomerId &, Instant) override
    {
        return witnesses;
    }
    RequestKey mint() override { return RequestKey("minted-" + std::to_string(++minted)); }
    std::optional<Refusal> admit(const CustomerId &, Instant) override { return limit; }
    bool isQuarantined(Fingerprint, Instant) override { return isSuspect; }
    std::vector<TargetId> excludedFor(Fingerprint, Instant) override { return {}; }
    void runStarted(Fingerprint, const TargetId &, Instant) override { }
    void runEnded(Fingerprint, const TargetId &, RunEnd, Instant, Outbox &) override { }
    void keep(const RequestKey &key, std::shared_ptr<const KeptAnswer> answer, Instant) override
    {
        kept[key] = std::move(answer);
    }
    std::shared_ptr<const KeptAnswer> find(const RequestKey &key, Instant) override
    {
        return kept.contains(key) ? kept[key] : nullptr;
    }
    bool order(TargetOrder order) override
    {
        if (!isTargetPortFull)
            orders.push_back(std::move(order));
        return !isTargetPortFull;
    }
    void setWatching(bool, Generation) override { }
    void readOnce(Generation) override { }
    void fetchText(const Endpoint &, Generation, std::uint64_t) override { }
    void fetchAnswer(const Endpoint &, const RequestKey &key, ExchangeId) override
    {
        fetched.push_back(key);
    }
    void offerText(Generation, std::uint64_t, std::shared_ptr<const std::string>) override { }
    void record(const DecisionEvent &event) override { recorded.push_back(event); }
    void ended(const RequestSummary &summary) override { summaries.push_back(summary); }
};

/** A request flow with a small configuration, and the messages that it sent. */
class FlowFixture
{
public:
    FlowFixture() : flow({fakes, fakes, fakes, fakes, fakes, fakes, fakes, fakes, fakes})
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->generation = Generation(7);
        FleetText &text = configuration->text;
        text.services = {{ServiceId("engines"), ServiceKind::Engine, {}},
                         {ServiceId("charges"), ServiceKind::Plain, {}}};
        for (const char *name : {"t1", "t2", "t3"}) {
            Target target;
            target.id = TargetId(name);
            target.service = ServiceId("engines");
            text.targets.push_back(target);
        }
        Customer customer;
        customer.id = CustomerId("mulgara");
        customer.keyHashes = {"token"};
        text.customers = {customer};
        RequestClass requestClass;
        requestClass.id = ClassId("default");
        requestClass.patience = std::chrono::seconds(10);
        text.classes = {requestClass};
        flow.applyConfiguration(configuration);
    }

    std::shared_ptr<AnswerStream> call(std::uint64_t exchange, const std::string &key = "",
                                       const char *service = "engines")
    {
        CallerRequest request;
        request.exchange = ExchangeId(exchange);
        request.tokenHash = "token";
        request.service = ServiceId(service);
        request.method = "POST";
        request.path = "/v1/completions";
        request.key = RequestKey(key);
        request.profile.fingerprint = Fingerprint(5);
        request.profile.prefixes = {PrefixHash(1), PrefixHash(2)};
        request.answer = std::make_shared<AnswerStream>();
        std::shared_ptr<AnswerStream> answer = request.answer;
        flow.handle(std::move(request), now, out);
        return answer;
    }

    void advance(Duration by)
    {
        now += by;
        flow.tick(now, out);
    }

    AttemptId attempt(std::uint64_t exchange, std::uint32_t number = 1) const
    {
        return {fakes.life, ExchangeId(exchange), number};
    }

    void reserved(std::uint64_t exchange, const char *target = "t1", std::uint32_t number = 1)
    {
        ReserveReply reply;
        reply.attempt = attempt(exchange, number);
        reply.shard = fakes.shardList.front();
        reply.target = TargetId(target);
        reply.lease = std::chrono::seconds(3);
        flow.handle(MemberId("steward"), reply, now, out);
    }

    void refusedBySteward(std::uint64_t exchange, ReserveVerdict verdict)
    {
        ReserveReply reply;
        reply.attempt = attempt(exchange);
        reply.shard = fakes.shardList.front();
        reply.verdict = verdict;
        flow.handle(MemberId("steward"), reply, now, out);
    }

    void granted(std::uint64_t exchange, GrantVerdict verdict = GrantVerdict::Granted,
                 std::uint32_t number = 1, const char *home = "home")
    {
        GrantReply reply;
        reply.attempt = attempt(exchange, number);
        reply.verdict = verdict;
        reply.holder = {MemberId("holder"), Incarnation(1)};
        flow.handle(MemberId(home), reply, now, out);
    }

    void homeSays(std::uint64_t exchange, const std::string &key, KeyState state,
                  const char *target = "t1")
    {
        KeyQueryReply reply;
        reply.sequence = exchange;
        reply.key = RequestKey(key + "@mulgara");
        reply.state = state;
        reply.holder = {MemberId("holder"), Incarnation(1)};
        reply.target = TargetId(target);
        flow.handle(MemberId("home"), reply, now, out);
    }

    void ended(RunEnd end, bool isProvenNotRun = false)
    {
        DispatchEnded event;
        event.dispatch = lastDispatch().dispatch;
        event.end = end;
        event.isProvenNotRun = isProvenNotRun;
        flow.handle(event, now, out);
    }

    const DispatchOrder &lastDispatch() const
    {
        return std::get<DispatchOrder>(fakes.orders.back());
    }

    /** The messages of one type that were sent since the last call. */
    template <typename Message>
    std::vector<Message> sent()
    {
        std::vector<Message> messages;
        for (const OutgoingMessage &outgoing : out) {
            if (const Message *message = std::get_if<Message>(&outgoing.message))
                messages.push_back(*message);
        }
        out.clear();
        return messages;
    }

    Instant now {std::chrono::seconds(100)};
    Outbox out;
    FlowFakes fakes;
    RequestFlow flow;
};

} // namespace Apricothook
