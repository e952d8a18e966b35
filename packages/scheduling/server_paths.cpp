#include "scheduling/server_paths.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace briarhead {

namespace {

/// The cut links that failed after the latest successful connection to any server. Earlier failures concern
/// those links alone.
std::size_t cutsSinceLastConnection(const server_paths &paths)
{
    return static_cast<std::size_t>(
        std::count_if(paths.failing.begin(), paths.failing.end(), [&paths](const auto &each) {
            return each.second.reach == peer_reach::Reached && each.second.since > paths.lastConnectedAt;
        }));
}

}

bool recordConnected(server_paths &paths, const std::string &server, millis now)
{
    paths.lastConnectedAt = now;
    const bool wasCutOff = std::exchange(paths.cutOff, false);
    return paths.failing.erase(server) != 0 || wasCutOff;
}

void recordConnectFailed(server_paths &paths, const std::string &server, millis now)
{
    paths.failing.try_emplace(server, failing_path{now, peer_reach::Unknown, {}});
}

bool recordReach(
    server_paths &paths, const std::string &server, bool reached, std::size_t servers, millis now)
{
    const auto found = paths.failing.find(server);
    if (found == paths.failing.end()) {
        return false;
    }
    found->second.reach = reached ? peer_reach::Reached : peer_reach::Unreached;
    found->second.checkedAt = now;
    const std::size_t cuts = cutsSinceLastConnection(paths);
    const bool wasCutOff = paths.cutOff;
    paths.cutOff = wasCutOff || (cuts > 0 && cuts >= std::min(cutsToBeCutOff, servers));
    return paths.cutOff && !wasCutOff;
}

void forgetPath(server_paths &paths, const std::string &server)
{
    paths.failing.erase(server);
}

send_route routeTo(const server_paths &paths, const std::string &server)
{
    const bool relayed = paths.cutOff || isCut(paths, server) || cutsSinceLastConnection(paths) > 0;
    return relayed ? send_route::Relayed : send_route::Direct;
}

bool needsReachCheck(const server_paths &paths, const std::string &server, millis now)
{
    const auto found = paths.failing.find(server);
    if (found == paths.failing.end() || found->second.reach == peer_reach::Reached) {
        return false;
    }
    return found->second.reach == peer_reach::Unknown || now - found->second.checkedAt >= unreachedFor;
}

bool isCut(const server_paths &paths, const std::string &server)
{
    const auto found = paths.failing.find(server);
    return found != paths.failing.end() && found->second.reach == peer_reach::Reached;
}

std::optional<std::size_t> chooseRelay(const std::vector<relay_candidate> &candidates)
{
    const auto local = std::count_if(candidates.begin(), candidates.end(), [](const relay_candidate &each) {
        return each.sameDomain;
    });
    const auto usableLocal =
        std::count_if(candidates.begin(), candidates.end(), [](const relay_candidate &each) {
            return each.sameDomain && !each.excluded;
        });
    const bool localOnly = usableLocal > 0 && usableLocal * 2 >= local;
    std::optional<std::size_t> best;
    const auto rank = [&candidates](std::size_t i) {
        return std::tuple(candidates[i].inFlight, candidates[i].tieBreak);
    };
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].excluded || (localOnly && !candidates[i].sameDomain)) {
            continue;
        }
        if (!best || rank(i) < rank(*best)) {
            best = i;
        }
    }
    return best;
}

}
