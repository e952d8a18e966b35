#include "serving/crash_store.h"

#include "serving/fleet_send.h"

#include <utility>

namespace briarhead {

namespace {

crash_record storedRecord(const store_view &view, const std::string &attribute)
{
    const auto found = view.crashes.find(attribute);
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
    links.send = [&store, &port, self = settings.node](
                     const std::string &node, const ranked_crash_report &report) {
        if (report.rank == contentRank) {
            sendToNode(*port, store, self, node, report.report);
        } else {
            sendToNode(*port, store, self, node, report);
        }
    };
    links.storedRecord = [&store](const std::string &attribute) {
        return storedRecord(store.view(), attribute);
    };
    links.recordCount = [&store] {
        return store.view().crashes.size();
    };
    links.storeRecord = [&store](const std::string &attribute, const crash_record &record,
                            std::function<void(bool)> done) {
        store.writeCrashRecord(attribute, record, std::move(done));
    };
    links.removeRecord = [&store](const std::string &attribute) {
        store.removeCrashRecord(attribute);
    };
    links.log = [&log](const crash_log_entry &entry) {
        log.important("crash." + std::string(nameOf(entry.event)))
            .add("fingerprint", entry.attribute)
            .add("part", entry.rank == contentRank ? -1 : static_cast<std::int64_t>(entry.rank))
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
        for (const std::string &attribute : change.crashes) {
            const crash_record record = storedRecord(store.view(), attribute);
            const bool removed = store.view().crashes.count(attribute) == 0;
            if (removed || !record.servers.empty()) { // empty: written by something else
                crashes.onStoredRecord(attribute, record);
            }
        }
    });
}

crash_target targetOf(const backend_server &server)
{
    return {server.id, incarnationOf(server), server.address};
}

}
