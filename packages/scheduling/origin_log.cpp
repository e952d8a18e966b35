#include "scheduling/origin_log.h"

#include <algorithm>

namespace briarhead {

namespace {

void addTo(stored_origins_record &record, const stream_origin_record &stream)
{
    auto group = std::find_if(record.groups.begin(), record.groups.end(), [&stream](const auto &each) {
        return each.origin == stream.origin;
    });
    if (group == record.groups.end()) {
        group = record.groups.insert(record.groups.end(), {stream.origin, {}});
    }
    group->ids.push_back(stream.id);
}

void startSegment(origin_log &log)
{
    ++log.segment;
    log.written.clear();
    log.segmentSince = {};
}

}

void appendOrigin(origin_log &log, const std::string &id, const stream_origin &origin)
{
    if (id.empty() || id.size() > maxRecordedIdBytes) {
        return;
    }
    log.pending.push_back({id, origin});
    if (log.pending.size() > maxPendingStreams) {
        log.pending.pop_front();
        ++log.dropped;
    }
}

void dropPending(origin_log &log, const std::string &id)
{
    std::erase_if(log.pending, [&id](const stream_origin_record &each) {
        return each.id == id;
    });
}

std::optional<origin_write> beginWrite(origin_log &log, millis now)
{
    if (log.isWriting || log.pending.empty()) {
        return std::nullopt;
    }
    const bool isOld = log.segmentSince.count != 0 && now - log.segmentSince > segmentLifetime;
    if (isOld || log.written.size() >= maxSegmentStreams) {
        startSegment(log);
    }
    if (log.segmentSince.count == 0) {
        log.segmentSince = now;
    }
    const std::size_t count = std::min(log.pending.size(), maxSegmentStreams);
    const auto end = log.pending.begin() + static_cast<std::ptrdiff_t>(count);
    log.inFlight.assign(log.pending.begin(), end);
    log.pending.erase(log.pending.begin(), end);
    log.isWriting = true;
    origin_write write{log.segment, {}};
    for (const auto *streams : {&log.written, &log.inFlight}) {
        for (const stream_origin_record &stream : *streams) {
            addTo(write.record, stream);
        }
    }
    return write;
}

void finishWrite(origin_log &log, bool done)
{
    log.isWriting = false;
    if (done) {
        log.written.insert(log.written.end(), log.inFlight.begin(), log.inFlight.end());
    } else {
        log.pending.insert(log.pending.begin(), log.inFlight.begin(), log.inFlight.end());
        startSegment(log);
    }
    log.inFlight.clear();
}

std::vector<stream_origin_record> originsOf(const stored_origins_record &record)
{
    std::vector<stream_origin_record> streams;
    for (const stream_origins_group &group : record.groups) {
        for (const std::string &id : group.ids) {
            streams.push_back({id, group.origin});
        }
    }
    return streams;
}

}
