#include "standins/kv_standin.h"

#include "standins/standin_store.h"
#include "transport/http_server.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace briarhead {

namespace {

using nlohmann::json;

constexpr std::size_t bodyLimitBytes = 4'000'000;
constexpr millis expiryCheckMs{5};
constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;

struct open_watch
{
    standin_range keys;
    std::shared_ptr<http_reply> reply;
};

void answer(http_reply &reply, int status, const json &body)
{
    reply.respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

json wireRecord(const kv_record &record)
{
    return {{"range", record.range}, {"txn", record.txn}, {"grant", record.grant},
        {"keepalive", record.keepalive}, {"revoke", record.revoke}, {"watch_open", record.watchOpen},
        {"watch_created", record.watchCreated}};
}

kv_faults readFaults(const json &body, kv_faults faults)
{
    if (const auto down = body.find("down"); down != body.end()) {
        const bool hang = *down == "hang";
        const bool refuse = *down == "refuse" || *down == true;
        faults.down = hang ? kv_down::Hang : (refuse ? kv_down::Refuse : kv_down::Up);
    }
    faults.delay = millis{body.value("delay_ms", faults.delay.count)};
    faults.loseAnswers = body.value("lose_answers", faults.loseAnswers);
    faults.pausedExpiry = body.value("paused_expiry", faults.pausedExpiry);
    return faults;
}

}

struct kv_standin::impl
{
    loop &eventLoop;
    std::string address;
    standin_store store;
    std::unique_ptr<http_server> server;
    std::shared_ptr<void> expiryTimer;
    kv_faults faults;
    kv_record record;
    std::vector<open_watch> watches;
    std::vector<std::shared_ptr<http_reply>> held;
    std::map<std::uint64_t, std::shared_ptr<void>> delayed;
    std::uint64_t lastDelayed = 0;

    impl(loop &theLoop, const kv_standin_options &options)
        : eventLoop(theLoop)
        , address(options.address)
        , store(options.leaseScale, [this] {
            publish();
        })
    {
    }

    void onRequest(const http_request &request, const std::shared_ptr<http_reply> &reply);
    void countCall(const std::string &path);
    void serve(const http_request &request, const std::shared_ptr<http_reply> &reply);
    void route(const http_request &request, const std::shared_ptr<http_reply> &reply);
    void serveTxn(const json &body, http_reply &reply);
    void serveKeepAlive(const json &body, http_reply &reply);
    void serveWatch(const json &body, const std::shared_ptr<http_reply> &reply);
    void serveStandin(const http_request &request, http_reply &reply);
    void writeEvents(const open_watch &watch, std::int64_t from) const;
    void publish();
    void setFaults(const kv_faults &wanted);
    void breakOff();
};

void kv_standin::impl::countCall(const std::string &path)
{
    const std::map<std::string, std::uint64_t *> counters{{"/v3/kv/range", &record.range},
        {"/v3/kv/txn", &record.txn}, {"/v3/lease/grant", &record.grant},
        {"/v3/lease/keepalive", &record.keepalive}, {"/v3/lease/revoke", &record.revoke},
        {"/v3/watch", &record.watchCreated}};
    if (const auto found = counters.find(path); found != counters.end()) {
        ++*found->second;
    }
}

void kv_standin::impl::onRequest(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    if (request.path.starts_with("/standin/")) {
        serveStandin(request, *reply);
        return;
    }
    countCall(request.path);
    if (faults.down != kv_down::Up || faults.delay.count == 0) {
        serve(request, reply);
        return;
    }
    const auto id = ++lastDelayed;
    delayed[id] = eventLoop.timer(faults.delay, millis{0}, [this, id, request, reply] {
        delayed.erase(id);
        serve(request, reply);
    });
}

void kv_standin::impl::serve(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    constexpr int grpcInvalidArgument = 3;
    if (faults.down == kv_down::Refuse) {
        reply->abort();
        return;
    }
    if (faults.down == kv_down::Hang) {
        held.push_back(reply);
        return;
    }
    try {
        route(request, reply);
    } catch (const standin_refusal &refusal) {
        answer(*reply, refusal.status,
            {{"error", refusal.message}, {"message", refusal.message}, {"code", refusal.code}});
    } catch (const std::exception &failure) {
        answer(*reply, httpBadRequest, {{"error", failure.what()}, {"code", grpcInvalidArgument}});
    }
}

void kv_standin::impl::route(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    const auto body = json::parse(request.body);
    if (request.path == "/v3/kv/range") {
        answer(*reply, httpOk, store.range(body));
    } else if (request.path == "/v3/kv/txn") {
        serveTxn(body, *reply);
    } else if (request.path == "/v3/lease/grant") {
        answer(*reply, httpOk, store.grant(body));
    } else if (request.path == "/v3/lease/keepalive") {
        serveKeepAlive(body, *reply);
    } else if (request.path == "/v3/lease/revoke") {
        answer(*reply, httpOk, store.revoke(body));
    } else if (request.path == "/v3/watch") {
        serveWatch(body.at("create_request"), reply);
    } else {
        answer(*reply, httpNotFound, {{"error", "Not Found"}});
    }
}

void kv_standin::impl::serveTxn(const json &body, http_reply &reply)
{
    const auto before = store.revision();
    const auto result = store.txn(body);
    if (store.revision() != before && faults.loseAnswers > 0) {
        --faults.loseAnswers;
        reply.abort();
        return;
    }
    answer(reply, httpOk, result);
}

void kv_standin::impl::serveKeepAlive(const json &body, http_reply &reply)
{
    const auto result = store.keepAlive(body);
    reply.begin(httpOk, {{"Content-Type", "application/json"}});
    reply.write(result.dump() + "\n");
    reply.end();
}

void kv_standin::impl::serveWatch(const json &body, const std::shared_ptr<http_reply> &reply)
{
    const auto from = wireNumber(body, "start_revision");
    const open_watch watch{wireRange(body), reply};
    reply->begin(httpOk, {{"Content-Type", "application/json"}});
    reply->write(json{{"result", {{"header", store.header()}, {"created", true}}}}.dump() + "\n");
    if (store.isCompacted(from)) {
        reply->write(json{{"result", {{"header", store.header()}, {"canceled", true}}}}.dump() + "\n");
        reply->end();
        return;
    }
    writeEvents(watch, from == 0 ? store.revision() + 1 : from);
    watches.push_back(watch);
    reply->onClosed([this, raw = reply.get()] {
        std::erase_if(watches, [raw](const open_watch &one) {
            return one.reply.get() == raw;
        });
    });
}

void kv_standin::impl::writeEvents(const open_watch &watch, std::int64_t from) const
{
    auto events = store.events(watch.keys, from);
    if (!events.empty()) {
        const json result{{"header", store.header()}, {"events", std::move(events)}};
        watch.reply->write(json{{"result", result}}.dump() + "\n");
    }
}

void kv_standin::impl::publish()
{
    if (faults.down != kv_down::Up) {
        return;
    }
    for (const auto &watch : watches) {
        writeEvents(watch, store.revision());
    }
}

void kv_standin::impl::serveStandin(const http_request &request, http_reply &reply)
{
    if (request.path == "/standin/record") {
        record.watchOpen = watches.size();
        answer(reply, httpOk, wireRecord(record));
        return;
    }
    try {
        if (request.path != "/standin/faults") {
            answer(reply, httpNotFound, {{"error", "only faults and record are served"}});
            return;
        }
        setFaults(readFaults(json::parse(request.body), faults));
        answer(reply, httpOk, json::object());
    } catch (const json::exception &failure) {
        answer(reply, httpBadRequest, {{"error", failure.what()}});
    }
}

void kv_standin::impl::setFaults(const kv_faults &wanted)
{
    const auto before = std::exchange(faults, wanted);
    if (before.pausedExpiry && !wanted.pausedExpiry) {
        store.renewAll(bootNow());
    }
    // Watches that hung have missed changes, so they break when the stand-in comes up again.
    const bool recovered = before.down == kv_down::Hang && wanted.down != kv_down::Hang;
    if (wanted.down == kv_down::Refuse || recovered) {
        breakOff();
    }
}

void kv_standin::impl::breakOff()
{
    const auto brokenWatches = std::exchange(watches, {});
    const auto brokenCalls = std::exchange(held, {});
    for (const auto &watch : brokenWatches) {
        watch.reply->abort();
    }
    for (const auto &reply : brokenCalls) {
        reply->abort();
    }
}

kv_standin::kv_standin(std::unique_ptr<impl> made)
    : m_impl(std::move(made))
{
}

kv_standin::~kv_standin() = default;

std::unique_ptr<kv_standin> kv_standin::start(loop &eventLoop, const kv_standin_options &options, error &why)
{
    auto made = std::make_unique<impl>(eventLoop, options);
    auto *self = made.get();
    made->server = http_server::listen(
        eventLoop, options.address, options.port, bodyLimitBytes,
        [self](const http_request &request, const std::shared_ptr<http_reply> &reply) {
            self->onRequest(request, reply);
        },
        why);
    if (!made->server) {
        return nullptr;
    }
    made->expiryTimer = eventLoop.timer(expiryCheckMs, expiryCheckMs, [self] {
        if (!self->faults.pausedExpiry) {
            self->store.expire(bootNow());
        }
    });
    return std::unique_ptr<kv_standin>(new kv_standin(std::move(made)));
}

std::uint16_t kv_standin::port() const
{
    return m_impl->server->port();
}

std::string kv_standin::url() const
{
    return "http://" + m_impl->address + ":" + std::to_string(port());
}

void kv_standin::setFaults(const kv_faults &faults)
{
    m_impl->setFaults(faults);
}

const kv_faults &kv_standin::faults() const
{
    return m_impl->faults;
}

kv_record kv_standin::record() const
{
    auto record = m_impl->record;
    record.watchOpen = m_impl->watches.size();
    return record;
}

void kv_standin::expireLease(std::int64_t lease)
{
    m_impl->store.dropLease(lease);
}

}
