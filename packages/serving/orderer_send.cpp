#include "serving/observed_server.h"
#include "serving/orderer_task.h"
#include "transport/backend_call.h"

#include <algorithm>
#include <cmath>

// What is sent to a server by the daemon that gives its orders: questions for its report, and orders.
namespace briarhead {

namespace {

/// An order is answered in some ms; without an answer for so long it counts as unknown, and a report tells
/// what became of it. Nothing else is ordered there meanwhile.
constexpr millis orderTimeout{150};
constexpr millis reportTimeout{700};
constexpr millis reportPause{250};
/// Loads of base models are paced so that all daemons together stay under the weight store's rate, also if
/// all begin at once.
constexpr double modelLoadMargin = 1.3;
constexpr double msPerSecond = 1'000;

}

std::int64_t orderer_task::newestVersion(const std::string &model, const std::string &adapter) const
{
    const auto found = m_store.view().versions.find(adapterKey(model, adapter));
    return found == m_store.view().versions.end() ? 0 : found->second;
}

bool orderer_task::mayLoadModel(const engine_spec &engine) const
{
    const double daemons = static_cast<double>(std::max<std::size_t>(m_store.view().daemons.size(), 1));
    const double rate = std::max(engine.loadsPerSecond, 0.1);
    const millis pace{std::llround(modelLoadMargin * daemons / rate * msPerSecond)};
    return m_lastModelLoad.count == 0 || bootNow() - m_lastModelLoad >= pace;
}

order_limits orderer_task::limitsFor(const engine_spec &engine) const
{
    order_limits limits;
    limits.models = &engine.models;
    limits.mayLoadModel = mayLoadModel(engine);
    limits.newest = [this](const std::string &model, const std::string &adapter) {
        return newestVersion(model, adapter);
    };
    return limits;
}

/// How many adapters are on their way, to all servers: of those in other cells it hears nothing, and takes
/// them for like the others.
void orderer_task::countLoads()
{
    const millis now = bootNow();
    std::erase_if(m_heardLoads, [&](const auto &each) {
        return now - each.second.at > heartbeatFreshFor || m_servers.count(each.first) != 0;
    });
    int loads = 0;
    for (const auto &[id, heard] : m_heardLoads) {
        loads += heard.count;
    }
    for (const auto &[id, one] : m_servers) {
        loads += loadsUnderWay(one.desk.ledger);
    }
    const std::size_t counted = m_heardLoads.size() + m_servers.size();
    const auto all = std::max(m_store.view().orderers.size(), counted);
    m_pace.concurrentLoads = counted == 0
        ? 0
        : static_cast<double>(loads) * static_cast<double>(all) / static_cast<double>(counted);
}

/// Guards against: a daemon that is cut off from the store orders on while its successor begins, on a server
/// that doesn't check tokens. It shows as two daemons' loads in one server's places, and as a crash of the
/// server for one too many. Holds because no order is sent, and none stays unanswered, past the time up to
/// which the store's lease is proved, and the successor begins after that (see order_right.h).
bool orderer_task::mayOrder(const std::string &id, const server_state &one) const
{
    const millis now = bootNow();
    if (one.fenced || now < one.mayOrderFrom || now < m_pausedUntil) {
        return false;
    }
    if (m_settings.serversCheckFencingTokens) {
        return !m_alone;
    }
    return m_store.holdsRecord(id) && now >= one.rivalUntil && now + leastOrderTime <= m_store.provenUntil();
}

/// What the answer to a call of this daemon's own says of the server.
void orderer_task::hearWords(const backend_server &server, const call_result &result)
{
    if (result.how == send_result::Complete) {
        m_words.onResponse("", server.id, incarnationOf(server), m_codec.readUnsignedResponse(result.head));
    }
}

void orderer_task::askReport(const std::string &id, server_state &one, const backend_server &server)
{
    if (permitsLeft(one.desk.limit, bootNow()) == 0) {
        return;
    }
    acquirePermit(one.desk.limit);
    one.reporting = true;
    ++m_counters.reports;
    const auto finish = [this, id, startedAtMs = one.startedAtMs, asked = server](const call_result &result) {
        const auto found = m_servers.find(id);
        if (found == m_servers.end() || found->second.startedAtMs != startedAtMs) {
            return;
        }
        server_state &state = found->second;
        state.reporting = false;
        hearWords(asked, result);
        if (const auto limit = m_codec.readUnsignedResponse(result.head).limit) {
            applyLimit(state.desk.limit, *limit, bootNow(), bootNow());
        }
        error why;
        const auto report =
            result.how == send_result::Complete ? m_codec.readReport(result.body, why) : std::nullopt;
        const millis now = bootNow();
        if (!report) {
            state.desk.ledger.notBefore = now + reportPause;
            return;
        }
        if (report->startedAtMs != 0 && report->startedAtMs < startedAtMs) {
            state.desk.ledger.notBefore = now + reportPause; // another server's, or late
            return;
        }
        if (report->startedAtMs > startedAtMs) {
            startAgain(id, report->startedAtMs); // the store tells later
        }
        const std::int64_t before = state.desk.ledger.sequence;
        takeReport(state.desk, *report, now);
        // Guards against: a load of weights, seconds long, is asked after at the speed of the net. It showed
        // as a hundred reports a second of each server that loads. A report says all there is to know; the
        // next one is due when something can have changed.
        if (!mayOrder(id, state) || !state.desk.ledger.modelComing.empty()) {
            state.desk.ledger.notBefore = now + reportPause;
        }
        m_log.ordinary("server.report")
            .add("server", id)
            .add("sequence", report->sequence)
            .add("expected", before)
            .add("models", static_cast<std::int64_t>(report->models.size()))
            .add("adapters", static_cast<std::int64_t>(state.desk.ledger.adapters.size()));
        pump(id);
    };
    callServer(m_loop, m_pool, server.address, m_codec.writeReportRequest(server), reportTimeout, finish);
}

void orderer_task::sendOrder(const std::string &id, server_state &one, const backend_server &server)
{
    const engine_spec *engine = engineOfServer(server);
    if (engine == nullptr) {
        return;
    }
    auto order = orderDue(one.desk, limitsFor(*engine), bootNow());
    if (!order) {
        return;
    }
    order->owner = m_settings.node;
    order->fence = one.fence;
    one.desk.ledger.open = order;
    one.lastOrder = bootNow();
    const millis atMost = m_settings.serversCheckFencingTokens
        ? orderTimeout
        : std::min(orderTimeout, m_store.provenUntil() - one.lastOrder);
    ++m_counters.orders;
    if (order->adapter.empty() && order->kind == order_kind::Load) {
        m_lastModelLoad = bootNow();
    }
    const auto finish = [this, id, startedAtMs = one.startedAtMs, fence = one.fence, sent = *order,
                            asked = server](const call_result &result) {
        hearWords(asked, result);
        switch (result.how) {
        case send_result::Complete:
            onOrderEnd(id, startedAtMs, fence, sent, m_codec.readOrderResult(result.status));
            return;
        case send_result::NotSent:
            onOrderEnd(id, startedAtMs, fence, sent, order_result::Refused);
            return;
        case send_result::Broken:
            onOrderEnd(id, startedAtMs, fence, sent, order_result::Unknown);
            return;
        }
    };
    callServer(m_loop, m_pool, server.address, m_codec.writeOrder(*order, server), atMost, finish);
}

void orderer_task::onOrderEnd(const std::string &id, std::int64_t startedAtMs, std::uint64_t fence,
    const server_order &order, order_result answer)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.fence != fence
        || found->second.startedAtMs != startedAtMs) {
        return;
    }
    server_state &one = found->second;
    const bool fine = answer == order_result::Holds || answer == order_result::Accepted;
    (fine ? m_log.ordinary("order.answered") : m_log.important("order.answered"))
        .add("server", id)
        .add("order", order.kind == order_kind::Load ? "load" : "unload")
        .add("adapter", adapterKey(order.model, order.adapter))
        .add("version", order.version)
        .add("expected", order.expectedSequence)
        .add("fence", fence)
        .add("outcome", nameOf(answer));
    m_counters.ordersUnknown += answer == order_result::Unknown ? 1 : 0;
    m_counters.loads += answer == order_result::Accepted && order.kind == order_kind::Load ? 1 : 0;
    m_counters.unloads += fine && order.kind == order_kind::Unload ? 1 : 0;
    takeAnswer(one.desk.ledger, order, answer, bootNow());
    if (answer == order_result::Fenced) {
        // Someone ordered under a higher token. If the record still names this daemon, a new claim raises
        // its token above; if not, the view drops the server.
        one.fenced = true;
        m_store.claim(id);
    }
    pump(id);
}

}
