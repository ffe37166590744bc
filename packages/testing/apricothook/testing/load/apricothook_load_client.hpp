#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Apricothook {

/** One HTTP call to make. */
struct LoadCall
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers;
    std::string body;
    /** The call ends after this time, answered or not. */
    Duration giveUpAfter = std::chrono::seconds(5);
    /** The answer is read no faster than this; 0: as it comes. */
    std::uint32_t bytesPerSecond = 0;
};

struct LoadAnswer
{
    /** 0 when no answer came. */
    int status = 0;
    /** The answer came to its end as HTTP has it. */
    bool isComplete = false;
    bool isGivenUp = false;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
    Duration firstByte {};
    Duration whole {};
    /** Between parts of the body as they came. */
    std::vector<Duration> gaps;
};

/** Many HTTP calls at once on one thread, over libcurl. */
class LoadClient
{
public:
    using Done = std::function<void(const LoadAnswer &)>;

    LoadClient();
    ~LoadClient();
    LoadClient(const LoadClient &) = delete;
    LoadClient &operator=(const LoadClient &) = delete;

    /** `done` is called from poll(). */
    void start(LoadCall call, Done done);
    /** Moves all calls on and waits at most that long for news. */
    void poll(Duration wait);
    std::size_t running() const;

private:
    struct Exchange;
    struct State;

    void finish(Exchange &exchange, int result);

    std::unique_ptr<State> m_state;
};

} // namespace Apricothook
