#include "serving/crash_store.h"

#include "serving/fleet_send.h"

#include <utility>

namespace briarhead {

namespace {

crash_record storedRecord(const store_view &view, const std::string &fingerprint)
{
    const auto found = view.crashes.find(fingerprint);
    return found == view.crashes.end() ? crash_record{} : found->second.record;
}

}

crash_callbacks crashLinks(store_task &store, const std::unique_ptr<fleet_port> &port,
    const node_settings &settings, decision_log &log,
    std::function<void(const crash_target &, std::function<void(connect_result)>)> checkProcess)
{
    crash_callbacks links;
    links.checkProcess = std::move(checkProcess);
    links.self = settings.node;
    links.daemons = [&store] {
        return nodesOf(store.view().daemons);
    };
    links.send = [&store, &port, self = settings.node](const std::string &node, const crash_report &report) {
        sendToNode(*port, store, self, node, report);
    };
    links.storedRecord = [&store](const std::string &fingerprint) {
        return storedRecord(store.view(), fingerprint);
    };
    links.recordCount = [&store] {
        return store.view().crashes.size();
    };
    links.storeRecord = [&store](const std::string &fingerprint, const crash_record &record,
                            std::function<void(bool)> done) {
        store.writeCrashRecord(fingerprint, record, std::move(done));
    };
    links.removeRecord = [&store](const std::string &fingerprint) {
        store.removeCrashRecord(fingerprint);
    };
    links.log = [&log](const crash_log_entry &entry) {
        log.important("crash." + std::string(nameOf(entry.event)))
            .add("fingerprint", entry.fingerprint)
            .add("server", entry.server)
            .add("ends", static_cast<std::int64_t>(entry.crashes))
            .add("source", entry.source);
    };
    return links;
}

void subscribeToStore(bus &messages, const store_task &store, crash_task &crashes)
{
    messages.on<view_changed>([&store, &crashes](const view_changed &change) {
        for (const std::string &server : change.crashedServers) {
            crashes.onServerCrashed(server);
        }
        for (const std::string &fingerprint : change.crashes) {
            const crash_record record = storedRecord(store.view(), fingerprint);
            const bool removed = store.view().crashes.count(fingerprint) == 0;
            if (removed || !record.servers.empty()) { // empty: written by something else
                crashes.onStoredRecord(fingerprint, record);
            }
        }
    });
}

crash_target targetOf(const backend_server &server)
{
    return {server.id, incarnationOf(server), server.address};
}

}
