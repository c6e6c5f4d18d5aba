#include "../src/peerinbox.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace sardinehinge;
using namespace std::chrono_literals;

namespace {

/// An inbox, and a daemon that sends to it.
struct Inbox
{
    explicit Inbox(std::function<void(const protocol::GatewayDatagram &)> handle = {})
        : sockets{boost::asio::ip::udp::socket(context, loopback()), boost::asio::ip::udp::socket(context, loopback())}
        , inbox(sockets[0],
                {[this, handle](const protocol::GatewayDatagram &datagram, const auto &) {
                     received.push_back(datagram.message);
                     if (handle)
                         handle(datagram);
                 },
                 [this](const std::string &, const auto &) { ++refused; }, [this](const std::string &) { ++failed; },
                 [this](std::size_t size) { bytes += size; }})
    {
        sockets[0].non_blocking(true);
    }

    static boost::asio::ip::udp::endpoint loopback() { return {boost::asio::ip::make_address("127.0.0.1"), 0}; }
    void send(const protocol::GatewayMessage &message) { sendBytes(protocol::encode({{"peer", 1}, message})); }
    void sendBytes(const std::string &text)
    {
        sockets[1].send_to(boost::asio::buffer(text), sockets[0].local_endpoint());
    }

    boost::asio::io_context context;
    std::array<boost::asio::ip::udp::socket, 2> sockets;
    std::vector<protocol::GatewayMessage> received;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t bytes = 0;
    daemon::PeerInbox inbox;
};

const core::WatchNotice notice{"peer", {5, 5, 0, 1}, {7, 7, 0, 1}, 0ms};

} // namespace

TEST_CASE("A notice of a change isn't held up by load reports that came before it")
{
    const auto [loads, refusals] = GENERATE(table<std::size_t, std::size_t>({{0, 0}, {1, 0}, {0, 40}, {100, 40}}));
    Inbox inbox;
    for (std::size_t index = 0; index < loads; ++index)
        inbox.send(protocol::LoadMessage{"service", {{7, 1}}, {}});
    for (std::size_t index = 0; index < refusals; ++index)
        inbox.send(protocol::RefusedMessage{"service", "target", 7});
    inbox.send(notice);
    inbox.inbox.start();
    inbox.context.run_one_for(1s);
    REQUIRE(inbox.received.size() == loads + refusals + 1);
    CHECK(std::holds_alternative<core::WatchNotice>(inbox.received.front()));
}

TEST_CASE("The datagrams of a turn are bounded, and one that can't be read or handled ends no other")
{
    Inbox inbox([](const protocol::GatewayDatagram &datagram) {
        if (std::holds_alternative<protocol::OwnersWanted>(datagram.message))
            throw std::runtime_error("unexpected");
    });
    inbox.send(protocol::OwnersWanted{"service"});
    inbox.sendBytes("not a datagram of a daemon");
    for (std::size_t index = 0; index < 2 * daemon::PeerInbox::mostInTurn; ++index)
        inbox.send(notice);
    inbox.inbox.start();
    inbox.context.run_one_for(1s);
    CHECK(inbox.received.size() <= daemon::PeerInbox::mostInTurn);
    CHECK(inbox.received.size() > 1);
    CHECK(inbox.refused == 1);
    CHECK(inbox.failed == 1);
    CHECK(inbox.bytes > 0);
    const std::size_t before = inbox.received.size();
    inbox.send(notice);
    inbox.context.run_for(100ms);
    CHECK(inbox.received.size() > before);
}
