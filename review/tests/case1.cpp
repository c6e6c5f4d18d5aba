/// A request crashes each endpoint that begins to run it, and the crashed endpoint's machine falls silent: no
/// connection is reset. The endpoint is back after some seconds.

#include "deployment.h"
#include "endpoint.h"

#include <algorithm>
#include <cstdlib>

namespace {

using namespace review;

constexpr int endpointCount = 9;
constexpr Milliseconds callInterval(25);
constexpr Milliseconds deadlyInterval(1500);
constexpr Milliseconds callDeadline(2500);
constexpr Milliseconds backAfter(4000); ///< "the endpoint is back after some seconds".
constexpr Milliseconds entryLifetime(2610); ///< "three heartbeat intervals of silence", of 870 ms.
constexpr Milliseconds stabilityWindow(3000);
constexpr Milliseconds playTime(40000);
constexpr int crashesToLearn = 3;
constexpr int allowedRetries = 3;

class Case
{
public:
    explicit Case(const std::string &record)
        : m_trace(record)
        , m_fleet(m_trace, 3)
    {
        const char *crash = std::getenv("CRASH");
        m_isReset = crash != nullptr && std::string(crash) == "reset";
    }

    int run()
    {
        for (int index = 0; index < endpointCount; ++index)
            addEndpoint();
        m_fleet.store().put("config", "main",
                            configuration(7, {"meldepost"},
                                          {{"report-file", "/report/", "meldepost", false},
                                           {"report-look", "/look/", "meldepost", true}}));
        if (!startAll(m_fleet))
            return exitNotRun;
        m_fleet.run(std::chrono::seconds(2));
        callOften();
        callDeadly();
        m_fleet.run(playTime);
        m_oftenTimer.cancel();
        m_deadlyTimer.cancel();
        m_fleet.run(callDeadline + Milliseconds(500));
        return judge();
    }

private:
    void addEndpoint()
    {
        const std::string id = "i-7f3a" + std::to_string(1000 + m_endpoints.size());
        m_endpoints.push_back(std::make_unique<Endpoint>(m_fleet.context(), m_trace, id, "meldepost"));
        Endpoint &endpoint = *m_endpoints.back();
        if (!endpoint.listen())
            std::exit(exitNotRun);
        if (isTroubleWanted()) {
            endpoint.begins = [this](Endpoint &self, const std::string &, const auto &request) {
                if (request.target != deadlyPath)
                    return false;
                crash(self);
                return true;
            };
        }
        m_fleet.store().put("servers", endpoint.id(), endpoint.entry());
    }

    void crash(Endpoint &endpoint)
    {
        m_crashes.push_back(m_trace.now());
        for (const std::string &id : endpoint.running())
            m_cut.push_back(id);
        m_trace.report("crash " + std::to_string(m_crashes.size()) + " endpoint=" + endpoint.id());
        endpoint.fallSilent();
        if (m_isReset)
            boost::asio::post(m_fleet.context(), [&endpoint] { endpoint.exit(); });
        after(entryLifetime, [this, &endpoint] { m_fleet.store().remove("servers", endpoint.id()); });
        after(backAfter, [this, &endpoint] {
            endpoint.exit();
            addEndpoint();
        });
    }

    void after(Milliseconds time, const std::function<void()> &action)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_fleet.context(), time);
        timer->async_wait([timer, action](const boost::system::error_code &error) {
            if (!error)
                action();
        });
    }

    void callOften()
    {
        m_oftenTimer.expires_after(callInterval);
        m_oftenTimer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            m_next = (m_next + 1) % m_fleet.size();
            m_fleet.send(m_next, "POST", "/report/new", "a fallen willow", callDeadline,
                         {{"Authorization", "caller-" + std::to_string(m_next)}});
            callOften();
        });
    }

    /// The same caller, path and body again and again, at any machine.
    void callDeadly()
    {
        m_deadlyTimer.expires_after(deadlyInterval);
        m_deadlyTimer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            m_nextDeadly = (m_nextDeadly + 1) % m_fleet.size();
            m_fleet.send(m_nextDeadly, "GET", deadlyPath, {}, callDeadline, {{"Authorization", "caller-x"}});
            callDeadly();
        });
    }

    int judge()
    {
        std::size_t lost = 0;
        std::size_t served = 0;
        std::size_t others = 0;
        for (const auto &call : m_fleet.calls) {
            const bool isOther = call->path != deadlyPath;
            others += isOther ? 1 : 0;
            served += isOther && call->status == 200 ? 1 : 0;
            lost += isOther && call->status != 200 && std::find(m_cut.begin(), m_cut.end(), call->id) != m_cut.end()
                ? 1
                : 0;
        }
        m_trace.report("other calls " + std::to_string(others) + ", answered 200: " + std::to_string(served)
                       + "; at work in a crash and without success: " + std::to_string(lost));
        m_trace.report("crashes: " + std::to_string(m_crashes.size()));
        if (m_crashes.size() < crashesToLearn)
            return 0;
        const std::int64_t learnt = m_crashes[crashesToLearn - 1] + stabilityWindow.count();
        int late = 0;
        for (const auto &endpoint : m_endpoints) {
            for (const Endpoint::Arrival &arrival : endpoint->arrivals)
                late += arrival.path == deadlyPath && arrival.at > learnt ? 1 : 0;
        }
        m_trace.report("deadly requests that reached endpoints later than stability-window after the third crash: "
                       + std::to_string(late) + ", allowed " + std::to_string(allowedRetries));
        return late > allowedRetries ? 1 : 0;
    }

    static constexpr const char *deadlyPath = "/look/deadly";

    Trace m_trace;
    Fleet m_fleet;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<std::int64_t> m_crashes;
    std::vector<std::string> m_cut; ///< Other callers' requests that were at work in a crash.
    boost::asio::steady_timer m_oftenTimer{m_fleet.context()};
    boost::asio::steady_timer m_deadlyTimer{m_fleet.context()};
    std::size_t m_next = 0;
    std::size_t m_nextDeadly = 0;
    bool m_isReset = false;
};

} // namespace

int main(int, char **argv)
{
    return Case(argv[1]).run();
}
