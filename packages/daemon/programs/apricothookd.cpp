#include <apricothook/daemon/apricothook_daemon_process.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/requests/apricothook_request_observer.hpp>
#include <apricothook/text/apricothook_settings_parser.hpp>
#include <apricothook/text/apricothook_text_error.hpp>
#include <apricothook/text/apricothook_text_file.hpp>

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <mutex>

using namespace Apricothook;

namespace {

constexpr int ExitUsage = 1;
constexpr int ExitInvalid = 2;
constexpr int ExitFailed = 3;

class StderrSink : public EventSink
{
public:
    void record(const DecisionEvent &event) override
    {
        const std::lock_guard lock(m_mutex);
        std::cerr << 'E' << event.number << ' ' << event.key.text() << ' ' << event.details << '\n';
    }

private:
    std::mutex m_mutex;
};

class NoObserver : public RequestObserver
{
public:
    void ended(const RequestSummary &) override { }
};

int serve(const Settings &settings)
{
    const Result<PeerKeys, PeerKeysError> keys = readPeerKeys(settings.peerKeyFile);
    if (!keys) {
        std::cerr << settings.peerKeyFile << ':' << keys.error().line
                  << ": peer keys can't be used\n";
        return ExitInvalid;
    }
    StderrSink sink;
    NoObserver observer;
    DaemonProcess daemon(settings, keys.value(), sink, observer);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    if (const auto started = daemon.start(); !started) {
        std::cerr << "apricothookd: " << nameOf(started.error()) << '\n';
        return ExitFailed;
    }
    while (!daemon.isDone()) {
        const timespec patience {0, 100'000'000};
        if (sigtimedwait(&signals, nullptr, &patience) > 0)
            daemon.requestStop();
    }
    daemon.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("apricothookd", "Schedules requests to engines and plain services");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())(
        "check", "check the settings and end")("help", "print this help");
    const cxxopts::ParseResult words = options.parse(argc, argv);
    if (words.count("help") > 0 || words.count("settings") == 0) {
        std::cout << options.help() << '\n';
        return words.count("help") > 0 ? 0 : ExitUsage;
    }
    const std::string file = words["settings"].as<std::string>();
    const Result<std::string, TextFileFailure> content = readTextFile(file);
    if (!content) {
        std::cerr << file << ": " << nameOf(content.error()) << '\n';
        return ExitInvalid;
    }
    const Result<Settings, std::vector<TextError>> settings = parseSettings(content.value());
    if (!settings) {
        printTextErrors(std::cerr, file, settings.error());
        return ExitInvalid;
    }
    return words.count("check") > 0 ? 0 : serve(settings.value());
}
