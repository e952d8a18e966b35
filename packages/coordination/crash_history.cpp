#include "coordination/crash_history.h"

#include <algorithm>

namespace briarhead {

namespace {

/// Makes room for one more request by removing the one seen least recently; blocked requests are removed
/// last.
void makeRoom(crash_history &history)
{
    const auto goesFirst = [](const auto &a, const auto &b) {
        const bool blockedA = a.second.incarnations.size() >= crashesToBlock;
        const bool blockedB = b.second.incarnations.size() >= crashesToBlock;
        return blockedA != blockedB ? blockedB : a.second.lastSeen < b.second.lastSeen;
    };
    if (history.requests.size() >= maxTrackedRequests) {
        history.requests.erase(std::min_element(history.requests.begin(), history.requests.end(), goesFirst));
    }
}

}

bool recordCrashes(crash_history &history, const std::string &fingerprint,
    const std::vector<std::string> &servers, millis now)
{
    if (servers.empty()) {
        return false;
    }
    if (history.requests.count(fingerprint) == 0) {
        makeRoom(history);
    }
    tracked_request &entry = history.requests[fingerprint];
    entry.lastSeen = now;
    const std::size_t before = entry.incarnations.size();
    for (const std::string &server : servers) {
        if (entry.incarnations.size() < crashesToBlock) {
            entry.incarnations.insert(server);
        }
    }
    const bool isNew = entry.incarnations.size() > before;
    if (isNew && entry.incarnations.size() >= crashesToBlock) {
        entry.delayFrom = now;
    }
    return isNew;
}

std::vector<std::string> crashesOf(const crash_history &history, const std::string &fingerprint)
{
    const auto found = history.requests.find(fingerprint);
    if (found == history.requests.end()) {
        return {};
    }
    return {found->second.incarnations.begin(), found->second.incarnations.end()};
}

bool isBlocked(const crash_history &history, const std::string &fingerprint)
{
    const auto found = history.requests.find(fingerprint);
    return found != history.requests.end() && found->second.incarnations.size() >= crashesToBlock;
}

void recordProbes(crash_history &history, const std::string &fingerprint, std::uint32_t probes, millis now)
{
    const auto found = history.requests.find(fingerprint);
    if (found != history.requests.end() && probes > found->second.probes) {
        found->second.probes = probes;
        found->second.delayFrom = now;
    }
}

std::uint32_t probesOf(const crash_history &history, const std::string &fingerprint)
{
    const auto found = history.requests.find(fingerprint);
    return found == history.requests.end() ? 0 : found->second.probes;
}

millis timeUntilProbe(const crash_history &history, const std::string &fingerprint, millis now)
{
    const auto found = history.requests.find(fingerprint);
    if (found == history.requests.end() || found->second.probes >= history.delays.size()) {
        return crashRetention;
    }
    return found->second.delayFrom + history.delays[found->second.probes] - now;
}

void refreshLastSeen(crash_history &history, const std::string &fingerprint, millis now)
{
    const auto found = history.requests.find(fingerprint);
    if (found != history.requests.end()) {
        found->second.lastSeen = now;
    }
}

void forget(crash_history &history, const std::string &fingerprint)
{
    history.requests.erase(fingerprint);
}

std::vector<std::string> expiredRequests(const crash_history &history, millis now)
{
    std::vector<std::string> old;
    for (const auto &[fingerprint, entry] : history.requests) {
        if (now - entry.lastSeen >= crashRetention) {
            old.push_back(fingerprint);
        }
    }
    return old;
}

}
