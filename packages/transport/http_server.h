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

/// A request as it came in, whole.
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool tooLarge = false; ///< the body passed the limit and was dropped; answer 413
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// The answer to one request; kept by whoever answers it, at any later time, on the loop's thread.
/// Either respond() once, or begin(), write() any number of times, end(). Content-Length and
/// Transfer-Encoding are the server's own and are left out of `headers`. When the last holder drops the
/// reply without a whole answer, the connection is broken off.
class http_reply
{
public:
    virtual ~http_reply() = default;
    virtual void respond(int status, const header_list &headers, std::string body) = 0;
    virtual void begin(int status, const header_list &headers) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void end() = 0;
    /// Breaks the connection off, so that the caller sees that the streamed answer is not whole.
    virtual void abort() = 0;
    /// Called once if the caller's connection goes away before the answer was complete; the reply is
    /// then aborted. A caller that closes its sending side counts as gone only if this was set.
    virtual void onClosed(std::function<void()> call) = 0;
    /// Bytes written and not yet taken by the socket.
    virtual std::size_t pendingBytes() const = 0;
};

/// HTTP towards callers and operators, by libmicrohttpd driven from the loop.
class http_server
{
public:
    using handler = std::function<void(http_request request, std::shared_ptr<http_reply> reply)>;

    /// Listens on an address by IP number; port 0 takes a free one. `why` tells what failed.
    static std::unique_ptr<http_server> listen(loop &eventLoop, const std::string &address,
        std::uint16_t port, std::size_t bodyLimit, handler onRequest, error &why);
    virtual ~http_server() = default;
    virtual std::uint16_t port() const = 0;
    /// Connections that have a request in progress.
    virtual std::size_t activeRequests() const = 0;
    /// Takes no further connections; those in progress go on. Answers begun after this close theirs.
    virtual void stopListening() = 0;
};

}
