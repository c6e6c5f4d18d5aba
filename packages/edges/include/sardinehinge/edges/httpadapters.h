#pragma once

#include <sardinehinge/edges/instancelist.h>
#include <sardinehinge/edges/objectstore.h>
#include <sardinehinge/edges/targetcontrol.h>
#include <sardinehinge/edges/targettraffic.h>
#include <sardinehinge/http/client.h>

#include <QNetworkAccessManager>
#include <QUrl>

namespace sardinehinge::edges {

/// Longest wait for an answer of the platform beyond the time that a call asks it to wait.
constexpr core::Duration platformTimeout = std::chrono::milliseconds(1500);

/// Largest accepted answer of the platform: a longer one counts as lost.
constexpr std::int64_t maxPlatformAnswerBytes = 64LL * 1024 * 1024;

/// The object store over HTTP, by Qt's network access. That one may send a request twice when a connection ends
/// without an answer: conditional writes carry an attempt id for this, and DocumentStore resolves it.
/// Lives on a thread with a Qt event loop.
class HttpObjectStore : public ObjectStore
{
public:
    explicit HttpObjectStore(QUrl base);

    void read(const std::string &name, Callback<core::Result<StoredObject>> done) override;
    void write(const std::string &name, const std::string &bytes, std::uint64_t expectedRevision,
               Callback<WriteReply> done) override;
    void watch(std::uint64_t afterRevision, core::Duration wait, Callback<core::Result<WatchReply>> done) override;
    void versions(const std::string &name, Callback<core::Result<std::vector<StoredObject>>> done) override;

private:
    QUrl m_base;
    QNetworkAccessManager m_network;
};

/// The instance list over HTTP. Lives on a thread with a Qt event loop.
class HttpInstanceList : public InstanceList
{
public:
    explicit HttpInstanceList(QUrl base);

    void read(std::uint64_t afterVersion, core::Duration wait, Callback done) override;

private:
    QUrl m_base;
    QNetworkAccessManager m_network;
};

/// Orders to targets over HTTP. Single-threaded, on the client's io_context.
class HttpTargetControl : public TargetControl
{
public:
    explicit HttpTargetControl(http::Client &client);

    void send(const std::string &address, const core::TargetOrder &order, core::Duration timeout,
              Callback done) override;

private:
    http::Client &m_client;
};

/// Requests to targets over HTTP. Single-threaded, on the client's io_context.
class HttpTargetTraffic : public TargetTraffic
{
public:
    explicit HttpTargetTraffic(http::Client &client);

    AttemptId send(const TargetRequest &request, Callback done) override;
    void cancel(AttemptId attempt) override;
    std::size_t connections() const override;

private:
    http::Client &m_client;
};

} // namespace sardinehinge::edges
