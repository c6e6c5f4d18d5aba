#include "jsonreader.h"

#include <sardinehinge/edges/tolerantjson.h>

#include <QJsonDocument>
#include <QJsonParseError>

#include <algorithm>
#include <cmath>

namespace sardinehinge::edges::internal {

namespace {

constexpr double largestWhole = 9007199254740992.0; ///< 2^53: above it JSON numbers skip whole numbers.

} // namespace

JsonReader::JsonReader(const QJsonValue &value, std::string path, std::vector<std::string> &faults)
    : m_object(value.toObject())
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!value.isObject())
        m_faults.push_back((m_path.empty() ? "document" : m_path) + ": must be an object");
}

std::string JsonReader::string(const char *name, const std::string &fallback, bool isRequired)
{
    const QJsonValue value = take(name, isRequired);
    if (value.isUndefined())
        return fallback;
    if (!value.isString())
        fault(name, "must be a string");
    return bytesOf(value.toString());
}

std::uint64_t JsonReader::number(const char *name, std::uint64_t fallback, bool isRequired)
{
    const QJsonValue value = take(name, isRequired);
    if (value.isUndefined())
        return fallback;
    const double number = value.toDouble(-1);
    if (!value.isDouble() || number < 0 || number > largestWhole || std::floor(number) != number) {
        fault(name, "must be a whole number from 0 to 2^53");
        return fallback;
    }
    return static_cast<std::uint64_t>(number);
}

bool JsonReader::boolean(const char *name, bool fallback)
{
    const QJsonValue value = take(name, false);
    if (!value.isUndefined() && !value.isBool())
        fault(name, "must be true or false");
    return value.toBool(fallback);
}

QJsonArray JsonReader::array(const char *name, bool isRequired)
{
    const QJsonValue value = take(name, isRequired);
    if (!value.isUndefined() && !value.isArray())
        fault(name, "must be an array");
    return value.toArray();
}

std::vector<std::string> JsonReader::strings(const char *name)
{
    std::vector<std::string> all;
    for (const QJsonValue value : array(name)) {
        if (!value.isString())
            fault(name, "must hold strings only");
        all.push_back(value.toString().toStdString());
    }
    return all;
}

std::size_t JsonReader::choice(const char *name, const std::vector<std::string> &choices, std::size_t fallback)
{
    const std::string value = string(name, choices[fallback]);
    const auto found = std::find(choices.begin(), choices.end(), value);
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    std::string all;
    for (const std::string &each : choices)
        all += (all.empty() ? "" : ", ") + each;
    fault(name, "must be one of " + all);
    return fallback;
}

std::string JsonReader::pathOf(const char *name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + name;
}

void JsonReader::refuseUnknown()
{
    for (const QString &key : m_object.keys()) {
        if (!m_taken.contains(key))
            fault(key.toUtf8().constData(), "is not a known parameter");
    }
}

QJsonValue JsonReader::take(const char *name, bool isRequired)
{
    const QString key = QString::fromUtf8(name);
    m_taken.insert(key);
    QJsonValue value = m_object.contains(key) ? m_object.value(key) : QJsonValue(QJsonValue::Undefined);
    if (value.isUndefined() && isRequired)
        fault(name, "is missing");
    return value;
}

void JsonReader::fault(const char *name, const std::string &rule)
{
    m_faults.push_back(pathOf(name) + ": " + rule);
}

QJsonValue parseObject(const std::string &json, std::vector<std::string> &faults)
{
    QJsonParseError error;
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(json), &error);
    if (error.error != QJsonParseError::NoError) {
        faults.push_back("document: not JSON at byte " + std::to_string(error.offset) + ": "
                         + error.errorString().toStdString());
        return QJsonObject();
    }
    if (!document.isObject())
        faults.push_back("document: must be an object");
    return document.object();
}

core::Error decodeError(const std::vector<std::string> &faults)
{
    return {core::ErrorCode::BadDocument, "decode", {}, faults.empty() ? std::string() : faults.front()};
}

std::string toText(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace sardinehinge::edges::internal
