#pragma once

#include "protocol/origin_messages.h"
#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

// What a daemon writes to the store of where streams began, so that callers can take them up after all
// daemons have ended. The log is a series of segments, each an item of the store that is rewritten while it
// grows. A write without an answer may be executed later, so its segment is never written again: a late write
// then holds all that its segment ever held, and nothing is lost by it.
namespace briarhead {

/// Streams per segment, at about 20 bytes each: what a write repeats.
constexpr std::size_t maxSegmentStreams = 128;
/// How long a segment is written: its items expire together.
constexpr millis segmentLifetime{5'000};
/// Streams that wait to be written; the ones that began first are dropped first.
constexpr std::size_t maxPendingStreams = 4'096;
/// Longer ids are not recorded; such streams can't be taken up after all daemons have ended.
constexpr std::size_t maxRecordedIdBytes = 128;

struct origin_log
{
    std::deque<stream_origin_record> pending; ///< not yet written
    std::vector<stream_origin_record> inFlight; ///< in the write that has no answer yet
    std::vector<stream_origin_record> written; ///< in the present segment
    std::int64_t segment = 0;
    millis segmentSince;
    bool isWriting = false;
    std::uint64_t dropped = 0; ///< since the start of the process
};

/// A segment to be written.
struct origin_write
{
    std::int64_t segment = 0;
    stored_origins_record record;
};

void appendOrigin(origin_log &log, const std::string &id, const stream_origin &origin);
/// Forgets a stream that has ended before it was written.
void dropPending(origin_log &log, const std::string &id);
/// The next write; nothing if there is none, or one has no answer yet.
std::optional<origin_write> beginWrite(origin_log &log, millis now);
/// Concludes the write. Unless it is certain that it was done, its streams are written again.
void finishWrite(origin_log &log, bool done);

/// The streams of a record.
std::vector<stream_origin_record> originsOf(const stored_origins_record &record);

}
