#include <apricothook/bench/apricothook_allocation_count.hpp>
#include <apricothook/bench/apricothook_bench_case.hpp>
#include <apricothook/bench/apricothook_bench_fakes.hpp>
#include <apricothook/bench/apricothook_wire_bytes.hpp>
#include <apricothook/homes/apricothook_customer_limits.hpp>
#include <apricothook/homes/apricothook_key_home.hpp>
#include <apricothook/homes/apricothook_ticket_issuer.hpp>

namespace Apricothook {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TicketKey SigningKey {1, "0123456789abcdef"};

/** A home that remembers `kept` keys already; each operation grants a new key with a ticket. */
class GrantSubject : public BenchSubject
{
public:
    explicit GrantSubject(std::size_t kept)
        : m_members(BenchScale::of(320))
        , m_map(m_members.self().member, TicketReader({SigningKey}))
        , m_issuer(m_members.self(), SigningKey)
        , m_home(m_map, m_members, m_events, KeyHomeLimits(), BenchStart)
    {
        m_map.apply(*benchConfiguration(BenchScale::of(320)), BenchStart);
        m_out.reserve(16);
        const std::int64_t before = allocationsNow().liveBytes;
        for (std::size_t i = 0; i < kept; ++i) {
            prepare();
            operate();
        }
        m_bytes
            = static_cast<double>(allocationsNow().liveBytes - before) / static_cast<double>(kept);
    }
    void prepare() override
    {
        m_out.clear();
        ++m_next;
        m_request.attempt
            = {m_members.live()[m_next % m_members.live().size()].instance, ExchangeId(m_next), 1};
        m_request.key = m_issuer.mint(BenchStart, m_random);
        m_request.customer = CustomerId(benchCustomer(m_next % 2500));
        m_request.fingerprint = Fingerprint(m_next);
        m_request.target = TargetId("runner-" + std::to_string(m_next % 600));
        m_request.generation = Generation(1);
    }
    void operate() override
    {
        m_home.handle(m_request.attempt.entry.member, m_request, BenchStart, m_out);
        m_granted += std::get<GrantReply>(m_out.back().message).verdict == GrantVerdict::Granted;
    }
    std::vector<BenchFigure> figures() const override
    {
        return {{"stateBytesPerKey", m_bytes},
                {"wireBytes", datagramBytes(m_out)},
                {"granted", static_cast<double>(m_granted) / static_cast<double>(m_next)}};
    }

private:
    BenchMembers m_members;
    SilentEvents m_events;
    BenchRandom m_random;
    HomeMap m_map;
    TicketIssuer m_issuer;
    KeyHome m_home;
    GrantRequest m_request;
    Outbox m_out;
    std::size_t m_next = 0;
    std::size_t m_granted = 0;
    double m_bytes = 0;
};

/** Where an entry turns to for the grant of a key without a ticket. */
class HomeChoiceSubject : public BenchSubject
{
public:
    explicit HomeChoiceSubject(const BenchScale &scale)
        : m_customers(scale.customers), m_map(MemberId(benchMember(0)), TicketReader({SigningKey}))
    {
        m_map.apply(*benchConfiguration(scale), BenchStart);
    }
    void prepare() override
    {
        m_key = RequestKey("order-" + std::to_string(++m_next));
        m_customer = CustomerId(benchCustomer(m_next % m_customers));
    }
    void operate() override { m_found += m_map.homesOf(m_key, m_customer, BenchStart).has_value(); }
    std::vector<BenchFigure> figures() const override
    {
        return {{"found", static_cast<double>(m_found) / static_cast<double>(m_next)}};
    }

private:
    std::size_t m_customers;
    HomeMap m_map;
    RequestKey m_key;
    CustomerId m_customer;
    std::size_t m_next = 0;
    std::size_t m_found = 0;
};

/** An entry's check of a customer's limit while `customers` of them are active. */
class AdmitSubject : public BenchSubject
{
public:
    explicit AdmitSubject(std::size_t customers)
        : m_members(BenchScale::of(320)), m_limits(m_members), m_customers(customers)
    {
        CustomerLimitTable table;
        for (std::size_t i = 0; i < customers; ++i)
            table[CustomerId(benchCustomer(i))] = {100000, 100000};
        m_limits.setLimits(std::move(table));
        const std::int64_t before = allocationsNow().liveBytes;
        for (std::size_t i = 0; i < customers; ++i) {
            prepare();
            operate();
        }
        m_bytes = static_cast<double>(allocationsNow().liveBytes - before)
            / static_cast<double>(customers);
    }
    void prepare() override { m_customer = CustomerId(benchCustomer(++m_next % m_customers)); }
    void operate() override
    {
        m_admitted += m_limits.admit(m_customer, BenchStart).has_value();
        ++m_asked;
    }
    std::vector<BenchFigure> figures() const override
    {
        return {{"stateBytesPerCustomer", m_bytes},
                {"admitted", static_cast<double>(m_admitted) / static_cast<double>(m_asked)}};
    }

private:
    BenchMembers m_members;
    CustomerLimits m_limits;
    std::size_t m_customers;
    CustomerId m_customer;
    std::size_t m_next = 0;
    std::size_t m_admitted = 0;
    std::size_t m_asked = 0;
    double m_bytes = 0;
};

/** A demand that the entry reports, and the share that comes back to it, for one customer. */
class LimitSubject : public BenchSubject
{
public:
    explicit LimitSubject(const BenchScale &scale) : m_members(scale), m_limits(m_members)
    {
        m_limits.setLimits({{m_customer, {100000, 100000}}});
    }
    void prepare() override
    {
        m_now += seconds(2);
        m_out.clear();
        m_admitted += m_limits.admit(m_customer, m_now).has_value();
    }
    void operate() override
    {
        m_limits.tick(m_now, m_out);
        const LimitShare share {m_customer, 50, seconds(3)};
        m_limits.handle(m_limits.limiterOf(m_customer), share, m_now);
        m_limits.handle(MemberId(benchMember(1)), LimitDemand {m_customer, 3, seconds(1)}, m_now,
                        m_out);
    }

private:
    BenchMembers m_members;
    CustomerLimits m_limits;
    CustomerId m_customer {benchCustomer(3)};
    std::size_t m_admitted = 0;
    Instant m_now = BenchStart;
    Outbox m_out;
};

} // namespace

void addHomeCases(BenchCases &cases)
{
    cases.push_back({"grant", "keys kept", {1000, 8000, 50000, 190000}, 2000, [](std::size_t size) {
                         return std::make_unique<GrantSubject>(size);
                     }});
    cases.push_back({"home-choice", "daemons", FleetSizes, 2000, [](std::size_t size) {
                         return std::make_unique<HomeChoiceSubject>(BenchScale::of(size));
                     }});
    cases.push_back({"admit", "active customers", {70, 280, 780, 2500}, 2000, [](std::size_t size) {
                         return std::make_unique<AdmitSubject>(size);
                     }});
    cases.push_back({"limit-report", "daemons", FleetSizes, 2000, [](std::size_t size) {
                         return std::make_unique<LimitSubject>(BenchScale::of(size));
                     }});
}

} // namespace Apricothook
