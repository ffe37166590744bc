#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

struct MHD_Daemon;

namespace Apricothook {

struct HttpRequest
{
    std::string method;
    std::string path;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::map<std::string, std::string> query;
    std::string body;

    /** The header's value, or "" where it is absent; `name` in lower case. */
    std::string header(const std::string &name) const;
    /** The query argument as a number, or the fallback. */
    std::uint64_t number(const std::string &argument, std::uint64_t fallback) const;
};

/** A body that is produced while it is sent. */
class BodySource
{
public:
    static constexpr std::ptrdiff_t End = 0;
    static constexpr std::ptrdiff_t Broken = -1;

    virtual ~BodySource() = default;
    /** Waits for bytes from `offset` on; the number written, End, or Broken to close at once. */
    virtual std::ptrdiff_t read(std::uint64_t offset, char *buffer, std::size_t size) = 0;
};

struct HttpReply
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
    std::shared_ptr<BodySource> stream;
    /** Close the connection without any answer. */
    bool isClosing = false;
};

/** Answers requests; called from many threads at once and allowed to block. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual HttpReply handle(const HttpRequest &request) = 0;
};

/** An HTTP server on loopback with one thread per connection. */
class HttpHost
{
public:
    /** Port 0 takes a free port; throws std::system_error when the port can't be had. */
    HttpHost(std::uint16_t port, HttpHandler &handler);
    ~HttpHost();
    HttpHost(const HttpHost &) = delete;
    HttpHost &operator=(const HttpHost &) = delete;

    std::uint16_t port() const { return m_port; }

private:
    MHD_Daemon *m_daemon;
    std::uint16_t m_port;
};

} // namespace Apricothook
