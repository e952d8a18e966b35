#pragma once

#include "transport/http_server.h"

#include <microhttpd.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace briarhead::detail {

/// The state of one request's response.
enum class reply_phase : std::uint8_t
{
    Reading, ///< the request is still arriving
    Waiting, ///< the handler has the request and has not responded yet
    Streaming, ///< begin() was called, end() was not
    Finished, ///< respond() or end() was called; bytes may still wait to be sent
    Aborted,
};

/// The server that an exchange belongs to.
class exchange_host
{
public:
    virtual ~exchange_host() = default;
    /// Makes libmicrohttpd process its connections in the next round of the loop.
    virtual void scheduleRun() = 0;
    /// Makes the server call onClosed of an exchange whose peer has closed the connection.
    virtual void scheduleClosed(std::shared_ptr<struct exchange> lost) = 0;
};

struct connection_state;

/// One request and its response, from the first header byte until libmicrohttpd is done with it.
struct exchange : public std::enable_shared_from_this<exchange>
{
    exchange_host *host = nullptr;
    MHD_Connection *connection = nullptr; ///< null once libmicrohttpd is done with the exchange
    connection_state *peer = nullptr;
    http_request request;
    reply_phase phase = reply_phase::Reading;
    bool streamed = false; ///< the response was started with begin() or beginUnframed()
    bool unframed = false; ///< the response was started with beginUnframed()
    bool isHttp10 = false; ///< the caller uses HTTP/1.0, which has no chunks
    bool queued = false; ///< the response was passed to libmicrohttpd
    bool suspended = false; ///< libmicrohttpd does not process the connection until wake()
    int status = 0;
    header_list headers;
    std::string out; ///< the complete body, or a stream's bytes that are still buffered
    std::size_t consumed = 0; ///< bytes at the front of `out` already passed to libmicrohttpd
    std::function<void()> onClosed;

    bool isOpen() const
    {
        return connection != nullptr && phase != reply_phase::Aborted;
    }
    /// Whether nothing but an orderly close of the connection ends the response.
    bool endsWithConnection() const
    {
        return streamed && (unframed || isHttp10);
    }
    /// Resumes the connection if it is suspended.
    void wake();
    void suspend();
    /// Closes the connection in the middle of the response; onClosed is not called.
    void abort();
    /// libmicrohttpd's content reader for a streamed response.
    ssize_t read(char *buffer, std::size_t size);
};
using exchange_ptr = std::shared_ptr<exchange>;

/// One TCP connection, which carries its requests one after another.
struct connection_state
{
    std::uint64_t id = 0;
    int fd = -1;
    bool hungUp = false; ///< the peer has closed its side
    exchange *current = nullptr;
};

/// The handler's reference to an exchange. If the handle is destroyed before the response is finished, the
/// connection is aborted: the caller would otherwise wait forever for a response that nobody can send.
class reply_handle final : public http_reply
{
public:
    explicit reply_handle(exchange_ptr target)
        : m_target(std::move(target))
    {
    }
    ~reply_handle() override;
    reply_handle(const reply_handle &) = delete;
    reply_handle &operator=(const reply_handle &) = delete;

    void respond(int status, const header_list &headers, std::string body) override;
    void begin(int status, const header_list &headers) override;
    void beginUnframed(int status, const header_list &headers) override;
    void write(std::string_view bytes) override;
    void end() override;
    void abort() override;
    void onClosed(std::function<void()> call) override;
    std::size_t pendingBytes() const override;

private:
    exchange_ptr m_target;
};

}
