#include <apricothook/dispatch/apricothook_service_versions.hpp>
#include <apricothook/dispatch/apricothook_stream_origins.hpp>
#include <apricothook/dispatch/apricothook_target_constraint.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

using std::chrono::seconds;

constexpr std::uint64_t Stream = 7;
const StreamOrigin Old {1, TargetVersion("v1")};
const StreamOrigin New {1, TargetVersion("v2")};

Instant at(int second)
{
    return Instant() + seconds(100 + second);
}

TargetEntry entryOf(const std::string &version)
{
    TargetEntry entry;
    entry.id = TargetId("t" + version);
    entry.service = ServiceId("s");
    entry.version = TargetVersion(version);
    return entry;
}

void confirmEachSecond(ServiceVersions &versions, int from, int until)
{
    for (int second = from; second <= until; ++second)
        versions.confirm(at(second));
}

} // namespace

TEST_CASE("the origin of a stream is remembered until its end")
{
    StreamOrigins origins;
    CHECK(origins.put(Stream, Old, at(5)));
    CHECK(origins.find(Stream, at(4))->origin == Old);
    CHECK_FALSE(origins.find(Stream, at(5)));
    CHECK_FALSE(origins.find(Stream + 1, at(4)));
    origins.put(Stream, Old, at(8));
    origins.review(at(6));
    CHECK(origins.find(Stream, at(7)));
    origins.review(at(8));
    CHECK(origins.size() == 0);
}

TEST_CASE("a stream with two origins isn't known")
{
    // Guards against a guess where a caller uses a request's id twice.
    StreamOrigins origins;
    origins.put(Stream, Old, at(5));
    origins.put(Stream, New, at(5));
    CHECK_FALSE(origins.find(Stream, at(1)));
    origins.put(Stream, Old, at(9));
    CHECK_FALSE(origins.find(Stream, at(8)));
}

TEST_CASE("a full table forgets the stream that ends first, and says so")
{
    StreamOrigins origins;
    for (std::uint64_t stream = 0; stream < StreamOrigins::MaximumStreams; ++stream)
        CHECK(origins.put(stream, Old, at(5) + Duration(stream)));
    CHECK_FALSE(origins.put(StreamOrigins::MaximumStreams, Old, at(9)));
    CHECK(origins.size() == StreamOrigins::MaximumStreams);
    CHECK_FALSE(origins.find(0, at(1)));
    CHECK(origins.find(1, at(1)));
}

TEST_CASE("a version that isn't known allows no target")
{
    TargetConstraint constraint;
    CHECK(constraint.allows(entryOf("v1")));
    CHECK(constraint.allows(entryOf("")));
    constraint.version = TargetVersion("v1");
    CHECK(constraint.allows(entryOf("v1")));
    CHECK_FALSE(constraint.allows(entryOf("v2")));
    constraint.version = TargetVersion();
    CHECK_FALSE(constraint.allows(entryOf("v1")));
    CHECK_FALSE(constraint.allows(entryOf("")));
}

TEST_CASE("the sole version of a service is known only with a history without a gap")
{
    const ServiceId service("s");
    ServiceVersions versions;
    versions.put(entryOf("v1"));
    CHECK_FALSE(versions.soleVersion(service, at(0), at(1)));
    confirmEachSecond(versions, 0, 10);
    CHECK(versions.soleVersion(service, at(0), at(10)) == TargetVersion("v1"));
    CHECK_FALSE(versions.soleVersion(service, at(-1), at(10)));
    CHECK_FALSE(versions.soleVersion(service, at(0), at(11)));
    CHECK_FALSE(versions.soleVersion(ServiceId("other"), at(0), at(10)));

    versions.put(entryOf("v2"));
    CHECK_FALSE(versions.soleVersion(service, at(5), at(10)));
    versions.remove(entryOf("v2"), at(12));
    confirmEachSecond(versions, 11, 20);
    CHECK_FALSE(versions.soleVersion(service, at(12), at(20)));
    CHECK(versions.soleVersion(service, at(13), at(20)) == TargetVersion("v1"));

    // A target may have come and gone in the gap.
    confirmEachSecond(versions, 24, 30);
    CHECK_FALSE(versions.soleVersion(service, at(20), at(30)));
    CHECK(versions.soleVersion(service, at(24), at(30)) == TargetVersion("v1"));
}
