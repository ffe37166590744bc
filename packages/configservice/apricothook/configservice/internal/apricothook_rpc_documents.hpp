#pragma once

#include <apricothook/configservice/apricothook_rpc_seal.hpp>
#include <apricothook/configservice/apricothook_text_pieces.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Apricothook {

/** The methods between members; docs/CONFIGURATION.md describes their documents. */
constexpr const char *ManifestMethod = "textManifest";
constexpr const char *PiecesMethod = "textPieces";
constexpr const char *KeptAnswerMethod = "keptAnswer";

/** Pieces in one answer: bounds the memory that one call costs its server. */
constexpr std::size_t MaximumPiecesPerCall = 32;

/** Names a text, and for textPieces the pieces that are wanted. */
struct TextQuery
{
    std::uint64_t generation = 0;
    std::uint64_t textHash = 0;
    std::vector<std::uint32_t> indexes;
    auto operator<=>(const TextQuery &) const = default;
};

Json::Value toJson(const SealedCall &call);
/** The library has checked that the fields are there and of the right type. */
SealedCall sealedCallOf(const Json::Value &value);
Json::Value toJson(const SealedReply &reply);
std::optional<SealedReply> sealedReplyOf(const Json::Value &value);

std::string writeQuery(const TextQuery &query);
std::optional<TextQuery> readQuery(const std::string &body);

std::string writeManifest(const std::vector<std::uint64_t> &hashes);
std::optional<std::vector<std::uint64_t>> readManifest(const std::string &body);

std::string writePieces(const std::vector<std::string> &pieces);
std::optional<std::vector<std::string>> readPieces(const std::string &body);

std::string writeKey(const RequestKey &key);
std::optional<RequestKey> readKey(const std::string &body);

/** Null stands for an answer that isn't kept. */
std::string writeKeptAnswer(const KeptAnswer *answer);
std::shared_ptr<const KeptAnswer> readKeptAnswer(const std::string &body);

} // namespace Apricothook
