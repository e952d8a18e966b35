#include "scheduling/observed_server.h"
#include "serving/server_owner_task.h"
#include "transport/backend_call.h"

#include <algorithm>
#include <cmath>

// The calls that a server's owner makes to it: report requests and orders.
namespace briarhead {

namespace {

/// Orders are answered within a few ms. After this time the outcome counts as unknown, and a report is
/// requested to learn it; no other order is sent to the server meanwhile.
constexpr millis orderTimeout{150};
constexpr millis reportTimeout{700};
constexpr millis reportRetryPause{250};
/// Base model loads are spaced so that all daemons together stay below the weight store's rate, even if all
/// of them start at once.
constexpr double modelLoadMargin = 1.3;
constexpr double msPerSecond = 1'000;

}

std::int64_t server_owner_task::newestVersion(const std::string &model, const std::string &adapter) const
{
    return newestVersionOf(m_store.view().versions, adapterKey(model, adapter));
}

bool server_owner_task::mayLoadModel(const engine_spec &engine) const
{
    const double daemons = static_cast<double>(std::max<std::size_t>(m_store.view().daemons.size(), 1));
    const double rate = std::max(engine.loadsPerSecond, 0.1);
    const millis minInterval{std::llround(modelLoadMargin * daemons / rate * msPerSecond)};
    return m_lastModelLoad.count == 0 || bootNow() - m_lastModelLoad >= minInterval;
}

order_constraints server_owner_task::constraintsFor(const engine_spec &engine) const
{
    order_constraints limits;
    limits.models = &engine.models;
    limits.mayLoadModel = mayLoadModel(engine);
    limits.newestVersion = [this](const std::string &model, const std::string &adapter) {
        return newestVersion(model, adapter);
    };
    return limits;
}

/// Estimates the adapter loads in progress on all servers. Servers in other heartbeat groups are unknown
/// here; they are assumed to have as many on average as the known ones.
void server_owner_task::estimateConcurrentLoads()
{
    const millis now = bootNow();
    std::erase_if(m_observedLoads, [&](const auto &each) {
        return now - each.second.receivedAt > heartbeatFreshFor || m_servers.count(each.first) != 0;
    });
    int loads = 0;
    for (const auto &[id, observed] : m_observedLoads) {
        loads += observed.count;
    }
    for (const auto &[id, state] : m_servers) {
        loads += loadsInProgress(state.scheduler.ledger);
    }
    const std::size_t knownServers = m_observedLoads.size() + m_servers.size();
    const auto allServers = std::max(m_store.view().serverOwners.size(), knownServers);
    m_pace.concurrentLoads = knownServers == 0
        ? 0
        : static_cast<double>(loads) * static_cast<double>(allServers) / static_cast<double>(knownServers);
}

/// Whether this daemon may send an order to the server now.
///
/// On servers that check no fencing tokens, a daemon that has lost the store must not keep sending orders
/// while its successor begins: both would load into the same slots, and one load too many crashes the server.
/// So no order is sent or left open past the time until which the store's lease is certain; the successor
/// begins after that (see lease_validity.h).
bool server_owner_task::mayOrder(const std::string &id, const server_state &state) const
{
    const millis now = bootNow();
    if (state.fenced || now < state.ordersAllowedFrom || now < m_pausedUntil) {
        return false;
    }
    if (m_settings.serversCheckFencingTokens) {
        return !m_isolated;
    }
    return m_store.ownsServer(id) && now >= state.otherOwnerUntil
        && now + minOrderTime <= m_store.ownershipValidUntil();
}

/// Records the server notices in the response to one of this daemon's own calls.
void server_owner_task::recordNotices(const backend_server &server, const call_result &result)
{
    if (endedInOrder(result)) {
        m_words.onResponse("", server.id, incarnationOf(server), m_codec.readUnsignedResponse(result.head));
    }
}

void server_owner_task::requestReport(
    const std::string &id, server_state &state, const backend_server &server)
{
    if (permitsLeft(state.scheduler.limit, bootNow()) == 0) {
        return;
    }
    acquirePermit(state.scheduler.limit);
    state.reportRequested = true;
    ++m_counters.reports;
    const auto finish = [this, id, startedAtMs = state.startedAtMs, target = server](
                            const call_result &result) {
        const auto found = m_servers.find(id);
        if (found == m_servers.end() || found->second.startedAtMs != startedAtMs) {
            return;
        }
        server_state &current = found->second;
        current.reportRequested = false;
        recordNotices(target, result);
        const response_meta meta = m_codec.readUnsignedResponse(result.head);
        if (const auto rate = rateOf(meta.limit, meta.maxRejections)) {
            applyLimit(current.scheduler.limit, *rate, bootNow(), bootNow());
            current.scheduler.limit.maxRejections = meta.maxRejections;
        }
        error why;
        const auto report = endedInOrder(result) ? m_codec.readReport(result.body, why) : std::nullopt;
        const millis now = bootNow();
        if (!report) {
            current.scheduler.ledger.notBefore = now + reportRetryPause;
            return;
        }
        if (report->startedAtMs != 0 && report->startedAtMs < startedAtMs) {
            current.scheduler.ledger.notBefore =
                now + reportRetryPause; // of another server or an earlier incarnation
            return;
        }
        if (report->startedAtMs > startedAtMs) {
            onServerRestarted(id, report->startedAtMs); // the store reports the restart later
        }
        const std::int64_t expectedSequence = current.scheduler.ledger.sequence;
        applyReport(current.scheduler, *report, now);
        // A report tells all there is to know until something can have changed. Without this pause the report
        // was requested again at once while a base model loads, for seconds: a hundred reports a second from
        // each loading server.
        if (!mayOrder(id, current) || !current.scheduler.ledger.loadingModel.empty()) {
            current.scheduler.ledger.notBefore = now + reportRetryPause;
        }
        m_log.ordinary("server.report")
            .add("server", id)
            .add("sequence", report->sequence)
            .add("expected", expectedSequence)
            .add("models", static_cast<std::int64_t>(report->models.size()))
            .add("adapters", static_cast<std::int64_t>(current.scheduler.ledger.adapters.size()));
        processServer(id);
    };
    callServer(m_loop, m_pool, server.address, m_codec.writeReportRequest(server), reportTimeout, finish);
}

void server_owner_task::sendOrder(const std::string &id, server_state &state, const backend_server &server)
{
    const engine_spec *engine = findEngine(server);
    if (engine == nullptr) {
        return;
    }
    auto order = orderDue(state.scheduler, constraintsFor(*engine), bootNow());
    if (!order) {
        return;
    }
    order->owner = m_settings.node;
    order->fence = state.fencingToken;
    state.scheduler.ledger.openOrder = order;
    state.lastOrderAt = bootNow();
    const millis timeout = m_settings.serversCheckFencingTokens
        ? orderTimeout
        : std::min(orderTimeout, m_store.ownershipValidUntil() - state.lastOrderAt);
    ++m_counters.orders;
    if (order->adapter.empty() && order->kind == order_kind::Load) {
        m_lastModelLoad = bootNow();
    }
    const auto finish = [this, id, startedAtMs = state.startedAtMs, fencingToken = state.fencingToken,
                            sent = *order, target = server](const call_result &result) {
        recordNotices(target, result);
        switch (result.how) {
        case send_result::Complete:
        case send_result::Unknown: // the status says it all
            onOrderDone(id, startedAtMs, fencingToken, sent, m_codec.readOrderResult(result.status));
            return;
        case send_result::NotSent:
            onOrderDone(id, startedAtMs, fencingToken, sent, order_result::Refused);
            return;
        case send_result::Broken:
            onOrderDone(id, startedAtMs, fencingToken, sent, order_result::Unknown);
            return;
        }
    };
    callServer(m_loop, m_pool, server.address, m_codec.writeOrder(*order, server), timeout, finish);
}

void server_owner_task::onOrderDone(const std::string &id, std::int64_t startedAtMs,
    std::uint64_t fencingToken, const server_order &order, order_result response)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.fencingToken != fencingToken
        || found->second.startedAtMs != startedAtMs) {
        return;
    }
    server_state &state = found->second;
    const bool succeeded = response == order_result::AlreadyDone || response == order_result::Accepted;
    (succeeded ? m_log.ordinary("order.answered") : m_log.important("order.answered"))
        .add("server", id)
        .add("order", order.kind == order_kind::Load ? "load" : "unload")
        .add("adapter", adapterKey(order.model, order.adapter))
        .add("version", order.version)
        .add("expected", order.expectedSequence)
        .add("fence", fencingToken)
        .add("outcome", nameOf(response));
    m_counters.ordersUnknown += response == order_result::Unknown ? 1 : 0;
    m_counters.loads += response == order_result::Accepted && order.kind == order_kind::Load ? 1 : 0;
    m_counters.unloads += succeeded && order.kind == order_kind::Unload ? 1 : 0;
    onOrderResponse(state.scheduler.ledger, order, response, bootNow());
    if (response == order_result::Fenced) {
        // Another daemon has sent an order with a higher fencing token. If the record still names this
        // daemon, a new claim gives it a higher token; if not, the next view change ends the ownership.
        state.fenced = true;
        m_store.claimServer(id);
    }
    processServer(id);
}

}
