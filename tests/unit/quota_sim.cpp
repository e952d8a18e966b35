#include "quota_sim.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

constexpr millis stepSpan{10};
constexpr double msPerSecond = 1'000;

std::string nodeName(int daemon)
{
    return "edge-" + std::to_string(daemon);
}

const std::uint64_t account = accountHash("ana");

}

quota_sim::quota_sim(const quota_sim_options &options)
    : m_options(options)
    , m_limit(options.limit)
    , m_random(options.seed)
    , m_daemons(static_cast<std::size_t>(options.daemons))
{
    if (options.strategy == quota_strategy::HomeOnly) {
        m_options.plan.maxTotalShares = 0;
        m_options.plan.maxDaemonShare = 0;
    }
    for (sim_daemon &node : m_daemons) {
        node.clockOffset = {static_cast<std::int64_t>(random() * 1e9)};
        node.client.plan = m_options.plan;
        node.client.rules = m_options.rules;
        node.client.byRank = options.byRank;
        if (m_options.strategy == quota_strategy::Equal) {
            quota_client_shard &shard = node.client.shards[shardOf(account)];
            shard.lastContact = clockOf(node) - m_options.plan.fallbackAfter;
            shard.fallbackShare = 1.0 / options.daemons;
        }
    }
    if (m_options.strategy != quota_strategy::Equal) {
        moveHome(0, true);
    }
}

double quota_sim::random()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

millis quota_sim::clockOf(const sim_daemon &node) const
{
    return m_now + node.clockOffset;
}

bool quota_sim::isRunning(const sim_daemon &node) const
{
    return node.up && m_now >= node.frozenUntil;
}

millis quota_sim::now() const
{
    return m_now;
}

int quota_sim::home() const
{
    return m_homes.empty() ? -1 : m_homes.back().daemon;
}

std::size_t quota_sim::messages() const
{
    return m_messages;
}

void quota_sim::setDemand(int daemon, double unitsPerSecond, double urgent)
{
    m_daemons[static_cast<std::size_t>(daemon)].demand = unitsPerSecond;
    m_daemons[static_cast<std::size_t>(daemon)].urgentDemand = urgent;
}

void quota_sim::setLimit(const quota_limit &limit)
{
    m_limit = limit;
    for (sim_daemon &node : m_daemons) {
        briarhead::setLimit(node.client, account, limit, clockOf(node));
    }
}

void quota_sim::setByRank(bool byRank)
{
    m_options.byRank = byRank;
    for (sim_daemon &node : m_daemons) {
        node.client.byRank = byRank;
    }
}

void quota_sim::kill(int daemon)
{
    sim_daemon &node = m_daemons[static_cast<std::size_t>(daemon)];
    node.up = false;
    node.waiting.clear();
    for (sim_home &each : m_homes) {
        if (each.daemon == daemon && each.incarnation == node.incarnation) {
            each.until = m_now;
        }
    }
}

void quota_sim::restart(int daemon)
{
    sim_daemon &node = m_daemons[static_cast<std::size_t>(daemon)];
    kill(daemon);
    node.up = true;
    node.frozenUntil = {};
    ++node.incarnation;
    node.clockOffset = {static_cast<std::int64_t>(random() * 1e9)};
    node.client = {};
    node.client.plan = m_options.plan;
    node.client.rules = m_options.rules;
    node.client.byRank = m_options.byRank;
    announceHome(node);
}

void quota_sim::freeze(int daemon, millis span)
{
    m_daemons[static_cast<std::size_t>(daemon)].frozenUntil = m_now + span;
}

void quota_sim::setGroup(int daemon, int group)
{
    m_daemons[static_cast<std::size_t>(daemon)].group = group;
}

void quota_sim::announceHome(sim_daemon &node)
{
    if (!m_homes.empty()) {
        const sim_home &last = m_homes.back();
        briarhead::setHome(node.client, shardOf(account), nodeName(last.daemon), last.term, clockOf(node));
        node.client.shards[shardOf(account)].homeKnowsRanks = m_options.homeKnowsRanks;
    }
}

void quota_sim::moveHome(int daemon, bool handedOver)
{
    // A home that is still waiting for its own predecessor can't hand over.
    handedOver = handedOver && (m_homes.empty() || m_now >= m_homes.back().grantsFrom);
    if (!m_homes.empty()) {
        sim_home &before = m_homes.back();
        before.until = std::min(before.until, handedOver ? m_now : m_now + m_options.plan.takeoverWait);
    }
    sim_daemon &node = m_daemons[static_cast<std::size_t>(daemon)];
    for (sim_home &each : m_homes) {
        const bool same = each.daemon == daemon && each.incarnation == node.incarnation;
        each.until = same ? std::min(each.until, m_now) : each.until; // it keeps one state per shard
    }
    sim_home next;
    next.daemon = daemon;
    next.incarnation = node.incarnation;
    next.term = static_cast<std::int64_t>(m_homes.size()) + 1;
    next.grantsFrom = handedOver ? m_now : m_now + m_options.plan.takeoverWait;
    next.state = startHome(clockOf(node), handedOver);
    std::vector<std::string> fleet;
    fleet.reserve(m_daemons.size());
    for (int i = 0; i < m_options.daemons; ++i) {
        fleet.push_back(nodeName(i));
    }
    setFleet(next.state, fleet);
    m_homes.push_back(std::move(next));
    for (sim_daemon &each : m_daemons) {
        announceHome(each);
    }
}

void quota_sim::removeHome()
{
    for (sim_daemon &node : m_daemons) {
        briarhead::setHome(node.client, shardOf(account), "", 0, clockOf(node));
    }
}

void quota_sim::send(int from, int to, message sent)
{
    ++m_messages;
    sent.from = from;
    sent.to = to;
    const int copies = random() < m_options.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (random() >= m_options.loss) {
            sent.due = m_now + millis{static_cast<std::int64_t>(random() * m_options.maxDelayMs)};
            m_network.push_back(sent);
        }
    }
}

void quota_sim::deliver()
{
    std::deque<message> later;
    std::deque<message> due;
    for (message &each : m_network) {
        const sim_daemon &to = m_daemons[static_cast<std::size_t>(each.to)];
        const bool waits = each.due > m_now || (to.up && !isRunning(to));
        (waits ? later : due).push_back(std::move(each));
    }
    m_network = std::move(later);
    for (const message &each : due) {
        sim_daemon &to = m_daemons[static_cast<std::size_t>(each.to)];
        const sim_daemon &from = m_daemons[static_cast<std::size_t>(each.from)];
        if (!to.up || to.group != from.group) {
            continue;
        }
        if (!each.isRequest) {
            onResolved(each.to, applyResponse(to.client, each.response, clockOf(to)));
            continue;
        }
        for (sim_home &home : m_homes) {
            const bool mayGrant =
                home.daemon == each.to && home.incarnation == to.incarnation && m_now < home.until;
            if (!mayGrant) {
                continue;
            }
            const quota_requester requester{nodeName(each.from), each.incarnation, false};
            const addressed_request &request = each.request;
            const auto response = request.ranked
                ? handleRequest(home.state, m_options.plan, m_options.rules, limits(), requester,
                    extended_quota_request{request.request, request.demandFields}, clockOf(to))
                : handleRequest(home.state, m_options.plan, m_options.rules, limits(), requester,
                    request.request, clockOf(to));
            if (response) {
                message responseMessage;
                responseMessage.response = *response;
                send(each.to, each.from, responseMessage);
            }
        }
    }
}

void quota_sim::onGranted(int index, double cost, quota_urgency urgency)
{
    const sim_daemon &node = m_daemons[static_cast<std::size_t>(index)];
    const millis wait{static_cast<std::int64_t>(random() * m_options.maxSlotWaitMs)};
    m_acquired.push_back({index, node.incarnation, cost, urgency, clockOf(node), m_now + wait});
}

void quota_sim::onResolved(int index, const std::vector<resolved_waiter> &resolved)
{
    sim_daemon &node = m_daemons[static_cast<std::size_t>(index)];
    for (const resolved_waiter &each : resolved) {
        const auto found = std::find_if(node.waiting.begin(), node.waiting.end(), [&](const auto &waiter) {
            return waiter.id == each.id;
        });
        if (found == node.waiting.end()) {
            continue;
        }
        const sim_request resolvedRequest = *found;
        node.waiting.erase(found);
        if (each.decision.result == quota_result::Granted) {
            onGranted(index, resolvedRequest.cost, resolvedRequest.urgency);
        }
    }
}

void quota_sim::arrivals(int index)
{
    sim_daemon &node = m_daemons[static_cast<std::size_t>(index)];
    const double rate = node.demand / m_options.meanCost;
    const double mean = rate * static_cast<double>(stepSpan.count) / msPerSecond;
    const int count = mean > 0 ? std::poisson_distribution<int>(mean)(m_random) : 0;
    for (int i = 0; i < count; ++i) {
        const double cost = std::round(m_options.meanCost * (0.3 + 1.4 * random()));
        const bool urgent = node.urgentDemand > 0 && random() * node.demand < node.urgentDemand;
        m_demanded.push_back({m_now, index, cost, urgent});
        request(index, cost, urgent ? quota_urgency::MostUrgent : quota_urgency::LessUrgent);
    }
}

void quota_sim::request(int index, double cost, quota_urgency urgency)
{
    sim_daemon &node = m_daemons[static_cast<std::size_t>(index)];
    const std::uint64_t id = ++node.lastRequest;
    const quota_decision decision =
        acquireUnits(node.client, account, m_limit, id, cost, clockOf(node), urgency);
    if (decision.result == quota_result::Granted) {
        onGranted(index, cost, urgency);
    } else if (decision.result == quota_result::Pending) {
        node.waiting.push_back({id, cost, urgency});
    }
}

void quota_sim::sendRequests(int index)
{
    sim_daemon &node = m_daemons[static_cast<std::size_t>(index)];
    for (const addressed_request &each : dueRequests(node.client, m_daemons.size(), clockOf(node))) {
        for (int i = 0; i < m_options.daemons; ++i) {
            if (nodeName(i) == each.home) {
                message sent;
                sent.isRequest = true;
                sent.incarnation = node.incarnation;
                sent.request = each;
                send(index, i, sent);
            }
        }
    }
}

/// Sends what is due. Like an entry, acquires units again if they were acquired too long ago.
void quota_sim::sendAcquired()
{
    std::vector<acquired_units> later;
    std::vector<acquired_units> due;
    for (const acquired_units &each : m_acquired) {
        const sim_daemon &node = m_daemons[static_cast<std::size_t>(each.daemon)];
        const bool isAlive = node.up && node.incarnation == each.incarnation;
        if (isAlive) {
            (m_now >= each.sendAt && isRunning(node) ? due : later).push_back(each);
        }
    }
    m_acquired = std::move(later);
    for (const acquired_units &each : due) {
        sim_daemon &node = m_daemons[static_cast<std::size_t>(each.daemon)];
        const millis clock = clockOf(node);
        bool isValid = clock - each.at <= unitsLifetime(m_options.rules);
        if (!isValid) {
            returnUnits(node.client, account, each.cost, clock);
            const std::uint64_t id = ++node.lastRequest;
            const auto decision =
                acquireUnits(node.client, account, m_limit, id, each.cost, clock, each.urgency);
            isValid = decision.result == quota_result::Granted;
            if (decision.result == quota_result::Pending) {
                node.waiting.push_back({id, each.cost, each.urgency});
            }
        }
        if (isValid) {
            m_used.push_back({m_now, each.daemon, each.cost, each.urgency == quota_urgency::MostUrgent});
        }
    }
}

void quota_sim::step()
{
    m_now = m_now + stepSpan;
    deliver();
    sendAcquired();
    for (int i = 0; i < m_options.daemons; ++i) {
        sim_daemon &node = m_daemons[static_cast<std::size_t>(i)];
        if (isRunning(node)) {
            onResolved(i, expireWaiters(node.client, clockOf(node)));
            arrivals(i);
            sendRequests(i);
        }
    }
    m_maxSharesInUse = std::max(m_maxSharesInUse, sharesInUse());
}

limit_lookup quota_sim::limits() const
{
    return [this](std::uint64_t) {
        return std::optional(m_limit);
    };
}

double quota_sim::sharesInUse()
{
    double sum = 0;
    for (const sim_daemon &node : m_daemons) {
        sum += isRunning(node) ? localShare(node.client, account, clockOf(node)) : 0;
    }
    for (const sim_home &each : m_homes) {
        const sim_daemon &node = m_daemons[static_cast<std::size_t>(each.daemon)];
        if (isRunning(node) && node.incarnation == each.incarnation && m_now < each.until) {
            quota_home copy = each.state; // the query must not change the home's own survey time
            sum += homeFillShare(copy, m_options.plan, limits(), account, clockOf(node));
        }
    }
    return sum;
}

double quota_sim::maxSharesInUse() const
{
    return m_maxSharesInUse;
}

void quota_sim::run(millis span)
{
    for (const millis end = m_now + span; m_now < end;) {
        step();
    }
}

double quota_sim::used(millis from, millis to) const
{
    double sum = 0;
    for (const usage &each : m_used) {
        sum += each.at >= from && each.at < to ? each.units : 0;
    }
    return sum;
}

double quota_sim::usedBy(int daemon, millis from, millis to) const
{
    double sum = 0;
    for (const usage &each : m_used) {
        sum += each.daemon == daemon && each.at >= from && each.at < to ? each.units : 0;
    }
    return sum;
}

double quota_sim::demanded(millis from, millis to) const
{
    double sum = 0;
    for (const usage &each : m_demanded) {
        sum += each.at >= from && each.at < to ? each.units : 0;
    }
    return sum;
}

double quota_sim::urgentUsed(millis from, millis to) const
{
    double sum = 0;
    for (const usage &each : m_used) {
        sum += each.urgent && each.at >= from && each.at < to ? each.units : 0;
    }
    return sum;
}

double quota_sim::urgentDemanded(millis from, millis to) const
{
    double sum = 0;
    for (const usage &each : m_demanded) {
        sum += each.urgent && each.at >= from && each.at < to ? each.units : 0;
    }
    return sum;
}

double quota_sim::maxWindowUsage() const
{
    const quota_tolerance &rules = m_options.rules;
    const quota_limit &limit = m_options.limit;
    const double inWindow = limit.rate * static_cast<double>(rules.window.count) / msPerSecond + limit.burst;
    const double allowed = inWindow * (1 + rules.overage) + rules.slack;
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const usage &each : m_used) {
        sum += each.units;
        while (m_used[first].at + rules.window <= each.at) {
            sum -= m_used[first++].units;
        }
        most = std::max(most, sum);
    }
    return most / allowed;
}

}
