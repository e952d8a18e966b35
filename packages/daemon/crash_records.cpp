#include "daemon/crash_records.h"

#include "coordination/key_task.h"
#include "protocol/codec.h"

#include <spdlog/spdlog.h>

#include <set>
#include <utility>

namespace briarhead {

namespace {

const std::string recordPrefix = "briarhead/crash/";
/// Daemons notify each other at once; periodic reads find what was sent while this one started. 1,200 daemons
/// cause 4 of the 2,000 reads per second that the store can serve. At the maximum number of records, each
/// daemon receives 0.5 KB/s of the 2 KB/s that it may use.
constexpr millis readInterval{300'000};
/// Delay after a failed read. Without the records, a new daemon would admit requests that all others block.
constexpr millis readRetryDelay{500};

void log(const crash_log_entry &entry)
{
    spdlog::warn("crash: Event '{}' for {} {}: {} servers crashed, the last one {}; source: {}.",
        nameOf(entry.event), entry.rank == contentRank ? "request" : "prompt part", entry.attribute,
        entry.crashes, entry.server.empty() ? "-" : entry.server, entry.source);
}

}

crash_records::crash_records(bus &messages, loop &eventLoop, kv_client &kvClient, std::string self)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_kvClient(kvClient)
    , m_self(std::move(self))
{
    m_bus.on<members_changed>([this](const members_changed &event) {
        m_daemons = keyHomeCandidates(event.members);
    });
}

crash_callbacks crash_records::callbacks()
{
    crash_callbacks callbacks;
    callbacks.self = m_self;
    callbacks.daemons = [this] {
        return m_daemons;
    };
    callbacks.send = [this](const std::string &daemon, const ranked_crash_report &report) {
        m_bus.post(send_to{daemon, report});
    };
    callbacks.storedRecord = [this](const std::string &attribute) {
        return stored(attribute);
    };
    callbacks.recordCount = [this] {
        return m_records.size();
    };
    callbacks.storeRecord = [this](const std::string &attribute, const crash_record &record,
                                std::function<void(bool)> done) {
        store(attribute, record, std::move(done));
    };
    callbacks.removeRecord = [this](const std::string &attribute) {
        remove(attribute);
    };
    callbacks.log = log;
    return callbacks;
}

void crash_records::start(crash_task &crashTask)
{
    m_crashTask = &crashTask;
    m_bus.on<received<ranked_crash_report>>([this](const received<ranked_crash_report> &event) {
        m_crashTask->onReport(event.body);
    });
    readAll();
}

crash_record crash_records::stored(const std::string &attribute) const
{
    const auto found = m_records.find(attribute);
    return found == m_records.end() ? crash_record{} : found->second.record;
}

void crash_records::readAll()
{
    m_kvClient.list(recordPrefix, 0, [this](const kv_read &result) {
        onRecordsRead(result);
    });
}

void crash_records::onRecordsRead(const kv_read &result)
{
    const bool ok = result.status == kv_status::Ok;
    m_timer = m_loop.timer(ok ? readInterval : readRetryDelay, {}, [this] {
        this->readAll();
    });
    if (!ok) {
        return;
    }
    std::set<std::string> present;
    for (const kv_entry &entry : result.entries) {
        present.insert(entry.key.substr(recordPrefix.size()));
        applyEntry(entry);
    }
    std::vector<std::string> removed;
    for (const auto &[attribute, record] : m_records) {
        if (present.count(attribute) == 0 && record.revision <= result.revision) {
            removed.push_back(attribute);
        }
    }
    for (const std::string &attribute : removed) {
        m_records.erase(attribute);
        m_crashTask->onStoredRecord(attribute, {});
    }
}

void crash_records::applyEntry(const kv_entry &entry)
{
    const std::string attribute = entry.key.substr(recordPrefix.size());
    error why;
    const auto record = decodeCrashRecord(entry.value, why);
    stored_record &known = m_records[attribute];
    known = {record.value_or(crash_record{}), entry.modRevision};
    if (!record || record->servers.empty()) {
        spdlog::warn("crash: Ignoring the record {}, which can't be decoded: {}", entry.key, message(why));
        return;
    }
    m_crashTask->onStoredRecord(attribute, *record);
}

void crash_records::store(
    const std::string &attribute, const crash_record &record, std::function<void(bool)> done)
{
    const auto known = m_records.find(attribute);
    const std::int64_t revision = known == m_records.end() ? 0 : known->second.revision;
    m_kvClient.compareAndSwap(recordPrefix + attribute, revision, encode(record), 0,
        [this, attribute, record, done = std::move(done)](const kv_write &result) {
            if (result.status == kv_status::Ok) {
                m_records[attribute] = {record, result.revision};
            } else if (result.status == kv_status::Conflict && result.current.modRevision == 0) {
                m_records.erase(attribute); // removed by another daemon
            } else if (result.status == kv_status::Conflict) {
                // Another home wrote first. The task's next check adds what is missing.
                applyEntry(result.current);
            }
            done(result.status == kv_status::Ok);
        });
}

void crash_records::remove(const std::string &attribute)
{
    const auto known = m_records.find(attribute);
    if (known == m_records.end()) {
        return;
    }
    m_kvClient.compareAndRemove(
        recordPrefix + attribute, known->second.revision, [this, attribute](const kv_write &result) {
            const bool absent = result.status == kv_status::Conflict && result.current.modRevision == 0;
            if (result.status == kv_status::Ok || absent) {
                m_records.erase(attribute);
            } else if (result.status == kv_status::Conflict) {
                m_records[attribute].revision = result.current.modRevision;
            }
        });
}

}
