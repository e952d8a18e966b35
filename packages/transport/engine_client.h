#pragma once

#include "state/clock.h"
#include "state/config.h"
#include "state/error.h"
#include "state/outcome.h"
#include "transport/http_client.h"
#include "transport/response_notice.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// What an engine itself says of its state, at once (GET /v1/state).
struct engine_state
{
    std::string incarnation; ///< changes on a cold start
    std::string baseModel; ///< empty while none is loaded
    std::string role; ///< "serving", "loading" or "idle"
    bool leaving = false;
    bool checksFencing = false;
    std::uint64_t fencingToken = 0; ///< highest number seen
    std::uint32_t slots = 0;
    std::uint32_t batchLimit = 0;
    std::vector<adapter_ref> resident;
    std::vector<adapter_ref> loading;
};

/// The lagging load report (GET /v1/report). `fencing` is the highest number the engine had seen
/// when the report was made, so a report carrying one's own number was made after one's own claim.
struct engine_report
{
    std::int64_t asOfMs = 0; ///< engine's clock
    std::uint64_t fencingToken = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<std::pair<adapter_ref, std::uint32_t>> runningByAdapter;
};

/// One change of an engine's prefix cache.
struct engine_cache_event
{
    std::uint64_t sequence = 0;
    adapter_ref adapter;
    std::uint64_t prefix = 0; ///< hash of the prompt's head
    bool stored = false; ///< false: removed
};

/// Cache events (GET /v1/events?since=SEQUENCE). They come late, and a gap in the sequence is one that
/// was lost: what they tell is a hint.
struct engine_cache_events
{
    std::uint64_t next = 0; ///< to ask from the next time
    std::vector<engine_cache_event> events;
};

/// Reads "adapter:version"; nothing if the text isn't of that form.
std::optional<adapter_ref> parseAdapterRef(std::string_view text);

/// One request as handed to an engine.
struct engine_run
{
    std::string path; ///< "/v1/completions" or "/v1/chat/completions"
    std::string body; ///< JSON with "model" set to "adapter:version" and "stream": true
    request_id id;
    std::uint64_t fencingToken = 0;
    priority rank = priority::Normal;
    millis deadline; ///< left
    bool idempotent = true; ///< false: marked for the engine's own record by X-Non-Idempotent
};

/// How a run ended. Done only when the engine's whole stream arrived, [DONE] included.
struct engine_run_end
{
    outcome result = outcome::Unknown;
    error why; ///< StaleFencing, NotResident as NoServer, Overloaded, Timeout, ConnectionLost
    millis retryAfter;
};

/// How an order ended. `certain` is false when the engine may or may not have carried it out.
struct engine_order_end
{
    bool ok = false;
    bool certain = true;
    error why;
    std::uint64_t fencingToken = 0; ///< the number the engine holds, when it said so
};

/// One backend server that is a model engine. Orders carry the fencing number; an engine that checks
/// it refuses an old one with 409 and code "stale_fencing". All bodies are JSON.
class engine_client
{
public:
    /// `orders` is the HTTP client of the order path; its sockets are under the fence where the engine
    /// does not check fencing.
    engine_client(http_client &orders, std::string url);

    /// Calls a function with what an answer says of the engine, whatever it answers: as its head comes, and
    /// again at its end. Set before the first call.
    void onResponseNotice(std::function<void(const response_notice &)> call);

    using on_order = std::function<void(const engine_order_end &)>;
    /// POST /v1/fence: puts a fencing number on the engine. Answered at once.
    void claim(std::uint64_t fencingToken, const std::string &holder, millis timeout, on_order done);
    /// POST /v1/load_lora_adapter {"lora_name", "lora_path"}; answers when loaded.
    void load(const adapter_ref &adapter, std::uint64_t fencingToken, millis timeout, on_order done);
    /// POST /v1/unload_lora_adapter {"lora_name"}.
    void unload(const adapter_ref &adapter, std::uint64_t fencingToken, millis timeout, on_order done);
    /// POST /v1/role {"role", "base_model"}; answers at once, the base model loads afterwards.
    void role(const std::string &role, const std::string &baseModel, std::uint64_t fencingToken,
        millis timeout, on_order done);
    /// GET /v1/state.
    void state(millis timeout, std::function<void(const std::optional<engine_state> &, const error &)> done);
    /// GET /v1/report.
    void report(
        millis timeout, std::function<void(const std::optional<engine_report> &, const error &)> done);
    /// GET /v1/events?since=SEQUENCE.
    void cacheEvents(std::uint64_t since, millis timeout,
        std::function<void(const std::optional<engine_cache_events> &, const error &)> done);

    /// Runs a request. onStart gives the adapter and version the engine says it runs on (header
    /// X-Adapter) before any byte; onBytes gives SSE text as it comes; onEnd comes exactly once.
    http_client::call_id run(const engine_run &request, std::function<void(std::string_view adapter)> onStart,
        std::function<void(std::string_view bytes)> onBytes,
        std::function<void(const engine_run_end &)> onEnd);
    /// Breaks a run off: ends the stream and sends POST /v1/cancel {"request_id"}. `done`, where given, says
    /// whether the engine confirmed that the request no longer runs there.
    void cancel(http_client::call_id call, const request_id &id, on_order done = {});

private:
    void order(const std::string &path, const std::string &body, std::uint64_t fencingToken, millis timeout,
        on_order done);

    /// Hands on what a whole answer says; `body` as far as it was kept.
    std::function<void(const http_result &, std::string_view body)> teller() const;

    http_client &m_http;
    std::string m_url;
    std::function<void(const response_notice &)> m_onWords;
};

}
