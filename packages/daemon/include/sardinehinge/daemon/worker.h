#pragma once

#include <sardinehinge/core/types.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <ctime>
#include <exception>
#include <functional>
#include <pthread.h>
#include <string>
#include <thread>

namespace sardinehinge::daemon {

/// The monotonic clock that also counts while the machine is suspended, so that a lease can't outlast a suspension.
inline core::Time bootTime() noexcept
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
}

/// The thread of one duty and its event loop.
class Worker
{
public:
    explicit Worker(std::string name)
        : m_name(std::move(name))
        , m_guard(boost::asio::make_work_guard(m_context))
    {
    }

    ~Worker() { stop(); }
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Calls `handler` with the text of each exception that leaves a task. Set it before start().
    void onError(std::function<void(const std::string &)> handler) { m_onError = std::move(handler); }

    void start()
    {
        m_thread = std::thread([this] { run(); });
        pthread_setname_np(m_thread.native_handle(), m_name.substr(0, 15).c_str());
    }

    /// Ends the loop after the handler under way and waits for the thread.
    void stop()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    boost::asio::io_context &context() noexcept { return m_context; }
    const std::string &name() const noexcept { return m_name; }

    /// Processor time that the thread has used, in seconds; 0 when it doesn't run.
    double cpuSeconds()
    {
        clockid_t clock{};
        timespec used{};
        if (!m_thread.joinable() || pthread_getcpuclockid(m_thread.native_handle(), &clock) != 0
            || clock_gettime(clock, &used) != 0)
            return 0;
        return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
    }

    /// The same as a duration.
    core::Duration cpuTime()
    {
        return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(cpuSeconds()));
    }

    /// A function that runs `task` on this worker's thread.
    std::function<void()> waker(std::function<void()> task)
    {
        return [this, task = std::move(task)] { boost::asio::post(m_context, task); };
    }

private:
    /// An exception ends the task that threw it, with the connection that the task served, and not the process.
    void run()
    {
        while (true) {
            try {
                m_context.run();
                return;
            } catch (const std::exception &error) {
                if (m_onError)
                    m_onError(error.what());
            }
        }
    }

    std::string m_name;
    std::function<void(const std::string &)> m_onError;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace sardinehinge::daemon
