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

TEST_CASE("A sealed datagram opens once, with its sender and payload")
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
    // To whoever has the address: a joining daemon knows seeds by address alone.
    CHECK(opener.open(sealer.seal(MemberId(), "join")).has_value());
}

TEST_CASE("Each changed byte is refused")
{
    // Something between two daemons changes a byte or makes up a datagram. Without the signature
    // a forged update would take a live daemon out of service, or a forged grant run work twice.
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

TEST_CASE("Keys change without a stop")
{
    // Daemons get the new key file one by one. In between some sign with the old key and some with
    // the new one; a daemon that has only one of them must not be cut off before its turn.
    PeerSealer oldSealer(Sender, {OldKey, NewKey});
    PeerSealer newSealer({MemberId("entry-3"), Incarnation(1)}, {NewKey, OldKey});
    PeerOpener both(Receiver, {NewKey, OldKey});
    PeerOpener onlyNew(Receiver, {NewKey});
    CHECK(both.open(oldSealer.seal(Receiver, "a")).has_value());
    CHECK(both.open(newSealer.seal(Receiver, "b")).has_value());
    CHECK(onlyNew.open(newSealer.seal(Receiver, "c")).has_value());
    CHECK(refusalOf(onlyNew, oldSealer.seal(Receiver, "d")) == SealError::UnknownKey);
    PeerSealer stranger(Sender, {{1, "another secret !"}});
    CHECK(refusalOf(both, stranger.seal(Receiver, "e")) == SealError::BadSignature);
}

TEST_CASE("Reordered datagrams open and old ones don't")
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
    // Another life counts for itself: a paused process is heard beside the one that replaced it.
    PeerSealer replaced({Sender.member, Incarnation(6)}, {OldKey});
    CHECK(opener.open(replaced.seal(Receiver, "y")).has_value());
}

TEST_CASE("A key file names the line that is wrong")
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
