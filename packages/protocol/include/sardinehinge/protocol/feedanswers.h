#pragma once

#include <sardinehinge/core/membership/feedhistory.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The text form in which a daemon hands the answers of its watch to others.
namespace sardinehinge::protocol {

/// For each answer a line `BASE REVISION BYTES`, in decimal, and the answer's source.
std::string encodeFeedAnswers(const std::vector<core::FeedAnswer> &answers);
/// Returns std::nullopt unless the whole text has this form.
std::optional<std::vector<core::FeedAnswer>> decodeFeedAnswers(std::string_view text);

} // namespace sardinehinge::protocol
