#include "apricothook_message_filler.hpp"

#include <apricothook/peers/apricothook_peer_codec.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

using namespace Apricothook;

TEST_SUITE_BEGIN("codec");

namespace {

constexpr std::size_t Kinds = std::variant_size_v<PeerMessage>;
constexpr std::uint64_t FuzzSeed = 20'260'417;

std::size_t fuzzInputs()
{
    const char *wanted = std::getenv("APRICOTHOOK_FUZZ_INPUTS");
    return wanted ? std::stoul(wanted) : 20'000;
}

std::string corrupted(std::string bytes, std::mt19937_64 &engine)
{
    const std::size_t changes = 1 + engine() % 4;
    for (std::size_t i = 0; i < changes && !bytes.empty(); ++i) {
        const std::size_t place = engine() % bytes.size();
        if (engine() % 3 == 0)
            bytes.resize(place);
        else
            bytes[place] = static_cast<char>(engine());
    }
    return bytes;
}

std::string randomBytes(std::mt19937_64 &engine)
{
    std::string bytes(engine() % 200, '\0');
    for (char &byte : bytes)
        byte = static_cast<char>(engine());
    return bytes;
}

std::string bytesOf(std::initializer_list<int> values)
{
    std::string bytes;
    for (const int value : values)
        bytes.push_back(static_cast<char>(value));
    return bytes;
}

CodecError errorOf(const std::string &bytes)
{
    const Result<PeerMessage, CodecError> decoded = decode(bytes);
    REQUIRE_FALSE(decoded);
    return decoded.error();
}

} // namespace

TEST_CASE("Every kind of message survives a round trip")
{
    for (std::size_t kind = 0; kind < Kinds; ++kind) {
        CAPTURE(kind);
        CHECK_FALSE(kindName(kind).empty());
        CHECK(rc::check([kind](std::uint64_t seed) {
            const PeerMessage message = MessageFiller(seed).message(kind);
            const Result<PeerMessage, CodecError> decoded = decode(encode(message));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded.value() == message);
        }));
    }
}

TEST_CASE("The messages of a datagram are decoded in order with their sizes")
{
    const std::string first = encode(DigestRequest {7});
    const std::string second = encode(VmListRequest {300});
    const Result<DecodedMessages, CodecError> decoded = decodeAll(first + second);
    REQUIRE(decoded);
    REQUIRE(decoded.value().messages.size() == 2);
    CHECK(decoded.value().messages[0].message == PeerMessage(DigestRequest {7}));
    CHECK(decoded.value().messages[1].bytes == second.size());
}

TEST_CASE("Messages of different versions are compatible")
{
    SUBCASE("a field that an older sender leaves out keeps its default")
    {
        // [8, [5]]: a DigestReply without a digest.
        const auto decoded = decode(bytesOf({0x82, 0x08, 0x81, 0x05}));
        REQUIRE(decoded);
        CHECK(decoded.value() == PeerMessage(DigestReply {5, {}}));
    }
    SUBCASE("fields that a newer sender added are skipped, whatever they contain")
    {
        // [7, [5, [[], {1: "a"}], 2.5], 6]
        const auto decoded = decode(bytesOf(
            {0x83, 0x07, 0x83, 0x05, 0x82, 0x80, 0xa1, 0x01, 0x61, 'a', 0xf9, 0x41, 0x00, 0x06}));
        REQUIRE(decoded);
        CHECK(decoded.value() == PeerMessage(DigestRequest {5}));
    }
    SUBCASE("a message kind of a later version is skipped without affecting the others")
    {
        const std::string later = bytesOf({0x82, 0x18, 0xc8, 0x81, 0x05});
        CHECK(errorOf(later) == CodecError::UnknownKind);
        const auto decoded = decodeAll(later + encode(DigestRequest {7}));
        REQUIRE(decoded);
        CHECK(decoded.value().unknown == 1);
        CHECK(decoded.value().messages.size() == 1);
    }
}

TEST_CASE("Invalid field values are rejected with specific errors")
{
    CHECK(errorOf("") == CodecError::Truncated);
    CHECK(errorOf(encode(DigestRequest {1}) + "x") == CodecError::Trailing);
    CHECK(errorOf(bytesOf({0x82, 0x07, 0x81, 0x61, 'a'})) == CodecError::WrongType);
    CHECK(errorOf(bytesOf({0x9f, 0x07, 0x81, 0x05, 0xff})) == CodecError::Malformed);
    // A FloorRaise with tier 0 and an OutcomeReport with an undefined KeyEnd.
    CHECK(errorOf(bytesOf({0x82, 0x15, 0x82, 0x60, 0x00})) == CodecError::OutOfRange);
    CHECK(errorOf(bytesOf({0x82, 0x0b, 0x83, 0x80, 0x60, 0x03})) == CodecError::OutOfRange);
    KeyQuery query;
    query.key = RequestKey(std::string(2000, 'k'));
    CHECK(errorOf(encode(query)) == CodecError::TooLong);
    VmList list;
    list.leaving.resize(5000);
    CHECK(errorOf(encode(list)) == CodecError::TooLong);
}

TEST_CASE("No input makes the decoder crash, hang or over-allocate")
{
    // A daemon of another version, a corrupted datagram or a foreign process delivers bytes that
    // resemble a message. The decoder must return a message or an error: a crash would end the
    // daemon and all requests in it.
    std::mt19937_64 engine(FuzzSeed);
    std::size_t refused = 0;
    for (std::size_t input = 0; input < fuzzInputs(); ++input) {
        const std::string whole = encode(MessageFiller(engine()).message(engine() % Kinds));
        const std::string bytes = input % 4 == 0 ? randomBytes(engine) : corrupted(whole, engine);
        const Result<PeerMessage, CodecError> decoded = decode(bytes);
        if (decoded)
            CHECK(decode(encode(decoded.value())).has_value());
        else
            ++refused;
    }
    CHECK(refused > fuzzInputs() / 4);
    // An array that claims 2^60 items, and ten thousand nested arrays in a field that is skipped.
    CHECK(errorOf(bytesOf({0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0, 1})) == CodecError::Truncated);
    CHECK(errorOf(bytesOf({0x82, 0x07, 0x82, 0x05}) + std::string(10'000, '\x81'))
          == CodecError::Truncated);
}

TEST_SUITE_END();
