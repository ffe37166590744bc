#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>

int main(int argc, char **argv)
{
    // Tests close pipes under their writers, as readers of logs and connections do.
    std::signal(SIGPIPE, SIG_IGN);
    return doctest::Context(argc, argv).run();
}
