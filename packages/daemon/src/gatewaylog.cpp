#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/text.h>
#include <sardinehinge/daemon/eventlog.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <poll.h>
#include <thread>
#include <unistd.h>

namespace sardinehinge::daemon {

namespace {

namespace logging = boost::log;

/// Bytes that may wait for standard output: some seconds of a stalled reader.
constexpr std::size_t bufferBytes = 256UL * 1024;
/// Details, such as a line for each request that was served, use at most this much of it.
constexpr std::size_t detailBytes = bufferBytes / 2;
/// Lines a second, and as many again for details; more cost processor time that callers need.
constexpr double linesPerSecond = 400;
/// How often the buffer is written: each write costs a system call.
constexpr std::chrono::milliseconds flushPeriod(200);

/// A rate that may be exceeded for a second.
class TokenBucket
{
public:
    bool take(std::chrono::steady_clock::time_point now)
    {
        const double seconds = std::chrono::duration<double>(now - m_last).count();
        m_last = now;
        m_tokens = std::min(linesPerSecond, m_tokens + (seconds * linesPerSecond));
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_tokens = linesPerSecond;
    std::chrono::steady_clock::time_point m_last = std::chrono::steady_clock::now();
};

/// The bounded buffer and the thread that writes it.
class BoundedOutput
{
public:
    explicit BoundedOutput(std::string daemonId)
        : m_daemonId(std::move(daemonId))
        , m_writer([this] { run(); })
    {
    }

    ~BoundedOutput()
    {
        m_isStopping.store(true);
        m_writer.join();
        writeAll();
    }

    BoundedOutput(const BoundedOutput &) = delete;
    BoundedOutput &operator=(const BoundedOutput &) = delete;

    void add(bool isDetail, const std::string &level, const std::string &message)
    {
        using namespace std::chrono;
        const auto wall = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
        const std::lock_guard lock(m_mutex);
        const bool hasRoom = m_buffer.size() + message.size() < (isDetail ? detailBytes : bufferBytes);
        if (!hasRoom || !(isDetail ? m_detailRate : m_rate).take(steady_clock::now())) {
            ++m_leftOut;
            return;
        }
        m_buffer += "t=" + std::to_string(wall) + " id=" + m_daemonId + " level=" + level + " event=" + message + "\n";
    }

    /// Writes what standard output takes without waiting.
    void writeAll()
    {
        std::string lines;
        {
            const std::lock_guard lock(m_mutex);
            if (m_leftOut != 0) {
                m_buffer += "id=" + m_daemonId + " level=warning event=E"
                    + std::to_string(core::events::logLinesDropped) + " count=" + std::to_string(m_leftOut) + "\n";
                m_leftOut = 0;
            }
            lines.swap(m_buffer);
        }
        std::size_t done = 0;
        while (done < lines.size()) {
            pollfd output{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
                break;
            // A pipe that can be written takes this much at once.
            constexpr std::size_t atomicBytes = 4096;
            const ssize_t count = write(STDOUT_FILENO, lines.data() + done, std::min(atomicBytes, lines.size() - done));
            if (count <= 0)
                break;
            done += static_cast<std::size_t>(count);
        }
        if (done == lines.size())
            return;
        const std::lock_guard lock(m_mutex);
        m_buffer.insert(0, lines, done, std::string::npos);
    }

private:
    void run()
    {
        while (!m_isStopping.load()) {
            std::this_thread::sleep_for(flushPeriod);
            writeAll();
        }
    }

    std::string m_daemonId;
    std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_leftOut = 0;
    TokenBucket m_rate;
    TokenBucket m_detailRate;
    std::atomic<bool> m_isStopping = false;
    std::thread m_writer;
};

std::unique_ptr<BoundedOutput> &output()
{
    static std::unique_ptr<BoundedOutput> instance;
    return instance;
}

class OutputBackend : public logging::sinks::basic_sink_backend<logging::sinks::concurrent_feeding>
{
public:
    static void consume(const logging::record_view &record)
    {
        static constexpr std::array names = {"debug", "info", "warning", "error"};
        const auto severity = logging::extract<Severity>("Severity", record);
        const auto message = logging::extract<std::string>("Message", record);
        const Severity level = severity ? *severity : Severity::Info;
        if (message && output())
            output()->add(level == Severity::Debug, names.at(static_cast<std::size_t>(level)), *message);
    }
};

} // namespace

void initialiseGatewayLog(const std::string &daemonId)
{
    output() = std::make_unique<BoundedOutput>(core::logValue(daemonId));
    using Sink = logging::sinks::unlocked_sink<OutputBackend>;
    logging::core::get()->add_sink(boost::make_shared<Sink>(boost::make_shared<OutputBackend>()));
}

void flushGatewayLog()
{
    output().reset();
}

} // namespace sardinehinge::daemon
