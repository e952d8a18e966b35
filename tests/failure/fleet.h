#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace briarhead::testing {

using json = nlohmann::json;

/// What a call over HTTP gave.
struct answer
{
    int status = 0; ///< 0: no answer
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool whole = false;

    json parsed() const;
    std::string outcome() const; ///< "done" for 200, else what the error body says
};

/// One blocking call; `headers` are "Name: value" lines.
answer call(const std::string &method, const std::string &url, const std::string &body = "",
    const std::vector<std::string> &headers = {}, long timeoutMs = 30'000);

/// Waits until `condition` holds, for at most a generous time; false if it never did.
bool eventually(const std::function<bool()> &condition, int boundMs = 30'000);

/// What to start.
struct fleet_options
{
    std::size_t daemons = 3;
    std::vector<std::string> domains{"zg-dubrava", "vz-centar", "ka-banija"};
    json engines = json::array(); ///< groups as the stand-ins take them; empty: 6 engines that check fencing
    double leaseScale = 1;
    std::int64_t leaseTtlMs = 2'000;
    json store{{"loads_per_second", 30}};
    json settings = json::object(); ///< laid over each daemon's settings
    bool startDaemons = true;
    bool seed = true; ///< submit the first configuration
    std::size_t adapters = 50; ///< in the first configuration
    int startBoundMs = 30'000; ///< for all daemons to be ready and all engines to be owned
    /// Daemons' ports count up from here; 0 takes any free ones. Those lie among the ports that outgoing
    /// connections take, so in a large fleet one may be gone before its daemon binds it.
    std::uint16_t firstPort = 0;
};

/// Stand-ins and daemons as real processes on loopback, ended with the object.
class fleet
{
public:
    explicit fleet(const fleet_options &options = {});
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    void start(std::size_t daemon);
    void signal(std::size_t daemon, int number) const;
    /// Ends a daemon with SIGKILL and waits for it.
    void kill(std::size_t daemon);
    /// Waits for a daemon to end by itself; its exit code, or -1 when it did not within the bound.
    int waitExit(std::size_t daemon, int boundMs = 30'000);
    std::size_t size() const;

    std::string url(std::size_t daemon) const;
    std::string name(std::size_t daemon) const;
    pid_t pid(std::size_t daemon) const; ///< 0: not running
    /// What a daemon has logged so far.
    std::string log(std::size_t daemon) const;
    std::string engineUrl(const std::string &engine) const;
    std::vector<std::string> engines() const;
    const json &ports() const;

    /// Waits until all running daemons are ready and every engine has an owner.
    bool whole(int boundMs = 30'000) const;
    json servers(std::size_t askedDaemon = 0) const;
    /// The daemon that owns an engine, or size() when none does.
    std::size_t ownerOf(const std::string &engine, std::size_t askedDaemon = 0) const;

    answer complete(std::size_t daemon, const std::string &adapter, const std::string &prompt = "hello",
        int tokens = 4, const std::vector<std::string> &headers = {}, long timeoutMs = 30'000) const;
    answer patch(
        const json &set, std::uint64_t base, std::size_t daemon = 0, const std::string &id = "") const;
    std::uint64_t version(std::size_t daemon) const;

    void faults(const std::string &engine, const json &faults) const;
    void kvFaults(const json &faults) const;
    json record(const std::string &engine) const;
    /// Cold starts that all engines have recorded.
    std::size_t coldStarts() const;
    /// All runs that the engines themselves recorded, and what they saw as violations.
    std::vector<json> runs() const;
    std::vector<json> violations() const;

    static const std::string callerKey;
    static const std::string operatorKey;

private:
    struct process
    {
        pid_t pid = 0;
        std::uint16_t callerPort = 0;
        std::uint16_t peerPort = 0;
        std::string settingsPath;
    };

    void startAll();
    void endAll();
    void startStandins();
    std::string logs() const;

    fleet_options m_options;
    std::string m_folder;
    pid_t m_standins = 0;
    json m_ports;
    std::vector<process> m_daemons;
};

/// The configuration of the tests: adapters a0..aN on base model "base", the caller's key, one service.
json firstConfiguration(std::size_t adapters);

}
