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
constexpr std::size_t callsAtATime = 8;
constexpr std::uint32_t writeTries = 4;

std::string hashOf(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 2 * 16 + 1> hex{};
    std::snprintf(hex.data(), hex.size(), "%016" PRIx64 "%016" PRIx64,
        static_cast<std::uint64_t>(hash.high64), static_cast<std::uint64_t>(hash.low64));
    return hex.data();
}

/// A chunk's key is its content's hash and the version it was first written for. The version makes a key
/// that a later snapshot dropped one that no snapshot ever takes up again, so that removing it can't race
/// with a fold that would use it.
std::string suffixOf(const std::string &hash, std::uint64_t version)
{
    return hash + '-' + std::to_string(version);
}

bool hasHash(const std::string &suffix, const std::string &hash)
{
    return suffix.starts_with(hash + '-');
}

/// Keys of the history sort by version.
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

std::optional<stored_head> headOf(const kv_entry &entry, std::int64_t storeRevision, error &why)
{
    if (entry.modRevision == 0) {
        return stored_head{{}, 0, storeRevision};
    }
    auto head = parseHead(entry.value, why);
    if (!head) {
        return std::nullopt;
    }
    return stored_head{std::move(*head), entry.modRevision, storeRevision};
}

/// Runs steps 0..count-1, a few at a time; calls done once, with false as soon as one failed and those
/// under way have ended.
class limited_steps : public std::enable_shared_from_this<limited_steps>
{
public:
    using step = std::function<void(std::size_t index, std::function<void(bool good)> done)>;

    static void run(std::size_t count, step each, std::function<void(bool good)> done)
    {
        const auto steps = std::make_shared<limited_steps>();
        steps->m_count = count;
        steps->m_step = std::move(each);
        steps->m_done = std::move(done);
        steps->advance();
    }

private:
    void advance()
    {
        while (m_good && m_next < m_count && m_running < callsAtATime) {
            ++m_running;
            m_step(m_next++, [self = shared_from_this()](bool good) {
                --self->m_running;
                self->m_good = self->m_good && good;
                self->advance();
            });
        }
        if (m_running == 0 && m_done) {
            const auto done = std::exchange(m_done, nullptr);
            done(m_good);
        }
    }

    std::size_t m_count = 0;
    std::size_t m_next = 0;
    std::size_t m_running = 0;
    bool m_good = true;
    step m_step;
    std::function<void(bool)> m_done;
};

/// A snapshot under way: its chunks by name, as they arrive.
struct snapshot_read
{
    std::vector<std::pair<std::string, std::string>> wanted; ///< name, suffix
    std::map<std::string, std::string> texts;
    error why;
};

/// The folded part of the history, as it arrives; a place stays empty where a restored backup left a gap.
struct history_read
{
    std::vector<std::optional<config_patch>> folded;
    error why;

    std::vector<config_patch> join(const config_head &head, std::uint64_t first, std::size_t limit) const
    {
        std::vector<config_patch> patches;
        for (const auto &patch : folded) {
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

bool needsFold(const config_head &head)
{
    std::size_t bytes = 0;
    for (const auto &patch : head.patches) {
        bytes += patch.set.size() + patch.remove.size() + patch.note.size();
    }
    return head.patches.size() > foldPatches || bytes > foldBytes;
}

config_ptr applyAll(config_ptr at, const std::vector<config_patch> &patches, error &why)
{
    for (const auto &patch : patches) {
        if (at && patch.base >= at->version) {
            at = applyPatch(*at, patch, why);
        }
    }
    return at;
}

config_store::config_store(kv_client &kv)
    : m_kv(kv)
{
}

void config_store::readHead(
    std::function<void(const std::optional<stored_head> &found, const error &why)> done)
{
    // Each daemon polls the head. Read whole each time, a head of many patches would take more than all of
    // the bytes that control may use, so the service is asked only for a change.
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
            // The store's own count has gone back: it was restored from a backup, and what we know of it is
            // void.
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
    const auto work = std::make_shared<snapshot_read>();
    work->wanted.assign(head.chunks.begin(), head.chunks.end());
    const auto readOne = [this, work](std::size_t index, const step_done &good) {
        const auto name = work->wanted[index].first;
        const auto suffix = work->wanted[index].second;
        m_kv.get(chunkPrefix + suffix, [work, name, suffix, good](const kv_read &read) {
            const bool there = read.status == kv_status::Ok && !read.entries.empty();
            const bool right = there && hasHash(suffix, hashOf(read.entries.front().value));
            if (right) {
                work->texts[name] = read.entries.front().value;
            } else if (there) {
                work->why = {
                    error_kind::Internal, chunkPrefix + suffix, "the chunk's text is not what was written"};
            } else {
                work->why = serviceDown(chunkPrefix + suffix, read.status);
            }
            good(right);
        });
    };
    const auto version = head.snapshotVersion;
    limited_steps::run(work->wanted.size(), readOne, [work, version, done = std::move(done)](bool good) {
        const auto made = good ? fromChunks(version, work->texts, work->why) : nullptr;
        done(made, work->why);
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
        const auto work = std::make_shared<history_read>();
        const auto first = std::max<std::uint64_t>(from, 1);
        const auto folded = found->head.snapshotVersion;
        const auto count = first <= folded ? std::min<std::uint64_t>(limit, folded - first + 1) : 0;
        work->folded.resize(count);
        const auto readOne = [this, work, first](std::size_t index, const step_done &good) {
            readPatch(first + index, [work, index, good](const auto &patch, const error &why) {
                work->folded[index] = patch;
                work->why = why.kind != error_kind::None ? why : work->why;
                good(why.kind == error_kind::None);
            });
        };
        limited_steps::run(count, readOne, [work, first, limit, head = found->head, done](bool) {
            done(work->join(head, first, limit), work->why);
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
            error wrong = why;
            const auto made = applyAll(base, patches, wrong);
            done(made, wrong);
        });
    });
}

void config_store::swapHead(
    std::int64_t revision, const config_head &head, std::function<void(const kv_write &)> done)
{
    m_kv.compareAndSwap(
        headKey, revision, toJson(head), 0, [this, done = std::move(done)](const kv_write &write) {
            if (write.status != kv_status::Ok) {
                m_lastRead.reset(); // what stands there is read anew, also if the key is gone
            }
            done(write);
        });
}

/// Writes a key that always gets the same value, so that a lost answer is settled by writing again: a
/// conflict then says that it is there, by this call's first try or by another daemon's.
void config_store::writeOnce(
    const std::string &key, const std::string &value, std::uint32_t tries, step_done done)
{
    const auto onWrite = [this, key, value, tries, done = std::move(done)](const kv_write &write) {
        const bool there = write.status == kv_status::Ok || write.status == kv_status::Conflict;
        if (!there && tries > 1) {
            writeOnce(key, value, tries - 1, done);
        } else {
            done(there);
        }
    };
    m_kv.compareAndSwap(key, 0, value, 0, onWrite);
}

/// The history of a version is written once. Only a service that was restored from a backup can hold
/// another patch there, one that it alone had accepted; what is in force is written over it.
void config_store::writeHistory(const config_patch &patch, const step_done &done)
{
    const auto key = historyKey(patch.base + 1);
    writeOnce(key, toJson(patch), writeTries, [this, key, patch, done](bool good) {
        if (!good) {
            done(false);
            return;
        }
        m_kv.get(key, [this, key, patch, done](const kv_read &read) {
            const auto there = read.entries.empty() ? kv_entry{} : read.entries.front();
            error ignored;
            const auto held = parseStoredPatch(there.value, ignored);
            if (read.status != kv_status::Ok || (held && held->id == patch.id)) {
                done(read.status == kv_status::Ok);
                return;
            }
            spdlog::warn("config: {} held another patch, as after a restored backup; writing over it", key);
            const auto onWrite = [done](const kv_write &write) {
                done(write.status == kv_status::Ok);
            };
            m_kv.compareAndSwap(key, there.modRevision, toJson(patch), 0, onWrite);
        });
    });
}

/// Removes a key; failing to do so only leaves garbage.
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

struct config_store::fold_work
{
    std::int64_t revision = 0;
    config_head next;
    std::vector<std::pair<std::string, std::string>> toWrite; ///< key, text
    std::vector<config_patch> history;
    std::vector<std::string> toRemove;
    std::function<void(fold_status, const error &)> done;

    fold_work(const stored_head &from, const config &at);
};

config_store::fold_work::fold_work(const stored_head &from, const config &at)
    : revision(from.revision)
{
    next.version = at.version;
    next.snapshotVersion = at.version;
    std::set<std::string> used;
    for (auto &[name, text] : toChunks(at)) {
        const auto hash = hashOf(text);
        const auto old = from.head.chunks.find(name);
        const bool same = old != from.head.chunks.end() && hasHash(old->second, hash);
        const auto suffix = same ? old->second : suffixOf(hash, at.version);
        if (!same) {
            toWrite.emplace_back(chunkPrefix + suffix, text);
        }
        used.insert(suffix);
        next.chunks.emplace(name, suffix);
    }
    for (const auto &[name, suffix] : from.head.chunks) {
        if (!used.contains(suffix)) {
            next.retired.push_back(suffix);
        }
    }
    // A daemon may still be reading the snapshot that this one replaces, but not the one before that: what
    // that one alone used goes now.
    for (const auto &suffix : from.head.retired) {
        if (!used.contains(suffix)) {
            toRemove.push_back(chunkPrefix + suffix);
        }
    }
}

void config_store::fold(const stored_head &from, const config_ptr &at, std::vector<config_patch> history,
    std::function<void(fold_status status, const error &why)> done)
{
    const auto work = std::make_shared<fold_work>(from, *at);
    work->history = std::move(history);
    work->done = std::move(done);
    const auto writeChunk = [this, work](std::size_t index, const step_done &next) {
        writeOnce(work->toWrite[index].first, work->toWrite[index].second, writeTries, next);
    };
    limited_steps::run(work->toWrite.size(), writeChunk, [this, work](bool good) {
        good ? foldHistory(work) : foldFailed(work);
    });
}

void config_store::foldHistory(const std::shared_ptr<fold_work> &work)
{
    const auto writeOne = [this, work](std::size_t index, const step_done &next) {
        writeHistory(work->history[index], next);
    };
    limited_steps::run(work->history.size(), writeOne, [this, work](bool good) {
        good ? removeRetired(work) : foldFailed(work);
    });
}

void config_store::removeRetired(const std::shared_ptr<fold_work> &work)
{
    const auto removeOne = [this, work](std::size_t index, const step_done &next) {
        removeKey(work->toRemove[index], next);
    };
    limited_steps::run(work->toRemove.size(), removeOne, [this, work](bool) {
        foldHead(work);
    });
}

void config_store::foldHead(const std::shared_ptr<fold_work> &work)
{
    swapHead(work->revision, work->next, [work](const kv_write &write) {
        if (write.status == kv_status::Ok) {
            work->done(fold_status::Done, {});
        } else if (write.status == kv_status::Unavailable) {
            foldFailed(work);
        } else {
            // After a lost answer, too, the next read of the head shows what stands there.
            work->done(fold_status::Conflict, {});
        }
    });
}

void config_store::foldFailed(const std::shared_ptr<fold_work> &work)
{
    work->done(fold_status::Failed,
        {error_kind::ServiceDown, headKey, "the key-value service did not take the new snapshot"});
}

std::shared_ptr<void> config_store::watchHead(
    std::int64_t storeRevision, std::function<void(const stored_head &)> changed, std::function<void()> ended)
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
