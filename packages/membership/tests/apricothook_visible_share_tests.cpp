#include <apricothook/membership/apricothook_membership_limits.hpp>
#include <apricothook/membership/internal/apricothook_loss_record.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace Apricothook;

TEST_SUITE_BEGIN("visible share");

namespace {

constexpr std::size_t Fleet = 320;
const Instant Start {std::chrono::hours(1)};

DataCentreId dataCentre(std::size_t number)
{
    return DataCentreId(std::to_string(number));
}

/** Loses member numbers that are in the first `lost` of `dataCentres` data centres. */
double shareAfter(std::size_t fleet, std::size_t dataCentres, std::size_t lost)
{
    LossRecord record;
    std::size_t visible = 0;
    for (std::size_t i = 0; i < fleet; ++i) {
        if (i % dataCentres < lost)
            record.add(MemberId(std::to_string(i)), dataCentre(i % dataCentres), Start);
        else
            ++visible;
    }
    return record.share(visible, Start);
}

} // namespace

TEST_CASE("A lost data centre is a death, a lost region is a split")
{
    CHECK(shareAfter(Fleet, 7, 1) == 1);
    CHECK(shareAfter(9, 3, 1) == 1);
    CHECK(shareAfter(Fleet, 3, 1) == 1);
    CHECK(shareAfter(9, 3, 2) == doctest::Approx(1.0 / 3));
    CHECK(shareAfter(Fleet, 7, 3) == doctest::Approx(182.0 / 320));
    CHECK(shareAfter(Fleet, 7, 4) == doctest::Approx(136.0 / 320));
}

TEST_CASE("Two sides of a split never take more than the whole together")
{
    for (std::size_t lost = 2; lost <= 5; ++lost)
        CHECK(shareAfter(Fleet, 7, lost) + shareAfter(Fleet, 7, 7 - lost)
              <= (lost == 2 || lost == 5 ? 1 + 2.0 / 7 + 0.01 : 1.0001));
}

TEST_CASE("An ordinary day of deaths and replacements lowers nothing")
{
    // 10 VMs fail and 370 are replaced, some killed without leaving, whose new life comes a minute
    // later. Taken for a split, the fleet would use a part of its targets only.
    LossRecord record;
    double least = 1;
    constexpr std::size_t Replacements = 370;
    for (std::size_t i = 0; i < Replacements; ++i) {
        const Instant now = Start + i * std::chrono::hours(24) / Replacements;
        record.add(MemberId(std::to_string(i)), dataCentre(i % 7), now);
        least = std::min(least, record.share(Fleet - 1, now));
        if (i % 37 != 0)
            record.remove(MemberId(std::to_string(i)));
    }
    CHECK(least == 1);
}

TEST_CASE("Losses count for a while and until the member is back")
{
    LossRecord record;
    for (std::size_t i = 0; i < 5; ++i)
        record.add(MemberId(std::to_string(i)), dataCentre(i % 3), Start);
    CHECK(record.share(4, Start) == doctest::Approx(4.0 / 9));
    record.remove(MemberId("0"));
    record.remove(MemberId("1"));
    CHECK(record.share(6, Start) == 1);
    record.add(MemberId("0"), dataCentre(0), Start);
    record.add(MemberId("1"), dataCentre(1), Start);
    CHECK(record.share(4, Start + LossWindow) < 1);
    CHECK(record.share(4, Start + LossWindow + Duration(1)) == 1);
}

TEST_SUITE_END();
