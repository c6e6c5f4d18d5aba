#pragma once

#include "store.h"
#include "trace.h"

#include <sardinehinge/http/client.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A caller's request and how it ended.
struct Call
{
    std::string id; ///< X-Attempt-Id.
    std::string path;
    std::size_t daemon = 0;
    std::int64_t sentAt = 0; ///< By the trace's clock.
    std::int64_t endedAt = -1;
    int status = 0; ///< 0: no complete answer.
};

/// The project's daemons as processes, started with the deploy file's command and settings as DEPLOY.md shows them,
/// each at a loopback address of its own, beside a store. Runs the event loop of all stand-ins.
class Fleet
{
public:
    Fleet(Trace &trace, std::size_t daemons);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    boost::asio::io_context &context() { return m_context; }
    Store &store() { return *m_store; }
    std::size_t size() const { return m_daemons.size(); }

    void start(std::size_t daemon);
    void kill(std::size_t daemon);
    bool isRunning(std::size_t daemon) const { return m_daemons[daemon].pid != 0; }
    /// When the daemon was last started.
    std::int64_t startedAt(std::size_t daemon) const { return m_daemons[daemon].startedAt; }
    /// Resident memory in megabytes.
    double residentMegabytes(std::size_t daemon) const;
    /// Notes processes that have ended by themselves, and starts them again.
    std::size_t restartEnded();

    /// Sends a request of a caller; the call ends when it was answered, or failed, or its deadline has passed.
    std::shared_ptr<Call> send(std::size_t daemon, const std::string &method, const std::string &path,
                               const std::string &body, Milliseconds deadline,
                               const sardinehinge::http::Headers &headers = {});
    /// Whether the daemon says that it is ready.
    bool isReady(std::size_t daemon);
    /// Runs the event loop for this time.
    void run(Milliseconds time);
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);
    std::vector<std::shared_ptr<Call>> calls;

private:
    struct Daemon
    {
        pid_t pid = 0;
        int starts = 0;
        std::int64_t startedAt = 0;
        std::string ip;
    };

    std::string settings(std::size_t daemon) const;
    std::string callerAddress(std::size_t daemon) const;

    Trace &m_trace;
    boost::asio::io_context m_context;
    std::unique_ptr<Store> m_store;
    std::string m_storeAddress;
    sardinehinge::http::Client m_callers;
    std::filesystem::path m_directory;
    int m_firstPort = 0;
    std::vector<Daemon> m_daemons;
    std::uint64_t m_nextCall = 0;
};

/// The exit status of a case that couldn't run.
constexpr int exitNotRun = 2;

} // namespace review
