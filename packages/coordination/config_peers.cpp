#include "coordination/config_task.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

// The part of the config task that learns versions from peers and serves them.
namespace briarhead {

namespace {

using nlohmann::json;

/// A whole configuration goes out in frames of about this size. Each names all chunks, so that the receiver
/// knows when it has them, in whatever order they arrive.
constexpr std::size_t frameBytes = 1024 * 1024;
const std::string indexChunk = "index";
constexpr millis keepChunks{10'000};

bool isLive(const member &peer)
{
    return peer.state == peer_state::Alive || peer.state == peer_state::Suspect
        || peer.state == peer_state::Leaving;
}

}

void config_task::onMembers(const members_changed &news)
{
    const bool watched = watchesConfig(m_options.self, m_options.failureDomain, m_members);
    m_members = news.members;
    const bool watches = watchesConfig(m_options.self, m_options.failureDomain, m_members);
    if (watches && !watched) {
        m_readAt = std::min(m_readAt, bootNow()); // a watch begins after a read
    } else if (!watches) {
        m_watch.reset();
    }
    const auto have = m_current ? m_current->version : 0;
    std::erase_if(m_heard, [this](const auto &heard) {
        return std::ranges::none_of(m_members, [&heard](const member &peer) {
            return peer.name == heard.first && isLive(peer);
        });
    });
    for (const auto &peer : m_members) {
        if (peer.name != m_options.self && isLive(peer) && peer.configVersion > have) {
            m_heard[peer.name] = peer.configVersion;
        }
    }
}

void config_task::onVersionHeard(const peer_version_seen &news)
{
    if (m_current && news.version <= m_current->version) {
        return;
    }
    m_heard[news.peer] = news.version;
    m_silentPeers.erase(news.peer);
    if (!m_ask) {
        askNext();
    }
}

/// Asks the peer that holds the highest version. Without a configuration, first waits until all peers were
/// heard: starting from one that lags would bring an older version into force for a moment.
void config_task::askNext()
{
    if (m_heard.empty()) {
        return;
    }
    if (!m_current) {
        const bool allHeard = std::ranges::all_of(m_members, [this](const member &peer) {
            return peer.name == m_options.self || !isLive(peer) || peer.incarnation != 0;
        });
        const bool graceOver = bootNow() >= m_startedAt + m_options.peerGrace;
        if (!m_serviceDown || (!allHeard && !graceOver)) {
            return;
        }
    }
    const auto best = std::ranges::max_element(m_heard, {}, [this](const auto &heard) {
        // One that didn't answer comes last.
        return std::pair(!m_silentPeers.contains(heard.first), heard.second);
    });
    ask(best->first);
}

void config_task::ask(const std::string &peer)
{
    m_ask = peer_ask{peer, bootNow() + m_options.peerTimeout};
    m_bus.post(send_to{peer, config_request{m_current ? m_current->version : 0}});
}

void config_task::onAsk(const received<config_request> &question)
{
    config_response answer;
    answer.version = m_current ? m_current->version : 0;
    if (answer.version <= question.body.haveVersion) {
        m_bus.post(send_to{question.from, std::move(answer)});
        return;
    }
    const bool reaches = !m_recent.empty() && m_recent.front().base <= question.body.haveVersion;
    if (!reaches) {
        sendChunks(question.from);
        return;
    }
    for (const auto &patch : m_recent) {
        if (patch.base >= question.body.haveVersion) {
            answer.patches.push_back(toJson(patch));
        }
    }
    m_bus.post(send_to{question.from, std::move(answer)});
}

void config_task::sendChunks(const std::string &to)
{
    // Kept for a while: after an outage many new daemons may ask the same peer at once.
    if (m_chunksVersion != m_current->version) {
        m_chunks = toChunks(*m_current);
        m_chunksVersion = m_current->version;
    }
    m_chunksUntil = bootNow() + keepChunks;
    json names = json::array();
    for (const auto &[name, text] : m_chunks) {
        names.push_back(name);
    }
    const config_response empty{m_current->version, {}, {{indexChunk, names.dump()}}};
    auto frame = empty;
    std::size_t bytes = 0;
    for (const auto &[name, text] : m_chunks) {
        if (bytes + text.size() > frameBytes && bytes > 0) {
            m_bus.post(send_to{to, std::exchange(frame, empty)});
            bytes = 0;
        }
        frame.chunks.emplace_back(name, text);
        bytes += text.size();
    }
    m_bus.post(send_to{to, std::move(frame)});
}

void config_task::onAnswer(const received<config_response> &answer)
{
    m_silentPeers.erase(answer.from);
    const auto have = m_current ? m_current->version : 0;
    const bool mine = m_ask && m_ask->peer == answer.from;
    if (answer.body.version > have && !answer.body.chunks.empty()) {
        if (mine) {
            m_ask->until = bootNow() + m_options.peerTimeout; // more frames follow
        }
        takeChunks(answer.body);
    } else if (answer.body.version > have) {
        takePatches(answer.body);
    } else {
        m_heard.erase(answer.from);
    }
    if (mine && (m_current ? m_current->version : 0) >= answer.body.version) {
        m_ask.reset();
        askNext();
    }
}

void config_task::takePatches(const config_response &answer)
{
    std::vector<config_patch> patches;
    error why;
    for (const auto &text : answer.patches) {
        auto patch = parseStoredPatch(text, why);
        if (!patch) {
            break;
        }
        patches.push_back(std::move(*patch));
    }
    const auto next = applyAll(m_current ? m_current : emptyConfig(), patches, why);
    if (next && why.kind == error_kind::None && next->version > 0) {
        publish(next, patches);
    } else {
        spdlog::warn("config: a peer's patches don't fit: {}", message(why));
        m_readAt = std::min(m_readAt, bootNow());
    }
}

void config_task::takeChunks(const config_response &answer)
{
    if (answer.version != m_incoming.version) {
        m_incoming = {answer.version, {}};
    }
    for (const auto &[name, text] : answer.chunks) {
        m_incoming.texts.insert_or_assign(name, text);
    }
    const auto names = json::parse(m_incoming.texts[indexChunk], nullptr, false);
    const bool whole = names.is_array() && std::ranges::all_of(names, [this](const json &name) {
        return name.is_string() && m_incoming.texts.contains(name.get<std::string>());
    });
    if (!whole) {
        return;
    }
    auto texts = std::move(m_incoming.texts);
    m_incoming = {};
    texts.erase(indexChunk);
    error why;
    if (const auto next = fromChunks(answer.version, texts, why)) {
        publish(next, {});
    } else {
        spdlog::warn("config: a peer's configuration can't be read: {}", message(why));
    }
}

}
