#include <apricothook/observe/apricothook_structured_log.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>
#include <json/reader.h>
#include <json/value.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace Apricothook;

namespace {

enum class TestEvent : int { Known = 801, Unknown = 1 };

/** A pipe whose reading end a test may leave unread. */
class Pipe
{
public:
    Pipe() { REQUIRE(pipe(m_ends.data()) == 0); }
    ~Pipe()
    {
        closeReader();
        close(m_ends[1]);
    }
    int writer() const { return m_ends[1]; }
    void closeReader()
    {
        if (m_ends[0] >= 0)
            close(std::exchange(m_ends[0], -1));
    }
    std::string readAll()
    {
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> buffer;
        for (ssize_t got = 0; (got = read(m_ends[0], buffer.data(), buffer.size())) > 0;)
            text.append(buffer.data(), static_cast<std::size_t>(got));
        return text;
    }

private:
    std::array<int, 2> m_ends {};
};

Json::Value parse(const std::string &line)
{
    Json::Value value;
    std::istringstream(line) >> value;
    return value;
}

} // namespace

TEST_CASE("a line is one JSON object with the event's fields")
{
    LogEvent event(TestEvent::Known);
    event.forRequest(RequestKey("r\"1\n")).with("target", std::string("t")).with("load", 3U);
    event.with("waited_ms", Duration(1500)).with("ready", true);
    const std::string line = structuredLine(event, "vm-1", 12, Instant(Duration(7)), 2);
    CHECK(line.ends_with("}\n"));
    CHECK(line.find('\n') == line.size() - 1);
    const Json::Value value = parse(line);
    CHECK(value["event"].asInt() == 801);
    CHECK(value["name"].asString() == "RequestPlaced");
    CHECK(value["request"].asString() == "r\"1\n");
    CHECK(value["target"].asString() == "t");
    CHECK(value["load"].asInt() == 3);
    CHECK(value["waited_ms"].asDouble() == doctest::Approx(1.5));
    CHECK(value["ready"].asBool());
    CHECK(value["vm"].asString() == "vm-1");
    CHECK(value["left_out"].asInt() == 2);
}

TEST_CASE("an event number missing from the catalogue is logged as an error")
{
    const std::string line = structuredLine(LogEvent(TestEvent::Unknown), "vm", 0, Instant(), 0);
    CHECK(parse(line)["level"].asString() == "error");
    CHECK(parse(line)["name"].asString() == "NotInCatalogue");
}

TEST_CASE("a burst of one event is limited to its lines per second, and others are still logged")
{
    // The other event and the number of suppressed lines must still appear in the log.
    ManualClock clock;
    Pipe pipe;
    {
        StructuredLog log(clock, "vm", pipe.writer());
        for (std::uint32_t i = 0; i < 3 * StructuredLog::LinesPerSecond; ++i)
            log.write(LogEvent(TestEvent::Known));
        log.write(LogEvent(TestEvent::Unknown));
        CHECK(log.dropped() == 2 * StructuredLog::LinesPerSecond);
        clock.advance(std::chrono::seconds(1));
        log.write(LogEvent(TestEvent::Known));
    }
    const std::string text = pipe.readAll();
    CHECK(static_cast<std::uint32_t>(std::count(text.begin(), text.end(), '\n'))
          == StructuredLog::LinesPerSecond + 2);
    CHECK(text.find("NotInCatalogue") != std::string::npos);
    CHECK(text.find("\"left_out\":200") != std::string::npos);
}

TEST_CASE("a log reader that stops reading doesn't block writers")
{
    // The reader of standard output hangs, the pipe fills up, and then the buffer. Requests must
    // not be delayed: routine lines are dropped first, then all lines, and both are counted.
    ManualClock clock;
    Pipe pipe;
    StructuredLog log(clock, "vm", pipe.writer());
    const std::string padding(4000, 'x');
    constexpr int Lines = 2000;
    for (int i = 0; i < Lines; ++i) {
        LogEvent event(TestEvent::Known);
        event.with("padding", padding).markRoutine();
        log.write(event);
        clock.advance(std::chrono::milliseconds(100));
    }
    CHECK(log.dropped() > Lines / 2);
    const std::uint64_t routineDropped = log.dropped();
    log.write(LogEvent(TestEvent::Unknown));
    CHECK(log.dropped() == routineDropped);
    pipe.closeReader();
}

TEST_CASE("a log whose reader has stopped reading doesn't hold up the end of its process")
{
    // The process would wait for the reader until it is killed.
    constexpr int MoreLinesThanThePipeHolds = 2000;
    Pipe pipe;
    ManualClock clock;
    auto log = std::make_unique<StructuredLog>(clock, "vm", pipe.writer());
    for (int i = 0; i < MoreLinesThanThePipeHolds; ++i) {
        log->write(LogEvent(TestEvent::Known).with("padding", std::string(200, 'x')));
        clock.advance(std::chrono::milliseconds(20));
    }
    const std::future<void> ended = std::async(std::launch::async, [&log] { log.reset(); });
    CHECK(ended.wait_for(std::chrono::seconds(3)) == std::future_status::ready);
    // Lets the log end in any case.
    pipe.closeReader();
}
