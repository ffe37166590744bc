#include "apricothook_scripted_target.hpp"
#include "apricothook_target_bench.hpp"

#include <curl/curl.h>

#include <cstdlib>

using namespace Apricothook;

namespace {

/** Answers the first request of its first connection; reads one more of each and closes. */
ScriptedTarget::Script answersOnce(RequestLog &log)
{
    return [&log](ScriptedConnection &connection, int number) {
        if (number == 0) {
            log.add(connection.readRequest());
            connection.send(plainAnswer("200 OK", "", "first"));
        }
        log.add(connection.readRequest());
    };
}

void performBare(CURL *easy)
{
    curl_easy_perform(easy);
}

std::size_t ignore(char *, std::size_t size, std::size_t count, void *)
{
    return size * count;
}

} // namespace

TEST_SUITE("[target][at-most-once]")
{
    TEST_CASE("libcurl by itself sends a body twice when a used connection ends")
    {
        // The caller's fault ticket is filed twice. A connection that served one request is used
        // again; the target reads the second request and dies without an answer; libcurl takes
        // the connection for one that was closed while idle, connects anew and sends again. This
        // case shows the habit, so that the cases below are known to prove something.
        RequestLog log;
        const ScriptedTarget target(answersOnce(log));
        CURL *easy = curl_easy_init();
        const std::string url = "http://" + target.address().text() + "/ticket";
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "body");
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &ignore);
        performBare(easy);
        performBare(easy);
        curl_easy_cleanup(easy);
        CHECK(waitUntil([&] { return log.count("POST /ticket") == 3; }));
    }

    TEST_CASE("A request goes out once though its used connection ends before an answer")
    {
        // As above, but through the client: the caller must be told "unknown", since the target
        // did read the request, and the target must not see it again.
        RequestLog log;
        const ScriptedTarget target(answersOnce(log));
        TargetOptions options;
        options.reusesConnectionsForBodies = true;
        TargetBench bench(options);
        DispatchOrder order = bench.order(target.address());
        SUBCASE("with a body") { }
        SUBCASE("with a method that has no body")
        {
            order.method = "GET";
            order.body = nullptr;
        }
        SUBCASE("with an empty body")
        {
            order.body = std::make_shared<const std::string>();
        }
        CHECK(bench.run(order).end == RunEnd::Answered);
        order.dispatch = DispatchId(2);
        order.answer = std::make_shared<AnswerStream>();
        const DispatchEnded ended = bench.run(order);
        CHECK(ended.end == RunEnd::Crashed);
        CHECK_FALSE(ended.isProvenNotRun);
        // libcurl did connect anew; not one byte came over that connection before it closed.
        REQUIRE(waitUntil([&] { return log.all().size() == 3; }));
        CHECK(log.all()[2].empty());
        CHECK(target.connections() == 2);
        CHECK(order.answer->state() == AnswerStream::State::Waiting);
    }

    TEST_CASE("A body never goes out on a used connection")
    {
        // A connection that died while idle would make the outcome of a booking unknown, though a
        // new connection would have carried it.
        RequestLog log;
        const ScriptedTarget target([&log](ScriptedConnection &connection, int) {
            for (std::string request; !(request = connection.readRequest()).empty();) {
                log.add(request);
                connection.send(plainAnswer("200 OK", "", "yes"));
            }
        });
        TargetBench bench;
        for (int turn = 0; turn < 3; ++turn)
            CHECK(bench.run(bench.order(target.address())).end == RunEnd::Answered);
        CHECK(target.connections() == 3);
        DispatchOrder read = bench.order(target.address());
        read.method = "GET";
        CHECK(bench.run(read).end == RunEnd::Answered);
        CHECK(target.connections() == 3);
    }

    TEST_CASE("A request goes out once though its new connection ends before an answer")
    {
        RequestLog log;
        const ScriptedTarget target(
            [&log](ScriptedConnection &connection, int) { log.add(connection.readRequest()); });
        TargetBench bench;
        const DispatchEnded ended = bench.run(bench.order(target.address()));
        CHECK(ended.end == RunEnd::Crashed);
        CHECK_FALSE(ended.isProvenNotRun);
        CHECK(log.all().size() == 1);
    }

    TEST_CASE("Nothing is sent again for an answer that asks for it")
    {
        // libcurl can follow a redirect, and sends a long body again after 417: each would run the
        // request a second time. The answer belongs to the caller.
        RequestLog log;
        std::string answer;
        SUBCASE("redirect")
        {
            answer = "307 Temporary Redirect";
        }
        SUBCASE("expectation failed")
        {
            answer = "417 Expectation Failed";
        }
        SUBCASE("unauthorised")
        {
            answer = "401 Unauthorized";
        }
        const ScriptedTarget target([&](ScriptedConnection &connection, int) {
            log.add(connection.readRequest());
            connection.send(plainAnswer(answer, "Location: /again\r\n", ""));
            log.add(connection.readRequest());
        });
        TargetBench bench;
        DispatchOrder order = bench.order(target.address());
        order.body = std::make_shared<const std::string>(2'000'000, 'x');
        const DispatchEnded ended = bench.run(order);
        CHECK(ended.end == RunEnd::Answered);
        CHECK(ended.status == std::stoi(answer));
        CHECK(log.count("POST") == 1);
        CHECK(log.all()[0].find("Expect") == std::string::npos);
    }

    TEST_CASE("Proxies named in the environment are ignored")
    {
        RequestLog log;
        const ScriptedTarget proxy(
            [&log](ScriptedConnection &connection, int) { log.add(connection.readRequest()); });
        const ScriptedTarget target([](ScriptedConnection &connection, int) {
            connection.readRequest();
            connection.send(plainAnswer("200 OK", "", "direct"));
        });
        setenv("http_proxy", ("http://" + proxy.address().text()).c_str(), 1);
        setenv("ALL_PROXY", ("http://" + proxy.address().text()).c_str(), 1);
        TargetBench bench;
        const DispatchOrder order = bench.order(target.address());
        CHECK(bench.run(order).end == RunEnd::Answered);
        CHECK(textOf(*order.answer) == "direct");
        CHECK(log.all().empty());
        unsetenv("http_proxy");
        unsetenv("ALL_PROXY");
    }
}
