#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "transport/http_wire.h"
#include "transport/loop.h"
#include "transport/peer_link.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace briarhead {

/// How one send to a backend server ended.
enum class send_result : std::uint8_t
{
    Complete, ///< the answer is complete
    NotSent, ///< certain that no byte of the request left
    Broken, ///< bytes left, and the answer is missing, cut off or no HTTP
};

/// Callbacks of one send, none of them from inside start().
struct send_handlers
{
    /// The head of an answer. False: it answers something else and is dropped, the next one is waited for.
    std::function<bool(const http_head &)> onHead;
    std::function<void(std::string bytes)> onBody;
    std::function<void(send_result, const error &)> onEnd;
};

/// Counts for metrics.
struct pool_counters
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t stray = 0; ///< connections closed because bytes came that answer nothing
};

/// Connections to backend servers. Each carries one request at a time and is kept only after an answer that
/// was whole, with nothing behind it, to a request that was wholly sent. Nothing is ever sent twice.
class backend_pool
{
public:
    explicit backend_pool(loop &eventLoop);
    ~backend_pool();
    backend_pool(const backend_pool &) = delete;
    backend_pool &operator=(const backend_pool &) = delete;

    using send_id = std::uint64_t;
    /// Sends `bytes`, a whole request. `noBody`: the answer has none (HEAD). Exactly one onEnd follows
    /// unless the send is cancelled.
    send_id start(const peer_address &to, std::string bytes, bool noBody, send_handlers calls);
    /// Ends a send by closing its connection, so that the server stops working on it.
    void cancel(send_id id);
    /// Ends a send by resetting its connection: bytes of it that have not reached the server never will.
    void abort(send_id id);
    /// Closes the kept connections to an address, whose server has gone.
    void forget(const peer_address &to);
    const pool_counters &counters() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
