#pragma once

#include "standins/standinstore.h"
#include "tests/portblock.h"

#include <sardinehinge/http/client.h>
#include <sardinehinge/http/server.h>

#include <QJsonArray>
#include <QJsonObject>

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

/// A small deployment of real daemons against stand-ins of the platform in this process.
namespace review {

namespace http = sardinehinge::http;
using Clock = std::chrono::steady_clock;
using sardinehinge::platform::standins::StandinStore;

/// Writes record.txt: what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/// A server of the platform. What it does with a request is its handler's matter; keys are granted as the pages say.
class Target : private http::RequestHandler
{
public:
    using Handler = std::function<void(const http::Request &, std::shared_ptr<http::Responder>)>;

    Target(boost::asio::io_context &context, std::string id, std::string service, bool isSharded = false);

    void listen(const std::string &address = "127.0.0.1:0");
    /// From now on, also after a crash, each answer closes its connection.
    void closeAfterEachAnswer();
    /// Closes the connections of the requests at work and refuses new ones, as a crashed process. Connections that are
    /// kept stay open: a target that crashes has to close after each answer.
    void crash();
    bool isUp() const { return m_server != nullptr; }
    QJsonObject registration(const std::string &state = "ready") const;
    /// Answers the request with 200 as a sound server, after `workTime`.
    void serve(const http::Request &request, const std::shared_ptr<http::Responder> &responder);
    bool holds(std::uint32_t key) const;

    Handler handler; ///< Of requests for this server and keys that it holds; serve() by default.
    http::Headers extraHeaders; ///< Of all its answers.
    std::chrono::milliseconds workTime{20};
    std::size_t responseBytes = 0;
    std::int64_t born = 1000;
    int sequence = 1;
    const std::string id;
    const std::string service;
    std::string address;
    /// Of each request that reached it: id, and whether it began to work on it.
    std::vector<std::pair<std::string, Clock::time_point>> arrivals;
    std::vector<std::pair<std::string, Clock::time_point>> runs;

private:
    struct HeldRange
    {
        std::uint32_t first;
        std::uint32_t last;
        std::uint64_t fence;
        Clock::time_point expiry;
    };

    void handle(std::uint64_t exchange, http::Request request, std::shared_ptr<http::Responder> responder) override;
    void callerDisconnected(std::uint64_t) override { }
    http::Response rejection(int status, const std::string &detail, const std::string &peer) override;
    http::Response order(const http::Request &request, bool isRelease);

    boost::asio::io_context &m_context;
    std::unique_ptr<http::Server> m_server;
    bool m_isSharded;
    bool m_closesAlways = false;
    std::vector<std::shared_ptr<http::Responder>> m_responders; ///< Of all requests in this life.
    std::vector<HeldRange> m_held;
    std::map<std::uint32_t, std::uint64_t> m_fences; ///< Highest fence from this key on.
};

struct FleetLimits
{
    int memoryMegabytes = 260;
    int descriptors = 4100;
};

class Fleet
{
    boost::asio::io_context m_context;

public:
    Fleet(std::size_t daemons, Record &record, const FleetLimits &limits = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    StandinStore store;
    std::vector<std::unique_ptr<Target>> targets;

    boost::asio::io_context &context() { return m_context; }
    Target &addTarget(const std::string &id, const std::string &service, bool isSharded = false);
    void put(const Target &target, const std::string &state = "ready");
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(10));
    void runFor(std::chrono::milliseconds time);
    void start(std::size_t daemon);
    void sendSignal(std::size_t daemon, int number);
    bool hasEnded(std::size_t daemon);
    /// Exit status, or 128 and the signal; -1 while it runs.
    int endOf(std::size_t daemon) const { return m_daemons.at(daemon).end; }
    const std::string &callerAddress(std::size_t daemon) const { return m_daemons.at(daemon).callerAddress; }
    std::uint64_t kibibytes(std::size_t daemon, const std::string &field = "VmHWM:") const;
    std::string log(std::size_t daemon) const;
    std::size_t size() const { return m_daemons.size(); }

    /// Sends a request on a new connection; `done` gets its end.
    void send(std::size_t daemon, const std::string &method, const std::string &path, const std::string &attempt,
              std::function<void(const http::ExchangeResult &)> done, int key = -1, const std::string &body = {},
              int deadlineMs = 3000, const http::Headers &headers = {});
    /// The same, and waits for the end.
    http::ExchangeResult request(std::size_t daemon, const std::string &method, const std::string &path,
                                 const std::string &attempt, int key = -1, const std::string &body = {},
                                 int deadlineMs = 3000);

private:
    struct Daemon
    {
        pid_t pid = 0;
        std::string callerAddress;
        std::size_t starts = 0;
        int end = -1;
    };

    std::string settingsOf(std::size_t daemon) const;

    Record &m_record;
    FleetLimits m_limits;
    http::Client m_client;
    sardinehinge::platform::tests::PortBlock m_ports;
    std::filesystem::path m_directory;
    std::string m_storeAddress;
    std::vector<Daemon> m_daemons;
};

QJsonObject route(const char *name, const char *prefix, const char *service, const char *kind,
                  const char *timeout = "1500ms", int maxAttempts = 2, const char *objective = "400ms");
QJsonObject service(const char *name, bool isSharded = false);
QJsonObject config(int version, const QJsonArray &services, const QJsonArray &routes, qint64 maxBodyBytes = 67108864,
                   int maxHeaderBytes = 16384);
std::string describe(const http::ExchangeResult &end);
/// Whether the disruption is left out: TROUBLE=0.
bool isCalm();

} // namespace review
