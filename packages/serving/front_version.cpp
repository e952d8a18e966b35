#include "serving/front_pending.h"

#include <algorithm>
#include <utility>

// Keeps a stream at the software version that it began on.
namespace briarhead {

namespace {

/// A server answers report requests within milliseconds.
constexpr millis confirmTimeout{500};
/// While the store answers, each daemon's view is confirmed more often than this.
constexpr millis maxUnconfirmedTime{2'000};

}

/// Finds out where a stream began that the caller takes up, before a server is chosen for it.
void front_task::findStreamOrigin(const request_ptr &pending)
{
    m_origins.find(pending->request.resumes, pending->service,
        [this, weak = std::weak_ptr<pending_request>(pending)](const std::optional<stream_origin> &origin) {
            const auto locked = weak.lock();
            if (locked && locked->progress.stage == request_stage::Choosing) {
                onStreamOrigin(locked, origin);
            }
        });
}

void front_task::onStreamOrigin(const request_ptr &pending, const std::optional<stream_origin> &origin)
{
    const auto &services = pending->matchedRoute->services;
    const bool usable = origin && std::any_of(services.begin(), services.end(), [&origin](const auto &each) {
        return each.service == origin->service;
    });
    if (!usable) {
        refuse(pending, "the software version that began the stream is unknown, begin it anew",
            retryAfterTransient);
        return;
    }
    pending->origin = origin;
    useService(*pending, origin->service);
    startDispatch(pending);
}

/// Whether the server may serve the request. If no event of the stream has gone to the caller, any one may
/// whose version is not held back, as far as callers may take the stream up.
bool front_task::isOfStreamVersion(const pending_request &pending, const backend_server &server) const
{
    if (pending.origin) {
        return pending.origin->softwareVersion == server.softwareVersion;
    }
    return !pending.matchedRoute->resumable || !m_origins.isHeldBack(server.service, server.softwareVersion);
}

/// Refuses a stream that goes on if its version has no server any more. Returns whether it did.
bool front_task::refuseWithoutVersion(const request_ptr &pending)
{
    if (!pending->origin) {
        return false;
    }
    const auto &servers = m_store.view().servers;
    const bool any = std::any_of(servers.begin(), servers.end(), [&](const auto &each) {
        return each.second.service == pending->service && isOfStreamVersion(*pending, each.second);
    });
    if (!any) {
        refuse(pending, "no server of the stream's software version is left, begin it anew",
            retryAfterOtherInstance);
    }
    return !any;
}

/// Binds a stream to the version of the server that brought its first event.
void front_task::onFirstEvent(pending_request &pending)
{
    const auto known = m_store.view().servers.find(pending.attempt.server);
    pending.versionUncertain = known != m_store.view().servers.end()
        && (known->second.softwareVersion != pending.attempt.softwareVersion
            || known->second.startedAtMs != pending.attempt.startedAtMs);
    pending.origin = stream_origin{pending.service, pending.attempt.softwareVersion};
    if (pending.matchedRoute->resumable && !pending.versionUncertain) {
        m_origins.onStreamBegan(pending.request.id, *pending.origin, pending.request.resumes.empty());
    }
}

/// Whether the server has to say when it started before the caller gets events of it: a stream goes on there,
/// or begins there while the store, which would name a restart at another version, is silent.
bool front_task::needsConfirmedStart(const pending_request &pending) const
{
    if (pending.attempt.startedAtMs == 0) {
        return false;
    }
    const auto confirmed = m_store.configConfirmedAt();
    const bool current = confirmed && bootNow() - *confirmed <= maxUnconfirmedTime;
    return pending.origin || (pending.matchedRoute->resumable && !current);
}

/// Asks a server that keeps its id over restarts when it started, and holds its response back meanwhile. A
/// restart at another version may not have reached this daemon's view of the store.
void front_task::confirmServer(const request_ptr &pending)
{
    pending->attempt.held.emplace();
    const std::weak_ptr<pending_request> weak = pending;
    const auto conclude = [this, weak, number = pending->attempt.number](bool confirmed) {
        const auto locked = lockAt(weak, number, request_stage::Sent);
        if (locked && locked->attempt.held) {
            onServerConfirmed(locked, confirmed);
        }
    };
    const auto body = std::make_shared<std::string>();
    send_handlers handlers;
    handlers.onHead = [](const http_head &) {
        return true;
    };
    handlers.onBody = [body](const std::string &bytes) {
        *body += bytes;
    };
    handlers.onEnd = [this, body, conclude, startedAtMs = pending->attempt.startedAtMs](
                         const response_end &, const error &) {
        error why;
        const auto report = m_codec.readReport(*body, why); // which has to parse as a whole
        conclude(report && report->startedAtMs == startedAtMs);
    };
    const auto repeatable = [] {
        return true;
    };
    path_request request{pending->request.id, pending->attempt.server, pending->attempt.granted, false,
        repeatable, bootNow() + confirmTimeout, {}};
    request.write = [this, server = pending->attempt.server]() -> std::optional<std::string> {
        const auto known = m_store.view().servers.find(server);
        return known == m_store.view().servers.end()
            ? std::nullopt
            : std::optional(m_codec.writeReportRequest(known->second));
    };
    m_paths.start(std::move(request), std::move(handlers));
    pending->attempt.confirmTimer = m_loop.timer(confirmTimeout, {}, [conclude] {
        conclude(false);
    });
}

void front_task::onServerConfirmed(const request_ptr &pending, bool confirmed)
{
    const auto timer =
        std::exchange(pending->attempt.confirmTimer, nullptr); // kept until the end of this call
    const server_attempt::held_response held = *std::exchange(pending->attempt.held, std::nullopt);
    if (!confirmed) {
        m_log.important("stream.unconfirmed")
            .add("id", pending->request.id)
            .add("server", pending->attempt.server)
            .add("software", pending->attempt.softwareVersion);
        m_paths.cancel(pending->attempt.sendId);
        onSendEnd(pending, brokenEnd(connection_end::Open),
            {error_kind::NoServer, pending->attempt.server,
                "it may have restarted at another software version"});
        return;
    }
    beginReply(pending, caller_content::Events);
    if (!held.body.empty()) {
        onResponseBody(pending, held.body);
    }
    if (held.end && pending->progress.stage == request_stage::Sent) {
        onSendEnd(pending, held.end->first, held.end->second);
    }
}

}
