#pragma once

#include "protocol/messages.h"
#include "protocol/seal.h"
#include "transport/loop.h"
#include "transport/peer_link.h"
#include "transport/peer_socket.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// What all connections of one daemon share.
struct peer_identity
{
    std::string name;
    std::uint64_t incarnation = 0;
    seal_keys keys;
    peer_counters counters;
};

/// An encoded message that waits to be sent.
struct queued_message
{
    std::string bytes;
    bool control = false; ///< counted as control traffic
};

/// Whether a message counts as control traffic: all but those that carry requests and their answers.
bool isControl(const peer_message &message);

/// One TCP connection to a peer. Both sides send a hello, then an empty frame under the connection's
/// keys; the connection is ready once the peer's empty frame has come, which a replayed hello can't
/// bring about. Only then are messages sent.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    struct handlers
    {
        std::function<void(const std::shared_ptr<peer_connection> &)> onReady;
        std::function<void(const std::shared_ptr<peer_connection> &, peer_message)> onMessage;
        /// Called once when it ends by itself, not after close().
        std::function<void(const std::shared_ptr<peer_connection> &)> onEnded;
    };

    /// `expected` is the name the peer must show; empty takes any.
    peer_connection(loop &eventLoop, peer_identity &self, owned_fd fd, std::string expected, handlers calls);
    ~peer_connection();
    peer_connection(const peer_connection &) = delete;
    peer_connection &operator=(const peer_connection &) = delete;

    /// Begins the handshake; a dialled socket first waits for its connection.
    void start();
    /// Queues a message; what is queued in one round of the loop goes out in as few calls as possible.
    void send(const queued_message &message);
    void close();
    /// The messages of which no peer can have a whole frame. Ask after it ended or was closed.
    std::vector<queued_message> takeUnsent();

    bool dialled() const;
    bool ready() const;
    std::size_t queuedBytes() const;
    /// The peer's authenticated hello; empty before it came.
    const hello &peer() const;

private:
    enum class stage : std::uint8_t
    {
        Connecting,
        Hello, ///< the peer's hello is awaited
        Confirming, ///< the peer's empty frame is awaited
        Ready,
        Ended,
    };
    struct queued_frame
    {
        std::string bytes;
        bool control = false;
        bool message = false; ///< not part of the handshake
    };

    void onEvents(int events);
    void onConnected();
    void readSome();
    bool parseOne();
    bool parseHello();
    bool parseFrame();
    void takeFrame(std::string_view bytes, std::size_t size);
    void queue(queued_frame frame);
    void flush();
    bool writeOnce();
    void dropWritten(std::size_t count);
    void refuseInput();
    void end();
    void release();

    loop &m_loop;
    peer_identity &m_self;
    owned_fd m_fd;
    std::string m_expected;
    handlers m_calls;
    stage m_stage;
    std::string m_ownHello;
    hello m_peer;
    std::optional<frame_sealer> m_sealer;
    std::optional<frame_opener> m_opener;
    std::string m_in;
    std::size_t m_parsed = 0; ///< bytes of m_in that are done with
    std::deque<queued_frame> m_out;
    std::size_t m_outBytes = 0;
    std::size_t m_headWritten = 0; ///< bytes of the first queued frame that the kernel has taken
    bool m_flushPosted = false;
    std::shared_ptr<void> m_readWatch;
    std::shared_ptr<void> m_writeWatch;
    std::shared_ptr<void> m_handshakeTimer;
};

}
