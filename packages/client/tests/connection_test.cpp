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
        {"200 OK\r\nNa me: x\r\nContent-Length: 10\r\n\r\n{\"a\":true}", false},
        {"200 OK\r\n\r\n{\"a\":true}", false},
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

TEST_CASE("An answer without end doesn't hold the operator or fill the memory")
{
    const auto [head, repeated] = GENERATE(table<std::string, std::string>({
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nchunk\r\n"},
        {"HTTP/1.1 200 OK\r\nName: ", "x"},
    }));
    const bool isSlow = GENERATE(false, true);
    INFO(head << (isSlow ? ", slow" : ", fast"));
    http::tests::EndlessPeer peer(head, repeated, isSlow);
    client::Connection connection(peer.address());
    const auto before = std::chrono::steady_clock::now();
    CHECK(core::errorIn(connection.get("/status")) != nullptr);
    CHECK(std::chrono::steady_clock::now() - before < std::chrono::seconds(7)); // The limit of a call is 5 s.
    // Each byte of a body comes with one of a chunk's frame.
    constexpr std::size_t kernelBuffers = 12UL * 1024 * 1024;
    CHECK(peer.bytesSent() < 2 * http::ClientLimits().bodyBytes + kernelBuffers);
}
