#pragma once

#include "protocol/codec.h"
#include "scheduling/stream_versions.h"
#include "soak/fleet_fixture.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarhead::soak {

using behavior = backend_standin::behavior;

constexpr std::size_t streamEvents = 4; ///< of a stand-in's stream
constexpr millis requestTime{4'000};
constexpr millis refusalTime{1'000}; ///< in which a caller must hear that a stream can't go on

/// A caller's attempt at a stream.
struct stream_attempt
{
    std::string id;
    std::unique_ptr<raw_socket> caller;
    std::string received;

    int status() const
    {
        return received.size() < 12 ? 0 : std::stoi(received.substr(9, 3));
    }
    /// The servers that brought its events, in order.
    std::vector<std::string> servers() const
    {
        std::vector<std::string> out;
        for (std::size_t at = received.find("data: "); at != std::string::npos;
             at = received.find("data: ", at + 1)) {
            out.push_back(received.substr(at + 6, received.find('\n', at) - at - 6));
        }
        return out;
    }
};

/// Model servers of two software versions serve side by side, v1 at first and v2 once startSecondVersion()
/// was called.
class versions_fixture : public fleet_fixture
{
protected:
    std::map<std::string, std::string> m_versions; ///< by server, as it began
    std::string m_startVersion = "v1";

    void prepareServer(backend_standin &server, const std::string &) override
    {
        server.softwareVersion = m_startVersion;
        m_versions[server.id] = m_startVersion;
    }
    /// Starts servers of v2, and waits until all daemons know them.
    void addSecondVersion(int count = 3)
    {
        m_startVersion = "v2";
        for (int i = 0; i < count; ++i) {
            startServer("llm");
        }
        runFor({2'500});
    }
    /// The same, and waits until all daemons begin streams at both versions.
    void startSecondVersion(int count = 3)
    {
        addSecondVersion(count);
        EXPECT_TRUE(runUntil([this] {
            error why;
            const auto item = m_store.items.find("briarhead/versions/llm");
            const auto record =
                item == m_store.items.end() ? std::nullopt : decodeServiceVersions(item->second.value, why);
            return record && record->versions.size() == 2 && record->base.empty();
        }));
        runFor(maxViewAge + millis{2'500});
    }
    std::vector<backend_standin *> modelServers()
    {
        std::vector<backend_standin *> out;
        for (const auto &[id, server] : m_servers) {
            if (id.starts_with("llm")) {
                out.push_back(server.get());
            }
        }
        return out;
    }
    void setBehavior(behavior value)
    {
        for (backend_standin *server : modelServers()) {
            server->currentBehavior = value;
        }
    }
    std::unique_ptr<stream_attempt> start(std::size_t daemon, const std::string &fields = "")
    {
        auto attempt = std::make_unique<stream_attempt>();
        attempt->id = "s" + std::to_string(++m_lastId);
        attempt->caller = raw_socket::connectTo(m_daemons[daemon].frontPort);
        attempt->caller->send("POST /resume/x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: " + attempt->id
            + "\r\nX-Briarhead-Deadline-Ms: " + std::to_string(requestTime.count)
            + "\r\nContent-Length: 0\r\nConnection: close\r\nX-Briarhead-Model: m0/a1\r\n"
              "X-Briarhead-Token-Count: 50,50\r\n"
            + fields + "\r\n");
        return attempt;
    }
    void finish(stream_attempt &attempt)
    {
        EXPECT_TRUE(runUntil([&attempt] {
            return !attempt.caller->receive(attempt.received);
        }));
    }
    /// Starts a stream that its server holds after two events.
    std::unique_ptr<stream_attempt> begin(std::size_t daemon)
    {
        setBehavior(behavior::HoldsStream);
        auto attempt = start(daemon);
        EXPECT_TRUE(runUntil([&attempt] {
            attempt->caller->receive(attempt->received);
            return attempt->servers().size() == 2;
        })) << attempt->received;
        setBehavior(behavior::Serves);
        return attempt;
    }
    /// Begins a stream on a server of the version, and leaves streams on others.
    std::unique_ptr<stream_attempt> beginAt(std::size_t daemon, const std::string &version)
    {
        for (int i = 0; i < 30; ++i) {
            auto attempt = begin(daemon);
            if (m_versions[attempt->servers().front()] == version) {
                return attempt;
            }
        }
        ADD_FAILURE() << "no stream began at " << version;
        return begin(daemon);
    }
    static std::string resumeFields(const std::string &id, int lastEvent = 2)
    {
        return "Last-Event-Id: " + std::to_string(lastEvent) + "\r\nResumes: " + id + "\r\n";
    }
    /// The caller hangs up and takes the stream up again at another daemon.
    std::unique_ptr<stream_attempt> takeUp(stream_attempt &begun, std::size_t daemon)
    {
        begun.caller->hangUp();
        auto attempt = start(daemon, resumeFields(begun.id));
        finish(*attempt);
        return attempt;
    }
    std::set<std::string> versionsOf(const std::vector<const stream_attempt *> &attempts)
    {
        std::set<std::string> out;
        for (const stream_attempt *attempt : attempts) {
            for (const std::string &server : attempt->servers()) {
                out.insert(m_versions.at(server));
            }
        }
        return out;
    }
    void expectGoesOn(stream_attempt &begun, const stream_attempt &resumed)
    {
        EXPECT_EQ(resumed.status(), 200) << resumed.received;
        EXPECT_EQ(begun.servers().size() + resumed.servers().size(), streamEvents) << resumed.received;
        EXPECT_EQ(versionsOf({&begun, &resumed}).size(), 1U) << begun.received << resumed.received;
    }
    void expectRefused(const stream_attempt &resumed)
    {
        EXPECT_EQ(resumed.status(), 503) << resumed.received;
        EXPECT_NE(resumed.received.find("Retry-After"), std::string::npos) << resumed.received;
    }
    /// It goes on at its version or is refused.
    void expectOneVersion(stream_attempt &begun, const stream_attempt &resumed)
    {
        if (resumed.status() == 200) {
            EXPECT_EQ(versionsOf({&begun, &resumed}).size(), 1U) << begun.received << resumed.received;
        } else {
            expectRefused(resumed);
        }
    }
    void removeServers(const std::string &version)
    {
        for (backend_standin *server : modelServers()) {
            if (server->softwareVersion == version) {
                const std::string id = server->id;
                m_store.remove("servers/" + id);
                m_servers.erase(id);
            }
        }
        runFor({2'500});
    }
};

}
