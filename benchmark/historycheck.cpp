#include <sardinehinge/core/history.h>

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <iostream>
#include <map>
#include <tuple>

/// Reads what a run left behind and checks it: records of targets and callers (one JSON object a line), time lines of
/// daemons, and versions of assignments as the platform stand-in shows them.
/// Usage: historycheck FILE...; exit status 1 when a rule is broken.
namespace sardinehinge::benchmark {

namespace {

std::string text(const QJsonObject &object, const char *name)
{
    return object.value(QString::fromUtf8(name)).toString().toStdString();
}

class HistoryReader
{
public:
    bool readFile(const QString &path)
    {
        QFile file(path);
        if (!file.open(QIODevice::ReadOnly)) {
            std::cerr << "historycheck: " << path.toStdString() << ": " << file.errorString().toStdString() << '\n';
            return false;
        }
        while (!file.atEnd()) {
            const QJsonDocument line = QJsonDocument::fromJson(file.readLine());
            if (line.isObject())
                readLine(line.object());
        }
        return true;
    }

    const core::History &finish()
    {
        for (auto &[key, hold] : m_open)
            m_history.holds.push_back(hold);
        m_open.clear();
        return m_history;
    }

private:
    using HoldKey = std::tuple<std::string, std::string, std::string, std::uint32_t>;

    void readLine(const QJsonObject &line)
    {
        const std::string kind = text(line, "kind");
        if (kind == "granted" || kind == "extended" || kind == "dropped")
            readHold(kind, line);
        else if (kind == "gone")
            readGone(line);
        else if (kind == "done")
            m_history.executions.push_back({text(line, "request"), text(line, "group"), shardOf(line), epochOf(line),
                                            text(line, "target"), line.value("at").toInteger()});
        else if (kind == "answer")
            readAnswer(line);
        else if (line.contains("entries"))
            readTimeline(line);
        else if (line.contains("objects"))
            readVersions(line);
    }

    static std::uint32_t shardOf(const QJsonObject &line)
    {
        return static_cast<std::uint32_t>(line.value("shard").toInteger());
    }
    static std::uint64_t epochOf(const QJsonObject &line)
    {
        return static_cast<std::uint64_t>(line.value("epoch").toInteger());
    }

    /// A hold lasts from its grant to its drop; one that its target didn't live to drop, to the end of its lease.
    void readHold(const std::string &kind, const QJsonObject &line)
    {
        const HoldKey key{text(line, "target"), text(line, "life"), text(line, "group"), shardOf(line)};
        if (kind == "granted")
            m_open[key] = {text(line, "group"),
                           shardOf(line),
                           epochOf(line),
                           text(line, "target"),
                           line.value("at").toInteger(),
                           line.value("until").toInteger()};
        const auto found = m_open.find(key);
        if (found == m_open.end())
            return;
        found->second.until = line.value("until").toInteger();
        if (kind != "dropped")
            return;
        m_history.holds.push_back(found->second);
        m_open.erase(found);
    }

    /// A process that was killed holds nothing from then on.
    void readGone(const QJsonObject &line)
    {
        const std::string target = text(line, "target");
        const std::int64_t at = line.value("at").toInteger();
        for (auto entry = m_open.begin(); entry != m_open.end();) {
            if (std::get<0>(entry->first) != target) {
                ++entry;
                continue;
            }
            entry->second.until = std::min(entry->second.until, at);
            m_history.holds.push_back(entry->second);
            entry = m_open.erase(entry);
        }
    }

    void readAnswer(const QJsonObject &line)
    {
        const std::string outcome = text(line, "outcome");
        const auto typed = outcome == "done" ? core::CallerOutcome::Done
            : outcome == "not_run"           ? core::CallerOutcome::NotRun
                                             : core::CallerOutcome::Unknown;
        m_history.answers.push_back(
            {text(line, "request"), line.value("idempotent").toBool(), typed, text(line, "echo")});
    }

    void readTimeline(const QJsonObject &timeline)
    {
        constexpr int documentInForce = 200;
        for (const QJsonValue value : timeline.value("entries").toArray()) {
            const QJsonObject entry = value.toObject();
            if (entry.value("event").toInt() != documentInForce)
                continue;
            const QStringList words = entry.value("detail").toString().split(' ');
            m_history.revisions.push_back(
                {text(timeline, "daemon"), words.first().toStdString(), words.last().toULongLong()});
        }
    }

    /// The platform lists versions newest first.
    void readVersions(const QJsonObject &listing)
    {
        const QJsonArray objects = listing.value("objects").toArray();
        for (auto place = objects.size(); place-- > 0;) {
            const QJsonObject object = objects.at(place).toObject();
            const QJsonObject stored = QJsonDocument::fromJson(object.value("bytes").toString().toUtf8()).object();
            const QJsonArray shards = stored.value("body").toObject().value("shards").toArray();
            for (qsizetype shard = 0; shard < shards.size(); ++shard) {
                const QJsonObject owner = shards.at(shard).toObject();
                m_history.owners.push_back(
                    {text(object, "name"), static_cast<std::uint32_t>(shard), epochOf(owner), text(owner, "target")});
            }
        }
    }

    core::History m_history;
    std::map<HoldKey, core::HoldRecord> m_open;
};

} // namespace

} // namespace sardinehinge::benchmark

int main(int argc, char **argv)
{
    using namespace sardinehinge;
    benchmark::HistoryReader reader;
    for (int index = 1; index < argc; ++index) {
        if (!reader.readFile(QString::fromLocal8Bit(argv[index])))
            return 2;
    }
    const core::History &history = reader.finish();
    const auto violations = core::violationsIn(history);
    for (const core::Violation &violation : violations)
        std::cout << "violation " << violation.rule << ": " << violation.evidence << '\n';
    std::cout << "history: " << history.holds.size() << " holds, " << history.executions.size() << " executions, "
              << history.answers.size() << " answers, " << history.revisions.size() << " revisions, "
              << history.owners.size() << " owners, " << violations.size() << " violations\n";
    return violations.empty() ? 0 : 1;
}
