#include "soak/witness.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace briarhead::soak {

namespace {

constexpr int streamEvents = 4; ///< of a stand-in's stream
/// Planned work alone must cut nothing; other faults count up to this long before.
constexpr millis calmBefore{3'000};
constexpr std::size_t violationsTold = 20;
/// The rule on streams that are taken up binds from so many on.
constexpr std::size_t takenUpCompared = 12;
/// A request's content may crash so many servers before all daemons must know it, a part of a prompt so many,
/// and either may be sent on so many times after.
constexpr std::size_t contentCrashesAllowed = 3;
constexpr std::size_t partCrashesAllowed = 5;
constexpr std::size_t sendsAllowed = 3;
/// The rule on sound requests with the first part of crashing ones binds from so many on.
constexpr std::size_t firstPartsCompared = 20;
/// The rule on a daemon that most new connections go to binds from so many requests on.
constexpr std::size_t crowdCompared = 20;
/// A daemon that has passed on a server's limit keeps to it from this long after.
constexpr millis toldBefore{500};
/// The rule on cut off daemons binds from this long after the cut.
constexpr millis cutBindsAfter{3'000};
constexpr millis comparedSpan{500};
/// A declared version of an adapter is in force by then.
constexpr millis versionBound{5'000};
const std::string stampBegin = "by-";

/// The number of the last event in a stream's body; 0 without one.
int lastEventOf(const std::string &body)
{
    const std::size_t at = body.rfind("id: ");
    return at == std::string::npos ? 0 : std::stoi(body.substr(at + 4));
}

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}

/// Whether one side went on less than `parts`/`of` as often as the other.
bool witness::isFewer(
    const stream_counts &side, const stream_counts &other, std::size_t parts, std::size_t of)
{
    return of * side.wentOn * other.sent < parts * other.wentOn * side.sent;
}

void witness::wrong(const std::string &what)
{
    if (m_violations.size() < violationsTold) {
        m_violations.push_back(what);
    }
}

void witness::disturbed(millis until)
{
    m_disturbedUntil = std::max(m_disturbedUntil, until);
}

void witness::sent(
    const std::string &id, bool repeatable, const std::string &daemon, millis at, millis terminated)
{
    sent_request request;
    request.repeatable = repeatable;
    request.daemon = daemon;
    request.at = at;
    request.ending = terminated.count != 0;
    m_requests[id] = request;
}

void witness::isStream(const std::string &id, const resumed_stream &resumed, bool counts)
{
    sent_request &request = m_requests.at(id);
    request.resumed = resumed;
    request.countsForVersions = counts;
}

void witness::serverStarted(const std::string &server, const std::string &softwareVersion)
{
    m_serverVersions[server] = softwareVersion;
}

const std::set<std::string> &witness::versionsOf(const std::string &root) const
{
    static const std::set<std::string> none;
    const auto found = m_streamVersions.find(root);
    return found == m_streamVersions.end() ? none : found->second;
}

/// All events of a stream come from servers of one software version, however often it is taken up.
void witness::checkVersions(const caller_answer &answer, const sent_request &request)
{
    const std::string root = request.resumed.root.empty() ? answer.id : request.resumed.root;
    std::set<std::string> &versions = m_streamVersions[root];
    std::istringstream lines(answer.body);
    bool anyEvent = false;
    for (std::string line; std::getline(lines, line);) {
        const auto server =
            line.starts_with("data: ") ? m_serverVersions.find(line.substr(6)) : m_serverVersions.end();
        if (server != m_serverVersions.end()) { // else the rest of a cut event
            anyEvent = true;
            versions.insert(server->second);
        }
    }
    if (versions.size() > 1) {
        wrong("ORDER " + answer.id + " at " + request.daemon + ": events of two software versions, begun as "
            + root);
    }
    if (request.countsForVersions) {
        stream_counts &counts = request.resumed.root.empty() ? m_newStreams : m_takenUp;
        ++counts.sent;
        counts.wentOn += anyEvent ? 1 : 0;
    }
}

/// While two software versions serve, streams that are taken up go on half as often as new ones begin.
void witness::checkTakenUp(soak_report &report) const
{
    if (m_takenUp.sent < takenUpCompared || m_newStreams.sent == 0) {
        return;
    }
    if (isFewer(m_takenUp, m_newStreams, 1, 2)) {
        std::ostringstream text;
        text << "LOST " << m_takenUp.wentOn << " of " << m_takenUp.sent << " streams taken up went on, "
             << m_newStreams.wentOn << " of " << m_newStreams.sent << " new ones began";
        report.violations.push_back(text.str());
    }
}

void witness::countsForCuts(const std::string &id)
{
    m_requests.at(id).countsForCuts = true;
}

void witness::cutOff(const std::set<std::string> &daemons, millis from, millis until)
{
    m_cuts.push_back({daemons, from, until});
}

/// First attempts at cut off daemons are served two thirds as often as at the others, or all but a few are,
/// from when the rule binds to the end of each cut.
void witness::checkCuts(soak_report &report) const
{
    for (const cut_daemons &cut : m_cuts) {
        std::array<double, 2> sent{};
        std::array<double, 2> served{};
        // Other faults come and go meanwhile, so only spans in which both sides got requests are compared.
        std::map<std::int64_t, std::array<std::vector<bool>, 2>> spans;
        for (const auto &[id, request] : m_requests) {
            if (request.countsForCuts && request.at >= cut.from + cutBindsAfter && request.at < cut.until) {
                spans[(request.at - cut.from).count / comparedSpan.count][cut.daemons.count(request.daemon)]
                    .push_back(request.served);
            }
        }
        for (const auto &[number, sides] : spans) {
            for (std::size_t side = 0; side < sides.size() && !sides[0].empty() && !sides[1].empty();
                 ++side) {
                sent[side] += static_cast<double>(sides[side].size());
                served[side] += static_cast<double>(std::count(sides[side].begin(), sides[side].end(), true));
            }
        }
        const double failed = sent[1] - served[1];
        const bool fewer = served[1] * sent[0] < served[0] * sent[1] * 2 / 3;
        if (fewer && failed > 10 + sent[1] / 50) {
            std::ostringstream text;
            text << "RECOVER cut off daemons served " << served[1] << " of " << sent[1]
                 << " first attempts, the others " << served[0] << " of " << sent[0];
            report.violations.push_back(text.str());
        }
    }
    if (m_brittleCrashes > 2 + static_cast<int>(m_servers) / 10) {
        report.violations.push_back("LIMIT brittle servers crashed " + std::to_string(m_brittleCrashes)
            + " times for rejecting too much");
    }
}

void witness::answered(const caller_answer &answer, millis at, bool calm)
{
    sent_request &request = m_requests.at(answer.id);
    request.answered = true;
    const std::string *stamp = findField(answer.head, "x-briarhead-server-stamp");
    if (stamp != nullptr && findField(answer.head, "server-limit") != nullptr) {
        m_told[stamp->substr(stampBegin.size())][request.daemon].push_back(at);
    }
    const int status = answer.head.status;
    request.begun = status >= 200 && status < 300;
    request.read = status != 0;
    if (answer.stream) {
        checkVersions(answer, request);
    }
    checkOrigin(answer);
    const std::string who = answer.id + " at " + request.daemon + ": ";
    if (answer.how == send_result::Unknown && status >= 200 && status < 300) {
        onUnframedAnswer(answer, request);
        return;
    }
    if (answer.how != send_result::Complete) {
        ++m_cut;
        checkStream(answer, false);
        const bool planned = request.ending && m_disturbedUntil + calmBefore < request.at;
        if (planned && answer.how == send_result::Broken && at - request.at < millis{3'000}) {
            wrong("LOST " + who + "cut off while its daemon ends in order");
        }
        return;
    }
    if (status >= 200 && status < 300) {
        ++m_served;
        request.served = true;
        const std::string *id = findField(answer.head, "x-briarhead-request-id");
        if (id == nullptr || *id != answer.id) {
            wrong("MIXED " + who + "the answer of another request");
        }
        if (findField(answer.head, "x-briarhead-server-stamp") == nullptr) {
            wrong("MIXED " + who + "a success without a server's signature");
        }
        checkStream(answer, true);
        if (!answer.stream
            && (!answer.body.starts_with("served by ") || std::isdigit(answer.body.back()) == 0)) {
            wrong("MIXED " + who + "not a server's body: " + answer.body);
        }
        return;
    }
    if (promisesNotRun(status)) {
        ++m_refused;
        request.promised = true;
        if (status == 503 && findField(answer.head, "retry-after") == nullptr) {
            wrong("REFUSED " + who + "without a word when to come back");
        }
        return;
    }
    ++m_failed;
    if (status >= 400 && status < 500 && calm) {
        wrong("DENIED " + who + std::to_string(status));
    }
}

/// An answer that ended with its connection claims nothing: it may be cut, but not in the middle of an event.
void witness::onUnframedAnswer(const caller_answer &answer, sent_request &request)
{
    checkStream(answer, false);
    const bool whole =
        answer.stream ? lastEventOf(answer.body) == streamEvents : answer.body.starts_with("served by ");
    (whole ? m_served : m_cut) += 1;
    request.served = whole;
    if (answer.stream && !answer.body.empty() && !answer.body.ends_with("\n\n")) {
        wrong("ORDER " + answer.id + ": half an event, and an orderly end");
    }
}

/// A plain body is of the server whose stamp it bears, and no event stands behind bytes that are none.
void witness::checkOrigin(const caller_answer &answer)
{
    const std::string *stamp = findField(answer.head, "x-briarhead-server-stamp");
    if (stamp == nullptr || answer.head.status != 200) {
        return;
    }
    const std::string ownBody = "served by " + stamp->substr(stampBegin.size());
    if (!answer.stream && answer.body != ownBody.substr(0, answer.body.size())) {
        wrong("MIXED " + answer.id + ": " + answer.body + " under the stamp " + *stamp);
    }
    if (answer.stream && answer.body.starts_with('#') && answer.body.find("id: ") != std::string::npos) {
        wrong("MIXED " + answer.id + ": a stream behind another server's bytes, stamp " + *stamp);
    }
}

/// Events are numbered from 1, each once, and an answer that ends as whole has them all.
void witness::checkStream(const caller_answer &answer, bool whole)
{
    if (!answer.stream || answer.head.status != 200) {
        return;
    }
    std::istringstream lines(answer.body);
    int last = m_requests.at(answer.id).resumed.lastEvent;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("id: ")) {
            const int id = std::stoi(line.substr(4));
            if (id != last + 1) {
                wrong("ORDER " + answer.id + ": event " + std::to_string(id) + " after "
                    + std::to_string(last));
            }
            last = id;
        }
    }
    if (whole && !answer.body.empty() && !answer.body.ends_with("\n\n")) {
        wrong("ORDER " + answer.id + ": looks whole and ends in half an event");
    }
    if (whole && last != streamEvents) {
        wrong("ORDER " + answer.id + ": looks whole after event " + std::to_string(last));
    }
}

const std::string &witness::daemonOf(const std::string &id) const
{
    return m_requests.at(id).daemon;
}

void witness::isFatal(const std::string &id, const std::string &cause)
{
    m_requests.at(id).fatalCause = cause;
}

void witness::hasFirstPart(const std::string &id, const std::string &part)
{
    m_requests.at(id).firstPart = part;
}

void witness::isBesideCrowd(const std::string &id, bool crowded)
{
    m_requests.at(id).besideCrowd = true;
    m_requests.at(id).crowded = crowded;
}

/// A daemon that most new connections go to serves what it reads three quarters as often as the others.
void witness::checkCrowds(soak_report &report) const
{
    std::array<stream_counts, 2> sides{};
    for (const auto &[id, request] : m_requests) {
        if (request.besideCrowd && request.read) {
            stream_counts &counts = sides[request.crowded ? 1 : 0];
            ++counts.sent;
            counts.wentOn += request.served ? 1 : 0;
        }
    }
    const auto &[others, crowded] = sides;
    const bool binds = others.sent >= crowdCompared && crowded.sent >= crowdCompared;
    if (binds && isFewer(crowded, others, 3, 4)) {
        std::ostringstream text;
        text << "RECOVER a crowded daemon served " << crowded.wentOn << " of " << crowded.sent
             << " requests that it read, the others " << others.wentOn << " of " << others.sent;
        report.violations.push_back(text.str());
    }
}

void witness::crashedUnder(const std::string &requestId, const std::string &server, millis at, bool calm)
{
    const std::string &name = m_requests.at(requestId).fatalCause;
    crash_cause &cause = m_causes[name];
    const std::size_t allowed = name == "content" ? contentCrashesAllowed : partCrashesAllowed;
    const bool known = cause.crashes.size() >= allowed && at > cause.crashes[allowed - 1] + calmBefore;
    cause.crashes.push_back(at);
    cause.sentOn += known && calm ? 1 : 0;
    if (known && calm && cause.sentOn > sendsAllowed) {
        wrong("BUDGET " + server + " crashes because of " + name + " of requests under which "
            + std::to_string(cause.crashes.size() - 1) + " had crashed");
    }
}

/// Sound requests with the first part of the crashing ones begin at least half as often as those with
/// another, from when the rule binds.
void witness::checkFirstParts(soak_report &report) const
{
    const auto cause = m_causes.find("a part");
    if (cause == m_causes.end()) {
        return;
    }
    const std::vector<millis> &crashes = cause->second.crashes;
    const millis from = crashes[std::min(crashes.size(), partCrashesAllowed) - 1] + calmBefore + calmBefore;
    std::map<std::string, stream_counts> parts;
    for (const auto &[id, request] : m_requests) {
        if (!request.firstPart.empty() && request.at >= from) {
            stream_counts &counts = parts[request.firstPart];
            ++counts.sent;
            counts.wentOn += request.begun ? 1 : 0;
        }
    }
    const stream_counts &shared = parts[firstParts[0]];
    const stream_counts &other = parts[firstParts[1]];
    const bool binds = shared.sent >= firstPartsCompared && other.sent >= firstPartsCompared;
    if (binds && isFewer(shared, other, 1, 2)) {
        std::ostringstream text;
        text << "LOST " << shared.wentOn << " of " << shared.sent
             << " sound requests with the first part of the crashing ones began, " << other.wentOn << " of "
             << other.sent << " with another";
        report.violations.push_back(text.str());
    }
}

void witness::due(const std::string &id, millis disturbedUntil)
{
    const sent_request &request = m_requests.at(id);
    if (!request.answered && disturbedUntil + calmBefore < request.at) {
        wrong("CONFIG " + id + " at " + request.daemon + ": no answer long after its time");
    }
}

void witness::excuse(const std::string &daemon, millis from, millis until, excuse_kind kind)
{
    m_excused[daemon].push_back({from, until, kind});
}

void witness::heldUp(const std::string &server, millis from, millis until)
{
    m_heldUp[server].push_back({from, until});
}

/// Whether a request that a daemon sent counts against the server's limit.
bool witness::countsAt(const std::string &server, const std::string &daemon, millis at) const
{
    millis since;
    if (const auto excused = m_excused.find(daemon); excused != m_excused.end()) {
        for (const span &each : excused->second) {
            if (each.from <= at) {
                since = std::max(since, each.until + calmBefore);
            }
        }
    }
    const auto ofServer = m_told.find(server);
    if (ofServer == m_told.end() || ofServer->second.count(daemon) == 0) {
        return false;
    }
    const std::vector<millis> &told = ofServer->second.at(daemon);
    return std::any_of(told.begin(), told.end(), [&](millis each) {
        return each >= since && each + toldBefore <= at;
    });
}

void witness::checkServerLimit(const backend_standin &server)
{
    std::vector<limit_period> spells;
    for (const limit_period &spell : server.limits) {
        limit_period rest = spell;
        for (const span &each : m_heldUp[server.id]) {
            const bool within = each.from >= rest.from && (rest.until.count == 0 || each.from < rest.until);
            if (within) {
                spells.push_back({rest.from, each.from, rest.perSecond});
                rest.from = each.until;
            }
        }
        if (rest.until.count == 0 || rest.from < rest.until) {
            spells.push_back(rest);
        }
    }
    std::vector<millis> counted;
    for (const received_request &each : server.arrivals) {
        const auto sent = m_requests.find(each.id);
        if (sent != m_requests.end() && countsAt(server.id, sent->second.daemon, each.at)) {
            counted.push_back(each.at);
        }
    }
    if (const auto over = findLimitViolation(spells, counted, bootNow())) {
        wrong("LIMIT " + server.id + " got " + *over);
    }
}

/// The daemon that sent a request, and how many of its excuses had begun and ended: what it was told before
/// one of them doesn't bind it after. Empty where the server's link was disturbed.
std::string witness::senderAt(
    const std::string &server, const std::string &id, millis at, bool cutsExcuse) const
{
    const auto request = m_requests.find(id);
    const auto held = m_heldUp.find(server);
    const bool disturbed = held != m_heldUp.end()
        && std::any_of(held->second.begin(), held->second.end(), [at](const span &each) {
               return each.from <= at && at <= each.until + calmBefore;
           });
    if (request == m_requests.end() || disturbed) {
        return "";
    }
    int turns = 0;
    if (const auto excused = m_excused.find(request->second.daemon); excused != m_excused.end()) {
        for (const span &each : excused->second) {
            const bool counts = cutsExcuse || each.kind == excuse_kind::Stopped;
            turns += counts ? (each.from <= at ? 1 : 0) + (each.until < at ? 1 : 0) : 0;
        }
    }
    return request->second.daemon + '#' + std::to_string(turns);
}

void witness::checkWords(const backend_standin &server)
{
    const auto sender = [this, &server](bool cutsExcuse) {
        return [this, &server, cutsExcuse](const std::string &id, millis at) {
            return senderAt(server.id, id, at, cutsExcuse);
        };
    };
    if (const auto late = findSendAfterLeaving(server.sentNotices, server.arrivals, sender(false))) {
        wrong("DRAIN " + server.id + ": " + *late);
    }
    if (const auto many = findSendInPause(server.sentNotices, server.arrivals, sender(true))) {
        wrong("BUDGET " + server.id + ": " + *many);
    }
}

void witness::saw(const backend_standin &server, std::size_t places)
{
    ++m_servers;
    m_brittleCrashes += server.brittleCrashes;
    for (std::size_t i = 0; i < server.ran.size(); ++i) {
        const front_request &run = server.ran[i];
        checkAccount(server, run, server.ranAt[i]);
        checkAdapterVersion(run, server.ranAt[i]);
        const std::string *id = findField(run.head, "x-briarhead-request-id");
        const auto found = id == nullptr ? m_requests.end() : m_requests.find(*id);
        if (found == m_requests.end()) {
            wrong("UNASKED " + server.id + " runs what no caller sent");
        } else {
            ++found->second.runs;
        }
    }
    checkServerLimit(server);
    checkWords(server);
    if (server.maxAdapters > places) {
        wrong("LIMIT " + server.id + " was ordered to hold " + std::to_string(server.maxAdapters)
            + " adapters");
    }
    std::map<std::uint64_t, std::string> holders;
    for (const nlohmann::json &order : server.orders) {
        const auto fence = order.at("fenceToken").get<std::uint64_t>();
        const auto holder = order.at("holder").get<std::string>();
        const auto known = holders.emplace(fence, holder).first;
        if (known->second != holder) {
            wrong("ONE " + server.id + ": " + holder + " and " + known->second + " use one fencing token");
        }
    }
}

void witness::versionNamed(const std::string &adapter, std::int64_t version, millis at)
{
    m_adapterVersions[adapter].emplace_back(at, version);
}

void witness::checkAdapterVersionsFrom(millis at)
{
    m_adapterVersionsFrom = at;
}

void witness::checkAdapterVersion(const front_request &run, millis at)
{
    const std::string *model = findField(run.head, "x-briarhead-model");
    const std::size_t slash = model == nullptr ? std::string::npos : model->find('/');
    if (slash == std::string::npos || !m_adapterVersionsFrom || at < *m_adapterVersionsFrom) {
        return;
    }
    std::int64_t newest = 0;
    for (const auto &[declaredAt, version] : m_adapterVersions[model->substr(slash + 1)]) {
        newest = at - declaredAt > versionBound ? std::max(newest, version) : newest;
    }
    const std::string *expected = findField(run.head, "x-briarhead-expect-version");
    const std::int64_t version = expected == nullptr ? 0 : std::stoll(*expected);
    if (version < newest) {
        wrong("VERSION a request begins on version " + std::to_string(version) + " of " + *model
            + " after version " + std::to_string(newest));
    }
}

/// Servers are told the account of the caller's key, whatever the caller says of it, and never the key.
void witness::checkAccount(const backend_standin &server, const front_request &run, millis at)
{
    const std::string *account = findField(run.head, "x-briarhead-tenant");
    if (findField(run.head, "x-briarhead-credential") != nullptr) {
        wrong("UNASKED " + server.id + " gets a caller's key");
    }
    if (account == nullptr || (*account != freeAccount && *account != limitedAccount)) {
        wrong("UNASKED " + server.id + " runs a request of no account that has the key");
    } else if (*account == limitedAccount) {
        m_limitedRuns.push_back(at);
    }
}

/// Over all daemons together, whatever was done to them.
void witness::checkLimit(soak_report &report) const
{
    std::vector<millis> runs = m_limitedRuns;
    std::sort(runs.begin(), runs.end());
    constexpr double msPerSecond = 1'000;
    const double allowed =
        (limitedTo.rate * static_cast<double>(limitRules.window.count) / msPerSecond + limitedTo.burst)
            * (1 + limitRules.overage)
        + limitRules.slack;
    std::size_t first = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        while (runs[first] + limitRules.window <= runs[i]) {
            ++first;
        }
        if (static_cast<double>(i - first + 1) > allowed) {
            report.violations.push_back("QUOTA " + std::to_string(i - first + 1) + " requests of "
                + limitedAccount + " ran within the window");
            return;
        }
    }
}

std::size_t witness::served() const
{
    return m_served;
}

void witness::fill(soak_report &report) const
{
    report.requests = m_requests.size();
    report.served = m_served;
    report.refused = m_refused;
    report.failed = m_failed;
    report.cut = m_cut;
    report.violations.insert(report.violations.end(), m_violations.begin(), m_violations.end());
    checkLimit(report);
    checkCuts(report);
    checkFirstParts(report);
    checkCrowds(report);
    checkTakenUp(report);
    for (const auto &[id, request] : m_requests) {
        if (request.promised && request.runs > 0) {
            report.violations.push_back(
                "REFUSED " + id + " at " + request.daemon + ": ran, and was told it did not");
        }
        if (!request.repeatable && request.runs > 1) {
            report.violations.push_back("TWICE " + id + " at " + request.daemon + " ran more than once");
        }
    }
}

}
