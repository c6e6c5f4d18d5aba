#include <sardinehinge/edges/httpadapters.h>
#include <sardinehinge/edges/tolerantjson.h>

#include "replies.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrlQuery>

#include <algorithm>

namespace sardinehinge::edges {

using internal::platformError;
using internal::PlatformReply;
using internal::platformRequest;
using internal::whenFinished;

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 412;

QUrl urlFor(const QUrl &base, const std::string &path, const QUrlQuery &query)
{
    QUrl url = base;
    url.setPath(QString::fromStdString(path));
    url.setQuery(query);
    return url;
}

StoredObject readObject(const QJsonObject &object)
{
    return {bytesOf(object.value("name").toString()), static_cast<std::uint64_t>(object.value("revision").toInteger()),
            bytesOf(object.value("bytes").toString())};
}

/// Reads an answer with several objects; empty if it can't be read. One object that can't be read must not hide the
/// others.
QJsonObject parseObjects(const QByteArray &body)
{
    return parseTolerantly(body, {}).value_or(QJsonObject());
}

/// Reads an answer with one object; empty unless all of it can be read.
QJsonObject parseObject(const QByteArray &body)
{
    return QJsonDocument::fromJson(body).object();
}

/// Whether an object has its revision: without one it would pass for an absent object.
bool isWhole(const QJsonValue &object)
{
    return object["revision"].toInteger() > 0;
}

/// Whether an answer has a list of whole objects.
bool hasObjects(const QJsonObject &document)
{
    const QJsonArray objects = document["objects"].toArray();
    return document["objects"].isArray() && std::all_of(objects.begin(), objects.end(), isWhole);
}

std::vector<StoredObject> readObjects(const QJsonArray &array)
{
    std::vector<StoredObject> objects;
    for (const QJsonValue value : array)
        objects.push_back(readObject(value.toObject()));
    return objects;
}

} // namespace

HttpObjectStore::HttpObjectStore(QUrl base)
    : m_base(std::move(base))
{
    // Waiting watches hold a connection each; Qt opens six per host, which this store never needs at once.
    m_network.setAutoDeleteReplies(false);
}

void HttpObjectStore::read(const std::string &name, Callback<core::Result<StoredObject>> done)
{
    const QUrl url = urlFor(m_base, "/objects/" + name, {});
    QNetworkReply *reply = m_network.get(platformRequest(url, platformTimeout));
    whenFinished(reply, [base = m_base, name, done = std::move(done)](const PlatformReply &finished) {
        if (finished.status == statusNotFound)
            return done(StoredObject{name, 0, {}});
        const QJsonObject document = parseObject(finished.body);
        if (finished.status != statusOk || !isWhole(document))
            return done(platformError("store read", base, finished));
        done(readObject(document));
    });
}

void HttpObjectStore::write(const std::string &name, const std::string &bytes, std::uint64_t expectedRevision,
                            Callback<WriteReply> done)
{
    QUrlQuery query;
    query.addQueryItem("expect", QString::number(expectedRevision));
    const QUrl url = urlFor(m_base, "/objects/" + name, query);
    QNetworkReply *reply = m_network.put(platformRequest(url, platformTimeout), QByteArray::fromStdString(bytes));
    whenFinished(reply, [done = std::move(done)](const PlatformReply &finished) {
        if (finished.status == statusConflict)
            return done({WriteAnswer::Conflict, 0});
        const QJsonObject document = parseObject(finished.body);
        if (finished.status != statusOk || !isWhole(document))
            return done({WriteAnswer::Lost, 0});
        done({WriteAnswer::Applied, static_cast<std::uint64_t>(document.value("revision").toInteger())});
    });
}

void HttpObjectStore::watch(std::uint64_t afterRevision, core::Duration wait, Callback<core::Result<WatchReply>> done)
{
    QUrlQuery query;
    query.addQueryItem("after", QString::number(afterRevision));
    query.addQueryItem("waitMs", QString::number(wait / std::chrono::milliseconds(1)));
    QNetworkReply *reply = m_network.get(platformRequest(urlFor(m_base, "/watch", query), platformTimeout + wait));
    whenFinished(reply, [base = m_base, done = std::move(done)](const PlatformReply &finished) {
        const QJsonObject document = parseObjects(finished.body);
        if (finished.status != statusOk || !document["upTo"].isDouble() || !hasObjects(document))
            return done(platformError("store watch", base, finished));
        done(WatchReply{static_cast<std::uint64_t>(document.value("upTo").toInteger()),
                        readObjects(document.value("objects").toArray())});
    });
}

void HttpObjectStore::versions(const std::string &name, Callback<core::Result<std::vector<StoredObject>>> done)
{
    const QUrl url = urlFor(m_base, "/versions/" + name, {});
    QNetworkReply *reply = m_network.get(platformRequest(url, platformTimeout));
    whenFinished(reply, [base = m_base, done = std::move(done)](const PlatformReply &finished) {
        const QJsonObject document = parseObjects(finished.body);
        if (finished.status != statusOk || !hasObjects(document))
            return done(platformError("store versions", base, finished));
        done(readObjects(document.value("objects").toArray()));
    });
}

} // namespace sardinehinge::edges
