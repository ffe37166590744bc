#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>

int main(int argc, char **argv)
{
    // Tests close pipes and sockets that are still written to; ignore the resulting SIGPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    return doctest::Context(argc, argv).run();
}
