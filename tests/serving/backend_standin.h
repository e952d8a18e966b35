#pragma once

#include "serving/notice_check.h"
#include "transport/front_server.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace briarhead {

/// How a server frames its responses, and where it cuts them.
struct response_ending
{
    body_framing framing = body_framing::Chunked;
    std::optional<std::size_t> cutAt; ///< bytes of the body that are sent; empty: all
    bool resets = false; ///< a cut response ends with a reset of the connection, else with an orderly close
    /// One response in so many is cut at a random byte and ends in a random way; 0: as `cutAt` says.
    int cutOneIn = 0;
};

/// Simulates a backend server of the platform: runs requests, executes orders and returns reports. Tests
/// control and observe it through its public fields.
class backend_standin
{
public:
    backend_standin(loop &eventLoop, std::string serverId, std::string service);

    /// The server's entry in the store.
    std::string entry(const std::string &state = "ready") const;
    /// Begins a stream with some events, framed as `ending` says.
    void respondWithStream(
        const std::shared_ptr<front_reply> &reply, const std::string &requestId, int from, int to);

    /// Announces a limit, or none, in all responses from now on.
    void setLimit(std::optional<double> perSecond);
    /// Describes the first violation of the server's limits by all daemons together, if any. Requests whose
    /// ids start with `excused` are not counted.
    std::optional<std::string> findLimitViolation(const std::string &excused = "-") const;

    /// Announces in all responses from now on that the server is brittle. After `brittleNoticeTime` it lets
    /// no requests wait, and crashes if it rejects more than `maxRejections` within a second.
    void setBrittle(std::optional<int> maxRejections);
    /// How often the server has crashed because it rejected too many requests.
    int brittleCrashes = 0;
    std::vector<millis> brittleRejections; ///< while crashes are possible, since the last crash

    /// Responds to the requests that were received while Silent, as `ending` says if it is set.
    void respondToHeld(const std::string &body);
    /// Closes the listening socket and the connections of held streams in order, as the kernel does for a
    /// process that has crashed.
    void crash();
    /// Closes the connections of held streams in order.
    void closeHeldStreams();

    /// What the server does with requests. "Run" means that it executes them.
    enum class behavior : std::uint8_t
    {
        Serves,
        Sheds, ///< returns 503 without running requests
        Busy, ///< returns 429 without running requests; orders and reports work normally
        Slow, ///< responds after `responseDelay`
        Fails, ///< runs requests and returns 500
        Unsigned, ///< returns 200 without the server's signature
        UsesWrongRequestId, ///< runs requests and returns another request's id and body
        Resets, ///< runs requests and closes the connection without a response
        Silent, ///< runs requests and never responds
        CutsStream, ///< closes the connection after the second event
        HoldsStream, ///< sends two events and keeps the stream open
        Endless, ///< returns bytes that nobody signed, without end
        Spoils, ///< sends many bytes that are no events in the place of each third stream, and resets
    };
    behavior currentBehavior = behavior::Serves;
    std::optional<response_ending> ending; ///< of responses while Serves; empty: framed and whole
    bool numbersEvents = true; ///< events have ids
    /// Ids of requests whose response was cut. Servers that share it cut one response of each request.
    std::shared_ptr<std::set<std::string>> cutRequests = std::make_shared<std::set<std::string>>();
    std::string id;
    std::string softwareVersion; ///< included in the entry unless it is empty
    std::int64_t startedAtMs = 0; ///< included in the entry and in reports unless it is 0
    std::set<std::string> adapters; ///< resident
    std::map<std::string, std::int64_t> adapterVersions; ///< of resident ones, as ordered; absent: 1
    bool holdsModel = true; ///< the base model is loaded
    millis modelLoadTime; ///< duration of a load of the base model
    std::size_t reportRequests = 0; ///< number received
    std::int64_t sequence = 0;
    std::uint64_t fence = 0;
    std::vector<front_request> ran; ///< requests that were run
    std::vector<millis> ranAt; ///< when each of them began
    std::vector<nlohmann::json> orders;
    std::vector<received_request> arrivals; ///< requests and report requests, including rejected ones
    std::vector<limit_period> limits; ///< limits announced so far
    std::string limitText; ///< limit announced in responses; empty for none
    bool leaving = false; ///< announce in responses that the server is leaving
    std::string pauseText; ///< pause requested in 503 responses; empty for none
    std::vector<sent_notice> sentNotices; ///< of leaving and of pauses
    std::size_t callersGone = 0; ///< requests whose connection was closed while Silent
    std::size_t rejected = 0; ///< requests rejected while Busy or Sheds
    millis responseDelay{700};
    millis orderTime; ///< delay of the response to an order, which itself takes effect at once
    std::uint16_t port = 0;
    std::uint16_t advertisedPort = 0; ///< port in the entry, if daemons connect through a proxy; 0: `port`
    std::size_t maxAdapters = 0; ///< largest number of adapters resident at the same time
    std::string fatalBody; ///< a request with this body crashes the server; empty for none
    /// A request with one of these parts in its prompt crashes the server, unless the part is its last.
    std::set<std::string> fatalParts;
    std::size_t fatalRuns = 0; ///< requests that crash the server and were run
    /// Answers requests in place of `currentBehavior`, unless it is empty. `firstEvent` is 0 for plain
    /// requests.
    std::function<void(
        const std::string &requestId, int firstEvent, const std::shared_ptr<front_reply> &reply)>
        onRun;
    /// Called with the request's id shortly after a fatal request began to run. The callee destroys this
    /// object.
    std::function<void(const std::string &requestId)> onFatal;

private:
    void onRequest(const front_request &request, const std::shared_ptr<front_reply> &reply);
    void onOrder(const front_request &request, const std::shared_ptr<front_reply> &reply);
    int applyOrder(const nlohmann::json &order);
    std::vector<http_field> withNotices(std::vector<http_field> fields, const std::string &requestId = "");
    void reject(const std::string &requestId, front_reply &reply);
    void respondWithoutEnd(const std::shared_ptr<front_reply> &reply);
    void spoilStream(const std::shared_ptr<front_reply> &reply, const std::string &requestId);
    void run(const front_request &request, const std::shared_ptr<front_reply> &reply);
    void runFatalRequest(
        const std::string &requestId, const std::shared_ptr<front_reply> &reply, bool stream);
    /// Sends a stream that begins at `firstEvent`, or a plain response if it is 0.
    void respond(const std::shared_ptr<front_reply> &reply, const std::string &requestId, int firstEvent);
    void respondLater(const std::shared_ptr<front_reply> &reply, const std::string &requestId, int firstEvent,
        millis delay);
    void respondWithEnding(front_reply &reply, const std::string &requestId, int firstEvent);
    std::string eventText(int number) const;
    std::int64_t versionOf(const std::string &adapter) const;
    bool isFatal(const front_request &request) const;

    bool rejectsForLackOfRoom(const std::string &requestId, front_reply &reply);

    loop &m_loop;
    std::optional<int> m_maxRejections; ///< per second; empty: not brittle
    millis m_brittleSince;
    int m_running = 0; ///< requests with a delayed response
    std::optional<millis> m_modelLoadedAt; ///< when the load of the base model in progress ends
    std::string m_service;
    std::unique_ptr<front_server> m_server;
    std::vector<std::pair<std::string, std::shared_ptr<front_reply>>> m_held; ///< request ids and replies
    std::mt19937_64 m_random;
    std::vector<std::shared_ptr<void>> m_timers;
};

}
