#include "protocol/codec.h"
#include "serving/server_path_send.h"

#include <algorithm>
#include <utility>

// Relays requests of peers, and tells them which servers are reached from here.
namespace briarhead {

/// A request of a peer, from its arrival until the end of its response.
struct server_path_task::relayed_request
{
    relay_request request;
    std::shared_ptr<front_reply> reply;
    std::optional<backend_pool::send_id> poolId;
    bool understandsEnds = false; ///< the peer understands relay_response_end
    bool begun = false; ///< the response to the peer has begun
    std::shared_ptr<void> timer; ///< at the deadline
    std::shared_ptr<void> slowTimer; ///< while connecting

    void write(const relay_part &part)
    {
        if (!begun) {
            begun = true;
            reply->begin(relayedStatus, {}, body_framing::Chunked);
        }
        reply->write(frame(part));
    }
    /// Writes the last part. An older build can't be told that an end is unknown.
    void writeEnd(const response_end &end, const std::string &detail)
    {
        if (understandsEnds) {
            write(relay_response_end{static_cast<std::uint8_t>(end.framing), end.framingComplete,
                static_cast<std::uint8_t>(end.connection), detail});
        } else {
            write(relay_end{resultOf(end) == send_result::Complete, detail});
        }
        reply->end();
    }
};

bool server_path_task::onPeerRequest(const front_request &request, const std::shared_ptr<front_reply> &reply)
{
    const std::string &target = request.head.target;
    if (target.starts_with(reachTarget)) {
        onReachRequest(target.substr(reachTarget.size()), reply);
        return true;
    }
    if (target != relayTarget) {
        return false;
    }
    error why;
    if (const auto decoded = decodeRelayRequest(request.body, why)) {
        onRelayRequest(*decoded, findField(request.head, relayEndsField) != nullptr, reply);
    } else {
        reply->respond(400, {}, message(why));
    }
    return true;
}

void server_path_task::stopRelaying()
{
    m_relaying = false;
}

bool server_path_task::isRelaying() const
{
    return !m_relayed.empty();
}

/// Connects to the server on behalf of a peer. Several peers that ask at once share one attempt.
void server_path_task::onReachRequest(const std::string &server, const std::shared_ptr<front_reply> &reply)
{
    const backend_server *known = findServer(server);
    if (known == nullptr || m_paths.cutOff || isCut(m_paths, server)) {
        reply->respond(statusUnavailable, {}, "unknown or out of reach here\n");
        return;
    }
    auto &waiting = m_reachRequests[server];
    waiting.push_back(reply);
    if (waiting.size() > 1) {
        return;
    }
    m_peerProbes[server] =
        probeConnect(m_loop, known->address, probeTimeout, [this, server](connect_result result) {
            const auto handle = m_peerProbes.extract(server); // kept alive until the end of this call
            const bool reached = result == connect_result::Accepted;
            for (const auto &each : std::exchange(m_reachRequests[server], {})) {
                each->respond(reached ? statusReached : statusUnavailable, {},
                    reached ? "reached\n" : "out of reach\n");
            }
            m_reachRequests.erase(server);
            if (reached) {
                onConnected(server);
            }
        });
}

/// Why a peer's request is not sent to its server, or null if it is.
const char *server_path_task::relayRefusal(const relay_request &request, const backend_server *server) const
{
    if (!m_relaying) {
        return "this instance is ending";
    }
    if (server == nullptr || incarnationOf(*server) != request.incarnation) {
        return "the server is unknown here, or has restarted";
    }
    if (m_paths.cutOff || isCut(m_paths, request.server)) {
        return "the server is out of reach here too";
    }
    if (!maySend(m_notices.accessOf(*server), request.granted)) {
        return "the server is closed to this instance";
    }
    return m_relayed.size() >= maxRelayed ? "too many relayed requests" : nullptr;
}

void server_path_task::onRelayRequest(
    const relay_request &request, bool understandsEnds, const std::shared_ptr<front_reply> &reply)
{
    const backend_server *server = findServer(request.server);
    if (const char *refusal = relayRefusal(request, server)) {
        ++m_counters.refusedForPeers;
        reply->respond(statusUnavailable, {}, refusal);
        return;
    }
    ++m_counters.servedForPeers;
    const auto relayed = std::make_shared<relayed_request>();
    relayed->request = request;
    relayed->reply = reply;
    relayed->understandsEnds = understandsEnds;
    m_relayed.insert(relayed);
    const std::weak_ptr<relayed_request> weak = relayed;
    const auto finish = [this, weak](bool cancel) {
        const auto locked = weak.lock();
        if (!locked) {
            return;
        }
        if (cancel && locked->poolId) {
            m_pool.cancel(*locked->poolId);
        }
        locked->timer.reset();
        m_relayed.erase(locked);
    };
    reply->onDisconnect([finish] {
        finish(true);
    });
    const millis timeLeft{std::max<std::int64_t>(request.timeLeftMs, 1)};
    reply->setDeadline(bootNow() + timeLeft);
    relayed->timer = m_loop.timer(timeLeft, {}, [weak, finish] {
        if (const auto locked = weak.lock()) {
            const auto timer = std::exchange(locked->timer, nullptr); // kept alive until the end of this call
            locked->writeEnd(brokenEnd(connection_end::Timeout), "no response in time");
            finish(true);
        }
    });
    send_handlers handlers;
    handlers.onHead = [this, weak, incarnation = incarnationOf(*server)](const http_head &head) {
        const auto locked = weak.lock();
        if (!locked) {
            return true;
        }
        const response_meta meta = m_codec.readResponse(head);
        if (!meta.requestId.empty() && meta.requestId != locked->request.id) {
            return false;
        }
        m_notices.onResponse(locked->request.id, locked->request.server, incarnation, meta);
        relay_head part{head.status, head.reason, {}};
        for (const http_field &field : head.fields) {
            part.fields.emplace_back(field.name, field.value);
        }
        locked->write(part);
        return true;
    };
    handlers.onBody = [this, weak](std::string bytes) {
        if (const auto locked = weak.lock()) {
            locked->write(relay_body{std::move(bytes)});
            if (locked->poolId && locked->reply->pendingBytes() > maxUnsentResponseBytes) {
                m_pool.setReceiving(*locked->poolId, false);
            }
        }
    };
    reply->onDrained([this, weak] {
        const auto locked = weak.lock();
        if (locked && locked->poolId) {
            m_pool.setReceiving(*locked->poolId, true);
        }
    });
    handlers.onEnd = [weak, finish](const response_end &end, const error &why) {
        const auto locked = weak.lock();
        if (!locked) {
            return;
        }
        locked->poolId.reset();
        if (resultOf(end) == send_result::NotSent) {
            locked->reply->respond(relayUnreachedStatus, {}, why.detail);
        } else {
            locked->writeEnd(end, why.detail);
        }
        finish(false);
    };
    relayed->poolId = m_pool.start(server->address, request.bytes, request.noBody, std::move(handlers));
    // The peer has other ways to try, and little time left.
    relayed->slowTimer = m_loop.timer(slowConnect, {}, [this, weak, finish] {
        const auto locked = weak.lock();
        if (!locked || !locked->poolId || !m_pool.isConnecting(*locked->poolId)) {
            return;
        }
        const auto timer = std::exchange(locked->slowTimer, nullptr); // kept alive until the end of this call
        onConnectFailed(locked->request.server);
        locked->reply->respond(relayUnreachedStatus, {}, "the server did not accept the connection in time");
        finish(true);
    });
}

}
