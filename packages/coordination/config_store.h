#pragma once

#include "state/config.h"
#include "state/error.h"
#include "transport/kv_client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarhead {

/// The configuration's head as read from the key-value service. A service without one holds version 0, the
/// empty configuration, at revision 0.
struct head_at_revision
{
    config_head head;
    std::int64_t revision = 0; ///< of the head's last change, for the compare-and-swap
    std::int64_t storeRevision =
        0; ///< of the whole key-value service at the read; a watch continues after it
};

/// The result of an attempt to write a new snapshot.
enum class compaction_status : std::uint8_t
{
    Done,
    Conflict, ///< the head has changed and must be read again
    Failed, ///< not completed; what was written is garbage that nothing refers to
};

/// A head that holds more than either of these is compacted into a new snapshot before the next patch.
constexpr std::size_t maxHeadPatches = 64;
constexpr std::size_t maxHeadPatchBytes = 200 * 1024;

bool needsCompaction(const config_head &head);

/// The configuration's layout in the key-value service:
///   briarhead/config/head            the head: snapshot version, its chunks, and the patches since; the only
///   key
///                                    that is ever changed
///   briarhead/config/chunk/SUFFIX    a snapshot's chunk; SUFFIX is "HASH-VERSION"
///   briarhead/config/history/VERSION an accepted patch that has been compacted into a snapshot
/// Each method consists of single key-value calls. A call is retried only where that is idempotent.
class config_store
{
public:
    explicit config_store(kv_client &kv);

    /// Reads the head; `found` is empty, with `why`, if the service gave no readable one.
    void readHead(std::function<void(const std::optional<head_at_revision> &found, const error &why)> done);
    /// Reads the configuration at the head's snapshotVersion; nullptr, with `why`, on failure.
    void readSnapshot(
        const config_head &head, std::function<void(const config_ptr &found, const error &why)> done);
    /// Reads the accepted patch that led to a version from the history. Empty with why.kind None: it
    /// certainly isn't there.
    void readPatch(std::uint64_t version,
        std::function<void(const std::optional<config_patch> &found, const error &why)> done);
    /// Reads the accepted patches from a version on, in order, at most `limit`.
    void readHistory(std::uint64_t from, std::size_t limit,
        std::function<void(const std::vector<config_patch> &patches, const error &why)> done);
    /// Reads the configuration at a version that is not older than the last snapshot; nullptr, with `why`, on
    /// failure.
    void readVersion(
        std::uint64_t version, std::function<void(const config_ptr &found, const error &why)> done);
    void compareAndSwapHead(
        std::int64_t revision, const config_head &head, std::function<void(const kv_write &)> done);
    /// Writes a snapshot that replaces that of `from`: the chunks that changed, then the patches that
    /// the head will no longer hold, then the head by compare-and-swap. A crash in between leaves only
    /// garbage.
    void compact(const head_at_revision &from, const config_ptr &snapshot, std::vector<config_patch> history,
        std::function<void(compaction_status status, const error &why)> done);
    /// Watches the head's changes after a store revision until the returned handle is released. `ended` is
    /// called when the watch breaks.
    std::shared_ptr<void> watchHead(std::int64_t storeRevision,
        std::function<void(const head_at_revision &)> changed, std::function<void()> ended);

private:
    struct compaction_job;
    using step_done = std::function<void(bool ok)>;

    void writeIfAbsent(
        const std::string &key, const std::string &value, std::uint32_t attempts, step_done done);
    void writeHistory(const config_patch &patch, const step_done &done);
    void removeKey(const std::string &key, const step_done &done);
    // The steps of compact() after the chunks, in this order.
    void writeHistoryPatches(const std::shared_ptr<compaction_job> &job);
    void removeRetiredChunks(const std::shared_ptr<compaction_job> &job);
    void writeHead(const std::shared_ptr<compaction_job> &job);
    static void onCompactionFailed(const std::shared_ptr<compaction_job> &job);

    kv_client &m_kv;
    std::optional<head_at_revision> m_lastRead; ///< the head as last read
};

/// Applies patches in order to a base configuration, skipping those that it already contains; nullptr, with
/// `why`, if one of them doesn't fit.
config_ptr applyPatches(config_ptr base, const std::vector<config_patch> &patches, error &why);

}
