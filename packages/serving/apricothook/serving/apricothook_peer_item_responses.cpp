#include <apricothook/serving/apricothook_peer_item_responses.hpp>

#include <apricothook/fleetview/apricothook_peer_item_protocol.hpp>
#include <apricothook/http1/apricothook_gzip.hpp>
#include <apricothook/http1/apricothook_http_status.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

SimpleHttpResponse jsonResponse(std::string body)
{
    return {.status = HttpStatus::Ok, .contentType = "application/json", .body = std::move(body)};
}

SimpleHttpResponse gzipResponse(std::string body)
{
    SimpleHttpResponse response = jsonResponse(std::move(body));
    response.contentEncoding = "gzip";
    return response;
}

} // namespace

SimpleHttpResponse PeerItemResponses::respond(Revision after, bool acceptsGzip)
{
    const std::uint64_t version = m_replica.version();
    std::erase_if(m_kept, [version](const Kept &kept) { return kept.version != version; });
    const auto known = std::ranges::find(m_kept, after, &Kept::after);
    if (acceptsGzip && known != m_kept.end())
        return gzipResponse(known->body);
    std::string body = writeItemUpdate(m_replica.since(after));
    if (!acceptsGzip || body.size() < SmallestCompressed)
        return jsonResponse(std::move(body));
    m_kept.push_back({after, version, gzipCompressed(body)});
    if (m_kept.size() > KeptResponses)
        m_kept.pop_front();
    return gzipResponse(m_kept.back().body);
}

bool acceptsGzip(const RequestHead &request)
{
    const std::optional<std::string_view> accepted = request.headers.find("Accept-Encoding");
    return accepted && containsToken(*accepted, "gzip");
}

} // namespace Apricothook
