#include "apricothook_platform_fakes.hpp"

#include <apricothook/configservice/apricothook_peer_rpc_client.hpp>
#include <apricothook/configservice/apricothook_text_pieces.hpp>
#include <apricothook/configservice/internal/apricothook_platform_exchange.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Apricothook;

namespace {

struct CallingMember
{
    explicit CallingMember(PeerKeys keys = testKeys()) : seal(std::move(keys)) { }
    RpcSeal seal;
    RealClock clock;
    PlatformCounters counters;
    std::atomic<bool> stop {false};
    PeerRpcClient client {seal, clock, counters, stop};
};

ShelvedText shelved(const std::string &text)
{
    return {Generation(1), hashOf(text), std::make_shared<const std::string>(text)};
}

constexpr Duration Patience = std::chrono::seconds(10);

} // namespace

TEST_SUITE_BEGIN("[platform][rpc]");

TEST_CASE("Pieces put together are the text, and are bounded, whatever the text")
{
    rc::check("random texts", [](const std::vector<std::string> &lines) {
        std::string text;
        for (const std::string &line : lines) {
            for (int repeat = 0; repeat < 40; ++repeat)
                text += line;
            text += '\n';
        }
        std::string whole;
        for (const std::string_view piece : cutText(text)) {
            RC_ASSERT(!piece.empty());
            RC_ASSERT(piece.size() <= MaximumPieceBytes);
            whole += piece;
        }
        RC_ASSERT(whole == text);
    });
}

TEST_CASE("A change of one line in half a megabyte pulls a few pieces and is whole")
{
    // Hundreds of changes a day, each of a line or two, reach 320 daemons. Pulling the text anew
    // each time would cost every daemon its whole allowance of bytes for control.
    ServingMember holder(testKeys());
    REQUIRE(holder.isListening);
    const std::string before = longText(512UL * 1024);
    std::string after = before;
    after.insert(after.find("target-3000"), "renamed-");
    holder.shelf.put(Generation(2), hashOf(after), std::make_shared<const std::string>(after));

    CallingMember fresh;
    const auto whole
        = fresh.client.fetchText(holder.endpoint, Generation(2), hashOf(after), nullptr, Patience);
    REQUIRE(whole.has_value());
    CHECK(whole.value() == after);

    CallingMember member;
    const ShelvedText atHand = shelved(before);
    const auto changed
        = member.client.fetchText(holder.endpoint, Generation(2), hashOf(after), &atHand, Patience);
    REQUIRE(changed.has_value());
    CHECK(changed.value() == after);
    const std::uint64_t pulled = member.counters.piecesPulled;
    const std::uint64_t pieces = pulled + member.counters.piecesReused;
    MESSAGE("bytes: whole " << fresh.counters.rpcBytes.load() << ", one line "
                            << member.counters.rpcBytes.load() << "; pieces pulled " << pulled
                            << " of " << pieces);
    CHECK(member.counters.piecesPulled <= 3);
    CHECK(member.counters.rpcBytes * 20 < fresh.counters.rpcBytes);
}

TEST_CASE("What a member gives is taken only when it is the text that was asked for")
{
    ServingMember holder(testKeys());
    const std::string text = longText(20'000);
    CallingMember member;
    const auto fetch = [&](std::uint64_t hash) {
        return member.client.fetchText(holder.endpoint, Generation(2), hash, nullptr, Patience);
    };
    SUBCASE("it no longer has the text")
    {
        CHECK(fetch(hashOf(text)).error() == RpcError::NotThere);
    }
    SUBCASE("it gives other bytes under that name")
    {
        holder.shelf.put(Generation(2), 77, std::make_shared<const std::string>(text));
        CHECK(fetch(77).error() == RpcError::WrongText);
    }
}

TEST_CASE("A stranger gets nothing, and a stranger's text isn't taken")
{
    ServingMember holder(testKeys("another secret!!"));
    const std::string text = longText(3000);
    holder.shelf.put(Generation(2), hashOf(text), std::make_shared<const std::string>(text));
    CallingMember member;
    const auto got
        = member.client.fetchText(holder.endpoint, Generation(2), hashOf(text), nullptr, Patience);
    CHECK(got.error() == RpcError::Refused);
    CHECK(holder.counters.rpcCallsServed == 0);
    CHECK(holder.events.count(PlatformEvent::RpcRefused) == 1);
}

TEST_CASE("A member whose connections are silent costs a fetch its patience and no more")
{
    // Something between two members lost track of the connection: it opens and nothing ever comes.
    // The kernel would wait for minutes; the fetch must end so that another member can be asked.
    const ListeningPort silent;
    CallingMember member;
    const auto got = member.client.fetchText(silent.endpoint(), Generation(2), 7, nullptr,
                                             std::chrono::milliseconds(200));
    CHECK(got.error() == RpcError::NoAnswer);
}

TEST_CASE("A sealed call is opened once, unchanged, for its method and while it is young")
{
    RpcSeal seal(testKeys());
    const std::uint64_t now = 1'000'000;
    const SealedCall call = seal.sealCall("textPieces", "{}", now);
    SealedCall changed = call;
    changed.body = "{ }";
    CHECK(seal.openCall("textPieces", changed, now).error() == RpcSealError::BadSignature);
    CHECK(seal.openCall("keptAnswer", call, now).error() == RpcSealError::BadSignature);
    CHECK(seal.openCall("textPieces", call, now + 60'001).error() == RpcSealError::TooOld);
    CHECK(seal.openCall("textPieces", call, now - 60'001).error() == RpcSealError::TooOld);
    CHECK(seal.openCall("textPieces", call, now + 60'000).has_value());
    CHECK(seal.openCall("textPieces", call, now + 60'000).error() == RpcSealError::Replayed);
    RpcSeal other({PeerKey {2, "0123456789abcdef"}});
    CHECK(other.openCall("textPieces", call, now).error() == RpcSealError::UnknownKey);
}

TEST_CASE("A reply passes only for the call that it answers")
{
    const RpcSeal seal(testKeys());
    const SealedCall one = seal.sealCall("textPieces", "{}", 5);
    const SealedCall other = seal.sealCall("textPieces", "{}", 5);
    const SealedReply reply = seal.sealReply("textPieces", one, "[]");
    CHECK(seal.openReply("textPieces", one, reply));
    CHECK_FALSE(seal.openReply("textPieces", other, reply));
    CHECK_FALSE(seal.openReply("textPieces", one, {"[1]", reply.mac}));
}

TEST_CASE("A kept answer comes with all its bytes, or not at all")
{
    ServingMember holder(testKeys());
    using namespace std::string_literals;
    std::string body = "\0\x01\xff binary"s;
    body += std::string(300'000, '\xfe');
    holder.answers.kept = RequestKey("key-1");
    holder.answers.answer = std::make_shared<const KeptAnswer>(
        KeptAnswer {{201, {{"Content-Type", "text/plain"}}}, body});
    CallingMember member;
    const auto got = member.client.fetchAnswer(holder.endpoint, RequestKey("key-1"), Patience);
    REQUIRE(got.has_value());
    REQUIRE(got.value() != nullptr);
    CHECK(*got.value() == *holder.answers.answer);
    const auto none = member.client.fetchAnswer(holder.endpoint, RequestKey("key-2"), Patience);
    REQUIRE(none.has_value());
    CHECK(none.value() == nullptr);
}

TEST_CASE("Garbage on the peer address costs its sender the connection, and the server nothing")
{
    // Anyone who reaches the port can send: documents nested a million deep, bodies without end,
    // other methods. Members must be served as before.
    ServingMember holder(testKeys());
    std::atomic<bool> stop {false};
    PlatformExchange stranger(stop);
    const std::string url = "http://" + holder.endpoint.text() + "/";
    const HttpBounds bounds {std::chrono::seconds(5), 1 << 20};
    static_cast<void>(stranger.post(url, std::string(60'000, '['), bounds));
    static_cast<void>(
        stranger.post(url, R"({"jsonrpc":"2.0","id":1,"method":"textPieces"})", bounds));
    static_cast<void>(stranger.post(
        url, R"({"jsonrpc":"2.0","id":1,"method":"textPieces","params":{"body":1,"time":-1}})",
        bounds));
    static_cast<void>(stranger.post(url, "\xff\xfe", bounds));
    const auto large = stranger.post(url, std::string(1 << 20, 'x'), bounds);
    CHECK_FALSE((large.has_value() && large.value().status == 200));
    CHECK_FALSE(stranger.fetch(url, bounds).has_value());
    CHECK(holder.counters.rpcCallsServed == 0);

    const std::string text = longText(3000);
    holder.shelf.put(Generation(2), hashOf(text), std::make_shared<const std::string>(text));
    CallingMember member;
    CHECK(member.client.fetchText(holder.endpoint, Generation(2), hashOf(text), nullptr, Patience)
              .has_value());
}

TEST_SUITE_END();
