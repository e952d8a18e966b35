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

/// The ways of a crash_task between daemons that forward to owners: their links, and records in the key-value
/// service, which is read at the start and then now and then.
class crash_records
{
public:
    crash_records(bus &messages, loop &eventLoop, kv_client &store, std::string self);
    crash_callbacks links();
    /// From now on the task hears what daemons tell and what is read.
    void start(crash_task &crashes);

private:
    struct stored_record
    {
        crash_record record;
        std::int64_t revision = 0;
    };

    void read();
    void onRead(const kv_read &read);
    void takeRecord(const kv_entry &entry);
    void keep(const std::string &fingerprint, const crash_record &record, std::function<void(bool)> done);
    void drop(const std::string &fingerprint);
    crash_record stored(const std::string &fingerprint) const;

    bus &m_bus;
    loop &m_loop;
    kv_client &m_store;
    std::string m_self;
    crash_task *m_crashes = nullptr;
    std::vector<std::string> m_daemons;
    std::map<std::string, stored_record> m_records; ///< by fingerprint, as last read or written
    std::shared_ptr<void> m_timer;
};

}
