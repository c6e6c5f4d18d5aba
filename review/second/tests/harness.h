#pragma once

#include "../../../platform/standins/standinstore.h"
#include "../../../platform/tests/portblock.h"

#include <sardinehinge/http/client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

/// What the cases share: the daemon's processes, endpoints, and the record of a run.
namespace sardinehinge::review {

using Clock = std::chrono::steady_clock;

/// The exit statuses of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

/// Whether the case has its disruption: not with TROUBLE=0 in the environment.
bool hasTrouble();

/// Lines of what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    /// Only to the file.
    void add(const std::string &line);
    /// To the file and to standard output.
    void tell(const std::string &line);
    double seconds() const;

private:
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/// A request as an endpoint received it.
struct Arrival
{
    Clock::time_point time;
    std::string id; ///< X-Attempt-Id.
    std::string instance; ///< X-Target-Instance.
    std::string target; ///< Path and query.
    bool hasRun = false;
};

/// A sound endpoint as PROTOCOL.md describes it: slots, a queue, one request at a time on a connection.
class Endpoint
{
public:
    Endpoint(boost::asio::io_context &context, std::string id, std::string service);
    ~Endpoint();
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    const std::string &id() const noexcept { return m_id; }
    QJsonObject entry(const QString &state, int sequence) const;
    /// The process ends: its connections are reset, its port is closed.
    void exit();
    const std::vector<Arrival> &arrivals() const noexcept { return m_arrivals; }

    std::chrono::milliseconds workTime{100};
    std::string extraHeaders; ///< Lines added to each answer.
    /// If set, decides the answer's status line and headers for a request that has run; empty: 200.
    std::function<std::string(const Arrival &)> statusOfRun;

private:
    class Connection;
    friend class Connection;

    void accept();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_id;
    std::string m_service;
    std::uint64_t m_born;
    std::uint16_t m_port;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::size_t m_busy = 0;
    std::vector<Arrival> m_arrivals;
};

/// Limits of a machine of the site stivej-gw.
struct Machine
{
    int memoryMegabytes = 260;
    int descriptors = 4100;
};

/// Daemons with the command of the deploy file and settings as the platform writes them, against stand-ins.
class Fleet
{
public:
    Fleet(std::size_t daemons, const Machine &machine = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    boost::asio::io_context context;
    platform::standins::StandinStore store;

    /// Runs the stand-ins until `condition` holds; false if `limit` passes first.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);
    void runFor(std::chrono::milliseconds time);
    void start(std::size_t daemon);
    void signal(std::size_t daemon, int number);
    bool hasEnded(std::size_t daemon);
    int exitStatus = 0; ///< Of the daemon that ended last, as waitpid() tells it.
    pid_t pid(std::size_t daemon) const { return m_daemons.at(daemon).pid; }
    const std::string &frontAddress(std::size_t daemon) const { return m_daemons.at(daemon).front; }
    std::string log(std::size_t daemon) const;
    /// Sends a request on a new connection.
    void request(std::size_t daemon, const std::string &method, const std::string &path, const std::string &id,
                 const std::string &body, std::chrono::milliseconds deadline, http::Client::Callback done,
                 const http::Headers &headers = {});
    /// Whether this daemon answers a GET of the path with 200.
    bool serves(std::size_t daemon, const std::string &path);

private:
    struct Daemon
    {
        pid_t pid = 0;
        std::string front;
        std::string ready;
        std::size_t starts = 0;
    };

    std::string settings(std::size_t daemon) const;

    Machine m_machine;
    http::Client m_client;
    platform::tests::PortBlock m_ports;
    std::filesystem::path m_directory;
    std::string m_storeAddress;
    std::vector<Daemon> m_daemons;
    int m_probes = 0;
};

/// A route of the configuration.
QJsonObject route(const QString &prefix, const QString &kind, const QString &service, const QString &timeout,
                  const QString &objective);
/// `config/main` with one host, h.example.
QJsonObject configuration(int version, const QJsonArray &services, const QJsonArray &routes, double bodyBytes);

} // namespace sardinehinge::review
