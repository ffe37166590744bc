#include <apricothook/text/apricothook_printable.hpp>
#include <apricothook/text/internal/apricothook_object_reader.hpp>
#include <apricothook/text/internal/apricothook_section_readers.hpp>
#include <apricothook/text/internal/apricothook_text_references.hpp>
#include <apricothook/text/internal/apricothook_value_checks.hpp>

#include <algorithm>
#include <cmath>

namespace Apricothook {

namespace {

constexpr Bounds<double> RequestRateBounds {0.001, 1'000'000};
constexpr Bounds<std::uint64_t> BurstBounds {1, 1'000'000};
constexpr Bounds<std::uint64_t> WeightBounds {1, 1000};

class CustomerReader
{
public:
    explicit CustomerReader(TextReferences &references) : m_references(references) { }

    void read(ObjectReader &entry, Customer &customer)
    {
        entry.readNewName("id", customer.id, m_references.customers);
        readKeyHashes(entry, customer);
        entry.readReal("requestsPerSecond", customer.requestsPerSecond, RequestRateBounds,
                       Need::Required);
        if (!entry.readWhole("burst", customer.burst, BurstBounds, Need::Optional))
            customer.burst = burstOf(customer.requestsPerSecond);
        entry.readWhole("weight", customer.weight, WeightBounds, Need::Optional);
        readHomeRegion(entry, customer);
    }

private:
    /** Two seconds' worth of the rate, so that a caller's small clumps aren't refused. */
    static std::uint32_t burstOf(double requestsPerSecond)
    {
        return static_cast<std::uint32_t>(
            std::min(std::ceil(2 * requestsPerSecond), static_cast<double>(BurstBounds.most)));
    }

    void readKeyHashes(ObjectReader &entry, Customer &customer)
    {
        bool hasEntry = false;
        const bool isList = entry.forEach("keyHashes", Need::Required,
                                          [&](const Json::Value &value, const ValuePath &path) {
                                              hasEntry = true;
                                              readKeyHash(entry.reading(), value, path, customer);
                                          });
        if (isList && !hasEntry)
            entry.refuse("keyHashes", TextRule::EmptyList, "without one nobody is this customer");
    }

    void readKeyHash(TextReading &reading, const Json::Value &value, const ValuePath &path,
                     Customer &customer)
    {
        const std::optional<std::string> hash
            = value.isString() ? parseKeyHash(value.asString()) : std::nullopt;
        if (!hash) {
            reading.refuse(value, path, TextRule::MalformedKeyHash,
                           "the SHA-256 of a bearer token in 64 hex digits is wanted");
            return;
        }
        // A token with two customers would be charged to whichever is found first.
        const auto [other, isNew] = m_references.keyHashes.emplace(*hash, customer.id);
        if (!isNew) {
            reading.refuse(value, path, TextRule::SharedKeyHash,
                           "customer " + inQuotes(other->second.text()) + " has it already");
            return;
        }
        customer.keyHashes.push_back(*hash);
    }

    void readHomeRegion(ObjectReader &entry, Customer &customer)
    {
        const bool isOneRegion = m_references.regionsWithDaemon.size() == 1;
        if (isOneRegion)
            customer.homeRegion = *m_references.regionsWithDaemon.begin();
        const Need need = isOneRegion ? Need::Optional : Need::Required;
        if (!entry.readReference("homeRegion", customer.homeRegion, m_references.regions, need))
            return;
        const std::set<RegionId> &withDaemon = m_references.regionsWithDaemon;
        if (!withDaemon.empty() && !withDaemon.contains(customer.homeRegion))
            entry.refuse("homeRegion", TextRule::RegionWithoutDaemon,
                         "no daemon there could be home of this customer's keys");
    }

    TextReferences &m_references;
};

} // namespace

std::vector<Customer> readCustomers(ObjectReader &root, TextReferences &references)
{
    std::vector<Customer> all;
    CustomerReader reader(references);
    root.forEachObject("customers", Need::Required,
                       [&](ObjectReader &entry) { reader.read(entry, all.emplace_back()); });
    return all;
}

} // namespace Apricothook
