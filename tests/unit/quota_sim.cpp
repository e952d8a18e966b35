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
    , m_processes(static_cast<std::size_t>(options.daemons))
{
    if (options.way == quota_way::HomeOnly) {
        m_options.plan.held = 0;
        m_options.plan.heldByOne = 0;
    }
    for (process &one : m_processes) {
        one.clockAhead = {static_cast<std::int64_t>(random() * 1e9)};
        one.desk.plan = m_options.plan;
        one.desk.rules = m_options.rules;
        if (m_options.way == quota_way::Equal) {
            desk_shard &shard = one.desk.shards[shardOf(account)];
            shard.contact = clockOf(one) - m_options.plan.aloneAfter;
            shard.alone = 1.0 / options.daemons;
        }
    }
    if (m_options.way != quota_way::Equal) {
        moveHome(0, true);
    }
}

double quota_sim::random()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

millis quota_sim::clockOf(const process &one) const
{
    return m_now + one.clockAhead;
}

bool quota_sim::runs(const process &one) const
{
    return one.up && m_now >= one.frozenUntil;
}

millis quota_sim::now() const
{
    return m_now;
}

int quota_sim::home() const
{
    return m_holders.empty() ? -1 : m_holders.back().daemon;
}

std::size_t quota_sim::messages() const
{
    return m_messages;
}

void quota_sim::setDemand(int daemon, double unitsPerSecond)
{
    m_processes[static_cast<std::size_t>(daemon)].demand = unitsPerSecond;
}

void quota_sim::setLimit(const quota_limit &limit)
{
    m_limit = limit;
    for (process &one : m_processes) {
        briarhead::setLimit(one.desk, account, limit, clockOf(one));
    }
}

void quota_sim::kill(int daemon)
{
    process &one = m_processes[static_cast<std::size_t>(daemon)];
    one.up = false;
    one.waiting.clear();
    for (holder &each : m_holders) {
        if (each.daemon == daemon && each.incarnation == one.incarnation) {
            each.until = m_now;
        }
    }
}

void quota_sim::restart(int daemon)
{
    process &one = m_processes[static_cast<std::size_t>(daemon)];
    kill(daemon);
    one.up = true;
    one.frozenUntil = {};
    ++one.incarnation;
    one.clockAhead = {static_cast<std::int64_t>(random() * 1e9)};
    one.desk = {};
    one.desk.plan = m_options.plan;
    one.desk.rules = m_options.rules;
    introduceHome(one);
}

void quota_sim::freeze(int daemon, millis span)
{
    m_processes[static_cast<std::size_t>(daemon)].frozenUntil = m_now + span;
}

void quota_sim::setGroup(int daemon, int group)
{
    m_processes[static_cast<std::size_t>(daemon)].group = group;
}

void quota_sim::introduceHome(process &one)
{
    if (!m_holders.empty()) {
        const holder &last = m_holders.back();
        briarhead::setHome(one.desk, shardOf(account), nodeName(last.daemon), last.term, clockOf(one));
    }
}

void quota_sim::moveHome(int daemon, bool handedOver)
{
    // A home that was still waiting for its own predecessor's end has nothing to hand over.
    handedOver = handedOver && (m_holders.empty() || m_now >= m_holders.back().givesFrom);
    if (!m_holders.empty()) {
        holder &before = m_holders.back();
        before.until = std::min(before.until, handedOver ? m_now : m_now + m_options.plan.takeoverWait);
    }
    process &one = m_processes[static_cast<std::size_t>(daemon)];
    for (holder &each : m_holders) {
        const bool same = each.daemon == daemon && each.incarnation == one.incarnation;
        each.until = same ? std::min(each.until, m_now) : each.until; // it keeps one book for a shard
    }
    holder next;
    next.daemon = daemon;
    next.incarnation = one.incarnation;
    next.term = static_cast<std::int64_t>(m_holders.size()) + 1;
    next.givesFrom = handedOver ? m_now : m_now + m_options.plan.takeoverWait;
    next.book = beginHome(clockOf(one), handedOver);
    std::vector<std::string> fleet;
    fleet.reserve(m_processes.size());
    for (int i = 0; i < m_options.daemons; ++i) {
        fleet.push_back(nodeName(i));
    }
    setFleet(next.book, fleet);
    m_holders.push_back(std::move(next));
    for (process &each : m_processes) {
        introduceHome(each);
    }
}

void quota_sim::loseHome()
{
    for (process &one : m_processes) {
        briarhead::setHome(one.desk, shardOf(account), "", 0, clockOf(one));
    }
}

void quota_sim::post(int from, int to, message one)
{
    ++m_messages;
    one.from = from;
    one.to = to;
    const int copies = random() < m_options.doubled ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (random() >= m_options.loss) {
            one.due = m_now + millis{static_cast<std::int64_t>(random() * m_options.delayMost)};
            m_net.push_back(one);
        }
    }
}

void quota_sim::deliver()
{
    std::deque<message> later;
    std::deque<message> due;
    for (message &each : m_net) {
        const process &to = m_processes[static_cast<std::size_t>(each.to)];
        const bool waits = each.due > m_now || (to.up && !runs(to));
        (waits ? later : due).push_back(std::move(each));
    }
    m_net = std::move(later);
    for (const message &each : due) {
        process &to = m_processes[static_cast<std::size_t>(each.to)];
        const process &from = m_processes[static_cast<std::size_t>(each.from)];
        if (!to.up || to.group != from.group) {
            continue;
        }
        if (!each.isAsk) {
            settle(each.to, takeAnswer(to.desk, each.answer, clockOf(to)));
            continue;
        }
        for (holder &home : m_holders) {
            const bool gives =
                home.daemon == each.to && home.incarnation == to.incarnation && m_now < home.until;
            const auto answer = gives ? answerAsk(home.book, m_options.plan, m_options.rules, limits(),
                                    {nodeName(each.from), each.incarnation, false}, each.ask, clockOf(to))
                                      : std::nullopt;
            if (answer) {
                message reply;
                reply.answer = *answer;
                post(each.to, each.from, reply);
            }
        }
    }
}

void quota_sim::granted(int index, double cost)
{
    const process &one = m_processes[static_cast<std::size_t>(index)];
    const millis wait{static_cast<std::int64_t>(random() * m_options.placeWaitMost)};
    m_taken.push_back({index, one.incarnation, cost, clockOf(one), m_now + wait});
}

void quota_sim::settle(int index, const std::vector<quota_settled> &settled)
{
    process &one = m_processes[static_cast<std::size_t>(index)];
    for (const quota_settled &each : settled) {
        const auto found = std::find_if(one.waiting.begin(), one.waiting.end(), [&](const auto &waiter) {
            return waiter.first == each.id;
        });
        if (found == one.waiting.end()) {
            continue;
        }
        const double cost = found->second;
        one.waiting.erase(found);
        if (each.decision.verdict == quota_verdict::Granted) {
            granted(index, cost);
        }
    }
}

void quota_sim::arrivals(int index)
{
    process &one = m_processes[static_cast<std::size_t>(index)];
    const double rate = one.demand / m_options.meanCost;
    const double mean = rate * static_cast<double>(stepSpan.count) / msPerSecond;
    const int count = mean > 0 ? std::poisson_distribution<int>(mean)(m_random) : 0;
    for (int i = 0; i < count; ++i) {
        const double cost = std::round(m_options.meanCost * (0.3 + 1.4 * random()));
        m_asked.push_back({m_now, index, cost});
        const std::uint64_t id = ++one.lastRequest;
        const quota_decision decision = takeUnits(one.desk, account, m_limit, id, cost, clockOf(one));
        if (decision.verdict == quota_verdict::Granted) {
            granted(index, cost);
        } else if (decision.verdict == quota_verdict::Waits) {
            one.waiting.emplace_back(id, cost);
        }
    }
}

void quota_sim::sendAsks(int index)
{
    process &one = m_processes[static_cast<std::size_t>(index)];
    for (const addressed_ask &each : asksDue(one.desk, m_processes.size(), clockOf(one))) {
        for (int i = 0; i < m_options.daemons; ++i) {
            if (nodeName(i) == each.home) {
                message sent;
                sent.isAsk = true;
                sent.incarnation = one.incarnation;
                sent.ask = each.ask;
                post(index, i, sent);
            }
        }
    }
}

/// As an entry does: what was taken too long ago is taken anew before the send.
void quota_sim::sendDue()
{
    std::vector<taken> later;
    std::vector<taken> due;
    for (const taken &each : m_taken) {
        const process &one = m_processes[static_cast<std::size_t>(each.daemon)];
        const bool lives = one.up && one.incarnation == each.incarnation;
        if (lives) {
            (m_now >= each.sendAt && runs(one) ? due : later).push_back(each);
        }
    }
    m_taken = std::move(later);
    for (const taken &each : due) {
        process &one = m_processes[static_cast<std::size_t>(each.daemon)];
        const millis clock = clockOf(one);
        bool holds = clock - each.at <= unitsLife(m_options.rules);
        if (!holds) {
            returnUnits(one.desk, account, each.cost, clock);
            const std::uint64_t id = ++one.lastRequest;
            const auto decision = takeUnits(one.desk, account, m_limit, id, each.cost, clock);
            holds = decision.verdict == quota_verdict::Granted;
            if (decision.verdict == quota_verdict::Waits) {
                one.waiting.emplace_back(id, each.cost);
            }
        }
        if (holds) {
            m_used.push_back({m_now, each.daemon, each.cost});
        }
    }
}

void quota_sim::step()
{
    m_now = m_now + stepSpan;
    deliver();
    sendDue();
    for (int i = 0; i < m_options.daemons; ++i) {
        process &one = m_processes[static_cast<std::size_t>(i)];
        if (runs(one)) {
            settle(i, overdue(one.desk, clockOf(one)));
            arrivals(i);
            sendAsks(i);
        }
    }
    m_mostShares = std::max(m_mostShares, sharesInUse());
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
    for (const process &one : m_processes) {
        sum += runs(one) ? shareHere(one.desk, account, clockOf(one)) : 0;
    }
    for (const holder &each : m_holders) {
        const process &one = m_processes[static_cast<std::size_t>(each.daemon)];
        if (runs(one) && one.incarnation == each.incarnation && m_now < each.until) {
            quota_home copy = each.book; // looking must not change when the home itself looks
            sum += shareOfHome(copy, m_options.plan, limits(), account, clockOf(one));
        }
    }
    return sum;
}

double quota_sim::mostShares() const
{
    return m_mostShares;
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
    for (const use &each : m_used) {
        sum += each.at >= from && each.at < to ? each.units : 0;
    }
    return sum;
}

double quota_sim::usedBy(int daemon, millis from, millis to) const
{
    double sum = 0;
    for (const use &each : m_used) {
        sum += each.daemon == daemon && each.at >= from && each.at < to ? each.units : 0;
    }
    return sum;
}

double quota_sim::asked(millis from, millis to) const
{
    double sum = 0;
    for (const use &each : m_asked) {
        sum += each.at >= from && each.at < to ? each.units : 0;
    }
    return sum;
}

double quota_sim::worstWindow() const
{
    const quota_tolerance &rules = m_options.rules;
    const quota_limit &limit = m_options.limit;
    const double inWindow = limit.rate * static_cast<double>(rules.window.count) / msPerSecond + limit.burst;
    const double allowed = inWindow * (1 + rules.overage) + rules.slack;
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const use &each : m_used) {
        sum += each.units;
        while (m_used[first].at + rules.window <= each.at) {
            sum -= m_used[first++].units;
        }
        most = std::max(most, sum);
    }
    return most / allowed;
}

}
