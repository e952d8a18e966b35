#include "coordination/request_attributes.h"
#include "platform/platform_records.h"
#include "platform/platform_requests.h"
#include "platform/platform_settings.h"
#include "platform/platform_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead::platform {

namespace {

const std::string validSettings = "node=edge-1\nzone=z1\nip=10.1.0.1\nlisten.front=10.1.0.1:80\n"
                                  "listen.ready=10.1.0.1:81\ninternalPorts=7380,7395\n"
                                  "platform.address=10.200.1.7:8142\nbounds.graceS=8\n"
                                  "bounds.retryBudgetRatio=0.25\nsomething.new=1\n";

front_request requestWith(const std::vector<http_field> &fields)
{
    front_request raw;
    raw.head.method = "POST";
    raw.head.target = "/r/x?y=1";
    raw.head.fields = fields;
    raw.body = "body";
    return raw;
}

const std::vector<http_field> requestFields{{"Host", "h.example"}, {"X-Briarhead-Request-Id", "id1"},
    {"X-Briarhead-Model", "m0/a7"}, {"X-Briarhead-Token-Count", "1460,80"},
    {"X-Briarhead-Deadline-Ms", "5000"}};

}

TEST(PlatformSettings, AreReadFromLines)
{
    error why;
    const auto settings = parseNodeSettings(validSettings, "node.conf", why);
    ASSERT_TRUE(settings) << message(why);
    EXPECT_EQ(settings->node, "edge-1");
    EXPECT_EQ(settings->peers.port, 7380);
    EXPECT_EQ(settings->shutdown.count, 8'000);
    EXPECT_DOUBLE_EQ(settings->retries.ratio, 0.25);
}

TEST(PlatformSettings, MissingSettingIsNamedInTheError)
{
    for (const char *field : {"node=", "zone=", "listen.front=", "platform.address=", "internalPorts="}) {
        std::string text = validSettings;
        const std::size_t at = text.find(field);
        text.erase(at, text.find('\n', at) - at + 1);
        error why;
        EXPECT_FALSE(parseNodeSettings(text, "node.conf", why));
        const std::string name(field, std::string(field).size() - 1);
        EXPECT_NE(message(why).find(name), std::string::npos) << message(why);
        EXPECT_EQ(why.kind, error_kind::BadSettings);
    }
}

TEST(PlatformRequests, PromptPartsAreReadWithoutTheLastOne)
{
    const auto partsIn = [](const std::vector<std::string> &values) {
        std::vector<http_field> fields = requestFields;
        for (const std::string &value : values) {
            fields.push_back({"X-Briarhead-Prompt-Prefix", value});
        }
        error why;
        const auto request = requestCodec().readRequest(requestWith(fields), why);
        EXPECT_TRUE(request) << message(why);
        return std::pair(request->promptParts, request->unreadableParts);
    };
    using parts = std::pair<std::vector<std::string>, bool>;
    EXPECT_EQ(partsIn({"5c1e07a2:800,91BD3F06:410, e4402b7d:250"}), parts({"5c1e07a2", "91bd3f06"}, false));
    EXPECT_EQ(partsIn({"5c1e07a2:800", "91bd3f06:410"}), parts({"5c1e07a2"}, false));
    EXPECT_EQ(partsIn({"5c1e07a2:800"}), parts({}, false));
    EXPECT_EQ(partsIn({}), parts({}, false));
    for (const char *malformed : {"5c1e07a2", "5c1e07a2:,91:1,2:2", "xyz:1,2:3", ":1,2:3", "1:2,", "1:2,,3:4",
             "1:-2,3:4", "1:2:3,4:5"}) {
        EXPECT_EQ(partsIn({malformed}), parts({}, true)) << malformed;
    }
    EXPECT_EQ(partsIn({std::string(65, 'a') + ":1,2:3"}), parts({}, true));
    std::string many;
    for (int i = 0; i < 100; ++i) {
        many += (many.empty() ? "" : ",") + std::to_string(i) + ":1";
    }
    EXPECT_EQ(partsIn({many}).first.size(), maxPromptParts);
}

TEST(PlatformRequests, HeadersAreRead)
{
    error why;
    const auto request = requestCodec().readRequest(requestWith(requestFields), why);
    ASSERT_TRUE(request) << message(why);
    EXPECT_EQ(request->model, "m0");
    EXPECT_EQ(request->adapter, "a7");
    EXPECT_EQ(request->promptTokens, 1'460);
    EXPECT_EQ(request->outputTokens, 80);
    EXPECT_EQ(request->deadline->count, 5'000);
}

// Out-of-range numbers from a caller must neither overflow later calculations nor be read as negative.
TEST(PlatformRequests, OutOfRangeNumbersAreBounded)
{
    for (const char *text : {"99999999999999999999999,-5", "-7,4", "x,y", ",", ""}) {
        auto fields = requestFields;
        fields[3].value = text;
        fields[4].value = text;
        error why;
        const auto request = requestCodec().readRequest(requestWith(fields), why);
        ASSERT_TRUE(request);
        EXPECT_GE(request->promptTokens, 0) << text;
        EXPECT_GE(request->outputTokens, 0) << text;
        EXPECT_LE(request->promptTokens, 1'000'000'000) << text;
    }
}

TEST(PlatformRequests, RequestWithoutIdOrPathIsRejected)
{
    error why;
    EXPECT_FALSE(requestCodec().readRequest(requestWith({{"Host", "h"}}), why));
    EXPECT_EQ(why.kind, error_kind::BadRequest);
    front_request absoluteTarget = requestWith(requestFields);
    absoluteTarget.head.target = "http://h.example/r/";
    EXPECT_FALSE(requestCodec().readRequest(absoluteTarget, why));
}

// A caller sends fields that only this system may set, or names one of its own in Connection. Forwarded, they
// could make a server run the request with another's reservation or for another incarnation.
TEST(PlatformRequests, ReservedFieldsOfACallerAreNotForwarded)
{
    auto fields = requestFields;
    for (const char *name :
        {"X-Briarhead-Hold", "x-briarhead-pin-ms", "X-Briarhead-Kv-Backup", "Kv-From", "kv-fetch",
            "X-Briarhead-Expect-Instance", "X-Briarhead-Expect-Version", "X-Briarhead-Request-Priority"}) {
        fields.push_back({name, "smuggled"});
    }
    fields.push_back({"Connection", "close, X-Briarhead-Model"});
    fields.push_back({"Transfer-Encoding", "chunked"});
    fields.push_back({"X-Other", "kept"});
    error why;
    const auto codec = requestCodec();
    const auto request = codec.readRequest(requestWith(fields), why);
    ASSERT_TRUE(request);
    const std::string bytes = codec.writeRequest(*request, {"i-1", millis{900}, 3, ""});
    EXPECT_EQ(bytes.find("smuggled"), std::string::npos);
    EXPECT_EQ(bytes.find("chunked"), std::string::npos);
    EXPECT_NE(bytes.find("POST /r/x?y=1 HTTP/1.1\r\n"), std::string::npos);
    EXPECT_NE(bytes.find("X-Briarhead-Model: m0/a7\r\n"), std::string::npos);
    EXPECT_NE(bytes.find("X-Briarhead-Deadline-Ms: 900\r\n"), std::string::npos);
    EXPECT_EQ(bytes.find("X-Briarhead-Deadline-Ms: 5000"), std::string::npos);
    EXPECT_NE(bytes.find("X-Briarhead-Expect-Instance: i-1\r\n"), std::string::npos);
    EXPECT_NE(bytes.find("X-Briarhead-Expect-Version: 3\r\n"), std::string::npos);
    EXPECT_NE(bytes.find("X-Other: kept\r\n"), std::string::npos);
    EXPECT_TRUE(bytes.ends_with("Content-Length: 4\r\n\r\nbody"));
}

TEST(PlatformRequests, ResponseShowsWhetherTheRequestWasExecuted)
{
    const auto codec = requestCodec();
    http_head head;
    head.status = 421;
    EXPECT_TRUE(codec.readResponse(head).notExecuted);
    head.status = 503;
    EXPECT_FALSE(codec.readResponse(head).notExecuted)
        << "only the server itself can state that it did not execute";
    head.fields = {
        {"X-Briarhead-Not-Executed", "1"}, {"X-Briarhead-Server-Stamp", "s"}, {"Connection", "close"}};
    EXPECT_TRUE(codec.readResponse(head).notExecuted);
    EXPECT_TRUE(codec.readResponse(head).signedByServer);
    EXPECT_EQ(codec.responseFields(head).size(), 2U) << "hop-by-hop fields are not forwarded";
}

TEST(PlatformRequests, ResponseNamesTheServersLimit)
{
    const auto codec = requestCodec();
    const auto limitOf = [&codec](const std::vector<std::string> &values) {
        http_head head;
        for (const std::string &value : values) {
            head.fields.push_back({"server-limit", value});
        }
        return codec.readResponse(head);
    };
    EXPECT_EQ(limitOf({"1.7"}).limit, 1.7);
    EXPECT_EQ(limitOf({" 0 "}).limit, 0.0);
    EXPECT_EQ(limitOf({"3", "2.5"}).limit, 2.5) << "of several limits the lowest counts";
    EXPECT_EQ(limitOf({}).limit, std::nullopt);
    EXPECT_EQ(limitOf({}).unreadable, "");
    for (const char *value : {"", "-1", "nan", "inf", "1/s", "1,5", "0x10"}) {
        EXPECT_EQ(limitOf({value}).limit, std::nullopt) << value;
        EXPECT_EQ(limitOf({value}).unreadable, "Server-Limit") << value;
    }
}

TEST(PlatformRequests, ResponseAnnouncesLeavingOrAPause)
{
    const auto codec = requestCodec();
    const auto read = [&codec](int status, std::vector<http_field> fields) {
        http_head head;
        head.status = status;
        head.fields = std::move(fields);
        return codec.readResponse(head);
    };
    const http_field stamp{"X-Briarhead-Server-Stamp", "s"};
    const http_field notRun{"X-Briarhead-Not-Executed", "1"};
    EXPECT_TRUE(read(200, {stamp, {"server-leaving", " 1 "}}).leaving);
    EXPECT_TRUE(read(503, {notRun, {"Server-Leaving", "1"}}).leaving);
    EXPECT_FALSE(read(200, {stamp, {"Server-Leaving", "0"}}).leaving);
    EXPECT_FALSE(read(200, {stamp}).leaving);
    for (const char *value : {"", "yes", "2", "-1", "true"}) {
        EXPECT_FALSE(read(200, {stamp, {"Server-Leaving", value}}).leaving) << value;
        EXPECT_EQ(read(200, {stamp, {"Server-Leaving", value}}).unreadable, "Server-Leaving") << value;
    }
    EXPECT_EQ(read(503, {notRun, {"Retry-After", "3"}}).pause, millis{3'000});
    EXPECT_EQ(read(503, {notRun, {"Retry-After", "0.25"}}).pause, millis{250});
    EXPECT_EQ(read(503, {notRun, {"Retry-After", "1"}, {"Retry-After", "2"}}).pause, millis{2'000});
    EXPECT_EQ(read(503, {notRun, {"Retry-After", "1e3"}}).unreadable, "Retry-After");
    EXPECT_EQ(read(503, {notRun, {"Retry-After", "999999999999"}}).pause, maxServerPause);
    EXPECT_EQ(read(503, {notRun, {"Retry-After", "-3"}}).unreadable, "Retry-After");
    EXPECT_EQ(
        read(503, {notRun, {"Retry-After", "Wed, 21 Oct 2015 07:28:00 GMT"}}).unreadable, "Retry-After");
    EXPECT_EQ(read(429, {notRun, {"Retry-After", "3"}}).pause, millis{});
    EXPECT_EQ(read(200, {stamp, {"Retry-After", "3"}}).pause, millis{});
}

// Notices of another server at the address, or of an intermediary, must not take a server out of use.
TEST(PlatformRequests, NoticesNotFromTheServerAreIgnored)
{
    const auto codec = requestCodec();
    http_head head;
    head.fields = {{"Server-Leaving", "1"}, {"Retry-After", "3"}};
    head.status = 503; // neither signed nor marked as not executed
    EXPECT_FALSE(codec.readResponse(head).leaving);
    EXPECT_EQ(codec.readResponse(head).pause, millis{});
    head.fields.push_back({"X-Briarhead-Server-Stamp", "s"});
    head.status = 421; // not the server that was named
    EXPECT_FALSE(codec.readResponse(head).leaving);
    EXPECT_EQ(codec.readResponse(head).pause, millis{});
}

TEST(PlatformRequests, OrdersAreWrittenAndReportsRead)
{
    const auto codec = requestCodec();
    const backend_server server{"i-9", "s", {"10.0.0.1", 80}, "z1", 64, false, {}};
    const std::string order = codec.writeOrder({order_kind::Load, "m0", "a3", 2, 7, "edge-1", 41}, server);
    EXPECT_NE(order.find(R"("expectedRev":7)"), std::string::npos);
    EXPECT_NE(order.find(R"("fenceToken":41)"), std::string::npos);
    EXPECT_NE(order.find("X-Briarhead-Expect-Instance: i-9"), std::string::npos);
    EXPECT_EQ(codec.readOrderResult(202), order_result::Accepted);
    EXPECT_EQ(codec.readOrderResult(412), order_result::Fenced);
    EXPECT_EQ(codec.readOrderResult(500), order_result::Unknown);
    error why;
    const auto report = codec.readReport(
        R"({"models":[{"name":"m0","version":1,"adapters":["a1@3","a2"]}],"busy":true,"seq":5,"coming":["m0/a4@1"]})",
        why);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->sequence, 5);
    EXPECT_EQ(report->models.front().adapters.front().name, "a1");
    EXPECT_EQ(report->models.front().adapters.front().version, 3);
    EXPECT_EQ(report->loading.size(), 1U);
    EXPECT_FALSE(codec.readReport("not json", why));
}

TEST(PlatformRecords, ConfigurationIsRead)
{
    error why;
    const auto config = readConfig(
        R"({"version":7,"routes":[
            {"name":"r1","host":"H.example","prefix":"/a/","routeType":"streaming","timeoutMs":8000,
             "targetLatencyMs":900,"priority":1,"service":"s1","maxAttempts":2,"resumable":true},
            {"name":"r2","host":"h.example","prefix":"/b/","routeType":"idempotent",
             "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
            {"name":"r3","host":"h.example","prefix":"/c/","routeType":"something_new","service":"s2"}],
            "services":[{"name":"s1","maxConns":360,"engine":{"slots":64,"kvTokens":121668,"weightsMb":66500.0,
             "adapterSlots":5,"loadsPerS":2.9,"models":[{"name":"m0","weightsMb":65100,"loadS":0.72,"adapterMb":12}]}},
             {"name":"s2","maxConns":96}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})",
        why);
    ASSERT_TRUE(config) << message(why);
    EXPECT_EQ(config->version, 7U);
    EXPECT_EQ(config->routes[0].kind, route_kind::Stream);
    EXPECT_TRUE(config->routes[0].resumable);
    EXPECT_EQ(config->routes[1].services.size(), 2U);
    EXPECT_EQ(config->routes[2].kind, route_kind::Once) << "requests of an unknown kind must not be retried";
    EXPECT_EQ(engineOf(*config, "s1")->adapterSlotCount, 5);
    EXPECT_EQ(engineOf(*config, "s2"), nullptr);
    EXPECT_EQ(config->limits.idleTimeout.count, 15'000);
    EXPECT_NE(findRoute(*config, "h.example", "/a/1"), nullptr);
}

TEST(PlatformRecords, InvalidRecordsAreRejectedWithAReason)
{
    error why;
    EXPECT_FALSE(readConfig("[1,2", why));
    EXPECT_FALSE(readConfig(R"({"version":1,"routes":[{"name":"r"}]})", why));
    EXPECT_FALSE(message(why).empty());
    EXPECT_FALSE(readServer("i-1", R"({"service":"s","address":"nowhere"})", why));
    EXPECT_FALSE(readVersion("{}", why));
    const auto server = readServer(
        "i-1", R"({"service":"s","address":"10.0.0.9:8080","zone":"z2","slots":6,"state":"draining"})", why);
    ASSERT_TRUE(server);
    EXPECT_TRUE(server->draining);
    EXPECT_EQ(server->address.port, 8'080);
}

// Another writer uses the servers' keys. If its entry were accepted as a server, requests would be sent there
// that nobody answers, or the daemon would crash.
TEST(PlatformRecords, EntryOfAnotherWriterIsRejected)
{
    const std::string validFields = R"("service":"s","address":"10.0.0.9:8080","zone":"z2","slots":6)";
    error why;
    ASSERT_TRUE(readServer("i", '{' + validFields + R"(,"state":"ready"})", why));
    EXPECT_EQ(
        readServer("i", '{' + validFields + R"(,"state":"ready","born":1799999999999})", why)->startedAtMs,
        1'799'999'999'999);
    for (const std::string &entry :
        {std::string("\xff\x00{", 3), std::string("[]"), std::string("{}"), '{' + validFields + '}',
            '{' + validFields + R"(,"state":"resting"})", '{' + validFields + R"(,"state":7})",
            '{' + validFields + R"(,"state":"ready","born":"yesterday"})",
            '{' + validFields + R"(,"state":"ready","born":1.5})",
            std::string(R"({"service":5,"address":"10.0.0.9:8080","zone":"z2","slots":6,"state":"ready"})"),
            std::string(R"({"service":"s","address":"10.0.0.9:0","zone":"z2","slots":6,"state":"ready"})"),
            std::string(R"({"service":"s","address":"10.0.0.9:80x","zone":"z2","slots":6,"state":"ready"})"),
            std::string(R"({"service":"s","address":["10.0.0.9",80],"zone":"z2","slots":6,"state":"ready"})"),
            std::string(
                R"({"service":"s","address":"10.0.0.9:80","zone":"z2","slots":"six","state":"ready"})")}) {
        EXPECT_FALSE(readServer("i", entry, why)) << entry;
        EXPECT_FALSE(message(why).empty());
    }
    for (const char *version :
        {R"({"model":"m","adapter":"a","version":2.5})", R"({"model":"m","adapter":"a","version":"2"})",
            R"({"model":"m","version":2})", R"({"model":{},"adapter":"a","version":2})", "\xfe"}) {
        EXPECT_FALSE(readVersion(version, why)) << version;
    }
    const auto codec = requestCodec();
    for (const char *report : {R"({"seq":"3"})", R"({"seq":3,"born":"x"})", R"({"seq":1.5})", "{}", "7"}) {
        EXPECT_FALSE(codec.readReport(report, why)) << report;
    }
    EXPECT_TRUE(codec.readReport(R"({"seq":3,"busy":"no","models":7,"coming":{}})", why));
}

RC_GTEST_PROP(PlatformRecords, ArbitraryBytesDoNotCrash, (const std::string &bytes))
{
    error why;
    (void)readServer("i", bytes, why);
    (void)readConfig(bytes, why);
    (void)readVersion(bytes, why);
    (void)requestCodec().readReport(bytes, why);
}

RC_GTEST_PROP(PlatformStore, Base64IsReversible, (const std::string &bytes))
{
    RC_ASSERT(fromBase64(toBase64(bytes)) == bytes);
}

TEST(PlatformStore, InvalidBase64IsRejected)
{
    EXPECT_EQ(toBase64("node-1"), "bm9kZS0x");
    EXPECT_FALSE(fromBase64("a*b="));
}

}
