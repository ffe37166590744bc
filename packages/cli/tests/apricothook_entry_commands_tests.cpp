#include <apricothook/cli/apricothook_entry_commands.hpp>
#include <apricothook/cli/apricothook_http_entry_client.hpp>

#include "apricothook_fake_entry.hpp"

#include <doctest/doctest.h>

#include <sstream>

using namespace Apricothook;

namespace {

struct Run
{
    ExitCode code = ExitCode::Good;
    std::string out;
    std::string errors;
};

template <typename Command>
Run runAt(const Endpoint &entry, const Command &command)
{
    std::ostringstream out;
    std::ostringstream errors;
    HttpEntryClient client(entry);
    const ExitCode code = command(client, CommandStreams {out, errors});
    return {code, out.str(), errors.str()};
}

Run statusAt(const Endpoint &entry, OutputShape shape = OutputShape::Table)
{
    return runAt(entry, [&](EntryClient &client, CommandStreams streams) {
        return runStatus(client, shape, streams);
    });
}

Run lookupAt(const Endpoint &entry)
{
    return runAt(entry, [](EntryClient &client, CommandStreams streams) {
        return runLookup(client, OutputShape::Table, streams);
    });
}

std::string rpcAnswer(const std::string &result)
{
    return R"({"jsonrpc":"2.0","id":1,"result":)" + result + "}";
}

} // namespace

TEST_CASE("Status shows what the daemon tells, in tables")
{
    FakeEntry entry(200, rpcAnswer(R"({"member":"entry-1","generation":7,
        "members":[{"id":"entry-1","state":"alive","generation":7},
                   {"id":"entry-22","state":"suspect"}],
        "targets":[{"id":"t1","service":"chat","steward":"entry-1","running":3,"slots":16}],
        "floors":[], "news":[1,2]})"));
    const Run run = statusAt(entry.address());
    CHECK(run.code == ExitCode::Good);
    CHECK(run.out
          == "floors: []\n"
             "generation: 7\n"
             "member: entry-1\n"
             "news: [1,2]\n"
             "\n"
             "members (2)\n"
             "  id        state    generation\n"
             "  entry-1   alive    7\n"
             "  entry-22  suspect  -\n"
             "\n"
             "targets (1)\n"
             "  id  service  steward  running  slots\n"
             "  t1  chat     entry-1  3        16\n");
    REQUIRE(entry.requests().size() == 1);
    CHECK(entry.requests()[0].starts_with("POST /v1/operator {"));
    CHECK(entry.requests()[0].find(R"("method":"status")") != std::string::npos);
}

TEST_CASE("Explain sends the key and shows the steps")
{
    FakeEntry entry(200, rpcAnswer(R"({"key":"k1","steps":[{"step":"granted","at":"1 ms"}]})"));
    const Run run = runAt(entry.address(), [](EntryClient &client, CommandStreams streams) {
        return runExplain(client, "k1", OutputShape::Table, streams);
    });
    CHECK(run.code == ExitCode::Good);
    CHECK(run.out.find("  1 ms  granted") != std::string::npos);
    CHECK(entry.requests()[0].find(R"("params":{"key":"k1"})") != std::string::npos);
}

TEST_CASE("Lookup shows the addresses and the ticket")
{
    FakeEntry entry(200, R"({"entries":["10.0.0.1:80"],"keepSeconds":10,"ticket":"abc"})");
    const Run run = lookupAt(entry.address());
    CHECK(run.code == ExitCode::Good);
    CHECK(run.out == "entries: [\"10.0.0.1:80\"]\nkeepSeconds: 10\nticket: abc\n");
    CHECK(entry.requests()[0] == "GET /v1/entries ");
}

TEST_CASE("An entry that can't answer ends the command with the code of why")
{
    // During an outage the operator asks an entry that is dead, refuses, or is something else than
    // a daemon. Scripts go by the exit code; a wrong one would hide a dead daemon behind an answer.
    SUBCASE("nobody listens")
    {
        Endpoint closed;
        {
            FakeEntry entry(200, "");
            closed = entry.address();
        }
        for (const Run &run : {statusAt(closed), lookupAt(closed)}) {
            CHECK(run.code == ExitCode::Unreachable);
            CHECK(run.errors.starts_with("entry-unreachable: "));
            CHECK(run.out.empty());
        }
    }
    SUBCASE("it answers with an error")
    {
        FakeEntry refusing(
            200, R"({"jsonrpc":"2.0","id":1,"error":{"code":-32601,"message":"no such method"}})");
        const Run run = statusAt(refusing.address());
        CHECK(run.code == ExitCode::Refused);
        CAPTURE(run.errors);
        CHECK(run.errors.find("no such method") != std::string::npos);
        FakeEntry leaving(503, "{}");
        CHECK(lookupAt(leaving.address()).code == ExitCode::Refused);
        CHECK(statusAt(leaving.address()).code != ExitCode::Good);
    }
    SUBCASE("its answer isn't the document")
    {
        const std::string deep = std::string(5000, '[') + std::string(5000, ']');
        for (const std::string &body : {std::string("hello"), std::string("[]"), deep,
                                        std::string("{\"entries\":"), std::string("7")}) {
            CAPTURE(body.substr(0, 20));
            FakeEntry entry(200, body);
            CHECK(lookupAt(entry.address()).code == ExitCode::Malformed);
            CHECK(statusAt(entry.address()).code != ExitCode::Good);
        }
        FakeEntry entry(200, rpcAnswer("[1]"));
        CHECK(statusAt(entry.address()).code == ExitCode::Malformed);
        FakeEntry hostile(200, rpcAnswer(deep));
        CHECK(statusAt(hostile.address()).code != ExitCode::Good);
    }
    SUBCASE("its error isn't the shape of one")
    {
        for (const char *error : {"7", "{}", R"({"code":"x","message":[]})", "[]", "null"}) {
            CAPTURE(error);
            FakeEntry entry(200, std::string(R"({"jsonrpc":"2.0","id":1,"error":)") + error + "}");
            CHECK(statusAt(entry.address()).code != ExitCode::Good);
        }
    }
}

TEST_CASE("An answer can't steer the operator's terminal")
{
    FakeEntry entry(200, rpcAnswer(R"({"member":"\u001b[2Jx"})"));
    CHECK(statusAt(entry.address()).out == "member: ?[2Jx\n");
}
