#pragma once

#include "load/figures.h"
#include "transport/http_client.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace briarhead::load {

/// What runs, as the experiment script says.
struct fleet_place
{
    std::vector<std::string> entries; ///< URLs
    std::vector<std::string> engines; ///< URLs of the stand-ins
    std::string store; ///< URL of the stand-in
    std::string operatorKey;
    int standinsPid = 0; ///< 0: not known
};

std::string callerName(std::uint32_t caller);
std::string callerKey(std::uint32_t caller);
std::string adapterName(std::uint32_t adapter);

/// Calls to the fleet around the measurement. Each runs the loop until its answer is there; only for times at
/// which no load runs, but for those that take a callback.
class fleet_calls
{
public:
    fleet_calls(loop &eventLoop, http_client &client, fleet_place place);

    /// Submits the workload's adapters, callers, rule, target and policy; false with a reason on stderr.
    bool configure(const workload &of, double stallWeight);
    /// Waits until all entries are ready and every engine has an owner and its base model.
    bool waitWhole();
    /// Reads what the engines counted up to now, and then calls back.
    void readCounts(const std::function<void(const engine_counts &)> &then);
    void coldStart(std::uint32_t engines);
    void slowStore(double share);

private:
    http_result ask(
        const std::string &method, const std::string &url, const std::string &body, bool byOperator);
    bool submit(nlohmann::json set);
    bool eventually(const std::function<bool()> &holds);
    void pause(millis span);
    double standinsCpuSeconds() const;

    loop &m_loop;
    http_client &m_client;
    fleet_place m_place;
    std::uint64_t m_version = 0;
};

/// Penalty for each missed request in the target that configure() submits.
double penaltyPerMiss(const workload &of);

}
