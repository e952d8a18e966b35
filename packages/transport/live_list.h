#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "transport/http_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace briarhead {

/// The kind of an instance in the live list.
enum class instance_kind : std::uint8_t
{
    Entry, ///< runs briarheadd
    Engine, ///< backend server: model engine
    Service, ///< backend server: plain service
};

std::string_view nameOf(instance_kind value);

/// One item of the platform's list of live and leaving instances.
struct live_instance
{
    std::string name;
    instance_kind kind = instance_kind::Entry;
    std::string region;
    std::string failureDomain;
    std::string address; ///< numeric IP address
    std::uint16_t port = 0; ///< entry: its port for peers
    std::uint16_t callerPort = 0; ///< entry: its port for callers
    std::string service; ///< service: its name; engine: its base model
    bool leaving = false;

    friend bool operator==(const live_instance &, const live_instance &) = default;
};

/// The list as last received, by instance name. It lags behind the platform.
struct live_view
{
    std::uint64_t revision = 0;
    std::map<std::string, live_instance> instances;
};

/// Follows the platform's list with GET {url}/instances?since=REVISION&region=REGION. The response holds the
/// changes since that revision, or the whole list ("whole": true) if the service cannot compute a difference:
///   {"revision": 7, "whole": false, "changed": [{"name": "e1", "kind": "engine", "region": "hr-north",
///    "failure_domain": "vz-centar", "address": "127.0.0.1", "port": 9001, "service": "base-7b",
///    "leaving": false}], "gone": ["e2"]}
class live_list
{
public:
    live_list(loop &eventLoop, http_client &http, std::string url, std::string region);

    /// Sends one request. `done` gets the updated view, or the unchanged one and ok = false after a failure.
    void poll(std::function<void(const live_view &view, bool ok)> done);
    const live_view &view() const;

private:
    loop &m_loop;
    http_client &m_http;
    std::string m_url;
    std::string m_region;
    live_view m_view;
};

}
