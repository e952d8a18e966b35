#pragma once

#include "soak/fleet_fixture.h"

namespace briarhead::soak {

/// Requests that crash servers may reach so many further ones, once the daemons have had time to tell each
/// other.
constexpr std::size_t sendsAllowed = 3;
constexpr millis contact{3'000};
/// A server that crashed is back after this long, as another one; its entry stays for longer.
constexpr millis serverBack{300};
constexpr millis entryStays{900};

/// A fleet whose servers crash under some of the requests that they run.
class crashing_fixture : public fleet_fixture
{
protected:
    std::size_t m_crashes = 0;
    millis m_crashedAt; ///< the latest one

    /// To be called for each start of a server.
    void crashUnderFatalRequests(backend_standin &server, const std::string &service)
    {
        server.onFatal = [this, id = server.id, service](const std::string &) {
            crash(id, service);
        };
    }
    virtual void onCrash(const backend_standin &)
    {
    }

private:
    void crash(const std::string &id, const std::string &service)
    {
        const auto server = m_servers.find(id);
        if (server == m_servers.end()) {
            return; // another run crashed it at the same moment
        }
        ++m_crashes;
        m_crashedAt = bootNow();
        onCrash(*server->second);
        m_servers.erase(server);
        after(serverBack, [this, service] {
            startServer(service);
        });
        after(entryStays, [this, id] {
            m_store.remove("servers/" + id);
        });
    }
};

}
