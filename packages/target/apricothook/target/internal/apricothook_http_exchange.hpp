#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>
#include <apricothook/target/internal/apricothook_curl_handles.hpp>
#include <apricothook/target/internal/apricothook_http_exchange_owner.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Apricothook {

struct HttpRequest
{
    Endpoint address;
    std::string method;
    /** Path and query, starting with '/'. */
    std::string path;
    std::vector<Header> headers;
    std::shared_ptr<const std::string> body;
    /** Seconds that a connection may have been idle; 0: on a new connection only. */
    long idleSeconds = 0;
};

/** Whether nothing in method, path and headers could end a line early and begin another request. */
bool isWellFormed(const HttpRequest &request);

/** True for methods that change nothing at the target. */
bool isSafeMethod(const std::string &method);

/** The value of a header, names compared without case; nullptr when absent. */
const std::string *headerValue(const std::vector<Header> &headers, const std::string &name);

/**
 * One request on the wire and its answer. The request is sent at most once: it is the gate in
 * onBegin() that undoes libcurl's habit of sending again.
 */
class HttpExchange
{
public:
    HttpExchange(CURLM *multi, HttpRequest request, HttpExchangeOwner &owner);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /** Gives paused bytes on. */
    void resume();
    bool wasSent() const { return m_hasBegun; }
    HttpExchangeOwner &owner() const { return m_owner; }
    ExchangeEnd endOf(CURLcode code) const;

private:
    void setUpConnection();
    void setUpRequest();
    void setUpHeaders();
    void setUpCallbacks();
    bool isFramed() const;
    bool onBegin();
    std::size_t onRead(char *to, std::size_t size);
    bool onHeaderLine(std::string_view line);

    static int beginCallback(void *self, char *, char *, int, int);
    static std::size_t readCallback(char *to, std::size_t size, std::size_t count, void *self);
    static int seekCallback(void *, curl_off_t, int);
    static std::size_t headerCallback(char *line, std::size_t size, std::size_t count, void *self);
    static std::size_t writeCallback(char *bytes, std::size_t size, std::size_t count, void *self);

    CURLM *m_multi;
    HttpRequest m_request;
    HttpExchangeOwner &m_owner;
    EasyHandle m_easy;
    HeaderList m_headers;
    std::size_t m_bodyOffset = 0;
    bool m_hasBegun = false;
    AnswerHead m_head;
    std::size_t m_headBytes = 0;
    bool m_isHeadWhole = false;
};

} // namespace Apricothook
