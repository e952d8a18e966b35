#pragma once

#include "transport/http_server.h"

#include <microhttpd.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace briarhead::detail {

/// How far the answer to one request has come.
enum class reply_phase : std::uint8_t
{
    Reading, ///< the request is still coming in
    Waiting, ///< with the handler, nothing answered yet
    Answering, ///< begin() was called
    Answered, ///< respond() or end() was called; bytes may still be on their way
    Aborted,
};

/// What an exchange asks of the daemon it belongs to.
class exchange_host
{
public:
    virtual ~exchange_host() = default;
    /// Has libmicrohttpd look at its connections soon.
    virtual void scheduleRun() = 0;
    /// Has the exchange's onClosed called soon.
    virtual void scheduleClosed(std::shared_ptr<struct exchange> lost) = 0;
};

struct connection_state;

/// One request and its answer, from the first header byte until libmicrohttpd is done with it.
/// `connection` is null after that.
struct exchange : public std::enable_shared_from_this<exchange>
{
    exchange_host *host = nullptr;
    MHD_Connection *connection = nullptr;
    connection_state *peer = nullptr;
    http_request request;
    reply_phase phase = reply_phase::Reading;
    bool streamed = false;
    bool queued = false; ///< the response is with libmicrohttpd
    bool suspended = false;
    int status = 0;
    header_list headers;
    std::string out; ///< the whole body, or what of a stream was not taken yet
    std::size_t taken = 0; ///< bytes at the front of `out` that were taken
    std::function<void()> onClosed;

    bool isOpen() const
    {
        return connection != nullptr && phase != reply_phase::Aborted;
    }
    /// Has libmicrohttpd go on with a suspended connection.
    void wake();
    void suspend();
    /// Breaks the connection off; onClosed is not called.
    void abort();
    /// The content reader of a streamed answer.
    ssize_t read(char *buffer, std::size_t size);
};
using exchange_ptr = std::shared_ptr<exchange>;

/// One TCP connection; requests follow each other on it.
struct connection_state
{
    std::uint64_t id = 0;
    int fd = -1;
    bool hungUp = false; ///< the peer closed its side
    exchange *current = nullptr;
};

/// What the handler holds. When the last holder drops it without a whole answer, the connection is
/// broken off: the caller would otherwise wait for ever on an answer that nobody can give any more.
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
    void write(std::string_view bytes) override;
    void end() override;
    void abort() override;
    void onClosed(std::function<void()> call) override;
    std::size_t pendingBytes() const override;

private:
    exchange_ptr m_target;
};

}
