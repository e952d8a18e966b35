#include "coordination/config_store.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace briarhead {

namespace {

const std::string headKey = "briarhead/config/head";
const std::string chunkPrefix = "briarhead/config/chunk/";
const std::string historyPrefix = "briarhead/config/history/";
constexpr std::size_t maxConcurrentCalls = 8;
constexpr std::uint32_t maxWriteAttempts = 4;

std::string hashOf(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 2 * 16 + 1> hex{};
    std::snprintf(hex.data(), hex.size(), "%016" PRIx64 "%016" PRIx64,
        static_cast<std::uint64_t>(hash.high64), static_cast<std::uint64_t>(hash.low64));
    return hex.data();
}

/// The suffix of a chunk's key: its content's hash and the version it was first written for. Because of the
/// version, a key that a later snapshot no longer uses is never used again, so removing it can't race with a
/// compaction that would refer to it.
std::string suffixOf(const std::string &hash, std::uint64_t version)
{
    return hash + '-' + std::to_string(version);
}

bool hasHash(const std::string &suffix, const std::string &hash)
{
    return suffix.starts_with(hash + '-');
}

/// The key of a version's patch in the history; zero-padded, so that the keys sort by version.
std::string historyKey(std::uint64_t version)
{
    constexpr std::size_t digits = 20;
    const auto number = std::to_string(version);
    return historyPrefix + std::string(digits - number.size(), '0') + number;
}

error serviceDown(const std::string &key, kv_status status)
{
    return {error_kind::ServiceDown, key,
        "the key-value service gave no answer (" + std::string(nameOf(status)) + ')'};
}

std::optional<head_at_revision> headOf(const kv_entry &entry, std::int64_t storeRevision, error &why)
{
    if (entry.modRevision == 0) {
        return head_at_revision{{}, 0, storeRevision};
    }
    auto head = parseHead(entry.value, why);
    if (!head) {
        return std::nullopt;
    }
    return head_at_revision{std::move(*head), entry.modRevision, storeRevision};
}

/// Runs steps 0 to count - 1, at most maxConcurrentCalls at a time. Calls `done` once; after a failed step it
/// starts no more and calls `done(false)` when those in flight have ended.
class bounded_steps : public std::enable_shared_from_this<bounded_steps>
{
public:
    using step = std::function<void(std::size_t index, std::function<void(bool ok)> done)>;

    static void run(std::size_t count, step startStep, std::function<void(bool ok)> done)
    {
        const auto steps = std::make_shared<bounded_steps>();
        steps->m_count = count;
        steps->m_startStep = std::move(startStep);
        steps->m_done = std::move(done);
        steps->advance();
    }

private:
    void advance()
    {
        while (m_allOk && m_next < m_count && m_running < maxConcurrentCalls) {
            ++m_running;
            m_startStep(m_next++, [self = shared_from_this()](bool ok) {
                --self->m_running;
                self->m_allOk = self->m_allOk && ok;
                self->advance();
            });
        }
        if (m_running == 0 && m_done) {
            const auto done = std::exchange(m_done, nullptr);
            done(m_allOk);
        }
    }

    std::size_t m_count = 0;
    std::size_t m_next = 0;
    std::size_t m_running = 0;
    bool m_allOk = true;
    step m_startStep;
    std::function<void(bool)> m_done;
};

/// A snapshot being read.
struct snapshot_read
{
    std::vector<std::pair<std::string, std::string>> chunks; ///< name, suffix
    std::map<std::string, std::string> texts; ///< received so far, by chunk name
    error why;
};

/// The history being read: the patches that have been compacted into a snapshot. Empty where a restored
/// backup left a gap.
struct history_read
{
    std::vector<std::optional<config_patch>> compacted;
    error why;

    /// The compacted patches followed by those in the head.
    std::vector<config_patch> join(const config_head &head, std::uint64_t first, std::size_t limit) const
    {
        std::vector<config_patch> patches;
        for (const auto &patch : compacted) {
            if (patch) {
                patches.push_back(*patch);
            }
        }
        for (const auto &patch : head.patches) {
            if (patch.base + 1 >= first && patches.size() < limit) {
                patches.push_back(patch);
            }
        }
        return patches;
    }
};

}

bool needsCompaction(const config_head &head)
{
    std::size_t bytes = 0;
    for (const auto &patch : head.patches) {
        bytes += patch.set.size() + patch.remove.size() + patch.note.size();
    }
    return head.patches.size() > maxHeadPatches || bytes > maxHeadPatchBytes;
}

config_ptr applyPatches(config_ptr base, const std::vector<config_patch> &patches, error &why)
{
    for (const auto &patch : patches) {
        if (base && patch.base >= base->version) {
            base = applyPatch(*base, patch, why);
        }
    }
    return base;
}

config_store::config_store(kv_client &kv)
    : m_kv(kv)
{
}

void config_store::readHead(
    std::function<void(const std::optional<head_at_revision> &found, const error &why)> done)
{
    // Each daemon polls the head. Reading all of a head with many patches each time would exceed the budget
    // of control traffic, so only a change since the last read is requested.
    const std::int64_t known = m_lastRead ? m_lastRead->revision : 0;
    m_kv.getIfChanged(headKey, known + 1, [this, done = std::move(done)](const kv_read &read) {
        if (read.status != kv_status::Ok) {
            done(std::nullopt, serviceDown(headKey, read.status));
            return;
        }
        if (read.entries.empty() && m_lastRead && read.revision >= m_lastRead->storeRevision) {
            m_lastRead->storeRevision = read.revision;
            done(m_lastRead, {});
            return;
        }
        if (read.entries.empty() && m_lastRead) {
            // The service's revision has decreased: it was restored from a backup, so the cached head is
            // invalid.
            m_lastRead.reset();
            readHead(done);
            return;
        }
        error why;
        m_lastRead = headOf(read.entries.empty() ? kv_entry{} : read.entries.front(), read.revision, why);
        done(m_lastRead, why);
    });
}

void config_store::readSnapshot(
    const config_head &head, std::function<void(const config_ptr &found, const error &why)> done)
{
    if (head.chunks.empty()) {
        done(emptyConfig(), {});
        return;
    }
    const auto snapshot = std::make_shared<snapshot_read>();
    snapshot->chunks.assign(head.chunks.begin(), head.chunks.end());
    const auto startRead = [this, snapshot](std::size_t index, const step_done &stepDone) {
        const auto name = snapshot->chunks[index].first;
        const auto suffix = snapshot->chunks[index].second;
        m_kv.get(chunkPrefix + suffix, [snapshot, name, suffix, stepDone](const kv_read &read) {
            const bool exists = read.status == kv_status::Ok && !read.entries.empty();
            const bool intact = exists && hasHash(suffix, hashOf(read.entries.front().value));
            if (intact) {
                snapshot->texts[name] = read.entries.front().value;
            } else if (exists) {
                snapshot->why = {
                    error_kind::Internal, chunkPrefix + suffix, "the chunk's text is not what was written"};
            } else {
                snapshot->why = serviceDown(chunkPrefix + suffix, read.status);
            }
            stepDone(intact);
        });
    };
    const auto version = head.snapshotVersion;
    bounded_steps::run(
        snapshot->chunks.size(), startRead, [snapshot, version, done = std::move(done)](bool ok) {
            const auto configuration = ok ? fromChunks(version, snapshot->texts, snapshot->why) : nullptr;
            done(configuration, snapshot->why);
        });
}

void config_store::readPatch(std::uint64_t version,
    std::function<void(const std::optional<config_patch> &found, const error &why)> done)
{
    const auto key = historyKey(version);
    m_kv.get(key, [key, done = std::move(done)](const kv_read &read) {
        error why;
        if (read.status != kv_status::Ok) {
            done(std::nullopt, serviceDown(key, read.status));
        } else if (read.entries.empty()) {
            done(std::nullopt, why);
        } else {
            const auto patch = parseStoredPatch(read.entries.front().value, why);
            done(patch, why);
        }
    });
}

void config_store::readHistory(std::uint64_t from, std::size_t limit,
    std::function<void(const std::vector<config_patch> &patches, const error &why)> done)
{
    readHead([this, from, limit, done = std::move(done)](const auto &found, const error &problem) {
        if (!found) {
            done({}, problem);
            return;
        }
        const auto history = std::make_shared<history_read>();
        const auto first = std::max<std::uint64_t>(from, 1);
        const auto compacted = found->head.snapshotVersion;
        const auto count = first <= compacted ? std::min<std::uint64_t>(limit, compacted - first + 1) : 0;
        history->compacted.resize(count);
        const auto startRead = [this, history, first](std::size_t index, const step_done &stepDone) {
            readPatch(first + index, [history, index, stepDone](const auto &patch, const error &why) {
                history->compacted[index] = patch;
                history->why = why.kind != error_kind::None ? why : history->why;
                stepDone(why.kind == error_kind::None);
            });
        };
        bounded_steps::run(count, startRead, [history, first, limit, head = found->head, done](bool) {
            done(history->join(head, first, limit), history->why);
        });
    });
}

void config_store::readVersion(
    std::uint64_t version, std::function<void(const config_ptr &found, const error &why)> done)
{
    readHead([this, version, done = std::move(done)](const auto &found, const error &problem) {
        if (!found) {
            done(nullptr, problem);
            return;
        }
        const auto &head = found->head;
        if (version < head.snapshotVersion || version > head.version) {
            done(nullptr,
                {error_kind::UnknownVersion, "version",
                    "the service holds versions " + std::to_string(head.snapshotVersion) + " to "
                        + std::to_string(head.version) + "; older ones stand as patches in the history"});
            return;
        }
        auto patches = head.patches;
        patches.resize(version - head.snapshotVersion);
        readSnapshot(head, [patches, done](const config_ptr &base, const error &why) {
            error patchError = why;
            const auto configuration = applyPatches(base, patches, patchError);
            done(configuration, patchError);
        });
    });
}

void config_store::compareAndSwapHead(
    std::int64_t revision, const config_head &head, std::function<void(const kv_write &)> done)
{
    m_kv.compareAndSwap(
        headKey, revision, toJson(head), 0, [this, done = std::move(done)](const kv_write &write) {
            if (write.status != kv_status::Ok) {
                m_lastRead.reset(); // the next read returns the whole head, also if the key was removed
            }
            done(write);
        });
}

/// Writes a key that always gets the same value, so that the write can be retried after a lost response: a
/// conflict then means that the key exists, written by an earlier attempt or by another daemon.
void config_store::writeIfAbsent(
    const std::string &key, const std::string &value, std::uint32_t attempts, step_done done)
{
    const auto onWrite = [this, key, value, attempts, done = std::move(done)](const kv_write &write) {
        const bool exists = write.status == kv_status::Ok || write.status == kv_status::Conflict;
        if (!exists && attempts > 1) {
            writeIfAbsent(key, value, attempts - 1, done);
        } else {
            done(exists);
        }
    };
    m_kv.compareAndSwap(key, 0, value, 0, onWrite);
}

/// Writes a patch to the history. Only a service that was restored from a backup can hold another patch for
/// that version, accepted on the restored state; it is overwritten by the patch that is in force.
void config_store::writeHistory(const config_patch &patch, const step_done &done)
{
    const auto key = historyKey(patch.base + 1);
    writeIfAbsent(key, toJson(patch), maxWriteAttempts, [this, key, patch, done](bool ok) {
        if (!ok) {
            done(false);
            return;
        }
        m_kv.get(key, [this, key, patch, done](const kv_read &read) {
            const auto entry = read.entries.empty() ? kv_entry{} : read.entries.front();
            error ignored;
            const auto stored = parseStoredPatch(entry.value, ignored);
            if (read.status != kv_status::Ok || (stored && stored->id == patch.id)) {
                done(read.status == kv_status::Ok);
                return;
            }
            spdlog::warn("config: {} holds another patch, as after a restored backup; overwriting it with "
                         "the one in force",
                key);
            const auto onWrite = [done](const kv_write &write) {
                done(write.status == kv_status::Ok);
            };
            m_kv.compareAndSwap(key, entry.modRevision, toJson(patch), 0, onWrite);
        });
    });
}

/// Removes a key. Always reports success, since a key that remains is only garbage.
void config_store::removeKey(const std::string &key, const step_done &done)
{
    m_kv.get(key, [this, key, done](const kv_read &read) {
        if (read.status != kv_status::Ok || read.entries.empty()) {
            done(true);
            return;
        }
        m_kv.compareAndRemove(key, read.entries.front().modRevision, [done](const kv_write &) {
            done(true);
        });
    });
}

struct config_store::compaction_job
{
    std::int64_t revision = 0;
    config_head newHead;
    std::vector<std::pair<std::string, std::string>> toWrite; ///< key, text
    std::vector<config_patch> history;
    std::vector<std::string> toRemove;
    std::function<void(compaction_status, const error &)> done;

    compaction_job(const head_at_revision &from, const config &snapshot);
};

config_store::compaction_job::compaction_job(const head_at_revision &from, const config &snapshot)
    : revision(from.revision)
{
    newHead.version = snapshot.version;
    newHead.snapshotVersion = snapshot.version;
    std::set<std::string> used;
    for (auto &[name, text] : toChunks(snapshot)) {
        const auto hash = hashOf(text);
        const auto old = from.head.chunks.find(name);
        const bool same = old != from.head.chunks.end() && hasHash(old->second, hash);
        const auto suffix = same ? old->second : suffixOf(hash, snapshot.version);
        if (!same) {
            toWrite.emplace_back(chunkPrefix + suffix, text);
        }
        used.insert(suffix);
        newHead.chunks.emplace(name, suffix);
    }
    for (const auto &[name, suffix] : from.head.chunks) {
        if (!used.contains(suffix)) {
            newHead.retired.push_back(suffix);
        }
    }
    // A daemon may still be reading the snapshot that this one replaces, but not the one before that, so the
    // chunks that only the latter used are removed now.
    for (const auto &suffix : from.head.retired) {
        if (!used.contains(suffix)) {
            toRemove.push_back(chunkPrefix + suffix);
        }
    }
}

void config_store::compact(const head_at_revision &from, const config_ptr &snapshot,
    std::vector<config_patch> history, std::function<void(compaction_status status, const error &why)> done)
{
    const auto job = std::make_shared<compaction_job>(from, *snapshot);
    job->history = std::move(history);
    job->done = std::move(done);
    const auto writeChunk = [this, job](std::size_t index, const step_done &next) {
        writeIfAbsent(job->toWrite[index].first, job->toWrite[index].second, maxWriteAttempts, next);
    };
    bounded_steps::run(job->toWrite.size(), writeChunk, [this, job](bool ok) {
        ok ? writeHistoryPatches(job) : onCompactionFailed(job);
    });
}

void config_store::writeHistoryPatches(const std::shared_ptr<compaction_job> &job)
{
    const auto startWrite = [this, job](std::size_t index, const step_done &next) {
        writeHistory(job->history[index], next);
    };
    bounded_steps::run(job->history.size(), startWrite, [this, job](bool ok) {
        ok ? removeRetiredChunks(job) : onCompactionFailed(job);
    });
}

void config_store::removeRetiredChunks(const std::shared_ptr<compaction_job> &job)
{
    const auto startRemove = [this, job](std::size_t index, const step_done &next) {
        removeKey(job->toRemove[index], next);
    };
    bounded_steps::run(job->toRemove.size(), startRemove, [this, job](bool) {
        writeHead(job);
    });
}

void config_store::writeHead(const std::shared_ptr<compaction_job> &job)
{
    compareAndSwapHead(job->revision, job->newHead, [job](const kv_write &write) {
        if (write.status == kv_status::Ok) {
            job->done(compaction_status::Done, {});
        } else if (write.status == kv_status::Unavailable) {
            onCompactionFailed(job);
        } else {
            // Also after a lost response, the next read of the head shows whether the write was executed.
            job->done(compaction_status::Conflict, {});
        }
    });
}

void config_store::onCompactionFailed(const std::shared_ptr<compaction_job> &job)
{
    job->done(compaction_status::Failed,
        {error_kind::ServiceDown, headKey, "the key-value service did not take the new snapshot"});
}

std::shared_ptr<void> config_store::watchHead(std::int64_t storeRevision,
    std::function<void(const head_at_revision &)> changed, std::function<void()> ended)
{
    const auto onChange = [changed = std::move(changed)](const kv_entry &entry) {
        error why;
        if (const auto head = headOf(entry, entry.modRevision, why)) {
            changed(*head);
        } else {
            spdlog::error("config: {}", message(why));
        }
    };
    return m_kv.watch(headKey, storeRevision + 1, onChange, std::move(ended));
}

}
