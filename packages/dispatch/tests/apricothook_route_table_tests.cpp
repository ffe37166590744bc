#include <apricothook/dispatch/apricothook_route_table.hpp>

#include <doctest/doctest.h>

#include <limits>
#include <map>

using namespace Apricothook;

namespace {

RouteRule route(const std::string &name, const std::string &host, const std::string &prefix)
{
    RouteRule rule;
    rule.name = ClassId(name);
    rule.host = host;
    rule.prefix = prefix;
    rule.services = {{ServiceId("s"), 1}};
    return rule;
}

std::string found(const RouteTable &table, std::string_view host, std::string_view path)
{
    const RouteRule *rule = table.route(host, path);
    return rule ? rule->name.text() : "none";
}

} // namespace

TEST_CASE("the longest prefix of the host wins")
{
    ServingConfiguration configuration;
    configuration.routes = {route("all", "a", "/"), route("maps", "a", "/maps/"),
                            route("tiles", "a", "/maps/tiles/"), route("other", "b", "/maps/")};
    const RouteTable table(configuration);
    CHECK(found(table, "a", "/maps/tiles/7") == "tiles");
    CHECK(found(table, "a", "/maps/tiles/") == "tiles");
    CHECK(found(table, "a", "/maps/tiles") == "maps");
    CHECK(found(table, "a", "/mapsx/7") == "all");
    CHECK(found(table, "b", "/maps/7") == "other");
    CHECK(found(table, "b", "/") == "none");
    CHECK(found(table, "c", "/maps/") == "none");
    CHECK(found(table, "a", "") == "none");
}

TEST_CASE("a key names its customer")
{
    ServingConfiguration configuration;
    CustomerRule customer;
    customer.name = CustomerId("carrier");
    customer.keys = {"k1", "k2"};
    configuration.customers = {customer};
    const RouteTable table(configuration);
    REQUIRE(table.customerOfKey("k2"));
    CHECK(table.customerOfKey("k2")->name == CustomerId("carrier"));
    CHECK_FALSE(table.customerOfKey("k3"));
    CHECK_FALSE(table.customerOfKey(""));
}

TEST_CASE("requests are split by weight")
{
    RouteRule rule = route("r", "h", "/");
    rule.services = {{ServiceId("a"), 90}, {ServiceId("b"), 10}, {ServiceId("never"), 0}};
    std::map<std::string, int> counts;
    constexpr int Draws = 1000;
    for (int i = 0; i < Draws; ++i)
        ++counts[serviceOf(rule,
                           std::numeric_limits<std::uint64_t>::max() / Draws
                               * static_cast<unsigned>(i))
                     .text()];
    CHECK(counts["a"] == doctest::Approx(900).epsilon(0.01));
    CHECK(counts["b"] == doctest::Approx(100).epsilon(0.05));
    CHECK(counts["never"] == 0);
}
