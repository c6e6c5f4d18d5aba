#include "platformstate.h"
#include "standinserver.h"

#include <sardinehinge/edges/documentcodec.h>

#include <QJsonArray>

#include <popt.h>

/// Stand-in for the platform: object store and instance list over HTTP, with faults on demand. docs/OPERATIONS.md lists
/// its calls.
namespace sardinehinge::standins {

namespace {

constexpr std::string_view objectsPath = "/objects/";
constexpr std::string_view versionsPath = "/versions/";
constexpr std::string_view instancesPath = "/standin/instances/";

QJsonObject objectJson(const edges::StoredObject &object)
{
    return {{"name", QString::fromStdString(object.name)},
            {"revision", static_cast<qint64>(object.revision)},
            {"bytes", QString::fromStdString(object.bytes)}};
}

QJsonArray objectsJson(const std::vector<edges::StoredObject> &objects)
{
    QJsonArray array;
    for (const edges::StoredObject &object : objects)
        array.append(objectJson(object));
    return array;
}

std::uint64_t numberIn(const std::string &target, const char *name)
{
    return QString::fromStdString(http::queryValue(target, name).value_or("0")).toULongLong();
}

class PlatformStandin : public http::RequestHandler
{
public:
    explicit PlatformStandin(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    void handle(std::uint64_t, http::Request request, std::shared_ptr<http::Responder> responder) override
    {
        const std::string path(http::pathOf(request.target));
        if (path.starts_with("/standin/"))
            return responder->send(control(path, request));
        if (m_faults.isDown)
            return responder->abort();
        after(m_context, std::chrono::milliseconds(m_faults.slowMs),
              [this, path, request = std::move(request), responder] { serveCall(path, request, responder); });
    }

    void callerDisconnected(std::uint64_t) override { }

    http::Response rejection(int status, const std::string &detail, const std::string &) override
    {
        return jsonResponse({{"error", QString::fromStdString(detail)}}, status);
    }

private:
    struct Waiting
    {
        std::uint64_t after = 0;
        bool isList = false;
        core::Time until{};
        std::shared_ptr<http::Responder> responder;
    };

    void serveCall(const std::string &path, const http::Request &request,
                   const std::shared_ptr<http::Responder> &responder)
    {
        if (path.starts_with(objectsPath) && request.method == "PUT")
            return write(path.substr(objectsPath.size()), request, responder);
        if (path.starts_with(objectsPath))
            return responder->send(read(path.substr(objectsPath.size())));
        if (path.starts_with(versionsPath)) {
            ++m_counts["versions"];
            const auto versions = m_state.versions(path.substr(versionsPath.size()));
            return responder->send(jsonResponse({{"objects", objectsJson(versions)}}));
        }
        if (path == "/watch" || path == "/instances")
            return watch(path == "/instances", request, responder);
        responder->send(jsonResponse({{"error", "unknown path"}}, 404));
    }

    http::Response read(const std::string &name)
    {
        ++m_counts["read"];
        const bool isStale = m_faults.staleReads > 0;
        m_faults.staleReads -= isStale ? 1 : 0;
        const auto object = m_state.read(name, isStale);
        return object ? jsonResponse(objectJson(*object)) : jsonResponse({{"error", "no such object"}}, 404);
    }

    void write(const std::string &name, const http::Request &request, const std::shared_ptr<http::Responder> &responder)
    {
        ++m_counts["write"];
        const auto revision = m_state.write(name, request.body, numberIn(request.target, "expect"));
        if (revision)
            answerWatches();
        if (revision && m_faults.droppedWriteAnswers > 0) {
            --m_faults.droppedWriteAnswers;
            return responder->abort();
        }
        if (!revision)
            return responder->send(jsonResponse({{"error", "the condition doesn't hold"}}, 412));
        responder->send(jsonResponse({{"revision", static_cast<qint64>(*revision)}}));
    }

    void watch(bool isList, const http::Request &request, const std::shared_ptr<http::Responder> &responder)
    {
        ++m_counts[isList ? "list" : "watch"];
        const auto wait = std::chrono::milliseconds(numberIn(request.target, "waitMs"));
        Waiting waiting{numberIn(request.target, "after"), isList, bootTime() + wait, responder};
        if (answer(waiting))
            return;
        m_waiting.push_back(waiting);
        after(m_context, wait, [this] { answerWatches(); });
    }

    /// Answers a watch that has news or whose time is over; false when it must wait on.
    bool answer(const Waiting &waiting)
    {
        if (m_faults.isDown) {
            waiting.responder->abort();
            return true;
        }
        const core::Time now = bootTime();
        if (waiting.isList) {
            const auto view = m_state.instances(now, std::chrono::milliseconds(m_faults.listLagMs));
            if (view.version <= waiting.after && now < waiting.until)
                return false;
            waiting.responder->send({200, {{"Content-Type", "application/json"}}, edges::encodeInstances(view)});
            return true;
        }
        const auto changed = m_state.changedAfter(waiting.after);
        if (changed.empty() && now < waiting.until)
            return false;
        waiting.responder->send(
            jsonResponse({{"upTo", static_cast<qint64>(m_state.revision())}, {"objects", objectsJson(changed)}}));
        return true;
    }

    void answerWatches()
    {
        std::erase_if(m_waiting, [this](const Waiting &waiting) { return answer(waiting); });
    }

    http::Response control(const std::string &path, const http::Request &request)
    {
        if (path.starts_with(instancesPath))
            return changeInstance(path.substr(instancesPath.size()), request);
        if (path == "/standin/faults")
            return changeFaults(bodyOf(request));
        if (path == "/standin/counts") {
            QJsonObject counts;
            for (const auto &[call, count] : m_counts)
                counts.insert(QString::fromStdString(call), static_cast<qint64>(count));
            return jsonResponse(counts);
        }
        return jsonResponse({{"error", "unknown path"}}, 404);
    }

    http::Response changeInstance(const std::string &id, const http::Request &request)
    {
        if (request.method == "DELETE") {
            m_state.removeInstance(id, bootTime());
        } else {
            const QJsonObject body = bodyOf(request);
            core::Instance instance;
            instance.id = id;
            instance.kind
                = body.value("kind").toString() == "target" ? core::InstanceKind::Target : core::InstanceKind::Daemon;
            instance.address = body.value("address").toString().toStdString();
            instance.failureDomain = body.value("failureDomain").toString().toStdString();
            instance.service = body.value("service").toString().toStdString();
            instance.leaving = body.value("leaving").toBool();
            m_state.putInstance(instance, bootTime());
        }
        answerWatches();
        after(m_context, std::chrono::milliseconds(m_faults.listLagMs), [this] { answerWatches(); });
        return jsonResponse({});
    }

    http::Response changeFaults(const QJsonObject &body)
    {
        m_faults = {body.value("down").toBool(), body.value("slowMs").toInt(), body.value("dropWriteAnswers").toInt(),
                    body.value("listLagMs").toInt(), body.value("staleReads").toInt()};
        answerWatches();
        freezeSoon(m_context, std::chrono::milliseconds(body.value("freezeMs").toInt()));
        return jsonResponse({});
    }

    boost::asio::io_context &m_context;
    PlatformState m_state;
    PlatformFaults m_faults;
    std::vector<Waiting> m_waiting;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace

} // namespace sardinehinge::standins

int main(int argc, char **argv)
{
    using namespace sardinehinge;
    char *address = nullptr;
    const poptOption options[]
        = {{"address", '\0', POPT_ARG_STRING, &address, 0, "Where to listen", "IP:PORT"}, POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("platform-standin", argc, const_cast<const char **>(argv), options, 0), poptFreeContext);
    if (poptGetNextOpt(context.get()) < -1 || address == nullptr) {
        std::cerr << "platform-standin: --address=IP:PORT is required\n";
        return 2;
    }
    boost::asio::io_context loop{1};
    standins::PlatformStandin standin(loop);
    return standins::serve(loop, standin, address, {});
}
