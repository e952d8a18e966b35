#pragma once

#include "state/error.h"
#include "transport/loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarhead {

/// A complete request.
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool tooLarge = false; ///< the body exceeded the limit and was discarded; respond with 413
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Sends the response to one request, at any later time on the loop's thread: either respond() once, or
/// begin(), any number of write(), end(). The server sets Content-Length and Transfer-Encoding itself and
/// ignores them in `headers`. If the last reference is dropped before the response is complete, the
/// connection is closed.
class http_reply
{
public:
    virtual ~http_reply() = default;
    virtual void respond(int status, const header_list &headers, std::string body) = 0;
    /// Begins a response of unknown length.
    virtual void begin(int status, const header_list &headers) = 0;
    /// The same without chunks: nothing but an orderly close of the connection ends the response. It is reset
    /// if the response is aborted.
    virtual void beginUnframed(int status, const header_list &headers) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void end() = 0;
    /// Closes the connection, so that the caller can tell that a streamed response is incomplete.
    virtual void abort() = 0;
    /// Sets a function that is called once if the caller disconnects before the response is complete; the
    /// reply is then aborted. A caller that closes only its sending side counts as disconnected only if
    /// this function is set.
    virtual void onClosed(std::function<void()> call) = 0;
    /// Bytes written but not yet accepted by the socket.
    virtual std::size_t pendingBytes() const = 0;
};

/// HTTP server for callers and operators, using libmicrohttpd on the event loop.
class http_server
{
public:
    using handler = std::function<void(http_request request, std::shared_ptr<http_reply> reply)>;

    /// Listens on an IP address; port 0 selects a free port. Returns null and sets `why` on failure.
    static std::unique_ptr<http_server> listen(loop &eventLoop, const std::string &address,
        std::uint16_t port, std::size_t maxBodyBytes, handler onRequest, error &why);
    virtual ~http_server() = default;
    virtual std::uint16_t port() const = 0;
    virtual std::size_t activeRequests() const = 0;
    /// Sets a function that decides on each new connection. One that is not admitted is closed unread.
    virtual void setAdmission(std::function<bool()> admit) = 0;
    /// Accepts the connections in the listen queue, then closes the listening socket. Requests in progress
    /// continue, and responses that begin after this call close their connection.
    virtual void stopListening() = 0;
};

}
