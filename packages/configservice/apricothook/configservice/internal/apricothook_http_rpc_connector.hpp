#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>

#include <jsonrpccpp/server/abstractserverconnector.h>
#include <microhttpd.h>

#include <cstddef>
#include <string>

namespace Apricothook {

/**
 * Serves JSON-RPC over HTTP on one address with bounded threads, connections and bytes. The
 * library's own HttpServer listens on every address of the VM and takes bodies of any length.
 */
class HttpRpcConnector : public jsonrpc::AbstractServerConnector
{
public:
    explicit HttpRpcConnector(Endpoint address) : m_address(std::move(address)) { }
    ~HttpRpcConnector() override { StopListening(); }

    bool StartListening() override;
    bool StopListening() override;
    bool SendResponse(const std::string &response, void *context) override;

private:
    static MHD_Result serve(void *self, MHD_Connection *connection, const char *url,
                            const char *method, const char *version, const char *bytes,
                            std::size_t *size, void **context);
    static void complete(void *self, MHD_Connection *connection, void **context,
                         MHD_RequestTerminationCode code);
    MHD_Result answer(MHD_Connection *connection, const std::string &body);

    Endpoint m_address;
    MHD_Daemon *m_daemon = nullptr;
};

} // namespace Apricothook
