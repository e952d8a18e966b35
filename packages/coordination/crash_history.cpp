#include "coordination/crash_history.h"

#include "coordination/request_attributes.h"

#include <algorithm>
#include <iterator>

namespace briarhead {

namespace {

/// Makes room for one more attribute by removing the one seen least recently; convicted ones are removed
/// last.
void makeRoom(crash_history &history)
{
    const auto goesFirst = [](const auto &a, const auto &b) {
        const bool convictedA = a.second.incarnations.size() >= crashesToBlock;
        const bool convictedB = b.second.incarnations.size() >= crashesToBlock;
        return convictedA != convictedB ? convictedB : a.second.lastSeen < b.second.lastSeen;
    };
    if (history.attributes.size() >= maxTrackedAttributes) {
        const auto removed =
            std::min_element(history.attributes.begin(), history.attributes.end(), goesFirst);
        history.convicted.erase(removed->first);
        history.attributes.erase(removed);
    }
}

/// Number of an attribute's crashes that no convicted, narrower attribute explains which the request doesn't
/// have. Of contents at most one explains crashes: each of a series of requests would explain those that its
/// own repetitions caused.
std::size_t unexplainedCrashes(
    const crash_history &history, const tracked_attribute &entry, const request_attributes &attributes)
{
    std::set<std::string> byParts;
    std::set<std::string> byContent;
    for (const std::string &key : history.convicted) {
        const tracked_attribute &other = history.attributes.at(key);
        if (other.rank <= entry.rank || hasAttribute(attributes, key)) {
            continue;
        }
        std::set<std::string> common;
        std::set_intersection(entry.incarnations.begin(), entry.incarnations.end(),
            other.incarnations.begin(), other.incarnations.end(), std::inserter(common, common.end()));
        if (other.rank != contentRank) {
            byParts.merge(common);
        } else if (common.size() > byContent.size()) {
            byContent = std::move(common);
        }
    }
    byParts.merge(byContent);
    return entry.incarnations.size() - byParts.size();
}

}

bool recordCrashes(crash_history &history, const request_attribute &attribute,
    const std::vector<std::string> &servers, millis now)
{
    if (servers.empty()) {
        return false;
    }
    if (history.attributes.count(attribute.key) == 0) {
        makeRoom(history);
    }
    tracked_attribute &entry = history.attributes[attribute.key];
    entry.rank = std::min(entry.rank, attribute.rank);
    entry.lastSeen = now;
    const std::size_t before = entry.incarnations.size();
    for (const std::string &server : servers) {
        if (entry.incarnations.size() < maxCrashesKept && entry.exonerated.count(server) == 0) {
            entry.incarnations.insert(server);
        }
    }
    const bool isNew = entry.incarnations.size() > before;
    if (isNew && entry.incarnations.size() >= crashesToBlock) {
        entry.delayFrom = now;
        history.convicted.insert(attribute.key);
    }
    return isNew;
}

std::vector<std::string> crashesOf(const crash_history &history, const std::string &key)
{
    const auto found = history.attributes.find(key);
    if (found == history.attributes.end()) {
        return {};
    }
    return {found->second.incarnations.begin(), found->second.incarnations.end()};
}

bool isConvicted(const crash_history &history, const std::string &key)
{
    return history.convicted.count(key) != 0;
}

request_attributes blockingAttributes(const crash_history &history, const request_attributes &attributes)
{
    request_attributes blocking;
    for (const request_attribute &each : attributes) {
        if (isConvicted(history, each.key)
            && unexplainedCrashes(history, history.attributes.at(each.key), attributes)
                >= unexplainedCrashesToBlock) {
            blocking.push_back(each);
        }
    }
    return blocking;
}

bool exonerate(crash_history &history, const std::string &key)
{
    const auto found = history.attributes.find(key);
    if (found == history.attributes.end() || found->second.incarnations.empty()) {
        return false;
    }
    tracked_attribute &entry = found->second;
    if (entry.exonerated.size() + entry.incarnations.size() > maxCrashesKept) {
        entry.exonerated.clear();
    }
    entry.exonerated.merge(entry.incarnations);
    entry.incarnations.clear();
    entry.probes = 0;
    history.convicted.erase(key);
    return true;
}

void recordProbes(crash_history &history, const std::string &key, std::uint32_t probes, millis now)
{
    const auto found = history.attributes.find(key);
    if (found != history.attributes.end() && probes > found->second.probes) {
        found->second.probes = probes;
        found->second.delayFrom = now;
    }
}

std::uint32_t probesOf(const crash_history &history, const std::string &key)
{
    const auto found = history.attributes.find(key);
    return found == history.attributes.end() ? 0 : found->second.probes;
}

millis timeUntilProbe(const crash_history &history, const std::string &key, millis now)
{
    const auto found = history.attributes.find(key);
    if (found == history.attributes.end() || found->second.probes >= history.delays.size()) {
        return crashRetention;
    }
    return found->second.delayFrom + history.delays[found->second.probes] - now;
}

void refreshLastSeen(crash_history &history, const std::string &key, millis now)
{
    const auto found = history.attributes.find(key);
    if (found != history.attributes.end()) {
        found->second.lastSeen = now;
    }
}

void forget(crash_history &history, const std::string &key)
{
    history.convicted.erase(key);
    history.attributes.erase(key);
}

std::vector<std::string> expiredAttributes(const crash_history &history, millis now)
{
    std::vector<std::string> old;
    for (const auto &[key, entry] : history.attributes) {
        if (now - entry.lastSeen >= crashRetention) {
            old.push_back(key);
        }
    }
    return old;
}

}
