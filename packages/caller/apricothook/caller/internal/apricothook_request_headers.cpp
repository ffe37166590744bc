#include <apricothook/caller/internal/apricothook_request_headers.hpp>

#include <apricothook/caller/internal/apricothook_route.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Apricothook {

namespace {

constexpr std::size_t MaximumClassBytes = 128;
constexpr std::uint32_t MaximumWaitSeconds = 86'400;

/** Meant for one connection only, or replaced by this system on the way. */
constexpr std::array<std::string_view, 16> NeverForwarded {"connection",
                                                           "keep-alive",
                                                           "proxy-connection",
                                                           "proxy-authenticate",
                                                           "proxy-authorization",
                                                           "te",
                                                           "trailer",
                                                           "transfer-encoding",
                                                           "upgrade",
                                                           "host",
                                                           "content-length",
                                                           "expect",
                                                           "authorization",
                                                           "idempotency-key",
                                                           "prefer",
                                                           "date"};

/** Words of this system and of the protocols of its targets: a caller may not speak them. */
constexpr std::array<std::string_view, 3> ReservedPrefixes {"apricothook-", "engine-", "service-"};

char lower(char byte)
{
    return byte >= 'A' && byte <= 'Z' ? static_cast<char>(byte - 'A' + 'a') : byte;
}

bool startsWithName(std::string_view name, std::string_view prefix)
{
    return name.size() >= prefix.size() && isSameName(name.substr(0, prefix.size()), prefix);
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/** Calls `use` for each trimmed item of a list that is separated by commas. */
template <typename Use>
void forEachItem(std::string_view list, Use use)
{
    while (!list.empty()) {
        const std::size_t end = std::min(list.find(','), list.size());
        use(trimmed(list.substr(0, end)));
        list.remove_prefix(std::min(end + 1, list.size()));
    }
}

bool isReserved(std::string_view name)
{
    return std::ranges::any_of(NeverForwarded, [&](auto other) { return isSameName(name, other); })
        || std::ranges::any_of(ReservedPrefixes,
                               [&](auto prefix) { return startsWithName(name, prefix); });
}

bool isClean(std::string_view value)
{
    return std::ranges::none_of(value, [](char byte) {
        const auto code = static_cast<unsigned char>(byte);
        return (code < ' ' && byte != '\t') || code == 0x7f;
    });
}

/** Names that a Connection header lists are for that connection only. */
std::vector<std::string> connectionNames(const std::vector<Header> &headers)
{
    std::vector<std::string> names;
    for (const Header &header : headers) {
        if (isSameName(header.name, "connection"))
            forEachItem(header.value, [&](auto name) { names.emplace_back(name); });
    }
    return names;
}

std::vector<Header> forwardable(const std::vector<Header> &headers)
{
    const std::vector<std::string> connectionOnly = connectionNames(headers);
    std::vector<Header> forwarded;
    for (const Header &header : headers) {
        const bool isListed = std::ranges::any_of(
            connectionOnly, [&](const auto &name) { return isSameName(header.name, name); });
        if (!isListed && !isReserved(header.name) && isClean(header.value))
            forwarded.push_back(header);
    }
    return forwarded;
}

/** The value of a header that may be given once; null when it is absent. */
Result<const std::string *, RefusalReason> single(const std::vector<Header> &headers,
                                                  std::string_view name)
{
    const std::string *value = nullptr;
    for (const Header &header : headers) {
        if (!isSameName(header.name, name))
            continue;
        // Two keys or two tokens: a proxy before us may have read the other one.
        if (value)
            return RefusalReason::BadRequest;
        value = &header.value;
    }
    return value;
}

std::string tokenHashOf(std::string_view authorization)
{
    constexpr std::string_view Scheme = "bearer ";
    if (!startsWithName(authorization, Scheme))
        return {};
    const std::string_view token = trimmed(authorization.substr(Scheme.size()));
    return token.empty() ? std::string() : sha256Hex(token);
}

Result<std::optional<Duration>, RefusalReason> parseWait(std::string_view prefer)
{
    constexpr std::string_view Wait = "wait=";
    std::optional<Duration> wait;
    bool isGood = true;
    forEachItem(prefer, [&](std::string_view item) {
        if (!startsWithName(item, Wait))
            return;
        const std::string_view digits = item.substr(Wait.size());
        std::uint32_t seconds = 0;
        const char *const end = digits.data() + digits.size();
        const auto [stop, error] = std::from_chars(digits.data(), end, seconds);
        isGood = isGood && error == std::errc() && stop == end && seconds <= MaximumWaitSeconds;
        wait = std::chrono::seconds(seconds);
    });
    if (!isGood)
        return RefusalReason::BadRequest;
    return wait;
}

} // namespace

Result<RequestHeaders, RefusalReason> parseRequestHeaders(const std::vector<Header> &headers)
{
    RequestHeaders parsed;
    BOOST_OUTCOME_TRY(const std::string *authorization, single(headers, "authorization"));
    if (authorization)
        parsed.tokenHash = tokenHashOf(*authorization);
    BOOST_OUTCOME_TRY(const std::string *key, single(headers, "idempotency-key"));
    if (key && !isGoodKey(*key))
        return RefusalReason::BadRequest;
    if (key)
        parsed.key = RequestKey(*key);
    BOOST_OUTCOME_TRY(const std::string *requestClass, single(headers, "apricothook-class"));
    if (requestClass && (requestClass->size() > MaximumClassBytes || !isGoodKey(*requestClass)))
        return RefusalReason::UnknownClass;
    if (requestClass)
        parsed.requestClass = ClassId(*requestClass);
    BOOST_OUTCOME_TRY(const std::string *prefer, single(headers, "prefer"));
    if (prefer) {
        BOOST_OUTCOME_TRY(parsed.wait, parseWait(*prefer));
    }
    BOOST_OUTCOME_TRY(const std::string *contentType, single(headers, "content-type"));
    if (contentType)
        parsed.contentType = *contentType;
    parsed.forwarded = forwardable(headers);
    return parsed;
}

std::vector<Header> headersForCaller(const std::vector<Header> &headers)
{
    return forwardable(headers);
}

bool isSameName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, lower, lower);
}

std::string sha256Hex(std::string_view bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int at = 0; at < size; ++at) {
        hex.push_back(Digits[digest[at] >> 4U]);
        hex.push_back(Digits[digest[at] & 0x0FU]);
    }
    return hex;
}

} // namespace Apricothook
