#include "scriptedpeers.h"

#include <sardinehinge/http/resourceaccount.h>

#include <catch2/catch.hpp>

/// What responses that never end cost others.
using namespace sardinehinge;
using namespace sardinehinge::http::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kib = 1024;

/// Sends a request that ends within 5 s.
void send(http::Client &client, const std::string &address, std::optional<http::ExchangeResult> &end)
{
    client.send(address, {"GET", "/", {}, {}, {}}, 5s, [&end](http::ExchangeResult got) { end = std::move(got); });
}

} // namespace

TEST_CASE("Unfinished responses that fill their limit cost an ordinary response nothing")
{
    const EndlessPeer faulty("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n", std::string(600'000, 'x'), false, 1);
    const std::size_t bodyBytes = GENERATE(2 * kib, 64 * kib, 400 * kib);
    ScriptedPeer ordinary(
        {"", true,
         "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'y'),
         false});
    boost::asio::io_context context;
    http::ClientLimits limits;
    limits.totalBodyBytes = 2'000'000;
    http::Client client(context, limits);
    std::vector<std::optional<http::ExchangeResult>> faultyEnds(6);
    for (auto &end : faultyEnds)
        send(client, faulty.address(), end);
    context.run_for(500ms);
    std::vector<std::optional<http::ExchangeResult>> ends(4);
    for (auto &end : ends)
        send(client, ordinary.address(), end);
    context.run_for(2s);
    for (const auto &end : ends) {
        REQUIRE(end);
        INFO(bodyBytes << " bytes: " << end->detail);
        CHECK(end->outcome == http::ExchangeOutcome::Complete);
    }
}

TEST_CASE("Heads without end count as bytes that are held, and stay within the account")
{
    constexpr std::size_t headBytes = 60 * kib; // Below the limit of a head: it waits for the rest.
    constexpr std::size_t exchanges = 64;
    const auto [head, repeated] = GENERATE(table<std::string, std::string>({
        {"HTTP/1.1 200 OK\r\nName: ", std::string(headBytes, 'x')},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: ", std::string(headBytes, 'x')},
        {"HTTP/1.1 200 ", std::string(headBytes, 'x')},
    }));
    INFO(head);
    const EndlessPeer faulty(head, repeated, false, 1);
    const core::AccountLimits limits = core::accountLimitsOf(1024 * kib);
    http::ResourceAccount account(limits); // Outlives the context's handlers.
    boost::asio::io_context context;
    http::Client client(context, {}, &account);
    std::vector<std::optional<http::ExchangeResult>> ends(exchanges);
    for (auto &end : ends)
        send(client, faulty.address(), end);
    context.run_for(1500ms);
    const auto unfinished = static_cast<std::size_t>(
        std::count_if(ends.begin(), ends.end(), [](const auto &end) { return !end.has_value(); }));
    CHECK(unfinished > 0);
    CHECK(unfinished * headBytes <= limits.bytes);
    CHECK(account.bytes(core::HeldUse::ArrivingResponse) >= unfinished * headBytes);
    CHECK(account.bytes(core::HeldUse::ArrivingResponse) <= limits.bytes);
}
