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

/// Counts what goes over a daemon's own port, for metrics and the capacity page.
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
    std::uint64_t controlBytesOut = 0; ///< of frameBytesOut: all but run_* messages
    std::uint64_t controlBytesIn = 0;
    std::uint64_t dropped = 0; ///< truncated, unauthentic or undecodable, or from a stranger
};

/// An address of a peer by IP number.
struct peer_address
{
    std::string ip;
    std::uint16_t port = 0;

    // clang-tidy 14 takes the zero in the generated comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const peer_address &, const peer_address &) = default;
};

/// Links between daemons: UDP datagrams and TCP frames on one port number, each authenticated with
/// the key of the settings (BLAKE2b keyed; frames by per-connection keys and counters, so that a frame
/// can't be replayed or moved). A broken, truncated or unauthentic input is counted and dropped; on
/// TCP the link is closed as well.
class peer_link
{
public:
    struct handlers
    {
        /// A frame from a peer; `from` is the authenticated instance name of its hello.
        std::function<void(const std::string &from, std::uint64_t incarnation, peer_message message)>
            onMessage;
        std::function<void(const peer_address &from, const peer_datagram &datagram)> onDatagram;
        /// A link broke; messages queued on it may or may not have arrived.
        std::function<void(const std::string &name)> onBroken;
        /// Optional: a queued message that the peer can't have got, called for each right before
        /// onBroken. What is not named here may have arrived.
        std::function<void(const std::string &name, const peer_message &message)> onUnsent;
    };

    /// `why` tells what failed. Port 0 takes a free one.
    static std::unique_ptr<peer_link> open(loop &eventLoop, const std::string &self,
        std::uint64_t incarnation, const peer_address &bind, const std::string &hexKey, handlers calls,
        error &why);
    virtual ~peer_link() = default;
    virtual std::uint16_t port() const = 0;

    virtual void sendDatagram(const peer_address &to, const peer_datagram &datagram) = 0;
    /// Queues a frame, connecting first where no link stands (either side's connection is used). False:
    /// certain that nothing was or will be sent.
    virtual bool send(const std::string &name, const peer_address &to, const peer_message &message) = 0;
    /// Bytes queued on the link to a peer.
    virtual std::size_t queuedBytes(const std::string &name) const = 0;
    /// Ends the links to a peer, found dead by other means; onBroken follows where there was one.
    virtual void close(const std::string &name) = 0;
    /// The same for links to the peer's processes before `incarnation` only.
    virtual void closeOlderIncarnations(const std::string &name, std::uint64_t incarnation) = 0;
    virtual const peer_counters &counters() const = 0;
};

}
