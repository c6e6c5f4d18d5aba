#include "store.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>

namespace review {

using namespace sardinehinge;

namespace {

/// SYSTEM.md: "4 ms an answer".
constexpr std::chrono::milliseconds answerTime(4);
/// PROTOCOL.md: "about 500 or 1 MB at most".
constexpr int pageItems = 500;

http::Response jsonAnswer(int status, const QJsonObject &body)
{
    return {status,
            {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
            QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString()};
}

http::ServerLimits storeLimits()
{
    http::ServerLimits limits;
    limits.idleTimeout = std::chrono::seconds(60);
    return limits;
}

} // namespace

Store::Store(boost::asio::io_context &context)
    : m_context(context)
    , m_server(context, *this, storeLimits())
{
}

std::string Store::listen()
{
    m_server.listen("127.0.0.1:0");
    return "127.0.0.1:" + std::to_string(m_server.port());
}

void Store::put(const std::string &kind, const std::string &name, const QJsonObject &spec)
{
    m_objects[kind][name] = {++m_revision, spec};
    changed(kind, name, false);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    if (m_objects[kind].erase(name) == 0)
        return;
    ++m_revision;
    changed(kind, name, true);
}

QJsonObject Store::spec(const std::string &kind, const std::string &name) const
{
    return bodyOf(kind, name)["spec"].toObject();
}

void Store::changed(const std::string &kind, const std::string &name, bool isDeleted)
{
    m_history.push_back({m_revision, kind, name, isDeleted, bodyOf(kind, name)});
    for (auto watch = m_watches.begin(); watch != m_watches.end();)
        watch = answerWatch(*watch, false) ? m_watches.erase(watch) : std::next(watch);
}

QJsonObject Store::bodyOf(const std::string &kind, const std::string &name) const
{
    QJsonObject metadata{{"name", QString::fromStdString(name)}};
    QJsonObject body;
    const auto objects = m_objects.find(kind);
    if (objects != m_objects.end() && objects->second.contains(name)) {
        metadata["revision"] = static_cast<qint64>(objects->second.at(name).revision);
        body["spec"] = objects->second.at(name).spec;
    }
    body["metadata"] = metadata;
    return body;
}

void Store::answerLater(const std::shared_ptr<http::Responder> &responder, Answer answer)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, answerTime);
    timer->async_wait([timer, responder, answer = std::move(answer)](const boost::system::error_code &error) {
        if (!error)
            responder->send(answer);
    });
}

void Store::handle(std::uint64_t, http::Request request, std::shared_ptr<http::Responder> responder)
{
    const std::string path(http::pathOf(request.target));
    const std::string prefix = "/objects/";
    if (!path.starts_with(prefix))
        return answerLater(responder, jsonAnswer(404, {}));
    const std::string rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (request.method != "GET")
        return answerLater(responder, write(request, kind, name));
    if (http::queryValue(request.target, "watch"))
        return watch(request, kind, responder);
    if (!name.empty())
        return answerLater(responder, read(kind, name));
    const std::string after = http::queryValue(request.target, "after").value_or(std::string());
    answerLater(responder, list(kind, after));
    if (pageRead)
        pageRead(kind, after);
}

http::Response Store::rejection(int status, const std::string &detail, const std::string &)
{
    return {status, {}, detail};
}

http::Response Store::list(const std::string &kind, const std::string &after) const
{
    QJsonArray items;
    bool hasMore = false;
    if (const auto objects = m_objects.find(kind); objects != m_objects.end()) {
        for (auto each = objects->second.upper_bound(after); each != objects->second.end(); ++each) {
            hasMore = items.size() == pageItems;
            if (hasMore)
                break;
            items.append(bodyOf(kind, each->first));
        }
    }
    return jsonAnswer(200, {{"items", items}, {"has-more", hasMore}, {"at-rev", static_cast<qint64>(m_revision)}});
}

http::Response Store::read(const std::string &kind, const std::string &name) const
{
    const auto objects = m_objects.find(kind);
    const bool exists = objects != m_objects.end() && objects->second.contains(name);
    return exists ? jsonAnswer(200, bodyOf(kind, name)) : jsonAnswer(404, {});
}

http::Response Store::write(const http::Request &request, const std::string &kind, std::string name)
{
    const QJsonObject body = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
    const QJsonObject metadata = body["metadata"].toObject();
    if (name.empty())
        name = metadata["name"].toString().toStdString();
    auto &objects = m_objects[kind];
    const bool exists = objects.contains(name);
    if (request.method == "DELETE") {
        remove(kind, name);
        return jsonAnswer(exists ? 200 : 404, {});
    }
    if (request.method == "POST" && exists)
        return jsonAnswer(409, bodyOf(kind, name));
    if (request.method == "PUT" && !exists)
        return jsonAnswer(404, {});
    const auto expected = static_cast<std::uint64_t>(metadata["revision"].toDouble());
    if (exists && expected != 0 && expected != objects[name].revision)
        return jsonAnswer(409, bodyOf(kind, name));
    if (!exists || objects[name].spec != body["spec"].toObject())
        put(kind, name, body["spec"].toObject());
    return jsonAnswer(exists ? 200 : 201, bodyOf(kind, name));
}

void Store::watch(const http::Request &request, const std::string &kind,
                  const std::shared_ptr<http::Responder> &responder)
{
    const std::uint64_t revision = std::stoull(http::queryValue(request.target, "watch").value_or("0"));
    const int waitMs = std::stoi(http::queryValue(request.target, "wait-ms").value_or("0"));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(waitMs));
    const Watch entry{kind, revision, responder, timer};
    if (answerWatch(entry, false))
        return;
    m_watches.push_back(entry);
    timer->async_wait([this, timer](const boost::system::error_code &error) {
        if (error)
            return;
        m_watches.remove_if(
            [this, &timer](const Watch &watch) { return watch.timer == timer && answerWatch(watch, true); });
    });
}

bool Store::answerWatch(const Watch &watch, bool hasTimedOut)
{
    QJsonArray events;
    for (const Change &change : m_history) {
        if (change.revision > watch.revision && change.kind == watch.kind)
            events.append(QJsonObject{{"deleted", change.isDeleted}, {"object", change.object}});
    }
    if (events.isEmpty() && !hasTimedOut)
        return false;
    answerLater(watch.responder, jsonAnswer(200, {{"events", events}, {"at-rev", static_cast<qint64>(m_revision)}}));
    return true;
}

} // namespace review
