#pragma once

#include "protocol/messages.h"
#include "state/clock.h"
#include "state/error.h"
#include "transport/loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace briarhead {

/// Traffic on a daemon's peer port, for metrics.
struct peer_counters
{
    std::uint64_t datagramsOut = 0;
    std::uint64_t datagramsIn = 0;
    std::uint64_t datagramBytesOut = 0;
    std::uint64_t datagramBytesIn = 0;
    std::uint64_t framesOut = 0;
    std::uint64_t framesIn = 0;
    std::uint64_t frameBytesOut = 0;
    std::uint64_t frameBytesIn = 0;
    std::uint64_t controlBytesOut = 0; ///< the part of frameBytesOut that is not run_* messages
    std::uint64_t controlBytesIn = 0; ///< the part of frameBytesIn that is not run_* messages
    std::uint64_t dropped = 0; ///< inputs that were truncated, undecodable, not authentic or unexpected
};

/// A peer's IP address and port.
struct peer_address
{
    std::string ip;
    std::uint16_t port = 0;

    // clang-tidy 14 takes the zero in the generated comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const peer_address &, const peer_address &) = default;
};

/// Links between daemons: UDP datagrams and TCP frames on one port number, authenticated with the key from
/// the settings (keyed BLAKE2b). Frames use per-connection keys and counters, so that a frame cannot be
/// replayed or reordered. Truncated, undecodable or unauthenticated input is counted and dropped; on TCP
/// the connection is closed as well.
class peer_link
{
public:
    struct handlers
    {
        /// Called for each frame; `from` is the authenticated instance name from the peer's hello.
        std::function<void(const std::string &from, std::uint64_t incarnation, peer_message message)>
            onMessage;
        std::function<void(const peer_address &from, const peer_datagram &datagram)> onDatagram;
        /// The link to a peer is lost; messages queued on it may or may not have arrived.
        std::function<void(const std::string &name)> onBroken;
        /// Optional. Called right before onBroken for each queued message that the peer cannot have
        /// received. All other messages may have arrived.
        std::function<void(const std::string &name, const peer_message &message)> onUnsent;
    };

    /// Binds the daemon's peer port; port 0 selects a free port. Returns null and sets `why` on failure.
    static std::unique_ptr<peer_link> open(loop &eventLoop, const std::string &self,
        std::uint64_t incarnation, const peer_address &bind, const std::string &hexKey, handlers calls,
        error &why);
    virtual ~peer_link() = default;
    virtual std::uint16_t port() const = 0;

    virtual void sendDatagram(const peer_address &to, const peer_datagram &datagram) = 0;
    /// Queues a frame on the connection to a peer, whichever side opened it, and connects to `to` if there
    /// is none. Returns false only if nothing was sent and nothing will be.
    virtual bool send(const std::string &name, const peer_address &to, const peer_message &message) = 0;
    /// Bytes queued for a peer.
    virtual std::size_t queuedBytes(const std::string &name) const = 0;
    /// Closes the connections to a peer that was found dead by other means. If there were any, onBroken is
    /// called later.
    virtual void close(const std::string &name) = 0;
    /// Like close(), but only if the connection is to an incarnation before `incarnation`.
    virtual void closeOlderIncarnations(const std::string &name, std::uint64_t incarnation) = 0;
    virtual const peer_counters &counters() const = 0;
};

}
