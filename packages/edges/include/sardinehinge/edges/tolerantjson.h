#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QList>

#include <optional>
#include <string>

namespace sardinehinge::edges {

/// Parses the JSON object in an answer of a store or list that has other writers too. One entry that Qt's parser
/// rejects (nested too deeply, a number out of range, text that isn't UTF-8) must not hide the others: each smallest
/// part that can't be parsed becomes null. The value of a key in `wholeKeys` becomes null as a whole, so that it
/// doesn't lose a field only. Text that isn't UTF-8 elsewhere, such as a name, is kept for bytesOf(). Returns
/// std::nullopt if the text isn't an object even then, or if it isn't known where an entry ends.
std::optional<QJsonObject> parseTolerantly(const QByteArray &text, const QList<QByteArray> &wholeKeys);

/// Returns a string of such an object as the bytes that the answer has. Lone surrogates become one byte each if
/// parseTolerantly() made them of bytes that aren't UTF-8, and question marks otherwise.
std::string bytesOf(const QString &text);

} // namespace sardinehinge::edges
