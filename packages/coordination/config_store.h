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

/// The head as it stands in the key-value service. A service without one holds version 0, the empty
/// configuration, at revision 0.
struct stored_head
{
    config_head head;
    std::int64_t revision = 0; ///< of the head's last change, for the compare-and-swap
    std::int64_t storeRevision = 0; ///< of the whole store, a watch goes on after it
};

/// How the attempt to write a new snapshot ended.
enum class fold_status : std::uint8_t
{
    Done,
    Conflict, ///< the head has changed; read it again
    Failed, ///< the service didn't do all of it; what was written is garbage that nothing refers to
};

/// A head is folded into a new snapshot before the next patch when it holds more than this.
constexpr std::size_t foldPatches = 64;
constexpr std::size_t foldBytes = 200 * 1024;

bool needsFold(const config_head &head);

/// The configuration's layout in the key-value service:
///   briarhead/config/head            the head, the only key that is ever changed
///   briarhead/config/chunk/SUFFIX    a snapshot's chunk; SUFFIX is "HASH-VERSION"
///   briarhead/config/history/VERSION an accepted patch that was folded into a snapshot
/// Each call is made of single key-value calls; none is repeated here unless repeating it is harmless.
class config_store
{
public:
    explicit config_store(kv_client &kv);

    /// `found` is empty where the service gave no readable head; `why` says so.
    void readHead(std::function<void(const std::optional<stored_head> &found, const error &why)> done);
    /// The configuration at the head's snapshotVersion, or nullptr.
    void readSnapshot(
        const config_head &head, std::function<void(const config_ptr &found, const error &why)> done);
    /// The accepted patch that led to a version, from the history. Nothing with why.kind of None: it isn't
    /// there, and that is certain.
    void readPatch(std::uint64_t version,
        std::function<void(const std::optional<config_patch> &found, const error &why)> done);
    /// The accepted patches from a version on, in order, at most `limit`.
    void readHistory(std::uint64_t from, std::size_t limit,
        std::function<void(const std::vector<config_patch> &patches, const error &why)> done);
    /// The configuration at a version from the last snapshot on, or nullptr.
    void readVersion(
        std::uint64_t version, std::function<void(const config_ptr &found, const error &why)> done);
    void swapHead(std::int64_t revision, const config_head &head, std::function<void(const kv_write &)> done);
    /// Writes `at` as a snapshot that replaces `from`: the chunks that changed, then the patches that the
    /// head will no longer hold, then the head by compare-and-swap. A crash in between leaves only garbage.
    void fold(const stored_head &from, const config_ptr &at, std::vector<config_patch> history,
        std::function<void(fold_status status, const error &why)> done);
    /// Watches the head's changes after a store revision.
    std::shared_ptr<void> watchHead(std::int64_t storeRevision,
        std::function<void(const stored_head &)> changed, std::function<void()> ended);

private:
    struct fold_work;
    using step_done = std::function<void(bool good)>;

    void writeOnce(const std::string &key, const std::string &value, std::uint32_t tries, step_done done);
    void writeHistory(const config_patch &patch, const step_done &done);
    void removeKey(const std::string &key, const step_done &done);
    // The steps of fold(), in this order.
    void foldHistory(const std::shared_ptr<fold_work> &work);
    void removeRetired(const std::shared_ptr<fold_work> &work);
    void foldHead(const std::shared_ptr<fold_work> &work);
    static void foldFailed(const std::shared_ptr<fold_work> &work);

    kv_client &m_kv;
    std::optional<stored_head> m_lastRead; ///< the head as last read whole
};

/// The patches one after the other on a configuration; nullptr with `why` where one doesn't fit.
config_ptr applyAll(config_ptr at, const std::vector<config_patch> &patches, error &why);

}
