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

/// State shared by all peer connections of one daemon.
struct peer_identity
{
    std::string name;
    std::uint64_t incarnation = 0;
    seal_keys keys;
    peer_counters counters;
};

/// An encoded message waiting to be sent.
struct queued_message
{
    std::string bytes;
    bool control = false; ///< counted as control traffic, see isControl()
};

/// Whether a message counts as control traffic: all except those that carry requests and responses.
bool isControl(const peer_message &message);

/// One TCP connection to a peer. Both sides send a hello, then an empty frame under the connection's
/// keys. The connection is ready once the peer's empty frame has arrived, which a replayed hello alone
/// cannot achieve. Messages are sent only after that.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    struct handlers
    {
        std::function<void(const std::shared_ptr<peer_connection> &)> onReady;
        std::function<void(const std::shared_ptr<peer_connection> &, peer_message)> onMessage;
        /// Called once when the connection fails or the peer closes it, not after close().
        std::function<void(const std::shared_ptr<peer_connection> &)> onEnded;
    };

    /// `expectedName` is the instance name that the peer must present. It is empty for an accepted
    /// connection, which may come from any peer.
    peer_connection(
        loop &eventLoop, peer_identity &identity, owned_fd fd, std::string expectedName, handlers calls);
    ~peer_connection();
    peer_connection(const peer_connection &) = delete;
    peer_connection &operator=(const peer_connection &) = delete;

    /// Begins the handshake, for a dialled socket once it is connected.
    void start();
    /// Queues a message; does nothing unless ready. Messages queued in one round of the loop are sent in
    /// as few system calls as possible.
    void send(const queued_message &message);
    void close();
    /// Returns and removes the messages of which the peer cannot have received a complete frame. Call it
    /// after the connection ended or was closed.
    std::vector<queued_message> takeUnsent();

    bool dialled() const;
    bool ready() const;
    std::size_t queuedBytes() const;
    /// The peer's authenticated hello; empty until it is received.
    const hello &peer() const;

private:
    enum class stage : std::uint8_t
    {
        Connecting,
        AwaitingHello,
        AwaitingConfirmation, ///< waiting for the peer's empty frame
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
    void readAvailable();
    bool parseNext();
    bool parseHello();
    bool parseFrame();
    void onFrame(std::string_view bytes, std::size_t size);
    void queue(queued_frame frame);
    void flush();
    bool writeBatch();
    void removeWritten(std::size_t count);
    void rejectInput();
    void endConnection();
    void releaseSocket();

    loop &m_loop;
    peer_identity &m_identity;
    owned_fd m_fd;
    std::string m_expectedName;
    handlers m_handlers;
    stage m_stage;
    std::string m_ownHello;
    hello m_peerHello;
    std::optional<frame_sealer> m_sealer;
    std::optional<frame_opener> m_opener;
    std::string m_input;
    std::size_t m_parsedBytes = 0; ///< at the front of m_input
    std::deque<queued_frame> m_outgoing;
    std::size_t m_outgoingBytes = 0;
    std::size_t m_firstFrameWrittenBytes = 0; ///< of the first frame in m_outgoing, accepted by the kernel
    bool m_flushPosted = false;
    std::shared_ptr<void> m_readWatch;
    std::shared_ptr<void> m_writeWatch;
    std::shared_ptr<void> m_handshakeTimer;
};

}
