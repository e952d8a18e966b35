#include "coordination/quota_home.h"

#include <algorithm>
#include <utility>

namespace briarhead {

millis grantsFrom(const quota_home &home, const quota_plan &plan)
{
    return home.handedOver ? home.startedAt : home.startedAt + plan.takeoverWait;
}

namespace {

/// How often the disconnected daemons are counted. The margin counts daemons ahead of time that may become
/// disconnected before the next count.
constexpr millis surveyInterval{100};
constexpr millis surveyMargin{250};
/// A response may be acknowledged by any of the next requests, so the latest rounds are kept.
constexpr std::size_t maxRecentRounds = 4;
/// The home keeps at least this fraction of a limit to grant units from, however large the demand for shares
/// is.
constexpr double minHomeShare = 0.1;
/// By this time after the home may grant, it has heard from each live daemon.
constexpr millis learningPeriod{1'500};
constexpr double msPerSecond = 1'000;
/// The minimum of the less urgent takes at most this fraction of what flows in, when the home's own part of
/// the limit is small.
constexpr double maxMinimumOfFill = 0.5;

/// One daemon's want, with the part of the most urgent rank.
struct ranked_want
{
    const quota_demand &want;
    bool ranked = false; ///< the daemon tells ranks apart
    double urgentDemand = 0;
    double urgentNeed = 0;
};

ranked_want rankedWant(
    const quota_demand &want, const std::vector<optional_fields> *fields, std::size_t index)
{
    if (fields == nullptr || index >= fields->size()) {
        return {want, false, fromMilli(want.demandMilli), fromMilli(want.needMilli)};
    }
    const auto valueOf = [&](quota_field tag) {
        return fromMilli(fieldValue((*fields)[index], static_cast<std::uint32_t>(tag), 0));
    };
    return {want, true, std::min(valueOf(quota_field::UrgentDemandMilli), fromMilli(want.demandMilli)),
        std::min(valueOf(quota_field::UrgentNeedMilli), fromMilli(want.needMilli))};
}

/// The fallback share: the fraction of each limit that a daemon may use after a long time without contact.
double equalShare(const quota_home &home)
{
    return 1.0 / static_cast<double>(std::max<std::size_t>(home.fleet.size(), 1));
}

bool isUnresponsiveFor(const quota_member &member, millis span, millis now)
{
    return !member.lastContact || now + surveyMargin >= *member.lastContact + span;
}

/// Recomputes which daemons are disconnected and which have not been heard from yet; the latter may still
/// hold shares that a former home granted. Returns whether either changed.
bool survey(quota_home &home, const quota_plan &plan, millis now)
{
    if (home.surveyedAt.count != 0 && now - home.surveyedAt < surveyInterval) {
        return false;
    }
    home.surveyedAt = now;
    home.fallbackReserved = 0;
    const double fallbackBefore = std::exchange(home.fallbackInUse, 0);
    const std::size_t unknownBefore = std::exchange(home.unknownDaemons, 0);
    const double equal = equalShare(home);
    for (const std::string &node : home.fleet) {
        const auto found = home.members.find(node);
        if (found == home.members.end()) {
            ++home.unknownDaemons;
            home.fallbackInUse += equal;
            home.fallbackReserved += equal;
            continue;
        }
        const quota_member &member = found->second;
        home.fallbackInUse += isUnresponsiveFor(member, plan.fallbackAfter, now) ? member.fallbackShare : 0;
        home.fallbackReserved +=
            isUnresponsiveFor(member, plan.fallbackReservedAfter, now) ? member.fallbackShare : 0;
    }
    if (home.fallbackInUse < fallbackBefore || home.unknownDaemons < unknownBefore) {
        home.usageDecreasedAt = now;
    }
    return home.fallbackInUse != fallbackBefore || home.unknownDaemons != unknownBefore;
}

/// The shares that daemons not heard from yet may hold from a former home. They expire one share lifetime
/// after the last one that the former home can have granted.
double unknownShares(
    const quota_home &home, const quota_plan &plan, const quota_home_account &account, millis now)
{
    if (now >= grantsFrom(home, plan) + plan.shareLifetime) {
        return 0;
    }
    const double maxUnknown = static_cast<double>(home.unknownDaemons) * plan.maxDaemonShare;
    return std::max(0.0, std::min(plan.maxTotalShares - account.learnedShares, maxUnknown));
}

double heldShares(const quota_home_account &account, millis now)
{
    double held = 0;
    for (const auto &[node, holding] : account.holdings) {
        held += holding.until > now ? holding.share : 0;
    }
    return held;
}

double availableShare(
    const quota_home &home, const quota_plan &plan, const quota_home_account &account, millis now)
{
    const double inUse =
        home.fallbackInUse + unknownShares(home, plan, account, now) + heldShares(account, now);
    return std::max(0.0, 1 - inUse);
}

bool mayGrant(const quota_home &home, const quota_plan &plan, millis now)
{
    return now >= grantsFrom(home, plan);
}

/// Sets the fraction of the limit that flows into an account's bucket from now on.
void setFillShare(const quota_home &home, const quota_plan &plan, quota_home_account &account,
    const quota_limit &limit, millis now)
{
    account.fillShare = mayGrant(home, plan, now) ? availableShare(home, plan, account, now) : 0;
    fill(account.bucket, 0, account.fillShare * limit.burst, now);
}

void fillAccount(quota_home_account &account, const quota_limit &limit, millis now)
{
    fill(account.bucket, account.fillShare * limit.rate, account.fillShare * limit.burst, now);
}

/// Whether the request is a new one, from a live process. Also updates the time of the daemon's last contact:
/// its request was sent after the response that it acknowledges, and that response was sent at a known time.
bool acceptRound(
    quota_home &home, const quota_requester &requester, const quota_request &request, bool &first, millis now)
{
    const auto [entry, isNew] = home.members.try_emplace(requester.node);
    quota_member &member = entry->second;
    first = isNew;
    if (member.incarnation != requester.incarnation) {
        // A late message of a process that has ended. Incarnations are start times, so a lower one is older,
        // unless the clock was set back meanwhile; then the daemon's record decides.
        if (!isNew && requester.incarnation < member.incarnation && !requester.recorded) {
            return false;
        }
        if (!isNew) {
            // Only one daemon at a time runs under a name, so the shares of the previous process are free.
            for (auto &[hash, account] : home.accounts) {
                account.holdings.erase(requester.node);
            }
        }
        member.incarnation = requester.incarnation;
        member.recentRounds.clear();
        member.lastContact.reset();
    }
    if (!member.recentRounds.empty() && request.round <= member.recentRounds.back().round) {
        return false;
    }
    for (const auto &before : member.recentRounds) {
        if (before.round == request.lastAnsweredRound) {
            member.lastContact =
                std::max(member.lastContact, std::optional(before.receivedAt - quotaResponseTimeout));
        }
    }
    member.recentRounds.push_back({request.round, now});
    while (member.recentRounds.size() > maxRecentRounds) {
        member.recentRounds.pop_front();
    }
    member.fallbackShare = std::max(fromPpm(request.fallbackSharePpm), equalShare(home));
    return true;
}

/// Factor by which less urgent demand counts when shares are divided: what the urgent demand of all daemons
/// leaves of the limit, as a fraction of the less urgent demand.
double lessUrgentFactor(const quota_home_account &account, const quota_limit &limit, millis now)
{
    double urgent = 0;
    double lessUrgent = 0;
    for (const auto &[holder, holding] : account.holdings) {
        if (holding.until > now) {
            urgent += holding.urgentDemand;
            lessUrgent += holding.demand - holding.urgentDemand;
        }
    }
    const double left = std::max(limit.rate - urgent, minLessUrgentShare * limit.rate);
    return lessUrgent > left ? left / lessUrgent : 1;
}

/// The share that a daemon gets in place of what it holds: proportional to its demand, but no more than is
/// free. As much as possible is granted as shares, so that daemons have a reserve when the home fails.
double shareFor(const quota_home &home, const quota_plan &plan, const quota_home_account &account,
    const quota_limit &limit, const std::string &node, const quota_demand &want, millis now)
{
    const double held = fromPpm(want.heldSharePpm);
    if (!mayGrant(home, plan, now)) {
        return held; // a share given back now could not be granted again
    }
    const double available =
        std::max(0.0, std::min(plan.maxTotalShares, 1 - home.fallbackReserved - minHomeShare));
    const double factor = lessUrgentFactor(account, limit, now);
    const auto countedDemand = [factor](const quota_holding &holding) {
        return holding.urgentDemand + factor * (holding.demand - holding.urgentDemand);
    };
    double totalDemand = 0;
    double otherShares = 0;
    for (const auto &[holder, holding] : account.holdings) {
        if (holding.until > now) {
            totalDemand += countedDemand(holding);
            otherShares += holder == node ? 0 : holding.share;
        }
    }
    const double ownDemand = countedDemand(account.holdings.at(node));
    const double proportionalShare = totalDemand > 0 ? available * ownDemand / totalDemand : 0;
    const double target =
        std::min({proportionalShare, plan.headroom * ownDemand / limit.rate, plan.maxDaemonShare});
    const double free = available - unknownShares(home, plan, account, now) - otherShares - held;
    if (now < grantsFrom(home, plan) + learningPeriod) {
        // The other daemons with demand are not all known yet.
        return std::max(held, std::min(target, held + std::max(0.0, free)));
    }
    const double share = std::max(0.0, std::min(target, held + free));
    const bool holdsRequest = share * limit.burst >= fromMilli(want.costMilli);
    return holdsRequest ? share : 0; // a bucket that can never hold a request is useless
}

millis waitFor(const quota_plan &plan, double missing, double rate)
{
    const double waitMs = missing * msPerSecond / rate;
    return {
        static_cast<std::int64_t>(std::clamp(waitMs, 1.0, static_cast<double>(plan.shareLifetime.count)))};
}

/// Grants units from the home's bucket for a need, or reports when there may be some. `first`: the least that
/// is of use. Returns whether all was granted.
bool grantUnits(const quota_plan &plan, const quota_tolerance &rules, const quota_limit &limit,
    quota_home_account &account, double need, double first, quota_grant &grant)
{
    const double debt = maxDebt(limit, rules);
    const double room = account.bucket.level >= 0 ? account.bucket.level + debt : 0;
    if (account.fillShare > 0 && room >= first) {
        const std::int64_t granted = toMilli(std::min(need, room));
        grant.unitsMilli += granted;
        account.bucket.level -= fromMilli(granted);
        return room >= need;
    }
    if (account.fillShare <= 0) {
        return false; // nothing may be granted yet, which does not mean that the limit is used up
    }
    const double missing = std::max(-account.bucket.level, first - debt - account.bucket.level);
    grant.availableInMs = waitFor(plan, missing, account.fillShare * limit.rate).count;
    return false;
}

/// The same for a need of less urgent callers, which leaves a reserve for the most urgent ones. The minimum
/// may use the bucket's whole debt even while it is below zero, where urgent needs have to wait: otherwise
/// urgent callers that ask more often would always be there first.
void grantLessUrgent(const quota_plan &plan, const quota_tolerance &rules, const quota_limit &limit,
    quota_home_account &account, double need, double first, quota_grant &grant, millis now)
{
    if (account.fillShare <= 0) {
        return;
    }
    const double fillRate = account.fillShare * limit.rate;
    const double minimumRate = std::min(minLessUrgentShare * limit.rate, maxMinimumOfFill * fillRate);
    fill(account.lessUrgentMinimum, minimumRate, std::max(first, minimumRate), now);
    const double debt = maxDebt(limit, rules);
    const double urgent = currentDemand(account.urgentNeeds, now);
    const double left = account.bucket.level
        - urgentReserve(account.urgentNeeds, fillRate, account.fillShare * limit.burst, now);
    const double fromMinimum = std::min(account.lessUrgentMinimum.level, account.bucket.level + debt);
    double granted = 0;
    if (left >= 0 && left + debt >= first) {
        granted = std::max(left, first); // in debt only for a caller that would otherwise never run
    } else if (fromMinimum >= first) {
        granted = fromMinimum;
    } else {
        const double missing = std::max(-left, first - debt - left);
        grant.availableInMs = waitFor(plan, missing, std::max(fillRate - urgent, minimumRate)).count;
        return;
    }
    const std::int64_t grantedMilli = toMilli(std::min(need, granted));
    grant.unitsMilli += grantedMilli;
    account.bucket.level -= fromMilli(grantedMilli);
    account.lessUrgentMinimum.level =
        std::max(0.0, account.lessUrgentMinimum.level - fromMilli(grantedMilli));
}

/// Grants units for the waiting callers of a daemon, the most urgent first.
void grantNeeds(const quota_plan &plan, const quota_tolerance &rules, const quota_limit &limit,
    quota_home_account &account, const ranked_want &from, quota_grant &grant, millis now)
{
    const double moved = fromMilli(grant.unitsMilli);
    const double total = fromMilli(from.want.needMilli);
    const double need = std::max(0.0, total - moved);
    if (need <= 0) {
        return;
    }
    const double first = std::min(std::max(0.0, fromMilli(from.want.firstNeedMilli) - moved), need);
    if (!from.ranked) {
        (void)grantUnits(plan, rules, limit, account, need, first, grant);
        return;
    }
    const double urgent = std::max(0.0, from.urgentNeed - moved);
    if (urgent <= 0) {
        grantLessUrgent(plan, rules, limit, account, need, first, grant, now);
        return;
    }
    const std::int64_t before = grant.unitsMilli;
    const bool all = grantUnits(plan, rules, limit, account, urgent, std::min(first, urgent), grant);
    const double granted = fromMilli(grant.unitsMilli - before);
    if (granted > 0 || grant.availableInMs > 0) {
        recordDemand(account.urgentNeeds, granted > 0 ? granted : urgent, now);
    }
    const double lessUrgent = need - urgent;
    if (all && lessUrgent > 0) {
        const double firstOfThem = std::min(lessUrgent, fromMilli(from.want.costMilli));
        grantLessUrgent(plan, rules, limit, account, lessUrgent, firstOfThem, grant, now);
    }
}

/// Returns the account's state, adding it at the first request. A new account has had no grants from this
/// home, so its bucket is filled for the time since then, except for times at which daemons may have used
/// more of the limit than now.
quota_home_account &findOrAddAccount(
    quota_home &home, const quota_plan &plan, const quota_limit &limit, std::uint64_t hash, millis now)
{
    const auto [entry, isNew] = home.accounts.try_emplace(hash);
    quota_home_account &account = entry->second;
    if (isNew) {
        const millis learned =
            grantsFrom(home, plan) + (home.unknownDaemons > 0 ? plan.shareLifetime : millis{});
        account.bucket.filledAt =
            std::min(now, std::max({home.usageDecreasedAt, grantsFrom(home, plan), learned}));
        setFillShare(home, plan, account, limit, now);
    }
    return account;
}

/// When a share grows, moves the units that no longer fit into the smaller bucket here to the daemon, so that
/// granting a share loses nothing of the burst.
void moveUnits(quota_home_account &account, const quota_limit &limit, double growth, quota_grant &grant)
{
    const double excess = account.bucket.level - account.fillShare * limit.burst;
    const double moved = std::min(excess, growth * limit.burst);
    if (moved > 0) {
        grant.unitsMilli += toMilli(moved);
        account.bucket.level -= moved;
    }
}

quota_grant handleWant(quota_home &home, const quota_plan &plan, const quota_tolerance &rules,
    const quota_limit &limit, const std::string &node, const ranked_want &from, bool first, millis now)
{
    const quota_demand &want = from.want;
    quota_home_account &account = findOrAddAccount(home, plan, limit, want.account, now);
    fillAccount(account, limit, now);
    const double held = fromPpm(want.heldSharePpm);
    account.learnedShares += first ? held : 0;
    quota_holding &holding = account.holdings[node];
    holding.demand = fromMilli(want.demandMilli);
    holding.urgentDemand = from.urgentDemand;
    holding.share = held;
    holding.until = now + plan.shareLifetime;
    quota_grant grant{want.account, 0, 0, 0};
    grant.grantedSharePpm = toPpm(shareFor(home, plan, account, limit, node, want, now));
    holding.share = std::max(held, fromPpm(grant.grantedSharePpm));
    account.bucket.level += fromMilli(want.unusedMilli);
    const double growth = holding.share - held;
    account.fillShare = mayGrant(home, plan, now) ? availableShare(home, plan, account, now) : 0;
    moveUnits(account, limit, growth, grant);
    fill(account.bucket, 0, account.fillShare * limit.burst, now);
    grantNeeds(plan, rules, limit, account, from, grant, now);
    return grant;
}

/// Adapts the rate of all buckets after a survey, so that what disconnected daemons use does not also flow in
/// here.
void updateAllAccounts(quota_home &home, const quota_plan &plan, const limit_lookup &limitOf, millis now)
{
    for (auto &[hash, account] : home.accounts) {
        const auto limit = limitOf(hash);
        if (!limit || !isLimited(*limit)) {
            continue;
        }
        // Daemons may have become disconnected at any time since the last survey, which is long ago if this
        // process was paused, but none can have reconnected unnoticed. So the smaller share applies to that
        // time.
        const double before = account.fillShare;
        account.fillShare =
            std::min(before, mayGrant(home, plan, now) ? availableShare(home, plan, account, now) : 0);
        fillAccount(account, *limit, now);
        setFillShare(home, plan, account, *limit, now);
    }
}

void removeExpiredHoldings(quota_home_account &account, millis now)
{
    std::erase_if(account.holdings, [now](const auto &each) {
        return each.second.until <= now;
    });
}

std::optional<quota_response> handle(quota_home &home, const quota_plan &plan, const quota_tolerance &rules,
    const limit_lookup &limitOf, const quota_requester &requester, const quota_request &request,
    const std::vector<optional_fields> *fields, millis now)
{
    bool first = false;
    if (!acceptRound(home, requester, request, first, now)) {
        return std::nullopt;
    }
    if (first) {
        home.surveyedAt = {}; // one unknown daemon less, so survey again
    }
    if (survey(home, plan, now)) {
        updateAllAccounts(home, plan, limitOf, now);
    }
    quota_response response{request.shard, request.round, toPpm(equalShare(home)), {}};
    for (std::size_t i = 0; i < request.demands.size(); ++i) {
        const quota_demand &want = request.demands[i];
        const auto limit = limitOf(want.account);
        if (!limit || !isLimited(*limit)) {
            response.grants.push_back({want.account, 0, 0, 0});
            continue;
        }
        response.grants.push_back(
            handleWant(home, plan, rules, *limit, requester.node, rankedWant(want, fields, i), first, now));
        removeExpiredHoldings(home.accounts[want.account], now);
    }
    return response;
}

}

quota_home startHome(millis now, bool handedOver)
{
    quota_home home;
    home.startedAt = now;
    home.handedOver = handedOver;
    return home;
}

void setFleet(quota_home &home, std::vector<std::string> fleet)
{
    home.fleet = std::move(fleet);
}

std::optional<quota_response> handleRequest(quota_home &home, const quota_plan &plan,
    const quota_tolerance &rules, const limit_lookup &limitOf, const quota_requester &requester,
    const quota_request &request, millis now)
{
    return handle(home, plan, rules, limitOf, requester, request, nullptr, now);
}

std::optional<quota_response> handleRequest(quota_home &home, const quota_plan &plan,
    const quota_tolerance &rules, const limit_lookup &limitOf, const quota_requester &requester,
    const extended_quota_request &request, millis now)
{
    return handle(home, plan, rules, limitOf, requester, request.request, &request.demandFields, now);
}

double homeFillShare(
    quota_home &home, const quota_plan &plan, const limit_lookup &limitOf, std::uint64_t account, millis now)
{
    if (survey(home, plan, now)) {
        updateAllAccounts(home, plan, limitOf, now);
    }
    const auto found = home.accounts.find(account);
    return found == home.accounts.end() ? 0 : found->second.fillShare;
}

void removeUnlimitedAccounts(quota_home &home, const limit_lookup &limitOf)
{
    std::erase_if(home.accounts, [&limitOf](const auto &each) {
        const auto limit = limitOf(each.first);
        return !limit || !isLimited(*limit);
    });
}

}
