#include <apricothook/text/apricothook_settings_parser.hpp>

#include <apricothook/text/apricothook_printable.hpp>
#include <apricothook/text/internal/apricothook_object_reader.hpp>
#include <apricothook/text/internal/apricothook_value_checks.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** The severities of glog: info, warning, error, fatal. */
constexpr Bounds<std::uint64_t> LogLevelBounds {0, 3};
constexpr Bounds<std::uint64_t> LogLinesBounds {1, 1'000'000};

bool isControlCharacter(char character)
{
    return static_cast<unsigned char>(character) < ' ' || character == '\x7f';
}

void readFileName(ObjectReader &root, std::string_view key, std::string &out, Need need)
{
    if (!root.readString(key, out, need))
        return;
    const bool isEmptyDefault = out.empty() && need == Need::Optional;
    const bool hasControl = std::any_of(out.begin(), out.end(), isControlCharacter);
    if ((out.empty() && !isEmptyDefault) || hasControl)
        root.refuse(key, TextRule::MalformedFileName, inQuotes(out) + " names no file");
}

/** An address that others connect to. */
void readReachable(ObjectReader &root, std::string_view key, Endpoint &out)
{
    if (root.readEndpoint(key, out, Need::Required) && isUnspecified(out))
        root.refuse(key, TextRule::MalformedEndpoint, "others can't connect there");
}

void refuseSame(ObjectReader &root, std::string_view key, const Endpoint &one,
                std::string_view otherKey, const Endpoint &other)
{
    if (one.port != 0 && one == other)
        root.refuse(key, TextRule::DuplicateEndpoint, "the same as " + std::string(otherKey));
}

/** Where addresses are translated, others send elsewhere than where this daemon listens. */
void readPeerListenAddress(ObjectReader &root, Settings &settings)
{
    constexpr std::string_view Key = "peerListenAddress";
    if (!root.readEndpoint(Key, settings.peerListenAddress, Need::Optional)) {
        settings.peerListenAddress = settings.peerAddress;
        return;
    }
    refuseSame(root, Key, settings.peerListenAddress, "callerAddress", settings.callerAddress);
    refuseSame(root, Key, settings.peerListenAddress, "metricsAddress", settings.metricsAddress);
}

void readAddresses(ObjectReader &root, Settings &settings)
{
    readReachable(root, "callerAddress", settings.callerAddress);
    readReachable(root, "peerAddress", settings.peerAddress);
    root.readEndpoint("metricsAddress", settings.metricsAddress, Need::Required);
    readReachable(root, "platformAddress", settings.platformAddress);
    refuseSame(root, "peerAddress", settings.peerAddress, "callerAddress", settings.callerAddress);
    refuseSame(root, "metricsAddress", settings.metricsAddress, "callerAddress",
               settings.callerAddress);
    refuseSame(root, "metricsAddress", settings.metricsAddress, "peerAddress",
               settings.peerAddress);
    readPeerListenAddress(root, settings);
}

/**
 * A daemon without seeds would start a fleet of its own, whose callers the others know nothing of;
 * the only daemon of a site names itself.
 */
void readSeeds(ObjectReader &root, Settings &settings)
{
    bool hasEntry = false;
    const bool isList = root.forEach(
        "seeds", Need::Required, [&](const Json::Value &value, const ValuePath &path) {
            hasEntry = true;
            const std::optional<Endpoint> seed
                = value.isString() ? parseCanonicalEndpoint(value.asString()) : std::nullopt;
            if (!seed || isUnspecified(*seed))
                root.reading().refuse(value, path, TextRule::MalformedEndpoint,
                                      "IP:PORT in numbers is wanted");
            else
                settings.seeds.push_back(*seed);
        });
    if (isList && !hasEntry)
        root.refuse("seeds", TextRule::EmptyList, "at least one peer address is wanted");
}

Settings readSettings(ObjectReader &root)
{
    Settings settings;
    root.readName("id", settings.id, Need::Required);
    if (!root.readName("vm", settings.vm, Need::Optional))
        settings.vm = VmId(settings.id.text());
    root.readName("dataCentre", settings.dataCentre, Need::Required);
    root.readName("region", settings.region, Need::Required);
    readAddresses(root, settings);
    readSeeds(root, settings);
    readFileName(root, "peerKeyFile", settings.peerKeyFile, Need::Required);
    readFileName(root, "logFolder", settings.logFolder, Need::Optional);
    root.readWhole("logLevel", settings.logLevel, LogLevelBounds, Need::Optional);
    root.readWhole("logLinesPerSecond", settings.logLinesPerSecond, LogLinesBounds, Need::Optional);
    return settings;
}

} // namespace

Result<Settings, std::vector<TextError>> parseSettings(std::string_view text)
{
    const Result<TextDocument, TextError> document = TextDocument::parse(text);
    if (!document)
        return std::vector<TextError> {document.error()};
    TextReading reading(document.value());
    const ValuePath path;
    ObjectReader root(reading, document.value().root(), path);
    Settings settings = readSettings(root);
    root.refuseUnknownKeys();
    if (!reading.isGood())
        return reading.takeErrors();
    return settings;
}

} // namespace Apricothook
