#pragma once

#include <sardinehinge/core/result.h>

#include <QJsonArray>
#include <QJsonObject>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sardinehinge::edges::internal {

/// Reads the fields of one JSON object and collects what is wrong with them, each with its path.
class JsonReader
{
public:
    JsonReader(const QJsonValue &value, std::string path, std::vector<std::string> &faults);

    /// A string; a fault when it is missing and required, or of another type.
    std::string string(const char *name, const std::string &fallback = {}, bool isRequired = false);
    /// A whole number from 0 to 2^53.
    std::uint64_t number(const char *name, std::uint64_t fallback = 0, bool isRequired = false);
    bool boolean(const char *name, bool fallback);
    QJsonArray array(const char *name, bool isRequired = false);
    std::vector<std::string> strings(const char *name);
    /// The index of the string's value in `choices`; a fault when it is none of them.
    std::size_t choice(const char *name, const std::vector<std::string> &choices, std::size_t fallback);
    std::string pathOf(const char *name) const;
    /// Adds a fault for every field that was not read.
    void refuseUnknown();

private:
    QJsonValue take(const char *name, bool isRequired);
    void fault(const char *name, const std::string &rule);

    QJsonObject m_object;
    std::string m_path;
    std::vector<std::string> &m_faults;
    std::set<QString> m_taken;
};

/// Reads a JSON text that must be an object; a fault when it isn't.
QJsonValue parseObject(const std::string &json, std::vector<std::string> &faults);

/// An error of step `decode` made of the first fault.
core::Error decodeError(const std::vector<std::string> &faults);

std::string toText(const QJsonObject &object);

} // namespace sardinehinge::edges::internal
