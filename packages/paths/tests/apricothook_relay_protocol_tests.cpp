#include <apricothook/paths/apricothook_relay_protocol.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

const RelayRequest Sample {
    RelayService::Connect, {TargetId("t"), 17}, {"10.0.0.1", 8080}, RequestKey("r")};

RelayRequestError errorWithout(const std::string &header, const std::string &value)
{
    RequestHead head = writeRelayRequest(Sample);
    head.headers.set(header, value);
    return parseRelayRequest(head).error();
}

} // namespace

TEST_CASE("a relay request is read as it was written")
{
    CHECK(parseRelayRequest(writeRelayRequest(Sample)).value() == Sample);
    RelayRequest test = Sample;
    test.service = RelayService::Test;
    CHECK(parseRelayRequest(writeRelayRequest(test)).value() == test);
}

TEST_CASE("an invalid relay request is refused with its error")
{
    CHECK(errorWithout("Relay-Target", "") == RelayRequestError::MissingTarget);
    CHECK(errorWithout("Relay-Address", "host:1") == RelayRequestError::InvalidAddress);
    CHECK(errorWithout("Relay-Start", "1x") == RelayRequestError::InvalidStart);
    RequestHead other = writeRelayRequest(Sample);
    other.target = "/other";
    CHECK(parseRelayRequest(other).error() == RelayRequestError::UnknownService);
}

TEST_CASE("each outcome has a status of its own, and any other status is a failure")
{
    for (const RelayOutcome outcome :
         {RelayOutcome::Reached, RelayOutcome::TargetRefuses, RelayOutcome::TargetSilent,
          RelayOutcome::NoPath, RelayOutcome::UnknownTarget, RelayOutcome::Busy,
          RelayOutcome::Failed})
        CHECK(relayOutcomeOf(statusOf(outcome)) == outcome);
    CHECK(relayOutcomeOf(302) == RelayOutcome::Failed);
}
