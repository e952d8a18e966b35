#include "failure/fleet.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

// How the responses of engines and plain services end, and what callers are told of it.
using namespace briarhead::testing;

namespace {

const std::vector<std::string> callerHeaders{
    "Authorization: Bearer " + fleet::callerKey, "Content-Type: application/json"};

void setServiceFaults(const fleet &all, const json &faults)
{
    for (const auto &[name, port] : all.ports()["services"].items()) {
        call(
            "POST", "http://127.0.0.1:" + std::to_string(port.get<int>()) + "/standin/faults", faults.dump());
    }
}

bool isFramed(const answer &got)
{
    return got.headers.count("content-length") != 0 || got.headers.count("transfer-encoding") != 0;
}

struct raw_answer
{
    std::string text;
    bool wasReset = false;
};

/// A blocking call by HTTP/1.0.
raw_answer callByHttp10(std::uint16_t port, const std::string &path, const std::string &body)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    const std::string request = "POST " + path + " HTTP/1.0\r\nAuthorization: Bearer " + fleet::callerKey
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
    EXPECT_EQ(send(fd, request.data(), request.size(), MSG_NOSIGNAL), static_cast<ssize_t>(request.size()));
    raw_answer got;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
        got.text.append(buffer, static_cast<std::size_t>(count));
    }
    got.wasReset = count < 0;
    close(fd);
    return got;
}

std::uint16_t portOf(const std::string &url)
{
    return static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
}

std::string streamOf(const std::string &adapter)
{
    return json{{"model", adapter}, {"stream", true}, {"max_tokens", 8}, {"prompt", "hello"}}.dump();
}

}

/// Guards against cut responses of plain services that reach their caller framed as complete.
TEST(CutResponse, PlainResponseThatEndsWithItsConnectionIsPassedOnUnframed)
{
    fleet all;
    for (const int cut : {0, 1, 17, -1}) {
        setServiceFaults(all, {{"unframed", true}, {"cut_bytes", cut}});
        const answer got = call("POST", all.url(0) + "/orders/7", "{}", callerHeaders);
        EXPECT_EQ(got.status, 201) << cut;
        EXPECT_FALSE(isFramed(got)) << cut << ": " << got.body;
        EXPECT_EQ(got.parsed().is_object(), cut < 0) << got.body;
    }
    setServiceFaults(all, {{"unframed", true}, {"cut_bytes", 17}, {"reset", true}});
    const answer broken = call("POST", all.url(0) + "/orders/7", "{}", callerHeaders);
    EXPECT_NE(broken.status, 201);
    EXPECT_EQ(broken.outcome(), "unknown") << broken.body;
}

/// Guards against a response that may be cut and is kept as the whole one for repetitions.
TEST(CutResponse, ResponseOfUnknownEndIsNotReplayed)
{
    fleet all;
    std::vector<std::string> headers = callerHeaders;
    headers.push_back("Idempotency-Key: order-cut");
    headers.push_back("Idempotency-Attempt: 1");
    setServiceFaults(all, {{"unframed", true}, {"cut_bytes", 9}});
    EXPECT_EQ(call("POST", all.url(0) + "/orders/7", "{}", headers).status, 201);
    headers.back() = "Idempotency-Attempt: 2";
    const answer again = call("POST", all.url(1) + "/orders/7", "{}", headers);
    EXPECT_EQ(again.headers.count("x-briarhead-replayed"), 0U) << again.body;
    EXPECT_EQ(again.outcome(), "unknown") << again.body;
}

/// Guards against half an event at a caller whose stream was cut off.
TEST(CutResponse, HalfAnEventOfAnEngineIsNotPassedOn)
{
    fleet all;
    for (const std::string &engine : all.engines()) {
        all.faults(engine, {{"drop_after_tokens", 2}, {"drop_inside_event", true}});
    }
    const answer got = call("POST", all.url(0) + "/v1/completions", streamOf("a1"), callerHeaders);
    EXPECT_EQ(got.status, 200);
    EXPECT_FALSE(got.whole);
    EXPECT_NE(got.body.find("data: "), std::string::npos);
    EXPECT_EQ(got.body.find("{\"ha"), std::string::npos) << got.body;
    EXPECT_TRUE(got.body.ends_with("\n\n")) << got.body;
}

/// Guards against a cut stream that looks whole to a caller without chunks.
TEST(CutResponse, Http10CallerOfACutStreamSeesAReset)
{
    fleet all;
    const raw_answer whole = callByHttp10(portOf(all.url(0)), "/v1/completions", streamOf("a1"));
    EXPECT_FALSE(whole.wasReset);
    EXPECT_NE(whole.text.find("data: [DONE]"), std::string::npos) << whole.text;
    for (const std::string &engine : all.engines()) {
        all.faults(engine, {{"drop_after_tokens", 2}});
    }
    const raw_answer got = callByHttp10(portOf(all.url(0)), "/v1/completions", streamOf("a1"));
    EXPECT_EQ(got.text.find("data: [DONE]"), std::string::npos) << got.text;
    EXPECT_TRUE(got.wasReset) << got.text;
}
