#pragma once

#include "standins/standin_server.h"

#include <map>
#include <string>

namespace briarhead {

/// A plain service that keeps orders: POST /NAME/... makes one, GET /NAME/ID gives it. Each POST that
/// arrives is carried out, also one whose Idempotency-Key was seen before: keeping calls from being
/// doubled is the system's work. Further faults: {"refuse": bool} answers 503 before anything is done;
/// {"unframed": bool} ends responses with their connection, {"cut_bytes": n} after n bytes of the body (-1:
/// none), in order or with {"reset": bool} by a reset.
class service_standin : public standin_server
{
public:
    service_standin(loop &eventLoop, const std::string &service);

    void setFaults(const json &faults) override;

private:
    void onPost(const http_request &request, const reply_ptr &reply);
    void onGet(const http_request &request, const reply_ptr &reply);

    void respond(const reply_ptr &reply, int status, const json &body);

    bool m_refuse = false;
    bool m_unframed = false;
    std::int64_t m_cutBytes = -1;
    bool m_reset = false;
    std::map<std::string, json> m_orders;
};

}
