#include <apricothook/model/apricothook_endpoint.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_CASE("An endpoint is an address in numbers and a port")
{
    SUBCASE("both families are read and written the same")
    {
        for (const char *text : {"127.0.0.1:80", "[::1]:65535"}) {
            const std::optional<Endpoint> endpoint = parseEndpoint(text);
            REQUIRE(endpoint);
            CHECK(endpoint->text() == text);
        }
    }
    SUBCASE("anything else is refused")
    {
        for (const char *text : {"", ":", "host:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                                 "::1:80", "[127.0.0.1]:80", "127.0.0.1:80x", "127.0.0.1:-1"}) {
            CAPTURE(text);
            CHECK_FALSE(parseEndpoint(text));
        }
    }
}
