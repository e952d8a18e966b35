#include "daemon/crash_records.h"

#include "coordination/key_task.h"
#include "protocol/codec.h"

#include <spdlog/spdlog.h>

#include <set>
#include <utility>

namespace briarhead {

namespace {

const std::string recordPrefix = "briarhead/crash/";
/// Daemons tell each other at once; reading again finds what was told while this one started. 1,200 daemons
/// make 4 reads a second of the two thousand that the service takes, and as many records as there may be
/// 0.5 KB a second at each of the 2 it may spend.
constexpr millis readEvery{300'000};
/// After a reading that failed: without the records a new daemon would let through what all others refuse.
constexpr millis readAgain{500};

void log(const crash_log_entry &note)
{
    spdlog::warn("crash: {} {}, {} servers ended, the last {}; {}.", nameOf(note.event), note.fingerprint,
        note.crashes, note.server.empty() ? "-" : note.server, note.source);
}

}

crash_records::crash_records(bus &messages, loop &eventLoop, kv_client &store, std::string self)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_store(store)
    , m_self(std::move(self))
{
    m_bus.on<members_changed>([this](const members_changed &news) {
        m_daemons = keyHomeCandidates(news.members);
    });
}

crash_callbacks crash_records::links()
{
    crash_callbacks links;
    links.self = m_self;
    links.daemons = [this] {
        return m_daemons;
    };
    links.send = [this](const std::string &daemon, const crash_report &news) {
        m_bus.post(send_to{daemon, news});
    };
    links.storedRecord = [this](const std::string &fingerprint) {
        return stored(fingerprint);
    };
    links.recordCount = [this] {
        return m_records.size();
    };
    links.storeRecord = [this](const std::string &fingerprint, const crash_record &record,
                            std::function<void(bool)> done) {
        keep(fingerprint, record, std::move(done));
    };
    links.removeRecord = [this](const std::string &fingerprint) {
        drop(fingerprint);
    };
    links.log = log;
    return links;
}

void crash_records::start(crash_task &crashes)
{
    m_crashes = &crashes;
    m_bus.on<received<crash_report>>([this](const received<crash_report> &news) {
        m_crashes->onReport(news.body);
    });
    read();
}

crash_record crash_records::stored(const std::string &fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() ? crash_record{} : found->second.record;
}

void crash_records::read()
{
    m_store.list(recordPrefix, 0, [this](const kv_read &read) {
        onRead(read);
    });
}

void crash_records::onRead(const kv_read &read)
{
    const bool ok = read.status == kv_status::Ok;
    m_timer = m_loop.timer(ok ? readEvery : readAgain, {}, [this] {
        this->read();
    });
    if (!ok) {
        return;
    }
    std::set<std::string> present;
    for (const kv_entry &entry : read.entries) {
        present.insert(entry.key.substr(recordPrefix.size()));
        takeRecord(entry);
    }
    std::vector<std::string> gone;
    for (const auto &[fingerprint, record] : m_records) {
        if (present.count(fingerprint) == 0 && record.revision <= read.revision) {
            gone.push_back(fingerprint);
        }
    }
    for (const std::string &fingerprint : gone) {
        m_records.erase(fingerprint);
        m_crashes->onStoredRecord(fingerprint, {});
    }
}

/// Another writer's bytes say nothing, and are replaced at the revision they have.
void crash_records::takeRecord(const kv_entry &entry)
{
    const std::string fingerprint = entry.key.substr(recordPrefix.size());
    error why;
    const auto record = decodeCrashRecord(entry.value, why);
    stored_record &known = m_records[fingerprint];
    known = {record.value_or(crash_record{}), entry.modRevision};
    if (!record || record->servers.empty()) {
        spdlog::warn("crash: {} can't be read: {}", entry.key, message(why));
        return;
    }
    m_crashes->onStoredRecord(fingerprint, *record);
}

void crash_records::keep(
    const std::string &fingerprint, const crash_record &record, std::function<void(bool)> done)
{
    const auto known = m_records.find(fingerprint);
    const std::int64_t revision = known == m_records.end() ? 0 : known->second.revision;
    m_store.compareAndSwap(recordPrefix + fingerprint, revision, encode(record), 0,
        [this, fingerprint, record, done = std::move(done)](const kv_write &write) {
            if (write.status == kv_status::Ok) {
                m_records[fingerprint] = {record, write.revision};
            } else if (write.status == kv_status::Conflict && write.current.modRevision == 0) {
                m_records.erase(fingerprint); // dropped by another daemon
            } else if (write.status == kv_status::Conflict) {
                takeRecord(write.current); // another home was faster; the next look adds what is missing
            }
            done(write.status == kv_status::Ok);
        });
}

void crash_records::drop(const std::string &fingerprint)
{
    const auto known = m_records.find(fingerprint);
    if (known == m_records.end()) {
        return;
    }
    m_store.compareAndRemove(
        recordPrefix + fingerprint, known->second.revision, [this, fingerprint](const kv_write &write) {
            const bool absent = write.status == kv_status::Conflict && write.current.modRevision == 0;
            if (write.status == kv_status::Ok || absent) {
                m_records.erase(fingerprint);
            } else if (write.status == kv_status::Conflict) {
                m_records[fingerprint].revision = write.current.modRevision;
            }
        });
}

}
