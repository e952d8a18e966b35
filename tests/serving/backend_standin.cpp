#include "serving/backend_standin.h"

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

namespace briarhead {

namespace {

using json = nlohmann::json;

constexpr int streamEvents = 4;
constexpr int slotCount = 4;
/// The shortest time of the deployments after which a brittle server lets fewer requests wait.
constexpr millis brittleNoticeTime{3'000};
constexpr millis brittleWindow{1'000};
/// How long a request occupies a slot of a brittle server.
constexpr millis brittleServiceTime{60};
/// An endless response: so many bytes each time.
constexpr millis endlessPause{5};
constexpr std::size_t endlessBlockBytes = 64 * 1024;
constexpr std::size_t spoilsOneIn = 3;
/// More than daemons hold back.
constexpr std::size_t spoiledBytes = 400'000;
/// Long enough for the bytes to be received before the reset.
constexpr millis spoiledPause{50};
/// How long a fatal request runs before it crashes the server.
constexpr millis fatalRunTime{60};

std::string valueOf(const front_request &request, const char *name)
{
    const std::string *value = findField(request.head, name);
    return value == nullptr ? std::string() : *value;
}

}

backend_standin::backend_standin(loop &eventLoop, std::string serverId, std::string service)
    : id(std::move(serverId))
    , m_loop(eventLoop)
    , m_service(std::move(service))
    , m_random(std::hash<std::string>()(id))
{
    error why;
    m_server = front_server::listen(
        m_loop, "127.0.0.1", 0,
        [this](const front_request &request, const std::shared_ptr<front_reply> &reply) {
            onRequest(request, reply);
        },
        why);
    if (!m_server) {
        throw std::runtime_error(message(why));
    }
    port = m_server->port();
}

std::string backend_standin::entry(const std::string &state) const
{
    json object{{"service", m_service},
        {"address", "127.0.0.1:" + std::to_string(advertisedPort == 0 ? port : advertisedPort)},
        {"zone", "z"}, {"slots", slotCount}, {"state", state}, {"models", json::array()}};
    if (startedAtMs != 0) {
        object["born"] = startedAtMs;
    }
    if (!softwareVersion.empty()) {
        object["version"] = softwareVersion;
    }
    return object.dump();
}

std::int64_t backend_standin::versionOf(const std::string &adapter) const
{
    const auto found = adapterVersions.find(adapter);
    return found == adapterVersions.end() ? 1 : found->second;
}

void backend_standin::setLimit(std::optional<double> perSecond)
{
    const millis at = bootNow();
    if (!limits.empty() && limits.back().until.count == 0) {
        limits.back().until = at;
    }
    limitText.clear();
    if (perSecond) {
        limits.push_back({at, {}, *perSecond});
        limitText = std::to_string(*perSecond);
    }
}

void backend_standin::setBrittle(std::optional<int> maxRejections)
{
    m_maxRejections = maxRejections;
    m_brittleSince = bootNow();
    brittleRejections.clear();
}

/// Rejects the request if all slots are in use, and lets none wait once the notice time is over.
bool backend_standin::rejectsForLackOfRoom(const std::string &requestId, front_reply &reply)
{
    const bool strict = m_maxRejections && bootNow() - m_brittleSince >= brittleNoticeTime;
    if (!m_maxRejections || m_running < slotCount + (strict ? 0 : slotCount)) {
        return false;
    }
    ++rejected;
    reply.respond(
        503, withNotices({{"X-Briarhead-Not-Executed", "1"}, {"X-Briarhead-Request-Id", requestId}}), "");
    if (!strict) {
        return true;
    }
    brittleRejections.push_back(bootNow());
    const auto recent = std::count_if(
        brittleRejections.begin(), brittleRejections.end(), [now = bootNow()](const millis &at) {
            return now - at < brittleWindow;
        });
    if (recent > *m_maxRejections) {
        ++brittleCrashes;
        brittleRejections.clear();
    }
    return true;
}

std::optional<std::string> backend_standin::findLimitViolation(const std::string &excused) const
{
    std::vector<millis> times;
    times.reserve(arrivals.size());
    for (const received_request &each : arrivals) {
        if (!each.id.starts_with(excused)) {
            times.push_back(each.at);
        }
    }
    return briarhead::findLimitViolation(limits, times, bootNow());
}

/// Adds the server's notices to the header fields of a response.
std::vector<http_field> backend_standin::withNotices(
    std::vector<http_field> fields, const std::string &requestId)
{
    if (!limitText.empty()) {
        fields.push_back({"Server-Limit", limitText});
    }
    if (m_maxRejections) {
        fields.push_back({"Server-Brittle", std::to_string(*m_maxRejections)});
    }
    if (leaving) {
        fields.push_back({"Server-Leaving", "1"});
        sentNotices.push_back({requestId, bootNow(), true, {}});
    }
    return fields;
}

void backend_standin::reject(const std::string &requestId, front_reply &reply)
{
    ++rejected;
    auto fields =
        withNotices({{"X-Briarhead-Not-Executed", "1"}, {"X-Briarhead-Request-Id", requestId}}, requestId);
    if (currentBehavior == behavior::Sheds && !pauseText.empty()) {
        fields.push_back({"Retry-After", pauseText});
        const double seconds = std::strtod(pauseText.c_str(), nullptr);
        sentNotices.push_back({requestId, bootNow(), false, {static_cast<std::int64_t>(seconds * 1'000)}});
    }
    reply.respond(currentBehavior == behavior::Sheds ? 503 : 429, fields, "");
}

void backend_standin::onRequest(const front_request &request, const std::shared_ptr<front_reply> &reply)
{
    const std::string expected = valueOf(request, "x-briarhead-expect-instance");
    if (!expected.empty() && expected != id) {
        reply->respond(421, {}, "");
    } else if (request.head.target == "/v1/order") {
        onOrder(request, reply);
    } else if (request.head.target == "/v1/report") {
        ++reportRequests;
        arrivals.push_back({"", bootNow()});
        if (m_modelLoadedAt && bootNow() >= *m_modelLoadedAt) {
            holdsModel = true;
            m_modelLoadedAt.reset();
        }
        json models = json::array();
        if (holdsModel) {
            json names = json::array();
            for (const std::string &adapter : adapters) {
                names.push_back(adapter + '@' + std::to_string(versionOf(adapter)));
            }
            models.push_back({{"name", "m0"}, {"version", 1}, {"adapters", names}});
        }
        json report{{"seq", sequence}, {"busy", m_modelLoadedAt.has_value()}, {"models", models}};
        if (startedAtMs != 0) {
            report["born"] = startedAtMs;
        }
        reply->respond(200, withNotices({}), report.dump());
    } else {
        run(request, reply);
    }
}

void backend_standin::onOrder(const front_request &request, const std::shared_ptr<front_reply> &reply)
{
    const json order = json::parse(request.body);
    orders.push_back(order);
    const int status = applyOrder(order);
    if (orderTime == millis{}) {
        reply->respond(status, {}, "");
        return;
    }
    m_timers.push_back(m_loop.timer(orderTime, {}, [reply, status] {
        reply->respond(status, {}, "");
    }));
}

/// Executes an order and returns the status of the response.
int backend_standin::applyOrder(const json &order)
{
    if (order.at("fenceToken").get<std::uint64_t>() < fence) {
        return 412;
    }
    fence = order.at("fenceToken").get<std::uint64_t>();
    if (order.at("expectedRev").get<std::int64_t>() != sequence) {
        return 409;
    }
    const std::string adapter = order.value("adapter", "");
    const std::int64_t version = order.value("version", versionOf(adapter));
    if (order.at("opcode") == "load" && adapters.count(adapter) != 0 && version == versionOf(adapter)) {
        return 200;
    }
    ++sequence;
    if (adapter.empty() && order.at("opcode") == "load") {
        m_modelLoadedAt = bootNow() + modelLoadTime;
        return 202;
    }
    if (order.at("opcode") == "load") {
        adapters.insert(adapter);
        adapterVersions[adapter] = version;
        maxAdapters = std::max(maxAdapters, adapters.size());
        return 202;
    }
    adapters.erase(adapter);
    return 200;
}

void backend_standin::respondToHeld(const std::string &body)
{
    for (const auto &[requestId, reply] : std::exchange(m_held, {})) {
        if (ending) {
            respondWithEnding(*reply, requestId, 0);
            continue;
        }
        reply->respond(
            200, {{"X-Briarhead-Request-Id", requestId}, {"X-Briarhead-Server-Stamp", "by-" + id}}, body);
    }
}

void backend_standin::crash()
{
    m_server->stopListening();
    closeHeldStreams();
}

void backend_standin::closeHeldStreams()
{
    for (const auto &[requestId, reply] : m_held) {
        reply->end();
    }
    m_held.clear();
}

void backend_standin::respondWithStream(
    const std::shared_ptr<front_reply> &reply, const std::string &requestId, int from, int to)
{
    reply->begin(200,
        withNotices({{"X-Briarhead-Request-Id", requestId}, {"X-Briarhead-Server-Stamp", "by-" + id},
                        {"Content-Type", "text/event-stream"}},
            requestId),
        ending ? ending->framing : body_framing::Chunked);
    for (int i = from; i <= to; ++i) {
        reply->write(eventText(i));
    }
}

std::string backend_standin::eventText(int number) const
{
    return (numbersEvents ? "id: " + std::to_string(number) + '\n' : std::string()) + "data: " + id + "\n\n";
}

/// Sends a response with the framing and the end that `ending` asks for.
void backend_standin::respondWithEnding(front_reply &reply, const std::string &requestId, int firstEvent)
{
    std::string body;
    for (int i = firstEvent; firstEvent != 0 && i <= streamEvents; ++i) {
        body += eventText(i);
    }
    body = firstEvent == 0 ? "served by " + id : body;
    auto fields = withNotices(
        {{"X-Briarhead-Request-Id", requestId}, {"X-Briarhead-Server-Stamp", "by-" + id}}, requestId);
    if (firstEvent != 0) {
        fields.push_back({"Content-Type", "text/event-stream"});
    }
    if (ending->framing == body_framing::Length) {
        fields.push_back({"Content-Length", std::to_string(body.size())});
    }
    response_ending drawn = *ending;
    if (drawn.cutOneIn > 0 && m_random() % static_cast<unsigned>(drawn.cutOneIn) == 0) {
        drawn.cutAt = m_random() % (body.size() + 1);
        drawn.resets = m_random() % 2 == 0;
    }
    const bool cut = drawn.cutAt && cutRequests->insert(requestId).second;
    reply.begin(200, fields, drawn.framing);
    reply.write(cut ? body.substr(0, *drawn.cutAt) : body);
    if (cut && drawn.resets) {
        reply.reset();
    } else if (cut && drawn.framing != body_framing::Connection) {
        reply.abort();
    } else {
        reply.end();
    }
}

bool backend_standin::isFatal(const front_request &request) const
{
    const std::string parts = ',' + valueOf(request, "x-briarhead-prompt-prefix");
    const std::size_t last = parts.rfind(',');
    return (!fatalBody.empty() && request.body == fatalBody)
        || std::any_of(fatalParts.begin(), fatalParts.end(), [&](const std::string &part) {
               return parts.find(',' + part + ':') < last;
           });
}

void backend_standin::run(const front_request &request, const std::shared_ptr<front_reply> &reply)
{
    const std::string requestId = valueOf(request, "x-briarhead-request-id");
    const std::string model = valueOf(request, "x-briarhead-model");
    const std::size_t slash = model.find('/');
    const std::string expected = valueOf(request, "x-briarhead-expect-version");
    const bool held = slash == std::string::npos
        || (adapters.count(model.substr(slash + 1)) != 0
            && (expected.empty() || std::stoll(expected) == versionOf(model.substr(slash + 1))));
    arrivals.push_back({requestId, bootNow()});
    const std::vector<http_field> signedFields{
        {"X-Briarhead-Request-Id", requestId}, {"X-Briarhead-Server-Stamp", "by-" + id}};
    if (!held) {
        reply->respond(421, withNotices(signedFields), "");
        return;
    }
    if (currentBehavior == behavior::Sheds || currentBehavior == behavior::Busy) {
        reject(requestId, *reply);
        return;
    }
    if (rejectsForLackOfRoom(requestId, *reply)) {
        return;
    }
    ran.push_back(request);
    ranAt.push_back(bootNow());
    if (isFatal(request)) {
        ++fatalRuns;
        runFatalRequest(requestId, reply, !model.empty());
        return;
    }
    const std::string after = valueOf(request, "last-event-id");
    const int first = after.empty() ? 1 : std::stoi(after) + 1;
    if (onRun) {
        onRun(requestId, model.empty() ? 0 : first, reply);
        return;
    }
    switch (currentBehavior) {
    case behavior::Fails:
        reply->respond(500, withNotices(signedFields, requestId), "broken");
        return;
    case behavior::Unsigned:
        reply->respond(200, {{"X-Briarhead-Request-Id", requestId}}, "not signed");
        return;
    case behavior::UsesWrongRequestId:
        reply->respond(200,
            {{"X-Briarhead-Request-Id", "of-another"}, {"X-Briarhead-Server-Stamp", "by-" + id}},
            "another's");
        return;
    case behavior::Resets:
        reply->abort();
        return;
    case behavior::Silent:
        reply->onDisconnect([this] {
            ++callersGone;
        });
        m_held.emplace_back(requestId, reply);
        return;
    case behavior::Slow:
        respondLater(reply, requestId, model.empty() ? 0 : first, responseDelay);
        return;
    case behavior::HoldsStream:
        respondWithStream(reply, requestId, first, std::min(first + 1, streamEvents));
        m_held.emplace_back(requestId, reply);
        return;
    case behavior::Endless:
        respondWithoutEnd(reply);
        return;
    case behavior::Spoils:
        if (!model.empty() && ran.size() % spoilsOneIn == 0) {
            spoilStream(reply, requestId);
            return;
        }
        break;
    case behavior::CutsStream:
        respondWithStream(reply, requestId, first, std::min(first + 1, streamEvents));
        reply->write("id: 99\ndata: ha");
        reply->abort();
        return;
    default:
        break;
    }
    if (m_maxRejections) {
        respondLater(reply, requestId, model.empty() ? 0 : first, brittleServiceTime);
    } else {
        respond(reply, requestId, model.empty() ? 0 : first);
    }
}

void backend_standin::respondWithoutEnd(const std::shared_ptr<front_reply> &reply)
{
    reply->begin(200, {}, body_framing::Connection);
    const auto open = std::make_shared<bool>(true);
    reply->onDisconnect([open] {
        *open = false;
    });
    m_timers.push_back(m_loop.timer(endlessPause, endlessPause, [reply, open] {
        if (*open && reply->pendingBytes() < endlessBlockBytes) {
            reply->write(std::string(endlessBlockBytes, 'x'));
        }
    }));
}

void backend_standin::spoilStream(const std::shared_ptr<front_reply> &reply, const std::string &requestId)
{
    reply->begin(200,
        withNotices({{"X-Briarhead-Request-Id", requestId}, {"X-Briarhead-Server-Stamp", "by-" + id},
                        {"Content-Type", "application/octet-stream"}},
            requestId),
        body_framing::Chunked);
    reply->write(std::string(spoiledBytes, '#'));
    m_timers.push_back(m_loop.timer(spoiledPause, {}, [reply] {
        reply->reset();
    }));
}

/// Occupies a slot until the response is sent, or the connection is closed.
void backend_standin::respondLater(
    const std::shared_ptr<front_reply> &reply, const std::string &requestId, int firstEvent, millis delay)
{
    ++m_running;
    const auto running = std::make_shared<bool>(true);
    const auto leave = [this, running] {
        m_running -= std::exchange(*running, false) ? 1 : 0;
    };
    reply->onDisconnect(leave);
    m_timers.push_back(m_loop.timer(delay, {}, [this, leave, reply, requestId, firstEvent] {
        leave();
        respond(reply, requestId, firstEvent);
    }));
}

void backend_standin::runFatalRequest(
    const std::string &requestId, const std::shared_ptr<front_reply> &reply, bool stream)
{
    if (stream) {
        respondWithStream(reply, requestId, 1, 0); // only the head
    }
    m_held.emplace_back(requestId, reply);
    m_timers.push_back(m_loop.timer(fatalRunTime, {}, [this, requestId] {
        // Posted, because the call destroys this object and thereby this timer.
        m_loop.post([call = onFatal, requestId] {
            call(requestId);
        });
    }));
}

void backend_standin::respond(
    const std::shared_ptr<front_reply> &reply, const std::string &requestId, int firstEvent)
{
    if (ending) {
        respondWithEnding(*reply, requestId, firstEvent);
        return;
    }
    if (firstEvent == 0) {
        reply->respond(200,
            withNotices(
                {{"X-Briarhead-Request-Id", requestId}, {"X-Briarhead-Server-Stamp", "by-" + id}}, requestId),
            "served by " + id);
        return;
    }
    respondWithStream(reply, requestId, firstEvent, streamEvents);
    reply->end();
}

}
