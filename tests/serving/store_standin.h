#pragma once

#include "serving/fake_store.h"
#include "transport/front_server.h"

#include <memory>
#include <string>

namespace briarhead {

/// A fake_store over HTTP, as the platform's store speaks: for real processes.
class store_standin
{
public:
    explicit store_standin(fake_store &shared);
    std::uint16_t port() const;
    /// Troubles of everyone who calls over HTTP.
    fake_store_client client;

private:
    void onRequest(const front_request &request, const std::shared_ptr<front_reply> &reply);
    void onChange(const front_request &request, const std::shared_ptr<front_reply> &reply);

    std::unique_ptr<front_server> m_server;
};

}
