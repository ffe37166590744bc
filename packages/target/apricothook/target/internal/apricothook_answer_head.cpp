#include <apricothook/target/internal/apricothook_answer_head.hpp>

#include <apricothook/target/internal/apricothook_http_exchange.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace Apricothook {

namespace {

constexpr int FirstErrorStatus = 400;

constexpr std::array Dropped {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length", // The caller's side frames the body anew.
    "engine-boot",
    "engine-not-run",
    "service-not-run",
};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return text;
}

/** Whether `name` is one of the words of a Connection header, both in lower case. */
bool isListed(const std::string &list, const std::string &name)
{
    std::size_t begin = 0;
    while (begin < list.size()) {
        const std::size_t comma = std::min(list.find(',', begin), list.size());
        std::string word = list.substr(begin, comma - begin);
        std::erase_if(word, [](unsigned char character) { return std::isspace(character) != 0; });
        if (word == name)
            return true;
        begin = comma + 1;
    }
    return false;
}

} // namespace

AnswerHead endToEnd(const AnswerHead &head)
{
    const std::string *connection = headerValue(head.headers, "Connection");
    const std::string listed = connection != nullptr ? lower(*connection) : std::string();
    AnswerHead kept {head.status, {}};
    for (const Header &header : head.headers) {
        const std::string name = lower(header.name);
        const bool isDropped = std::find(Dropped.begin(), Dropped.end(), name) != Dropped.end();
        if (!isDropped && !isListed(listed, name))
            kept.headers.push_back(header);
    }
    return kept;
}

bool isProvenNotRun(const AnswerHead &head, ServiceKind kind)
{
    const char *name = kind == ServiceKind::Engine ? "Engine-Not-Run" : "Service-Not-Run";
    const std::string *value = headerValue(head.headers, name);
    // A success that claims not to have run contradicts itself and proves nothing.
    return head.status >= FirstErrorStatus && value != nullptr && lower(*value) == "true";
}

bool isEventStream(const AnswerHead &head)
{
    const std::string *type = headerValue(head.headers, "Content-Type");
    return type != nullptr && lower(*type).starts_with("text/event-stream");
}

} // namespace Apricothook
