#pragma once

#include "standins/engine_batch.h"
#include "standins/standin_server.h"
#include "standins/weight_store_standin.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

struct engine_options
{
    std::string name = "engine";
    std::string baseModel = "base";
    std::uint32_t slots = 8;
    std::size_t queueLimit = 1024;
    batch_options batch;
    bool checksFencing = true;
    millis baseLoad; ///< a base model takes this long after a cold start or a role order
    millis reportLag{1'000};
    millis eventLag{500};
    std::uint64_t eventGap = 7; ///< each so manieth cache event is lost; 0: none
};

/// A model engine: adapter slots, continuous batching, fencing checked or ignored, lagging reports, late and
/// gappy cache events. Further faults:
///   {"fail_loads": n, "reset": true, "leaving": bool, "refuse_runs": bool, "pause": SECONDS,
///   "ignore_fencing": bool,
///    "drop_after_tokens": n (negative: off), "drop_inside_event": bool, "paused": bool, "run_as": "a:2"
///    (answers from another version), "fatal_prompt": HASH (a cold start a moment after a run of that prompt
///    began; empty: none), "fatal_text": TEXT (the same after each run whose prompt has it), "keep_runs":
///    bool (runs go on when their connection closes, as until an engine notices)}
/// Its record has the kinds "run", "withdrawn" (left the queue before it began), "load", "unload", "fence",
/// "role", "refused", "cold_start" and "violation". A violation's "what" is one of
///   unload_while_serving  it was obeyed, and the streams on the adapter were broken off
///   stale_taken           an order with an old fencing number, on an engine that doesn't check
///   stale_run_taken       the same for a run
///   same_id_twice         a request id came a second time, so that something sent it again
class engine_standin : public standin_server
{
public:
    /// Loads take no time without a store, which must outlive the engine.
    engine_standin(loop &eventLoop, engine_options options, weight_store_standin *store = nullptr);
    ~engine_standin() override;

    json summary() const override;
    void setFaults(const json &faults) override;
    json state() const;

    /// Loses the resident set, the fencing number and everything in progress, and loads its base model anew.
    void coldStart();

private:
    struct adapter_load
    {
        std::vector<reply_ptr> waiting;
        std::uint64_t fencingToken = 0;
        millis begun;
        weight_store_standin::load_id id = 0;
    };
    struct cache_event
    {
        millis at;
        std::uint64_t sequence = 0;
        json body;
    };

    void addRoutes();
    void onRun(const http_request &request, const reply_ptr &reply, bool chat);
    void onFence(const http_request &request, const reply_ptr &reply);
    void onLoad(const http_request &request, const reply_ptr &reply);
    void onUnload(const http_request &request, const reply_ptr &reply);
    void onRole(const http_request &request, const reply_ptr &reply);
    void onCancel(const http_request &request, const reply_ptr &reply);
    void onEvents(const http_request &request, const reply_ptr &reply) const;

    bool checksFencing() const;
    bool takesFencing(const http_request &request, const reply_ptr &reply, std::string_view order);
    std::string_view whyNotRun(const std::string &model) const;
    void refuse(const http_request &request, const reply_ptr &reply, int status, std::string_view code);
    void beginLoad(const std::string &adapter, const reply_ptr &reply, std::uint64_t fencingToken);
    void endLoad(const std::string &adapter, bool ok);
    void cancelLoad(const adapter_load &load);
    void abortLoads();
    void drop(const std::string &adapter, const std::string &token);
    void loadBase(const std::string &baseModel);
    void onRunEnd(const standin_run &run, std::string_view how);
    void onCache(const std::string &adapter, std::uint64_t prefix, bool stored);
    json report() const;
    void sampleReport();

    engine_options m_options;
    weight_store_standin *m_store;
    std::unique_ptr<engine_batch> m_batch;
    std::string m_incarnation;
    std::uint64_t m_starts = 0;
    std::string m_baseModel; ///< empty while none is loaded
    std::string m_role;
    std::uint64_t m_baseLoads = 0;
    std::uint64_t m_fencing = 0;
    std::set<std::string> m_resident;
    std::map<std::string, adapter_load> m_loads;
    std::set<std::string> m_seenIds;
    std::deque<std::pair<millis, json>> m_reports;
    std::shared_ptr<void> m_reportTimer;
    std::deque<cache_event> m_events;
    std::uint64_t m_lastEvent = 0;
    std::map<std::string, std::uint64_t> m_violations;
    bool m_leaving = false;
    std::string m_pause; ///< seconds, asked for where it refuses with 503; empty: a short one of its own
    bool m_refuseRuns = false;
    bool m_keepRuns = false;
    bool m_ignoreFencing = false;
    std::uint32_t m_failLoads = 0;
    std::string m_runAs;
    std::string m_fatalPrompt;
    std::string m_fatalText;
    std::shared_ptr<void> m_fatalTimer;
};

/// What an answer's first token calls the prompt: the hash of "prompt", or of "messages" as JSON text.
std::string standinPromptHash(const nlohmann::json &body);
/// The hash of the prompt's first 256 bytes, as named in cache events.
std::uint64_t standinPrefix(const nlohmann::json &body);

}
