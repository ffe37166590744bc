#include <apricothook/homes/apricothook_ticket_issuer.hpp>

#include "apricothook_homes_fakes.hpp"

#include <doctest/doctest.h>

using namespace Apricothook;
using namespace Apricothook::Testing;

TEST_SUITE("[homes][ticket]")
{
    TEST_CASE("A key names the life that issued its ticket, whatever the member is called")
    {
        for (const char *name : {"a", "a.b", "a-b_c.d", "t1.x.1"}) {
            const TicketIssuer issuer({MemberId(name), Incarnation(0x1f)}, {7, "secret"});
            const TicketReader reader({{6, "new"}, {7, "secret"}});
            const auto ticket = reader.read(RequestKey(issuer.issue(at(2)) + ".mine.1"));
            REQUIRE(ticket);
            CHECK(ticket.value() == Ticket {{MemberId(name), Incarnation(0x1f)}, 2000});
        }
    }

    TEST_CASE("The longest member's minted key is short enough, and minted keys differ")
    {
        const TicketIssuer issuer({MemberId(std::string(64, '.')), Incarnation(~0ULL)}, {~0U, "s"});
        FakeRandom random;
        const RequestKey key = issuer.mint(Instant::max(), random);
        CHECK(key.text().size() <= MaximumKeyBytes);
        CHECK(key != issuer.mint(Instant::max(), random));
        CHECK(TicketReader({{~0U, "s"}}).read(key));
    }

    TEST_CASE("A key of the caller's own is no ticket")
    {
        CHECK_FALSE(readerOf().read(RequestKey("order-17")).value());
        CHECK_FALSE(readerOf().read(RequestKey("")).value());
    }

    TEST_CASE("A changed ticket is refused")
    {
        // A caller that could change the home or the time of issue in a ticket would choose a home
        // that has never heard of its key, and have one key granted twice.
        const TicketIssuer issuer({MemberId("a"), Incarnation(5)}, {1, "secret"});
        const std::string good = issuer.issue(at(1)) + ".x";
        SUBCASE("in any byte before the caller's part")
        {
            for (std::size_t i = 3; i < good.size() - 2; ++i) {
                for (const char byte : {'0', 'f', '.', 'b', '~', '\n'}) {
                    std::string bad = good;
                    bad[i] = byte;
                    CAPTURE(bad);
                    if (bad != good)
                        CHECK_FALSE(readerOf().read(RequestKey(bad)));
                }
            }
        }
        SUBCASE("at any length short of a part of the caller's own")
        {
            for (std::size_t size = 3; size < good.size(); ++size)
                CHECK_FALSE(readerOf().read(RequestKey(good.substr(0, size))));
            CHECK(readerOf().read(RequestKey(good.substr(0, good.size() - 1))).error()
                  == TicketError::NoOwnPart);
        }
        SUBCASE("with another key, or one that is no longer held")
        {
            CHECK(readerOf({{1, "other"}}).read(RequestKey(good)).error() == TicketError::Forged);
            CHECK(readerOf({{2, "secret"}}).read(RequestKey(good)).error()
                  == TicketError::UnknownSigningKey);
        }
        SUBCASE("when it is longer than a key may be")
        {
            CHECK(readerOf().read(RequestKey(good + std::string(256, 'x'))).error()
                  == TicketError::TooLong);
        }
    }
}
