#include <apricothook/daemon/apricothook_daemon_gauges.hpp>
#include <apricothook/daemon/apricothook_daemon_health.hpp>
#include <apricothook/daemon/apricothook_daemon_process.hpp>
#include <apricothook/daemon/apricothook_metrics_observer.hpp>
#include <apricothook/observe/apricothook_log_session.hpp>
#include <apricothook/observe/apricothook_log_sink.hpp>
#include <apricothook/observe/apricothook_metrics.hpp>
#include <apricothook/observe/apricothook_metrics_server.hpp>
#include <apricothook/ports/apricothook_system_clock.hpp>
#include <apricothook/text/apricothook_settings_parser.hpp>
#include <apricothook/text/apricothook_text_error.hpp>
#include <apricothook/text/apricothook_text_file.hpp>

#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <iostream>

using namespace Apricothook;

namespace {

constexpr int ExitUsage = 1;
constexpr int ExitInvalid = 2;
constexpr int ExitFailed = 3;
constexpr Duration MetricsPeriod = std::chrono::seconds(1);

/** Blocks the signals that stop a daemon in all threads; the main thread waits for them. */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/** Copies the daemon's figures into the metrics once a second. */
class GaugeCopier
{
public:
    GaugeCopier(const DaemonProcess &daemon, Metrics &metrics)
        : m_daemon(daemon), m_metrics(metrics)
    {
    }

    void copy(Instant now)
    {
        if (now < m_due)
            return;
        m_due = now + MetricsPeriod;
        const DaemonGauges gauges = m_daemon.gauges();
        m_metrics.set(MetricGauge::Generation, static_cast<double>(gauges.generation));
        m_metrics.set(MetricGauge::CallerExchanges, static_cast<double>(gauges.exchanges));
        m_metrics.set(MetricGauge::CallerConnections,
                      static_cast<double>(gauges.callerConnections));
        m_metrics.setRing("core", gauges.coreRing);
        const std::uint64_t rpcHalf = gauges.rpcBytes / 2;
        m_metrics.controlBytes(Direction::Sent, gauges.peerBytesSent + rpcHalf - m_sent);
        m_metrics.controlBytes(Direction::Received,
                               gauges.peerBytesReceived + rpcHalf - m_received);
        m_sent = gauges.peerBytesSent + rpcHalf;
        m_received = gauges.peerBytesReceived + rpcHalf;
        m_metrics.updateTopCustomers(now);
    }

private:
    const DaemonProcess &m_daemon;
    Metrics &m_metrics;
    Instant m_due {};
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

int fail(DaemonFailure failure)
{
    std::cerr << "apricothookd: " << nameOf(failure) << '\n';
    return ExitFailed;
}

int serve(const Settings &settings)
{
    const Result<PeerKeys, PeerKeysError> keys = readPeerKeys(settings.peerKeyFile);
    if (!keys) {
        std::cerr << settings.peerKeyFile << ':' << keys.error().line << ": "
                  << nameOf(DaemonFailure::PeerKeysUnreadable) << '\n';
        return ExitInvalid;
    }
    const sigset_t signals = blockStopSignals();
    const LogSession session("apricothookd", settings.logFolder, settings.logLevel);
    SystemClock clock;
    LogSink log(clock, settings.logLinesPerSecond);
    Metrics metrics;
    MetricsObserver observer(metrics);
    DaemonProcess daemon(settings, keys.value(), log, observer);
    DaemonHealth health(daemon);
    MetricsServer metricsServer(settings.metricsAddress, metrics, health);
    if (!metricsServer.start())
        return fail(DaemonFailure::MetricsAddressInUse);
    if (const auto started = daemon.start(); !started)
        return fail(started.error());
    GaugeCopier gauges(daemon, metrics);
    while (!daemon.isDone()) {
        const timespec patience {0, 100'000'000};
        if (sigtimedwait(&signals, nullptr, &patience) > 0)
            daemon.requestStop();
        gauges.copy(clock.now());
    }
    metricsServer.stop();
    daemon.stop();
    return 0;
}

Result<Settings, int> readSettings(const std::string &file)
{
    const Result<std::string, TextFileFailure> content = readTextFile(file);
    if (!content) {
        std::cerr << file << ": " << nameOf(content.error()) << '\n';
        return ExitInvalid;
    }
    Result<Settings, std::vector<TextError>> settings = parseSettings(content.value());
    if (settings)
        return std::move(settings.value());
    printTextErrors(std::cerr, file, settings.error());
    return ExitInvalid;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("apricothookd", "Schedules requests to engines and plain services");
    options.add_options()("settings", "settings file (docs/SETTINGS.md)",
                          cxxopts::value<std::string>())("check", "check the settings and end")(
        "help", "print this help");
    const cxxopts::ParseResult words = options.parse(argc, argv);
    if (words.count("help") > 0 || words.count("settings") == 0) {
        std::cout << options.help() << '\n';
        return words.count("help") > 0 ? 0 : ExitUsage;
    }
    const Result<Settings, int> settings = readSettings(words["settings"].as<std::string>());
    if (!settings)
        return settings.error();
    return words.count("check") > 0 ? 0 : serve(settings.value());
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &problem) {
        std::cerr << "apricothookd: " << problem.what() << '\n';
        return ExitUsage;
    }
}
