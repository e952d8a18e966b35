#include "coordination/config_task.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

// The part of the config task that requests newer versions from peers and serves peers' requests.
namespace briarhead {

namespace {

using nlohmann::json;

/// A complete configuration is sent in frames of about this size. Each frame names all chunks, so that the
/// receiver knows when it has them all, whatever the order of the frames.
constexpr std::size_t targetFrameBytes = 1024 * 1024;
const std::string indexChunk = "index";
constexpr millis chunkCacheTime{10'000};

bool isLive(const member &peer)
{
    return peer.state == peer_state::Alive || peer.state == peer_state::Suspect
        || peer.state == peer_state::Leaving;
}

}

void config_task::onMembers(const members_changed &change)
{
    const bool watchedBefore = watchesConfig(m_options.self, m_options.failureDomain, m_members);
    m_members = change.members;
    const bool watches = watchesConfig(m_options.self, m_options.failureDomain, m_members);
    if (watches && !watchedBefore) {
        m_readAt = std::min(m_readAt, bootNow()); // a watch starts after a read
    } else if (!watches) {
        m_watch.reset();
    }
    const auto ownVersion = m_current ? m_current->version : 0;
    std::erase_if(m_newerVersions, [this](const auto &held) {
        return std::ranges::none_of(m_members, [&held](const member &peer) {
            return peer.name == held.first && isLive(peer);
        });
    });
    for (const auto &peer : m_members) {
        if (peer.name != m_options.self && isLive(peer) && peer.configVersion > ownVersion) {
            m_newerVersions[peer.name] = peer.configVersion;
        }
    }
}

void config_task::onPeerVersionSeen(const peer_version_seen &update)
{
    if (m_current && update.version <= m_current->version) {
        return;
    }
    m_newerVersions[update.peer] = update.version;
    m_unresponsivePeers.erase(update.peer);
    if (!m_openRequest) {
        requestFromBestPeer();
    }
}

/// Requests the configuration from the peer that holds the highest version. Without a configuration of its
/// own it first waits until the versions of all peers are known: starting from a peer that lags would put an
/// older version into force for a moment.
void config_task::requestFromBestPeer()
{
    if (m_newerVersions.empty()) {
        return;
    }
    if (!m_current) {
        const bool allVersionsKnown = std::ranges::all_of(m_members, [this](const member &peer) {
            return peer.name == m_options.self || !isLive(peer) || peer.incarnation != 0;
        });
        const bool graceExpired = bootNow() >= m_startedAt + m_options.peerGrace;
        if (!m_serviceDown || (!allVersionsKnown && !graceExpired)) {
            return;
        }
    }
    const auto best = std::ranges::max_element(m_newerVersions, {}, [this](const auto &held) {
        // A peer that left a request unanswered comes last.
        return std::pair(!m_unresponsivePeers.contains(held.first), held.second);
    });
    sendRequest(best->first);
}

void config_task::sendRequest(const std::string &peer)
{
    m_openRequest = peer_request{peer, bootNow() + m_options.peerTimeout};
    m_bus.post(send_to{peer, config_request{m_current ? m_current->version : 0}});
}

void config_task::onConfigRequest(const received<config_request> &request)
{
    config_response response;
    response.version = m_current ? m_current->version : 0;
    if (response.version <= request.body.haveVersion) {
        m_bus.post(send_to{request.from, std::move(response)});
        return;
    }
    const bool patchesSuffice = !m_recent.empty() && m_recent.front().base <= request.body.haveVersion;
    if (!patchesSuffice) {
        sendChunks(request.from);
        return;
    }
    for (const auto &patch : m_recent) {
        if (patch.base >= request.body.haveVersion) {
            response.patches.push_back(toJson(patch));
        }
    }
    m_bus.post(send_to{request.from, std::move(response)});
}

void config_task::sendChunks(const std::string &to)
{
    // Cached for chunkCacheTime, since after an outage many new daemons may request them from the same peer
    // at once.
    if (m_chunksVersion != m_current->version) {
        m_chunks = toChunks(*m_current);
        m_chunksVersion = m_current->version;
    }
    m_chunksUntil = bootNow() + chunkCacheTime;
    json names = json::array();
    for (const auto &[name, text] : m_chunks) {
        names.push_back(name);
    }
    const config_response empty{m_current->version, {}, {{indexChunk, names.dump()}}};
    auto frame = empty;
    std::size_t bytes = 0;
    for (const auto &[name, text] : m_chunks) {
        if (bytes + text.size() > targetFrameBytes && bytes > 0) {
            m_bus.post(send_to{to, std::exchange(frame, empty)});
            bytes = 0;
        }
        frame.chunks.emplace_back(name, text);
        bytes += text.size();
    }
    m_bus.post(send_to{to, std::move(frame)});
}

void config_task::onConfigResponse(const received<config_response> &response)
{
    m_unresponsivePeers.erase(response.from);
    const auto ownVersion = m_current ? m_current->version : 0;
    const bool requested = m_openRequest && m_openRequest->peer == response.from;
    if (response.body.version > ownVersion && !response.body.chunks.empty()) {
        if (requested) {
            m_openRequest->until = bootNow() + m_options.peerTimeout; // more frames may follow
        }
        collectPeerChunks(response.body);
    } else if (response.body.version > ownVersion) {
        applyPeerPatches(response.body);
    } else {
        m_newerVersions.erase(response.from);
    }
    if (requested && (m_current ? m_current->version : 0) >= response.body.version) {
        m_openRequest.reset();
        requestFromBestPeer();
    }
}

void config_task::applyPeerPatches(const config_response &response)
{
    std::vector<config_patch> patches;
    error why;
    for (const auto &text : response.patches) {
        auto patch = parseStoredPatch(text, why);
        if (!patch) {
            break;
        }
        patches.push_back(std::move(*patch));
    }
    const auto next = applyPatches(m_current ? m_current : emptyConfig(), patches, why);
    if (next && why.kind == error_kind::None && next->version > 0) {
        publish(next, patches);
    } else {
        spdlog::warn("config: ignoring patches from a peer that do not fit; reading the head instead: {}",
            message(why));
        m_readAt = std::min(m_readAt, bootNow());
    }
}

void config_task::collectPeerChunks(const config_response &response)
{
    if (response.version != m_incoming.version) {
        m_incoming = {response.version, {}};
    }
    for (const auto &[name, text] : response.chunks) {
        m_incoming.texts.insert_or_assign(name, text);
    }
    const auto names = json::parse(m_incoming.texts[indexChunk], nullptr, false);
    const bool complete = names.is_array() && std::ranges::all_of(names, [this](const json &name) {
        return name.is_string() && m_incoming.texts.contains(name.get<std::string>());
    });
    if (!complete) {
        return;
    }
    auto texts = std::move(m_incoming.texts);
    m_incoming = {};
    texts.erase(indexChunk);
    error why;
    if (const auto next = fromChunks(response.version, texts, why)) {
        publish(next, {});
    } else {
        spdlog::warn("config: ignoring an unreadable configuration from a peer: {}", message(why));
    }
}

}
