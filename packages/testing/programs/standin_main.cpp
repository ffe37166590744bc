#include <apricothook/testing/apricothook_engine_stand_in.hpp>
#include <apricothook/testing/apricothook_link_stand_in.hpp>
#include <apricothook/testing/apricothook_plain_stand_in.hpp>
#include <apricothook/testing/apricothook_platform_stand_in.hpp>
#include <apricothook/testing/apricothook_site_target.hpp>

#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <system_error>
#include <thread>
#include <vector>

using namespace Apricothook;

namespace {

constexpr int UsageError = 2;
constexpr int LongestSeconds = 3600;
constexpr std::chrono::milliseconds Step {100};

volatile std::sig_atomic_t stopSignal = 0;

void onStop(int)
{
    stopSignal = 1;
}

std::string contentOf(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream)
        throw std::system_error(errno, std::generic_category(), file);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

/** The platform, serving a file and publishing it again when it changes. */
class ServedPlatform
{
public:
    ServedPlatform(std::uint16_t port, std::string file) : m_platform(port), m_file(std::move(file))
    {
    }

    void follow()
    {
        const auto written = std::filesystem::last_write_time(m_file);
        if (written == m_written)
            return;
        m_written = written;
        const std::string text = contentOf(m_file);
        std::set<std::string> vms;
        for (const SiteTarget &target : siteTargets(text))
            vms.insert(target.vm);
        std::vector<PublishedVm> published;
        published.reserve(vms.size());
        for (const std::string &vm : vms)
            published.push_back({vm, false});
        m_platform.publishVms(std::move(published));
        std::cout << "platform: revision " << m_platform.publish(text) << std::endl;
    }

private:
    PlatformStandIn m_platform;
    std::string m_file;
    std::filesystem::file_time_type m_written;
};

/** Everything that this process stands in for. */
struct StandIns
{
    std::vector<std::unique_ptr<EngineStandIn>> engines;
    std::vector<std::unique_ptr<PlainStandIn>> plains;
    std::unique_ptr<ServedPlatform> platform;
    std::unique_ptr<LinkStandIn> link;
};

std::vector<std::uint16_t> portsOf(const cxxopts::ParseResult &flags)
{
    if (flags.count("ports") == 0)
        return {flags["port"].as<std::uint16_t>()};
    const std::string range = flags["ports"].as<std::string>();
    const std::size_t dash = range.find('-');
    const int first = std::stoi(range.substr(0, dash));
    const int last = dash == std::string::npos ? first : std::stoi(range.substr(dash + 1));
    std::vector<std::uint16_t> ports;
    for (int port = first; port <= last; ++port)
        ports.push_back(static_cast<std::uint16_t>(port));
    return ports;
}

EngineOptions engineOptions(const cxxopts::ParseResult &flags, std::uint16_t port)
{
    EngineOptions options;
    options.id = "engine-" + std::to_string(port);
    options.prefillRate = flags["prefill-rate"].as<double>();
    options.decodeRate = flags["decode-rate"].as<double>();
    options.slots = flags["slots"].as<std::uint32_t>();
    options.kvTokens = flags["kv-tokens"].as<std::uint64_t>();
    options.checksFencing = flags.count("checks-fencing") > 0;
    for (const auto &model : flags["models"].as<std::vector<std::string>>()) {
        if (!model.empty())
            options.models.insert(model);
    }
    options.seed = port;
    return options;
}

void applyCommon(EngineOptions &options, const cxxopts::ParseResult &flags)
{
    options.loadLag = std::chrono::milliseconds(flags["load-lag-ms"].as<int>());
    options.cacheEventLag = std::chrono::milliseconds(flags["cache-lag-ms"].as<int>());
    options.cacheEventGap = flags["cache-gap"].as<double>();
    options.waitingLimit = flags["waiting"].as<std::uint32_t>();
    options.crashMarker = flags["crash-marker"].as<std::string>();
}

void addEngine(StandIns &standIns, EngineOptions options, std::uint16_t port, bool checksSender,
               const cxxopts::ParseResult &flags)
{
    applyCommon(options, flags);
    if (checksSender)
        options.senderToken = flags["sender-token"].as<std::string>();
    EngineFaults faults;
    faults.straggler = flags["straggler"].as<double>();
    faults.killChance = flags["kill-chance"].as<double>();
    standIns.engines.push_back(std::make_unique<EngineStandIn>(std::move(options), port));
    standIns.engines.back()->setFaults(faults);
}

void addPlain(StandIns &standIns, const std::string &id, std::uint16_t port,
              const cxxopts::ParseResult &flags)
{
    PlainOptions options;
    options.id = id;
    options.delay = std::chrono::milliseconds(flags["delay-ms"].as<int>());
    options.killChance = flags["kill-chance"].as<double>();
    options.isDeduplicating = flags.count("deduplicating") > 0;
    options.seed = port;
    standIns.plains.push_back(std::make_unique<PlainStandIn>(options, port));
}

void addSite(StandIns &standIns, const cxxopts::ParseResult &flags)
{
    for (const SiteTarget &target : siteTargets(contentOf(flags["fleet"].as<std::string>()))) {
        if (target.isEngine)
            addEngine(standIns, target.engine, target.address.port, target.checksSender, flags);
        else
            addPlain(standIns, target.engine.id, target.address.port, flags);
    }
}

bool addKind(StandIns &standIns, const std::string &kind, const cxxopts::ParseResult &flags)
{
    const std::vector<std::uint16_t> ports = portsOf(flags);
    if (kind == "engine") {
        for (const std::uint16_t port : ports)
            addEngine(standIns, engineOptions(flags, port), port, true, flags);
    } else if (kind == "plain") {
        for (const std::uint16_t port : ports)
            addPlain(standIns, "plain-" + std::to_string(port), port, flags);
    } else if (kind == "platform") {
        standIns.platform
            = std::make_unique<ServedPlatform>(ports.front(), flags["fleet"].as<std::string>());
    } else if (kind == "site") {
        addSite(standIns, flags);
    } else if (kind == "link") {
        const auto target = parseEndpoint(flags["target"].as<std::string>());
        if (!target)
            return false;
        standIns.link = std::make_unique<LinkStandIn>(*target, ports.front(),
                                                      flags["control-port"].as<std::uint16_t>());
    } else {
        return false;
    }
    return true;
}

cxxopts::Options allFlags()
{
    cxxopts::Options options("apricothook-standin", "engine|plain|platform|link|site");
    const auto text
        = [](const char *value) { return cxxopts::value<std::string>()->default_value(value); };
    const auto number
        = [](const char *value) { return cxxopts::value<int>()->default_value(value); };
    const auto real
        = [](const char *value) { return cxxopts::value<double>()->default_value(value); };
    const auto port = cxxopts::value<std::uint16_t>()->default_value("0");
    options.add_options()("kind", "", text(""))("port", "", port)("ports", "A-B", text(""));
    options.add_options()("seconds", "ends after", number("600"));
    options.add_options()("fleet", "fleet text: its targets, or what to publish", text(""));
    options.add_options()("target", "IP:PORT of a link", text(""));
    options.add_options()("control-port", "of a link", port);
    options.add_options()("prefill-rate", "tokens/s", real("8000"));
    options.add_options()("decode-rate", "tokens/s of one stream", real("60"));
    options.add_options()("slots", "", cxxopts::value<std::uint32_t>()->default_value("16"));
    options.add_options()("waiting", "", cxxopts::value<std::uint32_t>()->default_value("1000"));
    options.add_options()("kv-tokens", "", cxxopts::value<std::uint64_t>()->default_value("65536"));
    options.add_options()("models", "a,b",
                          cxxopts::value<std::vector<std::string>>()->default_value(""));
    options.add_options()("load-lag-ms", "", number("500"))("cache-lag-ms", "", number("500"));
    options.add_options()("cache-gap", "chance", real("0.02"))("checks-fencing", "");
    options.add_options()("sender-token", "", text(""));
    options.add_options()("crash-marker", "", text("CRASH-THE-ENGINE"));
    options.add_options()("straggler", "factor", real("1"))("kill-chance", "", real("0"));
    options.add_options()("delay-ms", "of plain calls", number("5"))("deduplicating", "");
    options.parse_positional({"kind"});
    return options;
}

int run(const cxxopts::ParseResult &flags)
{
    StandIns standIns;
    if (!addKind(standIns, flags["kind"].as<std::string>(), flags))
        return UsageError;
    const int seconds = std::clamp(flags["seconds"].as<int>(), 1, LongestSeconds);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    std::cout << "ready: " << standIns.engines.size() << " engines, " << standIns.plains.size()
              << " plain services" << std::endl;
    while (stopSignal == 0 && std::chrono::steady_clock::now() < end) {
        if (standIns.platform)
            standIns.platform->follow();
        std::this_thread::sleep_for(Step);
    }
    return 0;
}

} // namespace

int main(int count, char **arguments)
{
    std::signal(SIGTERM, onStop);
    std::signal(SIGINT, onStop);
    cxxopts::Options options = allFlags();
    try {
        const int result = run(options.parse(count, arguments));
        if (result == UsageError)
            std::cerr << options.help();
        return result;
    } catch (const std::exception &failure) {
        std::cerr << "apricothook-standin: " << failure.what() << '\n';
        return UsageError;
    }
}
