/// Many users come at once and send bodies within the configured limit. The platform's part of ending a process whose
/// memory exceeds `memory-mb` is played here, by its resident size.

#include "deployment.h"
#include "endpoint.h"

#include <algorithm>
#include <map>

namespace {

using namespace review;

constexpr int endpointCount = 9;
constexpr double memoryLimitMegabytes = 260; ///< `memory-mb` of the settings.
constexpr std::size_t bodyBytes = 20UL * 1024 * 1024; ///< Below a third of `max-body-bytes`, 67108864.
constexpr Milliseconds callInterval(330); ///< For each machine.
constexpr double burst = 1.95; ///< The largest dose in the site files.
constexpr Milliseconds burstTime(5000);
constexpr Milliseconds callDeadline(3000);
constexpr Milliseconds watchInterval(20);
constexpr Milliseconds restartDelay(1000);
constexpr int bursts = 4;
constexpr int endsInADay = 3;
constexpr int machinesWithEnds = 2;

class Case
{
public:
    explicit Case(const std::string &record)
        : m_trace(record)
        , m_fleet(m_trace, 3)
        , m_body(bodyBytes, 'x')
        , m_ends(m_fleet.size())
        , m_peaks(m_fleet.size())
    {
    }

    int run()
    {
        if (!setUp())
            return exitNotRun;
        m_fleet.run(std::chrono::seconds(2));
        watchMemory();
        for (std::size_t daemon = 0; daemon < m_fleet.size(); ++daemon) {
            m_timers.push_back(std::make_unique<boost::asio::steady_timer>(m_fleet.context()));
            call(daemon);
        }
        for (int index = 0; index < bursts; ++index) {
            m_fleet.run(burstTime);
            m_factor = isTroubleWanted() ? burst : 1;
            m_trace.note("burst begins");
            m_fleet.run(burstTime);
            m_factor = 1;
            m_trace.note("burst ends");
        }
        for (const auto &timer : m_timers)
            timer->cancel();
        m_fleet.run(callDeadline + Milliseconds(500));
        return judge();
    }

private:
    bool setUp()
    {
        for (int index = 0; index < endpointCount; ++index) {
            m_endpoints.push_back(std::make_unique<Endpoint>(m_fleet.context(), m_trace,
                                                             "i-5a3c910" + std::to_string(index), "meldepost"));
            m_endpoints.back()->workTime = Milliseconds(850);
            if (!m_endpoints.back()->listen())
                return false;
            m_fleet.store().put("servers", m_endpoints.back()->id(), m_endpoints.back()->entry());
        }
        m_fleet.store().put(
            "config", "main",
            configuration(7, {"meldepost"},
                          {{"report-file", "/report/", "meldepost", false, Milliseconds(3000), Milliseconds(2000)}}));
        return startAll(m_fleet);
    }

    void call(std::size_t daemon)
    {
        m_timers[daemon]->expires_after(std::chrono::microseconds(
            static_cast<std::int64_t>(1000.0 * static_cast<double>(callInterval.count()) / m_factor)));
        m_timers[daemon]->async_wait([this, daemon](const boost::system::error_code &error) {
            if (error)
                return;
            if (m_fleet.isRunning(daemon))
                m_fleet.send(daemon, "POST", "/report/new", m_body, callDeadline);
            call(daemon);
        });
    }

    void watchMemory()
    {
        m_watch.expires_after(watchInterval);
        m_watch.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            for (std::size_t daemon = 0; daemon < m_fleet.size(); ++daemon) {
                const double resident = m_fleet.residentMegabytes(daemon);
                m_peaks[daemon] = std::max(m_peaks[daemon], resident);
                if (resident > memoryLimitMegabytes)
                    end(daemon, resident);
            }
            watchMemory();
        });
    }

    void end(std::size_t daemon, double resident)
    {
        m_trace.report("daemon " + std::to_string(daemon) + " has " + std::to_string(static_cast<int>(resident))
                       + " MB and is killed by the platform");
        ++m_ends[daemon];
        m_fleet.kill(daemon);
        auto timer = std::make_shared<boost::asio::steady_timer>(m_fleet.context(), restartDelay);
        timer->async_wait([this, timer, daemon](const boost::system::error_code &) { m_fleet.start(daemon); });
    }

    int judge()
    {
        std::map<int, int> statuses;
        for (const auto &call : m_fleet.calls)
            ++statuses[call->status];
        for (const auto &[status, count] : statuses)
            m_trace.report((status == 0 ? std::string("calls without an answer: ")
                                        : "answers with status " + std::to_string(status) + ": ")
                           + std::to_string(count));
        for (std::size_t daemon = 0; daemon < m_ends.size(); ++daemon)
            m_trace.report("daemon " + std::to_string(daemon) + ": peak "
                           + std::to_string(static_cast<int>(m_peaks[daemon])) + " MB, ended "
                           + std::to_string(m_ends[daemon]) + " times");
        const auto machines
            = std::count_if(m_ends.begin(), m_ends.end(), [](int count) { return count >= endsInADay; });
        return machines >= machinesWithEnds ? 1 : 0;
    }

    Trace m_trace;
    Fleet m_fleet;
    std::string m_body;
    std::vector<int> m_ends; ///< By daemon.
    std::vector<double> m_peaks;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> m_timers; ///< By daemon.
    boost::asio::steady_timer m_watch{m_fleet.context()};
    double m_factor = 1;
};

} // namespace

int main(int, char **argv)
{
    return Case(argv[1]).run();
}
