#pragma once

#include "trace.h"

#include <sardinehinge/http/server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <QJsonObject>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// A sound stand-in for an endpoint of a service without keys: six slots and a queue. A case may replace its answers.
class Endpoint : private sardinehinge::http::RequestHandler
{
public:
    struct Arrival
    {
        std::string id; ///< X-Attempt-Id.
        std::string path;
        std::int64_t at = 0; ///< By the trace's clock.
        bool hasRun = false;
    };

    Endpoint(boost::asio::io_context &context, Trace &trace, std::string id, std::string service);
    ~Endpoint() override;

    bool listen();
    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    const std::string &address() const { return m_address; }
    /// The endpoint's entry in the store.
    QJsonObject entry(bool isDraining = false);

    /// Ends as a process does: connections are closed, work under way is lost, nothing is accepted any more.
    void exit();
    /// PROTOCOL.md, news.md: an endpoint that leaves says so in all its answers.
    void announceLeaving() { m_isLeaving = true; }
    /// Like a machine without power: accepts bytes and never sends any.
    void fallSilent() { m_isSilent = true; }
    bool isUp() const { return !m_hasEnded && !m_isSilent; }
    std::vector<std::string> running() const;

    Milliseconds workTime{100};
    /// Called when the work on a request begins; true if the case deals with it itself.
    std::function<bool(Endpoint &, const std::string &id, const sardinehinge::http::Request &)> begins;
    std::vector<Arrival> arrivals;

private:
    struct Work
    {
        std::string id;
        sardinehinge::http::Request request;
        std::shared_ptr<sardinehinge::http::Responder> responder;
        std::size_t arrival = 0;
    };

    void handle(std::uint64_t exchange, sardinehinge::http::Request request,
                std::shared_ptr<sardinehinge::http::Responder> responder) override;
    void callerDisconnected(std::uint64_t) override { }
    sardinehinge::http::Response rejection(int status, const std::string &detail, const std::string &peer) override;
    void startNext();
    void finish(std::uint64_t work);

    boost::asio::io_context &m_context;
    Trace &m_trace;
    std::string m_id;
    std::string m_service;
    std::string m_address;
    std::int64_t m_born = 0;
    int m_sequence = 0;
    std::unique_ptr<sardinehinge::http::Server> m_server;
    std::deque<Work> m_queue;
    std::map<std::uint64_t, Work> m_running;
    std::uint64_t m_nextWork = 0;
    bool m_isLeaving = false;
    bool m_isSilent = false;
    bool m_hasEnded = false;
    std::vector<std::shared_ptr<sardinehinge::http::Responder>> m_unanswered;
};

} // namespace review
