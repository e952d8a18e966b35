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

/// An engine's current state (GET /v1/state).
struct engine_state
{
    std::string incarnation; ///< changes on a cold start
    std::string baseModel; ///< empty if none is loaded
    std::string role; ///< "serving", "loading" or "idle"
    bool leaving = false;
    bool checksFencing = false; ///< the engine refuses orders with an old fencing token
    std::uint64_t fencingToken = 0; ///< the highest received
    std::uint32_t slots = 0; ///< adapters that it can hold
    std::uint32_t batchLimit = 0; ///< requests that it can run at once
    std::vector<adapter_ref> resident;
    std::vector<adapter_ref> loading;
};

/// An engine's load report, which lags behind its state (GET /v1/report).
struct engine_report
{
    std::int64_t asOfMs = 0; ///< when the report was made, by the engine's clock
    /// The highest fencing token that the engine had received when the report was made: a report that carries
    /// the owner's own token was made after the owner's claim.
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

/// Cache events (GET /v1/events?since=SEQUENCE). They arrive late, and a gap in the sequence means lost
/// events, so they may only be used as hints.
struct engine_cache_events
{
    std::uint64_t next = 0; ///< sequence number for the next request's `since`
    std::vector<engine_cache_event> events;
};

/// Parses "adapter:version"; nothing if the text is not of that form.
std::optional<adapter_ref> parseAdapterRef(std::string_view text);

/// One request as sent to an engine.
struct engine_run
{
    std::string path; ///< "/v1/completions" or "/v1/chat/completions"
    std::string body; ///< JSON with "model" set to "adapter:version" and "stream": true
    request_id id;
    std::uint64_t fencingToken = 0;
    priority rank = priority::Normal;
    millis deadline; ///< time left
    bool idempotent = true; ///< false: sent with X-Non-Idempotent, which the engine records
};

/// The result of a run. It is Done only if the engine's complete stream arrived, [DONE] included.
struct engine_run_end
{
    outcome result = outcome::Unknown;
    error why; ///< StaleFencing, NoServer (adapter not resident), Overloaded, Timeout, ConnectionLost
    millis retryAfter;
};

/// The result of an order.
struct engine_order_end
{
    bool ok = false;
    bool certain = true; ///< false: the engine may or may not have carried the order out
    error why;
    std::uint64_t fencingToken = 0; ///< the engine's highest token, if its response contained it
};

/// Client of one backend server that is a model engine. Orders carry the owner's fencing token; an engine
/// that checks tokens refuses an old one with status 409 and code "stale_fencing". All bodies are JSON.
class engine_client
{
public:
    /// `orders` is the HTTP client of the order path. If the engine does not check fencing tokens, the
    /// sockets of this client are registered with the fence.
    engine_client(http_client &orders, std::string url);

    /// Sets a function that receives the notice in a response, whatever the request, if the engine announces
    /// that it leaves or asks for a pause. For a run it is called when the head arrives and again at the end.
    /// Set before the first call.
    void onResponseNotice(std::function<void(const response_notice &)> call);

    using on_order = std::function<void(const engine_order_end &)>;
    /// POST /v1/fence: sets the engine's fencing token. The engine responds at once.
    void claim(std::uint64_t fencingToken, const std::string &holder, millis timeout, on_order done);
    /// POST /v1/load_lora_adapter {"lora_name", "lora_path"}; the engine responds when the adapter is loaded.
    void load(const adapter_ref &adapter, std::uint64_t fencingToken, millis timeout, on_order done);
    /// POST /v1/unload_lora_adapter {"lora_name"}.
    void unload(const adapter_ref &adapter, std::uint64_t fencingToken, millis timeout, on_order done);
    /// POST /v1/role {"role", "base_model"}; the engine responds at once and loads the base model afterwards.
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

    /// Runs a request. onStart receives, before any byte, the adapter and version that the engine runs it
    /// with (header X-Adapter); onBytes receives the SSE text as it arrives; onEnd is called exactly once
    /// unless the run is cancelled.
    http_client::call_id run(const engine_run &request, std::function<void(std::string_view adapter)> onStart,
        std::function<void(std::string_view bytes)> onBytes,
        std::function<void(const engine_run_end &)> onEnd);
    /// Cancels a run: closes its stream and sends POST /v1/cancel {"request_id"}. `done`, if given, receives
    /// whether the engine confirmed that the request no longer runs there.
    void cancel(http_client::call_id call, const request_id &id, on_order done = {});

private:
    void order(const std::string &path, const std::string &body, std::uint64_t fencingToken, millis timeout,
        on_order done);

    /// Returns a function that passes a response's notice to m_onResponseNotice. `body` is the part of the
    /// body that was kept.
    std::function<void(const http_result &, std::string_view body)> noticeForwarder() const;

    http_client &m_http;
    std::string m_url;
    std::function<void(const response_notice &)> m_onResponseNotice;
};

}
