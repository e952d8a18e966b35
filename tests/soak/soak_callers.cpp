#include "soak/soak_run.h"
#include "transport/backend_call.h"

#include <algorithm>
#include <fstream>

// What callers send, and what is asked of daemons besides to see that they keep up.
namespace briarhead::soak {

/// Each daemon that was undisturbed all the while must know the version's route, and not the one before's.
void soak_run::checkConfig(int version, millis changed)
{
    const millis since = changed - calmAfter;
    if (m_healed || version != m_version || m_storeTroubles > 0 || m_storeDisturbed > since) {
        return;
    }
    for (daemon_process &daemon : m_daemons) {
        if (daemon.disturbedUntil > since || daemon.pid == 0) {
            continue;
        }
        checkKey(daemon, version, since);
        for (const int route : {version, version - 1}) {
            const std::string id = "c" + std::to_string(++m_lastId);
            std::string call = "GET /v" + std::to_string(route) + "/x HTTP/1.1\r\nHost: h\r\n";
            call.append("X-Briarhead-Request-Id: ").append(id).append("\r\nX-Briarhead-Credential: ");
            call.append(freeKey).append("\r\n\r\n");
            m_witness.sent(id, true, daemon.name, bootNow(), {});
            callServer(m_loop, m_pool, {"127.0.0.1", daemon.frontPort}, call, probeTimeout,
                [this, &daemon, route, version, since](const call_result &result) {
                    const bool wrong = route == version
                        ? result.status == 404
                        : result.how == send_result::Complete && result.status != 404;
                    if (wrong && daemon.disturbedUntil <= since && m_version == version) {
                        m_report.violations.push_back("CONFIG " + daemon.name + " answers "
                            + std::to_string(result.status) + " on the route of version "
                            + std::to_string(route) + " while " + std::to_string(version) + " is in force");
                    }
                });
        }
    }
}

void soak_run::checkLog(const daemon_process &daemon)
{
    std::ifstream log(daemon.log);
    for (std::string line; std::getline(log, line);) {
        if (line.find(freeKey) != std::string::npos || line.find(limitedKey) != std::string::npos) {
            m_report.violations.push_back("KEY in the log of " + daemon.name);
            return;
        }
    }
}

/// A key that the version before had must open nothing.
void soak_run::checkKey(daemon_process &daemon, int version, millis since)
{
    const std::string id = "k" + std::to_string(++m_lastId);
    std::string call = "GET /safe/x HTTP/1.1\r\nHost: h\r\n";
    call.append("X-Briarhead-Request-Id: ").append(id).append("\r\nX-Briarhead-Credential: ");
    call.append(versionKey(version - 1)).append("\r\n\r\n");
    m_witness.sent(id, true, daemon.name, bootNow(), {});
    callServer(m_loop, m_pool, {"127.0.0.1", daemon.frontPort}, call, probeTimeout,
        [this, &daemon, version, since](const call_result &result) {
            const bool wrong = result.how == send_result::Complete && result.status != 401;
            if (wrong && daemon.disturbedUntil <= since && m_version == version) {
                m_report.violations.push_back("CONFIG " + daemon.name + " answers "
                    + std::to_string(result.status) + " to a key that version " + std::to_string(version)
                    + " has withdrawn");
            }
        });
}

/// Whether each server that named a limit has answered a request since.
bool soak_run::limitsKnownToHaveEnded(millis since) const
{
    return std::all_of(m_servers.begin(), m_servers.end(), [since](const served_server &each) {
        return !each.standin || each.standin->limits.empty()
            || (!each.standin->ranAt.empty() && each.standin->ranAt.back() >= since);
    });
}

std::size_t soak_run::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

void soak_run::sendOne()
{
    const bool limited = !m_healed && below(limitedOneIn) == 0;
    send(below(std::size(paths)), "hi", limited ? limitedKey : freeKey);
}

/// An attempt at the request that ends servers, as long as its caller goes on with it.
void soak_run::sendFatal()
{
    const millis now = bootNow() - m_begin;
    if (now >= m_fatal.from && now < m_fatal.until) {
        send(m_fatal.route, fatalBody, freeKey);
    }
}

/// A request with the part that crashes servers; no two are alike.
void soak_run::sendFatalPart()
{
    const millis now = bootNow() - m_begin;
    if (now >= m_fatalPart.from && now < m_fatalPart.until) {
        send(m_fatalPart.route, std::to_string(m_lastId), freeKey, {{}, false, true});
    }
}

/// The daemon that most new connections go to, or the number of daemons if there is none.
std::size_t soak_run::crowdedDaemon() const
{
    const millis now = bootNow() - m_begin;
    for (const crowd_plan &each : m_crowds) {
        if (now >= each.at && now < each.at + each.lasts) {
            return each.daemon;
        }
    }
    return m_daemons.size();
}

/// A plain request on a new connection, in addition to the others.
void soak_run::sendToCrowded()
{
    if (crowdedDaemon() < m_daemons.size()) {
        send(1, "hi", freeKey, {{}, true, false});
    }
}

/// The list of a prompt's parts, of which the last belongs to the request itself.
std::string soak_run::promptOf(const std::string &id, bool fatal) const
{
    const std::string own = ":100,e" + id.substr(1) + ":10";
    const std::size_t number = static_cast<std::size_t>(m_lastId);
    return fatal ? std::string(firstParts[0]) + ":100," + fatalPart + own
                 : std::string(firstParts[number % std::size(firstParts)]) + ":100,d"
            + std::to_string(number % secondParts) + own;
}

/// Whether the daemon and the store were undisturbed for as long as news between daemons may take.
bool soak_run::isCalm(const std::string &name) const
{
    const millis since = bootNow() - calmAfter;
    const auto daemon = std::find_if(m_daemons.begin(), m_daemons.end(), [&name](const daemon_process &each) {
        return each.name == name;
    });
    return daemon->disturbedUntil < since && m_storeTroubles == 0 && m_storeDisturbed < since;
}

bool soak_run::isServed(const std::string &softwareVersion) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&softwareVersion](const served_server &each) {
        return each.service == "llm" && each.standin && !each.standin->leaving
            && each.standin->currentBehavior == behavior::Serves
            && each.standin->softwareVersion == softwareVersion;
    });
}

bool soak_run::severalVersionsServe() const
{
    return isServed("v1") && isServed("v2");
}

/// The caller takes its stream up at some daemon.
void soak_run::takeUp(const resumed_stream &stream)
{
    if (!m_healed) {
        send(resumableKind, "hi", freeKey, {stream, false, false});
    }
}

void soak_run::send(
    std::size_t kind, const std::string &body, const std::string &key, const send_variant &variant)
{
    const resumed_stream &resumed = variant.resumed;
    std::vector<daemon_process *> open;
    for (daemon_process &daemon : m_daemons) {
        if (daemon.ready && daemon.pid != 0) {
            open.push_back(&daemon);
        }
    }
    if (open.empty()) {
        return;
    }
    const std::size_t crowded = crowdedDaemon();
    const bool anyCrowded = crowded < m_daemons.size();
    const bool toCrowded =
        variant.newConnection && anyCrowded && m_daemons[crowded].ready && m_daemons[crowded].pid != 0;
    daemon_process &daemon = toCrowded ? m_daemons[crowded] : *open[below(open.size())];
    const bool model = kind >= 2;
    const bool repeatable = kind == 1 || kind == 3;
    const std::string id = "r" + std::to_string(++m_lastId);
    std::string text = std::string("POST ") + paths[kind]
        + " HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: " + id + "\r\nX-Briarhead-Credential: " + key
        + "\r\nX-Briarhead-Tenant: mallory\r\nX-Briarhead-Deadline-Ms: " + std::to_string(deadline.count)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    text += variant.newConnection ? "Connection: close\r\n" : "";
    text += model ? "X-Briarhead-Model: m0/a" + std::to_string(below(adapters))
            + "\r\nX-Briarhead-Token-Count: 500,50\r\n"
                  : "";
    text += resumed.root.empty()
        ? ""
        : "Last-Event-Id: " + std::to_string(resumed.lastEvent) + "\r\nResumes: " + resumed.root + "\r\n";
    const bool isFatal = variant.hasFatalPart || body == fatalBody;
    const bool isComparable = !isFatal && key == freeKey && isCalm(daemon.name);
    const std::string prompt = promptOf(id, variant.hasFatalPart);
    text += model ? "X-Briarhead-Prompt-Prefix: " + prompt + "\r\n" : "";
    m_witness.sent(id, repeatable, daemon.name, bootNow(), daemon.terminated);
    if (isFatal) {
        m_witness.isFatal(id, variant.hasFatalPart ? "a part" : "content");
    }
    if (isComparable && kind == 1 && anyCrowded) {
        m_witness.isBesideCrowd(id, daemon.name == m_daemons[crowded].name);
    }
    if (isComparable && !variant.newConnection) {
        m_witness.countsForCuts(id);
        if (model) {
            m_witness.hasFirstPart(id, prompt.substr(0, prompt.find(':')));
        }
    }
    if (model) {
        const auto &versions = m_witness.versionsOf(resumed.root);
        const bool mayGoOn = resumed.root.empty() || (versions.size() == 1 && isServed(*versions.begin()));
        m_witness.isStream(id, resumed,
            kind == resumableKind && !isFatal && isCalm(daemon.name) && severalVersionsServe() && mayGoOn);
    }
    struct heard
    {
        http_head head;
        std::string body;
    };
    const auto answer = std::make_shared<heard>();
    send_handlers calls;
    calls.onHead = [answer](const http_head &head) {
        answer->head = head;
        return true;
    };
    calls.onBody = [answer](const std::string &bytes) {
        answer->body += bytes;
    };
    const bool takesUp = kind == resumableKind && !isFatal;
    calls.onEnd = [this, answer, id, model, takesUp, resumed, &daemon](
                      const response_end &end, const error &) {
        m_witness.answered({id, model, resultOf(end), answer->head, answer->body}, bootNow(),
            bootNow() - deadline - overdue > daemon.disturbedUntil);
        if (!takesUp || resultOf(end) == send_result::Complete || resumed.takenUp >= maxTakenUp) {
            return;
        }
        const std::size_t wholeEvents = answer->body.rfind("\n\n");
        const std::size_t at =
            wholeEvents == std::string::npos ? wholeEvents : answer->body.rfind("id: ", wholeEvents);
        resumed_stream next = resumed;
        if (at != std::string::npos) {
            next.lastEvent = std::stoi(answer->body.substr(at + 4));
            next.root = next.root.empty() ? id : next.root;
        }
        ++next.takenUp;
        if (!next.root.empty() && next.lastEvent < eventsOfAStream) {
            after(millis{static_cast<std::int64_t>(1 + below(longestAbsenceMs))}, [this, next] {
                takeUp(next);
            });
        }
    };
    m_pool.start({"127.0.0.1", daemon.frontPort}, text + "\r\n" + body, false, std::move(calls));
    after(deadline + overdue, [this, id, &daemon] {
        m_witness.due(id, daemon.disturbedUntil);
    });
}

}
