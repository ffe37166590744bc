#include <apricothook/http1/apricothook_message_reader.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

const std::string Chunked = "POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

} // namespace

TEST_CASE("a request is parsed independently of how its bytes are split")
{
    for (std::size_t cut = 0; cut <= Chunked.size(); ++cut) {
        CAPTURE(cut);
        RequestReader reader({});
        REQUIRE(reader.feed(Chunked.substr(0, cut)));
        REQUIRE(reader.feed(Chunked.substr(cut)));
        REQUIRE(reader.isComplete());
        CHECK(reader.head().method == "POST");
        CHECK(reader.head().target == "/a?b");
        CHECK(reader.takeBody() == "abcde");
    }
}

TEST_CASE("bytes after the end of a request are not consumed")
{
    RequestReader reader({});
    const std::string first = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    CHECK(reader.feed(first + "GET /next").value() == first.size());
    CHECK(reader.isComplete());
}

TEST_CASE("interim responses are skipped")
{
    ResponseReader reader(false);
    const std::string text
        = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    CHECK(reader.feed(text).value() == text.size());
    CHECK(reader.head().status == 200);
    CHECK(reader.takeBody() == "ok");
}

TEST_CASE("a response to HEAD has no body even with a Content-Length")
{
    ResponseReader reader(true);
    REQUIRE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"));
    CHECK(reader.isComplete());
}

TEST_CASE("a response that ends early is reported as truncated")
{
    ResponseReader sized(false);
    REQUIRE(sized.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"));
    CHECK(sized.finish().error() == MessageError::Truncated);
    ResponseReader chunked(false);
    REQUIRE(chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
    CHECK(chunked.finish().error() == MessageError::Truncated);
    ResponseReader unframed(false);
    REQUIRE(unframed.feed("HTTP/1.1 200 OK\r\n\r\nabc"));
    CHECK(unframed.head().bodyEndsAtClose);
    CHECK(unframed.finish());
}

TEST_CASE("size limits of heads and bodies are enforced")
{
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    RequestReader longHead({200, 10});
    CHECK(longHead.feed(start + "X: " + std::string(300, 'x') + "\r\n\r\n").error()
          == MessageError::HeadTooLarge);
    RequestReader longBody({200, 10});
    CHECK(longBody.feed(start + "Content-Length: 11\r\n\r\n").error()
          == MessageError::BodyTooLarge);
    RequestReader longChunks({200, 10});
    CHECK(longChunks.feed(start + "Transfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n").error()
          == MessageError::BodyTooLarge);
}

TEST_CASE("hop-by-hop headers are removed")
{
    HeaderList headers;
    headers.add("Connection", "close, X-Mine");
    headers.add("x-mine", "1");
    headers.add("Keep-Alive", "timeout=5");
    headers.add("Kept", "yes");
    headers.removeHopByHop();
    CHECK(headers.find("kept") == "yes");
    CHECK(headers.count("X-Mine") == 0);
    CHECK(headers.count("Keep-Alive") == 0);
    CHECK(containsToken("a, Chunked ,b", "chunked"));
    CHECK_FALSE(containsToken("xchunked", "chunked"));
}

TEST_CASE("messages are serialized with the framing of their body")
{
    RequestHead request;
    request.method = "GET";
    request.target = "/a";
    request.headers.add("Host", "h");
    CHECK(writeRequestHead(request, {}) == "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ResponseHead answer;
    answer.status = 503;
    CHECK(writeResponseHead(answer, {BodyFraming::Kind::Sized, 0})
          == "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    CHECK(writeChunk("abcdefghijklmnop") == "10\r\nabcdefghijklmnop\r\n");
}

namespace {

/** Feeds pieces until the reader reports an error; returns the bytes that it took before. */
template <typename Reader>
std::size_t bytesUntilError(Reader &reader, const std::string &piece, std::size_t most)
{
    std::size_t taken = 0;
    while (taken < most && reader.feed(piece))
        taken += piece.size();
    return taken;
}

constexpr std::size_t Endless = 8 << 20;
constexpr std::size_t LargestUnreadable = 1 << 17;

} // namespace

TEST_CASE("what isn't a body and has no end is an error at a bound")
{
    // Guards against peers that fill the memory with bytes that can't be passed on.
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(4096, 'x');
    for (const std::string &start :
         {head + "5;", head + "0\r\nTrailer: ", std::string("HTTP/1.1 200 "),
          std::string("HTTP/1.1 200 OK\r\nName: ")}) {
        CAPTURE(start);
        ResponseReader reader(false);
        REQUIRE(reader.feed(start));
        CHECK(bytesUntilError(reader, filler, Endless) <= LargestUnreadable);
    }
    RequestReader request({});
    REQUIRE(request.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;"));
    CHECK(bytesUntilError(request, filler, Endless) <= LargestUnreadable);
}

TEST_CASE("interim responses without end are an error")
{
    // Guards against a target that never answers and keeps its caller waiting with them.
    ResponseReader reader(false);
    CHECK(bytesUntilError(reader, "HTTP/1.1 100 Continue\r\n\r\n", Endless) <= LargestUnreadable);
}
