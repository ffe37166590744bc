#include <apricothook/peers/apricothook_peer_seal.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_SUITE_BEGIN("seal");

namespace {

const PeerKey OldKey {1, "0123456789abcdef"};
const PeerKey NewKey {2, "fedcba9876543210"};
const MemberInstance Sender {MemberId("entry-1"), Incarnation(5)};
const MemberId Receiver("entry-2");

SealError refusalOf(PeerOpener &opener, const std::string &datagram)
{
    const Result<OpenedDatagram, SealError> opened = opener.open(datagram);
    REQUIRE_FALSE(opened);
    return opened.error();
}

PeerKeysError errorOf(std::string_view text)
{
    const Result<PeerKeys, PeerKeysError> keys = parsePeerKeys(text);
    REQUIRE_FALSE(keys);
    return keys.error();
}

} // namespace

TEST_CASE("A sealed datagram can be opened once and yields its sender and payload")
{
    PeerSealer sealer(Sender, {OldKey});
    PeerOpener opener(Receiver, {OldKey});
    const std::string datagram = sealer.seal(Receiver, "payload");
    CHECK(datagram.size() <= sealer.overhead(Receiver) + std::string("payload").size());
    const Result<OpenedDatagram, SealError> opened = opener.open(datagram);
    REQUIRE(opened);
    CHECK(opened.value().from == Sender);
    CHECK(opened.value().payload == "payload");
    CHECK(refusalOf(opener, datagram) == SealError::Replayed);
    // A joining daemon knows only the addresses of seeds, so it leaves the recipient empty.
    CHECK(opener.open(sealer.seal(MemberId(), "join")).has_value());
}

TEST_CASE("A datagram with any modified byte is rejected")
{
    // A datagram is modified in transit or forged. Without the signature, a forged member update
    // could take a live daemon out of service, and a forged grant could run a request twice.
    PeerSealer sealer(Sender, {OldKey});
    PeerOpener opener(Receiver, {OldKey});
    const std::string datagram = sealer.seal(Receiver, "payload");
    for (std::size_t place = 0; place < datagram.size(); ++place) {
        std::string changed = datagram;
        changed[place] = static_cast<char>(changed[place] ^ 0x01);
        CHECK_FALSE(opener.open(changed).has_value());
        CHECK_FALSE(opener.open(datagram.substr(0, place)).has_value());
    }
    CHECK(opener.open(datagram).has_value());
    CHECK(refusalOf(opener, sealer.seal(MemberId("entry-3"), "x")) == SealError::ForAnotherMember);
}

TEST_CASE("Keys can be rotated without downtime")
{
    // Daemons receive the new key file one after the other. Meanwhile some sign with the old key
    // and some with the new one. A daemon that has only one of them must not be cut off, so those
    // that have both must accept both.
    PeerSealer oldSealer(Sender, {OldKey, NewKey});
    PeerSealer newSealer({MemberId("entry-3"), Incarnation(1)}, {NewKey, OldKey});
    PeerOpener both(Receiver, {NewKey, OldKey});
    PeerOpener onlyNew(Receiver, {NewKey});
    CHECK(both.open(oldSealer.seal(Receiver, "a")).has_value());
    CHECK(both.open(newSealer.seal(Receiver, "b")).has_value());
    CHECK(onlyNew.open(newSealer.seal(Receiver, "c")).has_value());
    CHECK(refusalOf(onlyNew, oldSealer.seal(Receiver, "d")) == SealError::UnknownKey);
    PeerSealer foreign(Sender, {{1, "another secret !"}});
    CHECK(refusalOf(both, foreign.seal(Receiver, "e")) == SealError::BadSignature);
}

TEST_CASE("Reordered datagrams are accepted, replayed and outdated ones are rejected")
{
    PeerSealer sealer(Sender, {OldKey});
    PeerOpener opener(Receiver, {OldKey});
    std::vector<std::string> datagrams;
    datagrams.reserve(3000);
    for (int i = 0; i < 3000; ++i)
        datagrams.push_back(sealer.seal(Receiver, "x"));
    CHECK(opener.open(datagrams[1500]).has_value());
    CHECK(opener.open(datagrams[1000]).has_value());
    CHECK(refusalOf(opener, datagrams[1000]) == SealError::Replayed);
    CHECK(refusalOf(opener, datagrams[100]) == SealError::Replayed);
    CHECK(opener.open(datagrams[2999]).has_value());
    CHECK(refusalOf(opener, datagrams[1500]) == SealError::Replayed);
    CHECK(opener.open(datagrams[2998]).has_value());
    // Each instance has its own window: a paused process is still received after its replacement.
    PeerSealer restarted({Sender.member, Incarnation(6)}, {OldKey});
    CHECK(opener.open(restarted.seal(Receiver, "y")).has_value());
}

TEST_CASE("Errors in a key file are reported with their line")
{
    using Rule = PeerKeysError::Rule;
    const std::string hex(32, 'a');
    const auto keys = parsePeerKeys("# comment\n\n7 " + hex + "\r\n8 " + hex + "\n");
    REQUIRE(keys);
    CHECK(keys.value().front() == PeerKey {7, std::string(16, '\xaa')});
    CHECK(errorOf("") == PeerKeysError {Rule::NoKey, 0});
    CHECK(errorOf("1 abc") == PeerKeysError {Rule::BadLine, 1});
    CHECK(errorOf("1 abzz") == PeerKeysError {Rule::BadLine, 1});
    CHECK(errorOf("1 abcd") == PeerKeysError {Rule::ShortSecret, 1});
    CHECK(errorOf("1 " + hex + "\n1 " + hex) == PeerKeysError {Rule::SameNumber, 2});
    CHECK(errorOf("1 " + hex + " x") == PeerKeysError {Rule::BadLine, 1});
    CHECK(readPeerKeys("/nonexistent").error() == PeerKeysError {Rule::Unreadable, 0});
}

TEST_SUITE_END();
