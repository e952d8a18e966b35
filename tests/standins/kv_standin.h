#pragma once

#include "state/clock.h"
#include "state/error.h"
#include "transport/loop.h"

#include <cstdint>
#include <memory>
#include <string>

namespace briarhead {

/// How the stand-in behaves while it is down. Refuse aborts every connection at once; Hang takes requests
/// and never answers, and breaks the held ones off when it comes up again. Neither lets a request have
/// an effect.
enum class kv_down : std::uint8_t
{
    Up,
    Refuse,
    Hang,
};

/// Faults in force. They are also set by `POST /standin/faults` with any of "down" (true, false,
/// "refuse", "hang"), "delay_ms", "lose_answers" and "paused_expiry".
struct kv_faults
{
    kv_down down = kv_down::Up;
    /// Each request takes effect and is answered this much later, also when its caller has given up by then.
    millis delay;
    /// The next so many txns that write take effect, and their connection is aborted instead of answered.
    std::uint32_t loseAnswers = 0;
    /// No lease runs out; when it ends, every lease gets its whole TTL again, as from a new etcd leader.
    bool pausedExpiry = false;
};

/// Calls that arrived, by kind, also those that a fault left without an effect. `watchOpen` counts the
/// watches that are open now. Also served as JSON by `GET /standin/record`.
struct kv_record
{
    std::uint64_t range = 0;
    std::uint64_t txn = 0;
    std::uint64_t grant = 0;
    std::uint64_t keepalive = 0;
    std::uint64_t revoke = 0;
    std::uint64_t watchOpen = 0;
    std::uint64_t watchCreated = 0;
};

struct kv_standin_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes a free one
    double leaseScale = 1.0; ///< length of a TTL second, so that tests need not wait whole seconds
};

/// Stands in for the platform's key-value service: the subset of the etcd v3 HTTP/JSON gateway that
/// kv_client uses, in memory, with faults to order.
class kv_standin
{
public:
    static std::unique_ptr<kv_standin> start(loop &eventLoop, const kv_standin_options &options, error &why);
    ~kv_standin();
    kv_standin(const kv_standin &) = delete;
    kv_standin &operator=(const kv_standin &) = delete;

    std::uint16_t port() const;
    /// "http://address:port", for kv_client.
    std::string url() const;

    void setFaults(const kv_faults &faults);
    const kv_faults &faults() const;
    kv_record record() const;

    /// Drops a lease and its keys at once, as if its TTL had run out.
    void expireLease(std::int64_t lease);

private:
    struct impl;
    explicit kv_standin(std::unique_ptr<impl> made);
    std::unique_ptr<impl> m_impl;
};

}
