#include "../../http/tests/scriptedpeers.h"

#include <sardinehinge/client/connection.h>

#include <QCoreApplication>

#include <catch2/catch.hpp>

using namespace sardinehinge;

TEST_CASE("A broken answer of a daemon isn't taken for an empty one")
{
    const auto [answer, isWhole] = GENERATE(table<std::string, bool>({
        {"200 OK\r\nContent-Length: 10\r\n\r\n{\"a\":true}", true},
        {"404 Not Found\r\nContent-Length: 10\r\n\r\n{\"a\":true}", true},
        {"200 OK\r\nContent-Length: 10\r\n\r\n{\"a\":", false},
        {"200 OK\r\nContent-Length: 10\r\n\r\n", false},
        {"200 OK\r\nContent-Length : 10\r\n\r\n{\"a\":", false},
        {"404 Not Found\r\nContent-Length: 10\r\n\r\n{\"a\":", false},
        {"000 None\r\nContent-Length: 10\r\n\r\n{\"a\":true}", false},
    }));
    INFO(answer);
    static int argumentCount = 1;
    static char name[] = "client_tests";
    static char *arguments[] = {name, nullptr};
    static const QCoreApplication application(argumentCount, arguments);
    http::tests::ScriptedPeer peer({"", true, "HTTP/1.1 " + answer, true});
    client::Connection connection(peer.address());
    const auto result = connection.get("/workspaces/a");
    CHECK((core::errorIn(result) == nullptr) == isWhole);
    if (const auto *response = std::get_if<client::Response>(&result))
        CHECK(response->body.value("a").toBool());
}
