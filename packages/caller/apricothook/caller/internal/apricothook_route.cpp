#include <apricothook/caller/internal/apricothook_route.hpp>

#include <apricothook/caller/internal/apricothook_percent_decoding.hpp>

#include <algorithm>
#include <optional>

namespace Apricothook {

namespace {

constexpr std::string_view EntriesPath = "/v1/entries";
constexpr std::string_view OperatorPath = "/v1/operator";
constexpr std::string_view KeyPrefix = "/v1/requests/";
constexpr std::string_view ServicePrefix = "/v1/services/";

bool isVisible(char byte)
{
    return byte > ' ' && byte < '\x7f';
}

/** A '#' never belongs to a request target; HTTP clients would cut the path there. */
bool isGoodTarget(std::string_view uri)
{
    return std::ranges::all_of(uri, [](char byte) { return isVisible(byte) && byte != '#'; });
}

/**
 * HTTP clients take "." and ".." out of a path before they send it, so that the target would see
 * another path than the one whose fingerprint was taken.
 */
bool hasDotSegment(std::string_view path)
{
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::string_view segment = path.substr(0, path.find('/'));
        const std::optional<std::string> decoded = percentDecoded(segment);
        if (decoded == "." || decoded == "..")
            return true;
        path.remove_prefix(segment.size());
    }
    return false;
}

Result<Route, RefusalReason> parseService(std::string_view below)
{
    const std::size_t nameEnd = std::min(below.find_first_of("/?"), below.size());
    const std::optional<std::string> name = percentDecoded(below.substr(0, nameEnd));
    if (!name || name->empty())
        return RefusalReason::BadRequest;
    std::string path(below.substr(nameEnd));
    if (!path.starts_with('/'))
        path.insert(0, 1, '/');
    if (hasDotSegment(std::string_view(path).substr(0, path.find('?'))))
        return RefusalReason::BadRequest;
    return Route(ServiceRoute {ServiceId(*name), std::move(path)});
}

Result<Route, RefusalReason> parseKey(std::string_view escaped)
{
    const std::optional<std::string> key = percentDecoded(escaped);
    if (!key || !isGoodKey(*key))
        return RefusalReason::BadRequest;
    return Route(KeyRoute {RequestKey(*key)});
}

} // namespace

Result<Route, RefusalReason> parseRoute(std::string_view method, std::string_view uri)
{
    if (!isGoodTarget(uri))
        return RefusalReason::BadRequest;
    if (uri.starts_with(ServicePrefix))
        return parseService(uri.substr(ServicePrefix.size()));
    const std::string_view path = uri.substr(0, uri.find('?'));
    const bool isGet = method == "GET";
    if (path == EntriesPath && isGet)
        return Route(EntriesRoute {});
    if (path == OperatorPath && method == "POST")
        return Route(OperatorRoute {});
    if (path.starts_with(KeyPrefix) && isGet)
        return parseKey(path.substr(KeyPrefix.size()));
    if (path == EntriesPath || path == OperatorPath || path.starts_with(KeyPrefix))
        return RefusalReason::BadRequest;
    return RefusalReason::UnknownService;
}

bool isGoodKey(std::string_view key)
{
    return !key.empty() && key.size() <= MaximumKeyBytes && std::ranges::all_of(key, isVisible);
}

} // namespace Apricothook
