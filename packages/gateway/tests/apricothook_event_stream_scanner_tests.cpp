#include <apricothook/gateway/apricothook_event_stream_scanner.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace Apricothook;

TEST_CASE("events are the same however their bytes are split")
{
    const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        CAPTURE(cut);
        EventStreamScanner scanner;
        const CompleteEvents first = scanner.feed(stream.substr(0, cut));
        const CompleteEvents second = scanner.feed(stream.substr(cut));
        CHECK(first.count + second.count == 3);
        CHECK(first.bytes + second.bytes + scanner.incompleteEvent() == stream);
        CHECK(scanner.incompleteEvent() == "id: 4\ndata");
    }
}
