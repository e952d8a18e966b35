#include "scheduling/stream_versions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarhead {

namespace {

/// Drops expired origins, and the oldest ones beyond maxOrigins.
void dropOldOrigins(stream_origins &origins, millis now)
{
    while (!origins.byUse.empty()) {
        const auto &[usedAt, id] = origins.byUse.front();
        const auto found = origins.byId.find(id);
        const bool outdated = found == origins.byId.end() || found->second.usedAt != usedAt;
        if (!outdated && now - usedAt <= originLifetime && origins.byId.size() <= maxOrigins) {
            return;
        }
        if (!outdated) {
            origins.byId.erase(found);
        }
        origins.byUse.pop_front();
    }
}

bool contains(const std::vector<std::string> &versions, const std::string &version)
{
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

std::size_t stayingOf(const staying_servers &staying, const std::string &version)
{
    const auto found = staying.find(version);
    return found == staying.end() ? 0 : found->second;
}

}

void recordOrigin(stream_origins &origins, const std::string &id, const stream_origin &origin, millis now)
{
    const auto [found, isNew] = origins.byId.try_emplace(id, stream_origins::entry{origin, now});
    if (!isNew && found->second.usedAt == now && found->second.origin == origin) {
        return;
    }
    const bool ambiguous = found->second.ambiguous || !(found->second.origin == origin);
    found->second = {origin, now, ambiguous};
    origins.byUse.emplace_back(now, id);
    dropOldOrigins(origins, now);
}

const stream_origin *findOrigin(stream_origins &origins, const std::string &id, millis now)
{
    const auto found = origins.byId.find(id);
    if (found == origins.byId.end() || found->second.ambiguous
        || now - found->second.usedAt > originLifetime) {
        return nullptr;
    }
    if (found->second.usedAt != now) {
        found->second.usedAt = now;
        origins.byUse.emplace_back(now, id);
    }
    return &found->second.origin;
}

void recordVersions(
    version_sightings &sightings, const std::map<std::string, backend_server> &servers, millis now)
{
    for (const auto &[id, server] : servers) {
        sightings[server.service][server.softwareVersion] = now;
    }
    for (auto service = sightings.begin(); service != sightings.end();) {
        std::erase_if(service->second, [now](const auto &version) {
            return now - version.second > originLifetime;
        });
        service = service->second.empty() ? sightings.erase(service) : std::next(service);
    }
}

void recordVersions(version_sightings &sightings, const std::string &service,
    const std::vector<std::string> &versions, millis now)
{
    for (const std::string &version : versions) {
        sightings[service].try_emplace(version, now);
    }
}

std::vector<std::string> versionsOf(const version_sightings &sightings, const std::string &service)
{
    std::vector<std::string> versions;
    if (const auto found = sightings.find(service); found != sightings.end()) {
        for (const auto &[version, seenAt] : found->second) {
            versions.push_back(version);
        }
    }
    return versions;
}

std::vector<std::string> versionsToRecord(const version_sightings &sightings, const std::string &service,
    const std::vector<std::string> &recorded, bool mayRemove)
{
    std::vector<std::string> seen = versionsOf(sightings, service);
    if (mayRemove) {
        return seen;
    }
    std::vector<std::string> versions;
    std::set_union(seen.begin(), seen.end(), recorded.begin(), recorded.end(), std::back_inserter(versions));
    return versions;
}

void learnRecord(version_record_state &state, const service_versions_record &record, millis now)
{
    const bool isFirst = !std::exchange(state.known, true);
    if (state.base != record.base) {
        state.base = record.base;
        state.baseSince = now;
    }
    const std::vector<std::string> open =
        record.base.empty() ? record.versions : std::vector<std::string>{record.base};
    std::erase_if(state.openSince, [&open](const auto &each) {
        return !contains(open, each.first);
    });
    for (const std::string &version : open) {
        state.openSince.try_emplace(version, isFirst ? millis{} : now);
    }
}

std::string baseToRecord(const version_record_state &state, const service_versions_record &recorded,
    const std::vector<std::string> &versions, const staying_servers &staying, const settle_times &times,
    millis now)
{
    const std::string base = versions.size() > 1 ? versionWithoutRecords(recorded).value_or("") : "";
    if (base.empty() || !contains(versions, base) || times.ofStreams.count == 0) {
        return {};
    }
    const bool isNamed = recorded.base == base && state.base == base;
    const millis named = isNamed ? now - state.baseSince : millis{};
    // Without a lost daemon, all streams from before have been announced.
    const bool allToldOf = named >= times.ofDaemons && now - times.daemonLostAt >= times.ofStreams;
    // Streams can't all begin at servers that are the smaller part.
    std::size_t all = 0;
    for (const auto &[version, count] : staying) {
        all += count;
    }
    const std::size_t ofBase = stayingOf(staying, base);
    const bool bearsAll = ofBase > 0 && 2 * ofBase >= all;
    return bearsAll && !allToldOf && named < times.ofStreams ? base : std::string();
}

std::vector<std::string> versionsHeldBack(const version_record_state &state,
    const service_versions_record &recorded, const staying_servers &staying, millis now)
{
    const auto isYoung = [&](const std::string &version) {
        const auto since = state.openSince.find(version);
        return since == state.openSince.end()
            || (since->second.count != 0 && now - since->second <= maxViewAge);
    };
    const bool hasOldServers = std::any_of(staying.begin(), staying.end(), [&](const auto &each) {
        return each.second > 0 && contains(recorded.versions, each.first) && !isYoung(each.first);
    });
    std::vector<std::string> heldBack;
    for (const auto &[version, count] : staying) {
        const bool isLater = !recorded.base.empty() && version != recorded.base;
        if (!contains(recorded.versions, version) || isLater || (isYoung(version) && hasOldServers)) {
            heldBack.push_back(version);
        }
    }
    return heldBack;
}

std::optional<std::string> versionWithoutRecords(const service_versions_record &recorded)
{
    if (!recorded.base.empty()) {
        return recorded.base;
    }
    return recorded.versions.size() == 1 ? std::optional(recorded.versions.front()) : std::nullopt;
}

std::optional<std::string> versionToGoOnAt(const origin_evidence &evidence)
{
    if (evidence.record) {
        return evidence.record->softwareVersion;
    }
    const bool sole =
        evidence.ownSight == version_sight::Sole && evidence.anyAnswer && !evidence.contradicted;
    return sole ? std::optional(evidence.ownVersion) : std::nullopt;
}

void applyAnswer(origin_evidence &evidence, const stream_origin_answer &answer)
{
    if (answer.recorded) {
        evidence.record = answer.origin;
        return;
    }
    evidence.anyAnswer = true;
    const bool another = answer.sight == version_sight::Sole && answer.soleVersion != evidence.ownVersion;
    evidence.contradicted = evidence.contradicted || another || answer.sight == version_sight::Several;
}

}
