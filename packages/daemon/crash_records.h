#pragma once

#include "coordination/crash_task.h"
#include "coordination/events.h"
#include "transport/bus.h"
#include "transport/kv_client.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarhead {

/// Connects the crash_task of a daemon that forwards requests to owners: messages to the other daemons, and
/// crash records in the key-value store. The records are read at the start and then periodically.
class crash_records
{
public:
    crash_records(bus &messages, loop &eventLoop, kv_client &kvClient, std::string self);
    /// The callbacks for the constructor of the crash_task.
    crash_callbacks callbacks();
    /// Starts passing reports from daemons and records from the store to the task.
    void start(crash_task &crashTask);

private:
    struct stored_record
    {
        crash_record record;
        std::int64_t revision = 0; ///< in the store
    };

    void readAll();
    void onRecordsRead(const kv_read &result);
    /// Passes a record from the store to the task. A value that can't be decoded counts as no record; its
    /// revision is kept, so that it can be replaced.
    void applyEntry(const kv_entry &entry);
    void store(const std::string &attribute, const crash_record &record, std::function<void(bool)> done);
    void remove(const std::string &attribute);
    crash_record stored(const std::string &attribute) const;

    bus &m_bus;
    loop &m_loop;
    kv_client &m_kvClient;
    std::string m_self;
    crash_task *m_crashTask = nullptr;
    std::vector<std::string> m_daemons;
    std::map<std::string, stored_record> m_records; ///< by attribute, as last read or written
    std::shared_ptr<void> m_timer;
};

}
