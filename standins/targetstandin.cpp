#include "grantbook.h"
#include "standinserver.h"

#include <sardinehinge/edges/ownershipcodec.h>

#include <popt.h>

#include <fstream>

/// Stand-in for a target: runs requests in a few slots, keeps its grants, and records what it held and ran.
/// docs/OPERATIONS.md lists its calls.
namespace sardinehinge::standins {

namespace {

struct Options
{
    std::string address;
    std::string id = "target";
    std::string recordFile;
    int slots = 6;
    int connections = 130;
    int workMicroseconds = 1000;
    bool ignoresFences = false;
};

/// Faults on demand; the counted ones concern so many of the next requests.
struct Faults
{
    int lateMs = 0; ///< Answers wait this long after the work.
    int closeAfterRead = 0; ///< Connections are closed before the work.
    int closeAfterWork = 0; ///< Connections are closed after the work.
    int truncate = 0; ///< Answers end early.
    bool isLeaving = false;
};

class TargetStandin : public http::RequestHandler
{
public:
    TargetStandin(boost::asio::io_context &context, Options options)
        : m_context(context)
        , m_options(std::move(options))
        , m_incarnation(static_cast<std::uint64_t>(bootTime().count()))
        , m_record(m_options.recordFile, std::ios::app)
        , m_grants(m_incarnation, !m_options.ignoresFences, [this](const HoldChange &change) { record(change); })
    {
    }

    void handle(std::uint64_t, http::Request request, std::shared_ptr<http::Responder> responder) override
    {
        const std::string path(http::pathOf(request.target));
        if (path == edges::orderPath)
            return responder->send(takeOrder(request));
        if (path == "/standin/faults")
            return responder->send(changeFaults(bodyOf(request)));
        if (path == "/standin/state")
            return responder->send(jsonResponse({{"running", m_running}, {"most", m_mostRunning}, {"ran", m_ran}}));
        start(std::move(request), std::move(responder));
    }

    void callerDisconnected(std::uint64_t) override { }

    http::Response rejection(int status, const std::string &detail, const std::string &) override
    {
        return jsonResponse({{"error", QString::fromStdString(detail)}}, status);
    }

private:
    /// A request that runs.
    struct Work
    {
        http::Request request;
        std::shared_ptr<http::Responder> responder;
        std::string requestId;
        std::string group; ///< Empty for a service without keys.
        core::ShardEpoch shard;
        core::Time startedAt{};
    };

    http::Response takeOrder(const http::Request &request)
    {
        const auto order = edges::decodeOrder(request.body);
        if (const core::Error *error = core::errorIn(order))
            return jsonResponse({{"error", QString::fromStdString(error->detail)}}, 400);
        const auto report = m_grants.handle(std::get<core::TargetOrder>(order), bootTime().count());
        return {200, {{"Content-Type", "application/json"}}, edges::encodeReport(report)};
    }

    http::Response changeFaults(const QJsonObject &body)
    {
        m_faults
            = {body.value("lateMs").toInt(), body.value("closeAfterRead").toInt(), body.value("closeAfterWork").toInt(),
               body.value("truncate").toInt(), body.value("leaving").toBool()};
        freezeSoon(m_context, std::chrono::milliseconds(body.value("freezeMs").toInt()));
        return jsonResponse({});
    }

    static http::Response notStarted(const char *reason)
    {
        http::Response response = jsonResponse({{"notStarted", reason}}, 503);
        response.headers.emplace_back(edges::notStartedHeader, reason);
        return response;
    }

    void start(http::Request request, std::shared_ptr<http::Responder> responder)
    {
        if (takeOne(m_faults.closeAfterRead))
            return responder->abort();
        if (m_faults.isLeaving)
            return responder->send(notStarted("leaving"));
        if (m_running >= m_options.slots)
            return responder->send(notStarted("overloaded"));
        Work work{std::move(request), std::move(responder), {}, {}, {}, bootTime()};
        work.requestId = http::headerValue(work.request.headers, edges::requestIdHeader).value_or("");
        work.group = http::headerValue(work.request.headers, edges::groupHeader).value_or("");
        work.shard = {static_cast<std::uint32_t>(number(work.request, edges::shardHeader)),
                      number(work.request, edges::epochHeader)};
        if (!work.group.empty() && !m_grants.mayStart(work.group, work.shard, bootTime().count()))
            return work.responder->send(notStarted("not-owner"));
        if (!work.group.empty())
            m_grants.begin(work.group, work.shard);
        m_mostRunning = std::max(m_mostRunning, ++m_running);
        const auto asked = http::queryValue(work.request.target, "workMs");
        const auto duration = asked ? core::Duration(std::chrono::milliseconds(QString::fromStdString(*asked).toInt()))
                                    : core::Duration(std::chrono::microseconds(m_options.workMicroseconds));
        record("start", work, work.startedAt.count());
        after(m_context, duration, [this, work] { finish(work); });
    }

    void finish(const Work &work)
    {
        --m_running;
        const std::int64_t clock = bootTime().count();
        const bool isKeyed = !work.group.empty();
        const bool stillHeld = !isKeyed || m_grants.holds(work.group, work.shard, clock);
        // The effect of the work takes place here, while the shard is held; without it nothing is done.
        record(stillHeld ? "done" : "lost", work, clock);
        m_ran += stillHeld ? 1 : 0;
        if (isKeyed)
            m_grants.end(work.group, work.shard, clock);
        http::Response response = jsonResponse({{"target", QString::fromStdString(m_options.id)},
                                                {"requestId", QString::fromStdString(work.requestId)},
                                                {"path", QString::fromStdString(work.request.target)}});
        if (!stillHeld) {
            response.status = 503;
            response.headers.emplace_back(edges::leaseLostHeader, "1");
        }
        const bool isClosed = takeOne(m_faults.closeAfterWork);
        const bool isTruncated = takeOne(m_faults.truncate);
        after(m_context, std::chrono::milliseconds(m_faults.lateMs), [=, responder = work.responder] {
            if (isClosed)
                responder->abort();
            else if (isTruncated)
                responder->sendTruncated(response, response.body.size() / 2);
            else
                responder->send(response);
        });
    }

    static bool takeOne(int &count)
    {
        const bool isTaken = count > 0;
        count -= isTaken ? 1 : 0;
        return isTaken;
    }

    static std::uint64_t number(const http::Request &request, const char *header)
    {
        return QString::fromStdString(http::headerValue(request.headers, header).value_or("0")).toULongLong();
    }

    void record(const HoldChange &change)
    {
        static constexpr std::array kinds = {"granted", "extended", "dropped"};
        write({{"kind", kinds[static_cast<std::size_t>(change.kind)]},
               {"group", QString::fromStdString(change.group)},
               {"shard", static_cast<qint64>(change.shard.shard)},
               {"epoch", static_cast<qint64>(change.shard.epoch)},
               {"at", static_cast<qint64>(change.at)},
               {"until", static_cast<qint64>(change.until)}});
    }

    /// `clock` is the reading that the decision was made with.
    void record(const char *kind, const Work &work, std::int64_t clock)
    {
        write({{"kind", kind},
               {"request", QString::fromStdString(work.requestId)},
               {"group", QString::fromStdString(work.group)},
               {"shard", static_cast<qint64>(work.shard.shard)},
               {"epoch", static_cast<qint64>(work.shard.epoch)},
               {"at", static_cast<qint64>(clock)}});
    }

    void write(QJsonObject line)
    {
        if (m_options.recordFile.empty())
            return;
        line.insert("target", QString::fromStdString(m_options.id));
        line.insert("life", QString::number(m_incarnation));
        m_record << QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString() << std::endl;
    }

    boost::asio::io_context &m_context;
    Options m_options;
    std::uint64_t m_incarnation;
    std::ofstream m_record;
    GrantBook m_grants;
    Faults m_faults;
    int m_running = 0;
    int m_mostRunning = 0;
    qint64 m_ran = 0;
};

} // namespace

} // namespace sardinehinge::standins

int main(int argc, char **argv)
{
    using namespace sardinehinge;
    char *address = nullptr;
    char *id = nullptr;
    char *recordFile = nullptr;
    standins::Options parsed;
    int ignoresFences = 0;
    const poptOption options[]
        = {{"address", '\0', POPT_ARG_STRING, &address, 0, "Where to listen", "IP:PORT"},
           {"id", '\0', POPT_ARG_STRING, &id, 0, "Id in the instance list", "NAME"},
           {"record", '\0', POPT_ARG_STRING, &recordFile, 0, "File for what was held and run, one JSON object a line",
            "FILE"},
           {"slots", '\0', POPT_ARG_INT, &parsed.slots, 0, "Requests that run at once", "COUNT"},
           {"connections", '\0', POPT_ARG_INT, &parsed.connections, 0, "Connections that are accepted", "COUNT"},
           {"work-us", '\0', POPT_ARG_INT, &parsed.workMicroseconds, 0, "Time that a request takes", "MICROSECONDS"},
           {"ignore-fences", '\0', POPT_ARG_NONE, &ignoresFences, 0, "Take every order from anyone", nullptr},
           POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("target-standin", argc, const_cast<const char **>(argv), options, 0), poptFreeContext);
    if (poptGetNextOpt(context.get()) < -1 || address == nullptr) {
        std::cerr << "target-standin: --address=IP:PORT is required\n";
        return 2;
    }
    parsed.address = address;
    parsed.id = id != nullptr ? id : parsed.id;
    parsed.recordFile = recordFile != nullptr ? recordFile : "";
    parsed.ignoresFences = ignoresFences != 0;
    boost::asio::io_context loop{1};
    standins::TargetStandin standin(loop, parsed);
    http::ServerLimits limits;
    limits.connections = static_cast<std::size_t>(parsed.connections);
    return standins::serve(loop, standin, parsed.address, limits);
}
