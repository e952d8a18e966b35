#include "serving/quota_store.h"

#include "scheduling/service_features.h"
#include "serving/account_check.h"
#include "serving/fleet_send.h"

#include <algorithm>
#include <utility>

namespace briarhead {

namespace {

std::optional<shard_home> homeOf(const store_task &store, std::uint32_t shard)
{
    const auto found = store.view().quotaHomes.find(std::to_string(shard));
    if (found == store.view().quotaHomes.end()) {
        return std::nullopt;
    }
    const ownership_record &record = found->second.record;
    const bool own = store.isOwn(record) && store.isUnderCurrentLease(record);
    return shard_home{record.node, found->second.revision, own, found->second.predecessorExpired};
}

}

quota_callbacks quotaLinks(loop &eventLoop, store_task &store, const std::unique_ptr<fleet_port> &port,
    const node_settings &settings, decision_log &log, const std::unique_ptr<quota_task> &self,
    std::function<bool(const std::string &node)> understandsFeatures)
{
    quota_callbacks links;
    links.self = settings.node;
    links.incarnation = store.incarnation();
    links.daemons = [&store] {
        return store.view().daemons.size();
    };
    links.live = [&store] {
        return nodesOf(store.view().daemons);
    };
    links.fleet = [&store] {
        std::vector<std::string> nodes = nodesOf(store.view().daemons);
        const std::vector<std::string> expired = nodesOf(store.view().expiredDaemons);
        nodes.insert(nodes.end(), expired.begin(), expired.end());
        return nodes;
    };
    links.sendRequest = [&eventLoop, &store, &port, &self, node = settings.node](
                            const std::string &daemon, const quota_request &request) {
        deliverToNode(
            eventLoop, *port, store, node, daemon, request, [&self, &store, node](const quota_request &own) {
                self->onRequest({node, store.incarnation(), true}, own);
            });
    };
    links.sendExtendedRequest = [&eventLoop, &store, &port, &self, node = settings.node](
                                    const std::string &daemon, const extended_quota_request &request) {
        deliverToNode(eventLoop, *port, store, node, daemon, request,
            [&self, &store, node](const extended_quota_request &own) {
                self->onRequest({node, store.incarnation(), true}, own);
            });
    };
    links.understandsRanks = std::move(understandsFeatures);
    links.askFeatures = [&store, &port, node = settings.node](const std::string &daemon) {
        sendToNode(*port, store, node, daemon, features_notice{protocolLevel, true});
    };
    links.sendResponse = [&eventLoop, &store, &port, &self, node = settings.node](
                             const std::string &daemon, const quota_response &response) {
        deliverToNode(eventLoop, *port, store, node, daemon, response, [&self](const quota_response &own) {
            self->onMessage(own);
        });
    };
    links.homeOf = [&store](std::uint32_t shard) {
        return homeOf(store, shard);
    };
    links.sendRelease = [&store, &port, node = settings.node](
                            const std::string &daemon, const quota_release &release) {
        sendToNode(*port, store, node, daemon, release);
    };
    links.claim = [&store](std::uint32_t shard, bool replace) {
        store.claimQuotaHome(std::to_string(shard), replace);
    };
    links.recordPredecessorExpired = [&store](std::uint32_t shard) {
        store.recordPredecessorExpired(std::to_string(shard));
    };
    links.isDisconnectedFromRecords = [&store] {
        return store.isStoreUnreachableLocallyOnly();
    };
    links.confirmedUntil = [&store] {
        return store.quotaHomesValidUntil();
    };
    links.limitOf = [&store](std::uint64_t account) {
        const auto &config = store.view().config;
        return config ? limitOf(*config, account) : std::nullopt;
    };
    links.log = [&log](const quota_log_entry &entry) {
        log.important("quota." + std::string(nameOf(entry.event)))
            .add("shard", static_cast<std::int64_t>(entry.shard))
            .add("home", entry.home)
            .add("term", entry.term)
            .add("handed_over", entry.handedOver ? 1 : 0);
    };
    return links;
}

void subscribeToStore(bus &messages, const store_task &store, quota_task &quota)
{
    messages.on<view_changed>([&store, &quota](const view_changed &change) {
        if (change.config) {
            const auto &accounts = store.view().config->accounts;
            quota.onLimitsChanged(std::any_of(accounts.begin(), accounts.end(),
                                      [](const client_account &account) {
                                          return isLimited(account.limit);
                                      }),
                limitsByRank(*store.view().config));
        }
        quota.onRecordsChanged();
    });
}

}
